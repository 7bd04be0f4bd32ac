package compare

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// A store is killed, and single bytes of its synced data are changed in turn. The test logs how often opening the store
// reports an error, returns all keys, or loses keys without an error.
func TestDamage(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	const keys, flips = 200, 400
	for _, s := range stores {
		dir := t.TempDir()
		st, err := s.open(dir)
		if err != nil {
			t.Fatal(err)
		}
		for n := range uint64(keys) {
			if err := st.Begin(key(n), make([]byte, endValueLength)); err != nil {
				t.Fatal(err)
			}
		}
		copied := t.TempDir() // the files as a killed process leaves them
		type position struct {
			file   string
			offset int
		}
		var positions []position
		entries, _ := os.ReadDir(dir)
		for _, e := range entries {
			b, err := os.ReadFile(filepath.Join(dir, e.Name()))
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(copied, e.Name()), b, 0o600); err != nil {
				t.Fatal(err)
			}
			for offset, c := range b {
				if c != 0 || s.name == "journal" { // the other stores preallocate space that was never written
					positions = append(positions, position{e.Name(), offset})
				}
			}
		}
		_ = st.Close()
		reported, intact, unreported, panics := 0, 0, 0, 0
		for i := range flips {
			p := positions[i*len(positions)/flips]
			damaged := t.TempDir()
			entries, _ := os.ReadDir(copied)
			for _, e := range entries {
				b, _ := os.ReadFile(filepath.Join(copied, e.Name()))
				if e.Name() == p.file {
					b[p.offset] ^= 0x40
				}
				_ = os.WriteFile(filepath.Join(damaged, e.Name()), b, 0o600)
			}
			n, err := func() (n int, err error) {
				defer func() {
					if r := recover(); r != nil {
						err = fmt.Errorf("%w: %v", errPanicked, r)
						panics++
					}
				}()
				return s.recoverKeys(damaged)
			}()
			switch {
			case err != nil:
				reported++
			case n < keys:
				unreported++
			default:
				intact++
			}
		}
		t.Logf("%s: of %d changed bytes, %d were reported (%d by a panic), %d left all %d keys intact, "+
			"%d lost keys without an error", s.name, flips, reported, panics, intact, keys, unreported)
	}
}

var errPanicked = fmt.Errorf("store panicked")
