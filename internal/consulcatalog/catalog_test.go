package consulcatalog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

var t0 = time.Unix(1_800_000_000, 0)

// entry is "id" with options: a check's state, and changes.
func entry(id string, change ...func(*Entry)) Entry {
	e := Entry{Node: "n", ID: id, Host: "10.0.0.1", Port: 80, Addr: "10.0.0.1:80", PassingWeight: 1, WarningWeight: 1, CreateIndex: 5, Checks: []Check{{ID: "web", Status: "passing"}}}
	for _, c := range change {
		c(&e)
	}
	return e
}

func status(s string) func(*Entry) { return func(e *Entry) { e.Checks[0].Status = s } }
func create(n uint64) func(*Entry) { return func(e *Entry) { e.CreateIndex = n } }
func addr(a string) func(*Entry)   { return func(e *Entry) { e.Addr = a } }
func meta(k, v string) func(*Entry) {
	return func(e *Entry) { e.Meta = map[string]string{k: v} }
}

// told is what a book believes, as "n/a:ready^3" with the start in seconds after t0.
func told(b *Catalog, now time.Time) string {
	l, ok := b.Update(now)
	if !ok {
		return "nothing yet"
	}
	var out []string
	for _, n := range l.Nodes {
		s := n.Name + ":" + []string{"ready", "draining", "gone"}[n.State]
		if !n.StartedAt.IsZero() {
			s += fmt.Sprintf("^%v", n.StartedAt.Sub(t0).Seconds())
		}
		out = append(out, s)
	}
	return strings.Join(out, " ")
}

func want(t *testing.T, b *Catalog, at float64, want string) {
	t.Helper()
	if got := told(b, t0.Add(time.Duration(at*1e9))); got != want {
		t.Errorf("at %v: %q, want %q", at, got, want)
	}
}

func health(t *testing.T, b *Catalog, at float64, es ...Entry) {
	t.Helper()
	if bad := b.UpdateHealth(t0.Add(time.Duration(at*1e9)), es, true, false); len(bad) > 0 {
		t.Error(bad)
	}
}

func TestChecks(t *testing.T) {
	for name, c := range map[string]struct {
		entry Entry
		serve bool
		state decision.BackendState
		note  string
		w     float64
	}{
		"passing":           {entry("a", func(e *Entry) { e.PassingWeight = 3 }), false, decision.Ready, "", 3},
		"no checks":         {entry("a", func(e *Entry) { e.Checks = nil }), false, decision.Ready, "", 1},
		"critical":          {entry("a", status("critical"), func(e *Entry) { e.Checks[0].Output = "refused" }), true, decision.Draining, "critical: web: refused", 1},
		"unknown":           {entry("a", status("perhaps")), true, decision.Draining, "perhaps: web", 1},
		"warning drains":    {entry("a", status("warning"), func(e *Entry) { e.WarningWeight = 2 }), false, decision.Draining, "warning: web", 2},
		"warning by choice": {entry("a", status("warning"), func(e *Entry) { e.WarningWeight = 2 }), true, decision.Ready, "warning: web", 2},
		"maintenance":       {entry("a", func(e *Entry) { e.Maintenance = true }), true, decision.Draining, "maintenance", 1},
		"the worst of two": {entry("a", status("warning"), func(e *Entry) { e.Checks = append(e.Checks, Check{"disk", "critical", ""}) }),
			true, decision.Draining, "critical: disk", 1},
		"weight 0":  {entry("a", func(e *Entry) { e.PassingWeight = 0 }), false, decision.Ready, "", 1},
		"long note": {entry("a", status("critical"), func(e *Entry) { e.Checks[0].Output = strings.Repeat("é", 500) }), false, decision.Draining, "", 1},
	} {
		b := NewCatalog(Mapping{ServeWarning: c.serve}, false)
		health(t, b, 0, c.entry)
		l, _ := b.Update(t0)
		n := l.Nodes[0]
		if n.State != c.state || n.Weight != c.w || c.note != "" && n.Note != c.note || len(n.Note) > maxNoteBytes {
			t.Errorf("%s: %+v", name, n)
		}
	}
}

