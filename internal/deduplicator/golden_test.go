package deduplicator

import (
	"bytes"
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/crypto/cryptobyte"

	"pumicecroft/decision"
	"pumicecroft/idempotency"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/logfile"
)

// writeGolden is needed only when the stored form changes.
var writeGolden = flag.Bool("write-golden", false, "write testdata/journal again")

const (
	goldenDir     = "testdata/journal" // segments, the key of the fingerprints, and records.txt
	goldenRecords = "records.txt"
	goldenLogID   = 0x0123456789abcdef
	goldenEpoch   = 4_102_444_800 * time.Second // 2100-01-01: no record of it has expired when a test reads it
	goldenLimit   = 200                         // bytes of a response that is stored
)

// goldenFingerprintKey is the key of the fingerprints, which is stored beside the segments.
func goldenFingerprintKey() []byte {
	key := make([]byte, fingerprintKeyLen)
	for i := range key {
		key[i] = byte(i)
	}
	return key
}

// goldenFingerprint is the fingerprint of a request with these parts.
func goldenFingerprint(parts ...string) idempotency.Fingerprint {
	d := &Deduplicator{}
	copy(d.fingerprintKey[:], goldenFingerprintKey())
	var all [][]byte
	for _, p := range parts {
		all = append(all, []byte(p))
	}
	return d.Fingerprint(all...)
}

// goldenProcess is one process that writes the journal, with times of its own.
type goldenProcess struct {
	t     *testing.T
	files logfile.SegmentStore
	store *idempotency.Store
	log   *journal.Log[idempotency.Entry]
	now   time.Duration
}

func startGolden(t *testing.T, files logfile.SegmentStore, now time.Duration) *goldenProcess {
	t.Helper()
	store := idempotency.New(idempotency.Limits{MaxResponseBytes: goldenLimit}, now)
	p := &goldenProcess{t: t, files: files, store: store, now: now}
	segments, err := files.List()
	if err != nil {
		t.Fatal(err)
	}
	options := journal.Options{SegmentBytes: 1 << 10, MaxPending: 4 << 10}
	restore := func(record []byte) (*journal.Slot[idempotency.Entry], error) {
		return store.Restore(now, goldenEpoch, record)
	}
	p.log, err = journal.Recover(options, goldenLogID, segments, files.Load, restore)
	if err != nil {
		t.Fatal(err)
	}
	store.AttachLog(p.log, goldenEpoch)
	return p
}

// flush carries out all that the log wants done.
func (p *goldenProcess) flush() {
	p.t.Helper()
	p.store.RewriteStale(p.now)
	for op := p.log.Next(p.now); op.Kind != journal.None; op = p.log.Next(p.now) {
		err := p.files.Do(op)
		if p.log.Done(p.now, err); err != nil {
			p.t.Fatal(err)
		}
		p.store.RewriteStale(p.now)
	}
}

// begin begins a request with a key.
func (p *goldenProcess) begin(who decision.CustomerID, key string) *idempotency.Ticket {
	p.t.Helper()
	p.now += time.Second
	d, _ := p.store.Begin(p.now, who, key, goldenFingerprint("POST", "/pay", key), nil, p.now+time.Minute)
	if d.Verdict != idempotency.Proceed {
		p.t.Fatalf("key %q: %v", key, d.Verdict)
	}
	p.flush()
	return d.Ticket
}

// complete ends it.
func (p *goldenProcess) complete(ticket *idempotency.Ticket, outcome idempotency.Outcome,
	response idempotency.Response) {
	p.t.Helper()
	if outcome == idempotency.Succeeded {
		p.store.RecordResponse(p.now, ticket, response)
		p.flush()
	}
	p.store.Complete(p.now, ticket, outcome, response)
	p.flush()
}

// goldenCase is a key of the journal and what its next request comes to.
type goldenCase struct {
	customer decision.CustomerID
	key      string
	outcome  idempotency.Outcome
	response idempotency.Response
	verdict  idempotency.Verdict
}

