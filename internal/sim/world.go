// Package sim runs front doors in a world that a seed decides: a clock of its own, a network of connections that carry bytes,
// backends, clients, discovery, a Consul agent and the meter, with scripted faults. What runs at each door is what ships: the
// core, the decision module, attempts over HTTP/1.1 and the pool of their connections (httpwire, connpool), the table of
// members, and for Consul its blocking queries and registry. The five rules are checked at each step. One seed makes the whole
// run: the same seed and script give the same trace, whatever runs them.
//
// world.go is the clock, chance and the trace; script.go the faults; net.go the network; door.go, backend.go, sources.go and
// client.go the actors; check.go the rules; run.go puts a run together and shrink.go shrinks a failing script. The package is
// pure: it reads no clock, opens nothing and starts no goroutine; whoever wants many runs at once starts them.
package sim

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"pumicecroft/internal/eventqueue"

	"github.com/cespare/xxhash/v2"
)

// world is the clock and all that happens by it.
type world struct {
	seed       uint64
	now        time.Duration
	queue      eventqueue.Queue[func()]
	seq        uint64
	steps      int
	hash       xxhash.Digest // of the trace
	scratch    []byte        // room for what goes into it
	trace      func(string)
	violations []Violation
}

// start is where the clock begins: late enough for backends that have run for long.
const start = time.Hour

func newWorld(seed uint64, trace func(string)) *world {
	w := &world{seed: seed, now: start, trace: trace}
	w.hash.Reset()
	return w
}

// newRand is a source of chance that hangs on the seed and the numbers given alone: what is taken out of a script leaves the
// chance of everything else as it was.
func (w *world) newRand(purpose ...uint64) *rand.Rand { return eventqueue.NewRand(w.seed, purpose...) }

// mix makes different numbers of different ones.
func mix(z uint64) uint64 { return eventqueue.Mix(z) }

// scheduleAfter lets something happen later, or at this instant once what happens now is over.
func (w *world) scheduleAfter(delay time.Duration, event func()) {
	w.seq++
	w.queue.Push(w.now+max(0, delay), mix(w.seed^w.seq), event) // among events of one instant by chance, so that seeds try every order
}

// scheduleAt lets something happen at a time that is not before now.
func (w *world) scheduleAt(at time.Duration, event func()) { w.scheduleAfter(at-w.now, event) }

// tracef adds a line to the trace. Its hash takes in the time, the format and the values: a line is made of them only for who
// wants to read it.
func (w *world) tracef(format string, args ...any) {
	line := binary.AppendVarint(w.scratch[:0], int64(w.now))
	line = append(line, format...)
	for _, arg := range args {
		switch a := arg.(type) {
		case int:
			line = binary.AppendVarint(line, int64(a))
		case uint64:
			line = binary.AppendUvarint(line, a)
		case time.Duration:
			line = binary.AppendVarint(line, int64(a))
		case string:
			line = append(line, a...)
		default:
			line = fmt.Append(line, a)
		}
	}
	w.scratch = line
	_, _ = w.hash.Write(line)
	if w.trace != nil {
		w.trace(fmt.Sprintf("%10.4f ", (w.now-start).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// run lets things happen until a time, a number of steps, or a violation.
func (w *world) run(until time.Duration, steps int) {
	for w.steps < steps && len(w.violations) == 0 {
		if at, ok := w.queue.Next(); !ok || at > until {
			return
		}
		var event func()
		w.now, event = w.queue.Pop()
		w.steps++
		event()
	}
}

// Violation is a broken rule.
type Violation struct {
	Rule   string // the invariant's name
	Detail string // in terms of the trace
	At     time.Duration
}

// String is the violation in a line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.4f: %s", v.Rule, v.At.Seconds(), v.Detail)
}

func (w *world) violatef(rule, format string, args ...any) {
	v := Violation{rule, fmt.Sprintf(format, args...), w.now - start}
	w.violations = append(w.violations, v)
	w.tracef("BROKEN %v", v)
}
