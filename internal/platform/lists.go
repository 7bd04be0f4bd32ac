package platform

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

const (
	// maxEntryBytes is for how many bytes there need not be an entry's end. An entry is some 150 bytes; what is longer than this is none, and neither
	// are names of fields or white space without end. It bounds what the reader holds beside the entries.
	maxEntryBytes = 64 << 10
	// readBufferSize is how much is taken from the connection at once. Changes that are in it together are applied together.
	readBufferSize = 64 << 10
	// progressEntries is how many entries break a watch's silence in the middle of a list. At 24 KB a second, which is what all doors' lists may
	// cost each of them, some 500 come in the time that a watch may be silent; a list that comes at less than half of that is not coming.
	progressEntries = 256
	// yieldPause is a wait after so many entries: with one processor the runtime looks at the sockets once all goroutines wait, so clients' requests
	// would stand for as long as a long list is read.
	yieldPause = 50 * time.Microsecond
	// bytesPerEntry is for how many bytes of names an entry counts as one; a longer one counts as several, so that most bounds the memory too.
	bytesPerEntry = 256
	// Of names of zones and models so many are kept once for all entries, of so many bytes at most.
	maxInternedNames, maxInternedBytes = 1024, 64
)

var (
	errEntryTooLong   = fmt.Errorf("%d bytes without the end of an entry", maxEntryBytes)
	errNotUpdate      = errors.New("it is no list")
	errDuplicateHosts = errors.New("a list has its hosts twice")
)

// invalidUpdateError is why a list could not be taken: discovery could be heard, and asking again at once may bring the same.
type invalidUpdateError struct{ err error }

func (e *invalidUpdateError) Error() string { return "a list that can't be taken: " + e.err.Error() }
func (e *invalidUpdateError) Unwrap() error { return e.err }

// updateReader reads lists, one behind another with white space between them, entry by entry. A list may be indented, or come in pieces; it may be as
// long as it likes in bytes, and have as many entries as most says.
type updateReader struct {
	maxEntries  int
	onProgress  func(begins bool) // hears of each empty line, of the beginning of a list (begins), of progress in it and of its end
	beforeBlock func()            // called before more is read from the connection: nobody knows how long that will take
	// drains name what takes nothing new any more by the list that has begun, and that nobody has taken from here.
	drains []Endpoint

	input                *bufio.Reader
	decoder              *json.Decoder
	inUpdate             bool  // a list has begun and is not whole
	decoderBytes         int64 // bytes that the decoder has
	consumedBytes        int64 // how many of them were dealt with when an entry ended last
	entriesSinceProgress int   // entries since tell was called
	interned             map[string]string
}

func newUpdateReader(r io.Reader, most int) *updateReader {
	l := &updateReader{maxEntries: cmp.Or(max(0, most), membership.DefaultMaxNodes), onProgress: func(bool) {}, beforeBlock: func() {},
		input: bufio.NewReaderSize(r, readBufferSize), interned: map[string]string{}}
	l.decoder = json.NewDecoder(l)
	return l
}

// Read is the decoder's. It asks for more when what it has is no whole token or entry.
func (l *updateReader) Read(p []byte) (int, error) {
	for {
		if l.input.Buffered() == 0 {
			l.beforeBlock()
			if _, err := l.input.Peek(1); err != nil {
				return 0, err
			}
			if !l.inUpdate {
				came, _ := l.input.Peek(l.input.Buffered())
				l.onProgress(len(trimLeadingSpace(came)) > 0)
			}
		}
		if !l.inUpdate { // empty lines come for days: the decoder would keep them
			there, _ := l.input.Peek(l.input.Buffered())
			if l.input.Discard(len(there) - len(trimLeadingSpace(there))); l.input.Buffered() == 0 {
				continue
			}
		}
		if l.decoderBytes-l.consumedBytes > maxEntryBytes {
			return 0, errEntryTooLong
		}
		n, err := l.input.Read(p[:min(len(p), maxEntryBytes)])
		l.decoderBytes += int64(n)
		return n, err
	}
}

