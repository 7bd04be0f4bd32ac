// Package sim runs front doors in a world that a seed decides: a clock of its own, a network, backends, clients, discovery
// and the meter, with scripted faults. The doors are the shipped core, decision module and table of members; what carries out
// their effects here stands for the drivers, whose own logic is not in this world yet. The five rules are checked at each
// step. One seed makes the whole run: the same seed and script give the same trace, whatever runs them.
//
// world.go is the clock, chance and the trace; script.go the faults; door.go, backend.go and client.go the actors; check.go the
// rules; run.go puts a run together and shrinks a failing script. The package is pure: it reads no clock, opens nothing and
// starts no goroutine; whoever wants many runs at once starts them.
package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// event is something that will happen.
type event struct {
	at    time.Duration
	order uint64 // among events of one instant: by chance, so that seeds try every order
	seq   uint64
	do    func()
}

type events []event

func (q events) Len() int { return len(q) }

func (q events) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.at != b.at {
		return a.at < b.at
	}
	if a.order != b.order {
		return a.order < b.order
	}
	return a.seq < b.seq
}

func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *events) Push(x any) { *q = append(*q, x.(event)) }

func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// world is the clock and all that happens by it.
type world struct {
	seed  uint64
	now   time.Duration
	queue events
	seq   uint64
	steps int
	hash  uint64 // of the trace
	trace func(string)
	found []Violation
}

// start is where the clock begins: late enough for backends that have run for long.
const start = time.Hour

func newWorld(seed uint64, trace func(string)) *world {
	return &world{seed: seed, now: start, hash: 14695981039346656037, trace: trace}
}

// chance is a source of chance that hangs on the seed and the numbers given alone: what is taken out of a script leaves the
// chance of everything else as it was.
func (w *world) chance(of ...uint64) *rand.Rand {
	a, b := w.seed, uint64(0x9e3779b97f4a7c15)
	for _, v := range of {
		a, b = mix(a^v), mix(b+v)
	}
	return rand.New(rand.NewPCG(a, b))
}

// mix is the finish of splitmix64.
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// after lets something happen later, or at this instant once what happens now is over.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + max(0, d), order: mix(w.seed ^ w.seq), seq: w.seq, do: do})
}

// tell adds a line to the trace.
func (w *world) tell(format string, args ...any) {
	line := fmt.Sprintf("%10.4f ", (w.now-start).Seconds()) + fmt.Sprintf(format, args...)
	for i := range len(line) {
		w.hash = (w.hash ^ uint64(line[i])) * 1099511628211 // FNV-1a
	}
	if w.trace != nil {
		w.trace(line)
	}
}

// run lets things happen until a time, a number of steps, or a violation.
func (w *world) run(until time.Duration, steps int) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.steps < steps && len(w.found) == 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.steps++
		e.do()
	}
}

// Violation is a broken rule.
type Violation struct {
	Rule string // the invariant's name
	What string // in terms of the trace
	At   time.Duration
}

// String is the violation in a line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.4f: %s", v.Rule, v.At.Seconds(), v.What)
}

func (w *world) broken(rule, format string, args ...any) {
	v := Violation{rule, fmt.Sprintf(format, args...), w.now - start}
	w.found = append(w.found, v)
	w.tell("BROKEN %v", v)
}
