// Package consul supplies a Door's backends from Consul: its catalogue says what exists, its health API what may be
// sent to. It asks with blocking queries over Consul's own client; what answers mean is settled by packages that do no
// I/O (internal/blocking, internal/registry). It also registers a front door at its agent (register.go).
//
// Each service is a source of its own: see Client.Service. For what is not in the Config, Consul's client takes the
// environment's CONSUL_HTTP_TOKEN, CONSUL_NAMESPACE and CONSUL_PARTITION, as all its users do.
package consul

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/consul/api"

	"pumicecroft/internal/blockingquery"
	"pumicecroft/internal/consulcatalog"
	"pumicecroft/internal/unread"
	"pumicecroft/membership"
)

// ErrConfig is a Config that makes no sense, or names files that can't be read.
var ErrConfig = errors.New("consul: configuration")

// ErrPartial is an answer that was not believed in whole: without a leader, too old, or with entries that ACLs took away.
var ErrPartial = errors.New("consul: an answer that is not believed in whole")

// Consistency says how fresh answers must be, at what cost ("Consistency Modes" in Consul's API documentation).
type Consistency int

// The modes.
const (
	Default    Consistency = iota
	Stale                  // any server answers, also without a leader; Config.MaxStale bounds how old it may be
	Consistent             // the leader asks its peers first
)

// Config says how an agent or server is reached.
type Config struct {
	Address string // host:port, http://host:port, https://host:port or unix:///path
	// TokenFile holds the ACL token; it is read again for each question. Empty: none.
	TokenFile                        string
	Datacenter, Namespace, Partition string // empty: the agent's own
	// CAFile, CertFile and KeyFile are PEM files, for https. The client's certificate is read again for each connection.
	CAFile, CertFile, KeyFile string
	ServerName                string // in the server's certificate; empty: the address's host
	Consistency               Consistency
	// Rules are the figures of blocking queries; what is 0 takes the default.
	Wait, MaxStale, RetryMax time.Duration
	// Seed makes the random part of waits; 0: the time.
	Seed uint64
}

// Mapping says where a node's attributes stand: a key of the service's meta, "node:KEY" of the node's, or "datacenter".
type Mapping = consulcatalog.Mapping

// Service is a service whose instances are backends.
type Service struct {
	Name   string
	Tags   []string // an instance must have them all
	Near   string   // order of answers; a node's name or _agent
	Filter string   // an expression over the health API's fields
	// HealthOnly leaves the catalogue out: what health lists exists.
	HealthOnly bool
	Mapping    Mapping
}

// Client reaches one agent or server. It is safe for concurrent use.
type Client struct {
	config Config
	api    *api.Client
}

// New checks a Config; it connects nowhere. The error is an ErrConfig.
func New(c Config) (*Client, error) {
	bad := func(err error) (*Client, error) { return nil, fmt.Errorf("%w: %w", ErrConfig, err) }
	scheme, addr, found := strings.Cut(c.Address, "://")
	if !found {
		scheme, addr = "http", c.Address
	}
	dialer := &net.Dialer{Timeout: 2 * time.Second, KeepAlive: 5 * time.Second}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return unread.New(c, nil), nil
	}
	transport := &http.Transport{DialContext: dial, TLSHandshakeTimeout: 2 * time.Second, MaxIdleConnsPerHost: 64,
		IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: 64 << 10}
	switch scheme {
	case "unix":
		path := addr
		transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return dial(ctx, "unix", path) }
		scheme, addr = "http", "localhost"
	case "http", "https":
		host, _, err := net.SplitHostPort(addr)
		if err != nil || host == "" {
			return bad(fmt.Errorf("address %q is no host:port", c.Address))
		}
	default:
		return bad(fmt.Errorf("address %q: there are http, https and unix", c.Address))
	}
	if scheme == "https" {
		t, err := api.SetupTLSConfig(&api.TLSConfig{Address: cmp.Or(c.ServerName, addr), CAFile: c.CAFile})
		if err != nil {
			return bad(err)
		}
		if c.CertFile != "" || c.KeyFile != "" {
			load := func() (*tls.Certificate, error) {
				pair, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
				return &pair, err
			}
			if _, err := load(); err != nil {
				return bad(err)
			}
			t.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() }
		}
		transport.TLSClientConfig = t
	} else if c.CAFile != "" || c.CertFile != "" || c.KeyFile != "" {
		return bad(fmt.Errorf("TLS files with an address that is not https: %q", c.Address))
	}
	if c.TokenFile != "" {
		if _, err := readToken(c.TokenFile); err != nil {
			return bad(err)
		}
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
	}
	a, err := api.NewClient(&api.Config{Address: addr, Scheme: scheme, Transport: transport,
		HttpClient: &http.Client{Transport: limitedTransport{transport}}, Datacenter: c.Datacenter, Namespace: c.Namespace, Partition: c.Partition})
	if err != nil {
		return bad(err)
	}
	return &Client{c, a}, nil
}

