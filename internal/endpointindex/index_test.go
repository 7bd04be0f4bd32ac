package endpointindex

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const testWarmingPeriod, testFailureTTL = 10 * time.Second, 2 * time.Second

// member is one of a model that finds members by walking over all.
type member struct {
	entry     Entry[*member]
	id        int
	group     int // -1: none
	ready     bool
	warming   bool
	startedAt time.Duration
	failedAt  time.Duration // 0: nothing
	dirty     bool
}

// indexModel is an Index beside its model.
type indexModel struct {
	t        *testing.T
	position string
	rng      *rand.Rand
	now      time.Duration
	index    *Index[*member]
	groups   [3]Group[*member]
	members  []*member
	warming  [3]int // what the model's walk found warming at the last advance
	ages     [3]time.Duration
}

func newIndexModel(t *testing.T, seed uint64) *indexModel {
	w := &indexModel{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: 1000 * time.Hour,
		index: New[*member](testWarmingPeriod, testFailureTTL)}
	for i := range w.groups {
		w.groups[i] = w.index.NewGroup()
	}
	for id := range 1 + w.rng.IntN(200) {
		m := &member{id: id, group: -1}
		m.entry = Entry[*member]{Value: m, Rank: w.rng.Uint64N(100), TieBreaker: uint32(id)}
		w.members = append(w.members, m)
	}
	return w
}

// change does something with a member. Some start before or after the current time, some at one moment.
func (w *indexModel) change() {
	m := w.members[w.rng.IntN(len(w.members))]
	switch w.rng.IntN(10) {
	case 0, 1:
		m.group, m.failedAt = -1, 0
		w.index.Remove(&m.entry)
		return
	case 2, 3:
		m.failedAt = w.now
		w.index.RecordFailure(&m.entry, w.now)
		return
	case 4:
		m.dirty = true
		w.index.MarkDirty(&m.entry)
		return
	case 5:
		w.reconcile()
		return
	}
	m.group, m.ready = w.rng.IntN(3), w.rng.IntN(3) > 0
	if w.rng.IntN(2) == 0 {
		m.startedAt = w.now - 2*testWarmingPeriod + time.Duration(w.rng.IntN(25))*time.Second
	}
	if w.rng.IntN(4) == 0 {
		m.warming = !m.warming
	}
	m.entry.Put(&w.groups[m.group], m.ready, m.warming, m.startedAt)
}

// reconcile checks that each dirty member is visited once.
func (w *indexModel) reconcile() {
	w.index.Reconcile(func(m *member) bool {
		if !m.dirty {
			w.t.Errorf("%s: %d is visited without being dirty, or twice", w.position, m.id)
		}
		m.dirty = false
		return true
	})
	for _, m := range w.members {
		if m.dirty {
			w.t.Errorf("%s: %d is not visited", w.position, m.id)
		}
	}
}

func (w *indexModel) advance() {
	w.index.Advance(w.now)
	for i := range w.groups {
		w.warming[i], w.ages[i] = 0, 0
		for _, m := range w.members {
			if m.group == i && m.ready && m.warming && w.now-m.startedAt < testWarmingPeriod {
				w.warming[i]++
				w.ages[i] += max(0, w.now-m.startedAt)
			}
		}
	}
}

func (w *indexModel) check(i int) {
	known, l := 0, &w.groups[i]
	var want []*member
	for _, m := range w.members {
		if m.group == i {
			known++
			if m.ready {
				want = append(want, m)
			}
		}
	}
	slices.SortFunc(want, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.entry.Rank, b.entry.Rank), cmp.Compare(a.id, b.id))
	})
	if got := slices.Collect(l.Ready()); !slices.Equal(got, want) || l.ReadyLen() != len(want) || l.Len() != known {
		w.t.Errorf("%s, group %d: %d of %d, %d ready, want %d of %d, or another order", w.position, i,
			len(got), l.Len(), l.ReadyLen(), len(want), known)
	}
	if n, ages := l.Warming(); n != w.warming[i] || ages != w.ages[i] {
		w.t.Errorf("%s, group %d: %d warming of %v together, want %d of %v", w.position, i, n, ages,
			w.warming[i], w.ages[i])
	}
}

