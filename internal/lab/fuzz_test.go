package lab

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"pumicecroft/internal/settings"
)

// Any experiment file is either parsed into cells that can be emulated, or rejected with settings.Problems.
func FuzzExperiment(f *testing.F) {
	files, _ := filepath.Glob("../../lab/*.toml")
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte("name = \"x\"\n[[factor]]\nname = \"a\"\n[[factor.level]]\nname = \"b\"\n" +
		"set = { \"fault.kind\" = 3, class = [1] }\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		e, err := Parse(text, func(string) ([]byte, error) { return []byte("0,1,look,1\n"), nil })
		var problems settings.Problems
		if err != nil && !errors.As(err, &problems) {
			t.Fatalf("got error %v of type %T, want settings.Problems", err, err)
		}
		if err != nil {
			return
		}
		for _, c := range e.Cells {
			if err := c.Config.Validate(); err != nil {
				t.Fatalf("cell %v of a file that was accepted: %v", c.Levels, err)
			}
		}
	})
}
