package grpctransport

import (
	"bytes"
	"encoding/gob"

	"pumicecroft/internal/grpcproto"
)

// The stored form of an answer is gob, which names a struct and its fields by their Go identifiers and has no tags. The types in
// this file hold these names, so that a rename elsewhere leaves journals that were written before readable.

// encodeStored gives the stored form of an answer.
func encodeStored(a *Response) ([]byte, error) {
	type given = Field
	type Field struct{ Name, Value string }
	stored := func(in []given) (out []Field) {
		for _, f := range in {
			out = append(out, Field(f))
		}
		return out
	}
	type Answer struct { // the name is stored too
		Code    uint32
		Message string
		Header  []Field
		Trailer []Field
		Body    []byte
	}
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(Answer{Code: uint32(a.Code), Message: a.Message, Header: stored(a.Header), Trailer: stored(a.Trailer), Body: a.Body})
	return b.Bytes(), err
}

// decodeStored reads what encodeStored wrote. Only a stream that its backend has ended was stored.
func decodeStored(text []byte) (*Response, error) {
	type storedField struct{ Name, Value string }
	var stored struct {
		Code    uint32
		Message string
		Header  []storedField
		Trailer []storedField
		Body    []byte
	}
	if err := gob.NewDecoder(bytes.NewReader(text)).Decode(&stored); err != nil {
		return nil, err
	}
	fields := func(in []storedField) (out []Field) {
		for _, f := range in {
			out = append(out, Field(f))
		}
		return out
	}
	return &Response{Code: grpcproto.Code(stored.Code), Message: stored.Message, Header: fields(stored.Header), Trailer: fields(stored.Trailer),
		Body: stored.Body, complete: true}, nil
}
