package endpointindex

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const young, keep = 10 * time.Second, 2 * time.Second

// member is one of a model that finds by walking over all.
type member struct {
	place Entry[*member]
	id    int
	lane  int // -1: none
	open  bool
	young bool
	began time.Duration
	noted time.Duration // 0: nothing
	look  bool
}

// world is a Roster beside its model.
type world struct {
	t     *testing.T
	where string
	rng   *rand.Rand
	now   time.Duration
	r     *Index[*member]
	lanes [3]Group[*member]
	all   []*member
	count [3]int // what the model's walk found young at the last view
	ages  [3]time.Duration
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: 1000 * time.Hour, r: New[*member](young, keep)}
	for i := range w.lanes {
		w.lanes[i] = w.r.NewGroup()
	}
	for id := range 1 + w.rng.IntN(200) {
		m := &member{id: id, lane: -1}
		m.place = Entry[*member]{Value: m, Rank: w.rng.Uint64N(100), TieBreaker: uint32(id)}
		w.all = append(w.all, m)
	}
	return w
}

// change does something with a member. Some begin behind or ahead of the clock, some at one moment.
func (w *world) change() {
	m := w.all[w.rng.IntN(len(w.all))]
	switch w.rng.IntN(10) {
	case 0, 1:
		m.lane, m.noted = -1, 0
		w.r.Remove(&m.place)
		return
	case 2, 3:
		m.noted = w.now
		w.r.RecordFailure(&m.place, w.now)
		return
	case 4:
		m.look = true
		w.r.MarkDirty(&m.place)
		return
	case 5:
		w.settle()
		return
	}
	m.lane, m.open = w.rng.IntN(3), w.rng.IntN(3) > 0
	if w.rng.IntN(2) == 0 {
		m.began = w.now - 2*young + time.Duration(w.rng.IntN(25))*time.Second
	}
	if w.rng.IntN(4) == 0 {
		m.young = !m.young
	}
	m.place.Put(&w.lanes[m.lane], m.open, m.young, m.began)
}

// settle is done with most, and finds each that is to be looked at once.
func (w *world) settle() {
	w.r.Reconcile(func(m *member) bool {
		if !m.look {
			w.t.Errorf("%s: %d is looked at, or once more", w.where, m.id)
		}
		m.look = false
		return true
	})
	for _, m := range w.all {
		if m.look {
			w.t.Errorf("%s: %d is not looked at", w.where, m.id)
		}
	}
}

func (w *world) see() {
	w.r.Advance(w.now)
	for i := range w.lanes {
		w.count[i], w.ages[i] = 0, 0
		for _, m := range w.all {
			if m.lane == i && m.open && m.young && w.now-m.began < young {
				w.count[i]++
				w.ages[i] += max(0, w.now-m.began)
			}
		}
	}
}

func (w *world) check(i int) {
	known, l := 0, &w.lanes[i]
	var want []*member
	for _, m := range w.all {
		if m.lane == i {
			known++
			if m.open {
				want = append(want, m)
			}
		}
	}
	slices.SortFunc(want, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.place.Rank, b.place.Rank), cmp.Compare(a.id, b.id))
	})
	if got := slices.Collect(l.Ready()); !slices.Equal(got, want) || l.ReadyLen() != len(want) || l.Len() != known {
		w.t.Errorf("%s, lane %d: %d of %d, %d open, want %d of %d, or another order", w.where, i, len(got), l.Len(), l.ReadyLen(), len(want), known)
	}
	if n, ages := l.Warming(); n != w.count[i] || ages != w.ages[i] {
		w.t.Errorf("%s, lane %d: %d young of %v together, want %d of %v", w.where, i, n, ages, w.count[i], w.ages[i])
	}
}