// Whatever happens to members, the index finds what a walk over all finds, and Warming what the walk
// found at the last Advance.
func TestIndex_MatchesWalkOverMembers(t *testing.T) {
	for seed := range uint64(60) {
		w := newIndexModel(t, seed)
		for step := range 600 {
			w.position = fmt.Sprintf("seed %d, step %d", seed, step)
			for range w.rng.IntN(8) {
				w.change()
			}
			if w.rng.IntN(2) == 0 {
				w.advance()
			}
			if w.rng.IntN(2) == 0 {
				w.check(w.rng.IntN(3))
			}
			ready, failed, remembered := 0, 0, 0
			ago := testFailureTTL/2 + time.Duration(w.rng.IntN(5))*testFailureTTL/8
			for _, m := range w.members {
				if m.group >= 0 && m.ready {
					ready++
				}
				if m.failedAt > 0 && w.now-m.failedAt < ago {
					failed++
				}
				if m.entry.failure != nil {
					remembered++
				}
			}
			if w.index.ReadyLen() != ready || w.index.RecentFailures(w.now, ago) != failed ||
				w.index.failures.Len() != remembered {
				t.Errorf("%s: %d ready, %d failed of %d remembered, want %d, %d of %d", w.position,
					w.index.ReadyLen(), w.index.RecentFailures(w.now, ago), w.index.failures.Len(),
					ready, failed, remembered)
			}
			if w.now += time.Duration(w.rng.IntN(5)) * 250 * time.Millisecond; t.Failed() {
				return
			}
		}
	}
}

// A loop over Ready that breaks goes no further, and an empty group has no members.
func TestReady_StopsEarly(t *testing.T) {
	l := New[int](testWarmingPeriod, testFailureTTL).NewGroup()
	for range l.Ready() {
		t.Error("an empty group has a member")
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

// Two days after the clock's origin the start times of 110,000 members sum up to more than a Duration
// holds; the sum of their ages must be right all the same. Nothing is kept of members that are removed.
func TestWarming_ManyMembersLongAfterOrigin(t *testing.T) {
	const n = 110_000
	now, r := 48*time.Hour, New[int](testWarmingPeriod, testFailureTTL)
	l, entries := r.NewGroup(), make([]Entry[int], n)
	for i := range entries {
		entries[i] = Entry[int]{Rank: uint64(i)}
		entries[i].Put(&l, true, true, now-time.Second)
	}
	r.Advance(now)
	if got, ages := l.Warming(); got != n || ages != n*time.Second {
		t.Errorf("%d of %v together", got, ages)
	}
	for i := range entries[1:] {
		r.Remove(&entries[i+1])
	}
	r.Advance(now)
	if got, ages := l.Warming(); got != 1 || ages != time.Second || l.Len() != 1 {
		t.Errorf("of one: %d of %v together, %d known", got, ages, l.Len())
	}
	r.Advance(now + testWarmingPeriod)
	r.Remove(&entries[0])
	if kept := l.started.counts.Len() + l.upcoming.counts.Len(); kept != 0 {
		t.Errorf("%d start times are kept of no member", kept)
	}
}

// A dirty member is visited each time until it is done with, and failures longer ago than the TTL are
// forgotten.
func TestReconcileAndRecordFailure(t *testing.T) {
	r := New[int](testWarmingPeriod, testFailureTTL)
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
		t.Error("a list is kept for no members")
	}
	r.RecordFailure(a, time.Second)
	if r.RecordFailure(b, time.Second+testFailureTTL); r.failures.Len() != 1 {
		t.Errorf("%d failures are remembered, the older of which is %v old", r.failures.Len(), testFailureTTL)
	}
}
