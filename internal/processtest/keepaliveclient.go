package processtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"pumicecroft/internal/fakes"
)

// keepAliveClient sends requests one at a time on a connection that it keeps, with pauses, until ctx ends. It opens
// another connection whenever the gateway has closed it.
type keepAliveClient struct {
	fleet   *Fleet
	firstID uint64
	paying  bool // it sends requests of class "pay"
	random  *rand.Rand
	killed  func(addr string, from, to time.Time) bool // whether the gateway was killed in that time; may be nil

	sent, served, closedUnread int
	lost                       []string // requests that were taken and got no whole answer in time
}

const (
	// maxPause is the longest time between two requests of a keepAliveClient.
	maxPause = 30 * time.Millisecond
	// answerSlack is the delay on sockets that is allowed after the deadline of a request.
	answerSlack = 500 * time.Millisecond
)

func (c *keepAliveClient) run(ctx context.Context, addr string) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for id := c.firstID; ctx.Err() == nil; id++ {
		request := fakes.Request{
			ID: id, Class: "look", Plan: "big", Customer: 7, Timeout: 2 * time.Second, ClientTimeout: 2*time.Second + answerSlack,
		}
		if c.paying {
			request.Class, request.Key, request.Body = "pay", fmt.Sprintf("key-%x", id), "body"
		}
		sentAt := time.Now()
		reply := request.Do(ctx, unretried{transport}, addr)
		c.sent++
		if reply.Status == http.StatusOK {
			c.served++
		}
		if reply.Status == 0 && ctx.Err() == nil && (c.killed == nil || !c.killed(addr, sentAt, time.Now())) {
			c.recordUnanswered(request, reply)
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(maxPause))))
	}
}

// recordUnanswered records a request without an answer. It is lost if it was sent on, or if its connection was not
// closed.
func (c *keepAliveClient) recordUnanswered(request fakes.Request, reply fakes.Reply) {
	attempts := c.fleet.Ledger.ForRequest(request.RequestID())
	if len(attempts) == 0 && !errors.Is(reply.Err, context.DeadlineExceeded) {
		c.closedUnread++
		return
	}
	c.lost = append(c.lost, fmt.Sprintf("%s at %v, after %v: %v, attempts %+v", request.RequestID(),
		time.Since(c.fleet.startedAt), reply.Latency, reply.Err, attempts))
}

// unretried makes net/http return an error, instead of sending the request again, when a kept connection was closed.
type unretried struct{ http.RoundTripper }

func (u unretried) RoundTrip(r *http.Request) (*http.Response, error) {
	r.GetBody = nil
	if r.Body == nil {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("")), 0
	}
	return u.RoundTripper.RoundTrip(r)
}