func readToken(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(text))
	if token == "" || len(token) > 4096 {
		return "", fmt.Errorf("%s: it holds no token", path)
	}
	return token, nil
}

// maxResponseBytes bounds an answer, in bytes.
const maxResponseBytes = 64 << 20

// limitedTransport cuts answers that are too long.
type limitedTransport struct{ http.RoundTripper }

func (l limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := l.RoundTripper.RoundTrip(r)
	if err == nil {
		res.Body = struct {
			io.Reader
			io.Closer
		}{io.LimitReader(res.Body, maxResponseBytes), res.Body}
	}
	return res, err
}

// options are a question's.
func (c *Client) options(ctx context.Context) (*api.QueryOptions, error) {
	o := &api.QueryOptions{AllowStale: c.config.Consistency == Stale, RequireConsistent: c.config.Consistency == Consistent}
	if c.config.TokenFile != "" {
		token, err := readToken(c.config.TokenFile)
		if err != nil {
			return nil, err
		}
		o.Token = token
	}
	return o.WithContext(ctx), nil
}

// Watch follows one service. It is a source for a Door, under the name that Origin gives.
type Watch struct {
	client  *Client
	service Service

	mu      sync.Mutex
	queries []*queryState // that run
}

// Service makes a source of a service.
func (c *Client) Service(s Service) *Watch { return &Watch{client: c, service: s} }

// queryState is what a loop is asked for by CatchUp: an answer to a question that is asked after it.
type queryState struct {
	mu          sync.Mutex
	waiters     []chan error       // each takes the answer's end
	cancel      context.CancelFunc // ends the question that is out; nil: none is
	conn        *unread.Conn       // that it is on; nil: on none yet, or one that tells nothing
	readBefore  uint64             // what had been read of that before
	wake        chan struct{}      // holds one: a question is wanted at once
	failedSince time.Time          // since when its questions fail; zero: they do not
}

// Sync asks anew for all that the service's questions have answers to, and returns when these have been taken in. What failed since
// before a time is not waited for.
func (w *Watch) Sync(ctx context.Context, since time.Time) error {
	w.mu.Lock()
	loops := slices.Clone(w.queries)
	w.mu.Unlock()
	var ends []chan error
	for _, l := range loops {
		l.mu.Lock()
		if l.failedSince.IsZero() || !l.failedSince.Before(since) {
			end := make(chan error, 1)
			l.waiters, ends = append(l.waiters, end), append(ends, end)
			select {
			case l.wake <- struct{}{}:
			default:
			}
			if l.cancel != nil && !l.responseStarted() {
				l.cancel()
			}
		}
		l.mu.Unlock()
	}
	if len(ends) == 0 {
		return errSilent
	}
	var errs error
	for _, end := range ends {
		select {
		case err := <-end:
			errs = errors.Join(errs, err)
		case <-ctx.Done():
			return errSilent
		}
	}
	return errs
}

// responseStarted tells whether anything of the answer to the question that is out has come; it wants the lock. What has come is told, whatever
// becomes of the next question.
func (f *queryState) responseStarted() bool {
	return f.conn != nil && (!f.conn.Nothing() || f.conn.Got() > f.readBefore)
}

