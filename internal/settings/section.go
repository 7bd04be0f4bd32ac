package settings

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Section is one table of a Document. Its methods that read a key add a problem to the document if
// the value is invalid. Methods with a parameter defaultValue return it if the key is missing or its
// value is invalid.
type Section struct {
	Path string
	Keys map[string]any // nil: the table is missing, or the key has a value of another type

	document *Document
	known    map[string]bool // keys that were read
}

func (d *Document) section(path string, keys map[string]any) *Section {
	return &Section{Path: path, Keys: keys, document: d, known: map[string]bool{}}
}

// RootSection returns the document's root table.
func (d *Document) RootSection() *Section { return d.section("", d.Root) }

// Line returns the line of the table, from 1; 0 if it is missing.
func (s *Section) Line() int { return s.document.lines[s.Path] }

// Problemf adds a problem with a key of the table.
func (s *Section) Problemf(key, format string, args ...any) {
	s.document.Problemf(s.Path, key, format, args...)
}

// Table returns a subtable of this table. Its Keys are nil if the subtable is missing or not a table.
func (s *Section) Table(name string) *Section {
	value, ok := s.Get(name)
	keys, isTable := value.(map[string]any)
	if ok && !isTable {
		s.Problemf(name, "it is %s, not a table", describeType(value))
	}
	return s.document.section(Join(s.Path, name), keys)
}

// List returns the tables of a list of tables; nil if the key is missing or its value is invalid.
func (s *Section) List(name string) []*Section {
	value, ok := s.Get(name)
	if !ok {
		return nil
	}
	entries, isList := value.([]any)
	var tables []*Section
	for i, entry := range entries {
		keys, isTable := entry.(map[string]any)
		isList = isList && isTable
		tables = append(tables, s.document.section(fmt.Sprintf("%s[%d]", Join(s.Path, name), i), keys))
	}
	if !isList {
		s.Problemf(name, "it is %s, not a list of tables ([[%s]])", describeType(value), name)
		return nil
	}
	return tables
}

// RejectUnknownKeys adds a problem for each key that was not read.
func (s *Section) RejectUnknownKeys() {
	for key := range s.Keys {
		if !s.known[key] {
			s.Problemf(key, "no such key; there are %s", strings.Join(slices.Sorted(maps.Keys(s.known)), ", "))
		}
	}
}

// Get returns the decoded value of a key, and whether the key is present.
func (s *Section) Get(key string) (any, bool) {
	s.known[key] = true
	value, ok := s.Keys[key]
	return value, ok
}

// String returns a string, which is empty if the key is missing. A required string must be present and
// not empty.
func (s *Section) String(key string, required bool) string {
	value, ok := s.Get(key)
	text, isText := value.(string)
	switch {
	case !ok && required:
		s.Problemf(key, "it is missing")
	case ok && !isText:
		s.Problemf(key, "it is %s, not a text", describeType(value))
	case ok && required && text == "":
		s.Problemf(key, "it is empty")
	}
	return text
}

// Strings returns a list of strings, none of which may be empty; nil if the key is missing or its value is
// invalid. The result for a present, empty list is not nil.
func (s *Section) Strings(key string) []string {
	value, ok := s.Get(key)
	if !ok {
		return nil
	}
	entries, isList := value.([]any)
	texts := []string{}
	for _, entry := range entries {
		text, isText := entry.(string)
		isList = isList && isText && text != ""
		texts = append(texts, text)
	}
	if !isList {
		s.Problemf(key, "it is not a list of texts")
		return nil
	}
	return texts
}

// OneOf reads a string that must be one of names, and returns its index in names. It returns the index of
// defaultName if the key is missing, and 0 if the value is invalid.
func (s *Section) OneOf(key, defaultName string, names ...string) int {
	value, ok := s.Get(key)
	if !ok {
		return max(0, slices.Index(names, defaultName))
	}
	text, _ := value.(string)
	i := slices.Index(names, text)
	if i < 0 {
		s.Problemf(key, "%s is none of %s", formatValue(value), strings.Join(names, ", "))
	}
	return max(0, i)
}

// Float returns a number between minValue and maxValue.
func (s *Section) Float(key string, defaultValue, minValue, maxValue float64) float64 {
	value, ok := s.Get(key)
	if !ok {
		return defaultValue
	}
	n, isNumber := value.(float64)
	if whole, isWhole := value.(int64); isWhole {
		n, isNumber = float64(whole), true
	}
	switch inRange := n >= minValue && n <= maxValue; { // false for NaN
	case !isNumber:
		s.Problemf(key, "it is %s, not a number", describeType(value))
	case !inRange:
		s.Problemf(key, "%s is not from %s to %s", formatValue(value), formatBound(minValue), formatBound(maxValue))
	default:
		return n
	}
	return defaultValue
}

// Int returns an integer between minValue and maxValue.
func (s *Section) Int(key string, defaultValue, minValue, maxValue int) int {
	value, ok := s.Get(key)
	if !ok {
		return defaultValue
	}
	n, isWhole := value.(int64)
	switch {
	case !isWhole:
		s.Problemf(key, "it is %s, not a whole number", describeType(value))
	case n < int64(minValue) || n > int64(maxValue):
		s.Problemf(key, "%d is not from %d to %d", n, minValue, maxValue)
	default:
		return int(n)
	}
	return defaultValue
}

// Ints returns a list of integers; nil if the key is missing or its value is invalid.
func (s *Section) Ints(key string) (numbers []int) {
	value, ok := s.Get(key)
	if !ok {
		return nil
	}
	entries, isList := value.([]any)
	for _, entry := range entries {
		n, isWhole := entry.(int64)
		isList = isList && isWhole
		numbers = append(numbers, int(n))
	}
	if !isList {
		s.Problemf(key, "it is not a list of whole numbers")
		return nil
	}
	return numbers
}

// Duration returns a duration such as "250ms", between minValue and maxValue.
func (s *Section) Duration(key string, defaultValue, minValue, maxValue time.Duration) time.Duration {
	value, ok := s.Get(key)
	if !ok {
		return defaultValue
	}
	text, isText := value.(string)
	d, err := time.ParseDuration(text)
	switch {
	case !isText || err != nil:
		s.Problemf(key, `%s is no time such as "250ms" or "2s"`, formatValue(value))
	case d < minValue || d > maxValue:
		s.Problemf(key, "%v is not from %v to %v", d, minValue, maxValue)
	default:
		return d
	}
	return defaultValue
}

// Bool returns a boolean.
func (s *Section) Bool(key string, defaultValue bool) bool {
	value, ok := s.Get(key)
	if !ok {
		return defaultValue
	}
	b, isBool := value.(bool)
	if !isBool {
		s.Problemf(key, "it is %s, not true or false", describeType(value))
		return defaultValue
	}
	return b
}

// describeType returns the type of a value for messages.
func describeType(value any) string {
	switch value.(type) {
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

// formatValue formats a value for messages; strings are quoted.
func formatValue(value any) string {
	if text, ok := value.(string); ok {
		return strconv.Quote(text)
	}
	return fmt.Sprint(value)
}

// formatBound formats a bound of a number for messages.
func formatBound(bound float64) string {
	if bound == math.MaxFloat64 {
		return "any number"
	}
	return strconv.FormatFloat(bound, 'g', -1, 64)
}
