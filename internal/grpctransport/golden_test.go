package grpctransport

import (
	"encoding/hex"
	"reflect"
	"testing"

	"pumicecroft/idempotency"
)

// storedResponse is the stored form of the response below, as an earlier build wrote it. It is in
// journals of idempotency keys, which outlive the program.
const storedResponse = "4a7f03010106416e7377657201ff800001050104436f646501060001074d657373616765010c00010648656164657201ff84" +
	"000107547261696c657201ff84000104426f6479010a0000001fff83020101105b5d677270636261636b2e4669656c6401ff" +
	"840001ff82000026ff81030101054669656c6401ff8200010201044e616d65010c00010556616c7565010c0000003fff8001" +
	"05010d6e6f2073756368207468696e6701020105782d6f6e65010161000105782d74776f0101620001010105782d656e6401" +
	"01630001046f6e636500"

// A response that an earlier build stored in a journal is read back completely.
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
		t.Errorf("%v, or it is given again as %+v, want %+v", err, got, want)
	}
	kept, err := r.EncodeResponse(want)
	if err != nil || kept.Status != 5 || kept.ContentType != "application/grpc" {
		t.Errorf("%v, or it is kept as %+v", err, kept)
	}
	if again, err := r.DecodeResponse(kept); err != nil || !reflect.DeepEqual(again, want) {
		t.Errorf("%v, or it is kept and given again as %+v, want %+v", err, again, want)
	}
	if t.Failed() {
		t.Logf("kept as %x", kept.Body)
	}
}
