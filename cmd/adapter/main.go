// Command adapter hosts gateways on the simulator's wire: events on standard input, actions on standard
// output. It only translates; the decisions are the library's.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run serves until the input ends. An input that ends inside a batch is an error.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	doors := map[int]*decision.Gateway{}
	var reply bytes.Buffer
	var actions []decision.Action
	var now time.Duration
	inBatch := false
	for number := 1; ; number++ {
		text, err := r.ReadBytes('\n')
		if err != nil && err != io.EOF {
			return err
		}
		text = bytes.TrimSpace(text)
		if len(text) == 0 {
			if err == io.EOF {
				if inBatch {
					return fmt.Errorf("line %d: the input ended inside a batch", number)
				}
				return nil
			}
			continue
		}
		m, derr := wire.Decode(text)
		if derr != nil {
			return fmt.Errorf("line %d: %w", number, derr)
		}
		switch {
		case m.Clock != !inBatch:
			return fmt.Errorf("line %d: out of order: a batch runs from a clock line to its end", number)
		case m.Clock:
			inBatch, now = true, m.At
		case m.End:
			inBatch = false
			wire.AppendEnd(&reply)
			if _, err := out.Write(reply.Bytes()); err != nil {
				return err
			}
			reply.Reset()
		case m.Start != nil:
			g, err := decision.New(m.Start.Settings, m.Start.Seed, now)
			if err != nil {
				return fmt.Errorf("line %d: %w", number, err)
			}
			doors[m.Instance] = g
		case m.Stop:
			delete(doors, m.Instance)
		case m.Event != nil:
			g := doors[m.Instance]
			if g == nil {
				return fmt.Errorf("line %d: an event for instance %d, which is not running", number, m.Instance)
			}
			actions = g.Handle(now, m.Event, actions[:0])
			for _, a := range actions {
				wire.AppendAction(&reply, m.Instance, a)
			}
		}
	}
}
