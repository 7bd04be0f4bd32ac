// Package settings decodes TOML documents key by key, such as an operator's file or an experiment's.
// It collects all problems of a document, each with its key and line. A key that the program does not
// read is a problem, as it may be misspelt. The caller reads the files.
package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is one error in a document.
type Problem struct {
	Line    int    // from 1; 0: unknown
	Key     string // such as plan[1].rate, with list indexes from 0; empty if the text is not valid TOML
	Message string
}

// Error returns the problem as one line of text.
func (p Problem) Error() string {
	if p.Key == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Key, p.Message)
}

// Problems holds all errors in a document, ordered by line.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed TOML document that is read key by key. It collects problems.
type Document struct {
	Root map[string]any

	lines    map[string]int // of keys and tables, by path
	problems Problems
}

// Parse parses the text of a document. If it is not valid TOML, the error is of type Problems.
func Parse(text []byte) (*Document, error) {
	d := &Document{Root: map[string]any{}, lines: map[string]int{}}
	if err := toml.Unmarshal(text, &d.Root); err != nil {
		if decodeErr, ok := errors.AsType[*toml.DecodeError](err); ok {
			line, _ := decodeErr.Position()
			return nil, Problems{{Line: line, Key: strings.Join(decodeErr.Key(), "."), Message: decodeErr.Error()}}
		}
		return nil, Problems{{Message: err.Error()}}
	}
	d.index(text)
	return d, nil
}

// index records the line of each key and table. The text must be valid TOML.
func (d *Document) index(text []byte) {
	var parser unstable.Parser
	parser.Reset(text)
	table := ""
	counts := map[string]int{} // number of entries of each list of tables, by path
	for parser.NextExpression() {
		expression := parser.Expression()
		key, line := keyOf(&parser, expression)
		switch expression.Kind {
		case unstable.Table:
			table = indexedPath(key, counts)
			d.lines[table] = line
		case unstable.ArrayTable:
			counts[listPath(key, counts)]++
			table = indexedPath(key, counts)
			d.lines[table] = line
		case unstable.KeyValue:
			d.lines[Join(table, strings.Join(key, "."))] = line
		}
	}
}

// keyOf returns the parts of an expression's key, and its line.
func keyOf(parser *unstable.Parser, expression *unstable.Node) (parts []string, line int) {
	for k := expression.Key(); k.Next(); {
		node := k.Node()
		if line == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
		parts = append(parts, string(node.Data))
	}
	return parts, line
}

// indexedPath returns the path of a table. A part that names a list of tables stands for the list's last entry.
func indexedPath(key []string, counts map[string]int) string {
	path := ""
	for _, part := range key {
		path = Join(path, part)
		if n := counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// listPath returns the path of a list of tables, without an index for the list itself.
func listPath(key []string, counts map[string]int) string {
	last := len(key) - 1
	return Join(indexedPath(key[:last], counts), key[last])
}

// Join returns the path of a key in a table.
func Join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// Problemf adds a problem with a key of a table. If the key is missing, the problem has the table's line.
func (d *Document) Problemf(table, key, format string, args ...any) {
	path := Join(table, key)
	line, ok := d.lines[path]
	if !ok {
		line = d.lines[table]
	}
	d.AddProblem(Problem{Line: max(line, 1), Key: path, Message: fmt.Sprintf(format, args...)})
}

// AddProblem adds a problem whose line is known.
func (d *Document) AddProblem(p Problem) { d.problems = append(d.problems, p) }

// Line returns the line of a key or table, from 1; 0 if it is missing.
func (d *Document) Line(path string) int { return d.lines[path] }

// SetLine sets the line of a key that the caller has added to Root.
func (d *Document) SetLine(path string, line int) { d.lines[path] = line }

// Err returns all problems, ordered by line, as Problems; nil if there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
	return d.problems
}
