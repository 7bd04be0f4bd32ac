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

var writeGolden = flag.Bool("write-golden", false, "write testdata/journal anew; only a change of the stored form needs it")

const (
	goldenDir     = "testdata/journal" // segments, the key of the digests, and records.txt
	goldenRecords = "records.txt"
	goldenLogID   = 0x0123456789abcdef
	goldenEpoch   = 4_102_444_800 * time.Second // 2100-01-01: no record of it has expired when a test reads it
	goldenLimit   = 200                         // bytes of an answer that is kept
)

// goldenSecret is the key of the digests, which lies beside the segments.
func goldenSecret() []byte {
	secret := make([]byte, 32)
	for i := range secret {
		secret[i] = byte(i)
	}
	return secret
}

// goldenDigest is the digest of a request's parts.
func goldenDigest(parts ...string) idempotency.Fingerprint {
	k := &Deduplicator{}
	copy(k.fingerprintKey[:], goldenSecret())
	var all [][]byte
	for _, p := range parts {
		all = append(all, []byte(p))
	}
	return k.Fingerprint(all...)
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
	p := &goldenProcess{t: t, files: files, store: idempotency.New(idempotency.Limits{MaxResponseBytes: goldenLimit}, now), now: now}
	numbers, err := files.List()
	if err != nil {
		t.Fatal(err)
	}
	rules := journal.Options{SegmentBytes: 1 << 10, MaxPending: 4 << 10}
	p.log, err = journal.Recover(rules, goldenLogID, numbers, files.Load,
		func(rec []byte) (*journal.Slot[idempotency.Entry], error) {
			return p.store.Restore(now, goldenEpoch, rec)
		})
	if err != nil {
		t.Fatal(err)
	}
	p.store.AttachLog(p.log, goldenEpoch)
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
	d, _ := p.store.Begin(p.now, who, key, goldenDigest("POST", "/pay", key), nil, p.now+time.Minute)
	if d.Verdict != idempotency.Proceed {
		p.t.Fatalf("key %q: %v", key, d.Verdict)
	}
	p.flush()
	return d.Ticket
}

// end ends it.
func (p *goldenProcess) end(ticket *idempotency.Ticket, end idempotency.Outcome, answer idempotency.Response) {
	p.t.Helper()
	if end == idempotency.Succeeded {
		p.store.RecordResponse(p.now, ticket, answer)
		p.flush()
	}
	p.store.Complete(p.now, ticket, end, answer)
	p.flush()
}

// goldenCase is a key of the journal and what its next request comes to.
type goldenCase struct {
	customer decision.CustomerID
	key      string
	end      idempotency.Outcome
	answer   idempotency.Response
	verdict  idempotency.Verdict
}

