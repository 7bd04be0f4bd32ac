package httpproxytransport

import (
	"encoding/hex"
	"net/http"
	"reflect"
	"testing"

	"pumicecroft/idempotency"
)

// storedResponse is the stored form of the response below, as an earlier build wrote it. It is in
// journals of idempotency keys, which outlive the program.
const storedResponse = "4d7f03010106416e7377657201ff800001050106537461747573010400010648656164657201ff84000107547261696c6572" +
	"01ff84000104426f6479010a00010853747265616d6564010200000017ff830401010648656164657201ff8400010c01ff82" +
	"00000cff81020102ff8200010c000040ff8001fe019201020c436f6e74656e742d54797065010a746578742f706c61696e05" +
	"582d54776f0201610162010105582d456e6401016301046f6e6365010100"

// A response that an earlier build stored in a journal is read back completely.
func TestResponseStoredByEarlierBuild(t *testing.T) {
	want := &Response{Status: 201, Header: http.Header{"Content-Type": {"text/plain"}, "X-Two": {"a", "b"}},
		Trailer: http.Header{"X-End": {"c"}}, Body: []byte("once"), Streamed: true}
	body, err := hex.DecodeString(storedResponse)
	if err != nil {
		t.Fatal(err)
	}
	var r Request
	got, err := r.DecodeResponse(idempotency.Response{Status: 201, ContentType: "application/http", Body: body})
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v, or it is given again as %+v, want %+v", err, got, want)
	}
	kept, err := r.EncodeResponse(want)
	if err != nil || kept.Status != 201 || kept.ContentType != "application/http" {
		t.Errorf("%v, or it is kept as %+v", err, kept)
	}
	if again, err := r.DecodeResponse(kept); err != nil || !reflect.DeepEqual(again, want) {
		t.Errorf("%v, or it is kept and given again as %+v, want %+v", err, again, want)
	}
	if t.Failed() {
		t.Logf("kept as %x", kept.Body)
	}
}
