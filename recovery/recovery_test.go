package recovery

import (
	"errors"
	"flag"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumicecroft/decision"
)

const ms = time.Millisecond

var plans = []decision.Plan{{Name: "shop", Rate: 2, Burst: 10}, {Name: "open", MaxInFlight: 3}}

// TestMain has the property tests draw the same values every time, unless -rapid.seed is given.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func drawCustomers(t *rapid.T) []decision.CustomerState {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) decision.CustomerState {
		return decision.CustomerState{ID: decision.CustomerID(rapid.Uint64().Draw(t, "id")), Plan: rapid.SampledFrom([]string{"shop", "open", "gone"}).Draw(t, "plan"),
			Gateways: rapid.IntRange(0, 5).Draw(t, "doors"), UsesThisGateway: rapid.Bool().Draw(t, "member"), MissingTokens: rapid.Float64Range(0, 500).Draw(t, "missing"),
			AdmitProbability: rapid.Float64Range(0, 1).Draw(t, "pass"), MeteredUsage: rapid.Float64().Draw(t, "metered")}
	}), 0, 20).Draw(t, "customers")
}

// A snapshot is read as it was written; one that is cut or changed anywhere is rejected.
func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Snapshot{GatewayIndex: rapid.IntRange(0, 300).Draw(t, "door"), GatewayCount: 300, BootID: rapid.Uint64().Draw(t, "boot"), TakenAt: time.UnixMilli(rapid.Int64Range(0, 1<<40).Draw(t, "at")).UTC(),
			SettingsDigest: rapid.Uint64().Draw(t, "settings"), Customers: drawCustomers(t), Complete: rapid.Bool().Draw(t, "whole")}
		b, err := Encode(s)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(b)
		if err != nil || !got.TakenAt.Equal(s.TakenAt) || !slices.Equal(got.Customers, s.Customers) || got.GatewayIndex != s.GatewayIndex || got.BootID != s.BootID || got.Complete != s.Complete {
			t.Fatalf("%+v (%v), was %+v", got, err, s)
		}
		n := rapid.IntRange(0, len(b)-1).Draw(t, "at byte")
		if _, err := Decode(b[:n]); !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrFormatVersion) {
			t.Fatalf("cut after %d of %d: %v", n, len(b), err)
		}
		b[n] ^= byte(rapid.IntRange(1, 255).Draw(t, "by"))
		if _, err := Decode(b); err == nil {
			t.Fatalf("byte %d is another, and it is believed", n)
		}
	})
	if _, err := Decode([]byte("pumicecroft decisions 2\n............................")); !errors.Is(err, ErrFormatVersion) || !strings.Contains(err.Error(), "version 2") {
		t.Errorf("a later form: %v", err)
	}
}

// Of more customers than there is room for, those with the largest debts are kept, in one order, and the result says
// that others have debts too.
func TestQuotaDebts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, most := drawCustomers(t), rapid.IntRange(1, 6).Draw(t, "most")
		d := NewQuotaDebts(plans, most)
		known := 0
		for _, c := range all {
			d.Add(c)
			known += map[string]int{"shop": 1, "open": 1}[c.Plan]
			if len(d.debts) > 2*most {
				t.Fatalf("%d are held, %d are wanted", len(d.debts), most)
			}
		}
		got, whole := d.Largest()
		if len(got) != min(most, known) || whole != (known <= most) {
			t.Fatalf("%d of %d, at most %d, whole: %v", len(got), known, most, whole)
		}
		owes := func(c decision.CustomerState) float64 { return c.QuotaDebt(d.plans[c.Plan]) }
		for i, c := range got {
			if i > 0 && owes(got[i-1]) < owes(c) {
				t.Fatalf("%+v before %+v", got[i-1], c)
			}
		}
		for _, c := range all {
			if d.plans[c.Plan] != nil && !slices.Contains(got, c) && owes(c) > owes(got[len(got)-1]) {
				t.Fatalf("%+v is left out", c)
			}
		}
	})
}

