package compare

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Damage to what had been synced, a byte at a time, in a store that was killed: whether opening says so, or keys are missing in silence.
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
			if err := st.Begin(key(n), make([]byte, endLen)); err != nil {
				t.Fatal(err)
			}
		}
		taken := t.TempDir() // as a killed process leaves it
		type place struct {
			file string
			at   int
		}
		var places []place
		entries, _ := os.ReadDir(dir)
		for _, e := range entries {
			b, err := os.ReadFile(filepath.Join(dir, e.Name()))
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(taken, e.Name()), b, 0o600); err != nil {
				t.Fatal(err)
			}
			for at, c := range b {
				if c != 0 || s.name == "journal" { // the others have room that was never written
					places = append(places, place{e.Name(), at})
				}
			}
		}
		_ = st.Close()
		said, whole, lost, fell := 0, 0, 0, 0
		for i := range flips {
			p := places[i*len(places)/flips]
			hurt := t.TempDir()
			entries, _ := os.ReadDir(taken)
			for _, e := range entries {
				b, _ := os.ReadFile(filepath.Join(taken, e.Name()))
				if e.Name() == p.file {
					b[p.at] ^= 0x40
				}
				_ = os.WriteFile(filepath.Join(hurt, e.Name()), b, 0o600)
			}
			n, err := func() (n int, err error) {
				defer func() {
					if r := recover(); r != nil {
						err = fmt.Errorf("%w: %v", errFell, r)
						fell++
					}
				}()
				return s.recover(hurt)
			}()
			switch {
			case err != nil:
				said++
			case n < keys:
				lost++
			default:
				whole++
			}
		}
		t.Logf("%s: of %d changed bytes %d are said (%d by a panic), %d opens have all %d keys, %d lack some and say nothing", s.name, flips, said, fell, whole, keys, lost)
	}
}

var errFell = fmt.Errorf("it fell over")
