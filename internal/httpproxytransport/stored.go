package httpproxytransport

import (
	"bytes"
	"encoding/gob"
	"net/http"
)

// The stored form of a response is gob, which names a struct and its fields by their Go identifiers
// and has no tags. The types in this file hold these names: a rename elsewhere leaves journals of
// idempotency keys that were written before readable.

// encodeStored returns the stored form of a response.
func encodeStored(response *Response) ([]byte, error) {
	type Answer struct { // the name is stored too
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

// decodeStored returns the response that encodeStored has stored.
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
