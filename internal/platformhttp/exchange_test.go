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

var opNames = map[Op]string{CheckConn: "look", Dial: "dial", Write: "write", Read: "read", Finish: "finish", End: "end"}

var resultNames = map[decision.Result]string{decision.Succeeded: "answered", decision.ErrorResponse: "answered with an error", decision.Rejected: "refused",
	decision.TimedOut: "timed out", decision.ConnectFailed: "no connection", decision.ConnectionLost: "broken", decision.Cancelled: "cancelled", decision.NotSent: "not sent",
	decision.Unknown: "unknown"}

// story runs one script: each line is an event, and what the exchange then wants is told.
func story(t *testing.T, script string) string {
	f := NewBackendSet(2, 10*time.Second, []string{"depth"})
	list := func(state decision.BackendState, moved bool) {
		f.Apply([]membership.Change{{Endpoint: decision.Endpoint{ID: 1, State: state}, Name: "b", Addr: "here", Replaced: moved}})
	}
	list(decision.Ready, false)
	var x Exchange
	var op Op
	var out strings.Builder
	now, latest, dials := time.Hour, time.Duration(0), 0
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		verb, rest, _ := strings.Cut(line, " ")
		err := error(nil)
		if rest == "fails" {
			err = errors.New("it failed")
		}
		switch verb {
		case "begin":
			op = x.Start(f, 1, &Request{Method: "POST", Target: "/pay", Host: "h", Body: []byte("b")}, now+time.Second, latest, now)
		case "looked":
			op = x.ConnChecked(now, rest == "clean")
		case "dialed":
			dials++
			if rest == "short" {
				err = fmt.Errorf("%w: 7 of 7", ErrNoDescriptors)
			}
			op = x.Dialed(now, dials, err)
		case "latest":
			d, err := time.ParseDuration(rest)
			if err != nil {
				t.Fatal(err)
			}
			latest = now + d
			continue
		case "wrote":
			if _, late := x.AppendRequest(nil, now); late != nil {
				err = late
			}
			op = x.Wrote(now, nil, err)
		case "came":
			text, _ := strconv.Unquote(rest)
			if rest == "eof" || rest == "late" {
				op = x.Received(now, 0, errors.New(rest))
				break
			}
			op = x.Received(now, copy(x.ReadBuffer(), text), nil)
		case "finish":
			op = x.Finish(now)
		case "calloff":
			x.Cancel(map[string]CancelReason{"wanted no more": Cancelled, "time up": TimedOut}[rest])
			continue
		case "later":
			d, err := time.ParseDuration(rest)
			if err != nil {
				t.Fatal(err)
			}
			now += d
			continue
		case "list":
			list(map[string]decision.BackendState{"ready": decision.Ready, "drains": decision.Draining, "gone": decision.Removed, "moved": decision.Ready}[rest], rest == "moved")
			continue
		default:
			t.Fatalf("no event %q", line)
		}
		fmt.Fprintf(&out, "%s: %s", line, opNames[op])
		if op == Read && x.ReadDeadline > 0 {
			fmt.Fprintf(&out, " until %v on", x.ReadDeadline-now)
		}
		if op == End {
			fmt.Fprintf(&out, ", %s", resultNames[x.Result.Result])
			if x.Response != nil {
				fmt.Fprintf(&out, " %q", x.Response.Body)
			}
			fmt.Fprintf(&out, "; %d connections, %d idle, %d closed", f.Pool.Count(), f.Pool.Idle(), len(f.Pool.TakeDiscarded()))
		}
		out.WriteString("\n")
	}
	return out.String()
}

// Stories of one attempt, or of several at one backend: what happens, and what is wanted next.
func TestStories(t *testing.T) {
	datadriven.RunTest(t, "testdata/exchange", func(t *testing.T, d *datadriven.TestData) string { return story(t, d.Input) })
}
