package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// The names of commands, arguments and flags are documented in docs/operate: renaming a Go field must not
// change them.
func TestCommandLineKeepsItsNames(t *testing.T) {
	const want = `--help -h, --log-format [text,json], --log-level [debug,info,warn,error]
serve <file>
check <file>
routes <file> <method> <url>: --header -H, --from
members <file>
state <dir>: --file
demo: --duration, --addr, --seed
sim
sim run: --seeds, --jobs, --first
sim replay: --seed, --trace
sim shrink: --seed
sim corpus: --file
sim mutants: --file, --root, --seeds, --jobs, --only
load <file> <target>: --out -o, --rate, --duration, --anywhere
lab
lab check <file>
lab run <file>: --dir -d, --jobs -j
lab compare <dir> [<other>]: --level, --figure -f, --factor, --of, --with
lab report <dir>: --level, --figure -f, --by, --out -o, --markdown, --plot
lab variants <file> <experiment>: --level, --figure -f, --dir -d, --root, --jobs -j
lab paper: --jobs -j, --most [16,32]
lab figures
version
completion [<shell>]: --code -c
`
	parser, err := kong.New(&commandLine{}, kong.Name("pumicecroft"), kong.Vars{"corpus": corpusFile, "jobs": "8"})
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	got.WriteString(strings.Join(flagNames(parser.Model.Flags), ", ") + "\n")
	for _, child := range parser.Model.Children {
		describeCommand(&got, "", child)
	}
	if got.String() != want {
		t.Errorf("the command line is\n%s\nwant\n%s", got.String(), want)
	}
}

// describeCommand writes a line for a command and each of its subcommands. parent is the path of its
// parent command.
func describeCommand(out *strings.Builder, parent string, n *kong.Node) {
	line := strings.TrimSpace(parent + " " + n.Name)
	path := line
	for _, p := range n.Positional {
		line += " " + p.Summary()
	}
	if flags := flagNames(n.Flags); len(flags) > 0 {
		line += ": " + strings.Join(flags, ", ")
	}
	out.WriteString(line + "\n")
	for _, child := range n.Children {
		describeCommand(out, path, child)
	}
}

func flagNames(flags []*kong.Flag) (names []string) {
	for _, f := range flags {
		name := "--" + f.Name
		if f.Short != 0 {
			name += " -" + string(f.Short)
		}
		if f.Enum != "" {
			name += fmt.Sprintf(" [%s]", f.Enum)
		}
		names = append(names, name)
	}
	return names
}
