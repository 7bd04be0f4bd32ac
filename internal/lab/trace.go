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

// maxTraceArrivals is the largest number of arrivals of a trace.
const maxTraceArrivals = 50_000_000

// ReadTrace parses arrivals in CSV. Each line has the time in seconds from the start, the customer's number (from 0),
// the class and the cost. A header line is skipped. Errors include the line number.
func ReadTrace(text []byte) ([]emulator.Arrival, error) {
	r := csv.NewReader(bytes.NewReader(text))
	r.FieldsPerRecord = 4
	r.ReuseRecord = true
	var out []emulator.Arrival
	for first := true; ; first = false {
		fields, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, err
		}
		line, _ := r.FieldPos(0)
		at, err1 := strconv.ParseFloat(fields[0], 64)
		if err1 != nil && first {
			continue
		}
		customer, err2 := strconv.Atoi(fields[1])
		cost, err3 := strconv.ParseFloat(fields[3], 64)
		if err := errors.Join(err1, err2, err3); err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		if !(at >= 0 && at < 1e6) {
			return nil, fmt.Errorf("line %d: invalid time of %v seconds", line, at)
		}
		if len(out) == maxTraceArrivals {
			return nil, fmt.Errorf("line %d: more than %d arrivals", line, maxTraceArrivals)
		}
		out = append(out, emulator.Arrival{
			At: time.Duration(at * float64(time.Second)), Customer: customer,
			Class: string([]byte(fields[2])), Cost: cost, // copied, as the record is reused
		})
	}
	if len(out) == 0 {
		return nil, errors.New("the trace has no arrivals")
	}
	return out, nil
}
