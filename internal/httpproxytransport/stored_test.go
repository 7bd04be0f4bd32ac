package httpproxytransport

import (
	"bytes"
	"flag"
	"net/http"
	"os"
	"reflect"
	"testing"

	"pumicecroft/idempotency"
)

var writeGolden = flag.Bool("write-golden", false, "write testdata/answer.gob anew: only for a new stored form")

// A response that an earlier release stored for an idempotency key must be read back with all its
// fields, and is stored in the same bytes now.
func TestStoredResponseKeepsItsForm(t *testing.T) {
	const file = "testdata/answer.gob"
	want := &Response{Status: http.StatusCreated, Header: http.Header{"Location": {"/items/7", "/items/8"}},
		Trailer: http.Header{"Checksum": {"c0ffee"}},
		Body:    []byte("made\x00"), Streamed: true}
	kept, err := (&Request{}).EncodeResponse(want)
	if err != nil || kept.Status != http.StatusCreated || kept.ContentType != "application/http" {
		t.Fatalf("%+v, %v", kept, err)
	}
	if *writeGolden {
		if err := os.WriteFile(file, kept.Body, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	again, err := (&Request{}).DecodeResponse(idempotency.Response{Status: http.StatusCreated,
		ContentType: "application/http", Body: golden})
	if err != nil || !reflect.DeepEqual(again, want) {
		t.Errorf("%+v, %v; want %+v", again, err, want)
	}
	if !bytes.Equal(kept.Body, golden) {
		t.Errorf("kept now as\n%q, earlier as\n%q", kept.Body, golden)
	}
}
