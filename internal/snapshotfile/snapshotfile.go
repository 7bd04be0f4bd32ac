// Package snapshotfile stores the snapshots of a gateway's decisions in a directory that outlives the
// process. Each gateway index has one file, which is replaced atomically and locked so that only one
// process writes it. The package does not interpret the contents; package recovery does.
package snapshotfile

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"pumicecroft/internal/atomicfile"
)

// ErrInUse is returned by Open when another process holds the snapshot.
var ErrInUse = errors.New("snapshotfile: in use by another process")

// MaxFileBytes is the size of the largest file that Read accepts.
const MaxFileBytes = 64 << 20

// A snapshot's file name is prefix, the gateway's index in decimal, and suffix.
const prefix, suffix = "door-", ".decisions"

// Path returns the snapshot file of the gateway with the given index in dir.
func Path(dir string, index int) string {
	return filepath.Join(dir, prefix+strconv.Itoa(index)+suffix)
}

// File is a gateway's snapshot file, locked by this process until Close. Its methods may be called
// from one goroutine at a time, and block for as long as the file system takes.
type File struct {
	path string
	lock *atomicfile.Lock
}

// Open locks a gateway's snapshot file. The directory must exist. The error wraps ErrInUse if another
// process holds the lock.
func Open(dir string, index int) (*File, error) {
	path := Path(dir, index)
	lock, err := atomicfile.TryLock(path + ".lock")
	if errors.Is(err, atomicfile.ErrLocked) {
		err = ErrInUse
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &File{path: path, lock: lock}, nil
}

// Read returns the snapshot. The error wraps fs.ErrNotExist if none was ever written.
func (f *File) Read() ([]byte, error) { return Read(f.path) }

// Read returns the contents of a snapshot file. It needs no lock. The error names the file.
func Read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close() //nolint:errcheck // it was only read
	text, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err == nil && len(text) > MaxFileBytes {
		err = fmt.Errorf("file is larger than %d bytes", MaxFileBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return text, nil
}

// Write replaces the snapshot. If it fails, the previous one stays. The data is not synced, as a
// snapshot is written every second and is not needed after a restart of the machine. After a crash of
// the machine the file may be incomplete, which the checksum in the snapshot detects.
func (f *File) Write(text []byte) error {
	return atomicfile.Replace(f.path, text, atomicfile.Options{TempPattern: ".decisions-*"})
}

// Close releases the lock, so that another process can open the snapshot file.
func (f *File) Close() error { return f.lock.Close() }

// List returns the paths of the snapshot files in a directory, by gateway index.
func List(dir string) (map[int]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	files := map[int]string{}
	for _, e := range entries {
		if index, ok := parseName(e.Name()); ok && e.Type().IsRegular() {
			files[index] = filepath.Join(dir, e.Name())
		}
	}
	return files, nil
}

// parseName returns the gateway index in a snapshot's file name.
func parseName(name string) (index int, ok bool) {
	name, hasPrefix := strings.CutPrefix(name, prefix)
	name, hasSuffix := strings.CutSuffix(name, suffix)
	index, err := strconv.Atoi(name)
	return index, hasPrefix && hasSuffix && err == nil && index >= 0
}
