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

// again returns a call once more, as a client does that was pressed twice: with the same key and
// another ID.
func (r *fixture) repeatCall(c call) call {
	id := fmt.Sprintf("%016x", r.lastID.Add(1))
	c.md = c.md.Copy()
	c.md.Set("request-id", id)
	c.id = id
	return c
}

// Calls are repeated with their idempotency keys, after each end of the first one. A repeat must
// get the same message, status, header and trailers, also from another gateway that reads the
// journal.
func TestRepeatedIdempotencyKeys(t *testing.T) {
	for _, c := range []struct {
		name, method string
		act          fakes.GRPCBehavior
		change       func(*call)
		first        codes.Code
		second       codes.Code
		sent         int
	}{
		{"served", "Pay", fakes.GRPCServe, nil, codes.OK, codes.OK, 1},
		{"the service's own word", "Once", fakes.GRPCNotFound, nil, codes.NotFound, codes.NotFound, 1},
		{"another message", "Pay", fakes.GRPCServe, func(c *call) { c.text = "amount=4" }, codes.OK,
			codes.InvalidArgument, 1},
		{"another method", "Pay", fakes.GRPCServe, func(c *call) { c.method = "/shop.Desk/Once" }, codes.OK,
			codes.InvalidArgument, 1},
		{"another customer", "Pay", fakes.GRPCServe, func(c *call) {
			c.md = metadata.Join(c.md)
			c.md.Set("x-api-key",
				"0000000000000008")
		}, codes.OK, codes.OK, 2},
		{"it may have run", "Once", fakes.GRPCResetAfterMessage, nil, codes.Unknown, codes.Unknown, 1},
		{"safe", "Look", fakes.GRPCServe, nil, codes.OK, codes.OK, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			r := newFixture(t, func(o *options) {
				o.cells = []int{1, 2} // only the edge drops a repeat
				o.behavior = func(fakes.Attempt) fakes.GRPCBehavior { return c.act }
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
				t.Errorf("%v, then %v", first.st, second.st)
			}
			if n := len(r.ledger.Attempts()); n != c.sent {
				t.Errorf("%d attempts, want %d", n, c.sent)
			}
			if c.sent == 1 && c.first == c.second && c.change == nil && c.name != "it may have run" {
				for _, md := range []metadata.MD{first.header, second.header} {
					md.Delete("date")
				}
				if first.text != second.text || first.st.Message() != second.st.Message() ||
					!reflect.DeepEqual(first.trailer, second.trailer) ||
					!reflect.DeepEqual(first.header, second.header) {
					t.Errorf("%+v, then %+v", first, second)
				}
			}
		})
	}
}

// Two calls with one key arrive at once: one is sent to a backend, both get its response, and quota
// and backend see one.
func TestConcurrentCallsWithOneKey(t *testing.T) {
	r := newFixture(t, func(o *options) {
		o.cells, o.workTime = []int{1, 2}, 2*time.Millisecond
		o.configureGateway = func(d *pumicecroft.Config) { d.Idempotency = &idempotency.Limits{} }
	})
	const pairs = 200
	var pressing sync.WaitGroup
	for range pairs {
		pressing.Go(func() {
			one := r.call("Pay")
			var texts [2]string
			var pair sync.WaitGroup
			for j, c := range []call{one, r.repeatCall(one)} {
				pair.Go(func() {
					for { // a door before two nodes may refuse, which is harmless
						res := r.do(c)
						if res.st.Code() == codes.ResourceExhausted {
							time.Sleep(time.Millisecond)
							c = r.repeatCall(c)
							continue
						}
						if texts[j] = res.text; res.st.Code() != codes.OK {
							t.Error(res.st)
						}
						return
					}
				})
			}
			pair.Wait()
			if texts[0] != texts[1] || r.ledger.Effects(one.key) != 1 {
				t.Errorf("%q and %q, %d effects", texts[0], texts[1], r.ledger.Effects(one.key))
			}
		})
	}
	pressing.Wait()
}
