package grpcproto

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

// framedMessage returns a message of n zero bytes with its prefix.
func framedMessage(n int) []byte {
	p := binary.BigEndian.AppendUint32([]byte{0}, uint32(n))
	return append(p, make([]byte, n)...)
}

// playEvents reports the events that words names to a call, and returns its outcome. The request is
// reported as sent before the first event, unless that is "opened" or "connecting".
func playEvents(c *Call, words string) Outcome {
	for i, w := range strings.Fields(words) {
		name, arg, _ := strings.Cut(w, "=")
		if i == 0 && name != "connecting" && name != "opened" {
			c.OnRequestSent()
		}
		switch name {
		case "connecting", "opened":
		case "sent":
			c.OnRequestSent()
		case "connectfailed":
			c.OnConnectFailed()
		case "lost":
			c.OnConnectionLost()
		case "timeout":
			c.OnTimeout()
		case "cancel":
			c.OnCancel()
		case "goaway":
			c.OnGoAway(map[string]uint32{"below": 5, "at": 7, "above": 9}[arg], 7)
		case "rst":
			c.OnReset(map[string]uint32{"no": 0, "internal": 2, "refused": 7, "cancel": 8, "calm": 11}[arg])
		case "headers":
			c.OnHeaders(map[string]string{"": "200", "502": "502", "html": "200"}[arg],
				map[string]string{"": "application/grpc+proto", "html": "text/html"}[arg])
		case "msg":
			c.OnData(framedMessage(10), false)
		case "toolarge":
			c.OnData(framedMessage(200), false)
		case "partial":
			c.OnData(framedMessage(10)[:8], false)
		case "badflag":
			c.OnData([]byte{2, 0, 0, 0, 0}, false)
		case "compressed":
			c.OnData([]byte{1, 0, 0, 0, 0}, false)
		case "endstream":
			c.OnData(framedMessage(10), true)
		case "trailers":
			status, pushback, _ := strings.Cut(arg, "/")
			c.OnTrailers(Trailer{status, pushback})
		default:
			panic(w)
		}
	}
	o, ended := c.Ended()
	if !ended {
		return Outcome{Reason: "not ended"}
	}
	return o
}