// startAlarm calls silent after a question's patience; if something of its answer has come by then, as this process stood still, a while later.
func (f *queryState) startAlarm(patience time.Duration, silent func()) *time.Timer {
	late := false
	return unread.Alarm(patience, func() time.Duration {
		f.mu.Lock()
		defer f.mu.Unlock()
		if late || !f.responseStarted() {
			return 0
		}
		late = true
		return responseGrace
	}, silent)
}

// responseGrace is how long an answer may take that has begun to come when its question's patience is over.
const responseGrace = time.Second

// onConn notes the connection that a question is on.
func (f *queryState) onConn(c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	u, _ := c.(*unread.Conn)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn = u; u != nil {
		f.readBefore = u.Got()
	}
}

// begin begins a question and gives what has been asked for by then; more is asked for with the next one.
func (f *queryState) begin(cut context.CancelFunc) (wanted []chan error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted, f.waiters, f.cancel, f.conn = f.waiters, nil, cut, nil
	select {
	case <-f.wake: // by this one
	default:
	}
	return wanted
}

// end ends a question, that was cut for the next one or had an end.
func (f *queryState) end(wanted []chan error, err error, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = nil
	switch {
	case cut: // the next one is for these too
		f.waiters = append(wanted, f.waiters...)
		select {
		case f.wake <- struct{}{}:
		default:
		}
		return
	case err == nil:
		f.failedSince = time.Time{}
	case f.failedSince.IsZero():
		f.failedSince = time.Now()
	}
	for _, w := range wanted {
		w <- err
	}
}

// SourceInfo is what the source is called: two watches of one service are the same source.
func (w *Watch) SourceInfo() membership.SourceInfo {
	return membership.SourceInfo{Name: "consul:" + w.service.Name}
}

// Run follows the service until ctx ends.
func (w *Watch) Run(ctx context.Context, update func(membership.Update)) {
	book := consulcatalog.NewCatalog(w.service.Mapping, !w.service.HealthOnly)
	var mu sync.Mutex // so that lists are told in the order in which they were made
	tell := func(v blockingquery.Verdict, what func(now time.Time) error) {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		err := what(now)
		if l := book.UnlistedDrains(); len(l.Nodes) > 0 {
			update(l)
		}
		if l, ok := book.Update(now); ok {
			l.SourceReset = v.IndexReset
			update(l)
		}
		if err != nil {
			update(membership.Update{Err: err})
		}
	}
	var ran sync.WaitGroup
	defer ran.Wait()
	if !w.service.HealthOnly {
		ran.Go(func() {
			w.follow(ctx, 2, func(o *api.QueryOptions) (blockingquery.Response, func(blockingquery.Verdict), error) {
				entries, meta, err := w.client.api.Catalog().ServiceMultipleTags(w.service.Name, w.service.Tags, o)
				if err != nil {
					return blockingquery.Response{}, nil, err
				}
				return responseHead(meta, len(entries)), func(v blockingquery.Verdict) {
					if !v.Full {
						return // health says so too, and the list as it was is no news
					}
					tell(v, func(time.Time) error {
						names := make([]string, 0, len(entries))
						for _, e := range entries {
							names = append(names, consulcatalog.Name(e.Node, e.ServiceID))
						}
						book.UpdateServices(names)
						return nil
					})
				}, nil
			}, func(error) { // health goes on alone, and says so itself if it fails too
				mu.Lock()
				defer mu.Unlock()
				if book.ServicesFailed() {
					if l, ok := book.Update(time.Now()); ok {
						update(l)
					}
				}
			})
		})
	}
	w.follow(ctx, 1, func(o *api.QueryOptions) (blockingquery.Response, func(blockingquery.Verdict), error) {
		o.Near, o.Filter = w.service.Near, w.service.Filter
		found, meta, err := w.client.api.Health().ServiceMultipleTags(w.service.Name, w.service.Tags, false, o)
		if err != nil {
			return blockingquery.Response{}, nil, err
		}
		return responseHead(meta, len(found)), func(v blockingquery.Verdict) {
			tell(v, func(now time.Time) error {
				errs := book.UpdateHealth(now, entries(found), v.Full, v.IndexReset)
				if !v.Full {
					return fmt.Errorf("%w: %s", ErrPartial, v.Reason)
				}
				return errors.Join(errs...)
			})
		}, nil
	}, func(err error) { update(membership.Update{Err: err}) })
}

