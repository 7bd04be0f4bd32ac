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

var writeGolden = flag.Bool("write-golden", false, "write testdata/answer.gob anew: only for a new stored form")

// A response that an earlier release stored for an idempotency key must be read back with all its
// fields, and what is stored now must have the names by which that release finds them. The bytes
// are equal, but for the description of the type of Header and Trailer, in which gob writes the
// package's name, which nothing reads.
func TestStoredResponseKeepsItsForm(t *testing.T) {
	const file = "testdata/answer.gob"
	want := &Response{Code: grpcproto.Code(9), Message: "no such%20item",
		Header:  []Field{{Name: "a", Value: "1"}, {Name: "b-bin", Value: "\x00"}},
		Trailer: []Field{{Name: "t", Value: "2"}}, Body: []byte("\x00\x00\x00\x00\x01m"), complete: true}
	kept, err := (&Request{}).EncodeResponse(want)
	if err != nil || kept.Status != 9 || kept.ContentType != "application/grpc" {
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
	again, err := (&Request{}).DecodeResponse(idempotency.Response{Status: 9, ContentType: "application/grpc",
		Body: golden})
	if err != nil || !reflect.DeepEqual(again, want) {
		t.Errorf("%+v, %v; want %+v", again, err, want)
	}
	type name struct{ Name, Value string }
	type earlier struct { // as d79c8bf has the type
		Code            uint32
		Message         string
		Header, Trailer []name
		Body            []byte
	}
	var got earlier
	if err := gob.NewDecoder(bytes.NewReader(kept.Body)).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if wanted := (earlier{9, "no such%20item", []name{{"a", "1"}, {"b-bin", "\x00"}}, []name{{"t", "2"}},
		[]byte("\x00\x00\x00\x00\x01m")}); !reflect.DeepEqual(got, wanted) {
		t.Errorf("the earlier release reads %+v, want %+v", got, wanted)
	}
}
