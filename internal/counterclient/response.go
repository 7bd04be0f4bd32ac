package counterclient

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"

	"pumicecroft/decision"
)

// maxBodyBytes is the maximum size of a response body.
const maxBodyBytes = 64

// errInvalidResponse means that a response is not valid for a call. Later responses on the connection can't be
// matched to calls.
var errInvalidResponse = errors.New("counterclient: invalid response")

// readResponse reads one response. last reports whether the counter closes the connection after it. Errors are
// read errors, or wrap errInvalidResponse.
func readResponse(in *bufio.Reader) (result decision.Result, total float64, last bool, err error) {
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, 0, false, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes+1))
	if err != nil {
		return 0, 0, false, fmt.Errorf("%w: %w", errInvalidResponse, err)
	}
	if len(body) > maxBodyBytes {
		return 0, 0, false, fmt.Errorf("%w: body over %d bytes", errInvalidResponse, maxBodyBytes)
	}
	switch res.StatusCode {
	case http.StatusOK:
		total, err := parseTotal(body)
		return decision.Succeeded, total, res.Close, err
	case http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusNotFound:
		return decision.Rejected, 0, res.Close, nil
	}
	return 0, 0, false, fmt.Errorf("%w: status %d", errInvalidResponse, res.StatusCode)
}

func parseTotal(body []byte) (float64, error) {
	total, err := strconv.ParseFloat(strings.TrimSpace(string(body)), 64)
	if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
		return 0, fmt.Errorf("%w: total %q", errInvalidResponse, body)
	}
	return total, nil
}
