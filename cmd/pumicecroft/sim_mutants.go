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

// mutant is a planted bug: a set of edits of the source that the simulation must catch.
type mutant struct {
	Name string `toml:"name"`
	Rule string `toml:"rule"` // the rule that the bug must violate
	Edit []edit `toml:"edit"`
}

// edit replaces a text that must occur exactly once in its file.
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
	defer func() { _ = f.Close() }() // closing a file opened for reading can't lose data
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

// apply returns the edited contents of the files that the bug changes, by their paths in the module.
// It writes no file.
func (m mutant) apply(root string) (map[string]string, error) {
	texts := map[string]string{}
	for _, e := range m.Edit {
		if _, loaded := texts[e.File]; !loaded {
			text, err := os.ReadFile(filepath.Join(root, e.File))
			if err != nil {
				return nil, err
			}
			texts[e.File] = string(text)
		}
		if n := strings.Count(texts[e.File], e.Old); n != 1 {
			return nil, fmt.Errorf("%s: the text to replace occurs %d times, not once, in %s: %q",
				m.Name, n, e.File, e.Old)
		}
		texts[e.File] = strings.Replace(texts[e.File], e.Old, e.New, 1)
	}
	return texts, nil
}

// build builds this program with the bug in dir, by an overlay: the tree in root doesn't change.
func (m mutant) build(root, dir string) (program string, err error) {
	texts, err := m.apply(root)
	if err != nil {
		return "", err
	}
	overlay := struct {
		Replace map[string]string `json:"Replace"` // the format of go build -overlay
	}{map[string]string{}}
	for file, text := range texts {
		path := filepath.Join(dir, strings.ReplaceAll(file, "/", "_"))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return "", err
		}
		overlay.Replace[filepath.Join(root, file)] = path
	}
	text, err := json.Marshal(overlay)
	if err != nil {
		return "", err
	}
	overlayFile := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlayFile, text, 0o600); err != nil {
		return "", err
	}
	program = filepath.Join(dir, "mutant")
	build := exec.Command("go", "build", "-overlay", overlayFile, "-o", program, "./cmd/pumicecroft")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%s does not build: %w\n%s", m.Name, err, out)
	}
	return program, nil
}

// mutantResult is the result of running the simulation with a planted bug.
type mutantResult struct {
	mutant
	rule, seed string // the violated rule and the seed, or "corpus"; empty: none
	elapsed    time.Duration
	err        error
}

// foundBugPrefix is the prefix of names of bugs that the simulation itself once found: the corpus has
// the scripts that found them.
const foundBugPrefix = "found: "

// The lines in which sim corpus and sim run report a violated rule.
var (
	corpusViolationLine = regexp.MustCompile(`BROKEN (.+) at [0-9.]+:`)
	runViolationLine    = regexp.MustCompile(`BROKEN (.+): \d+ seeds, \[(\d+)`)
)

// run builds the program with the bug and runs seeds until one violates a rule. For a bug that the
// simulation once found, it tries the corpus first.
func (m mutant) run(root string, seeds string) mutantResult {
	result := mutantResult{mutant: m}
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program, err := m.build(root, dir)
	if err != nil {
		result.err = err
		return result
	}
	started := time.Now()
	if strings.HasPrefix(m.Name, foundBugPrefix) {
		// A violated rule makes the command fail; its output names the rule.
		out, _ := exec.Command(program, "sim", "corpus", "--file", filepath.Join(root, corpusFile)).CombinedOutput()
		if broke := corpusViolationLine.FindStringSubmatch(string(out)); broke != nil {
			result.rule, result.seed, result.elapsed = broke[1], "corpus", time.Since(started)
			return result
		}
	}
	out, err := exec.Command(program, "sim", "run", "--seeds", seeds, "--first", "--jobs", "1").CombinedOutput()
	result.elapsed = time.Since(started)
	if broke := runViolationLine.FindStringSubmatch(string(out)); broke != nil {
		result.rule, result.seed = broke[1], broke[2]
	} else if err != nil { // it crashed
		result.err = fmt.Errorf("%w: %.300s", err, out)
	}
	return result
}

type mutantsCommand struct {
	File       string    `name:"file" default:"internal/sim/testdata/mutants.toml" help:"The file of planted bugs."`
	Root       string    `name:"root" default:"." help:"The root directory of the module."`
	Seeds      seedRange `name:"seeds" default:"0..19999" help:"Seeds to run for each bug, A..B, until one catches it."`
	Jobs       jobs      `name:"jobs" default:"4" help:"Number of bugs that are built and run in parallel."`
	NameFilter string    `name:"only" help:"Run only bugs whose names contain this text."`
}

// Run builds and runs all planted bugs, and prints a table of which rule caught each.
func (c *mutantsCommand) Run(out io.Writer) error {
	list, err := readMutants(c.File)
	if err != nil {
		return err
	}
	root, err := filepath.Abs(c.Root)
	if err != nil {
		return err
	}
	results := make([]mutantResult, len(list))
	var running errgroup.Group
	running.SetLimit(int(c.Jobs))
	for i, m := range list {
		if !strings.Contains(m.Name, c.NameFilter) {
			continue
		}
		running.Go(func() error {
			results[i] = m.run(root, fmt.Sprintf("%d..%d", c.Seeds.first, c.Seeds.last))
			return nil
		})
	}
	_ = running.Wait() // failures are in the results
	return printMutantResults(out, results)
}

// printMutantResults prints a table of results. It returns errRuleBroken if a bug was not caught.
func printMutantResults(out io.Writer, results []mutantResult) error {
	tried, caught := 0, 0
	fmt.Fprintln(out, "| planted bug | caught by | at seed | seconds |\n| --- | --- | --- | --- |")
	for _, r := range results {
		switch {
		case r.Name == "":
			continue
		case r.err != nil:
			fmt.Fprintf(out, "| %s | FAILED: %v | | |\n", r.Name, r.err)
		case r.rule == "":
			fmt.Fprintf(out, "| %s | NOT CAUGHT | | %.1f |\n", r.Name, r.elapsed.Seconds())
		case r.rule != r.Rule:
			fmt.Fprintf(out, "| %s | %s (not %s) | %s | %.1f |\n", r.Name, r.rule, r.Rule, r.seed, r.elapsed.Seconds())
			caught++
		default:
			fmt.Fprintf(out, "| %s | %s | %s | %.1f |\n", r.Name, r.rule, r.seed, r.elapsed.Seconds())
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