// trimLeadingSpace gives b without the white space that it begins with.
func trimLeadingSpace(b []byte) []byte { return bytes.TrimLeft(b, " \t\r\n") }

// next reads the next list. What it holds of entries before an error is in drains alone.
func (l *updateReader) next() (EndpointUpdate, error) {
	t, err := l.decoder.Token()
	if err != nil {
		return EndpointUpdate{}, l.wrapError(err)
	}
	l.inUpdate, l.consumedBytes, l.entriesSinceProgress, l.drains = true, l.decoder.InputOffset(), 0, nil
	if t != json.Delim('{') {
		return EndpointUpdate{}, l.wrapError(errNotUpdate)
	}
	list, err := l.readFields()
	if err != nil {
		return EndpointUpdate{}, l.wrapError(err)
	}
	l.inUpdate, l.consumedBytes, l.drains = false, l.decoder.InputOffset(), nil
	l.onProgress(true)
	return list, nil
}

// wrapError makes an error of one that the connection or the decoder gave. One that came between two lists is the connection's.
func (l *updateReader) wrapError(err error) error {
	var syntax *json.SyntaxError
	switch {
	case !l.inUpdate && !errors.As(err, &syntax):
		return err
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	return &invalidUpdateError{err}
}

// readFields reads a list from behind its opening brace to its closing one. Its fields may come in any order; those that are not known are passed over.
func (l *updateReader) readFields() (list EndpointUpdate, err error) {
	for l.decoder.More() {
		key, err := l.decoder.Token()
		if err != nil {
			return list, err
		}
		var skipped json.RawMessage
		switch name, _ := key.(string); strings.ToLower(name) { // as encoding/json finds a struct's fields
		case "seq":
			err = l.decoder.Decode(&list.Seq)
		case "whole":
			err = l.decoder.Decode(&list.Full)
		case "hosts":
			if list.Endpoints != nil {
				return list, errDuplicateHosts
			}
			list.Endpoints, err = l.readEndpoints()
		default:
			err = l.decoder.Decode(&skipped)
		}
		if err != nil {
			return list, err
		}
	}
	_, err = l.decoder.Token() // the brace, or why there is none
	return list, err
}

// readEndpoints reads a list's entries.
func (l *updateReader) readEndpoints() ([]Endpoint, error) {
	switch t, err := l.decoder.Token(); {
	case err != nil || t == nil:
		return nil, err
	case t != json.Delim('['):
		return nil, errNotUpdate
	}
	hosts, room := []Endpoint{}, l.maxEntries
	for l.decoder.More() {
		var e Endpoint
		if err := l.decoder.Decode(&e); err != nil {
			return nil, err
		}
		if room -= 1 + (len(e.Name)+len(e.Addr)+len(e.Zone)+len(e.InstanceType)+len(e.Health))/bytesPerEntry; room < 0 {
			return nil, fmt.Errorf("more than %d entries", l.maxEntries)
		}
		l.consumedBytes = l.decoder.InputOffset()
		e.Zone, e.InstanceType, e.Health = l.intern(e.Zone), l.intern(e.InstanceType), l.intern(e.Health)
		hosts = append(hosts, e)
		if s, ok := statesByHealth[e.Health]; ok && s != decision.Ready {
			drains := e
			drains.Health = healthTerminating
			l.drains = append(l.drains, drains)
		}
		if l.entriesSinceProgress++; l.entriesSinceProgress == progressEntries {
			l.entriesSinceProgress = 0
			l.onProgress(false)
			time.Sleep(yieldPause)
		}
	}
	_, err := l.decoder.Token() // the bracket, or why there is none
	return hosts, err
}

// intern gives a name that many entries have in common, kept once.
func (l *updateReader) intern(name string) string {
	if kept, ok := l.interned[name]; ok {
		return kept
	}
	if len(l.interned) < maxInternedNames && len(name) <= maxInternedBytes {
		l.interned[name] = name
	}
	return name
}
