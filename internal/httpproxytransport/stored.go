package httpproxytransport

import (
	"bytes"
	"encoding/gob"
	"net/http"
)

// Responses are stored in gob encoding, which includes the Go identifiers of a struct and its fields
// and has no tags to override them. The types in this file fix these names, so that journals of
// idempotency keys stay readable when Response or its fields are renamed.

// encodeStored encodes a response for storage.
func encodeStored(response *Response) ([]byte, error) {
	type Answer struct { // gob stores this name too
		Status   int
		Header   http.Header
		Trailer  http.Header
		Body     []byte
		Streamed bool
	}
	stored := Answer{
		Status:   response.Status,
		Header:   response.Header,
		Trailer:  response.Trailer,
		Body:     response.Body,
		Streamed: response.Streamed,
	}
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(stored)
	return b.Bytes(), err
}

// decodeStored decodes a response that encodeStored has encoded.
func decodeStored(data []byte) (*Response, error) {
	var stored struct {
		Status   int
		Header   http.Header
		Trailer  http.Header
		Body     []byte
		Streamed bool
	}
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&stored); err != nil {
		return nil, err
	}
	return &Response{
		Status:   stored.Status,
		Header:   stored.Header,
		Trailer:  stored.Trailer,
		Body:     stored.Body,
		Streamed: stored.Streamed,
	}, nil
}