func goldenCases() []goldenCase {
	page := idempotency.Response{Status: 201, ContentType: "text/plain; charset=utf-8", Body: []byte("paid\r\n\x00\xff")}
	large := idempotency.Response{Status: 200, ContentType: "text/plain", Body: bytes.Repeat([]byte("x"), goldenLimit)}
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
		cases = append(cases, goldenCase{decision.CustomerID(10 + i%3), fmt.Sprint("filler ", i), idempotency.Succeeded,
			idempotency.Response{Status: 200, ContentType: "text/html", Body: []byte(body)}, idempotency.Replay})
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
	defer files.Close()
	cases := goldenCases()
	half := len(cases) / 2
	first := startGolden(t, files, 0)
	first.begin(3, goldenClosed)
	for _, c := range cases[:half] {
		first.end(first.begin(c.customer, c.key), c.end, c.answer)
	}
	first.log.Close()
	first.flush()
	second := startGolden(t, files, first.now+time.Minute)
	for _, c := range cases[half:] {
		second.end(second.begin(c.customer, c.key), c.end, c.answer)
	}
	second.begin(3, goldenKilled)
	if err := os.WriteFile(filepath.Join(dir, "secret"), goldenSecret(), 0o600); err != nil {
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

// describeRecords reads all records of a journal, in their order, a line each with all fields, and without package keys.
func describeRecords(t *testing.T, dir string) string {
	t.Helper()
	files, err := logfile.OpenDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer files.Close()
	numbers, err := files.List()
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	each := func(rec []byte) (*journal.Slot[idempotency.Entry], error) {
		in := cryptobyte.String(rec)
		var form, kind uint8
		var customer, expires uint64
		var status uint16
		var key, contentType, body cryptobyte.String
		digest := make([]byte, 16)
		if !in.ReadUint8(&form) || !in.ReadUint8(&kind) || !in.ReadUint64(&customer) || !in.ReadUint8LengthPrefixed(&key) ||
			!in.CopyBytes(digest) || !in.ReadUint64(&expires) || !in.ReadUint16(&status) ||
			!in.ReadUint16LengthPrefixed(&contentType) || !in.ReadUint24LengthPrefixed(&body) || !in.Empty() {
			t.Errorf("a record of %d bytes can't be read: %x", len(rec), rec)
		}
		fmt.Fprintf(&out, "form=%d kind=%d customer=%d key=%q digest=%x expires=%d status=%d type=%q body=%q\n",
			form, kind, customer, key, digest, expires, status, contentType, body)
		return nil, nil
	}
	if _, err := journal.Recover(journal.Options{}, 0, numbers, files.Load, each); err != nil {
		t.Fatal(err)
	}
	return out.String()
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

// The journal is written to the same bytes as by an earlier program, file by file.
func TestGoldenJournalIsWritten(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	writeGoldenJournal(t, dir)
	if *writeGolden {
		if err := os.RemoveAll(goldenDir); err != nil {
			t.Fatal(err)
		}
		if err := os.MkdirAll(goldenDir, 0o755); err != nil {
			t.Fatal(err)
		}
		for _, name := range append(segmentNames(t, dir), "secret") {
			text, err := os.ReadFile(filepath.Join(dir, name))
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(goldenDir, name), text, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		if err := os.WriteFile(filepath.Join(goldenDir, goldenRecords), []byte(describeRecords(t, dir)), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	names := segmentNames(t, goldenDir)
	if len(names) < 4 {
		t.Errorf("only %d segments", len(names))
	}
	if got := segmentNames(t, dir); !slices.Equal(got, names) {
		t.Fatalf("wrote %v, want %v", got, names)
	}
	for _, name := range append(names, "secret") {
		want, err := os.ReadFile(filepath.Join(goldenDir, name))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(filepath.Join(dir, name)); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: %v\n got %x\nwant %x", name, err, got, want)
		}
	}
}

// The journal of an earlier program is read record by record, with all fields, and each kind of record is in it.
func TestGoldenJournalRecords(t *testing.T) {
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

// The journal of an earlier program is opened, and requests with its keys come to what they came to there: the same request is
// given its answer, another one with its key is a conflict.
func TestGoldenJournalIsRead(t *testing.T) {
	dir := copyGolden(t)
	k, err := Open(idempotency.Limits{}, JournalConfig{Dir: dir, WriteTimeout: 10 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close(context.Background())
	ask := func(customer decision.CustomerID, key, part string) idempotency.Decision {
		t.Helper()
		digest := k.Fingerprint([]byte("POST"), []byte("/pay"), []byte(part))
		if part == key && digest != goldenDigest("POST", "/pay", key) {
			t.Errorf("key %q: the digest is %x", key, digest)
		}
		ran := false
		d, err := k.Do(context.Background(), customer, key, digest, 10*time.Second, func(context.Context) Result {
			ran = true
			return Result{Response: idempotency.Response{Status: 299}}
		})
		if err != nil {
			t.Fatalf("key %q: %v", key, err)
		}
		if ran {
			return idempotency.Decision{Verdict: idempotency.Proceed}
		}
		return d
	}
	cases := append(goldenCases(), goldenCase{customer: 3, key: goldenClosed, verdict: idempotency.OutcomeUnknown},
		goldenCase{customer: 3, key: goldenKilled, verdict: idempotency.OutcomeUnknown})
	if _, held, _ := k.Stats(); held != len(cases)-1 { // but the one that never ran
		t.Errorf("%d keys are held, want %d", held, len(cases)-1)
	}
	for _, c := range cases {
		if c.verdict != idempotency.Proceed {
			if d := ask(c.customer, c.key, "another body"); d.Verdict != idempotency.Conflict {
				t.Errorf("key %q with another body: %v", c.key, d.Verdict)
			}
		}
		d := ask(c.customer, c.key, c.key)
		if d.Verdict != c.verdict {
			t.Errorf("key %q: %v, want %v", c.key, d.Verdict, c.verdict)
		}
		if c.verdict == idempotency.Replay && (d.Response.Status != c.answer.Status || d.Response.ContentType != c.answer.ContentType ||
			!bytes.Equal(d.Response.Body, c.answer.Body)) {
			t.Errorf("key %q: answer %+v, want %+v", c.key, d.Response, c.answer)
		}
	}
}

// The head of the first segment, field by field: its numbers are little-endian whatever the fields are called.
func TestGoldenSegmentHead(t *testing.T) {
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
		t.Errorf("the second segment begins %q with number, log and segment before it %x", text[:8], fields)
	}
}
