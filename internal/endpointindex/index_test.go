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

// modelMember is a member as the model sees it. The model answers queries by iterating over all members.
type modelMember struct {
	entry     Entry[*modelMember]
	id        int
	group     int // -1 if in none
	ready     bool
	warming   bool
	startedAt time.Duration
	failedAt  time.Duration // 0 if it has not failed
	dirty     bool
}

// indexWithModel is an Index together with its model.
type indexWithModel struct {
	t        *testing.T
	location string
	rng      *rand.Rand
	now      time.Duration
	index    *Index[*modelMember]
	groups   [3]Group[*modelMember]
	members  []*modelMember
	warming  [3]int // by the model, as of the last advance
	ages     [3]time.Duration
}

func newIndexWithModel(t *testing.T, seed uint64) *indexWithModel {
	im := &indexWithModel{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: 1000 * time.Hour,
		index: New[*modelMember](testWarmingPeriod, testFailureTTL)}
	for i := range im.groups {
		im.groups[i] = im.index.NewGroup()
	}
	for id := range 1 + im.rng.IntN(200) {
		m := &modelMember{id: id, group: -1}
		m.entry = Entry[*modelMember]{Value: m, Rank: im.rng.Uint64N(100), TieBreaker: uint32(id)}
		im.members = append(im.members, m)
	}
	return im
}

// change makes a random change of a random member. Start times may be in the past or in the future, or equal.
func (im *indexWithModel) change() {
	m := im.members[im.rng.IntN(len(im.members))]
	switch im.rng.IntN(10) {
	case 0, 1:
		m.group, m.failedAt = -1, 0
		im.index.Remove(&m.entry)
		return
	case 2, 3:
		m.failedAt = im.now
		im.index.RecordFailure(&m.entry, im.now)
		return
	case 4:
		m.dirty = true
		im.index.MarkDirty(&m.entry)
		return
	case 5:
		im.reconcile()
		return
	}
	m.group, m.ready = im.rng.IntN(3), im.rng.IntN(3) > 0
	if im.rng.IntN(2) == 0 {
		m.startedAt = im.now - 2*testWarmingPeriod + time.Duration(im.rng.IntN(25))*time.Second
	}
	if im.rng.IntN(4) == 0 {
		m.warming = !m.warming
	}
	m.entry.Put(&im.groups[m.group], m.ready, m.warming, m.startedAt)
}

// reconcile checks that each dirty member is visited once.
func (im *indexWithModel) reconcile() {
	im.index.Reconcile(func(m *modelMember) bool {
		if !m.dirty {
			im.t.Errorf("%s: member %d is visited without being dirty, or twice", im.location, m.id)
		}
		m.dirty = false
		return true
	})
	for _, m := range im.members {
		if m.dirty {
			im.t.Errorf("%s: dirty member %d is not visited", im.location, m.id)
		}
	}
}

func (im *indexWithModel) advance() {
	im.index.Advance(im.now)
	for i := range im.groups {
		im.warming[i], im.ages[i] = 0, 0
		for _, m := range im.members {
			if m.group == i && m.ready && m.warming && im.now-m.startedAt < testWarmingPeriod {
				im.warming[i]++
				im.ages[i] += max(0, im.now-m.startedAt)
			}
		}
	}
}

func (im *indexWithModel) check(i int) {
	size, group := 0, &im.groups[i]
	var want []*modelMember
	for _, m := range im.members {
		if m.group == i {
			size++
			if m.ready {
				want = append(want, m)
			}
		}
	}
	slices.SortFunc(want, func(a, b *modelMember) int {
		return cmp.Or(cmp.Compare(a.entry.Rank, b.entry.Rank), cmp.Compare(a.id, b.id))
	})
	got := slices.Collect(group.Ready())
	if !slices.Equal(got, want) || group.ReadyLen() != len(want) || group.Len() != size {
		im.t.Errorf("%s, group %d: Ready yields %d of %d members, ReadyLen is %d, want %d of %d in the model's order",
			im.location, i, len(got), group.Len(), group.ReadyLen(), len(want), size)
	}
	if n, ages := group.Warming(); n != im.warming[i] || ages != im.ages[i] {
		im.t.Errorf("%s, group %d: Warming returns %d, %v, want %d, %v", im.location, i, n, ages,
			im.warming[i], im.ages[i])
	}
}

