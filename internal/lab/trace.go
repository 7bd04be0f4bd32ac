package lab

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"pumicecroft/internal/emulator"
)

// mostTrace bounds a trace.
const maxTraceArrivals = 50_000_000

// ReadTrace reads arrivals from CSV, a line each: seconds from the start, customer (a number from 0), class, units. A first line of names
// is passed over. An error names the line.
func ReadTrace(text []byte) ([]emulator.Arrival, error) {
	r := csv.NewReader(bytes.NewReader(text))
	r.FieldsPerRecord = 4
	r.ReuseRecord = true
	var out []emulator.Arrival
	for first := true; ; first = false {
		f, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, err
		}
		line, _ := r.FieldPos(0)
		at, err1 := strconv.ParseFloat(f[0], 64)
		if err1 != nil && first {
			continue
		}
		customer, err2 := strconv.Atoi(f[1])
		units, err3 := strconv.ParseFloat(f[3], 64)
		if err := errors.Join(err1, err2, err3); err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		if !(at >= 0 && at < 1e6) {
			return nil, fmt.Errorf("line %d: %v seconds", line, at)
		}
		if len(out) == maxTraceArrivals {
			return nil, fmt.Errorf("line %d: more than %d arrivals", line, maxTraceArrivals)
		}
		out = append(out, emulator.Arrival{At: time.Duration(at * float64(time.Second)), Customer: customer, Class: string([]byte(f[2])), Cost: units})
	}
	if len(out) == 0 {
		return nil, errors.New("it holds no arrival")
	}
	return out, nil
}
