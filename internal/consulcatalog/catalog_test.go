package consulcatalog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

var t0 = time.Unix(1_800_000_000, 0)

// entry returns a passing instance, modified by changes.
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

func withStatus(s string) func(*Entry)      { return func(e *Entry) { e.Checks[0].Status = s } }
func withCreateIndex(n uint64) func(*Entry) { return func(e *Entry) { e.CreateIndex = n } }
func withOtherAddr(e *Entry)                { e.Addr = "10.0.0.2:80" }
func withMeta(k, v string) func(*Entry) {
	return func(e *Entry) { e.Meta = map[string]string{k: v} }
}

// describe returns the update of a catalog as text, such as "n/a:ready^3 n/b:draining": the name and state of each
// node, and its start in seconds after t0 if it has one.
func describe(catalog *Catalog, now time.Time) string {
	update, ok := catalog.TakeUpdate(now)
	if !ok {
		return "no update"
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

func checkUpdate(t *testing.T, catalog *Catalog, at float64, want string) {
	t.Helper()
	if got := describe(catalog, t0.Add(time.Duration(at*1e9))); got != want {
		t.Errorf("at %v: %q, want %q", at, got, want)
	}
}

func updateHealth(t *testing.T, catalog *Catalog, at float64, entries ...Entry) {
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
		{"critical", entry("a", withStatus("critical"), output("refused")), true, decision.Draining,
			"critical: web: refused", 1},
		{"unknown", entry("a", withStatus("perhaps")), true, decision.Draining, "perhaps: web", 1},
		{"warning drains", entry("a", warning(2)), false, decision.Draining, "warning: web", 2},
		{"warning is served", entry("a", warning(2)), true, decision.Ready, "warning: web", 2},
		{"maintenance", entry("a", maintenance), true, decision.Draining, "maintenance", 1},
		{"worst of two", entry("a", withStatus("warning"), secondCheck), true, decision.Draining, "critical: disk", 1},
		{"weight 0", entry("a", passing(0)), false, decision.Ready, "", 1},
		{"long note", entry("a", withStatus("critical"), output(strings.Repeat("é", 500))), false, decision.Draining, "", 1},
	} {
		catalog := NewCatalog(Mapping{ServeWarning: c.serveWarning}, false)
		updateHealth(t, catalog, 0, c.entry)
		update, _ := catalog.TakeUpdate(t0)
		n := update.Nodes[0]
		if n.State != c.state || n.Weight != c.weight || c.note != "" && n.Note != c.note || len(n.Note) > maxNoteBytes {
			t.Errorf("%s: got %+v, want state %v, weight %v, note %q", c.name, n, c.state, c.weight, c.note)
		}
	}
}

// Instances of the first response are not new. Instances that appear later start anew, and so do those whose
// registration, process or address changed. An instance whose check fails and passes again does not.
func TestNewProcessRestartsSlowStart(t *testing.T) {
	catalog := NewCatalog(Mapping{Started: "boot"}, false)
	boot := func(offset int64) func(*Entry) { return withMeta("boot", fmt.Sprint(t0.Unix()+offset)) }
	updateHealth(t, catalog, 0, entry("a"), entry("b", withMeta("boot", "x1")), entry("c", boot(-3)))
	checkUpdate(t, catalog, 0, "n/a:ready n/b:ready n/c:ready^-3")
	updateHealth(t, catalog, 10, entry("a", withStatus("critical")), entry("b", withMeta("boot", "x1")),
		entry("c", boot(-3)), entry("d"))
	checkUpdate(t, catalog, 10, "n/a:draining n/b:ready n/c:ready^-3 n/d:ready^10")
	updateHealth(t, catalog, 20, entry("a"), entry("b", withMeta("boot", "x2")), entry("c", boot(19)),
		entry("d", withCreateIndex(6)))
	checkUpdate(t, catalog, 20, "n/a:ready n/b:ready^20 n/c:ready^20 n/d:ready^20")
	updateHealth(t, catalog, 30, entry("a", withOtherAddr), entry("b", withMeta("boot", "x2")))
	checkUpdate(t, catalog, 30, "n/a:ready^30 n/b:ready^20")
	// c was missing and returns with its old registration, so it is not new. d has a new registration.
	updateHealth(t, catalog, 31, entry("a", withOtherAddr), entry("b", withMeta("boot", "x2")),
		entry("d", withCreateIndex(7)), entry("c", boot(19)))
	checkUpdate(t, catalog, 31, "n/a:ready^30 n/b:ready^20 n/c:ready^20 n/d:ready^31")
	// Another ID at the address of a known instance is a new instance.
	updateHealth(t, catalog, 32, entry("z", withOtherAddr))
	checkUpdate(t, catalog, 32, "n/z:ready^32")
	// The clock of y is ahead, so its start counts as now.
	updateHealth(t, catalog, 33, entry("z", withOtherAddr), entry("y", withMeta("boot", "2099-01-02T15:04:05Z")))
	checkUpdate(t, catalog, 33, "n/y:ready^33 n/z:ready^32")
}

// After a reset of Consul's catalog all registrations are new. That must not restart the slow start of a node, but a
// new process must.
func TestCatalogReset(t *testing.T) {
	catalog := NewCatalog(Mapping{Started: "boot"}, false)
	updateHealth(t, catalog, 0, entry("a"), entry("b"), entry("c", withMeta("boot", "1")))
	catalog.UpdateHealth(t0.Add(10*time.Second), nil, true, true)
	checkUpdate(t, catalog, 10, "")
	updateHealth(t, catalog, 20, entry("a", withCreateIndex(2)), entry("c", withCreateIndex(2), withMeta("boot", "2")))
	checkUpdate(t, catalog, 20, "n/a:ready n/c:ready^20")
	// a has returned since the reset, so its next registration is new. b has not.
	updateHealth(t, catalog, 30, entry("a", withCreateIndex(3)), entry("b", withCreateIndex(3)),
		entry("c", withCreateIndex(2), withMeta("boot", "2")))
	checkUpdate(t, catalog, 30, "n/a:ready^30 n/b:ready n/c:ready^20")
}

// Instances exist if the catalog API lists them, whatever the health API lists.
func TestCatalogDecidesWhichInstancesExist(t *testing.T) {
	catalog := NewCatalog(Mapping{}, true)
	updateHealth(t, catalog, 0, entry("a"), entry("b"))
	checkUpdate(t, catalog, 0, "no update")
	catalog.UpdateFromCatalogAPI([]string{"n/a", "n/b", "n/other"})
	checkUpdate(t, catalog, 1, "n/a:ready n/b:ready")
	catalog.UpdateFromCatalogAPI([]string{"n/b"}) // a is deregistered; the health API still lists it
	checkUpdate(t, catalog, 2, "n/b:ready")
	updateHealth(t, catalog, 3, entry("b"), entry("c"))
	checkUpdate(t, catalog, 3, "n/b:ready") // c is not in the catalog yet
	catalog.UpdateFromCatalogAPI([]string{"n/b", "n/c"})
	checkUpdate(t, catalog, 4, "n/b:ready n/c:ready^3")
	updateHealth(t, catalog, 5, entry("c")) // b exists but is missing from the health API
	checkUpdate(t, catalog, 5, "n/b:draining n/c:ready^3")
	updateHealth(t, catalog, 5, entry("b"), entry("c"))
	checkUpdate(t, catalog, 5, "n/b:ready n/c:ready^3")
	catalog.UpdateFromCatalogAPI([]string{"n/c"}) // b is deregistered
	checkUpdate(t, catalog, 5, "n/c:ready^3")
	updateHealth(t, catalog, 5, entry("c"))
	catalog.UpdateFromCatalogAPI([]string{"n/b", "n/c"}) // b is registered again; the health API does not list it yet
	checkUpdate(t, catalog, 5, "n/c:ready^3")
	if catalog.RecordCatalogAPIFailure() {
		t.Error("RecordCatalogAPIFailure() = true after a response of the catalog API, want false")
	}
	checkUpdate(t, catalog, 6, "n/c:ready^3")
	catalog = NewCatalog(Mapping{}, true)
	updateHealth(t, catalog, 0, entry("a"))
	if !catalog.RecordCatalogAPIFailure() {
		t.Error("RecordCatalogAPIFailure() = false before a response of the catalog API, want true")
	}
	checkUpdate(t, catalog, 0, "n/a:ready")
}

// The health API lists none or few of the instances in the catalog. It has more likely failed itself, so the missing
// instances must not drain.
func TestFailingHealthAPIDrainsNoNode(t *testing.T) {
	for name, c := range map[string]struct {
		listed []Entry
		want   string
	}{
		"all missing":  {nil, ""},
		"most missing": {[]Entry{entry("a")}, "n/a:ready"},
		"half missing": {[]Entry{entry("a"), entry("b")}, "n/a:ready n/b:ready n/c:draining n/d:draining"},
	} {
		catalog := NewCatalog(Mapping{}, true)
		updateHealth(t, catalog, 0, entry("a"), entry("b"), entry("c"), entry("d"))
		catalog.UpdateFromCatalogAPI([]string{"n/a", "n/b", "n/c", "n/d"})
		updateHealth(t, catalog, 1, c.listed...)
		if got := describe(catalog, t0); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
		updateHealth(t, catalog, 2, entry("a"), entry("b"), entry("c"), entry("d"))
		checkUpdate(t, catalog, 2, "n/a:ready n/b:ready n/c:ready n/d:ready")
	}
}

// A response that is not full may be older than the known state, so only its drains are applied.
func TestPartialResponseAppliesOnlyDrains(t *testing.T) {
	catalog := NewCatalog(Mapping{}, false)
	// Before the first full response only drains are reported: a gateway that has just started may have a cached list.
	catalog.UpdateHealth(t0, []Entry{entry("a", withStatus("critical")), entry("b")}, false, false)
	update, ok := catalog.TakeUpdate(t0)
	if !ok || update.Full || len(update.Nodes) != 1 {
		t.Fatalf("first response, not full: update %+v, ok %v; want one node and not full", update, ok)
	}
	if n := update.Nodes[0]; n.Name != "n/a" || n.State != decision.Draining || n.Addr == "" {
		t.Errorf("first response, not full: %+v, want n/a draining with its address", n)
	}
	catalog.UpdateHealth(t0, []Entry{entry("b")}, false, false)
	if got := describe(catalog, t0); got != "no update" {
		t.Errorf("response without drains, not full: %q, want %q", got, "no update")
	}
	updateHealth(t, catalog, 0, entry("a"), entry("b", withStatus("critical")), entry("c"))
	catalog.UpdateHealth(t0, []Entry{entry("a", withStatus("critical")), entry("b"), entry("new")}, false, false)
	checkUpdate(t, catalog, 1, "n/a:draining n/b:draining n/c:ready")
}

// The health API has sent its first full response, and the catalog API none yet. A drain that a later response of the
// health API shows must be reported at once: it was lost, and the cached endpoint got requests. Each drain is reported
// once.
func TestDrainBeforeFirstCatalogResponse(t *testing.T) {
	critical := withStatus("critical")
	for _, full := range []bool{false, true} {
		catalog := NewCatalog(Mapping{Name: "name"}, true)
		named := func(e *Entry) { e.Meta = map[string]string{"name": "named-" + e.ID} }
		respond := func(at float64, full bool, want string, entries ...Entry) {
			t.Helper()
			catalog.UpdateHealth(t0, entries, full, false)
			checkUpdate(t, catalog, at, want)
		}
		respond(0, true, "no update", entry("a", named), entry("b"))
		respond(1, full, "named-a:draining", entry("a", named, critical), entry("b"))
		respond(2, full, "no update", entry("a", named, critical), entry("b"))
		respond(3, full, "n/b:draining", entry("a", named, critical), entry("b", critical))
		respond(4, true, "no update", entry("a", named), entry("b", critical))
		respond(5, full, "named-a:draining", entry("a", named, critical), entry("b", critical))
		catalog.UpdateFromCatalogAPI([]string{"n/a", "n/b"})
		checkUpdate(t, catalog, 6, "named-a:draining n/b:draining")
	}
}

// The health API lists an instance that was missing from the last response of the catalog API, so that response may
// be out of date: the update must not be full until the catalog API responds again.
func TestOlderResponseRemovesNoNode(t *testing.T) {
	catalog := NewCatalog(Mapping{}, true)
	catalog.UpdateFromCatalogAPI([]string{"n/a"})
	updateHealth(t, catalog, 0, entry("a"), entry("b"))
	if update, ok := catalog.TakeUpdate(t0); !ok || update.Full || len(update.Nodes) != 1 {
		t.Errorf("catalog response is older: update %+v, ok %v; want one node and not full", update, ok)
	}
	catalog.UpdateFromCatalogAPI([]string{"n/a"})
	if update, ok := catalog.TakeUpdate(t0); !ok || !update.Full || len(update.Nodes) != 1 {
		t.Errorf("catalog response repeated: update %+v, ok %v; want one node and full", update, ok)
	}
	// Conversely, while the health API fails, responses of the catalog API do not confirm what the health API lacked.
	catalog.UpdateFromCatalogAPI([]string{"n/a", "n/b", "n/c"})
	if update, ok := catalog.TakeUpdate(t0); !ok || update.Full {
		t.Errorf("health response is older: update %+v, ok %v; want not full", update, ok)
	}
}

// Attributes are read from the metadata that the mapping selects. Cells are numbers or hashes, and a node without a
// cell gets one of its own.
func TestMapping(t *testing.T) {
	catalog := NewCatalog(Mapping{Zone: "datacenter", Cell: "node:rack", InstanceType: "model"}, false)
	e := func(id, rack string) Entry {
		return entry(id, withMeta("model", "m2"), func(e *Entry) {
			e.Datacenter, e.NodeMeta = "dc1", map[string]string{"rack": rack}
		})
	}
	updateHealth(t, catalog, 0, e("a", "12"), e("b", "north"), e("c", "north"), e("d", ""), e("e", ""), e("f", "-3"),
		e("g", "99999999999999999999"))
	update, _ := catalog.TakeUpdate(t0)
	cells := map[int]int{}
	for _, n := range update.Nodes {
		cells[n.Cell]++
		if n.Zone != "dc1" || n.InstanceType != "m2" {
			t.Errorf("node %+v, want zone dc1 and instance type m2", n)
		}
	}
	if update.Nodes[0].Cell != 12 || update.Nodes[1].Cell != update.Nodes[2].Cell || len(cells) != 6 {
		t.Errorf("nodes by cell: %v; want 6 cells, a in 12, b and c in the same", cells)
	}
}

// A node has its mapped name, unless that is empty or another node already has it.
func TestMappedNames(t *testing.T) {
	catalog := NewCatalog(Mapping{Name: "node:host"}, false)
	hosted := func(id, host string) Entry {
		return entry(id, func(e *Entry) { e.NodeMeta = map[string]string{"host": host} })
	}
	updateHealth(t, catalog, 0, hosted("a", "s-1"), hosted("b", ""), hosted("c", "s-1"))
	checkUpdate(t, catalog, 0, "s-1:ready n/b:ready n/c:ready")
}

// An invalid entry is reported as an error, and an instance that was known keeps its state.
func TestInvalidEntries(t *testing.T) {
	catalog := NewCatalog(Mapping{}, false)
	updateHealth(t, catalog, 0, entry("a"))
	invalid := catalog.UpdateHealth(t0, []Entry{
		entry("a", func(e *Entry) { e.Host = "" }),
		entry("b", func(e *Entry) { e.Port = 0 }),
		entry("c", func(e *Entry) { e.Port = 65536 }),
		entry(""),
		entry("d"),
	}, true, false)
	if len(invalid) != 4 {
		t.Errorf("%d errors %v, want 4", len(invalid), invalid)
	}
	checkUpdate(t, catalog, 0, "n/a:ready n/d:ready^0")
}

// Absent instances are deleted after a while: a constant stream of new names must not fill the memory.
func TestCatalogIsBounded(t *testing.T) {
	catalog := NewCatalog(Mapping{}, false)
	for i := range 3000 {
		now := t0.Add(time.Duration(i) * time.Second)
		catalog.UpdateHealth(now, []Entry{entry(fmt.Sprint("id", i))}, true, false)
		catalog.TakeUpdate(now)
	}
	if len(catalog.records) > 302 || len(catalog.inHealth) != 1 {
		t.Errorf("%d records, %d in health; want at most 302 and 1", len(catalog.records), len(catalog.inHealth))
	}
}

// Consul's catalog loses its data while a node turns critical. The membership table does not act on the empty list,
// so the drain must be reported separately, and once.
func TestTakeUnlistedDrains(t *testing.T) {
	catalog := NewCatalog(Mapping{}, true)
	names := func(entries ...Entry) (names []string) {
		for _, e := range entries {
			names = append(names, Name(e.Node, e.ID))
		}
		return names
	}
	checkDrains := func(at float64, listed, unlisted string) {
		t.Helper()
		var got []string
		for _, n := range catalog.TakeUnlistedDrains().Nodes {
			got = append(got, n.Name+":"+[]string{"ready", "draining", "gone"}[n.State])
		}
		if s := strings.Join(got, " "); s != unlisted {
			t.Errorf("at %v: unlisted %q, want %q", at, s, unlisted)
		}
		checkUpdate(t, catalog, at, listed)
	}
	updateHealth(t, catalog, 0, entry("a"), entry("b"))
	catalog.UpdateFromCatalogAPI(names(entry("a"), entry("b")))
	checkDrains(0, "n/a:ready n/b:ready", "")
	catalog.UpdateFromCatalogAPI(nil)
	updateHealth(t, catalog, 1, entry("a", withStatus("critical")), entry("b"))
	checkDrains(1, "", "n/a:draining")
	checkDrains(2, "", "") // not reported again
	updateHealth(t, catalog, 2, entry("a", withStatus("critical")), entry("b", withStatus("critical")))
	checkDrains(2, "", "n/b:draining") // the list already lacked b
	updateHealth(t, catalog, 3, entry("a"), entry("b"))
	catalog.UpdateFromCatalogAPI(names(entry("a"), entry("b")))
	checkDrains(3, "n/a:ready n/b:ready", "")
	updateHealth(t, catalog, 4, entry("a", withStatus("critical")), entry("b"))
	checkDrains(4, "n/a:draining n/b:ready", "")
}
