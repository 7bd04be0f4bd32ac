package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sync/errgroup"
)

// mutant is a planted bug.
type mutant struct {
	Name string `toml:"name"`
	Rule string `toml:"rule"` // that must break
	Edit []edit `toml:"edit"`
}

// edit replaces a text that stands once in a file.
type edit struct {
	File string `toml:"file"`
	Old  string `toml:"old"`
	New  string `toml:"new"`
}

// readMutants reads a list of planted bugs.
func readMutants(path string) ([]mutant, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	var list struct {
		Mutant []mutant `toml:"mutant"`
	}
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&list); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, fmt.Errorf("%s: %s", path, strict.String())
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return list.Mutant, nil
}

// apply gives the files as they are with the bug, by their paths in the module.
func (m mutant) apply(root string) (map[string]string, error) {
	texts := map[string]string{}
	for _, e := range m.Edit {
		if _, has := texts[e.File]; !has {
			text, err := os.ReadFile(filepath.Join(root, e.File))
			if err != nil {
				return nil, err
			}
			texts[e.File] = string(text)
		}
		if n := strings.Count(texts[e.File], e.Old); n != 1 {
			return nil, fmt.Errorf("%s: the text to replace stands %d times in %s: %q", m.Name, n, e.File, e.Old)
		}
		texts[e.File] = strings.Replace(texts[e.File], e.Old, e.New, 1)
	}
	return texts, nil
}

// build builds this program with the bug in it.
func (m mutant) build(root, dir string) (program string, err error) {
	texts, err := m.apply(root)
	if err != nil {
		return "", err
	}
	overlay := struct {
		Replace map[string]string `json:"Replace"` // as go build reads it
	}{map[string]string{}}
	for file, text := range texts {
		at := filepath.Join(dir, strings.ReplaceAll(file, "/", "_"))
		if err := os.WriteFile(at, []byte(text), 0o600); err != nil {
			return "", err
		}
		overlay.Replace[filepath.Join(root, file)] = at
	}
	text, err := json.Marshal(overlay)
	if err != nil {
		return "", err
	}
	list := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(list, text, 0o600); err != nil {
		return "", err
	}
	program = filepath.Join(dir, "mutant")
	build := exec.Command("go", "build", "-overlay", list, "-o", program, "./cmd/pumicecroft")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%s does not build: %w\n%s", m.Name, err, out)
	}
	return program, nil
}

// verdict is what became of a bug.
type verdict struct {
	mutant
	rule, seed string // that broke, at which; empty: none
	took       time.Duration
	err        error
}

// foundPrefix begins the names of bugs that this world found: the corpus has a script of each.
const foundPrefix = "found: "

var corpusLine = regexp.MustCompile(`BROKEN (.+) at [0-9.]+:`)

var brokeLine = regexp.MustCompile(`BROKEN (.+): \d+ seeds, \[(\d+)`)

// run builds the bug and runs seeds until a rule breaks.
func (m mutant) run(root string, seeds string) (v verdict) {
	v.mutant = m
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		v.err = err
		return v
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program, err := m.build(root, dir)
	if err != nil {
		v.err = err
		return v
	}
	begun := time.Now()
	if strings.HasPrefix(m.Name, foundPrefix) { // its script is known
		out, _ := exec.Command(program, "sim", "corpus", "--file", filepath.Join(root, corpusFile)).CombinedOutput()
		if broke := corpusLine.FindStringSubmatch(string(out)); broke != nil {
			v.rule, v.seed, v.took = broke[1], "corpus", time.Since(begun)
			return v
		}
	}
	out, err := exec.Command(program, "sim", "run", "--seeds", seeds, "--first", "--jobs", "1").CombinedOutput()
	v.took = time.Since(begun)
	if broke := brokeLine.FindStringSubmatch(string(out)); broke != nil {
		v.rule, v.seed = broke[1], broke[2]
	} else if err != nil { // it fell over, which no maintainer would overlook
		v.err = fmt.Errorf("%w: %.300s", err, out)
	}
	return v
}

type mutantsCommand struct {
	File  string    `name:"file" default:"internal/sim/testdata/mutants.toml" help:"The planted bugs."`
	Root  string    `name:"root" default:"." help:"The module's folder."`
	Seeds seedRange `name:"seeds" default:"0..19999" help:"Seeds to run at the most, A..B."`
	Jobs  jobs      `name:"jobs" default:"4" help:"Bugs at once."`
	Only  string    `name:"only" help:"Those whose names hold this text."`
}

// Run tries all planted bugs and prints a table.
func (c *mutantsCommand) Run(out io.Writer) error {
	list, err := readMutants(c.File)
	if err != nil {
		return err
	}
	root, err := filepath.Abs(c.Root)
	if err != nil {
		return err
	}
	results := make([]verdict, len(list))
	var running errgroup.Group
	running.SetLimit(int(c.Jobs))
	for i, m := range list {
		if !strings.Contains(m.Name, c.Only) {
			continue
		}
		running.Go(func() error {
			results[i] = m.run(root, fmt.Sprintf("%d..%d", c.Seeds.first, c.Seeds.last))
			return nil
		})
	}
	_ = running.Wait() // what failed is in the verdicts
	tried, caught := 0, 0
	fmt.Fprintln(out, "| planted bug | caught by | at seed | seconds |\n| --- | --- | --- | --- |")
	for _, v := range results {
		switch {
		case v.Name == "":
			continue
		case v.err != nil:
			fmt.Fprintf(out, "| %s | FAILED: %v | | |\n", v.Name, v.err)
		case v.rule == "":
			fmt.Fprintf(out, "| %s | NOT CAUGHT | | %.1f |\n", v.Name, v.took.Seconds())
		case v.rule != v.Rule:
			fmt.Fprintf(out, "| %s | %s (not %s) | %s | %.1f |\n", v.Name, v.rule, v.Rule, v.seed, v.took.Seconds())
			caught++
		default:
			fmt.Fprintf(out, "| %s | %s | %s | %.1f |\n", v.Name, v.rule, v.seed, v.took.Seconds())
			caught++
		}
		tried++
	}
	fmt.Fprintf(out, "\n%d of %d caught\n", caught, tried)
	if caught < tried {
		return errRuleBroken
	}
	return nil
}
