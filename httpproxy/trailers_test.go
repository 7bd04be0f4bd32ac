package httpproxy_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against responses without an end: a backend announces a trailer, and its response has a length or
// lacks the announced field. The client must get the whole response at once, and over HTTP/2 also the
// trailer of a response with a length.
func TestResponsesWithTrailersEnd(t *testing.T) {
	for name, c := range map[string]struct {
		status                   int
		withLength, sendsTrailer bool
	}{
		"length and trailer":                     {http.StatusOK, true, true},
		"length and trailer, error response":     {http.StatusInternalServerError, true, true},
		"length, trailer announced and not sent": {http.StatusOK, true, false},
		"chunks and trailer":                     {http.StatusOK, false, true},
		"chunks, trailer announced and not sent": {http.StatusOK, false, false},
	} {
		backend := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "X-Checksum")
			if c.withLength {
				w.Header().Set("Content-Length", "4")
			}
			w.WriteHeader(c.status)
			fmt.Fprint(w, "page")
			if !c.withLength {
				_ = http.NewResponseController(w).Flush() // so that net/http sends no length
			}
			if c.sendsTrailer {
				w.Header().Set("X-Checksum", "7")
			}
		}), nil)
		for _, backendHTTP2 := range []bool{false, true} {
			for _, clientHTTP2 := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, backend HTTP/2 %t, client HTTP/2 %t", name, backendHTTP2, clientHTTP2),
					func(t *testing.T) {
						t.Parallel()
						section := serviceSection("shop", backend)
						if backendHTTP2 {
							section += "speaks = \"h2\"\n"
						}
						fx := startProxy(t, section)
						client := &http.Client{Transport: newTransport(clientHTTP2), Timeout: 5 * time.Second}
						defer client.CloseIdleConnections()
						res, err := client.Post("http://"+fx.addr+"/", "text/plain", nil)
						if err != nil {
							t.Fatal(err)
						}
						defer res.Body.Close()
						body, err := io.ReadAll(res.Body)
						if err != nil || res.StatusCode != c.status || string(body) != "page" {
							t.Fatalf("status %d, body %q, err %v; want %d, \"page\" and none", res.StatusCode, body, err, c.status)
						}
						want := ""
						if c.sendsTrailer && (!c.withLength || backendHTTP2 && clientHTTP2) {
							want = "7" // HTTP/1.1 has no trailer after a body with a length
						}
						if got := res.Trailer.Get("X-Checksum"); got != want {
							t.Errorf("trailer X-Checksum = %q, want %q", got, want)
						}
					})
			}
		}
	}
}
