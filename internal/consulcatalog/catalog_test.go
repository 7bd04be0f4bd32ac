package consulcatalog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

var t0 = time.Unix(1_800_000_000, 0)

// entry returns a passing instance with changes.
func entry(id string, changes ...func(*Entry)) Entry {
	e := Entry{
		Node:          "n",
		ID:            id,
		Host:          "10.0.0.1",
		Port:          80,
		Addr:          "10.0.0.1:80",
		PassingWeight: 1,
		WarningWeight: 1,
		CreateIndex:   5,
		Checks:        []Check{{ID: "web", Status: "passing"}},
	}
	for _, change := range changes {
		change(&e)
	}
	return e
}

func status(s string) func(*Entry) { return func(e *Entry) { e.Checks[0].Status = s } }
func create(n uint64) func(*Entry) { return func(e *Entry) { e.CreateIndex = n } }
func moved(e *Entry)               { e.Addr = "10.0.0.2:80" }
func meta(k, v string) func(*Entry) {
	return func(e *Entry) { e.Meta = map[string]string{k: v} }
}

// describe returns a catalog's update as "n/a:ready^3", with the start in seconds after t0.
func describe(catalog *Catalog, now time.Time) string {
	update, ok := catalog.Update(now)
	if !ok {
		return "nothing yet"
	}
	var nodes []string
	for _, n := range update.Nodes {
		s := n.Name + ":" + []string{"ready", "draining", "gone"}[n.State]
		if !n.StartedAt.IsZero() {
			s += fmt.Sprintf("^%v", n.StartedAt.Sub(t0).Seconds())
		}
		nodes = append(nodes, s)
	}
	return strings.Join(nodes, " ")
}

func want(t *testing.T, catalog *Catalog, at float64, want string) {
	t.Helper()
	if got := describe(catalog, t0.Add(time.Duration(at*1e9))); got != want {
		t.Errorf("at %v: %q, want %q", at, got, want)
	}
}

func health(t *testing.T, catalog *Catalog, at float64, entries ...Entry) {
	t.Helper()
	if invalid := catalog.UpdateHealth(t0.Add(time.Duration(at*1e9)), entries, true, false); len(invalid) > 0 {
		t.Error(invalid)
	}
}

func TestEvaluateChecks(t *testing.T) {
	passing := func(weight float64) func(*Entry) { return func(e *Entry) { e.PassingWeight = weight } }
	warning := func(weight float64) func(*Entry) {
		return func(e *Entry) { e.Checks[0].Status, e.WarningWeight = "warning", weight }
	}
	output := func(text string) func(*Entry) { return func(e *Entry) { e.Checks[0].Output = text } }
	secondCheck := func(e *Entry) { e.Checks = append(e.Checks, Check{"disk", "critical", ""}) }
	noChecks := func(e *Entry) { e.Checks = nil }
	maintenance := func(e *Entry) { e.Maintenance = true }
	for _, c := range []struct {
		name         string
		entry        Entry
		serveWarning bool
		state        decision.BackendState
		note         string
		weight       float64
	}{
		{"passing", entry("a", passing(3)), false, decision.Ready, "", 3},
		{"no checks", entry("a", noChecks), false, decision.Ready, "", 1},
		{"critical", entry("a", status("critical"), output("refused")), true, decision.Draining, "critical: web: refused", 1},
		{"unknown", entry("a", status("perhaps")), true, decision.Draining, "perhaps: web", 1},
		{"warning drains", entry("a", warning(2)), false, decision.Draining, "warning: web", 2},
		{"warning by choice", entry("a", warning(2)), true, decision.Ready, "warning: web", 2},
		{"maintenance", entry("a", maintenance), true, decision.Draining, "maintenance", 1},
		{"the worst of two", entry("a", status("warning"), secondCheck), true, decision.Draining, "critical: disk", 1},
		{"weight 0", entry("a", passing(0)), false, decision.Ready, "", 1},
		{"long note", entry("a", status("critical"), output(strings.Repeat("é", 500))), false, decision.Draining, "", 1},
	} {
		catalog := NewCatalog(Mapping{ServeWarning: c.serveWarning}, false)
		health(t, catalog, 0, c.entry)
		update, _ := catalog.Update(t0)
		n := update.Nodes[0]
		if n.State != c.state || n.Weight != c.weight || c.note != "" && n.Note != c.note || len(n.Note) > maxNoteBytes {
			t.Errorf("%s: %+v", c.name, n)
		}
	}
}

