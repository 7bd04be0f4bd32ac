package platformhttp

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

var opNames = map[Op]string{
	CheckConn: "check",
	Dial:      "dial",
	Write:     "write",
	Read:      "read",
	Finish:    "finish",
	End:       "end",
}

var resultNames = map[decision.Result]string{
	decision.Succeeded:      "succeeded",
	decision.ErrorResponse:  "error response",
	decision.Rejected:       "rejected",
	decision.TimedOut:       "timed out",
	decision.ConnectFailed:  "connect failed",
	decision.ConnectionLost: "connection lost",
	decision.Cancelled:      "cancelled",
	decision.NotSent:        "not sent",
	decision.Unknown:        "unknown",
}

// scriptTest executes the lines of a script against exchanges with one backend, one exchange after another.
type scriptTest struct {
	t        *testing.T
	backends *BackendSet
	exchange Exchange
	now      time.Duration
	notAfter time.Duration
	dials    int
}

// update sets the backend's state. replaced means that another process has replaced it.
func (s *scriptTest) update(state decision.BackendState, replaced bool) {
	s.backends.Apply([]membership.Change{{
		Endpoint: decision.Endpoint{ID: 1, State: state},
		Name:     "b",
		Addr:     "here",
		Replaced: replaced,
	}})
}

func (s *scriptTest) duration(text string) time.Duration {
	s.t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}

// prepare executes a line that has no output. It returns false for any other line.
func (s *scriptTest) prepare(verb, rest string) bool {
	s.t.Helper()
	switch verb {
	case "notafter":
		s.notAfter = s.now + s.duration(rest)
	case "later":
		s.now += s.duration(rest)
	case "cancel":
		s.exchange.Cancel(map[string]CancelReason{"not needed": Cancelled, "timed out": TimedOut}[rest])
	case "backend":
		states := map[string]decision.BackendState{"ready": decision.Ready, "drains": decision.Draining,
			"removed": decision.Removed, "replaced": decision.Ready}
		s.update(states[rest], rest == "replaced")
	default:
		return false
	}
	return true
}

// step executes a line that starts an exchange or reports an operation's result, and returns the next operation.
func (s *scriptTest) step(verb, rest string) Op {
	s.t.Helper()
	x := &s.exchange
	var err error
	if rest == "fails" {
		err = errors.New("it failed")
	}
	switch verb {
	case "start":
		m := &Request{Method: "POST", Target: "/pay", Host: "h", Body: []byte("b")}
		return x.Start(s.backends, 1, m, s.now+time.Second, s.notAfter, s.now)
	case "checked":
		return x.ConnChecked(s.now, rest == "clean")
	case "dialed":
		s.dials++
		if rest == "no descriptors" {
			err = fmt.Errorf("%w: 7 of 7", ErrNoDescriptors)
		}
		return x.Dialed(s.now, s.dials, err)
	case "wrote":
		if _, forbidden := x.AppendRequest(nil, s.now); forbidden != nil {
			err = forbidden
		}
		return x.Wrote(s.now, nil, err)
	case "received":
		if rest == "eof" || rest == "timeout" {
			return x.Received(s.now, 0, errors.New(rest))
		}
		text, _ := strconv.Unquote(rest)
		return x.Received(s.now, copy(x.ReadBuffer(), text), nil)
	case "finish":
		return x.Finish(s.now)
	}
	s.t.Fatalf("unknown line %q", verb)
	return End
}

// describe returns the output for an operation; for End, the result and the state of the pool.
func (s *scriptTest) describe(op Op) string {
	x := &s.exchange
	switch {
	case op == Read && x.ReadDeadline > 0:
		return fmt.Sprintf("read until %v on", x.ReadDeadline-s.now)
	case op != End:
		return opNames[op]
	}
	end := "end, " + resultNames[x.Result.Result]
	if x.Response != nil {
		end += fmt.Sprintf(" %q", x.Response.Body)
	}
	pool := s.backends.Pool
	return end + fmt.Sprintf("; %d connections, %d idle, %d closed", pool.Count(), pool.Idle(), len(pool.TakeDiscarded()))
}

// Each script is one attempt, or several to one backend. Its lines are events, its output is the operation that the
// exchange must return after each of them.
func TestExchange_Scripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/exchange", func(t *testing.T, d *datadriven.TestData) string {
		s := &scriptTest{t: t, backends: NewBackendSet(2, 10*time.Second, []string{"depth"}), now: time.Hour}
		s.update(decision.Ready, false)
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			line = strings.TrimSpace(line)
			verb, rest, _ := strings.Cut(line, " ")
			if !s.prepare(verb, rest) {
				fmt.Fprintf(&out, "%s: %s\n", line, s.describe(s.step(verb, rest)))
			}
		}
		return out.String()
	})
}
