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
	// maxEntryBytes is the maximum number of bytes that may be read before the end of an entry. A typical
	// entry has about 150 bytes; the limit also applies to field names and white space. It bounds the memory
	// that the reader uses in addition to the entries.
	maxEntryBytes = 64 << 10
	// readBufferSize is the size of the buffer for reads from the connection. Changes that arrive in one
	// buffer are merged.
	readBufferSize = 64 << 10
	// progressEntries is the number of entries within an update that count as progress. At 24 KB/s, a
	// gateway's share of discovery's bandwidth, about 500 entries arrive within watchTimeout.
	progressEntries = 256
	// yieldPause is how long the reader sleeps after each progressEntries entries. With one processor the
	// runtime polls the network only when all goroutines are blocked, so without the pause clients' requests
	// would wait until the whole update is read.
	yieldPause = 50 * time.Microsecond
	// bytesPerEntry is the number of bytes of names that count as one entry, so that the limit on entries
	// bounds memory as well.
	bytesPerEntry = 256
	// maxInternedNames and maxInternedBytes bound the interned names of zones, instance types and health
	// values: the number of names, and the length of each.
	maxInternedNames = 1024
	maxInternedBytes = 64
)

var (
	errEntryTooLong   = fmt.Errorf("%d bytes without the end of an entry", maxEntryBytes)
	errNotUpdate      = errors.New("not an endpoint update")
	errDuplicateHosts = errors.New("duplicate hosts in an endpoint update")
)

// invalidUpdateError means that discovery sent an update that was rejected. An immediate retry may receive
// the same update again.
type invalidUpdateError struct{ err error }

// Error implements error.
func (e *invalidUpdateError) Error() string { return "invalid endpoint update: " + e.err.Error() }

// Unwrap returns why the update is invalid.
func (e *invalidUpdateError) Unwrap() error { return e.err }

// updateReader reads a stream of endpoint updates that are separated by white space, entry by entry. It
// limits the entries of an update, but not its bytes.
type updateReader struct {
	maxEntries int
	// onProgress is called for each empty line, at the beginning and end of an update, and after each
	// progressEntries entries within it. begins is false for empty lines and entries.
	onProgress func(begins bool)
	// beforeBlock is called before a read from the connection, which may block.
	beforeBlock func()
	// drains holds those entries of an incomplete update, read so far, whose backends drain or are removed.
	// Code that reports them resets it to nil.
	drains []Endpoint

	input                *bufio.Reader
	decoder              *json.Decoder // reads its input through Read
	inUpdate             bool
	decoderBytes         int64 // bytes passed to the decoder
	consumedBytes        int64 // bytes passed to the decoder up to the end of the last entry
	entriesSinceProgress int
	interned             map[string]string
}

func newUpdateReader(r io.Reader, maxEntries int) *updateReader {
	u := &updateReader{
		maxEntries:  cmp.Or(max(0, maxEntries), membership.DefaultMaxNodes),
		onProgress:  func(bool) {},
		beforeBlock: func() {},
		input:       bufio.NewReaderSize(r, readBufferSize),
		interned:    map[string]string{},
	}
	u.decoder = json.NewDecoder(u)
	return u
}

// Read implements io.Reader for the decoder, which calls it when its buffered bytes end within a token or
// an entry.
func (u *updateReader) Read(p []byte) (int, error) {
	for {
		if err := u.fill(); err != nil {
			return 0, err
		}
		if u.inUpdate {
			break
		}
		// The decoder would buffer the empty lines between updates, which may arrive for days.
		buffered := u.buffered()
		if _, err := u.input.Discard(len(buffered) - len(trimLeadingSpace(buffered))); err != nil {
			return 0, err
		}
		if u.input.Buffered() > 0 {
			break
		}
	}
	if u.decoderBytes-u.consumedBytes > maxEntryBytes {
		return 0, errEntryTooLong
	}
	n, err := u.input.Read(p[:min(len(p), maxEntryBytes)])
	u.decoderBytes += int64(n)
	return n, err
}

// fill fills the buffer from the connection if it is empty.
func (u *updateReader) fill() error {
	if u.input.Buffered() > 0 {
		return nil
	}
	u.beforeBlock()
	if _, err := u.input.Peek(1); err != nil {
		return err
	}
	if !u.inUpdate {
		u.onProgress(len(trimLeadingSpace(u.buffered())) > 0)
	}
	return nil
}

// buffered returns the content of the buffer without consuming it.
func (u *updateReader) buffered() []byte {
	b, _ := u.input.Peek(u.input.Buffered()) // never fails: these bytes are in the buffer
	return b
}

