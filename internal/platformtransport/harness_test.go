package platformtransport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/platformhttp"
	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

// reuseWait is the time after which an idle connection is certainly reused.
const reuseWait = 2 * platformhttp.ReuseDelay

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

var getRequest = &Request{
	Method: http.MethodGet,
	Target: "/look",
	Host:   "origin.svc",
	ID:     0x9b1f03aa5c7e2d41,
	HasID:  true,
}

var keyedPost = &Request{
	Method: http.MethodPost,
	Target: "/pay",
	Host:   "origin.svc",
	ID:     0x9b1f03aa5c7e2d42,
	HasID:  true,
	Key:    "k",
	Body:   []byte("amount=3"),
}

func testConfig() Config {
	return Config{
		MaxConns:         426,
		IdleTimeout:      15 * time.Second,
		ConnectTimeout:   250 * time.Millisecond,
		LoadReportFields: []string{"depth", "tps"},
	}
}

// oneBackend returns a full update with one ready backend.
func oneBackend(addr string) membership.Update {
	return membership.Update{Full: true, Nodes: []membership.Node{{Name: "s-0", Addr: addr, Weight: 1}}}
}

// tableTransport is a Transport that gets its backends from a membership table.
type tableTransport struct {
	*Transport
	table *membership.Table
	clock executor.Clock
}

func newTableTransport(t *testing.T, c Config) *tableTransport {
	t.Helper()
	source := membership.SourceInfo{Name: "own", Trusted: true}
	tr := &tableTransport{New(c), membership.NewTable(membership.Policy{}, source), executor.NewClock()}
	t.Cleanup(tr.Close)
	return tr
}

// update reports an update to the table, applies the resulting changes and returns them.
func (tr *tableTransport) update(u membership.Update) []membership.Change {
	changes, _ := tr.table.Report(tr.clock.Now(), "own", u, tr.clock.FromWallTime)
	tr.Apply(changes)
	return slices.Clone(changes)
}

// newTransport returns a Transport with one backend.
func newTransport(t *testing.T, addr string) (*tableTransport, decision.BackendID) {
	t.Helper()
	tr := newTableTransport(t, testConfig())
	return tr, tr.update(oneBackend(addr))[0].ID
}

// send makes one attempt, which is cancelled when ctx ends.
func (tr *tableTransport) send(ctx context.Context, id decision.BackendID, m *Request) executor.Response {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(testkit.WaitTimeout)
	}
	a := executor.NewAttempt(id, deadline, m)
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			a.Cancel(executor.ErrDeadlineExceeded)
		} else {
			a.Cancel(executor.ErrCancelled)
		}
	})
	defer stop()
	return tr.RoundTrip(a)
}

// body returns the body of an attempt's response, or an empty string if there is no response.
func body(r executor.Response) string {
	if response, ok := r.Body.(*Response); ok {
		return string(response.Body)
	}
	return ""
}

// respond returns a backend that responds to each request with a status and header fields.
func respond(status int, fields ...string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Length: 2\r\n", status, http.StatusText(status))
		for i := 0; i+1 < len(fields); i += 2 {
			fmt.Fprintf(conn, "%s: %s\r\n", fields[i], fields[i+1])
		}
		io.WriteString(conn, "\r\nok")
	}
}

// writeAndClose returns a backend that responds with text and closes the connection.
func writeAndClose(text string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		io.WriteString(conn, text)
		_ = conn.Close()
	}
}

// write returns a backend that responds with text and keeps the connection open.
func write(text string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) { io.WriteString(conn, text) }
}
