package grpcproxy

import (
	"fmt"
	"reflect"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"

	"pumicecroft"
	"pumicecroft/idempotency"
	"pumicecroft/internal/fakes"
)

// repeatCall returns a copy of a call with the same idempotency key and another ID, as a client sends it
// when a user submits a form twice.
func (r *fixture) repeatCall(c call) call {
	id := fmt.Sprintf("%016x", r.lastID.Add(1))
	c.md = c.md.Copy()
	c.md.Set("request-id", id)
	c.id = id
	return c
}

// Calls are repeated with their idempotency keys, after each way in which the first call can end. A
// repeat must get the same message, status, headers and trailers as the first call, and must not be sent
// to a backend if the response of the first is retained.
func TestRepeatedIdempotencyKeys(t *testing.T) {
	for _, c := range []struct {
		name, method string
		behavior     fakes.GRPCBehavior
		change       func(*call)
		first        codes.Code
		second       codes.Code
		sent         int
	}{
		{"served", "Pay", fakes.GRPCServe, nil, codes.OK, codes.OK, 1},
		{"error of the service", "Once", fakes.GRPCNotFound, nil, codes.NotFound, codes.NotFound, 1},
		{"another message", "Pay", fakes.GRPCServe, func(c *call) { c.text = "amount=4" }, codes.OK,
			codes.InvalidArgument, 1},
		{"another method", "Pay", fakes.GRPCServe, func(c *call) { c.method = "/shop.Desk/Once" }, codes.OK,
			codes.InvalidArgument, 1},
		{"another customer", "Pay", fakes.GRPCServe, func(c *call) {
			c.md = metadata.Join(c.md)
			c.md.Set("x-api-key",
				"0000000000000008")
		}, codes.OK, codes.OK, 2},
		{"may have run", "Once", fakes.GRPCResetAfterMessage, nil, codes.Unknown, codes.Unknown, 1},
		{"idempotent", "Look", fakes.GRPCServe, nil, codes.OK, codes.OK, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			r := newFixture(t, func(o *options) {
				o.cells = []int{1, 2} // in different cells, so that only the gateway can deduplicate
				o.behavior = func(fakes.Attempt) fakes.GRPCBehavior { return c.behavior }
				o.configureGateway = func(d *pumicecroft.Config) {
					d.Idempotency, d.IdempotencyJournal = &idempotency.Limits{},
						&pumicecroft.IdempotencyJournal{Dir: dir}
				}
			})
			one := r.call(c.method)
			two := r.repeatCall(one)
			if c.change != nil {
				c.change(&two)
			}
			first, second := r.do(one), r.do(two)
			if first.st.Code() != c.first || second.st.Code() != c.second {
				t.Errorf("got %v, then %v; want %v, then %v", first.st, second.st, c.first, c.second)
			}
			if n := len(r.ledger.Attempts()); n != c.sent {
				t.Errorf("got %d attempts, want %d", n, c.sent)
			}
			if c.sent == 1 && c.first == c.second && c.change == nil && c.name != "may have run" {
				for _, md := range []metadata.MD{first.header, second.header} {
					md.Delete("date")
				}
				if first.text != second.text || first.st.Message() != second.st.Message() ||
					!reflect.DeepEqual(first.trailer, second.trailer) ||
					!reflect.DeepEqual(first.header, second.header) {
					t.Errorf("the repeat got %+v, want the same as the first call: %+v", second, first)
				}
			}
		})
	}
}

// Two calls with the same idempotency key arrive at once: only one must be executed, and both must get
// its response.
func TestConcurrentCallsWithOneKey(t *testing.T) {
	r := newFixture(t, func(o *options) {
		o.cells, o.workTime = []int{1, 2}, 2*time.Millisecond
		o.configureGateway = func(d *pumicecroft.Config) { d.Idempotency = &idempotency.Limits{} }
	})
	const pairs = 200
	var clients sync.WaitGroup
	for range pairs {
		clients.Go(func() {
			one := r.call("Pay")
			var texts [2]string
			var pair sync.WaitGroup
			for j, c := range []call{one, r.repeatCall(one)} {
				pair.Go(func() {
					for { // the gateway may reject a call, after which a retry is safe
						res := r.do(c)
						if res.st.Code() == codes.ResourceExhausted {
							time.Sleep(time.Millisecond)
							c = r.repeatCall(c)
							continue
						}
						if texts[j] = res.text; res.st.Code() != codes.OK {
							t.Errorf("got %v, want %v", res.st, codes.OK)
						}
						return
					}
				})
			}
			pair.Wait()
			if texts[0] != texts[1] || r.ledger.Effects(one.key) != 1 {
				t.Errorf("got responses %q and %q and %d effects, want equal responses and 1 effect", texts[0],
					texts[1], r.ledger.Effects(one.key))
			}
		})
	}
	clients.Wait()
}
