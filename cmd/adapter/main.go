// Command adapter hosts gateways on the simulator's wire: events on standard input, actions on standard
// output. It only translates; the decisions are the library's.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/simwire"
)

// instance is one instance, with its calls of the counter that have no answer, by name and in their order.
type instance struct {
	*decision.Engine
	pendingCounts map[uint64][]uint64
}

// matchCounterReply gives an answer of the counter to the call that it is for.
func (d *instance) matchCounterReply(t simwire.CounterReply) (decision.Event, error) {
	refs := d.pendingCounts[t.Key]
	if len(refs) == 0 {
		return nil, fmt.Errorf("an answer of the counter for %d, which was not asked for", t.Key)
	}
	if d.pendingCounts[t.Key] = refs[1:]; len(refs) == 1 {
		delete(d.pendingCounts, t.Key)
	}
	t.Result.Ref = refs[0]
	return t.Result, nil
}

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run serves until the input ends. An input that ends inside a batch is an error.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	doors := map[int]*instance{}
	var reply bytes.Buffer
	var actions []decision.Action
	var now time.Duration
	inBatch := false
	for number := 1; ; number++ {
		text, err := r.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		text = bytes.TrimSpace(text)
		if len(text) == 0 {
			if errors.Is(err, io.EOF) {
				if inBatch {
					return fmt.Errorf("line %d: the input ended inside a batch", number)
				}
				return nil
			}
			continue
		}
		m, derr := simwire.Decode(text)
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
			simwire.AppendEnd(&reply)
			if _, err := out.Write(reply.Bytes()); err != nil {
				return err
			}
			reply.Reset()
		case m.Start != nil:
			g, err := decision.New(m.Start.Settings, m.Start.Seed, now)
			if err != nil {
				return fmt.Errorf("line %d: %w", number, err)
			}
			doors[m.Instance] = &instance{g, map[uint64][]uint64{}}
		case m.Stop:
			delete(doors, m.Instance)
		case m.Event != nil || m.CounterReply.Present:
			d := doors[m.Instance]
			if d == nil {
				return fmt.Errorf("line %d: an event for instance %d, which is not running", number, m.Instance)
			}
			if m.CounterReply.Present {
				if m.Event, err = d.matchCounterReply(m.CounterReply); err != nil {
					return fmt.Errorf("line %d: %w", number, err)
				}
			}
			actions = d.Handle(now, m.Event, actions[:0])
			for _, a := range actions {
				if c, ok := a.(decision.CounterAdd); ok {
					d.pendingCounts[c.Key] = append(d.pendingCounts[c.Key], c.Ref)
				}
				simwire.AppendAction(&reply, m.Instance, a)
			}
		}
	}
}