// What is found is what a walk over all members finds, whatever they do, and Young what it found at
// the last view.
func TestAgainstAWalkOverAll(t *testing.T) {
	for seed := range uint64(60) {
		w := newWorld(t, seed)
		for step := range 600 {
			w.where = fmt.Sprintf("seed %d, step %d", seed, step)
			for range w.rng.IntN(8) {
				w.change()
			}
			if w.rng.IntN(2) == 0 {
				w.see()
			}
			if w.rng.IntN(2) == 0 {
				w.check(w.rng.IntN(3))
			}
			open, noted, kept := 0, 0, 0
			ago := keep/2 + time.Duration(w.rng.IntN(5))*keep/8
			for _, m := range w.all {
				if m.lane >= 0 && m.open {
					open++
				}
				if m.noted > 0 && w.now-m.noted < ago {
					noted++
				}
				if m.place.failure != nil {
					kept++
				}
			}
			if w.r.ReadyLen() != open || w.r.RecentFailures(w.now, ago) != noted || w.r.failures.Len() != kept {
				t.Errorf("%s: %d open, %d noted of %d kept, want %d, %d of %d", w.where, w.r.ReadyLen(), w.r.RecentFailures(w.now, ago), w.r.failures.Len(), open, noted, kept)
			}
			if w.now += time.Duration(w.rng.IntN(5)) * 250 * time.Millisecond; t.Failed() {
				return
			}
		}
	}
}

// A walk that is ended goes no further, and an empty lane has none.
func TestAWalkEnds(t *testing.T) {
	l := New[int](young, keep).NewGroup()
	for range l.Ready() {
		t.Error("an empty lane has a member")
	}
	for i := range 1000 {
		(&Entry[int]{Value: i, Rank: uint64(i)}).Put(&l, true, false, 0)
	}
	seen := 0
	for v := range l.Ready() {
		if seen++; v >= 4 {
			break
		}
	}
	if seen != 5 {
		t.Errorf("%d were seen of the first 5", seen)
	}
}

// The sum of the beginnings of very many is over what a number holds; the sum of their ages is not.
// Nothing is kept of those that are gone.
func TestManyBeginningsLongAfterTheOrigin(t *testing.T) {
	const n = 110_000
	now, r := 48*time.Hour, New[int](young, keep)
	l, places := r.NewGroup(), make([]Entry[int], n)
	for i := range places {
		places[i] = Entry[int]{Rank: uint64(i)}
		places[i].Put(&l, true, true, now-time.Second)
	}
	r.Advance(now)
	if got, ages := l.Warming(); got != n || ages != n*time.Second {
		t.Errorf("%d of %v together", got, ages)
	}
	for i := range places[1:] {
		r.Remove(&places[i+1])
	}
	r.Advance(now)
	if got, ages := l.Warming(); got != 1 || ages != time.Second || l.Len() != 1 {
		t.Errorf("of one: %d of %v together, %d known", got, ages, l.Len())
	}
	r.Advance(now + young)
	r.Remove(&places[0])
	if kept := l.started.counts.Len() + l.upcoming.counts.Len(); kept != 0 {
		t.Errorf("%d beginnings are kept of nobody", kept)
	}
}

// What is not done with is looked at each time until it is, and what was noted long ago is let go
// of.
func TestSettleAndNote(t *testing.T) {
	r := New[int](young, keep)
	a, b := &Entry[int]{Value: 1}, &Entry[int]{Value: 2}
	r.MarkDirty(a)
	r.MarkDirty(b)
	for times := range 3 {
		var seen []int
		r.Reconcile(func(v int) bool { seen = append(seen, v); return v == 1 || times == 2 })
		if want := [][]int{{1, 2}, {2}, {2}}[times]; !slices.Equal(seen, want) {
			t.Errorf("time %d: %v, want %v", times, seen, want)
		}
	}
	if r.dirty != nil {
		t.Error("a list is kept for none")
	}
	r.RecordFailure(a, time.Second)
	if r.RecordFailure(b, time.Second+keep); r.failures.Len() != 1 {
		t.Errorf("%d notes are kept, the older of which is %v old", r.failures.Len(), keep)
	}
}
