// Package snapshotfile holds a door's snapshot of its decisions in a directory that outlives the process: one file for each number of a door, which
// is replaced as a whole, and a lock, so that two processes of one number do not write it in turn. It reads and writes files, and knows
// nothing of what they say: that is package recovery's.
package snapshotfile

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"pumicecroft/internal/atomicfile"
)

// ErrInUse is a file that another process keeps.
var ErrInUse = errors.New("another process keeps it")

// MaxFileBytes bounds a file, in bytes.
const MaxFileBytes = 64 << 20

const prefix, suffix = "door-", ".decisions"

// Path is where a door's snapshot is.
func Path(dir string, number int) string {
	return filepath.Join(dir, prefix+strconv.Itoa(number)+suffix)
}

// File is a door's snapshot, which is this process's alone until Close.
type File struct {
	path string
	lock *atomicfile.Lock
}

// Open takes a door's snapshot in a directory that exists. The error is an ErrTaken if another process has it.
func Open(dir string, number int) (*File, error) {
	path := Path(dir, number)
	lock, err := atomicfile.TryLock(path + ".lock")
	if errors.Is(err, atomicfile.ErrLocked) {
		err = ErrInUse
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &File{path, lock}, nil
}

// Read is what was written last. One that was never written is fs.ErrNotExist.
func (f *File) Read() ([]byte, error) { return Read(f.path) }

// Read reads a file, which may be another process's. The error names it.
func Read(path string) ([]byte, error) {
	r, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	text, err := io.ReadAll(io.LimitReader(r, MaxFileBytes+1))
	if err == nil && len(text) > MaxFileBytes {
		err = fmt.Errorf("it has more than %d bytes", MaxFileBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return text, nil
}

// Write replaces it. Whatever fails, the file is the old one or the new one, whole, as long as the machine goes on; after a crash of the
// machine it may be torn, which its checksum tells.
func (f *File) Write(text []byte) error {
	return atomicfile.Replace(f.path, text, atomicfile.Options{TempPattern: ".decisions-*"})
}

// Close lets another process have it.
func (f *File) Close() error { return f.lock.Close() }

// List names the snapshots in a directory, by the number of their door.
func List(dir string) (map[int]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	out := map[int]string{}
	for _, e := range entries {
		name, ok := strings.CutPrefix(e.Name(), prefix)
		name, ok2 := strings.CutSuffix(name, suffix)
		if n, err := strconv.Atoi(name); ok && ok2 && err == nil && n >= 0 && e.Type()&fs.ModeType == 0 {
			out[n] = filepath.Join(dir, e.Name())
		}
	}
	return out, nil
}
