package sim

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"pumicecroft/internal/eventqueue"

	"github.com/cespare/xxhash/v2"
)

// world is the clock, the events to come, and the trace.
type world struct {
	seed       uint64
	now        time.Duration
	queue      eventqueue.Queue[func()]
	seq        uint64 // counts scheduled events
	steps      int
	hash       xxhash.Digest // of the trace
	scratch    []byte        // room for what goes into hash
	trace      func(string)  // takes each line; nil: nobody reads it
	violations []Violation
}

// start is where the clock begins: late enough for backends to have run for long.
const startTime = time.Hour

func newWorld(seed uint64, trace func(string)) *world {
	w := &world{seed: seed, now: startTime, trace: trace}
	w.hash.Reset()
	return w
}

// newRand gives a generator that depends on the seed and the purpose alone: taking a fault out of a
// script leaves all other draws as they were. Purposes begin with a number that is used in one
// place.
func (w *world) newRand(purpose ...uint64) *rand.Rand { return eventqueue.NewRand(w.seed, purpose...) }

// mix hashes a number; it is a bijection.
func mix(z uint64) uint64 { return eventqueue.Mix(z) }

// scheduleAfter has an event happen after a delay; of 0 or less: at this instant, once the current
// event is over. Events of one instant happen in random order, so that seeds try every order.
func (w *world) scheduleAfter(delay time.Duration, event func()) {
	w.seq++
	w.queue.Push(w.now+max(0, delay), mix(w.seed^w.seq), event)
}

// scheduleAt has an event happen at a time, or now if that has passed.
func (w *world) scheduleAt(at time.Duration, event func()) { w.scheduleAfter(at-w.now, event) }

// tracef adds a line to the trace. The hash takes in the time, the format and the arguments; the
// line is formatted only for who reads it.
func (w *world) tracef(format string, args ...any) {
	line := binary.AppendVarint(w.scratch[:0], int64(w.now))
	line = append(line, format...)
	for _, arg := range args {
		switch arg := arg.(type) {
		case int:
			line = binary.AppendVarint(line, int64(arg))
		case uint64:
			line = binary.AppendUvarint(line, arg)
		case time.Duration:
			line = binary.AppendVarint(line, int64(arg))
		case string:
			line = append(line, arg...)
		default:
			line = fmt.Append(line, arg)
		}
	}
	w.scratch = line
	_, _ = w.hash.Write(line)
	if w.trace != nil {
		w.trace(fmt.Sprintf("%10.4f ", (w.now-startTime).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// run has events happen until a time, a number of steps, or a violation.
func (w *world) run(until time.Duration, maxSteps int) {
	for w.steps < maxSteps && len(w.violations) == 0 {
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
	Rule   string        // its name
	Detail string        // with the numbers that the trace has
	At     time.Duration // from the run's start
}

// String is the violation in a line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.4f: %s", v.Rule, v.At.Seconds(), v.Detail)
}

// violatef records that a rule is broken. The run ends after the current step.
func (w *world) violatef(rule, format string, args ...any) {
	violation := Violation{rule, fmt.Sprintf(format, args...), w.now - startTime}
	w.violations = append(w.violations, violation)
	w.tracef("BROKEN %v", violation)
}
