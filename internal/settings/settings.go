// Package settings reads TOML files key by key, such as an operator's or an experiment's: every problem of a file is found in one go and
// names its key and line, and a key that nobody asks for is a problem, as it may be one misspelt. It reads text; files are the caller's.
package settings

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is one thing that is wrong with a file.
type Problem struct {
	Line    int    // from 1; 0: nowhere in particular
	Key     string // such as plan[1].rate, entries of lists from 0; empty where the text is no TOML
	Message string
}

// Error is the problem in a line.
func (p Problem) Error() string {
	if p.Key == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Key, p.Message)
}

// Problems are all that is wrong with a file, by line.
type Problems []Problem

// Error is the problems, a line each.
func (ps Problems) Error() string {
	var lines []string
	for _, p := range ps {
		lines = append(lines, p.Error())
	}
	return strings.Join(lines, "\n")
}

// Document is a file that is read key by key, so that every problem is found and each has its line.
type Document struct {
	Root     map[string]any
	lines    map[string]int // of keys and tables, by path
	problems Problems
}

// Parse reads a file's text as TOML.
func Parse(text []byte) (*Document, error) {
	d := &Document{Root: map[string]any{}, lines: map[string]int{}}
	if err := toml.Unmarshal(text, &d.Root); err != nil {
		if de, ok := errors.AsType[*toml.DecodeError](err); ok {
			line, _ := de.Position()
			return nil, Problems{{Line: line, Key: strings.Join(de.Key(), "."), Message: de.Error()}}
		}
		return nil, Problems{{Message: err.Error()}}
	}
	d.index(text)
	return d, nil
}

// index notes the line of each key and table. The text is known to be TOML.
func (d *Document) index(text []byte) {
	var p unstable.Parser
	p.Reset(text)
	table := ""
	counts := map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for k := e.Key(); k.Next(); {
			if n := k.Node(); line == 0 {
				line = p.Shape(n.Raw).Start.Line
			}
			parts = append(parts, string(k.Node().Data))
		}
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable: // what is below a list of tables is its last one's
			table = ""
			for i, part := range parts {
				if table = Join(table, part); e.Kind == unstable.ArrayTable && i == len(parts)-1 {
					counts[table]++
				}
				if n := counts[table]; n > 0 {
					table = fmt.Sprintf("%s[%d]", table, n-1)
				}
			}
			d.lines[table] = line
		case unstable.KeyValue:
			d.lines[Join(table, strings.Join(parts, "."))] = line
		}
	}
}

// Join is the path of a key in a table.
func Join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// Problemf notes a problem at a key, or at the table that lacks it.
func (d *Document) Problemf(table, key, format string, args ...any) {
	path := Join(table, key)
	line, ok := d.lines[path]
	if !ok {
		line = d.lines[table]
	}
	d.problems = append(d.problems, Problem{Line: max(line, 1), Key: path, Message: fmt.Sprintf(format, args...)})
}

// Line is where a key or table stands, from 1; 0: nowhere.
func (d *Document) Line(path string) int { return d.lines[path] }

// SetLine says where a key stands that was put there from elsewhere.
func (d *Document) SetLine(path string, line int) { d.lines[path] = line }

// Err gives all problems by line, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
	return d.problems
}

// Section is one table of a Document. A key that is not asked for is a problem, as it may be one misspelt.
type Section struct {
	document *Document
	Path     string
	Keys     map[string]any // nil: it is not there
	known    map[string]bool
}

// Top is the document's own table.
func (d *Document) Top() *Section { return &Section{d, "", d.Root, map[string]bool{}} }

// Table gives the table of a name; one that is not there is empty.
func (s *Section) Table(name string) *Section {
	s.known[name] = true
	path := Join(s.Path, name)
	v, ok := s.Keys[name]
	m, isTable := v.(map[string]any)
	if ok && !isTable {
		s.document.Problemf(s.Path, name, "it is %s, not a table", describeType(v))
	}
	return &Section{s.document, path, m, map[string]bool{}}
}

// List gives the tables of a name.
func (s *Section) List(name string) []*Section {
	s.known[name] = true
	v, ok := s.Keys[name]
	if !ok {
		return nil
	}
	var out []*Section
	all, isList := v.([]any)
	for i, e := range all {
		m, isTable := e.(map[string]any)
		isList = isList && isTable
		out = append(out, &Section{s.document, fmt.Sprintf("%s[%d]", Join(s.Path, name), i), m, map[string]bool{}})
	}
	if !isList {
		s.document.Problemf(s.Path, name, "it is %s, not a list of tables ([[%s]])", describeType(v), name)
		return nil
	}
	return out
}

// RejectUnknownKeys notes the keys that nobody has asked for.
func (s *Section) RejectUnknownKeys() {
	for key := range s.Keys {
		if !s.known[key] {
			s.document.Problemf(s.Path, key, "no such key; there are %s", strings.Join(slices.Sorted(func(yield func(string) bool) {
				for k := range s.known {
					if !yield(k) {
						return
					}
				}
			}), ", "))
		}
	}
}

