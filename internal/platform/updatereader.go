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
	// maxEntryBytes is how many bytes may be read without the end of an entry. An entry has some 150 bytes;
	// the limit also holds for names of fields and white space. It bounds the reader's memory beside the
	// entries.
	maxEntryBytes = 64 << 10
	// readBufferSize is how much is read from the connection at once. Changes in one buffer are merged.
	readBufferSize = 64 << 10
	// progressEntries is how many entries are progress in the middle of an update. At 24 KB/s, a gateway's
	// part of discovery's bandwidth, some 500 arrive within watchTimeout.
	progressEntries = 256
	// yieldPause is a pause after progressEntries. With one processor the runtime polls the network only
	// when all goroutines wait, so without it clients' requests would wait for the whole update.
	yieldPause = 50 * time.Microsecond
	// bytesPerEntry is how many bytes of names count as an entry, so that the limit on entries bounds the
	// memory too.
	bytesPerEntry = 256
	// maxInternedNames and maxInternedBytes bound the names of zones, instance types and health that are
	// kept once for all entries: their number, and the length of each.
	maxInternedNames = 1024
	maxInternedBytes = 64
)

var (
	errEntryTooLong   = fmt.Errorf("%d bytes without the end of an entry", maxEntryBytes)
	errNotUpdate      = errors.New("not an endpoint update")
	errDuplicateHosts = errors.New("duplicate hosts in an endpoint update")
)

// invalidUpdateError means that discovery responded with an update that is rejected. Asking again at once
// may bring the same.
type invalidUpdateError struct{ err error }

// Error implements error.
func (e *invalidUpdateError) Error() string { return "invalid endpoint update: " + e.err.Error() }

// Unwrap returns why the update is invalid.
func (e *invalidUpdateError) Unwrap() error { return e.err }

// updateReader reads endpoint updates entry by entry, one after another with white space between them. The
// bytes of an update are not limited, its entries are.
type updateReader struct {
	maxEntries int
	// onProgress is called at each empty line, at an update's beginning and end, and at each
	// progressEntries of its entries. begins is false for empty lines and entries.
	onProgress func(begins bool)
	// beforeBlock is called before more is read from the connection, which may take any time.
	beforeBlock func()
	// drains are the entries read so far of an unfinished update whose backends drain or are gone. Whoever
	// takes them from here sets it to nil.
	drains []Endpoint

	input                *bufio.Reader
	decoder              *json.Decoder // reads by Read
	inUpdate             bool
	decoderBytes         int64 // bytes that the decoder has been given
	consumedBytes        int64 // those up to the end of the last entry
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

// Read gives the decoder more bytes. It is called when those that the decoder has end within a token or an
// entry.
func (u *updateReader) Read(p []byte) (int, error) {
	for {
		if err := u.fill(); err != nil {
			return 0, err
		}
		if u.inUpdate {
			break
		}
		// The decoder would keep the empty lines between updates, which may come for days.
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

// fill reads from the connection if the buffer is empty.
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

// buffered returns what is in the buffer, which stays there.
func (u *updateReader) buffered() []byte {
	b, _ := u.input.Peek(u.input.Buffered()) // no error: that much is there
	return b
}

func trimLeadingSpace(b []byte) []byte { return bytes.TrimLeft(b, " \t\r\n") }

// next reads the next update. Of one that ends in an error, only drains are kept.
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

// wrapError returns an invalidUpdateError, unless err is the connection's and came between two updates.
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

// readFields reads an update from behind its opening brace to its closing one. Its fields may stand in any
// order, in any case, as encoding/json has it; unknown ones are skipped.
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
	_, err = u.decoder.Token() // the closing brace, or the error that More ended with
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

// readEndpoints reads an array of entries, or null.
func (u *updateReader) readEndpoints() ([]Endpoint, error) {
	token, err := u.decoder.Token()
	if err != nil || token == nil {
		return nil, err
	}
	if token != json.Delim('[') {
		return nil, errNotUpdate
	}
	endpoints, room := []Endpoint{}, u.maxEntries
	for u.decoder.More() {
		var e Endpoint
		if err := u.decoder.Decode(&e); err != nil {
			return nil, err
		}
		room -= e.size()
		if room < 0 {
			return nil, fmt.Errorf("more than %d entries", u.maxEntries)
		}
		u.consumedBytes = u.decoder.InputOffset()
		e.Zone, e.InstanceType, e.Health = u.intern(e.Zone), u.intern(e.InstanceType), u.intern(e.Health)
		endpoints = append(endpoints, e)
		u.noteDrain(e)
		u.countEntry()
	}
	_, err = u.decoder.Token() // the closing bracket, or the error that More ended with
	return endpoints, err
}

// size returns how many entries an entry counts as, by the length of its names.
func (e Endpoint) size() int {
	return 1 + (len(e.Name)+len(e.Addr)+len(e.Zone)+len(e.InstanceType)+len(e.Health))/bytesPerEntry
}

// noteDrain adds an entry to drains if its backend drains or is gone. Before the update has ended, both are
// a drain.
func (u *updateReader) noteDrain(e Endpoint) {
	if state, known := statesByHealth[e.Health]; known && state != decision.Ready {
		e.Health = healthTerminating
		u.drains = append(u.drains, e)
	}
}

// countEntry makes progress, and a pause, at each progressEntries entries.
func (u *updateReader) countEntry() {
	u.entriesSinceProgress++
	if u.entriesSinceProgress == progressEntries {
		u.entriesSinceProgress = 0
		u.onProgress(false)
		time.Sleep(yieldPause)
	}
}

// intern returns a name that many entries share, kept once.
func (u *updateReader) intern(name string) string {
	if known, ok := u.interned[name]; ok {
		return known
	}
	if len(u.interned) < maxInternedNames && len(name) <= maxInternedBytes {
		u.interned[name] = name
	}
	return name
}
