package grpctransport

import (
	"bytes"
	"encoding/gob"

	"pumicecroft/internal/grpcproto"
)

// The stored form of a response is gob, which names a struct and its fields by their Go identifiers
// and has no tags. The types in this file hold these names: a rename elsewhere leaves journals of
// idempotency keys that were written before readable.

// encodeStored returns the stored form of a response.
func encodeStored(response *Response) ([]byte, error) {
	type transportField = Field
	type Field struct{ Name, Value string } // the name is stored
	type Answer struct {                    // the name is stored
		Code    uint32
		Message string
		Header  []Field
		Trailer []Field
		Body    []byte
	}
	convert := func(in []transportField) (out []Field) {
		for _, f := range in {
			out = append(out, Field(f))
		}
		return out
	}
	stored := Answer{
		Code:    uint32(response.Code),
		Message: response.Message,
		Header:  convert(response.Header),
		Trailer: convert(response.Trailer),
		Body:    response.Body,
	}
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(stored)
	return b.Bytes(), err
}

// decodeStored returns the response that encodeStored has stored. Only complete responses are stored.
func decodeStored(data []byte) (*Response, error) {
	type storedField struct{ Name, Value string }
	var stored struct {
		Code    uint32
		Message string
		Header  []storedField
		Trailer []storedField
		Body    []byte
	}
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&stored); err != nil {
		return nil, err
	}
	convert := func(in []storedField) (out []Field) {
		for _, f := range in {
			out = append(out, Field(f))
		}
		return out
	}
	return &Response{
		Code:     grpcproto.Code(stored.Code),
		Message:  stored.Message,
		Header:   convert(stored.Header),
		Trailer:  convert(stored.Trailer),
		Body:     stored.Body,
		complete: true,
	}, nil
}