// After random changes, the index must give the same answers as a model that iterates over all members. Warming must
// give the model's answer as of the last Advance.
func TestIndex_MatchesModel(t *testing.T) {
	for seed := range uint64(60) {
		im := newIndexWithModel(t, seed)
		for step := range 600 {
			im.location = fmt.Sprintf("seed %d, step %d", seed, step)
			for range im.rng.IntN(8) {
				im.change()
			}
			if im.rng.IntN(2) == 0 {
				im.advance()
			}
			if im.rng.IntN(2) == 0 {
				im.check(im.rng.IntN(3))
			}
			ready, failed, kept := 0, 0, 0
			window := testFailureTTL/2 + time.Duration(im.rng.IntN(5))*testFailureTTL/8
			for _, m := range im.members {
				if m.group >= 0 && m.ready {
					ready++
				}
				if m.failedAt > 0 && im.now-m.failedAt < window {
					failed++
				}
				if m.entry.failure != nil {
					kept++
				}
			}
			if im.index.ReadyLen() != ready || im.index.RecentFailures(im.now, window) != failed ||
				im.index.failures.Len() != kept {
				t.Errorf("%s: %d ready, %d recent of %d kept failures, want %d, %d of %d", im.location,
					im.index.ReadyLen(), im.index.RecentFailures(im.now, window), im.index.failures.Len(),
					ready, failed, kept)
			}
			if im.now += time.Duration(im.rng.IntN(5)) * 250 * time.Millisecond; t.Failed() {
				return
			}
		}
	}
}

// Ready stops when the loop breaks, and yields nothing for an empty group.
func TestReady_StopsEarly(t *testing.T) {
	group := New[int](testWarmingPeriod, testFailureTTL).NewGroup()
	for range group.Ready() {
		t.Error("Ready yields a member of an empty group")
	}
	for i := range 1000 {
		(&Entry[int]{Value: i, Rank: uint64(i)}).Put(&group, true, false, 0)
	}
	seen := 0
	for v := range group.Ready() {
		if seen++; v >= 4 {
			break
		}
	}
	if seen != 5 {
		t.Errorf("Ready yielded %d members before the break, want 5", seen)
	}
}

// At a time of 48 h, the sum of 110,000 start times overflows a Duration. The sum of the ages must be right all the
// same. After all members are removed, no start times may be kept.
func TestWarming_ManyMembersLongAfterOrigin(t *testing.T) {
	const n = 110_000
	now, index := 48*time.Hour, New[int](testWarmingPeriod, testFailureTTL)
	group, entries := index.NewGroup(), make([]Entry[int], n)
	for i := range entries {
		entries[i] = Entry[int]{Rank: uint64(i)}
		entries[i].Put(&group, true, true, now-time.Second)
	}
	index.Advance(now)
	if got, ages := group.Warming(); got != n || ages != n*time.Second {
		t.Errorf("Warming returns %d, %v, want %d, %v", got, ages, n, n*time.Second)
	}
	for i := range entries[1:] {
		index.Remove(&entries[i+1])
	}
	index.Advance(now)
	if got, ages := group.Warming(); got != 1 || ages != time.Second || group.Len() != 1 {
		t.Errorf("Warming returns %d, %v with %d members, want 1, 1s with 1", got, ages, group.Len())
	}
	index.Advance(now + testWarmingPeriod)
	index.Remove(&entries[0])
	if kept := group.started.counts.Len() + group.upcoming.counts.Len(); kept != 0 {
		t.Errorf("%d start times are kept without members, want none", kept)
	}
}

// Reconcile visits a dirty member until visit returns true. Failures older than the TTL are deleted.
func TestReconcileAndRecordFailure(t *testing.T) {
	index := New[int](testWarmingPeriod, testFailureTTL)
	a, b := &Entry[int]{Value: 1}, &Entry[int]{Value: 2}
	index.MarkDirty(a)
	index.MarkDirty(b)
	for call := range 3 {
		var seen []int
		index.Reconcile(func(v int) bool { seen = append(seen, v); return v == 1 || call == 2 })
		if want := [][]int{{1, 2}, {2}, {2}}[call]; !slices.Equal(seen, want) {
			t.Errorf("call %d of Reconcile visits %v, want %v", call, seen, want)
		}
	}
	if index.dirty != nil {
		t.Errorf("the dirty list has capacity %d without members, want nil", cap(index.dirty))
	}
	index.RecordFailure(a, time.Second)
	if index.RecordFailure(b, time.Second+testFailureTTL); index.failures.Len() != 1 {
		t.Errorf("%d failures are kept, want 1: the other is %v old", index.failures.Len(), testFailureTTL)
	}
}
