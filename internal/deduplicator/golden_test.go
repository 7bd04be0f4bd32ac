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

// writeGolden is needed only when the stored format changes.
var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/journal")

const (
	goldenDir              = "testdata/journal" // segments, the fingerprint key, and records.txt
	goldenRecords          = "records.txt"
	goldenLogID            = 0x0123456789abcdef
	goldenEpoch            = 4_102_444_800 * time.Second // 2100-01-01: its records have not expired when a test reads them
	goldenMaxResponseBytes = 200
)

// goldenFingerprintKey returns the fingerprint key, which is stored in the same directory as the segments.
func goldenFingerprintKey() []byte {
	key := make([]byte, fingerprintKeyLen)
	for i := range key {
		key[i] = byte(i)
	}
	return key
}

// goldenFingerprint returns the fingerprint of a request with these parts.
func goldenFingerprint(parts ...string) idempotency.Fingerprint {
	d := &Deduplicator{}
	copy(d.fingerprintKey[:], goldenFingerprintKey())
	var all [][]byte
	for _, p := range parts {
		all = append(all, []byte(p))
	}
	return d.Fingerprint(all...)
}

// goldenProcess simulates a process that writes the journal, with its own clock.
type goldenProcess struct {
	t     *testing.T
	files logfile.SegmentStore
	store *idempotency.Store
	log   *journal.Log[idempotency.Entry]
	now   time.Duration
}

func startGolden(t *testing.T, files logfile.SegmentStore, now time.Duration) *goldenProcess {
	t.Helper()
	store := idempotency.New(idempotency.Limits{MaxResponseBytes: goldenMaxResponseBytes}, now)
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

// flush performs all operations of the log.
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

// complete records the response of a request that succeeded, and completes the request.
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

// goldenCase is a key of the journal and the verdict for its next request.
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
		Body:        bytes.Repeat([]byte("x"), goldenMaxResponseBytes),
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
const goldenKeyAtClose, goldenKeyAtKill = "in flight at the close", "in flight at the kill"

// writeGoldenJournal writes the journal of two processes in turn. The first closes its journal, the second is
// killed.
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
	first.begin(3, goldenKeyAtClose)
	for _, c := range cases[:half] {
		first.complete(first.begin(c.customer, c.key), c.outcome, c.response)
	}
	first.log.Close()
	first.flush()
	second := startGolden(t, files, first.now+time.Minute)
	for _, c := range cases[half:] {
		second.complete(second.begin(c.customer, c.key), c.outcome, c.response)
	}
	second.begin(3, goldenKeyAtKill)
	if err := os.WriteFile(filepath.Join(dir, fingerprintKeyFile), goldenFingerprintKey(), 0o600); err != nil {
		t.Fatal(err)
	}
}

// segmentNames returns the file names of a journal's segments.
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

// describeRecords returns one line with all fields for each record of a journal, in order. It decodes the records
// without package idempotency.
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
		t.Errorf("record of %d bytes can't be decoded: %x", len(record), record)
	}
	return fmt.Sprintf("form=%d kind=%d customer=%d key=%q digest=%x expires=%d status=%d type=%q body=%q\n",
		version, kind, customer, key, fingerprint, expires, status, contentType, body)
}

// copyGolden copies the golden journal to a temporary directory that the test may change.
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

// replaceGolden replaces the golden journal by the one in dir.
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

// Two processes write a journal. It must have the same bytes as the journal of an earlier release.
func TestGoldenJournal_Written(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	writeGoldenJournal(t, dir)
	if *writeGolden {
		replaceGolden(t, dir)
	}
	names := segmentNames(t, goldenDir)
	if len(names) < 4 {
		t.Errorf("%d segments in the golden journal, want at least 4", len(names))
	}
	if got := segmentNames(t, dir); !slices.Equal(got, names) {
		t.Fatalf("wrote segments %v, want %v", got, names)
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

// The journal of an earlier release is decoded. It must have the same records, field by field, of all kinds.
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

// The journal of an earlier release is opened. A repeated request with one of its keys must get the verdict and
// response that it would have got from that release, and a different request with the key a conflict.
func TestGoldenJournal_Opened(t *testing.T) {
	dir := copyGolden(t)
	d, err := Open(idempotency.Limits{}, JournalConfig{Dir: dir, WriteTimeout: 10 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, d)
	cases := append(goldenCases(),
		goldenCase{customer: 3, key: goldenKeyAtClose, verdict: idempotency.OutcomeUnknown},
		goldenCase{customer: 3, key: goldenKeyAtKill, verdict: idempotency.OutcomeUnknown})
	if _, keys, _ := d.Stats(); keys != len(cases)-1 { // all except the one that was not executed
		t.Errorf("%d keys, want %d", keys, len(cases)-1)
	}
	for _, c := range cases {
		if c.verdict != idempotency.Proceed {
			if got := repeatGolden(t, d, c, "another body"); got.Verdict != idempotency.Conflict {
				t.Errorf("key %q with another body: verdict %v, want %v", c.key, got.Verdict, idempotency.Conflict)
			}
		}
		got := repeatGolden(t, d, c, c.key)
		if got.Verdict != c.verdict {
			t.Errorf("key %q: verdict %v, want %v", c.key, got.Verdict, c.verdict)
		}
		if c.verdict == idempotency.Replay && (got.Response.Status != c.response.Status ||
			got.Response.ContentType != c.response.ContentType || !bytes.Equal(got.Response.Body, c.response.Body)) {
			t.Errorf("key %q: response %+v, want %+v", c.key, got.Response, c.response)
		}
	}
}

// repeatGolden makes a request with a key of the golden journal. If body is the key, it repeats the request that
// the journal has; otherwise it is a different request.
func repeatGolden(t *testing.T, d *Deduplicator, c goldenCase, body string) idempotency.Decision {
	t.Helper()
	fingerprint := d.Fingerprint([]byte("POST"), []byte("/pay"), []byte(body))
	if body == c.key && fingerprint != goldenFingerprint("POST", "/pay", c.key) {
		t.Errorf("key %q: fingerprint %x, want %x", c.key, fingerprint, goldenFingerprint("POST", "/pay", c.key))
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

// The header of an earlier release's second segment must have the expected fields, as little-endian integers.
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
		t.Errorf("second segment: magic and version %q; number, log ID and previous segment %x, want %x", text[:8],
			fields, []uint64{2, goldenLogID, 1})
	}
}
