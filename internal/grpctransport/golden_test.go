package grpctransport

import (
	"encoding/hex"
	"reflect"
	"testing"

	"pumicecroft/idempotency"
)

// storedResponse is the response below in hex, as an earlier release stored it in the idempotency
// journal.
const storedResponse = "4a7f03010106416e7377657201ff800001050104436f646501060001074d657373616765010c00010648656164657201ff84" +
	"000107547261696c657201ff84000104426f6479010a0000001fff83020101105b5d677270636261636b2e4669656c6401ff" +
	"840001ff82000026ff81030101054669656c6401ff8200010201044e616d65010c00010556616c7565010c0000003fff8001" +
	"05010d6e6f2073756368207468696e6701020105782d6f6e65010161000105782d74776f0101620001010105782d656e6401" +
	"01630001046f6e636500"

// A response that an earlier release stored in the idempotency journal must be decoded with all its
// fields.
func TestResponseStoredByEarlierBuild(t *testing.T) {
	want := &Response{Code: 5, Message: "no such thing", Header: []Field{{"x-one", "a"}, {"x-two", "b"}},
		Trailer: []Field{{"x-end", "c"}}, Body: []byte("once"), complete: true}
	body, err := hex.DecodeString(storedResponse)
	if err != nil {
		t.Fatal(err)
	}
	var r Request
	got, err := r.DecodeResponse(idempotency.Response{Status: 5, ContentType: "application/grpc", Body: body})
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoding the earlier release's response: got %+v, %v; want %+v", got, err, want)
	}
	stored, err := r.EncodeResponse(want)
	if err != nil || stored.Status != 5 || stored.ContentType != "application/grpc" {
		t.Errorf("encoding: got %+v, %v; want status 5 and content type application/grpc", stored, err)
	}
	if decoded, err := r.DecodeResponse(stored); err != nil || !reflect.DeepEqual(decoded, want) {
		t.Errorf("encoding and decoding: got %+v, %v; want %+v", decoded, err, want)
	}
	if t.Failed() {
		t.Logf("encoded as %x", stored.Body)
	}
}
