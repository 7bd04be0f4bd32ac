package endpointcache

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

var testNodes = []membership.Node{
	{Name: "n/a", Addr: "10.0.0.1:80", Zone: "z", InstanceType: "m", Cell: 3, Weight: 2,
		StartedAt: time.Unix(1_800_000_000, 5).UTC()},
	{Name: "n/b", Addr: "[::1]:80", State: decision.Draining, Note: "critical: web", Weight: 1},
}

func TestWriteRead(t *testing.T) {
	dir := t.TempDir()
	at := time.Unix(1_800_000_009, 0).UTC()
	if _, _, err := Read(dir, "consul:web/x"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("Read without a file: %v, want %v", err, fs.ErrNotExist)
	}
	for _, nodes := range [][]membership.Node{testNodes, testNodes[:1], nil, testNodes} {
		if err := Write(dir, "consul:web/x", nodes, at); err != nil {
			t.Fatal(err)
		}
		got, when, err := Read(dir, "consul:web/x")
		if err != nil || !when.Equal(at) || !reflect.DeepEqual(got, nodes) {
			t.Errorf("Read returned %+v at %v, %v; want %+v at %v", got, when, err, nodes, at)
		}
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) != 1 {
		t.Errorf("files in the directory: %q, want only the list", left)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, ".*")); len(left) != 0 {
		t.Errorf("temporary files left: %q", left)
	}
}

// A file that was truncated at any byte, or had any byte changed, must not be read as a list: the gateway would
// send requests to addresses that its source never returned.
func TestRead_RejectsDamagedFile(t *testing.T) {
	dir := t.TempDir()
	if err := Write(dir, "s", testNodes, time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	good, err := os.ReadFile(Path(dir, "s"))
	if err != nil {
		t.Fatal(err)
	}
	wantRejected := func(what string, i int, text []byte) {
		if err := os.WriteFile(Path(dir, "s"), text, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Read(dir, "s"); !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrOtherSource) {
			t.Errorf("file %s at byte %d: error %v, want ErrCorrupt or ErrOtherSource", what, i, err)
		}
	}
	for i := range good {
		wantRejected("truncated", i, good[:i])
		changed := bytes.Clone(good)
		changed[i] ^= 0x04
		wantRejected("changed", i, changed)
	}
	wantRejected("extended", len(good), append(bytes.Clone(good), '\n'))
}

// A file of another source, of another format or with other contents must not be read as a list.
func TestRead_RejectsForeignFile(t *testing.T) {
	dir := t.TempDir()
	if err := Write(dir, "other", testNodes, time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(Path(dir, "other"), Path(dir, "s")); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Read(dir, "s"); !errors.Is(err, ErrOtherSource) {
		t.Errorf("file of another source: %v, want %v", err, ErrOtherSource)
	}
	for _, text := range []string{"hello\nworld", `{"form":"pumicecroft-members-2","source":"s"}` + "\n{}", "[]\n[]",
		"\x00\x00\n"} {
		if err := os.WriteFile(Path(dir, "s"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Read(dir, "s"); !errors.Is(err, ErrOtherSource) {
			t.Errorf("file with contents %q: %v, want %v", text, err, ErrOtherSource)
		}
	}
}

// A failed write must leave no temporary file: on a full disk, the files would use up the remaining space.
func TestWrite_FailureLeavesNothingBehind(t *testing.T) {
	dir := t.TempDir()
	if err := Write(filepath.Join(dir, "none"), "s", testNodes, time.Unix(1, 0)); err == nil {
		t.Error("Write into a directory that does not exist: got no error, want one")
	}
	if err := os.Mkdir(Path(dir, "s"), 0o700); err != nil { // the rename fails
		t.Fatal(err)
	}
	if err := Write(dir, "s", testNodes, time.Unix(1, 0)); err == nil {
		t.Error("Write over a directory: got no error, want one")
	}
	if left, _ := filepath.Glob(filepath.Join(dir, ".*")); len(left) != 0 {
		t.Errorf("temporary files left: %q", left)
	}
}
