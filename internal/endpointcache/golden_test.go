package endpointcache

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

var writeGolden = flag.Bool("write-golden", false,
	"rewrite testdata/consul%3Aweb.members, only after a change of the file format")

// An endpoint list of an earlier release is read, compared field by field, and written to the same bytes again.
// This guards the stored format against renamed or reordered Go fields and changed omission of empty fields.
func TestGoldenFile_ReadAndRewritten(t *testing.T) {
	const source = "consul:web"
	at := time.Date(2026, 12, 1, 11, 20, 1, 250_000_000, time.UTC)
	want := []membership.Node{
		{Name: "n1/b0", Addr: "10.0.0.1:9000", Zone: "zone-a", InstanceType: "m2.large",
			Protocol: membership.ProtocolGRPC, Cell: 7, State: decision.Ready, Weight: 2.5,
			StartedAt: time.Date(2026, 11, 30, 9, 8, 7, 6_000_005, time.UTC), Note: "warning: disk: 91 % full"},
		{Name: "n1/b1", Addr: "[::1]:9001", Zone: "zone-b", InstanceType: "m3",
			Protocol: membership.ProtocolHTTP, Cell: 1<<62 + 3, State: decision.Draining, Weight: 1,
			StartedAt: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC), Note: "critical: web: \"503\" <busy> & slow"},
		{Name: "bare", Addr: "h:1"},
	}
	path := Path("testdata", source)
	if *writeGolden {
		if err := Write("testdata", source, want, at); err != nil {
			t.Fatal(err)
		}
	}
	got, when, err := Read("testdata", source)
	if err != nil || !when.Equal(at) {
		t.Fatalf("Read returned a list of %v, error %v; want a list of %v", when, err, at)
	}
	if len(got) != len(want) {
		t.Fatalf("Read returned %d nodes, want %d", len(got), len(want))
	}
	for i := range want {
		if !reflect.DeepEqual(got[i], want[i]) {
			t.Errorf("node %d: %+v, want %+v", i, got[i], want[i])
		}
	}
	dir := t.TempDir()
	if err := Write(dir, source, got, when); err != nil {
		t.Fatal(err)
	}
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	after, err := os.ReadFile(filepath.Join(dir, filepath.Base(path)))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(before, after) {
		t.Errorf("rewritten file:\n%s\nwant:\n%s", after, before)
	}
}
