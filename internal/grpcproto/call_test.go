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

func message(n int) []byte {
	p := binary.BigEndian.AppendUint32([]byte{0}, uint32(n))
	return append(p, make([]byte, n)...)
}

// playEvents reports events, given as short words, to a call. Its request was sent completely
// before the first one, unless that is "opened" or "connecting".
func playEvents(c *Call, words string) Outcome {
	for i, w := range strings.Fields(words) {
		name, arg, _ := strings.Cut(w, "=")
		if i == 0 && name != "connecting" && name != "opened" {
			c.Sent()
		}
		switch name {
		case "connecting", "opened":
		case "sent":
			c.Sent()
		case "noconn":
			c.ConnectFailed()
		case "lost":
			c.ConnectionLost()
		case "timeup":
			c.TimedOut()
		case "off":
			c.Cancelled()
		case "goaway":
			c.GoAway(map[string]uint32{"below": 5, "at": 7, "above": 9}[arg], 7)
		case "rst":
			c.Reset(map[string]uint32{"no": 0, "internal": 2, "refused": 7, "cancel": 8, "calm": 11}[arg])
		case "head":
			c.ResponseHeaders(map[string]string{"": "200", "502": "502", "html": "200"}[arg],
				map[string]string{"": "application/grpc+proto", "html": "text/html"}[arg])
		case "msg":
			c.Data(message(10), false)
		case "long":
			c.Data(message(200), false)
		case "half":
			c.Data(message(10)[:8], false)
		case "flag":
			c.Data([]byte{2, 0, 0, 0, 0}, false)
		case "packed":
			c.Data([]byte{1, 0, 0, 0, 0}, false)
		case "last":
			c.Data(message(10), true)
		case "end":
			status, pushback, _ := strings.Cut(arg, "/")
			c.Trailers(Trailer{status, pushback})
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

// Each sequence of events has its result and proof. What does not prove "never ran" must not be
// taken for it.
func TestCallOutcomes(t *testing.T) {
	for words, want := range map[string]struct {
		result decision.Result
		proof  Proof
	}{
		"connecting noconn": {decision.ConnectFailed, NeverRan},
		"connecting off":    {decision.NotSent, NeverRan},
		"connecting timeup": {decision.NotSent, NeverRan},
		"opened lost":       {decision.NotSent, NeverRan}, // before the last DATA frame
		"opened rst=cancel": {decision.NotSent, NeverRan},
		"opened off":        {decision.NotSent, NeverRan},
		"opened timeup":     {decision.NotSent, NeverRan}, // the window was exhausted
		"opened sent lost":  {decision.ConnectionLost, MayHaveRun},

		"rst=refused":                 {decision.Rejected, NeverRan},
		"head rst=refused":            {decision.ConnectionLost, MayHaveRun}, // it has begun to answer: no proof
		"rst=no":                      {decision.ConnectionLost, MayHaveRun},
		"rst=internal":                {decision.ConnectionLost, MayHaveRun},
		"rst=cancel":                  {decision.ConnectionLost, MayHaveRun},
		"rst=calm":                    {decision.ConnectionLost, MayHaveRun},
		"goaway=below":                {decision.Rejected, NeverRan},
		"goaway=below lost":           {decision.Rejected, NeverRan},
		"goaway=at lost":              {decision.ConnectionLost, MayHaveRun},
		"goaway=above head msg end=0": {decision.Succeeded, Ran},
		"head goaway=below lost":      {decision.ConnectionLost, MayHaveRun}, // it contradicts itself

		"lost":                   {decision.ConnectionLost, MayHaveRun},
		"head lost":              {decision.ConnectionLost, MayHaveRun},
		"timeup":                 {decision.TimedOut, MayHaveRun},
		"head timeup":            {decision.TimedOut, MayHaveRun}, // and then silence
		"off":                    {decision.Cancelled, MayHaveRun},
		"head msg rst=cancel":    {decision.ConnectionLost, Ran}, // after the message, before the status
		"head msg lost":          {decision.ConnectionLost, MayHaveRun},
		"head half rst=internal": {decision.ConnectionLost, MayHaveRun},

		"head msg end=0":        {decision.Succeeded, Ran},
		"head end=5":            {decision.Succeeded, Ran},
		"end=5":                 {decision.Succeeded, Ran}, // trailers only
		"end=3":                 {decision.Succeeded, Ran},
		"end=12":                {decision.Succeeded, Ran},
		"end=13":                {decision.ErrorResponse, MayHaveRun},
		"end=14":                {decision.ErrorResponse, MayHaveRun},
		"end=14/500":            {decision.Rejected, NeverRan},
		"head end=14/0":         {decision.Rejected, NeverRan},
		"end=8/20":              {decision.Rejected, NeverRan},
		"end=14/-1":             {decision.ErrorResponse, MayHaveRun},
		"end=14/soon":           {decision.ErrorResponse, MayHaveRun},
		"end=13/500":            {decision.ErrorResponse, MayHaveRun},
		"head msg end=14/500":   {decision.ErrorResponse, MayHaveRun}, // it has answered: no proof
		"head half end=14/500":  {decision.ErrorResponse, MayHaveRun},
		"end=4":                 {decision.ErrorResponse, MayHaveRun},
		"end=99":                {decision.ErrorResponse, MayHaveRun},
		"end=":                  {decision.Unknown, MayHaveRun},
		"end=x":                 {decision.Unknown, MayHaveRun},
		"end=-1":                {decision.Unknown, MayHaveRun},
		"head end=0":            {decision.Unknown, Ran}, // a good status without a message
		"end=0":                 {decision.Unknown, Ran},
		"head msg msg end=0":    {decision.Unknown, Ran}, // with two
		"head half end=0":       {decision.Unknown, Ran},
		"head last":             {decision.Unknown, MayHaveRun}, // trailers cut off
		"head long end=0":       {decision.Unknown, Ran},
		"head flag end=0":       {decision.Unknown, Ran},
		"head packed end=0":     {decision.Unknown, Ran}, // no encoding was offered
		"head=502 lost":         {decision.ErrorResponse, MayHaveRun},
		"head=html msg":         {decision.Unknown, MayHaveRun},
		"msg":                   {decision.Unknown, MayHaveRun}, // data before a head
		"head head":             {decision.Unknown, MayHaveRun},
		"head msg end=0 lost":   {decision.Succeeded, Ran}, // what comes after the end changes nothing
		"rst=refused end=0":     {decision.Rejected, NeverRan},
		"end=14/500 rst=cancel": {decision.Rejected, NeverRan},
	} {
		c := &Call{MaxMessageBytes: 100}
		if got := playEvents(c, words); got.Result != want.result || got.Proof != want.proof || got.Reason == "" {
			t.Errorf("%s: %v, %v (%s); want %v, %v", words, got.Result, got.Proof, got.Reason, want.result, want.proof)
		}
	}
	for words, want := range map[string]decision.Result{"head end=0": decision.Succeeded,
		"head msg msg msg end=0": decision.Succeeded,
		"head msg half end=0":    decision.Unknown, "head msg end=13": decision.ErrorResponse,
		"head msg long": decision.Unknown} {
		if got := playEvents(&Call{Streaming: true, MaxMessageBytes: 100}, words); got.Result != want {
			t.Errorf("streaming, %s: %v (%s), want %v", words, got.Result, got.Reason, want)
		}
	}
	if got := playEvents(&Call{}, "head msg"); got.Reason != "not ended" {
		t.Errorf("it has ended: %+v", got)
	}
}

// Whatever events are reported in whatever order, a call ends once, and only what TestCallOutcomes
// names proves that it never ran.
func TestRandomEventSequences(t *testing.T) {
	words := strings.Fields("sent lost timeup off goaway=below goaway=at rst=refused rst=cancel head msg half last end=0 end=14 end=14/5 end=5")
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 2))
		c := &Call{MaxMessageBytes: 100}
		course := "opened"
		sent, headed, answered := false, false, false
		for range 8 {
			w := words[rng.IntN(len(words))]
			course += " " + w
			before, was := c.Ended()
			o := playEvents(c, "connecting "+w)
			if was && o != before {
				t.Fatalf("seed %d: %s: %+v, then %+v", seed, course, before, o)
			}
			if _, ended := c.Ended(); ended && !was && o.Proof == NeverRan && sent &&
				(headed && w != "end=14/5" || answered || w != "goaway=below" && w != "rst=refused" &&
					w != "end=14/5") {
				t.Fatalf("seed %d: %s: %+v", seed, course, o)
			}
			sent, headed = sent || w == "sent", headed || w == "head"
			answered = answered || headed && (w == "msg" || w == "half")
		}
	}
}

