// Package atomicfile replaces files as a whole and locks them against other processes. It owns no
// state; it reads and writes nothing but the named files and temporary files beside them.
package atomicfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/gofrs/flock"
)

// ErrLocked reports that another process holds a lock.
var ErrLocked = errors.New("atomicfile: locked by another process")

// Options say how a file is replaced. The zero value gives a file that only its owner can read and
// that may be torn after a crash of the machine.
type Options struct {
	TempPattern string      // name of the temporary file, as for os.CreateTemp
	Perm        fs.FileMode // permissions of the new file; 0: 0o600
	Sync        bool        // flush the data to disk before the new file takes its name
	SyncDir     bool        // flush the directory, so that the new name survives a loss of power
}

// Replace writes data to a temporary file in path's directory and renames it to path. Readers see
// the old contents or the new, never a part; if it fails the old file is unchanged and the temporary
// file is removed. It blocks for as long as the disk takes.
func Replace(path string, data []byte, o Options) error {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, o.TempPattern)
	if err != nil {
		return err
	}
	if err = fill(f, data, o); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	if o.SyncDir {
		return syncDir(dir)
	}
	return nil
}

// fill writes the data and closes the file, whatever fails.
func fill(f *os.File, data []byte, o Options) error {
	_, err := f.Write(data)
	if o.Perm != 0 {
		err = errors.Join(err, f.Chmod(o.Perm))
	}
	if o.Sync {
		err = errors.Join(err, f.Sync())
	}
	return errors.Join(err, f.Close())
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Lock is an advisory lock on a file, held by this process until Close.
type Lock struct{ file *flock.Flock }

// TryLock locks the file at path, which it creates if it is missing (readable by its owner only). It
// does not wait: the error is ErrLocked if another process, or another Lock of this one, holds it.
func TryLock(path string) (*Lock, error) {
	l := &Lock{file: flock.New(path)}
	locked, err := l.file.TryLock()
	if err != nil {
		return nil, err
	}
	if !locked {
		return nil, fmt.Errorf("%s: %w", path, ErrLocked)
	}
	return l, nil
}

// Close releases the lock. The file stays.
func (l *Lock) Close() error { return l.file.Close() }
