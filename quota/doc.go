// Package quota tracks quotas that several gateways share and that no single gateway can observe in
// full, and decides when a gateway should call the shared counter.
//
// The counter adds an amount to the number stored under a key and returns the new total. It does
// nothing else. A key expires a minute after it was created, and the counter may lose calls, keys or
// all of its data. This package decides what is added and interprets the totals. It is pure: it does
// no I/O, has no clock (times are durations on the gateway's own clock), takes no locks and starts
// no goroutines; random numbers come from its caller. Its one caller, the decision engine, owns all
// its values.
//
// # The shared bucket of a hard limit
//
// A customer's hard limit is split evenly over the gateways that the customer may use, because no
// gateway sees what the others forward. But requests are not spread evenly, so one gateway has
// tokens left over while another runs short. Each gateway therefore keeps half of its share, and the
// other halves may be pooled in a token bucket on the counter. A gateway deposits tokens that would
// overflow its own share, after subtracting them from the share. It withdraws the cost of one
// request that its own tokens can't cover, and uses the withdrawn tokens only if the returned total
// shows that the bucket held them.
//
// If half a share is too small for the largest request but a whole share is not, the gateway keeps
// the cost of the largest request and the bucket holds the rest; otherwise the gateway could not
// forward such a request without the counter. If even a whole share is too small, the gateway
// deposits all that it keeps, as it can't spend it on such a request.
//
// # The bound
//
// With a hard limit of rate R and burst B over n gateways, each gateway holds at most k tokens, from
// B/2n to B/n, and the bucket holds at most B - n*k. So from any moment on, the gateways together
// can forward at most B + R*T in any time T, as the limit allows. Lost calls and keys only lower
// this: the tokens of a lost deposit, of a withdrawal without a result, and of a lost key are gone,
// and a key that is created again starts empty. If concurrent deposits exceed the bucket's capacity,
// the gateway that sees this removes the excess, and withdrawals are refused until then.
//
// Two cases exceed the bound. A withdrawal that found too few tokens is put back; if the key is lost
// in between, the put-back creates tokens: one request's cost for each put-back in progress when the
// key is lost. And if the counter is partitioned and each partition keeps the whole bucket, each
// further partition lends its contents once more: B - n*k, at most B/2.
package quota
