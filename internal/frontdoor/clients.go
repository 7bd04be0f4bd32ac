package frontdoor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"pumicecroft/decision"

	"golang.org/x/time/rate"
)

const (
	// A client's time counts from when it sent the request, which is before we see it, and its answer must
	// reach it before that time is up. So the gateway is told of less time by the first margin, and the last
	// moment, at which a request without an answer is answered here, lies the second margin before the end.
	gatewayMargin    = 40 * time.Millisecond
	lastMomentMargin = 20 * time.Millisecond

	maxCustomer = 1 << 33

	// A client that sends no whole request within headTime and bodyTime of its beginning is not one of ours. A new
	// connection's head counts from its accept.
	headTime = 1500 * time.Millisecond
	bodyTime = time.Second
	idleTime = 15 * time.Second // that a client may keep a connection without a request

	// After SIGTERM new connections are taken for at least drainLeast, then until none has come for
	// drainQuiet, and for no longer than drainMost. The platform kills us no sooner than drainMost after the
	// longest deadline.
	drainLeast = 500 * time.Millisecond
	drainQuiet = 150 * time.Millisecond
	drainMost  = 700 * time.Millisecond
)

// Clients is the side of the front door that clients see.
type Clients struct {
	loop     *Loop
	settings decision.Settings
	classes  map[string]decision.Class
	plans    map[string]bool
	longest  time.Duration // of all deadlines
	conns    *connTable
	closing  atomic.Bool
	lastConn atomic.Int64 // when the last connection was accepted, Unix time in nanoseconds
	badLog   rate.Sometimes
	lateLog  rate.Sometimes
}

// NewClients serves clients from a loop.
func NewClients(config Config, loop *Loop) *Clients {
	settings := config.Settings
	c := &Clients{loop: loop, settings: settings, conns: newConnTable(config.Limits.clientConns()),
		classes: map[string]decision.Class{}, plans: map[string]bool{},
		badLog: rate.Sometimes{First: 10, Interval: time.Second}, lateLog: rate.Sometimes{First: 10, Interval: time.Second}}
	for _, class := range settings.Classes {
		c.classes[class.Name] = class
		c.longest = max(c.longest, class.Deadline)
	}
	for _, plan := range settings.Plans {
		c.plans[plan.Name] = true
	}
	return c
}

// Run serves clients on a listener until ctx ends, and then for as long as it takes to lose nothing: it goes
// on accepting while clients still come, stops listening, and returns when it holds no request.
func (c *Clients) Run(ctx context.Context, listener net.Listener) error {
	srv := &http.Server{
		Handler:           c,
		ReadHeaderTimeout: headTime,
		// There is no ReadTimeout: it would also run while a request waits for its answer, and a read that times
		// out then would look as if the client had gone. Bodies have a limit of their own.
		WriteTimeout:   c.longest + 10*time.Second,
		IdleTimeout:    idleTime,
		MaxHeaderBytes: 16 << 10,
		ErrorLog:       slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn),
		ConnState: func(conn net.Conn, s http.ConnState) {
			if s == http.StateNew {
				c.lastConn.Store(time.Now().UnixNano())
			}
			c.conns.note(conn, s)
		},
	}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(clientListener{listener}) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	c.closing.Store(true)
	start := time.Now()
	for time.Since(start) < drainLeast ||
		time.Since(start) < drainMost && time.Since(time.Unix(0, c.lastConn.Load())) < drainQuiet {
		time.Sleep(10 * time.Millisecond)
	}
	stop, cancel := context.WithTimeout(context.Background(), c.longest)
	defer cancel()
	return srv.Shutdown(stop)
}

// ServeHTTP takes one request and gives it its one final answer.
func (c *Clients) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if c.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/ready" {
		if c.closing.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	req, msg, timeout, err := c.parse(r)
	if err == nil {
		msg.body, err = readBody(w, r, msg.method)
	}
	if err == nil {
		req.Patience = timeout - gatewayMargin - time.Since(arrived)
		ctx, cancel := context.WithDeadline(r.Context(), arrived.Add(timeout-lastMomentMargin))
		defer cancel()
		var a answer
		if a, err = c.loop.Serve(ctx, req, msg); err == nil {
			c.answer(w, a)
			return
		}
	}
	switch {
	case errors.Is(err, context.Canceled):
		// Most likely nobody is there to be told. But a client may have ended its sending only, and without a
		// word from here it would read an empty 200.
		w.WriteHeader(http.StatusBadGateway)
	case errors.Is(err, context.DeadlineExceeded):
		c.lateLog.Do(func() { slog.Warn("answered at the last moment", "class", req.Class, "timeout", timeout) })
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		c.badLog.Do(func() { slog.Warn("bad request", "from", r.RemoteAddr, "err", err) })
		status := http.StatusBadRequest
		if errors.Is(err, errBigRequest) {
			status = http.StatusRequestEntityTooLarge
		}
		w.Header().Set("Connection", "close") // what else it sends is not waited for
		http.Error(w, err.Error(), status)
	}
}