func goldenCases() []goldenCase {
	page := idempotency.Response{
		Status:      201,
		ContentType: "text/plain; charset=utf-8",
		Body:        []byte("paid\r\n\x00\xff"),
	}
	large := idempotency.Response{
		Status:      200,
		ContentType: "text/plain",
		Body:        bytes.Repeat([]byte("x"), goldenLimit),
	}
	cases := []goldenCase{
		{1, "answered", idempotency.Succeeded, page, idempotency.Replay},
		{1, "answered with nothing", idempotency.Succeeded, idempotency.Response{Status: 204}, idempotency.Replay},
		{1, "answer too large", idempotency.Succeeded, large, idempotency.ResponseNotStored},
		{2, "never ran", idempotency.NotExecuted, idempotency.Response{}, idempotency.Proceed},
		{2, "may have run", idempotency.Unknown, idempotency.Response{}, idempotency.OutcomeUnknown},
		{1<<64 - 1, strings.Repeat("~", idempotency.MaxKeyBytes), idempotency.Succeeded, page, idempotency.Replay},
	}
	for i := range 12 {
		body := fmt.Sprintf("answer %d of %s", i, strings.Repeat(".", 100))
		cases = append(cases, goldenCase{
			customer: decision.CustomerID(10 + i%3),
			key:      fmt.Sprint("filler ", i),
			outcome:  idempotency.Succeeded,
			response: idempotency.Response{Status: 200, ContentType: "text/html", Body: []byte(body)},
			verdict:  idempotency.Replay,
		})
	}
	return cases
}

// Keys that were in flight when the first process closed its journal, and when the second one was killed.
const goldenClosed, goldenKilled = "in flight at the close", "in flight at the kill"

// writeGoldenJournal writes the journal of two processes: one that closes its journal, and one that is killed.
func writeGoldenJournal(t *testing.T, dir string) {
	t.Helper()
	files, err := logfile.OpenDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = files.Close() }()
	cases := goldenCases()
	half := len(cases) / 2
	first := startGolden(t, files, 0)
	first.begin(3, goldenClosed)
	for _, c := range cases[:half] {
		first.complete(first.begin(c.customer, c.key), c.outcome, c.response)
	}
	first.log.Close()
	first.flush()
	second := startGolden(t, files, first.now+time.Minute)
	for _, c := range cases[half:] {
		second.complete(second.begin(c.customer, c.key), c.outcome, c.response)
	}
	second.begin(3, goldenKilled)
	if err := os.WriteFile(filepath.Join(dir, fingerprintKeyFile), goldenFingerprintKey(), 0o600); err != nil {
		t.Fatal(err)
	}
}

// segmentNames are the files of a journal's segments.
func segmentNames(t *testing.T, dir string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.journal"))
	if err != nil {
		t.Fatal(err)
	}
	for i, p := range paths {
		paths[i] = filepath.Base(p)
	}
	return paths
}

// describeRecords describes all records of a journal, in order, a line with all fields for each. It decodes
// them without package idempotency.
func describeRecords(t *testing.T, dir string) string {
	t.Helper()
	files, err := logfile.OpenDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = files.Close() }()
	segments, err := files.List()
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	describe := func(record []byte) (*journal.Slot[idempotency.Entry], error) {
		out.WriteString(describeRecord(t, record))
		return nil, nil
	}
	if _, err := journal.Recover(journal.Options{}, 0, segments, files.Load, describe); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func describeRecord(t *testing.T, record []byte) string {
	t.Helper()
	in := cryptobyte.String(record)
	var version, kind uint8
	var customer, expires uint64
	var status uint16
	var key, contentType, body cryptobyte.String
	fingerprint := make([]byte, 16)
	ok := in.ReadUint8(&version) &&
		in.ReadUint8(&kind) &&
		in.ReadUint64(&customer) &&
		in.ReadUint8LengthPrefixed(&key) &&
		in.CopyBytes(fingerprint) &&
		in.ReadUint64(&expires) &&
		in.ReadUint16(&status) &&
		in.ReadUint16LengthPrefixed(&contentType) &&
		in.ReadUint24LengthPrefixed(&body) &&
		in.Empty()
	if !ok {
		t.Errorf("a record of %d bytes can't be decoded: %x", len(record), record)
	}
	return fmt.Sprintf("form=%d kind=%d customer=%d key=%q digest=%x expires=%d status=%d type=%q body=%q\n",
		version, kind, customer, key, fingerprint, expires, status, contentType, body)
}

// copyGolden copies the golden journal to a directory that a process may change.
func copyGolden(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "keys")
	if err := os.CopyFS(dir, os.DirFS(goldenDir)); err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(filepath.Join(dir, goldenRecords)); err != nil {
		t.Fatal(err)
	}
	return dir
}

