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

// TestMain makes the property tests draw the same values in every run, unless -rapid.seed is given.
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
		return decision.CustomerState{
			ID:               decision.CustomerID(rapid.Uint64().Draw(t, "id")),
			Plan:             rapid.SampledFrom([]string{"shop", "open", "gone"}).Draw(t, "plan"),
			Gateways:         rapid.IntRange(0, 5).Draw(t, "gateways"),
			UsesThisGateway:  rapid.Bool().Draw(t, "uses this gateway"),
			MissingTokens:    rapid.Float64Range(0, 500).Draw(t, "missing tokens"),
			AdmitProbability: rapid.Float64Range(0, 1).Draw(t, "admit probability"),
			MeteredUsage:     rapid.Float64().Draw(t, "metered usage"),
		}
	}), 0, 20).Draw(t, "customers")
}

// Decode must return the snapshot that was encoded, and must reject one that is truncated or has a changed byte.
func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Snapshot{
			GatewayIndex:   rapid.IntRange(0, 300).Draw(t, "gateway index"),
			GatewayCount:   300,
			BootID:         rapid.Uint64().Draw(t, "boot ID"),
			TakenAt:        time.UnixMilli(rapid.Int64Range(0, 1<<40).Draw(t, "at")).UTC(),
			SettingsDigest: rapid.Uint64().Draw(t, "settings"),
			Customers:      drawCustomers(t),
			Complete:       rapid.Bool().Draw(t, "complete"),
		}
		b, err := Encode(s)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(b)
		if err != nil || !got.TakenAt.Equal(s.TakenAt) || !slices.Equal(got.Customers, s.Customers) ||
			got.GatewayIndex != s.GatewayIndex || got.BootID != s.BootID || got.Complete != s.Complete {
			t.Fatalf("decoded %+v (error %v), want %+v", got, err, s)
		}
		n := rapid.IntRange(0, len(b)-1).Draw(t, "byte index")
		if _, err := Decode(b[:n]); !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrFormatVersion) {
			t.Fatalf("error for %d of %d bytes is %v, want ErrCorrupt or ErrFormatVersion", n, len(b), err)
		}
		b[n] ^= byte(rapid.IntRange(1, 255).Draw(t, "changed bits"))
		if _, err := Decode(b); err == nil {
			t.Fatalf("no error with byte %d changed", n)
		}
	})
	_, err := Decode([]byte("pumicecroft decisions 2\n............................"))
	if !errors.Is(err, ErrFormatVersion) || !strings.Contains(err.Error(), "version 2") {
		t.Errorf("error for a later format is %v, want ErrFormatVersion with \"version 2\"", err)
	}
}

// If there are more customers than the limit, those with the largest debts are kept, largest first, and the result is
// not complete.
func TestQuotaDebts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, limit := drawCustomers(t), rapid.IntRange(1, 6).Draw(t, "limit")
		d := NewQuotaDebts(plans, limit)
		known := 0
		for _, c := range all {
			d.Add(c)
			known += map[string]int{"shop": 1, "open": 1}[c.Plan]
			if len(d.debts) > 2*limit {
				t.Fatalf("%d debts are held, want at most twice the limit of %d", len(d.debts), limit)
			}
		}
		got, complete := d.Largest()
		if len(got) != min(limit, known) || complete != (known <= limit) {
			t.Fatalf("%d of %d customers, complete %v, with a limit of %d", len(got), known, complete, limit)
		}
		owes := func(c decision.CustomerState) float64 { return c.QuotaDebt(d.plans[c.Plan]) }
		for i, c := range got {
			if i > 0 && owes(got[i-1]) < owes(c) {
				t.Fatalf("wrong order: %+v before %+v", got[i-1], c)
			}
		}
		for _, c := range all {
			if d.plans[c.Plan] != nil && !slices.Contains(got, c) && owes(c) > owes(got[len(got)-1]) {
				t.Fatalf("customer with a larger debt is missing: %+v", c)
			}
		}
	})
}