// Instances of the first response have existed before. Those that come later are new, and so are those whose
// registration, process or address changed. A check that fails and passes again makes nothing new.
func TestNewProcessStartsAnew(t *testing.T) {
	catalog := NewCatalog(Mapping{Started: "boot"}, false)
	boot := func(offset int64) func(*Entry) { return meta("boot", fmt.Sprint(t0.Unix()+offset)) }
	health(t, catalog, 0, entry("a"), entry("b", meta("boot", "x1")), entry("c", boot(-3)))
	want(t, catalog, 0, "n/a:ready n/b:ready n/c:ready^-3")
	health(t, catalog, 10, entry("a", status("critical")), entry("b", meta("boot", "x1")), entry("c", boot(-3)),
		entry("d"))
	want(t, catalog, 10, "n/a:draining n/b:ready n/c:ready^-3 n/d:ready^10")
	health(t, catalog, 20, entry("a"), entry("b", meta("boot", "x2")), entry("c", boot(19)), entry("d", create(6)))
	want(t, catalog, 20, "n/a:ready n/b:ready^20 n/c:ready^20 n/d:ready^20")
	health(t, catalog, 30, entry("a", moved), entry("b", meta("boot", "x2")))
	want(t, catalog, 30, "n/a:ready^30 n/b:ready^20")
	// Missing for a while, and back under its old registration: it was never gone. A new registration is new.
	health(t, catalog, 31, entry("a", moved), entry("b", meta("boot", "x2")), entry("d", create(7)), entry("c", boot(19)))
	want(t, catalog, 31, "n/a:ready^30 n/b:ready^20 n/c:ready^20 n/d:ready^31")
	// At the address of another, under another ID.
	health(t, catalog, 32, entry("z", moved))
	want(t, catalog, 32, "n/z:ready^32")
	// Its clock is ahead.
	health(t, catalog, 33, entry("z", moved), entry("y", meta("boot", "2099-01-02T15:04:05Z")))
	want(t, catalog, 33, "n/y:ready^33 n/z:ready^32")
}

// After a reset of the catalog all registrations are new, which restarts no node's slow start. A new process
// does.
func TestCatalogReset(t *testing.T) {
	catalog := NewCatalog(Mapping{Started: "boot"}, false)
	health(t, catalog, 0, entry("a"), entry("b"), entry("c", meta("boot", "1")))
	catalog.UpdateHealth(t0.Add(10*time.Second), nil, true, true)
	want(t, catalog, 10, "")
	health(t, catalog, 20, entry("a", create(2)), entry("c", create(2), meta("boot", "2")))
	want(t, catalog, 20, "n/a:ready n/c:ready^20")
	// a is registered anew, once it was known again.
	health(t, catalog, 30, entry("a", create(3)), entry("b", create(3)), entry("c", create(2), meta("boot", "2")))
	want(t, catalog, 30, "n/a:ready^30 n/b:ready n/c:ready^20")
}

// Instances exist if the catalog lists them, whatever the health API lists.
func TestServicesSayWhatExists(t *testing.T) {
	catalog := NewCatalog(Mapping{}, true)
	health(t, catalog, 0, entry("a"), entry("b"))
	want(t, catalog, 0, "nothing yet")
	catalog.UpdateServices([]string{"n/a", "n/b", "n/other"})
	want(t, catalog, 1, "n/a:ready n/b:ready")
	catalog.UpdateServices([]string{"n/b"}) // deregistered; the health API follows later
	want(t, catalog, 2, "n/b:ready")
	health(t, catalog, 3, entry("b"), entry("c"))
	want(t, catalog, 3, "n/b:ready") // c is not in the catalog yet
	catalog.UpdateServices([]string{"n/b", "n/c"})
	want(t, catalog, 4, "n/b:ready n/c:ready^3")
	health(t, catalog, 5, entry("c")) // health lacks b, and it exists
	want(t, catalog, 5, "n/b:draining n/c:ready^3")
	health(t, catalog, 5, entry("b"), entry("c"))
	want(t, catalog, 5, "n/b:ready n/c:ready^3")
	catalog.UpdateServices([]string{"n/c"}) // b is gone
	want(t, catalog, 5, "n/c:ready^3")
	health(t, catalog, 5, entry("c"))
	catalog.UpdateServices([]string{"n/b", "n/c"}) // registered again, which health does not have yet
	want(t, catalog, 5, "n/c:ready^3")
	if catalog.ServicesFailed() {
		t.Error("it was not waited for")
	}
	want(t, catalog, 6, "n/c:ready^3")
	catalog = NewCatalog(Mapping{}, true)
	health(t, catalog, 0, entry("a"))
	if !catalog.ServicesFailed() {
		t.Error("it was waited for")
	}
	want(t, catalog, 0, "n/a:ready")
}

