package httpproxytransport

import (
	"bytes"
	"encoding/gob"
	"net/http"
)

// The stored form of an answer is gob, which names a struct and its fields by their Go identifiers and has no tags. The types in
// this file hold these names, so that a rename elsewhere leaves journals that were written before readable.

// encodeStored gives the stored form of an answer.
func encodeStored(a *Response) ([]byte, error) {
	type Answer struct { // the name is stored too
		Status   int
		Header   http.Header
		Trailer  http.Header
		Body     []byte
		Streamed bool
	}
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(Answer{Status: a.Status, Header: a.Header, Trailer: a.Trailer, Body: a.Body, Streamed: a.Streamed})
	return b.Bytes(), err
}

// decodeStored reads what encodeStored wrote.
func decodeStored(text []byte) (*Response, error) {
	var stored struct {
		Status   int
		Header   http.Header
		Trailer  http.Header
		Body     []byte
		Streamed bool
	}
	if err := gob.NewDecoder(bytes.NewReader(text)).Decode(&stored); err != nil {
		return nil, err
	}
	return &Response{Status: stored.Status, Header: stored.Header, Trailer: stored.Trailer, Body: stored.Body, Streamed: stored.Streamed}, nil
}
