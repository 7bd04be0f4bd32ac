package pumicecroft

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pumicecroft/internal/testkit"
)

// BenchmarkRequest is a request's way through a front door and back, with the client's and the backend's work.
func BenchmarkRequest(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	b.Cleanup(backend.Close)
	g := testkit.Script(sendTo(1))
	d := startDoor(b, g, strings.TrimPrefix(backend.URL, "http://"))
	client := &http.Transport{}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		for len(g.Heard) > 0 {
			<-g.Heard
		}
		res, err := client.RoundTrip(d.ask(b, "look", func(r *http.Request) { r.Header.Set("Request-Id", fmt.Sprintf("%016x", n)) }))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != 200 {
			b.Fatal(res.Status, err)
		}
		res.Body.Close()
	}
}