// The health API lists none, or few, of the instances in the catalog. It has more likely failed itself: none
// of them drains by that.
func TestFailingHealthDrainsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		listed []Entry
		want   string
	}{
		"all":  {nil, ""},
		"most": {[]Entry{entry("a")}, "n/a:ready"},
		"half": {[]Entry{entry("a"), entry("b")}, "n/a:ready n/b:ready n/c:draining n/d:draining"},
	} {
		catalog := NewCatalog(Mapping{}, true)
		health(t, catalog, 0, entry("a"), entry("b"), entry("c"), entry("d"))
		catalog.UpdateServices([]string{"n/a", "n/b", "n/c", "n/d"})
		health(t, catalog, 1, c.listed...)
		if got := describe(catalog, t0); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
		health(t, catalog, 2, entry("a"), entry("b"), entry("c"), entry("d"))
		want(t, catalog, 2, "n/a:ready n/b:ready n/c:ready n/d:ready")
	}
}

// A response that is not full may be older than what is known: of it, only drains count.
func TestPartialResponseDrainsOnly(t *testing.T) {
	catalog := NewCatalog(Mapping{}, false)
	// Before a full response, drains are all that is reported: a gateway that just started may have a cached list.
	catalog.UpdateHealth(t0, []Entry{entry("a", status("critical")), entry("b")}, false, false)
	update, ok := catalog.Update(t0)
	if !ok || update.Full || len(update.Nodes) != 1 {
		t.Fatalf("first response that is not full: %+v", update)
	}
	if n := update.Nodes[0]; n.Name != "n/a" || n.State != decision.Draining || n.Addr == "" {
		t.Errorf("first response that is not full: %+v", n)
	}
	catalog.UpdateHealth(t0, []Entry{entry("b")}, false, false)
	if got := describe(catalog, t0); got != "nothing yet" {
		t.Errorf("a response without drains that is not full: %q", got)
	}
	health(t, catalog, 0, entry("a"), entry("b", status("critical")), entry("c"))
	catalog.UpdateHealth(t0, []Entry{entry("a", status("critical")), entry("b"), entry("new")}, false, false)
	want(t, catalog, 1, "n/a:draining n/b:draining n/c:ready")
}

// The health API lists an instance that the catalog lacked in its last response, so the catalog's is the
// older of the two: the update is not full until the catalog responds again.
func TestOlderResponseRemovesNothing(t *testing.T) {
	catalog := NewCatalog(Mapping{}, true)
	catalog.UpdateServices([]string{"n/a"})
	health(t, catalog, 0, entry("a"), entry("b"))
	if l, ok := catalog.Update(t0); !ok || l.Full || len(l.Nodes) != 1 {
		t.Errorf("%+v", l)
	}
	catalog.UpdateServices([]string{"n/a"})
	if l, ok := catalog.Update(t0); !ok || !l.Full || len(l.Nodes) != 1 {
		t.Errorf("repeated: %+v", l)
	}
	// The other way round: while the health API fails, responses of the catalog do not confirm what it lacked.
	catalog.UpdateServices([]string{"n/a", "n/b", "n/c"})
	if l, ok := catalog.Update(t0); !ok || l.Full {
		t.Errorf("health is the older: %+v", l)
	}
}

