package consulcatalog

import (
	"hash/fnv"
	"strconv"
	"strings"
	"time"
)

// Mapping says where the attributes of a node are found. Each name is a key of the service's meta,
// "node:KEY" for a key of the node's meta, or "datacenter". An empty name means that there is none.
type Mapping struct {
	Zone, Cell, InstanceType, Protocol string

	// Name is where the node's own name is found, so that other sources can report on the same node.
	// Without it, and where that is empty or taken, a node is called NODE/ID.
	Name string
	// Started is where the start of the process is found: a time (RFC 3339, or Unix time in seconds or
	// milliseconds), or any text that differs with each process, such as a boot ID.
	Started string
	// ServeWarning means that nodes in warning are sent requests, with their weight for that. Otherwise they
	// drain.
	ServeWarning bool
	// DefaultProtocol is what nodes speak that have no Protocol.
	DefaultProtocol string
}

// attribute returns an attribute of an entry, or an empty string.
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

// hashedCell is set in cells that are hashes, so that they differ from those that are numbers.
const hashedCell = 1 << 62

// cellNumber returns the number of a cell by its name: a whole number below hashedCell is itself, any other
// text is hashed. A node without a cell gets one of its own, as a retry in a cell that it does not share the
// deduplication of would be executed twice.
func cellNumber(text, nodeName string) int {
	if n, err := strconv.Atoi(text); err == nil && n >= 0 && n < hashedCell {
		return n
	}
	if text == "" {
		text = "\x00" + nodeName
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // never fails
	return int(hash.Sum64()>>2 | hashedCell)
}

// parseStart reads the start of a process. It returns the zero time for a text that is no time: numbers
// below 1e9 (2001 in seconds) may be process IDs, and those below 1e11 are seconds, those below 1e14
// milliseconds.
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
