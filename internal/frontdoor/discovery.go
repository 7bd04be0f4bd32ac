package frontdoor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	ct "cypresstrack"

	"golang.org/x/time/rate"
)

// EndpointList is a list of backends, or of changes to it, as discovery tells it.
type EndpointList struct {
	Seq   int64      `json:"seq"`
	Whole bool       `json:"whole"`
	Hosts []Endpoint `json:"hosts"`
}

// Endpoint is one backend.
type Endpoint struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

var states = map[string]ct.BackendState{"Ready": ct.Ready, "Terminating": ct.Draining, "Gone": ct.Gone}

// usable leaves out the entries that make no sense.
func usable(hosts []Endpoint) []Endpoint {
	return slices.DeleteFunc(hosts, func(e Endpoint) bool {
		state, ok := states[e.Health]
		bad := !ok || e.Host == "" || e.Dial == "" && state != ct.Gone || e.BornMS < 0
		if bad {
			slog.Warn("discovery: an entry that makes no sense", "entry", e)
		}
		return bad
	})
}

const (
	// A watch says something every 2 s, if only an empty line. One that is silent for longer is dead.
	watchSilence = 3 * time.Second
	watchRetry   = 100 * time.Millisecond // between two watches
)

// Watch follows discovery from a version on, over as many watches as it takes, until ctx ends.
func Watch(ctx context.Context, addr string, from int64, update func(EndpointList)) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true,
		DisableCompression: true}
	sometimes := rate.Sometimes{First: 3, Interval: 5 * time.Second}
	for ctx.Err() == nil {
		err := watch(ctx, transport, addr, watchSilence, &from, update)
		sometimes.Do(func() { slog.Warn("discovery: the watch ended", "from", from, "err", err) })
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
}

var errSilent = errors.New("nothing was heard for too long")

// watch follows discovery over one connection. A line that cannot be read ends it, and the next watch asks for
// the same changes again: passing over the line could lose the word that a backend drains.
func watch(ctx context.Context, rt http.RoundTripper, addr string, silence time.Duration, from *int64,
	update func(EndpointList)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alarm := time.AfterFunc(silence, func() { cancel(errSilent) })
	defer alarm.Stop()
	url := fmt.Sprintf("http://%s/v1/endpoints?watch=1&from=%d", addr, *from)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := rt.RoundTrip(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %s", res.Status)
	}
	lines := json.NewDecoder(heard{res.Body, func() { alarm.Reset(silence) }})
	for {
		var list EndpointList
		if err := lines.Decode(&list); err != nil {
			return err
		}
		slog.Info("discovery", "seq", list.Seq, "whole", list.Whole, "hosts", list.Hosts)
		update(list)
		*from = list.Seq
	}
}

// heard is a reader that tells of whatever comes, the empty lines among it.
type heard struct {
	io.Reader
	tell func()
}

func (h heard) Read(p []byte) (int, error) {
	n, err := h.Reader.Read(p)
	if n > 0 {
		h.tell()
	}
	return n, err
}