// Attributes come from where the mapping says. Cells are numbers or hashes; a node without one is alone.
func TestMapping(t *testing.T) {
	catalog := NewCatalog(Mapping{Zone: "datacenter", Cell: "node:rack", InstanceType: "model"}, false)
	e := func(id, rack string) Entry {
		return entry(id, meta("model", "m2"), func(e *Entry) {
			e.Datacenter, e.NodeMeta = "dc1", map[string]string{"rack": rack}
		})
	}
	health(t, catalog, 0, e("a", "12"), e("b", "north"), e("c", "north"), e("d", ""), e("e", ""), e("f", "-3"),
		e("g", "99999999999999999999"))
	l, _ := catalog.Update(t0)
	cells := map[int]int{}
	for _, n := range l.Nodes {
		cells[n.Cell]++
		if n.Zone != "dc1" || n.InstanceType != "m2" {
			t.Errorf("%+v", n)
		}
	}
	if l.Nodes[0].Cell != 12 || l.Nodes[1].Cell != l.Nodes[2].Cell || len(cells) != 6 {
		t.Errorf("cells %v", cells)
	}
}

// A node has its mapped name, unless that is empty or taken.
func TestMappedNames(t *testing.T) {
	catalog := NewCatalog(Mapping{Name: "node:host"}, false)
	hosted := func(id, host string) Entry {
		return entry(id, func(e *Entry) { e.NodeMeta = map[string]string{"host": host} })
	}
	health(t, catalog, 0, hosted("a", "s-1"), hosted("b", ""), hosted("c", "s-1"))
	want(t, catalog, 0, "s-1:ready n/b:ready n/c:ready")
}

// An invalid entry is an error, and an instance that was known stays as it was.
func TestInvalidEntries(t *testing.T) {
	catalog := NewCatalog(Mapping{}, false)
	health(t, catalog, 0, entry("a"))
	invalid := catalog.UpdateHealth(t0, []Entry{
		entry("a", func(e *Entry) { e.Host = "" }),
		entry("b", func(e *Entry) { e.Port = 0 }),
		entry("c", func(e *Entry) { e.Port = 65536 }),
		entry(""),
		entry("d"),
	}, true, false)
	if len(invalid) != 4 {
		t.Errorf("%v", invalid)
	}
	want(t, catalog, 0, "n/a:ready n/d:ready^0")
}

// Absent instances are forgotten in the end: new names all the time do not fill the memory.
func TestCatalogIsBounded(t *testing.T) {
	catalog := NewCatalog(Mapping{}, false)
	for i := range 3000 {
		now := t0.Add(time.Duration(i) * time.Second)
		catalog.UpdateHealth(now, []Entry{entry(fmt.Sprint("id", i))}, true, false)
		catalog.Update(now)
	}
	if len(catalog.records) > 302 || len(catalog.inHealth) != 1 {
		t.Errorf("%d records, %d in health", len(catalog.records), len(catalog.inHealth))
	}
}

// The catalog loses its data while a node turns critical. The empty list is doubted as a whole, so the drain
// must be reported beside it, once.
func TestUnlistedDrains(t *testing.T) {
	catalog := NewCatalog(Mapping{}, true)
	names := func(entries ...Entry) (names []string) {
		for _, e := range entries {
			names = append(names, Name(e.Node, e.ID))
		}
		return names
	}
	drains := func(at float64, listed, unlisted string) {
		t.Helper()
		var got []string
		for _, n := range catalog.UnlistedDrains().Nodes {
			got = append(got, n.Name+":"+[]string{"ready", "draining", "gone"}[n.State])
		}
		if s := strings.Join(got, " "); s != unlisted {
			t.Errorf("at %v: unlisted %q, want %q", at, s, unlisted)
		}
		want(t, catalog, at, listed)
	}
	health(t, catalog, 0, entry("a"), entry("b"))
	catalog.UpdateServices(names(entry("a"), entry("b")))
	drains(0, "n/a:ready n/b:ready", "")
	catalog.UpdateServices(nil)
	health(t, catalog, 1, entry("a", status("critical")), entry("b"))
	drains(1, "", "n/a:draining")
	drains(2, "", "") // once
	health(t, catalog, 2, entry("a", status("critical")), entry("b", status("critical")))
	drains(2, "", "n/b:draining") // which was out of the list already
	health(t, catalog, 3, entry("a"), entry("b"))
	catalog.UpdateServices(names(entry("a"), entry("b")))
	drains(3, "n/a:ready n/b:ready", "")
	health(t, catalog, 4, entry("a", status("critical")), entry("b"))
	drains(4, "n/a:draining n/b:ready", "")
}
