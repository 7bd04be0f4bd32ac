// Package atomicfile replaces files atomically and locks them against other processes. It keeps no
// state; it reads and writes only the named files and temporary files in their directories.
package atomicfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/gofrs/flock"
)

// ErrLocked is returned by TryLock if the lock is already held.
var ErrLocked = errors.New("atomicfile: locked by another process")

// Options configures Replace. The zero value creates a file that only its owner can read, and that
// may be incomplete after a crash of the machine.
type Options struct {
	TempPattern string      // name of the temporary file, as for os.CreateTemp
	Perm        fs.FileMode // permissions of the new file; 0: 0o600
	Sync        bool        // sync the data to disk before the file is renamed
	SyncDir     bool        // sync the directory, so that the rename survives a power failure
}

// Replace writes data to a temporary file in path's directory and renames it to path. Readers see
// either the old contents or the new. If it fails before the rename, the old file is unchanged and the
// temporary file is removed. It blocks for as long as the disk takes.
func Replace(path string, data []byte, o Options) error {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, o.TempPattern)
	if err != nil {
		return err
	}
	if err = writeAndClose(f, data, o); err == nil {
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

// writeAndClose writes the data and closes the file, also after an error.
func writeAndClose(f *os.File, data []byte, o Options) error {
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
// does not wait: the error wraps ErrLocked if another process, or another Lock of this process, holds
// the lock.
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

// Close releases the lock. The file is not removed.
func (l *Lock) Close() error { return l.file.Close() }
