// Command adapter hosts decision engines on the simulator's wire: it reads events from standard
// input and writes actions to standard output, a line each. It translates alone: the decisions are
// the library's.
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

// readBufferBytes is the size of the buffer for standard input.
const readBufferBytes = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run serves until the input ends. An input that ends inside a batch is an error.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, readBufferBytes)
	a := adapter{out: out, instances: map[int]*instance{}}
	for number := 1; ; number++ {
		line, err := reader.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		line = bytes.TrimSpace(line)
		switch {
		case len(line) == 0 && err == nil:
			continue
		case len(line) == 0 && a.inBatch:
			return fmt.Errorf("line %d: the input ended inside a batch", number)
		case len(line) == 0:
			return nil
		}
		if err := a.handleLine(line); err != nil {
			if errors.As(err, new(writeError)) {
				return err
			}
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
}

// writeError is a failure of standard output, which no line of the input is to blame for.
type writeError struct{ error }

func (e writeError) Unwrap() error { return e.error }

// adapter serves the engines of one input.
type adapter struct {
	out       io.Writer
	instances map[int]*instance
	inBatch   bool          // between a clock line and the end of its batch
	now       time.Duration // of the last clock line
	reply     bytes.Buffer  // of the batch
	actions   []decision.Action
}

// instance is an engine with its calls of the shared counter that have no reply, by key and in their
// order.
type instance struct {
	*decision.Engine
	pendingCounts map[uint64][]uint64
}

// matchCounterReply returns a reply of the counter as the event for the oldest call that it answers.
func (i *instance) matchCounterReply(reply simwire.CounterReply) (decision.Event, error) {
	refs := i.pendingCounts[reply.Key]
	if len(refs) == 0 {
		return nil, fmt.Errorf("counter reply for key %d, which was not called", reply.Key)
	}
	i.pendingCounts[reply.Key] = refs[1:]
	if len(refs) == 1 {
		delete(i.pendingCounts, reply.Key)
	}
	reply.Result.Ref = refs[0]
	return reply.Result, nil
}

// handleLine takes in one line.
func (a *adapter) handleLine(line []byte) error {
	m, err := simwire.Decode(line)
	if err != nil {
		return err
	}
	switch {
	case m.Clock != !a.inBatch:
		return errors.New("out of order: a batch runs from a clock line to its end")
	case m.Clock:
		a.inBatch, a.now = true, m.At
	case m.End:
		return a.endBatch()
	case m.Start != nil:
		engine, err := decision.New(m.Start.Settings, m.Start.Seed, a.now)
		if err != nil {
			return err
		}
		a.instances[m.Instance] = &instance{engine, map[uint64][]uint64{}}
	case m.Stop:
		delete(a.instances, m.Instance)
	case m.Event != nil || m.CounterReply.Present:
		return a.handleEvent(m.Instance, m.Event, m.CounterReply)
	}
	return nil
}

// endBatch writes the actions of the batch.
func (a *adapter) endBatch() error {
	a.inBatch = false
	simwire.AppendEnd(&a.reply)
	if _, err := a.out.Write(a.reply.Bytes()); err != nil {
		return writeError{err}
	}
	a.reply.Reset()
	return nil
}

// handleEvent gives an event, or a counter's reply, to an instance's engine.
func (a *adapter) handleEvent(number int, event decision.Event, reply simwire.CounterReply) error {
	i := a.instances[number]
	if i == nil {
		return fmt.Errorf("event for instance %d, which is not running", number)
	}
	if reply.Present {
		var err error
		if event, err = i.matchCounterReply(reply); err != nil {
			return err
		}
	}
	a.actions = i.Handle(a.now, event, a.actions[:0])
	for _, action := range a.actions {
		if add, ok := action.(decision.CounterAdd); ok {
			i.pendingCounts[add.Key] = append(i.pendingCounts[add.Key], add.Ref)
		}
		simwire.AppendAction(&a.reply, number, action)
	}
	return nil
}