func TestRestore(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	me := GatewayInfo{Index: 3, Count: 4, SettingsDigest: 7, Plans: plans}
	young := Snapshot{GatewayIndex: 3, GatewayCount: 4, SettingsDigest: 7, TakenAt: at, Complete: true, Customers: []decision.CustomerState{
		{ID: 1, Plan: "shop", Gateways: 4, MissingTokens: 400, AdmitProbability: 1},
		{ID: 2, Plan: "shop", Gateways: 1, MissingTokens: 100, AdmitProbability: 1},
		{ID: 3, Plan: "shop", Gateways: 4, MissingTokens: 500, AdmitProbability: 0.25},
		{ID: 4, Plan: "gone", Gateways: 4, MissingTokens: 500, AdmitProbability: 0.25},
		{ID: 5, Plan: "shop", Gateways: 4, MissingTokens: math.NaN(), AdmitProbability: 1},
	}}
	for name, c := range map[string]struct {
		change  func(s *Snapshot)
		after   time.Duration
		err     error
		spent   bool
		missing []float64 // of customers 1, 2 and 3; below 0: it is not there
		why     string
	}{
		"at once":              {nil, 0, nil, false, []float64{400, 100, 500}, "recent and complete"},
		"a second later":       {nil, time.Second, nil, false, []float64{375, -1, 475}, "recent and complete"},
		"a little ahead":       {nil, -time.Second, nil, false, []float64{400, 100, 500}, "recent and complete"},
		"as old as may be":     {nil, MaxTrustedAge, nil, false, []float64{150, -1, 250}, "recent and complete"},
		"older":                {nil, MaxTrustedAge + ms, nil, true, []float64{400, 100, 500}, "none is paid off"},
		"yesterday's":          {nil, 24 * time.Hour, nil, true, []float64{400, 100, 500}, "24h0m0s old"},
		"the clock went back":  {nil, -time.Hour, nil, true, []float64{400, 100, 500}, "from the future by 1h0m0s"},
		"others may owe":       {func(s *Snapshot) { s.Complete = false }, time.Second, nil, true, []float64{375, -1, 475}, "recent but incomplete"},
		"another number":       {func(s *Snapshot) { s.GatewayIndex = 2 }, 0, ErrOtherGateway, true, nil, "nothing is known"},
		"another count":        {func(s *Snapshot) { s.GatewayCount = 5 }, 0, ErrOtherGateway, true, nil, "nothing is known"},
		"under other settings": {func(s *Snapshot) { s.SettingsDigest++ }, 0, ErrOtherSettings, true, nil, "nothing is known"},
	} {
		t.Run(name, func(t *testing.T) {
			s := young
			if c.change != nil {
				c.change(&s)
			}
			b := Restore(&s, me, at.Add(c.after))
			if !errors.Is(b.Err, c.err) || b.AssumeQuotaSpent != c.spent || !strings.Contains(b.Explanation, c.why) {
				t.Errorf("%+v", b)
			}
			for i, want := range c.missing {
				n := slices.IndexFunc(b.Customers, func(c decision.CustomerState) bool { return c.ID == decision.CustomerID(i+1) })
				if n < 0 != (want < 0) || n >= 0 && math.Abs(b.Customers[n].MissingTokens-want) > 1e-9 {
					t.Errorf("customer %d: %+v, want %v missing", i+1, b.Customers, want)
				}
			}
			if slices.ContainsFunc(b.Customers, func(c decision.CustomerState) bool { return c.ID > 3 }) {
				t.Errorf("what makes no sense is believed: %+v", b.Customers)
			}
		})
	}
}