// replaceGolden makes the journal in a directory the golden one.
func replaceGolden(t *testing.T, dir string) {
	t.Helper()
	if err := os.RemoveAll(goldenDir); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(goldenDir, 0o755); err != nil {
		t.Fatal(err)
	}
	for _, name := range append(segmentNames(t, dir), fingerprintKeyFile) {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(goldenDir, name), text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	records := []byte(describeRecords(t, dir))
	if err := os.WriteFile(filepath.Join(goldenDir, goldenRecords), records, 0o644); err != nil {
		t.Fatal(err)
	}
}

// Two processes write a journal. It must have the same bytes as the one that an earlier program wrote.
func TestGoldenJournal_Written(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	writeGoldenJournal(t, dir)
	if *writeGolden {
		replaceGolden(t, dir)
	}
	names := segmentNames(t, goldenDir)
	if len(names) < 4 {
		t.Errorf("only %d segments", len(names))
	}
	if got := segmentNames(t, dir); !slices.Equal(got, names) {
		t.Fatalf("wrote %v, want %v", got, names)
	}
	for _, name := range append(names, fingerprintKeyFile) {
		want, err := os.ReadFile(filepath.Join(goldenDir, name))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(filepath.Join(dir, name)); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: %v\n got %x\nwant %x", name, err, got, want)
		}
	}
}

// An earlier program's journal is read. It must have the same records, field by field, with all kinds of them.
func TestGoldenJournal_Records(t *testing.T) {
	want, err := os.ReadFile(filepath.Join(goldenDir, goldenRecords))
	if err != nil {
		t.Fatal(err)
	}
	got := describeRecords(t, copyGolden(t))
	if got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	for kind := 1; kind <= 5; kind++ {
		if !strings.Contains(got, fmt.Sprintf("form=1 kind=%d ", kind)) {
			t.Errorf("no record of kind %d", kind)
		}
	}
}

// An earlier program's journal is opened. A request with one of its keys must get what it would have got there,
// and another request with the key a conflict.
func TestGoldenJournal_Opened(t *testing.T) {
	dir := copyGolden(t)
	d, err := Open(idempotency.Limits{}, JournalConfig{Dir: dir, WriteTimeout: 10 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, d)
	cases := append(goldenCases(),
		goldenCase{customer: 3, key: goldenClosed, verdict: idempotency.OutcomeUnknown},
		goldenCase{customer: 3, key: goldenKilled, verdict: idempotency.OutcomeUnknown})
	if _, keys, _ := d.Stats(); keys != len(cases)-1 { // all but the one that was not executed
		t.Errorf("%d keys are held, want %d", keys, len(cases)-1)
	}
	for _, c := range cases {
		if c.verdict != idempotency.Proceed {
			if got := repeatGolden(t, d, c, "another body"); got.Verdict != idempotency.Conflict {
				t.Errorf("key %q with another body: %v", c.key, got.Verdict)
			}
		}
		got := repeatGolden(t, d, c, c.key)
		if got.Verdict != c.verdict {
			t.Errorf("key %q: %v, want %v", c.key, got.Verdict, c.verdict)
		}
		if c.verdict == idempotency.Replay && (got.Response.Status != c.response.Status ||
			got.Response.ContentType != c.response.ContentType || !bytes.Equal(got.Response.Body, c.response.Body)) {
			t.Errorf("key %q: response %+v, want %+v", c.key, got.Response, c.response)
		}
	}
}

// repeatGolden makes a request with a key of the golden journal, the same one if body is the key.
func repeatGolden(t *testing.T, d *Deduplicator, c goldenCase, body string) idempotency.Decision {
	t.Helper()
	fingerprint := d.Fingerprint([]byte("POST"), []byte("/pay"), []byte(body))
	if body == c.key && fingerprint != goldenFingerprint("POST", "/pay", c.key) {
		t.Errorf("key %q: the fingerprint is %x", c.key, fingerprint)
	}
	executed := false
	run := func(context.Context) Result {
		executed = true
		return Result{Response: idempotency.Response{Status: 299}}
	}
	got, err := d.Do(context.Background(), c.customer, c.key, fingerprint, 10*time.Second, run)
	if err != nil {
		t.Fatalf("key %q: %v", c.key, err)
	}
	if executed {
		return idempotency.Decision{Verdict: idempotency.Proceed}
	}
	return got
}

// The header of an earlier program's second segment is compared field by field, as little-endian numbers.
func TestGoldenJournal_SegmentHeader(t *testing.T) {
	names := segmentNames(t, goldenDir)
	text, err := os.ReadFile(filepath.Join(goldenDir, names[1]))
	if err != nil {
		t.Fatal(err)
	}
	var fields []uint64
	for _, at := range []int{8, 16, 24} {
		fields = append(fields, binary.LittleEndian.Uint64(text[at:]))
	}
	if string(text[:8]) != "pjH1\x01\x00\x00\x00" || !slices.Equal(fields, []uint64{2, goldenLogID, 1}) {
		t.Errorf("the second segment begins %q with number, log ID and previous segment %x", text[:8], fields)
	}
}