// The framing of messages is followed however the bytes are split.
func TestMessagesSplitAnywhere(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var all []byte
		n := rng.IntN(6)
		for range n {
			all = append(all, message(rng.IntN(40))...)
		}
		rest := rng.IntN(9)
		all = append(all, message(20)[:rest]...)
		var m Messages
		for len(all) > 0 {
			k := 1 + rng.IntN(len(all))
			if err := m.Add(all[:k]); err != nil {
				t.Fatal(err)
			}
			all = all[k:]
		}
		if m.Complete != n || m.PartialBytes() != int64(rest) {
			t.Fatalf("seed %d: %d whole and %d more, want %d and %d", seed, m.Complete, m.PartialBytes(), n, rest)
		}
	}
	m := Messages{MaxMessageBytes: 10}
	if err := m.Add(message(11)[:5]); !errors.Is(err, ErrMessageTooLarge) {
		t.Errorf("over the limit: %v", err) // by its prefix alone
	}
	if err := m.Add(message(1)); !errors.Is(err, ErrMessageTooLarge) {
		t.Errorf("and then: %v", err)
	}
}

func TestTimeouts(t *testing.T) {
	for s, want := range map[string]time.Duration{"0n": 0, "1H": time.Hour, "2M": 2 * time.Minute,
		"3S": 3 * time.Second, "4m": 4 * time.Millisecond,
		"5u": 5 * time.Microsecond, "6n": 6, "99999999S": 99999999 * time.Second, "99999999H": maxTimeout,
		"00000007m": 7 * time.Millisecond} {
		if got, err := ParseTimeout(s); err != nil || got != want {
			t.Errorf("%s: %v, %v", s, got, err)
		}
	}
	for _, s := range []string{"", "1", "S", "-1S", "+1S", "1.5S", "1 S", "1s", "123456789S", "١S", "1SS", "1S "} {
		if got, err := ParseTimeout(s); !errors.Is(err, ErrInvalidTimeout) {
			t.Errorf("%q: %v, %v", s, got, err)
		}
	}
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 4))
		d := time.Duration(rng.Uint64() >> (1 + rng.IntN(63)))
		s := FormatTimeout(d)
		back, err := ParseTimeout(s)
		if err != nil || back > d || d < 99*time.Millisecond && back != d || float64(back) < 0.999*float64(d) &&
			d < 1000*time.Hour {
			t.Errorf("%v: %s, which is %v, %v", d, s, back, err)
		}
	}
	if s := FormatTimeout(-1); s != "0n" {
		t.Errorf("what is up: %s", s)
	}
}

func TestContentTypes(t *testing.T) {
	for s, want := range map[string]bool{"application/grpc": true, "application/grpc+proto": true,
		"Application/gRPC;x=y": true, "application/grpcx": false,
		"application/json": false, "": false} {
		if IsContentType(s) != want {
			t.Errorf("%q: %v", s, !want)
		}
	}
}
