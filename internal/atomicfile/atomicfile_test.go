package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

func TestReplace(t *testing.T) {
	for name, o := range map[string]Options{
		"defaults":       {TempPattern: ".new-*"},
		"synced":         {TempPattern: ".new-*", Sync: true, SyncDir: true},
		"readable files": {TempPattern: ".new-*", Perm: 0o644},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "file")
			for _, text := range []string{"one", "", "three"} {
				if err := Replace(path, []byte(text), o); err != nil {
					t.Fatal(err)
				}
				if got, err := os.ReadFile(path); err != nil || string(got) != text {
					t.Errorf("read %q, %v; want %q", got, err, text)
				}
			}
			want := o.Perm
			if want == 0 {
				want = 0o600
			}
			if info, err := os.Stat(path); err != nil || info.Mode().Perm() != want {
				t.Errorf("mode %v, %v; want %v", info.Mode(), err, want)
			}
			checkNoTemporaryFiles(t, path)
		})
	}
}

// Replace fails because its target is a directory, or because its directory does not exist. It must return an
// error and leave no temporary file.
func TestReplaceFailureLeavesNothingBehind(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	if err := os.MkdirAll(filepath.Join(path, "entry"), 0o700); err != nil { // the rename fails
		t.Fatal(err)
	}
	if err := Replace(path, []byte("x"), Options{TempPattern: ".new-*"}); err == nil {
		t.Error("Replace of a directory: got no error, want one")
	}
	checkNoTemporaryFiles(t, path)
	if err := Replace(filepath.Join(path, "missing", "file"), nil, Options{}); err == nil {
		t.Error("Replace in a directory that does not exist: got no error, want one")
	}
}

func checkNoTemporaryFiles(t *testing.T, path string) {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(filepath.Dir(path), ".new-*"))
	if err != nil || len(found) > 0 {
		t.Errorf("temporary files left: %v, %v", found, err)
	}
}

func TestTryLock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "lock")
	first, err := TryLock(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := TryLock(path); !errors.Is(err, ErrLocked) {
		t.Errorf("TryLock of a locked file: %v, want %v", err, ErrLocked)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	second, err := TryLock(path)
	if err != nil {
		t.Fatalf("TryLock after the first lock was released: %v", err)
	}
	if err := second.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := TryLock(filepath.Join(path, "missing", "lock")); err == nil || errors.Is(err, ErrLocked) {
		t.Errorf("TryLock in a directory that does not exist: %v, want an error other than ErrLocked", err)
	}
}
