// Package endpointcache stores endpoint lists on disk, so that a gateway that starts while their
// source is unreachable has endpoints to begin with. It reads and writes one file per source and
// keeps no state. Its caller decides how to use a cached list.
//
// A file's first line is a JSON header with the format version, the source and the checksum of the
// rest. Read rejects a file that is truncated, corrupt or of another source.
package endpointcache

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/atomicfile"
	"pumicecroft/membership"
)

// Errors of Read. For a file that does not exist, it returns fs.ErrNotExist.
var (
	ErrCorrupt     = errors.New("endpointcache: file is truncated or corrupt")
	ErrOtherSource = errors.New("endpointcache: not an endpoint list of this source")
)

// maxFileBytes is the size of the largest file that Read accepts.
const maxFileBytes = 64 << 20

// formatVersion identifies the file format. An incompatible format needs another number.
const formatVersion = "pumicecroft-members-1"

// header is a file's first line. Checksum and size cover everything after it.
type header struct {
	Format string `json:"form"`
	Source string `json:"source"`
	SHA256 string `json:"sha256"` // hexadecimal
	Size   int    `json:"size"`   // bytes
}

// newHeader returns the header for a source's encoded list.
func newHeader(source string, body []byte) header {
	sum := sha256.Sum256(body)
	return header{Format: formatVersion, Source: source, SHA256: hex.EncodeToString(sum[:]), Size: len(body)}
}

// endpointList is the JSON document after the header.
type endpointList struct {
	SavedAt time.Time `json:"at"`
	Nodes   []node    `json:"nodes"`
}

// node is the stored form of a membership.Node.
type node struct {
	Name         string    `json:"name"`
	Addr         string    `json:"address"`
	Zone         string    `json:"zone,omitempty"`
	InstanceType string    `json:"model,omitempty"`
	Cell         int       `json:"cell"`
	Draining     bool      `json:"draining,omitempty"`
	Weight       float64   `json:"weight"`
	StartedAt    time.Time `json:"started,omitzero"`
	Note         string    `json:"note,omitempty"`
	Protocol     string    `json:"protocol,omitempty"`
}

func newNode(n membership.Node) node {
	return node{
		Name:         n.Name,
		Addr:         n.Addr,
		Zone:         n.Zone,
		InstanceType: n.InstanceType,
		Cell:         n.Cell,
		Draining:     n.State != decision.Ready,
		Weight:       n.Weight,
		StartedAt:    n.StartedAt.Round(0), // without the monotonic clock reading
		Note:         n.Note,
		Protocol:     n.Protocol,
	}
}

func (n node) membershipNode() membership.Node {
	m := membership.Node{
		Name:         n.Name,
		Addr:         n.Addr,
		Zone:         n.Zone,
		InstanceType: n.InstanceType,
		Cell:         n.Cell,
		Weight:       n.Weight,
		StartedAt:    n.StartedAt,
		Note:         n.Note,
		Protocol:     n.Protocol,
	}
	if n.Draining {
		m.State = decision.Draining
	}
	return m
}

// Path returns the path of the file of a source's endpoint list in dir.
func Path(dir, source string) string {
	return filepath.Join(dir, url.PathEscape(source)+".members")
}

// Write stores the nodes that a source had at savedAt. The directory must exist. Write returns when
// the list is on disk. If it fails before the file is replaced, the file keeps the previous list.
func Write(dir, source string, nodes []membership.Node, savedAt time.Time) error {
	list := endpointList{SavedAt: savedAt.Round(0)}
	for _, n := range nodes {
		list.Nodes = append(list.Nodes, newNode(n))
	}
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	text, err := json.Marshal(newHeader(source, body))
	if err != nil {
		return err
	}
	text = append(text, '\n')
	text = append(text, body...)
	options := atomicfile.Options{TempPattern: ".members-*", Sync: true, SyncDir: true}
	return atomicfile.Replace(Path(dir, source), text, options)
}

// Read returns a source's stored nodes and when they were stored. The error names the file and is
// ErrCorrupt, ErrOtherSource, fs.ErrNotExist or an error of the file system.
func Read(dir, source string) (nodes []membership.Node, savedAt time.Time, err error) {
	path := Path(dir, source)
	text, err := readFile(path)
	if err != nil {
		return nil, time.Time{}, err
	}
	list, err := decode(text, source)
	if err != nil {
		return nil, time.Time{}, fmt.Errorf("%s: %w", path, err)
	}
	for _, n := range list.Nodes {
		nodes = append(nodes, n.membershipNode())
	}
	return nodes, list.SavedAt, nil
}

// readFile reads a file that is not larger than maxFileBytes. The error names the file.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close() //nolint:errcheck // it was only read
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(text) > maxFileBytes {
		err = fmt.Errorf("%w: file is larger than %d bytes", ErrOtherSource, maxFileBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return text, nil
}

// decode checks a file's header and returns its list.
func decode(text []byte, source string) (endpointList, error) {
	first, body, found := bytes.Cut(text, []byte("\n"))
	var h header
	if err := json.Unmarshal(first, &h); err != nil || !found {
		if len(text) == 0 || bytes.HasPrefix(text, []byte(`{"form":"`+formatVersion)) {
			return endpointList{}, ErrCorrupt
		}
		return endpointList{}, ErrOtherSource
	}
	if h.Format != formatVersion || h.Source != source {
		return endpointList{}, fmt.Errorf("%w: format %.40q, source %.80q", ErrOtherSource, h.Format, h.Source)
	}
	if h != newHeader(source, body) {
		return endpointList{}, fmt.Errorf("%w: %d bytes after the header, %d expected", ErrCorrupt, len(body), h.Size)
	}
	var list endpointList
	if err := json.Unmarshal(body, &list); err != nil {
		return endpointList{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return list, nil
}
