package http1proxy

import "pumicecroft/decision"

// Why an attempt ended without an answer, as its driver saw it.
type Why uint8

// The reasons.
const (
	Ended     Why = iota // the connection broke or was closed
	Spoilt               // what came is no answer that can be passed on
	CalledOff            // by the decision module
	TimeUp               // by the core
	ClientCut            // the client does not take its answer
)

// Progress is how far an attempt has got.
type Progress struct {
	Head  int // bytes of the request's head
	Wrote int // bytes of the request that the connection took
}

// Ran tells whether the request may have run. It can't have before its whole head was on its way: there is no request then. From there on a
// backend may begin before it has the body.
func (p Progress) Ran() bool { return p.Wrote >= p.Head }

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
func (p Progress) Result(why Why) decision.Result {
	switch why {
	case CalledOff, ClientCut:
		return decision.Cancelled
	case Spoilt:
		return decision.Unknown
	case TimeUp:
		if !p.Ran() {
			return decision.NotSent
		}
		return decision.TimedOut
	}
	if !p.Ran() {
		return decision.ConnectFailed
	}
	return decision.ConnectionLost
}