// What the first list holds was here before; what comes later is new, and so is one whose registration, process or
// address has changed. A check that fails and passes again makes nothing new.
func TestWhatIsNew(t *testing.T) {
	b := NewCatalog(Mapping{Started: "boot"}, false)
	health(t, b, 0, entry("a"), entry("b", meta("boot", "x1")), entry("c", meta("boot", fmt.Sprint(t0.Unix()-3))))
	want(t, b, 0, "n/a:ready n/b:ready n/c:ready^-3")
	health(t, b, 10, entry("a", status("critical")), entry("b", meta("boot", "x1")), entry("c", meta("boot", fmt.Sprint(t0.Unix()-3))), entry("d"))
	want(t, b, 10, "n/a:draining n/b:ready n/c:ready^-3 n/d:ready^10")
	health(t, b, 20, entry("a"), entry("b", meta("boot", "x2")), entry("c", meta("boot", fmt.Sprint(t0.Unix()+19))), entry("d", create(6)))
	want(t, b, 20, "n/a:ready n/b:ready^20 n/c:ready^20 n/d:ready^20")
	health(t, b, 30, entry("a", addr("10.0.0.2:80")), entry("b", meta("boot", "x2")))
	want(t, b, 30, "n/a:ready^30 n/b:ready^20")
	// An answer that lacked one for a while, under its old registration: it was never gone. A new one is new.
	health(t, b, 31, entry("a", addr("10.0.0.2:80")), entry("b", meta("boot", "x2")), entry("d", create(7)),
		entry("c", meta("boot", fmt.Sprint(t0.Unix()+19))))
	want(t, b, 31, "n/a:ready^30 n/b:ready^20 n/c:ready^20 n/d:ready^31")
	// At an old one's address, under another id.
	health(t, b, 32, entry("z", addr("10.0.0.2:80")))
	want(t, b, 32, "n/z:ready^32")
	health(t, b, 33, entry("z", addr("10.0.0.2:80")), entry("y", meta("boot", "2099-01-02T15:04:05Z"))) // a clock that is ahead
	want(t, b, 33, "n/y:ready^33 n/z:ready^32")
}

// In a catalogue that lost its data every registration is new, and that makes no node cold; a process that is new does.
func TestACatalogueThatBeganAnew(t *testing.T) {
	b := NewCatalog(Mapping{Started: "boot"}, false)
	health(t, b, 0, entry("a"), entry("b"), entry("c", meta("boot", "1")))
	b.UpdateHealth(t0.Add(10*time.Second), nil, true, true)
	want(t, b, 10, "")
	health(t, b, 20, entry("a", create(2)), entry("c", create(2), meta("boot", "2")))
	want(t, b, 20, "n/a:ready n/c:ready^20")
	health(t, b, 30, entry("a", create(3)), entry("b", create(3)), entry("c", create(2), meta("boot", "2"))) // a anew, once it was known again
	want(t, b, 30, "n/a:ready^30 n/b:ready n/c:ready^20")
}

func TestTheCatalogueSaysWhatExists(t *testing.T) {
	b := NewCatalog(Mapping{}, true)
	health(t, b, 0, entry("a"), entry("b"))
	want(t, b, 0, "nothing yet")
	b.UpdateServices([]string{"n/a", "n/b", "n/other"})
	want(t, b, 1, "n/a:ready n/b:ready")
	b.UpdateServices([]string{"n/b"}) // deregistered; health tells later
	want(t, b, 2, "n/b:ready")
	health(t, b, 3, entry("b"), entry("c"))
	want(t, b, 3, "n/b:ready") // c is not in the catalogue yet
	b.UpdateServices([]string{"n/b", "n/c"})
	want(t, b, 4, "n/b:ready n/c:ready^3")
	health(t, b, 5, entry("c")) // health lists b no longer, and it exists
	want(t, b, 5, "n/b:draining n/c:ready^3")
	health(t, b, 5, entry("b"), entry("c"))
	want(t, b, 5, "n/b:ready n/c:ready^3")
	b.UpdateServices([]string{"n/c"}) // b is gone
	want(t, b, 5, "n/c:ready^3")
	health(t, b, 5, entry("c"))
	b.UpdateServices([]string{"n/b", "n/c"}) // and registered again, of which health has not heard yet
	want(t, b, 5, "n/c:ready^3")
	if b.ServicesFailed() {
		t.Error("it was not waited for")
	}
	want(t, b, 6, "n/c:ready^3")
	b = NewCatalog(Mapping{}, true)
	health(t, b, 0, entry("a"))
	if !b.ServicesFailed() {
		t.Error("it was waited for")
	}
	want(t, b, 0, "n/a:ready")
}

