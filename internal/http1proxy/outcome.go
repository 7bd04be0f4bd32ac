package http1proxy

import "pumicecroft/decision"

// EndReason an attempt ended without an answer, as its driver saw it.
type EndReason uint8

// The reasons.
const (
	ConnectionLost    EndReason = iota // the connection broke or was closed
	MalformedResponse                  // what came is no answer that can be passed on
	AttemptCancelled                   // by the decision module
	DeadlineExceeded                   // by the core
	ClientWriteFailed                  // the client does not take its answer
)

// Progress is how far an attempt has got.
type Progress struct {
	HeadBytes    int // bytes of the request's head
	WrittenBytes int // bytes of the request that the connection took
}

// MayHaveRun tells whether the request may have run. It can't have before its whole head was on its way: there is no request then. From there on a
// backend may begin before it has the body.
func (p Progress) MayHaveRun() bool { return p.WrittenBytes >= p.HeadBytes }

// Result is what the end of an attempt without an answer proves.
//
//	             | not begun (never ran) | begun
//	Ended        | NoConnection          | Broken
//	Spoilt       | -                     | Unknown
//	CalledOff    | Cancelled             | Cancelled
//	TimeUp       | NotSent               | TimedOut
//	ClientCut    | -                     | Cancelled
//
// An attempt whose time was up before its head was written has told nothing about its backend: the network or this process was slow.
func (p Progress) Result(why EndReason) decision.Result {
	switch why {
	case AttemptCancelled, ClientWriteFailed:
		return decision.Cancelled
	case MalformedResponse:
		return decision.Unknown
	case DeadlineExceeded:
		if !p.MayHaveRun() {
			return decision.NotSent
		}
		return decision.TimedOut
	}
	if !p.MayHaveRun() {
		return decision.ConnectFailed
	}
	return decision.ConnectionLost
}
