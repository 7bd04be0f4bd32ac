package grpctransport

import (
	"bytes"
	"encoding/gob"

	"pumicecroft/internal/grpcproto"
)

// Responses are stored in the idempotency journal as gob. Gob identifies types and fields by their Go
// names and has no tags, so the types in this file must keep their names: otherwise journals written by
// earlier releases could not be read. Other types may be renamed.

// encodeStored encodes a response as gob.
func encodeStored(response *Response) ([]byte, error) {
	type transportField = Field
	type Field struct{ Name, Value string } // the type's name is stored
	type Answer struct {                    // the type's name is stored
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

// decodeStored decodes a response that encodeStored has encoded. It sets complete, as only complete
// responses are stored.
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
