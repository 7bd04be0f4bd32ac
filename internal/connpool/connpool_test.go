package connpool

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a pool as plainly as it can be said.
type model struct {
	limits Limits
	opens  int // coming up
	inUse  map[*Conn]*Destination
	idle   []kept // the longest idle first
	closed map[*Destination]bool
	ended  bool
}

type kept struct {
	c  *Conn
	at *Destination
	t  time.Duration
}

func (m *model) count() int { return m.opens + len(m.inUse) + len(m.idle) }

// Whatever is asked of a pool, it does what the model does: what it gives is of the place, rested and not too old, the newest
// first; each connection is closed once and never given again; the bound holds; and at the end nothing is left.
func TestAgainstAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxConns: rapid.IntRange(1, 4).Draw(t, "most"), IdleTimeout: 10, ReuseDelay: 3, MinReuseDelay: time.Duration(rapid.IntRange(1, 3).Draw(t, "least"))}
		p := New(limits)
		m := &model{limits: limits, inUse: map[*Conn]*Destination{}, closed: map[*Destination]bool{}}
		places := []*Destination{{Addr: "a"}, {Addr: "b"}, {Addr: "a"}}
		now, opening, shut := time.Duration(0), []*Destination(nil), map[*Conn]bool{}
		drop := func(want ...*Conn) { // what the model has let go of is what the pool closes
			got := p.TakeDiscarded()
			slices.SortFunc(got, func(a, b *Conn) int { return a.Owner.(int) - b.Owner.(int) })
			slices.SortFunc(want, func(a, b *Conn) int { return a.Owner.(int) - b.Owner.(int) })
			if !slices.Equal(got, want) {
				t.Fatalf("closes %d, want %d", len(got), len(want))
			}
			for _, c := range got {
				if shut[c] {
					t.Fatal("a connection is closed twice")
				}
				shut[c] = true
			}
		}
		number := 0
		any := func(of map[*Conn]*Destination) *Conn {
			var all []*Conn
			for c := range of {
				all = append(all, c)
			}
			slices.SortFunc(all, func(a, b *Conn) int { return a.Owner.(int) - b.Owner.(int) })
			if len(all) == 0 {
				t.Skip("none in use")
			}
			return rapid.SampledFrom(all).Draw(t, "connection")
		}
		old := func() (out []*Conn) { // idle for too long
			for len(m.idle) > 0 && now-m.idle[0].t >= limits.IdleTimeout {
				out = append(out, m.idle[0].c)
				m.idle = m.idle[1:]
			}
			return out
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 6).Draw(t, "for")) },
			"take": func(t *rapid.T) {
				at, fresh := rapid.SampledFrom(places).Draw(t, "place"), rapid.Bool().Draw(t, "fresh")
				var want *Conn
				var gone []*Conn
				for i := len(m.idle) - 1; i >= 0 && !fresh && want == nil; i-- {
					if k := m.idle[i]; k.at == at && now-k.t >= limits.ReuseDelay {
						m.idle = slices.Delete(m.idle, i, i+1)
						if now-k.t < limits.IdleTimeout {
							want = k.c
						} else {
							gone = append(gone, k.c)
						}
					}
				}
				first := slices.IndexFunc(m.idle, func(k kept) bool { return k.at == at })
				if !fresh && want == nil && m.count() >= limits.MaxConns && first >= 0 && now-m.idle[first].t >= limits.MinReuseDelay {
					want = m.idle[first].c
					m.idle = slices.Delete(m.idle, first, first+1)
				}
				c, err := p.Acquire(now, at, fresh)
				if c != want {
					t.Fatalf("gives %v, want %v", c, want)
				}
				switch full := m.count() >= limits.MaxConns; {
				case want != nil:
					m.inUse[c] = at
				case full && len(m.idle) == 0:
					if err == nil {
						t.Fatal("over the bound")
					}
				default:
					if full {
						gone = append(gone, m.idle[0].c)
						m.idle = m.idle[1:]
					}
					if err != nil {
						t.Fatal(err)
					}
					m.opens++
					opening = append(opening, at)
				}
				drop(gone...)
			},
			"opened": func(t *rapid.T) {
				if len(opening) == 0 {
					t.Skip("none comes up")
				}
				at := opening[0]
				opening = opening[1:]
				m.opens--
				if rapid.Bool().Draw(t, "well") {
					number++
					m.inUse[p.Opened(at, number)] = at
				} else {
					p.OpenFailed()
				}
			},
			"put": func(t *rapid.T) {
				c := any(m.inUse)
				at := m.inUse[c]
				delete(m.inUse, c)
				p.Put(now, c)
				if m.ended || m.closed[at] {
					drop(c)
					return
				}
				m.idle = append(m.idle, kept{c, at, now})
				if !c.Used() {
					t.Fatal("a connection that carried an answer is not used")
				}
			},
			"drop": func(t *rapid.T) {
				c := any(m.inUse)
				delete(m.inUse, c)
				p.Discard(c)
				drop(c)
			},
			"clear": func(t *rapid.T) {
				i := rapid.IntRange(0, len(places)-1).Draw(t, "place")
				at := places[i]
				p.CloseDestination(at)
				m.closed[at] = true
				var gone []*Conn
				m.idle = slices.DeleteFunc(m.idle, func(k kept) bool {
					if k.at == at {
						gone = append(gone, k.c)
					}
					return k.at == at
				})
				drop(gone...)
				places[i] = &Destination{Addr: at.Addr}
			},
			"sweep": func(t *rapid.T) {
				p.CloseExpired(now)
				drop(old()...)
			},
			"end": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "really") > 0 {
					t.Skip("not yet")
				}
				p.Close()
				m.ended = true
				var gone []*Conn
				for _, k := range m.idle {
					gone = append(gone, k.c)
				}
				m.idle = nil
				drop(gone...)
			},
			"": func(t *rapid.T) {
				if p.Count() != m.count() || p.Idle() != len(m.idle) || p.Count() > limits.MaxConns {
					t.Fatalf("%d connections, %d idle, want %d and %d", p.Count(), p.Idle(), m.count(), len(m.idle))
				}
				if at, ok := p.NextExpiry(); ok != (len(m.idle) > 0) || ok && at != m.idle[0].t+limits.IdleTimeout {
					t.Fatalf("next at %v, %v", at, ok)
				}
			},
		})
	})
}
