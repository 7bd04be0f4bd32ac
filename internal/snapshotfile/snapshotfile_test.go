package snapshotfile

import (
	"errors"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"testing"
)

// A snapshot file is held by one process at a time, is replaced as a whole whatever fails, and is found again.
func TestFile_OpenWriteRead(t *testing.T) {
	dir := t.TempDir()
	f, err := Open(dir, 3)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Read(); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("before the first write: %v", err)
	}
	for _, text := range []string{"one", "two"} {
		if err := f.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		if got, err := f.Read(); string(got) != text || err != nil {
			t.Errorf("%q, %v", got, err)
		}
	}
	if _, err := Open(dir, 3); !errors.Is(err, ErrInUse) {
		t.Errorf("opened twice: %v", err)
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
		t.Fatalf("after the first was closed: %v", err)
	}
	closeAtEnd(t, f)
	if got, err := f.Read(); string(got) != "two" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if found, err := List(dir); err != nil || !maps.Equal(found, map[int]string{3: Path(dir, 3)}) {
		t.Errorf("%v, %v", found, err)
	}
	// Its place can't be taken: what is there stays, and nothing is left behind.
	path := Path(dir, 4)
	if err := os.MkdirAll(filepath.Join(path, "in the way"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := other.Write([]byte("x")); err == nil {
		t.Error("a directory was written over")
	}
	if left, _ := filepath.Glob(filepath.Join(dir, ".decisions-*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
	if _, err := Open(filepath.Join(dir, "none"), 0); err == nil {
		t.Error("a directory that is not there was taken")
	}
	if err := os.Truncate(Path(dir, 3), MaxFileBytes+1); err != nil {
		t.Fatal(err)
	}
	if _, err := f.Read(); err == nil {
		t.Error("a file over the bound was read")
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
