package main

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strings"
	"time"

	"pumicecroft/decision"
	"pumicecroft/httpproxy"
	"pumicecroft/internal/daemon"
	"pumicecroft/internal/operatorconfig"
)

type routesCommand struct {
	fileArg
	Method string   `arg:"" name:"method" help:"The request's method, such as GET."`
	URL    string   `arg:"" name:"url" help:"The request's URL, such as http://shop.example/items/7, or a path."`
	Header []string `name:"header" short:"H" sep:"none" placeholder:"NAME: VALUE" help:"A header field of the request. May be repeated."`
	From   string   `name:"from" default:"127.0.0.1" help:"The IP address of the client."`
}

// Run prints how a request would be routed, identified and classified, or why it would be rejected.
func (c *routesCommand) Run(out io.Writer) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	if f.HTTP == nil {
		return fmt.Errorf("%s: it has no [[service]], so it has no routes", c.File)
	}
	r, err := newRequest(c)
	if err != nil {
		return err
	}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	proxy, closeProxy, err := daemon.NewOfflineProxy(f)
	if err != nil {
		return fmt.Errorf("%s:\n%w", c.File, err)
	}
	defer closeProxy()
	printResolved(out, &f, proxy.Resolve(r, time.Now()), proxy)
	return nil
}

// newRequest returns the request that the arguments describe.
func newRequest(c *routesCommand) (*http.Request, error) {
	text := c.URL
	if strings.HasPrefix(text, "/") {
		text = "http://localhost" + text
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" {
		return nil, fmt.Errorf("%q is neither a path nor a URL with a host", c.URL)
	}
	_, rest, _ := strings.Cut(text, "://")
	target := "/"
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		target = rest[i:] // with its original escaping
	}
	path, query, _ := strings.Cut(target, "?")
	r := &http.Request{
		Method:     c.Method,
		URL:        &url.URL{Path: path, RawQuery: query},
		Host:       u.Host,
		RequestURI: target,
		Header:     http.Header{},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		RemoteAddr: c.From + ":1",
	}
	if strings.Contains(c.From, ":") { // an IPv6 address
		r.RemoteAddr = "[" + c.From + "]:1"
	}
	for _, h := range c.Header {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return nil, fmt.Errorf("header field %q is not of the form NAME: VALUE", h)
		}
		r.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	return r, nil
}

// classDescriptions describe a request's idempotency.
var classDescriptions = map[decision.Idempotency]string{
	decision.Idempotent:      "safe to repeat",
	decision.IdempotentByKey: "keyed: repeated where backends drop repeats",
	decision.NonIdempotent:   "never repeated once it may have run",
}

// printResolved prints how the gateway would handle a request.
func printResolved(out io.Writer, f *operatorconfig.File, r httpproxy.ResolvedRequest, proxy *httpproxy.Proxy) {
	line := func(name, format string, args ...any) {
		fmt.Fprintf(out, "%-9s %s\n", name, printable(fmt.Sprintf(format, args...)))
	}
	if r.Rule != nil {
		line("route", "%s (line %d)", r.Rule.Name, r.Rule.Line)
		for _, v := range r.Params {
			line("", "%s = %q", v.Name, v.Value)
		}
	}
	if r.Caller.Rule != "" {
		line("who", "%s, by %s, plan %s", r.Caller.Name, r.Caller.Rule, r.Caller.Plan)
	}
	if r.Err != nil {
		status, reason := proxy.RejectionStatus(r)
		line("refused", "%d: %s", status, reason)
		return
	}
	line("service", "%s", r.Rule.Target.Service)
	line("class", "%s: %s", r.Class, classDescriptions[r.Idempotency])
	for _, c := range f.Gateway.Settings.Classes {
		if c.Name == r.Class {
			deadline := c.Deadline
			if t := r.Rule.Target.Timeout; t > 0 {
				deadline = min(deadline, t)
			}
			line("deadline", "%v", deadline)
		}
	}
	cost := r.Rule.Target.Cost
	if cost == 0 {
		cost = 1
	}
	line("units", "%v", cost)
}