func TestRestore(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	gateway := GatewayInfo{Index: 3, Count: 4, SettingsDigest: 7, Plans: plans}
	recent := Snapshot{GatewayIndex: 3, GatewayCount: 4, SettingsDigest: 7, TakenAt: at, Complete: true,
		Customers: []decision.CustomerState{
			{ID: 1, Plan: "shop", Gateways: 4, MissingTokens: 400, AdmitProbability: 1},
			{ID: 2, Plan: "shop", Gateways: 1, MissingTokens: 100, AdmitProbability: 1},
			{ID: 3, Plan: "shop", Gateways: 4, MissingTokens: 500, AdmitProbability: 0.25},
			{ID: 4, Plan: "gone", Gateways: 4, MissingTokens: 500, AdmitProbability: 0.25},
			{ID: 5, Plan: "shop", Gateways: 4, MissingTokens: math.NaN(), AdmitProbability: 1},
		}}
	incomplete := func(s *Snapshot) { s.Complete = false }
	otherIndex := func(s *Snapshot) { s.GatewayIndex = 2 }
	otherCount := func(s *Snapshot) { s.GatewayCount = 5 }
	otherSettings := func(s *Snapshot) { s.SettingsDigest++ }
	for name, c := range map[string]struct {
		change      func(s *Snapshot) // applied to the recent snapshot
		age         time.Duration
		err         error
		spent       bool
		missing     []float64 // MissingTokens of customers 1, 2 and 3; negative if the customer is not restored
		explanation string
	}{
		"new":                       {nil, 0, nil, false, []float64{400, 100, 500}, "recent and complete"},
		"one second old":            {nil, time.Second, nil, false, []float64{375, -1, 475}, "recent and complete"},
		"future within clock skew":  {nil, -time.Second, nil, false, []float64{400, 100, 500}, "recent and complete"},
		"at the trusted age":        {nil, MaxTrustedAge, nil, false, []float64{150, -1, 250}, "recent and complete"},
		"just over the trusted age": {nil, MaxTrustedAge + ms, nil, true, []float64{400, 100, 500}, "none is paid off"},
		"one day old":               {nil, 24 * time.Hour, nil, true, []float64{400, 100, 500}, "24h0m0s old"},
		"future over clock skew":    {nil, -time.Hour, nil, true, []float64{400, 100, 500}, "from the future by 1h0m0s"},
		"incomplete":                {incomplete, time.Second, nil, true, []float64{375, -1, 475}, "recent but incomplete"},
		"other gateway index":       {otherIndex, 0, ErrOtherGateway, true, nil, "nothing is known"},
		"other gateway count":       {otherCount, 0, ErrOtherGateway, true, nil, "nothing is known"},
		"other settings":            {otherSettings, 0, ErrOtherSettings, true, nil, "nothing is known"},
	} {
		t.Run(name, func(t *testing.T) {
			s := recent
			if c.change != nil {
				c.change(&s)
			}
			restored := Restore(&s, gateway, at.Add(c.age))
			if !errors.Is(restored.Err, c.err) || restored.AssumeQuotaSpent != c.spent ||
				!strings.Contains(restored.Explanation, c.explanation) {
				t.Errorf("restored %+v, want error %v, AssumeQuotaSpent %v, explanation with %q",
					restored, c.err, c.spent, c.explanation)
			}
			for i, want := range c.missing {
				n := slices.IndexFunc(restored.Customers, func(customer decision.CustomerState) bool {
					return customer.ID == decision.CustomerID(i+1)
				})
				if n < 0 != (want < 0) || n >= 0 && math.Abs(restored.Customers[n].MissingTokens-want) > 1e-9 {
					t.Errorf("customers %+v, want %v tokens missing for customer %d", restored.Customers, want, i+1)
				}
			}
			if slices.ContainsFunc(restored.Customers, func(c decision.CustomerState) bool { return c.ID > 3 }) {
				t.Errorf("a customer with an unknown plan or a NaN is restored: %+v", restored.Customers)
			}
		})
	}
}

// An old copy of a snapshot is put back, or the clock is set. A snapshot that is not both recent and complete must
// grant no customer more than a gateway without a snapshot would, and no debt may grow.
func TestRestore_OldSnapshotGrantsNoTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Unix(1_800_000_000, 0)
		s := &Snapshot{GatewayIndex: 1, GatewayCount: 2, TakenAt: at, Customers: drawCustomers(t),
			Complete: rapid.Bool().Draw(t, "complete")}
		age := time.Duration(rapid.Int64Range(-int64(48*time.Hour), int64(48*time.Hour)).Draw(t, "age"))
		restored := Restore(s, GatewayInfo{Index: 1, Count: 2, Plans: plans}, at.Add(age))
		if !restored.AssumeQuotaSpent && (age > MaxTrustedAge || age < -MaxClockSkew || !s.Complete) {
			t.Fatalf("a snapshot of age %v, complete %v, is trusted: %+v", age, s.Complete, restored)
		}
		for _, c := range restored.Customers {
			n := slices.IndexFunc(s.Customers, func(o decision.CustomerState) bool {
				return o.ID == c.ID && o.AdmitProbability == c.AdmitProbability && o.Plan == c.Plan &&
					o.MissingTokens >= c.MissingTokens
			})
			if n < 0 || c.MissingTokens < 0 || (age > MaxTrustedAge || age < -MaxClockSkew) && !slices.Contains(s.Customers, c) {
				t.Fatalf("wrong debt from a snapshot of age %v: %+v", age, c)
			}
		}
	})
}

