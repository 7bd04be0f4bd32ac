package recovery

import (
	"bytes"
	"flag"
	"os"
	"reflect"
	"testing"
	"time"

	"pumicecroft/decision"
)

var writeStored = flag.Bool("write-stored", false, "write testdata/snapshot.form1 anew, for a form that is new")

const storedPath = "testdata/snapshot.form1"

// storedSnapshot is what storedPath holds. No field of it, nor of its first customer, is zero.
func storedSnapshot() *Snapshot {
	return &Snapshot{
		Door: 3, Of: 7, Boot: 0xfeed_beef_0123_4567, At: time.Date(2026, time.December, 3, 7, 4, 5, 123_456_789, time.UTC),
		Settings: 0x0123_4567_89ab_cdef, Whole: true,
		Customers: []decision.CustomerState{
			{ID: 1 << 40, Plan: "shop", Doors: 5, Member: true, Missing: 123.25, Pass: 0.75, Metered: 50.5, Own: 12.125, Heard: 1.5},
			{ID: 9, Plan: "open", Doors: 1, Pass: 0.1},
		},
	}
}

// storedSettings have no field at its zero value.
func storedSettings() decision.Settings {
	return decision.Settings{
		FrontDoors: 7, Me: 3, Zone: "z1",
		Classes: []decision.Class{
			{Name: "look", Effect: decision.Unsafe, Group: decision.GroupCell, KeyWindow: 5 * time.Second, Aim: 200 * ms,
				Deadline: 2 * time.Second, Worth: 1.5, LateWorth: 0.25, Stream: true},
			{Name: "pay", Effect: decision.Keyed, Group: decision.GroupZone, KeyWindow: 6 * time.Second, Aim: 300 * ms,
				Deadline: 3 * time.Second, Worth: 2.5, LateWorth: 0.125, Stream: true},
		},
		Plans: []decision.Plan{{Name: "shop", Rate: 10, Burst: 100, Open: 4, Price: 2, OverWorth: 0.5, OverCost: 0.125,
			CeilingRate: 20, CeilingBurst: 40, CeilingSlack: 8}},
		MeterPeriod: 500 * ms, LargestUnits: 3, MaxAttempts: 4, ParallelTries: true, CanCancel: true, CanProbe: true,
		MaxRetryAfter: time.Minute, AskForList: true, LoadColumns: []string{"depth", "tps"}, LoadInAnswers: true, AnswerGrace: 20 * ms,
		DrainGrace: 2 * time.Second, ColdFrom: 0.2, WarmWithin: 30 * time.Second, FallMultiple: 4, FallFor: 5 * time.Second,
		StartSpent: true, SharedCounter: true,
	}
}

// A snapshot outlives the program that wrote it. One that a later program reads otherwise, or not at all, has every
// customer begin with nothing after an upgrade; so what was written once is read field by field, and written alike.
func TestDecode_SnapshotOfAnEarlierProgram(t *testing.T) {
	want := storedSnapshot()
	if *writeStored {
		b, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(storedPath, b, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(storedPath)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(stored)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, want %+v", got, want)
	}
	again, err := Encode(got)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, stored) {
		t.Errorf("written again as %q, want %q", again, stored)
	}
}

// A snapshot is refused under settings of another digest. One and the same settings must have the digest that earlier
// programs gave them, or an upgrade refuses every snapshot.
func TestDigest_IsThatOfEarlierPrograms(t *testing.T) {
	set := storedSettings()
	for _, v := range []any{set, set.Classes[0], set.Classes[1], set.Plans[0]} {
		for i := range reflect.TypeOf(v).NumField() {
			if reflect.ValueOf(v).Field(i).IsZero() {
				t.Errorf("%T: field %d is zero, so the digest tells nothing of it", v, i)
			}
		}
	}
	const want = uint64(0xda351da2feeccea0)
	if got := Digest(set); got != want {
		t.Errorf("%#x, want %#x", got, want)
	}
	set.StartSpent = false
	if got := Digest(set); got != want {
		t.Errorf("%#x without what follows from a snapshot, want %#x", got, want)
	}
}

// What is stored under a Go identifier changes its form when that is renamed.
func TestStoredFieldsAreNamedByTags(t *testing.T) {
	for _, v := range []any{Snapshot{}, decision.CustomerState{}, decision.Settings{}, decision.Class{}, decision.Plan{}} {
		for i := range reflect.TypeOf(v).NumField() {
			if f := reflect.TypeOf(v).Field(i); f.Tag.Get("cbor") == "" {
				t.Errorf("%T.%s has no cbor tag", v, f.Name)
			}
		}
	}
}