// Each sequence of events must lead to its result and proof. An end that does not guarantee that the
// call was not executed must never be reported as NeverRan, because such a call would be retried.
func TestCallOutcomes(t *testing.T) {
	for words, want := range map[string]struct {
		result decision.Result
		proof  Proof
	}{
		"connecting connectfailed": {decision.ConnectFailed, NeverRan},
		"connecting cancel":        {decision.NotSent, NeverRan},
		"connecting timeout":       {decision.NotSent, NeverRan},
		"opened lost":              {decision.NotSent, NeverRan}, // before the last DATA frame was sent
		"opened rst=cancel":        {decision.NotSent, NeverRan},
		"opened cancel":            {decision.NotSent, NeverRan},
		"opened timeout":           {decision.NotSent, NeverRan}, // the flow-control window was exhausted
		"opened sent lost":         {decision.ConnectionLost, MayHaveRun},

		"rst=refused":                         {decision.Rejected, NeverRan},
		"headers rst=refused":                 {decision.ConnectionLost, MayHaveRun}, // after headers it proves nothing
		"rst=no":                              {decision.ConnectionLost, MayHaveRun},
		"rst=internal":                        {decision.ConnectionLost, MayHaveRun},
		"rst=cancel":                          {decision.ConnectionLost, MayHaveRun},
		"rst=calm":                            {decision.ConnectionLost, MayHaveRun},
		"goaway=below":                        {decision.Rejected, NeverRan},
		"goaway=below lost":                   {decision.Rejected, NeverRan},
		"goaway=at lost":                      {decision.ConnectionLost, MayHaveRun},
		"goaway=above headers msg trailers=0": {decision.Succeeded, Ran},
		"headers goaway=below lost":           {decision.ConnectionLost, MayHaveRun}, // after headers it proves nothing

		"lost":                         {decision.ConnectionLost, MayHaveRun},
		"headers lost":                 {decision.ConnectionLost, MayHaveRun},
		"timeout":                      {decision.TimedOut, MayHaveRun},
		"headers timeout":              {decision.TimedOut, MayHaveRun}, // headers, then nothing
		"cancel":                       {decision.Cancelled, MayHaveRun},
		"headers msg rst=cancel":       {decision.ConnectionLost, Ran}, // after the message, before the status
		"headers msg lost":             {decision.ConnectionLost, MayHaveRun},
		"headers partial rst=internal": {decision.ConnectionLost, MayHaveRun},

		"headers msg trailers=0":          {decision.Succeeded, Ran},
		"headers trailers=5":              {decision.Succeeded, Ran},
		"trailers=5":                      {decision.Succeeded, Ran}, // trailers only
		"trailers=3":                      {decision.Succeeded, Ran},
		"trailers=12":                     {decision.Succeeded, Ran},
		"trailers=13":                     {decision.ErrorResponse, MayHaveRun},
		"trailers=14":                     {decision.ErrorResponse, MayHaveRun},
		"trailers=14/500":                 {decision.Rejected, NeverRan},
		"headers trailers=14/0":           {decision.Rejected, NeverRan},
		"trailers=8/20":                   {decision.Rejected, NeverRan},
		"trailers=14/-1":                  {decision.ErrorResponse, MayHaveRun},
		"trailers=14/soon":                {decision.ErrorResponse, MayHaveRun},
		"trailers=13/500":                 {decision.ErrorResponse, MayHaveRun},
		"headers msg trailers=14/500":     {decision.ErrorResponse, MayHaveRun}, // after a message it proves nothing
		"headers partial trailers=14/500": {decision.ErrorResponse, MayHaveRun},
		"trailers=4":                      {decision.ErrorResponse, MayHaveRun},
		"trailers=99":                     {decision.ErrorResponse, MayHaveRun},
		"trailers=":                       {decision.Unknown, MayHaveRun},
		"trailers=x":                      {decision.Unknown, MayHaveRun},
		"trailers=-1":                     {decision.Unknown, MayHaveRun},
		"headers trailers=0":              {decision.Unknown, Ran}, // status OK without a message
		"trailers=0":                      {decision.Unknown, Ran},
		"headers msg msg trailers=0":      {decision.Unknown, Ran}, // status OK with two messages
		"headers partial trailers=0":      {decision.Unknown, Ran},
		"headers endstream":               {decision.Unknown, MayHaveRun}, // the stream ended without trailers
		"headers toolarge trailers=0":     {decision.Unknown, Ran},
		"headers badflag trailers=0":      {decision.Unknown, Ran},
		"headers compressed trailers=0":   {decision.Unknown, Ran}, // no encoding was offered
		"headers=502 lost":                {decision.ErrorResponse, MayHaveRun},
		"headers=html msg":                {decision.Unknown, MayHaveRun},
		"msg":                             {decision.Unknown, MayHaveRun}, // data before headers
		"headers headers":                 {decision.Unknown, MayHaveRun},
		"headers msg trailers=0 lost":     {decision.Succeeded, Ran}, // events after the end have no effect
		"rst=refused trailers=0":          {decision.Rejected, NeverRan},
		"trailers=14/500 rst=cancel":      {decision.Rejected, NeverRan},
	} {
		c := &Call{MaxMessageBytes: 100}
		if got := playEvents(c, words); got.Result != want.result || got.Proof != want.proof || got.Reason == "" {
			t.Errorf("%s: %v, %v (%s); want %v, %v", words, got.Result, got.Proof, got.Reason, want.result, want.proof)
		}
	}
	for words, want := range map[string]decision.Result{"headers trailers=0": decision.Succeeded,
		"headers msg msg msg trailers=0": decision.Succeeded,
		"headers msg partial trailers=0": decision.Unknown, "headers msg trailers=13": decision.ErrorResponse,
		"headers msg toolarge": decision.Unknown} {
		if got := playEvents(&Call{Streaming: true, MaxMessageBytes: 100}, words); got.Result != want {
			t.Errorf("streaming, %s: %v (%s), want %v", words, got.Result, got.Reason, want)
		}
	}
	if got := playEvents(&Call{}, "headers msg"); got.Reason != "not ended" {
		t.Errorf("headers and a message without trailers: got outcome %+v, want a call that has not ended", got)
	}
}

