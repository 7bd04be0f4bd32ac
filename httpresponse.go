package pumicecroft

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// WriteResponse writes a response or an error returned by Do, with the status that ServeHTTP documents.
func WriteResponse(w http.ResponseWriter, response *Response, err error) {
	if err == nil {
		writeSuccess(w, response)
		return
	}
	var rejected *RejectedError
	var unknown *OutcomeUnknownError
	switch {
	case errors.As(err, &rejected):
		if rejected.RetryAfter > 0 {
			setRetryAfter(w, rejected.RetryAfter)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, ErrRejected):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, ErrBodyTooLarge):
		writeErrorAndClose(w, err, http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrKeyConflict):
		writeErrorAndClose(w, err, http.StatusUnprocessableEntity)
	case errors.Is(err, ErrBadRequest):
		writeErrorAndClose(w, err, http.StatusBadRequest)
	case errors.As(err, &unknown):
		setRetryAfter(w, unknown.RetryAfter)
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, ErrReplayed), errors.Is(err, ErrResponseNotRetained):
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		// An ErrFailed, or the client has disconnected. A client that has closed only its sending side would read an
		// empty 200 if nothing were written.
		w.WriteHeader(http.StatusBadGateway)
	}
}

func writeSuccess(w http.ResponseWriter, response *Response) {
	header := w.Header()
	header["Content-Type"] = nil // net/http must not detect one
	if response.ContentType != "" {
		header["Content-Type"] = []string{response.ContentType}
	}
	header["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	w.WriteHeader(http.StatusOK)  // explicitly, as a framework may have set another status
	_, _ = w.Write(response.Body) // if it fails, the connection is closed, and the client sees a truncated response
}

// setRetryAfter sets Retry-After, in seconds with decimals.
func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

func writeErrorAndClose(w http.ResponseWriter, err error, status int) {
	w.Header().Set("Connection", "close") // the rest of the request has not been read
	http.Error(w, err.Error(), status)
}

const (
	hostResponseWait = 250 * time.Millisecond // for the host's answer, after the host's timeout
	hostPollInterval = time.Millisecond
)

// WriteGatewayTimeout ends a handler after the host's own timeout. The host may be about to answer, which a handler
// that returns too early would prevent; http.TimeoutHandler would even send an empty 200 as the handler's answer. So
// WriteGatewayTimeout writes 504. If that can be flushed, it is the answer. If a writer that the host has wrapped
// buffers it, WriteGatewayTimeout waits up to 250 ms for the host to answer, which it detects by a write that fails.
func WriteGatewayTimeout(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusGatewayTimeout)
	if http.NewResponseController(w).Flush() == nil {
		return
	}
	for end := time.Now().Add(hostResponseWait); time.Now().Before(end); time.Sleep(hostPollInterval) {
		if _, err := w.Write(nil); err != nil {
			return
		}
	}
}
