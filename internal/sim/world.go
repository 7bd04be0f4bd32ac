package sim

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"pumicecroft/internal/eventqueue"

	"github.com/cespare/xxhash/v2"
)

// world holds the simulated clock, the queue of scheduled events and the trace.
type world struct {
	seed       uint64
	now        time.Duration
	queue      eventqueue.Queue[func()]
	seq        uint64        // number of scheduled events
	steps      int           // number of executed events
	hash       xxhash.Digest // of the trace
	scratch    []byte        // reused buffer for the input of hash
	trace      func(string)  // receives each line; nil: lines are hashed but not formatted
	violations []Violation
}

// startTime is the clock's value at the start of a run, late enough for backends to have been running
// for a long time.
const startTime = time.Hour

func newWorld(seed uint64, trace func(string)) *world {
	w := &world{seed: seed, now: startTime, trace: trace}
	w.hash.Reset()
	return w
}

// newRand returns a generator that depends only on the seed and the key, so that removing a fault from
// a script does not change any other draw. The first number of a key is unique to the call site.
func (w *world) newRand(key ...uint64) *rand.Rand { return eventqueue.NewRand(w.seed, key...) }

// mix hashes a number. It is a bijection, so distinct numbers have distinct hashes.
func mix(z uint64) uint64 { return eventqueue.Mix(z) }

// scheduleAfter schedules an event after a delay. With a delay of 0 or less the event runs at the
// current time, after the current event. Events scheduled for the same time run in random order, so
// that different seeds test different orders.
func (w *world) scheduleAfter(delay time.Duration, event func()) {
	w.seq++
	w.queue.Push(w.now+max(0, delay), mix(w.seed^w.seq), event)
}

// scheduleAt schedules an event at a time, or at the current time if that has passed.
func (w *world) scheduleAt(at time.Duration, event func()) { w.scheduleAfter(at-w.now, event) }

// tracef adds a line to the trace. The time, the format and the arguments are added to the hash; the
// line is formatted only if the run has a trace function.
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

// run executes events up to and including a time. It stops early at the maximum number of steps or at
// a violation.
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

// Violation reports that a rule was broken.
type Violation struct {
	Rule   string        // name of the rule
	Detail string        // what happened; requests, gateways and backends have the numbers of the trace
	At     time.Duration // since the start of the run
}

// String formats the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.4f: %s", v.Rule, v.At.Seconds(), v.Detail)
}

// violatef records a violation. The run ends after the current event.
func (w *world) violatef(rule, format string, args ...any) {
	violation := Violation{rule, fmt.Sprintf(format, args...), w.now - startTime}
	w.violations = append(w.violations, violation)
	w.tracef("BROKEN %v", violation)
}