func (c *Clients) answer(w http.ResponseWriter, a answer) {
	h := w.Header()
	switch a.kind {
	case served:
		h["Content-Type"] = a.reply.contentType // nil: none is guessed
		h.Set("Content-Length", strconv.Itoa(len(a.reply.body)))
		_, _ = w.Write(a.reply.body) // if it fails, the connection is closed: the client sees a cut answer
	case refused:
		if a.retryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}

var errBigRequest = errors.New("the body is over 64 KiB")

func readBody(w http.ResponseWriter, r *http.Request, method string) ([]byte, error) {
	if r.ContentLength > maxBody {
		return nil, errBigRequest
	}
	if method == http.MethodGet {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTime)); err != nil {
		return nil, err
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, err
	}
	// From here on the connection is read only to learn whether the client leaves.
	return body, control.SetReadDeadline(time.Time{})
}

// parse reads all of a request but its body. What it lets through is safe to pass to the gateway.
func (c *Clients) parse(r *http.Request) (req decision.Request, msg *message, timeout time.Duration, err error) {
	bad := func(what, value string) (decision.Request, *message, time.Duration, error) {
		return decision.Request{}, nil, 0, fmt.Errorf("%s: %.40q", what, value)
	}
	// A Content-Length next to a Transfer-Encoding is dropped unseen by the server (in HTTP/1.0 the latter is), and
	// whoever goes by the other one finds a second request in the body. Our clients tell lengths and send HTTP/1.1.
	if len(r.TransferEncoding) > 0 || r.ContentLength < 0 || r.ProtoMajor != 1 || r.ProtoMinor != 1 {
		return bad("framing", r.Proto+" "+strings.Join(r.TransferEncoding, ", "))
	}
	// A header that is there twice could be read in two ways, here and behind us.
	h := map[string]string{}
	for _, name := range []string{"Request-Id", "Request-Class", "X-Tier", "X-Api-Key", "Request-Timeout",
		"X-Call-Terms", "Idempotency-Key"} {
		switch v := r.Header[name]; len(v) {
		case 0:
		case 1:
			h[name] = v[0]
		default:
			return bad(name, strings.Join(v, ", "))
		}
	}
	id, err := parseHex(h["Request-Id"])
	if err != nil {
		return bad("Request-Id", h["Request-Id"])
	}
	class, ok := c.classes[h["Request-Class"]]
	if !ok {
		return bad("Request-Class", h["Request-Class"])
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != class.Name ||
		!strings.HasPrefix(r.RequestURI, "/") {
		return bad("path of another class", r.RequestURI)
	}
	method := http.MethodPost
	if class.Effect == decision.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		return bad("method", r.Method)
	}
	if method == http.MethodGet && r.ContentLength != 0 {
		return bad("a GET with a body", r.RequestURI)
	}
	if class.Effect == decision.Keyed && h["Idempotency-Key"] == "" {
		return bad("Idempotency-Key", "")
	}
	if !c.plans[h["X-Tier"]] {
		return bad("X-Tier", h["X-Tier"])
	}
	customer, err := parseHex(h["X-Api-Key"])
	if err != nil || customer >= maxCustomer {
		return bad("X-Api-Key", h["X-Api-Key"])
	}
	seconds, err := strconv.ParseFloat(h["Request-Timeout"], 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return bad("Request-Timeout", h["Request-Timeout"])
	}
	timeout = time.Duration(min(seconds, class.Deadline.Seconds()) * float64(time.Second))
	req = decision.Request{ID: decision.RequestID(id), Customer: decision.CustomerID(customer), Class: class.Name, Plan: h["X-Tier"]}
	if err := c.parseTerms(h["X-Call-Terms"], &req); err != nil {
		return bad("X-Call-Terms", h["X-Call-Terms"])
	}
	msg = &message{method: method, target: r.RequestURI, host: r.Host, header: http.Header{"User-Agent": {""}}}
	for _, name := range []string{"Request-Id", "Idempotency-Key", "Content-Type"} {
		if v, ok := r.Header[name]; ok {
			msg.header[name] = v
		}
	}
	return req, msg, timeout, nil
}

var errTerms = errors.New("terms that make no sense")

// parseTerms reads "units=2,spread=3,first=1"; each must be there once, and in range.
func (c *Clients) parseTerms(text string, req *decision.Request) error {
	var units, spread, first bool
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		var err error
		var again bool
		switch name {
		case "units":
			again, units = units, true
			req.Units, err = strconv.ParseFloat(value, 64)
		case "spread":
			again, spread = spread, true
			req.Spread, err = strconv.Atoi(value)
		case "first":
			again, first = first, true
			req.FirstDoor, err = strconv.Atoi(value)
		}
		if err != nil || again {
			return errTerms
		}
	}
	s := c.settings
	if !units || !spread || !first || !(req.Units > 0) || math.IsInf(req.Units, 0) ||
		s.LargestUnits > 0 && req.Units > s.LargestUnits ||
		req.Spread < 1 || req.Spread > s.FrontDoors || req.FirstDoor < 0 || req.FirstDoor >= s.FrontDoors {
		return errTerms
	}
	return nil
}

func parseHex(s string) (uint64, error) {
	if len(s) != 16 {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseUint(s, 16, 64)
}
