package grpctransport

import (
	"bytes"
	"encoding/gob"
	"flag"
	"os"
	"reflect"
	"testing"

	"pumicecroft/idempotency"
	"pumicecroft/internal/grpcproto"
)

var writeGolden = flag.Bool("write-golden", false,
	"rewrite testdata/answer.gob: only after a deliberate change of the stored format")

// A response that an earlier release stored must be decoded with all its fields, and a response that is
// stored now must have the field names that the earlier release expects. The encodings differ only in
// the type description of Header and Trailer, where gob writes the package's name, which no decoder
// uses.
func TestStoredResponseFormat(t *testing.T) {
	const file = "testdata/answer.gob"
	want := &Response{Code: grpcproto.Code(9), Message: "no such%20item",
		Header:  []Field{{Name: "a", Value: "1"}, {Name: "b-bin", Value: "\x00"}},
		Trailer: []Field{{Name: "t", Value: "2"}}, Body: []byte("\x00\x00\x00\x00\x01m"), complete: true}
	stored, err := (&Request{}).EncodeResponse(want)
	if err != nil || stored.Status != 9 || stored.ContentType != "application/grpc" {
		t.Fatalf("encoding: got %+v, %v; want status 9 and content type application/grpc", stored, err)
	}
	if *writeGolden {
		if err := os.WriteFile(file, stored.Body, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := (&Request{}).DecodeResponse(idempotency.Response{Status: 9, ContentType: "application/grpc",
		Body: golden})
	if err != nil || !reflect.DeepEqual(decoded, want) {
		t.Errorf("decoding %s: got %+v, %v; want %+v", file, decoded, err, want)
	}
	type name struct{ Name, Value string }
	type earlier struct { // the type at commit d79c8bf
		Code            uint32
		Message         string
		Header, Trailer []name
		Body            []byte
	}
	var got earlier
	if err := gob.NewDecoder(bytes.NewReader(stored.Body)).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if wanted := (earlier{9, "no such%20item", []name{{"a", "1"}, {"b-bin", "\x00"}}, []name{{"t", "2"}},
		[]byte("\x00\x00\x00\x00\x01m")}); !reflect.DeepEqual(got, wanted) {
		t.Errorf("decoding as the earlier release does: got %+v, want %+v", got, wanted)
	}
}