// Health that lists nothing, or lacks most, of what the catalogue lists drains nothing by that.
func TestHealthThatLacksMost(t *testing.T) {
	for name, c := range map[string]struct {
		listed []Entry
		want   string
	}{
		"all":  {nil, ""},
		"most": {[]Entry{entry("a")}, "n/a:ready"},
		"half": {[]Entry{entry("a"), entry("b")}, "n/a:ready n/b:ready n/c:draining n/d:draining"},
	} {
		b := NewCatalog(Mapping{}, true)
		health(t, b, 0, entry("a"), entry("b"), entry("c"), entry("d"))
		b.UpdateServices([]string{"n/a", "n/b", "n/c", "n/d"})
		health(t, b, 1, c.listed...)
		if got := told(b, t0); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
		health(t, b, 2, entry("a"), entry("b"), entry("c"), entry("d"))
		want(t, b, 2, "n/a:ready n/b:ready n/c:ready n/d:ready")
	}
}

// An answer that is not whole may be older than what is known: only what is bad news counts.
func TestAnAnswerInPart(t *testing.T) {
	b := NewCatalog(Mapping{}, false)
	// Before a whole one, bad news is all that is told: a door that was just started may have an older list.
	b.UpdateHealth(t0, []Entry{entry("a", status("critical")), entry("b")}, false, false)
	if l, ok := b.Update(t0); !ok || l.Full || len(l.Nodes) != 1 || l.Nodes[0].Name != "n/a" || l.Nodes[0].State != decision.Draining || l.Nodes[0].Addr == "" {
		t.Errorf("of a first answer that is not whole it tells %+v", l)
	}
	if b.UpdateHealth(t0, []Entry{entry("b")}, false, false); told(b, t0) != "nothing yet" {
		t.Error("it tells of an answer that is not whole and has no bad news")
	}
	health(t, b, 0, entry("a"), entry("b", status("critical")), entry("c"))
	b.UpdateHealth(t0, []Entry{entry("a", status("critical")), entry("b"), entry("new")}, false, false)
	want(t, b, 1, "n/a:draining n/b:draining n/c:ready")
}

// Where health lists what the catalogue lacked when it was last heard, the catalogue is the older of the two: that is no list of
// all nodes, until the catalogue says it again.
func TestAnOlderCatalogue(t *testing.T) {
	b := NewCatalog(Mapping{}, true)
	b.UpdateServices([]string{"n/a"})
	health(t, b, 0, entry("a"), entry("b"))
	if l, ok := b.Update(t0); !ok || l.Full || len(l.Nodes) != 1 {
		t.Errorf("%+v", l)
	}
	b.UpdateServices([]string{"n/a"})
	if l, ok := b.Update(t0); !ok || !l.Full || len(l.Nodes) != 1 {
		t.Errorf("said again: %+v", l)
	}
	// And the other way round: while health can't be heard, the catalogue's answers do not say again what it lacked.
	b.UpdateServices([]string{"n/a", "n/b", "n/c"})
	if l, ok := b.Update(t0); !ok || l.Full {
		t.Errorf("health is the older: %+v", l)
	}
}

