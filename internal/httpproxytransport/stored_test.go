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

var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/answer.gob, only when the encoding changes")

// A response that an earlier release stored for an idempotency key must be decoded with all its fields,
// and this release must encode it in the same bytes.
func TestStoredResponseEncodingIsStable(t *testing.T) {
	const file = "testdata/answer.gob"
	want := &Response{Status: http.StatusCreated, Header: http.Header{"Location": {"/items/7", "/items/8"}},
		Trailer: http.Header{"Checksum": {"c0ffee"}},
		Body:    []byte("made\x00"), Streamed: true}
	encoded, err := (&Request{}).EncodeResponse(want)
	if err != nil || encoded.Status != http.StatusCreated || encoded.ContentType != "application/http" {
		t.Fatalf("encoded as %+v, error %v, want status 201 and application/http", encoded, err)
	}
	if *writeGolden {
		if err := os.WriteFile(file, encoded.Body, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := (&Request{}).DecodeResponse(idempotency.Response{Status: http.StatusCreated,
		ContentType: "application/http", Body: golden})
	if err != nil || !reflect.DeepEqual(decoded, want) {
		t.Errorf("decoded as %+v, error %v, want %+v", decoded, err, want)
	}
	if !bytes.Equal(encoded.Body, golden) {
		t.Errorf("encoded as\n%q, want\n%q", encoded.Body, golden)
	}
}
