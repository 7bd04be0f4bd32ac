// Command adapter runs decision engines for an external simulator: it reads events from standard
// input and writes actions to standard output, one per line. The input consists of batches. A batch
// starts with a clock line, which sets the time of its events, and ends with an end line; the actions
// of a batch are written when it ends. The command only translates; package decision makes the
// decisions.
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

// run processes in until it ends, and writes the replies to out. An input that ends inside a batch is
// an error.
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

// writeError is a failure to write the output. It is reported without a line number of the input.
type writeError struct{ error }

func (e writeError) Unwrap() error { return e.error }

// adapter runs the engines of one input.
type adapter struct {
	out       io.Writer
	instances map[int]*instance // by the number in the input
	inBatch   bool              // between a clock line and the end of its batch
	now       time.Duration     // the time of the last clock line
	reply     bytes.Buffer      // the actions of the current batch
	actions   []decision.Action // of the current event; reused
}

// instance is an engine and its calls of the shared counter that have no reply yet.
type instance struct {
	*decision.Engine
	pendingCounterCalls map[uint64][]uint64 // by counter key, the CounterAdd.Ref of each call, oldest first
}

// matchCounterReply returns the event for a reply of the counter. Replies carry a key and no Ref, so the
// event gets the Ref of the oldest pending call with the reply's key.
func (i *instance) matchCounterReply(reply simwire.CounterReply) (decision.Event, error) {
	refs := i.pendingCounterCalls[reply.Key]
	if len(refs) == 0 {
		return nil, fmt.Errorf("counter reply for key %d, which was not called", reply.Key)
	}
	i.pendingCounterCalls[reply.Key] = refs[1:]
	if len(refs) == 1 {
		delete(i.pendingCounterCalls, reply.Key)
	}
	reply.Result.Ref = refs[0]
	return reply.Result, nil
}

// handleLine processes one line of the input.
func (a *adapter) handleLine(line []byte) error {
	m, err := simwire.Decode(line)
	if err != nil {
		return err
	}
	switch {
	case m.Clock != !a.inBatch: // a clock line inside a batch, or another line outside one
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

// endBatch writes the actions of the batch and the line that ends them.
func (a *adapter) endBatch() error {
	a.inBatch = false
	simwire.AppendEnd(&a.reply)
	if _, err := a.out.Write(a.reply.Bytes()); err != nil {
		return writeError{err}
	}
	a.reply.Reset()
	return nil
}

// handleEvent passes an event or a reply of the shared counter to an engine, and appends its actions
// to the reply of the batch.
func (a *adapter) handleEvent(instanceNumber int, event decision.Event, reply simwire.CounterReply) error {
	i := a.instances[instanceNumber]
	if i == nil {
		return fmt.Errorf("event for instance %d, which is not running", instanceNumber)
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
			i.pendingCounterCalls[add.Key] = append(i.pendingCounterCalls[add.Key], add.Ref)
		}
		simwire.AppendAction(&a.reply, instanceNumber, action)
	}
	return nil
}
