// Package endpointcache keeps lists of members on disk, so that a front door that starts while their source can't be reached
// has one to begin with. A file is written beside the old one and renamed over it; it begins with a line that names its
// form, its source and the checksum of the rest, and one that is torn, truncated or another's is refused. The package
// reads and writes files and knows nothing of what becomes of a list.
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

// Errors of Read. A file that is not there is fs.ErrNotExist.
var (
	ErrCorrupt     = errors.New("it is torn or damaged")
	ErrOtherSource = errors.New("it is not a list of members of this source")
)

// maxFileBytes bounds a file, in bytes.
const maxFileBytes = 64 << 20

// formatVersion is the first word of a file; another number is another form.
const formatVersion = "pumicecroft-members-1"

// header is a file's first line.
type header struct {
	Form   string `json:"form"`
	Source string `json:"source"`
	SHA256 string `json:"sha256"` // of the rest
	Size   int    `json:"size"`   // of the rest, in bytes
}

type content struct {
	At    time.Time `json:"at"`
	Nodes []node    `json:"nodes"`
}

type node struct {
	Name     string    `json:"name"`
	Addr     string    `json:"address"`
	Zone     string    `json:"zone,omitempty"`
	Kind     string    `json:"model,omitempty"`
	Cell     int       `json:"cell"`
	Draining bool      `json:"draining,omitempty"`
	Weight   float64   `json:"weight"`
	Started  time.Time `json:"started,omitzero"`
	Note     string    `json:"note,omitempty"`
	Protocol string    `json:"protocol,omitempty"`
}

// Path is where a source's list is kept in a directory.
func Path(dir, source string) string { return filepath.Join(dir, url.PathEscape(source)+".members") }

// Write keeps a source's nodes, as of a time, in a directory that exists. Whatever fails, the file is the old one or the
// new one, whole.
func Write(dir, source string, nodes []membership.Node, at time.Time) error {
	b := content{At: at.Round(0)}
	for _, n := range nodes {
		b.Nodes = append(b.Nodes, node{n.Name, n.Addr, n.Zone, n.InstanceType, n.Cell, n.State != decision.Ready, n.Weight, n.StartedAt.Round(0), n.Note, n.Protocol})
	}
	rest, err := json.Marshal(b)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(rest)
	first, err := json.Marshal(header{formatVersion, source, hex.EncodeToString(sum[:]), len(rest)})
	if err != nil {
		return err
	}
	text := append(append(first, '\n'), rest...)
	return atomicfile.Replace(Path(dir, source), text, atomicfile.Options{TempPattern: ".members-*", Sync: true, SyncDir: true})
}

// Read gives a source's nodes as they were kept, and of when. The error names the file.
func Read(dir, source string) (nodes []membership.Node, at time.Time, err error) {
	path := Path(dir, source)
	bad := func(err error) ([]membership.Node, time.Time, error) {
		return nil, time.Time{}, fmt.Errorf("%s: %w", path, err)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, time.Time{}, err // it names the file
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return bad(err)
	}
	if len(text) > maxFileBytes {
		return bad(fmt.Errorf("%w: it has more than %d bytes", ErrOtherSource, maxFileBytes))
	}
	first, rest, found := bytes.Cut(text, []byte("\n"))
	var h header
	if err := json.Unmarshal(first, &h); err != nil || !found {
		if bytes.HasPrefix(text, []byte(`{"form":"`+formatVersion)) || len(text) == 0 {
			return bad(ErrCorrupt)
		}
		return bad(ErrOtherSource)
	}
	if h.Form != formatVersion || h.Source != source {
		return bad(fmt.Errorf("%w: it is %.40q of %.80q", ErrOtherSource, h.Form, h.Source))
	}
	if sum := sha256.Sum256(rest); len(rest) != h.Size || hex.EncodeToString(sum[:]) != h.SHA256 {
		return bad(fmt.Errorf("%w: %d bytes of %d", ErrCorrupt, len(rest), h.Size))
	}
	var b content
	if err := json.Unmarshal(rest, &b); err != nil {
		return bad(fmt.Errorf("%w: %w", ErrCorrupt, err))
	}
	for _, n := range b.Nodes {
		m := membership.Node{Name: n.Name, Addr: n.Addr, Zone: n.Zone, InstanceType: n.Kind, Cell: n.Cell, Weight: n.Weight, StartedAt: n.Started, Note: n.Note,
			Protocol: n.Protocol}
		if n.Draining {
			m.State = decision.Draining
		}
		nodes = append(nodes, m)
	}
	return nodes, b.At, nil
}
