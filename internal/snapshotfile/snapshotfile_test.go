package snapshotfile

import (
	"errors"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"testing"
)

// A snapshot file must be held by one process at a time, keep its contents when a write fails, and be listed.
func TestFile_OpenWriteRead(t *testing.T) {
	dir := t.TempDir()
	f, err := Open(dir, 3)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Read(); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("Read before the first write: %v, want %v", err, fs.ErrNotExist)
	}
	for _, text := range []string{"one", "two"} {
		if err := f.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		if got, err := f.Read(); string(got) != text || err != nil {
			t.Errorf("Read returned %q, %v, want %q", got, err, text)
		}
	}
	if _, err := Open(dir, 3); !errors.Is(err, ErrInUse) {
		t.Errorf("second Open: %v, want %v", err, ErrInUse)
	}
	other, err := Open(dir, 4)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, other)
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	if f, err = Open(dir, 3); err != nil {
		t.Fatalf("Open after the first file was closed: %v", err)
	}
	closeAtEnd(t, f)
	if got, err := f.Read(); string(got) != "two" || err != nil {
		t.Errorf("Read after reopening returned %q, %v, want %q", got, err, "two")
	}
	if found, err := List(dir); err != nil || !maps.Equal(found, map[int]string{3: Path(dir, 3)}) {
		t.Errorf("List returned %v, %v, want only index 3", found, err)
	}
	// The rename fails, as the target is a directory. No temporary file must be left.
	path := Path(dir, 4)
	if err := os.MkdirAll(filepath.Join(path, "entry"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := other.Write([]byte("x")); err == nil {
		t.Error("Write over a directory: got no error, want one")
	}
	if left, _ := filepath.Glob(filepath.Join(dir, ".decisions-*")); len(left) > 0 {
		t.Errorf("temporary files left: %v", left)
	}
	if _, err := Open(filepath.Join(dir, "none"), 0); err == nil {
		t.Error("Open in a directory that does not exist: got no error, want one")
	}
	if err := os.Truncate(Path(dir, 3), MaxFileBytes+1); err != nil {
		t.Fatal(err)
	}
	if _, err := f.Read(); err == nil {
		t.Errorf("Read of a file of %d bytes: got no error, want one", MaxFileBytes+1)
	}
}

func closeAtEnd(t *testing.T, f *File) {
	t.Helper()
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
}
