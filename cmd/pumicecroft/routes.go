package main

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strings"
	"time"

	"pumicecroft/httpproxy"
	"pumicecroft/internal/daemon"
	"pumicecroft/internal/operatorconfig"
)

type routesCommand struct {
	fileArg
	Method string   `arg:"" name:"method" help:"The request's method, such as GET."`
	URL    string   `arg:"" name:"url" help:"Its URL, such as http://shop.example/items/7, or a path."`
	Header []string `name:"header" short:"H" sep:"none" placeholder:"NAME: VALUE" help:"A field that it brings. May be repeated."`
	From   string   `name:"from" default:"127.0.0.1" help:"The address that it comes from."`
}

// Run prints what would become of a request, and why.
func (a *routesCommand) Run(out io.Writer) error {
	f, err := a.read()
	if err != nil {
		return err
	}
	if f.HTTP == nil {
		return fmt.Errorf("%s: it has no [[service]], and so no routes", a.File)
	}
	r, err := newRequest(a)
	if err != nil {
		return err
	}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	front, end, err := daemon.NewOfflineProxy(f)
	if err != nil {
		return fmt.Errorf("%s:\n%w", a.File, err)
	}
	defer end()
	printResolved(out, &f, front.Resolve(r, time.Now()), front)
	return nil
}

// newRequest is the one that the arguments tell of.
func newRequest(a *routesCommand) (*http.Request, error) {
	text := a.URL
	if strings.HasPrefix(text, "/") {
		text = "http://localhost" + text
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" {
		return nil, fmt.Errorf("%q is neither a path nor a URL with a host", a.URL)
	}
	_, rest, _ := strings.Cut(text, "://")
	target := "/"
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		target = rest[i:] // as it is written
	}
	r := &http.Request{Method: a.Method, Host: u.Host, RequestURI: target, Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, RemoteAddr: a.From + ":1"}
	if strings.Contains(a.From, ":") {
		r.RemoteAddr = "[" + a.From + "]:1"
	}
	path, query, _ := strings.Cut(target, "?")
	r.URL = &url.URL{Path: path, RawQuery: query}
	for _, h := range a.Header {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return nil, fmt.Errorf("%q is no field: NAME: VALUE", h)
		}
		r.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	return r, nil
}

// printResolved prints a plan.
func printResolved(out io.Writer, f *operatorconfig.File, p httpproxy.ResolvedRequest, front *httpproxy.Proxy) {
	line := func(name, format string, args ...any) {
		fmt.Fprintf(out, "%-9s %s\n", name, printable(fmt.Sprintf(format, args...)))
	}
	if p.Rule != nil {
		line("route", "%s (line %d)", p.Rule.Name, p.Rule.Line)
		for _, v := range p.Params {
			line("", "%s = %q", v.Name, v.Value)
		}
	}
	if p.Caller.Rule != "" {
		line("who", "%s, by %s, plan %s", p.Caller.Name, p.Caller.Rule, p.Caller.Plan)
	}
	if p.Err != nil {
		status, why := front.RejectionStatus(p)
		line("refused", "%d: %s", status, why)
		return
	}
	line("service", "%s", p.Rule.Target.Service)
	line("class", "%s: %s", p.Class, [...]string{"safe to repeat", "keyed: repeated where backends drop repeats", "never repeated once it may have run"}[p.Idempotency])
	for _, c := range f.Gateway.Settings.Classes {
		if c.Name == p.Class {
			deadline := c.Deadline
			if t := p.Rule.Target.Timeout; t > 0 {
				deadline = min(deadline, t)
			}
			line("deadline", "%v", deadline)
		}
	}
	units := p.Rule.Target.Cost
	if units == 0 {
		units = 1
	}
	line("units", "%v", units)
}