// For random event sequences, the outcome must not change once a call has ended. After the request was
// sent, only GOAWAY, REFUSED_STREAM and a pushback may prove that the call never ran.
func TestRandomEventSequences(t *testing.T) {
	words := strings.Fields("sent lost timeout cancel goaway=below goaway=at rst=refused rst=cancel headers msg partial " +
		"endstream trailers=0 trailers=14 trailers=14/5 trailers=5")
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 2))
		c := &Call{MaxMessageBytes: 100}
		history := "opened"
		sent, headersSeen, dataSeen := false, false, false
		for range 8 {
			w := words[rng.IntN(len(words))]
			history += " " + w
			before, endedBefore := c.Ended()
			o := playEvents(c, "connecting "+w)
			if endedBefore && o != before {
				t.Fatalf("seed %d: %s: the outcome changed after the end: got %+v, want %+v", seed, history, o, before)
			}
			if _, ended := c.Ended(); ended && !endedBefore && o.Proof == NeverRan && sent &&
				(headersSeen && w != "trailers=14/5" || dataSeen || w != "goaway=below" && w != "rst=refused" &&
					w != "trailers=14/5") {
				t.Fatalf("seed %d: %s: got %+v, but the call may have run", seed, history, o)
			}
			sent, headersSeen = sent || w == "sent", headersSeen || w == "headers"
			dataSeen = dataSeen || headersSeen && (w == "msg" || w == "partial")
		}
	}
}

// The parser must count messages correctly however the bytes are split over calls of Parse.
func TestMessageParserSplitInput(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var all []byte
		n := rng.IntN(6)
		for range n {
			all = append(all, framedMessage(rng.IntN(40))...)
		}
		partial := rng.IntN(9)
		all = append(all, framedMessage(20)[:partial]...)
		var m MessageParser
		for len(all) > 0 {
			k := 1 + rng.IntN(len(all))
			if err := m.Parse(all[:k]); err != nil {
				t.Fatal(err)
			}
			all = all[k:]
		}
		if m.CompleteCount != n || m.PartialBytes() != int64(partial) {
			t.Fatalf("seed %d: got %d complete messages and %d bytes of another, want %d and %d",
				seed, m.CompleteCount, m.PartialBytes(), n, partial)
		}
	}
	m := MessageParser{MaxMessageBytes: 10}
	if err := m.Parse(framedMessage(11)[:5]); !errors.Is(err, ErrMessageTooLarge) { // the prefix is enough
		t.Errorf("message over the limit: got %v, want %v", err, ErrMessageTooLarge)
	}
	if err := m.Parse(framedMessage(1)); !errors.Is(err, ErrMessageTooLarge) {
		t.Errorf("message after one over the limit: got %v, want %v", err, ErrMessageTooLarge)
	}
}

func TestTimeouts(t *testing.T) {
	for s, want := range map[string]time.Duration{"0n": 0, "1H": time.Hour, "2M": 2 * time.Minute,
		"3S": 3 * time.Second, "4m": 4 * time.Millisecond,
		"5u": 5 * time.Microsecond, "6n": 6, "99999999S": 99999999 * time.Second, "99999999H": maxTimeout,
		"00000007m": 7 * time.Millisecond} {
		if got, err := ParseTimeout(s); err != nil || got != want {
			t.Errorf("ParseTimeout(%q): got %v, %v; want %v", s, got, err, want)
		}
	}
	for _, s := range []string{"", "1", "S", "-1S", "+1S", "1.5S", "1 S", "1s", "123456789S", "١S", "1SS", "1S "} {
		if got, err := ParseTimeout(s); !errors.Is(err, ErrInvalidTimeout) {
			t.Errorf("ParseTimeout(%q): got %v, %v; want error %v", s, got, err, ErrInvalidTimeout)
		}
	}
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 4))
		d := time.Duration(rng.Uint64() >> (1 + rng.IntN(63)))
		s := FormatTimeout(d)
		parsed, err := ParseTimeout(s)
		if err != nil || parsed > d || d < 99*time.Millisecond && parsed != d || float64(parsed) < 0.999*float64(d) &&
			d < 1000*time.Hour {
			t.Errorf("FormatTimeout(%v): got %s, which parses as %v, %v", d, s, parsed, err)
		}
	}
	if s := FormatTimeout(-1); s != "0n" {
		t.Errorf("FormatTimeout(-1): got %s, want 0n", s)
	}
}

func TestContentTypes(t *testing.T) {
	for s, want := range map[string]bool{"application/grpc": true, "application/grpc+proto": true,
		"Application/gRPC;x=y": true, "application/grpcx": false,
		"application/json": false, "": false} {
		if IsContentType(s) != want {
			t.Errorf("IsContentType(%q): got %v, want %v", s, !want, want)
		}
	}
}
