// Package quota holds what gateways may use together of something that none of them can see whole,
// and says when a gateway should call the counter that they share for it.
//
// The counter adds an amount to a number under a key and returns the total. It does nothing else,
// forgets a key a minute after it began, and may lose calls, keys, or all that it holds. The
// package says what is added and what a total means. It is pure: it does no I/O, has no clock
// (times are durations on the gateway's own clock), takes no locks and starts no goroutines; random
// numbers come from its caller. Its one caller, the decision engine, owns all its values.
//
// # The shared bucket of a hard limit
//
// A hard limit is split evenly over the gateways that a customer may come through, as none of them
// sees what the others forward. But customers come unevenly, and what one gateway has no use for
// another lacks. So a gateway keeps half of its share for itself, and the other half of all shares
// may lie in a bucket on the counter. A gateway deposits what would overflow, having taken it off
// its own share first, and withdraws what one request lacks, which counts as its own only once the
// total says that it was there. Where half a share can't bear the largest request and a whole one
// can, the gateway keeps as much as that takes, and the bucket holds what is left: else the gateway
// could forward nothing by itself. Where not even a whole share can, what it keeps is of no use to
// it but to be deposited, and it deposits all.
//
// # The bound
//
// With a hard limit of rate R and burst B over n gateways, gateways hold at most k each, from B/2n
// to B/n, and the bucket at most B - n*k. So what they can forward from any moment on, in any time
// T, is at most B + R*T: what the limit allows. Calls and keys that are lost only make it less: a
// deposit that does not arrive, a withdrawal without a result and a key that is forgotten are
// tokens that nobody has, and a key that begins anew begins empty. A bucket that holds more than
// its part, as deposits crossed, is cut back by the gateway that sees it and lends nothing until
// then.
//
// Two things add to the bound. A withdrawal that found too little is put back, and if the key was
// lost in between, those tokens come out of nothing: one request's for each put-back that is under
// way at the loss. And a counter that is split, with all that was in a bucket in each half, lends
// it twice: B - n*k, B/2 at most, for each half more.
package quota