func describeType(v any) string {
	switch v.(type) {
	case string:
		return "a text"
	case int64:
		return "a whole number"
	case float64:
		return "a number"
	case bool:
		return "true or false"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}

// Get gives a value as it stands.
func (s *Section) Get(key string) (any, bool) {
	s.known[key] = true
	v, ok := s.Keys[key]
	return v, ok
}

// Text gives a text; must tells that it has to be there and not be empty.
func (s *Section) Text(key string, must bool) string {
	v, ok := s.Get(key)
	t, isText := v.(string)
	switch {
	case !ok && must:
		s.document.Problemf(s.Path, key, "it is missing")
	case ok && !isText:
		s.document.Problemf(s.Path, key, "it is %s, not a text", describeType(v))
	case ok && must && t == "":
		s.document.Problemf(s.Path, key, "it is empty")
	}
	return t
}

// Texts gives a list of texts; nil: there is none.
func (s *Section) Texts(key string) []string {
	v, ok := s.Get(key)
	if !ok {
		return nil
	}
	all, isList := v.([]any)
	out := []string{}
	for _, e := range all {
		t, isText := e.(string)
		isList = isList && isText && t != ""
		out = append(out, t)
	}
	if !isList {
		s.document.Problemf(s.Path, key, "it is not a list of texts")
		return nil
	}
	return out
}

// OneOf gives a text's place among the ones that there are.
func (s *Section) OneOf(key, usual string, names ...string) int {
	v, ok := s.Get(key)
	if !ok {
		return max(0, slices.Index(names, usual))
	}
	t, _ := v.(string)
	i := slices.Index(names, t)
	if i < 0 {
		s.document.Problemf(s.Path, key, "%s is none of %s", formatValue(v), strings.Join(names, ", "))
	}
	return max(0, i)
}

func formatValue(v any) string {
	if t, ok := v.(string); ok {
		return strconv.Quote(t)
	}
	return fmt.Sprint(v)
}

// Float gives a number between two bounds.
func (s *Section) Float(key string, usual, least, most float64) float64 {
	v, ok := s.Get(key)
	if !ok {
		return usual
	}
	n, isNumber := v.(float64)
	if whole, isWhole := v.(int64); isWhole {
		n, isNumber = float64(whole), true
	}
	switch {
	case !isNumber:
		s.document.Problemf(s.Path, key, "it is %s, not a number", describeType(v))
	case !(n >= least && n <= most):
		s.document.Problemf(s.Path, key, "%s is not from %s to %s", formatValue(v), formatBound(least), formatBound(most))
	default:
		return n
	}
	return usual
}

func formatBound(v float64) string {
	if v == math.MaxFloat64 {
		return "any number"
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// Int gives a whole number between two bounds.
func (s *Section) Int(key string, usual, least, most int) int {
	v, ok := s.Get(key)
	if !ok {
		return usual
	}
	n, isWhole := v.(int64)
	switch {
	case !isWhole:
		s.document.Problemf(s.Path, key, "it is %s, not a whole number", describeType(v))
	case n < int64(least) || n > int64(most):
		s.document.Problemf(s.Path, key, "%d is not from %d to %d", n, least, most)
	default:
		return int(n)
	}
	return usual
}

// Duration gives a time such as "250ms", between two bounds.
func (s *Section) Duration(key string, usual, least, most time.Duration) time.Duration {
	v, ok := s.Get(key)
	if !ok {
		return usual
	}
	t, isText := v.(string)
	d, err := time.ParseDuration(t)
	switch {
	case !isText || err != nil:
		s.document.Problemf(s.Path, key, `%s is no time such as "250ms" or "2s"`, formatValue(v))
	case d < least || d > most:
		s.document.Problemf(s.Path, key, "%v is not from %v to %v", d, least, most)
	default:
		return d
	}
	return usual
}

// Bool gives true or false.
func (s *Section) Bool(key string, usual bool) bool {
	v, ok := s.Get(key)
	if !ok {
		return usual
	}
	b, isBool := v.(bool)
	if !isBool {
		s.document.Problemf(s.Path, key, "it is %s, not true or false", describeType(v))
		return usual
	}
	return b
}

// Ints gives a list of whole numbers.
func (s *Section) Ints(key string) (out []int) {
	v, ok := s.Get(key)
	if !ok {
		return nil
	}
	all, isList := v.([]any)
	for _, e := range all {
		n, isWhole := e.(int64)
		isList = isList && isWhole
		out = append(out, int(n))
	}
	if !isList {
		s.document.Problemf(s.Path, key, "it is not a list of whole numbers")
		return nil
	}
	return out
}

// Line is where the table stands, from 1; 0: nowhere.
func (s *Section) Line() int { return s.document.lines[s.Path] }

// Problemf notes a problem at a key of the table.
func (s *Section) Problemf(key, format string, args ...any) {
	s.document.Problemf(s.Path, key, format, args...)
}

// AddProblem notes a problem whose place is known already.
func (d *Document) AddProblem(p Problem) { d.problems = append(d.problems, p) }