func TestMapping(t *testing.T) {
	b := NewCatalog(Mapping{Zone: "datacenter", Cell: "node:rack", InstanceType: "model"}, false)
	e := func(id, rack string) Entry {
		return entry(id, meta("model", "m2"), func(e *Entry) { e.Datacenter, e.NodeMeta = "dc1", map[string]string{"rack": rack} })
	}
	health(t, b, 0, e("a", "12"), e("b", "north"), e("c", "north"), e("d", ""), e("e", ""), e("f", "-3"), e("g", "99999999999999999999"))
	l, _ := b.Update(t0)
	cells := map[int]int{}
	for _, n := range l.Nodes {
		cells[n.Cell]++
		if n.Zone != "dc1" || n.InstanceType != "m2" {
			t.Errorf("%+v", n)
		}
	}
	if l.Nodes[0].Cell != 12 || l.Nodes[1].Cell != l.Nodes[2].Cell || len(cells) != 6 {
		t.Errorf("cells %v", cells) // those without one are alone
	}
}

func TestNames(t *testing.T) {
	b := NewCatalog(Mapping{Name: "node:host"}, false)
	called := func(id, host string) Entry {
		return entry(id, func(e *Entry) { e.NodeMeta = map[string]string{"host": host} })
	}
	health(t, b, 0, called("a", "s-1"), called("b", ""), called("c", "s-1"))
	want(t, b, 0, "s-1:ready n/b:ready n/c:ready")
}

func TestBadEntries(t *testing.T) {
	b := NewCatalog(Mapping{}, false)
	health(t, b, 0, entry("a"))
	bad := b.UpdateHealth(t0, []Entry{entry("a", func(e *Entry) { e.Host = "" }), entry("b", func(e *Entry) { e.Port = 0 }),
		entry("c", func(e *Entry) { e.Port = 65536 }), entry(""), entry("d")}, true, false)
	if len(bad) != 4 {
		t.Errorf("%v", bad)
	}
	want(t, b, 0, "n/a:ready n/d:ready^0") // one that was there stays as it was
}

// What is gone is forgotten in the end, and ever new names fill nothing.
func TestTheBookIsBounded(t *testing.T) {
	b := NewCatalog(Mapping{}, false)
	for i := range 3000 {
		now := t0.Add(time.Duration(i) * time.Second)
		b.UpdateHealth(now, []Entry{entry(fmt.Sprint("id", i))}, true, false)
		b.Update(now)
	}
	if len(b.records) > 302 || len(b.inHealth) != 1 {
		t.Errorf("%d nodes, %d listed", len(b.records), len(b.inHealth))
	}
}

// What health says must not be sent to, and a catalogue that lacks it takes out of the list, is told once more before it is gone.
func TestADrainThatTheCatalogueHides(t *testing.T) {
	b := NewCatalog(Mapping{}, true)
	names := func(es ...Entry) (out []string) {
		for _, e := range es {
			out = append(out, Name(e.Node, e.ID))
		}
		return out
	}
	drains := func(at float64, list, hidden string) {
		t.Helper()
		var got []string
		for _, n := range b.UnlistedDrains().Nodes {
			got = append(got, n.Name+":"+[]string{"ready", "draining", "gone"}[n.State])
		}
		if s := strings.Join(got, " "); s != hidden {
			t.Errorf("at %v: hidden %q, want %q", at, s, hidden)
		}
		want(t, b, at, list)
	}
	health(t, b, 0, entry("a"), entry("b"))
	b.UpdateServices(names(entry("a"), entry("b")))
	drains(0, "n/a:ready n/b:ready", "")
	b.UpdateServices(nil)
	health(t, b, 1, entry("a", status("critical")), entry("b"))
	drains(1, "", "n/a:draining")
	drains(2, "", "") // once
	health(t, b, 2, entry("a", status("critical")), entry("b", status("critical")))
	drains(2, "", "n/b:draining") // which was out of the list already
	health(t, b, 3, entry("a"), entry("b"))
	b.UpdateServices(names(entry("a"), entry("b")))
	drains(3, "n/a:ready n/b:ready", "")
	health(t, b, 4, entry("a", status("critical")), entry("b"))
	drains(4, "n/a:draining n/b:ready", "")
}
