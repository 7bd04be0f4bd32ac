package pumicecroft

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/internal/testkit"
)

// disconnectObserver is a decision engine that tells when it hears that a client has disconnected.
type disconnectObserver struct {
	lifecycle.DecisionEngine
	disconnected chan bool
}

func (n disconnectObserver) Handle(now time.Duration, ev decision.Event, as []decision.Action) []decision.Action {
	as = n.DecisionEngine.Handle(now, ev, as)
	if _, ok := ev.(decision.ClientDisconnected); ok {
		n.disconnected <- true
	}
	return as
}

// startObservedGateway starts a Gateway behind the daemon's server whose engine tells of clients that disconnect; nil: the
// one in use.
func startObservedGateway(t *testing.T, config Config, decider lifecycle.DecisionEngine, options ...Option) (*servedGateway, chan bool) {
	t.Helper()
	if decider == nil {
		g, err := decision.New(config.Settings, config.Seed, 24*time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		decider = g
	}
	left := make(chan bool, 10)
	return startServedGateway(t, config, disconnectObserver{decider, left}, options...), left
}

// heldCounter is a counter that answers when the test says so.
type heldCounter struct {
	calls chan func(decision.CounterResult)
}

func (h heldCounter) Add(c decision.CounterAdd, done func(decision.CounterResult)) {
	h.calls <- func(a decision.CounterResult) { a.Ref = c.Ref; done(a) }
}

// A request waits for a connection, the counter or an earlier attempt, and its client disconnects meanwhile. When what it
// waited for is there, it must not be sent, whatever the client had sent behind it.
func TestDisconnectWhileWaitingSendsNothing(t *testing.T) {
	const late, further, beside = "a connection that comes up late", "a further attempt's connection", "a connection of an attempt beside another"
	for _, wait := range []string{late, further, beside, "the counter", "the end of its first attempt"} {
		for _, behind := range []string{"", "x"} {
			t.Run(fmt.Sprintf("%s, %d bytes behind", wait, len(behind)), func(t *testing.T) {
				came, waiting, goOn := make(chan string, 10), make(chan bool, 10), make(chan bool)
				addr := testkit.Accept(t, func(conn net.Conn) {
					text, _ := io.ReadAll(conn)
					came <- string(text)
				})
				config, options := testConfig(), []Option(nil)
				config.InitialEndpoints = readyBackends(addr)
				var decider lifecycle.DecisionEngine
				slow := WithDialer(func(_ context.Context, network, to string) (net.Conn, error) {
					if to == addr {
						waiting <- true
						<-goOn // it comes up all the same, after the attempt was called off
					}
					return net.Dial(network, to)
				})
				switch wait {
				case late:
					options = append(options, slow)
				case further, beside:
					options = append(options, slow)
					first := testkit.ServeRaw(t, func(_ int, conn net.Conn) {
						if wait == further {
							io.WriteString(conn, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
						}
					})
					config.InitialEndpoints = readyBackends(first, addr)
					decider = testkit.NewScriptedEngine(func(ev decision.Event) []decision.Action {
						var as []decision.Action
						if ev, ok := ev.(decision.Request); ok {
							as = append(as, decision.StartAttempt{Request: ev.ID, Backend: 1})
							if wait == beside {
								as = append(as, decision.StartAttempt{Request: ev.ID, Backend: 2})
							}
						}
						if ev, ok := ev.(decision.Outcome); ok && ev.Attempt == 0 && !ev.Final {
							as = append(as, decision.StartAttempt{Request: ev.Request, Backend: 2})
						}
						if ev, ok := ev.(decision.ClientDisconnected); ok { // as the module that ships does
							as = append(as, decision.CancelAttempt{Request: ev.Request, Attempt: 0}, decision.CancelAttempt{Request: ev.Request, Attempt: 1})
						}
						return as
					})
				case "the counter":
					h := heldCounter{make(chan func(decision.CounterResult), 10)}
					config.Settings.HasSharedCounter = true
					p := &config.Settings.Plans[0]
					p.HardLimitRate, p.HardLimitBurst = 1, 60 // of which this gateway has nothing right after its start
					options = append(options, WithCounter(h))
					go func() {
						select {
						case answer := <-h.calls:
							waiting <- true
							<-goOn
							answer(decision.CounterResult{Result: decision.Succeeded, Total: 20})
							for { // what is put back
								select {
								case answer := <-h.calls:
									answer(decision.CounterResult{Result: decision.Succeeded, Total: 20})
								case <-t.Context().Done():
									return
								}
							}
						case <-t.Context().Done():
						}
					}()
				default:
					first := testkit.ServeRaw(t, func(_ int, conn net.Conn) {
						waiting <- true
						<-goOn
						io.WriteString(conn, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
					})
					config.InitialEndpoints = readyBackends(first, addr)
					decider = testkit.NewScriptedEngine(func(ev decision.Event) []decision.Action { // it is sent once more, whatever became of it
						switch ev := ev.(type) {
						case decision.Request:
							return []decision.Action{decision.StartAttempt{Request: ev.ID, Backend: 1}}
						case decision.Outcome:
							if ev.Attempt == 0 {
								return []decision.Action{decision.StartAttempt{Request: ev.Request, Backend: 2}}
							}
						}
						return nil
					})
				}
				d, left := startObservedGateway(t, config, decider, options...)
				conn := dial(t, d.addr)
				if err := d.newRequest(t, "look", nil).Write(conn); err != nil {
					t.Fatal(err)
				}
				testkit.Await(t, waiting, "it to wait")
				io.WriteString(conn, behind)
				conn.Close()
				testkit.Await(t, left, "it to be seen that its client has left")
				d.gateway.OpenRequests() // and what comes of that is done: it is one step
				close(goOn)
				patient, stop := context.WithTimeout(t.Context(), testkit.WaitTimeout)
				defer stop()
				if err := d.gateway.Close(patient); err != nil { // what was to leave has left
					t.Error(err)
				}
				if wait == late || wait == further || wait == beside {
					if text := testkit.Await(t, came, "the connection's end"); text != "" {
						t.Errorf("sent on: %q", text)
					}
				}
				select {
				case text := <-came:
					t.Errorf("sent on: %q", text)
				default:
				}
			})
		}
	}
}