func trimLeadingSpace(b []byte) []byte { return bytes.TrimLeft(b, " \t\r\n") }

// next reads the next update. If it returns an error, drains holds what was read of the draining backends.
func (u *updateReader) next() (EndpointUpdate, error) {
	token, err := u.decoder.Token()
	if err != nil {
		return EndpointUpdate{}, u.wrapError(err)
	}
	u.inUpdate = true
	u.consumedBytes = u.decoder.InputOffset()
	u.entriesSinceProgress = 0
	u.drains = nil
	if token != json.Delim('{') {
		return EndpointUpdate{}, u.wrapError(errNotUpdate)
	}
	update, err := u.readFields()
	if err != nil {
		return EndpointUpdate{}, u.wrapError(err)
	}
	u.inUpdate = false
	u.consumedBytes = u.decoder.InputOffset()
	u.drains = nil
	u.onProgress(true)
	return update, nil
}

// wrapError wraps err in an invalidUpdateError, unless it is a read error that occurred between two updates.
func (u *updateReader) wrapError(err error) error {
	var syntax *json.SyntaxError
	if !u.inUpdate && !errors.As(err, &syntax) {
		return err
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &invalidUpdateError{err}
}

// readFields reads the fields of an update and its closing brace. As in encoding/json, fields may appear in
// any order, their names are case-insensitive, and unknown fields are skipped.
func (u *updateReader) readFields() (update EndpointUpdate, err error) {
	for u.decoder.More() {
		key, err := u.decoder.Token()
		if err != nil {
			return update, err
		}
		name, _ := key.(string)
		if err := u.readField(strings.ToLower(name), &update); err != nil {
			return update, err
		}
	}
	_, err = u.decoder.Token() // the closing brace, or the error that made More return false
	return update, err
}

func (u *updateReader) readField(name string, update *EndpointUpdate) (err error) {
	switch name {
	case "seq":
		return u.decoder.Decode(&update.Seq)
	case "whole":
		return u.decoder.Decode(&update.Full)
	case "hosts":
		if update.Endpoints != nil {
			return errDuplicateHosts
		}
		update.Endpoints, err = u.readEndpoints()
		return err
	}
	var skipped json.RawMessage
	return u.decoder.Decode(&skipped)
}

// readEndpoints reads a JSON array of entries, or null.
func (u *updateReader) readEndpoints() ([]Endpoint, error) {
	token, err := u.decoder.Token()
	if err != nil || token == nil {
		return nil, err
	}
	if token != json.Delim('[') {
		return nil, errNotUpdate
	}
	endpoints, remaining := []Endpoint{}, u.maxEntries
	for u.decoder.More() {
		var e Endpoint
		if err := u.decoder.Decode(&e); err != nil {
			return nil, err
		}
		remaining -= e.limitCost()
		if remaining < 0 {
			return nil, fmt.Errorf("more than %d entries", u.maxEntries)
		}
		u.consumedBytes = u.decoder.InputOffset()
		e.Zone, e.InstanceType, e.Health = u.intern(e.Zone), u.intern(e.InstanceType), u.intern(e.Health)
		endpoints = append(endpoints, e)
		u.recordDrain(e)
		u.countEntry()
	}
	_, err = u.decoder.Token() // the closing bracket, or the error that made More return false
	return endpoints, err
}

// limitCost returns how much the entry counts towards the limit on entries: 1, and 1 more for each
// bytesPerEntry bytes of its names.
func (e Endpoint) limitCost() int {
	return 1 + (len(e.Name)+len(e.Addr)+len(e.Zone)+len(e.InstanceType)+len(e.Health))/bytesPerEntry
}

// recordDrain adds an entry to drains if its backend drains or is removed. Until the update is complete, a
// removed backend is reported as draining.
func (u *updateReader) recordDrain(e Endpoint) {
	if state, known := statesByHealth[e.Health]; known && state != decision.Ready {
		e.Health = healthTerminating
		u.drains = append(u.drains, e)
	}
}

// countEntry reports progress and sleeps for yieldPause after each progressEntries entries.
func (u *updateReader) countEntry() {
	u.entriesSinceProgress++
	if u.entriesSinceProgress == progressEntries {
		u.entriesSinceProgress = 0
		u.onProgress(false)
		time.Sleep(yieldPause)
	}
}

// intern returns name, stored once for all entries that have it as long as there is room.
func (u *updateReader) intern(name string) string {
	if known, ok := u.interned[name]; ok {
		return known
	}
	if len(u.interned) < maxInternedNames && len(name) <= maxInternedBytes {
		u.interned[name] = name
	}
	return name
}