// follow asks a blocking query until ctx ends. ask gives an answer's head and what to do with the rest.
func (w *Watch) follow(ctx context.Context, number uint64, ask func(*api.QueryOptions) (blockingquery.Response, func(blockingquery.Verdict), error),
	failed func(error)) {
	start := time.Now()
	c := w.client.config
	loop := blockingquery.New(blockingquery.Policy{Wait: c.Wait, MaxStale: c.MaxStale, RetryMax: c.RetryMax}, c.Seed+number)
	pause := time.NewTimer(0)
	defer pause.Stop()
	f := &queryState{wake: make(chan struct{}, 1)}
	w.mu.Lock()
	w.queries = append(w.queries, f)
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.queries = slices.DeleteFunc(w.queries, func(l *queryState) bool { return l == f })
	}()
	for {
		q := loop.Next()
		pause.Reset(max(0, q.NotBefore-time.Since(start)))
		select {
		case <-pause.C:
		case <-f.wake:
		case <-ctx.Done():
			return
		}
		whole, cut := context.WithCancelCause(ctx)
		wanted := f.begin(func() { cut(errRestarted) })
		if len(wanted) > 0 {
			loop.Refresh(time.Since(start))
			q = loop.Next()
		}
		loop.Sent(time.Since(start))
		asking := httptrace.WithClientTrace(whole, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { f.onConn(i.Conn) }})
		alarm := f.startAlarm(q.Timeout, func() { cut(errSilent) })
		o, err := w.client.options(asking)
		var answer blockingquery.Response
		var then func(blockingquery.Verdict)
		if err == nil {
			o.WaitIndex, o.WaitTime = q.Index, q.Wait
			answer, then, err = ask(o)
		}
		if cause := context.Cause(asking); err != nil && cause != nil {
			err = cause
		}
		cut(nil)
		alarm.Stop()
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errRestarted) {
			f.end(wanted, nil, true)
			continue
		}
		if err != nil {
			loop.Failed(time.Since(start))
			failed(fmt.Errorf("consul: %s: %w", w.service.Name, err))
			f.end(wanted, err, false)
			continue
		}
		then(loop.Answered(time.Since(start), answer))
		f.end(wanted, nil, false)
	}
}

var (
	errSilent    = errors.New("no answer in time")
	errRestarted = errors.New("it is asked anew")
)

func responseHead(m *api.QueryMeta, size int) blockingquery.Response {
	return blockingquery.Response{Index: m.LastIndex, KnownLeader: m.KnownLeader, LastContact: m.LastContact,
		Filtered: m.ResultsFilteredByACLs, Entries: size}
}

// entries are an answer's, in the registry's terms.
func entries(found []*api.ServiceEntry) []consulcatalog.Entry {
	var out []consulcatalog.Entry
	for _, f := range found {
		if f == nil || f.Service == nil || f.Node == nil {
			continue
		}
		e := consulcatalog.Entry{Node: f.Node.Node, ID: f.Service.ID, Datacenter: f.Node.Datacenter, Meta: f.Service.Meta, NodeMeta: f.Node.Meta,
			Host: cmp.Or(f.Service.Address, f.Node.Address), Port: f.Service.Port,
			PassingWeight: float64(f.Service.Weights.Passing), WarningWeight: float64(f.Service.Weights.Warning), CreateIndex: f.Service.CreateIndex}
		e.Addr = net.JoinHostPort(e.Host, strconv.Itoa(e.Port))
		for _, k := range f.Checks {
			if k == nil {
				continue
			}
			e.Checks = append(e.Checks, consulcatalog.Check{ID: k.CheckID, Status: k.Status, Output: k.Output})
			e.Maintenance = e.Maintenance || k.CheckID == api.NodeMaint || strings.HasPrefix(k.CheckID, api.ServiceMaintPrefix)
		}
		out = append(out, e)
	}
	return out
}