// A copy of a snapshot from days ago is put back, or the clock is set. Unless it is recent and complete, it must grant no
// customer more than a gateway that knows nothing would; and no debt grows with time.
func TestRestore_OldSnapshotGrantsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Unix(1_800_000_000, 0)
		s := &Snapshot{GatewayIndex: 1, GatewayCount: 2, TakenAt: at, Customers: drawCustomers(t), Complete: rapid.Bool().Draw(t, "whole")}
		age := time.Duration(rapid.Int64Range(-int64(48*time.Hour), int64(48*time.Hour)).Draw(t, "age"))
		b := Restore(s, GatewayInfo{Index: 1, Count: 2, Plans: plans}, at.Add(age))
		if !b.AssumeQuotaSpent && (age > MaxTrustedAge || age < -MaxClockSkew || !s.Complete) {
			t.Fatalf("of age %v, and it is taken at its word: %+v", age, b)
		}
		for _, c := range b.Customers {
			n := slices.IndexFunc(s.Customers, func(o decision.CustomerState) bool {
				return o.ID == c.ID && o.AdmitProbability == c.AdmitProbability && o.Plan == c.Plan && o.MissingTokens >= c.MissingTokens
			})
			if n < 0 || c.MissingTokens < 0 || (age > MaxTrustedAge || age < -MaxClockSkew) && !slices.Contains(s.Customers, c) {
				t.Fatalf("of age %v: %+v owes what it did not", age, c)
			}
		}
	})
}

func TestRefillTime(t *testing.T) {
	if d := RefillTime(plans); d != 5*time.Second {
		t.Errorf("%v", d)
	}
	if d := RefillTime([]decision.Plan{{Rate: 1e-300, Burst: 1e300}}); d <= 0 {
		t.Errorf("%v", d)
	}
}

func TestPauseDetector(t *testing.T) {
	var s PauseDetector
	if d := s.Observe(time.Hour, 0, false); d != 0 {
		t.Errorf("the first moment of all stood still for %v", d)
	}
	for _, c := range []struct {
		now, due time.Duration // after an hour
		waited   bool
		want     time.Duration
	}{
		{100 * ms, 0, false, 0},
		{100*ms + DefaultCheckInterval + DefaultTolerance, 0, false, 0},                                                   // nothing was due but its look at the clock
		{100*ms + 2*DefaultCheckInterval + 2*DefaultTolerance + 1, 0, false, DefaultCheckInterval + DefaultTolerance + 1}, // nor here, and that came too late
		{3500 * ms, 3400 * ms, true, 0}, // a timer, a little late
		{3500*ms + 2*DefaultTolerance, 3500*ms + DefaultTolerance - 1, true, 2 * DefaultTolerance}, // and too late
		{3400 * ms, 0, false, 0},                                                                               // a clock that went back
		{3500*ms + 2*DefaultTolerance + 100*ms, time.Hour, true, 0},                                            // something is due much later
		{3500*ms + 2*DefaultTolerance + 300*ms, -time.Hour, true, 0},                                           // or was, long ago: no later than the last moment counts
		{3500*ms + 2*DefaultTolerance + 300*ms + DefaultTolerance + 1, -time.Hour, true, DefaultTolerance + 1}, // since when it waits
	} {
		if got := s.Observe(time.Hour+c.now, time.Hour+c.due, c.waited); got != c.want {
			t.Errorf("at %v, due at %v (%v): stood still for %v, want %v", c.now, c.due, c.waited, got, c.want)
		}
	}
}

// A pause that is not noticed, and what is sent by decisions from before it, must fit into the drain grace, however short.
func TestDeadlinesFitDrainGrace(t *testing.T) {
	for _, grace := range []time.Duration{0, minDrainGrace, 600 * time.Millisecond, time.Second, 2 * time.Second, time.Hour} {
		x, within := DeadlinesFor(grace), grace
		if grace == 0 || grace > defaultDrainGrace {
			within = defaultDrainGrace
		}
		if unseen := x.CheckInterval + x.Tolerance + x.SyncTimeout; unseen > within || x.MaxDecisionAge >= within/2 || min(x.CheckInterval, x.Tolerance, x.MaxDecisionAge, x.SyncTimeout) < minDrainGrace/8 {
			t.Errorf("%v for a grace of %v", x, grace)
		}
	}
	if x := DeadlinesFor(defaultDrainGrace); x.CheckInterval != DefaultCheckInterval || x.Tolerance != DefaultTolerance {
		t.Errorf("%v for the usual grace", x)
	}
	s := PauseDetector{Deadlines: DeadlinesFor(time.Second)}
	s.Observe(time.Second, 0, false)
	if d := s.Observe(1900*time.Millisecond, 0, false); d == 0 {
		t.Error("a door with a grace of 1 s did not notice 0.9 s")
	}
}