func TestRefillTime(t *testing.T) {
	if d := RefillTime(plans); d != 5*time.Second {
		t.Errorf("RefillTime is %v, want 5s", d)
	}
	if d := RefillTime([]decision.Plan{{Rate: 1e-300, Burst: 1e300}}); d <= 0 {
		t.Errorf("RefillTime of an extreme plan is %v, want above 0", d)
	}
}

func TestPauseDetector(t *testing.T) {
	var detector PauseDetector
	if pause := detector.Observe(time.Hour, 0, false); pause != 0 {
		t.Errorf("pause of %v at the first Observe, want 0", pause)
	}
	for _, c := range []struct {
		now, due time.Duration // since the first Observe
		waiting  bool
		want     time.Duration
	}{
		{100 * ms, 0, false, 0},
		// no timer, and the check is as late as tolerated
		{100*ms + DefaultCheckInterval + DefaultTolerance, 0, false, 0},
		// no timer, and the check is too late
		{100*ms + 2*DefaultCheckInterval + 2*DefaultTolerance + 1, 0, false, DefaultCheckInterval + DefaultTolerance + 1},
		// a timer that is late, but tolerated
		{3500 * ms, 3400 * ms, true, 0},
		// a timer that is too late
		{3500*ms + 2*DefaultTolerance, 3500*ms + DefaultTolerance - 1, true, 2 * DefaultTolerance},
		// the clock went back
		{3400 * ms, 0, false, 0},
		// a timer that is due much later
		{3500*ms + 2*DefaultTolerance + 100*ms, time.Hour, true, 0},
		// a timer that was due long ago counts as due at the last Observe
		{3500*ms + 2*DefaultTolerance + 300*ms, -time.Hour, true, 0},
		// and is too late since then
		{3500*ms + 2*DefaultTolerance + 300*ms + DefaultTolerance + 1, -time.Hour, true, DefaultTolerance + 1},
	} {
		if got := detector.Observe(time.Hour+c.now, time.Hour+c.due, c.waiting); got != c.want {
			t.Errorf("at %v, due at %v (waiting: %v): pause of %v, want %v", c.now, c.due, c.waiting, got, c.want)
		}
	}
}

// The longest undetected pause and the time limits that follow it must fit into any drain grace.
func TestDeadlinesFitDrainGrace(t *testing.T) {
	graces := []time.Duration{0, minDrainGrace, 600 * time.Millisecond, time.Second, 2 * time.Second, time.Hour}
	for _, grace := range graces {
		deadlines, within := DeadlinesFor(grace), grace
		if grace == 0 || grace > defaultDrainGrace {
			within = defaultDrainGrace
		}
		total := deadlines.CheckInterval + deadlines.Tolerance + deadlines.SyncTimeout
		shortest := min(deadlines.CheckInterval, deadlines.Tolerance, deadlines.MaxDecisionAge, deadlines.SyncTimeout)
		if total > within || deadlines.MaxDecisionAge >= within/2 || shortest < minDrainGrace/8 {
			t.Errorf("deadlines for a grace of %v are %+v, which do not fit into %v or are too short", grace, deadlines, within)
		}
	}
	deadlines := DeadlinesFor(defaultDrainGrace)
	if deadlines.CheckInterval != DefaultCheckInterval || deadlines.Tolerance != DefaultTolerance {
		t.Errorf("deadlines for the default grace are %+v, want the defaults %v and %v",
			deadlines, DefaultCheckInterval, DefaultTolerance)
	}
	detector := PauseDetector{Deadlines: DeadlinesFor(time.Second)}
	detector.Observe(time.Second, 0, false)
	if pause := detector.Observe(1900*time.Millisecond, 0, false); pause == 0 {
		t.Error("a pause of 0.9 s was not detected with a grace of 1 s")
	}
}
