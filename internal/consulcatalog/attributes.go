package consulcatalog

import (
	"hash/fnv"
	"strconv"
	"strings"
	"time"
)

// Mapping selects the metadata from which a node's attributes are read. Each of its keys is a key of the
// service's meta, "node:KEY" for a key of the node's meta, or "datacenter". An empty key means that the
// attribute is not set.
type Mapping struct {
	Zone, Cell, InstanceType, Protocol string

	// Name is the key of the node's name, so that other sources can report on the same node. A node with no
	// such name, or with one that another node already has, is named NODE/ID.
	Name string
	// Started is the key of the start of the node's process: a time (RFC 3339, or Unix time in seconds or
	// milliseconds), or any text that differs for each process, such as a boot ID.
	Started string
	// ServeWarning means that nodes with a check in warning receive requests, by their weight for that state.
	// Otherwise they drain.
	ServeWarning bool
	// DefaultProtocol is the protocol of nodes without a Protocol attribute.
	DefaultProtocol string
}

// attribute returns the attribute of an entry at a key of a Mapping, or an empty string.
func (c *Catalog) attribute(name string, e Entry) string {
	if name == "" {
		return ""
	}
	if name == "datacenter" {
		return e.Datacenter
	}
	if key, ok := strings.CutPrefix(name, "node:"); ok {
		return e.NodeMeta[key]
	}
	return e.Meta[name]
}

// hashedCellBit is set in cell numbers that are hashes, so that they differ from explicit numbers.
const hashedCellBit = 1 << 62

// cellNumber returns the number of a cell: a non-negative integer below hashedCellBit stands for itself, and
// any other text is hashed. A node without a cell gets a cell of its own: in a cell whose deduplication it
// does not share, a retry could be executed twice.
func cellNumber(text, nodeName string) int {
	if n, err := strconv.Atoi(text); err == nil && n >= 0 && n < hashedCellBit {
		return n
	}
	if text == "" {
		text = "\x00" + nodeName
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // never fails
	return int(hash.Sum64()>>2 | hashedCellBit)
}

// parseStart parses the start time of a process. Numbers below 1e9 (the year 2001 in seconds) may be process
// IDs and are not times, those below 1e11 are seconds, and those below 1e14 milliseconds. It returns the zero
// time if the text is not a time.
func parseStart(text string) time.Time {
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return t
	}
	n, err := strconv.ParseInt(text, 10, 64)
	switch {
	case err != nil || n < 1e9:
		return time.Time{}
	case n < 1e11:
		return time.Unix(n, 0)
	case n < 1e14:
		return time.UnixMilli(n)
	}
	return time.Time{}
}
