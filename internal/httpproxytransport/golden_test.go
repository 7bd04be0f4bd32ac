package httpproxytransport

import (
	"encoding/hex"
	"net/http"
	"reflect"
	"testing"

	"pumicecroft/idempotency"
)

// storedResponse is the response below, encoded by an earlier build. Journals of idempotency keys have
// such responses, and are read by later builds.
const storedResponse = "4d7f03010106416e7377657201ff800001050106537461747573010400010648656164657201ff84000107547261696c6572" +
	"01ff84000104426f6479010a00010853747265616d6564010200000017ff830401010648656164657201ff8400010c01ff82" +
	"00000cff81020102ff8200010c000040ff8001fe019201020c436f6e74656e742d54797065010a746578742f706c61696e05" +
	"582d54776f0201610162010105582d456e6401016301046f6e6365010100"

// A response that an earlier build stored in a journal must be decoded with all its fields, also after
// this build has encoded it again.
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
		t.Errorf("decoded the earlier build's response as %+v, error %v, want %+v", got, err, want)
	}
	encoded, err := r.EncodeResponse(want)
	if err != nil || encoded.Status != 201 || encoded.ContentType != "application/http" {
		t.Errorf("encoded as %+v, error %v, want status 201 and application/http", encoded, err)
	}
	if decoded, err := r.DecodeResponse(encoded); err != nil || !reflect.DeepEqual(decoded, want) {
		t.Errorf("encoded and decoded as %+v, error %v, want %+v", decoded, err, want)
	}
	if t.Failed() {
		t.Logf("encoded as %x", encoded.Body)
	}
}
