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

// disconnectObserver is a decision engine that signals each ClientDisconnected event that it has handled.
type disconnectObserver struct {
	lifecycle.DecisionEngine
	disconnected chan bool
}

func (o disconnectObserver) Handle(now time.Duration, ev decision.Event, as []decision.Action) []decision.Action {
	as = o.DecisionEngine.Handle(now, ev, as)
	if _, ok := ev.(decision.ClientDisconnected); ok {
		o.disconnected <- true
	}
	return as
}

// startObservedGateway starts a Gateway behind the daemon's server and returns a channel that signals each client that
// disconnects. A nil engine selects package decision's.
func startObservedGateway(
	t *testing.T, config Config, engine lifecycle.DecisionEngine, options ...Option,
) (*servedGateway, chan bool) {
	t.Helper()
	if engine == nil {
		e, err := decision.New(config.Settings, config.Seed, 24*time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		engine = e
	}
	disconnected := make(chan bool, 10)
	return startServedGateway(t, config, disconnectObserver{engine, disconnected}, options...), disconnected
}

// heldCounter is a shared counter whose calls are answered by the test.
type heldCounter struct {
	calls chan func(decision.CounterResult)
}

func (h heldCounter) Add(c decision.CounterAdd, done func(decision.CounterResult)) {
	h.calls <- func(a decision.CounterResult) { a.Ref = c.Ref; done(a) }
}

// A client disconnects while its request waits for a connection, the counter or an earlier attempt. When that wait
// ends, the request must not be sent, whatever further bytes the client had sent before it disconnected.
func TestDisconnectWhileWaitingSendsNothing(t *testing.T) {
	const (
		firstConnection    = "the connection of the first attempt"
		retryConnection    = "the connection of a retry"
		parallelConnection = "the connection of a parallel attempt"
		counter            = "the counter"
		firstAttempt       = "the result of the first attempt"
	)
	for _, wait := range []string{firstConnection, retryConnection, parallelConnection, counter, firstAttempt} {
		for _, trailing := range []string{"", "x"} {
			t.Run(fmt.Sprintf("%s, %d trailing bytes", wait, len(trailing)), func(t *testing.T) {
				received, waiting, proceed := make(chan string, 10), make(chan bool, 10), make(chan bool)
				addr := testkit.Accept(t, func(conn net.Conn) {
					text, _ := io.ReadAll(conn)
					received <- string(text)
				})
				config, options := testConfig(), []Option(nil)
				config.InitialEndpoints = readyBackends(addr)
				var engine lifecycle.DecisionEngine
				slowDialer := WithDialer(func(_ context.Context, network, to string) (net.Conn, error) {
					if to == addr {
						waiting <- true
						<-proceed // the connection is established even though the attempt has been cancelled
					}
					return net.Dial(network, to)
				})
				switch wait {
				case firstConnection:
					options = append(options, slowDialer)
				case retryConnection, parallelConnection:
					options = append(options, slowDialer)
					first := testkit.ServeRaw(t, func(_ int, conn net.Conn) {
						if wait == retryConnection {
							io.WriteString(conn, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
						}
					})
					config.InitialEndpoints = readyBackends(first, addr)
					engine = testkit.NewScriptedEngine(func(ev decision.Event) []decision.Action {
						var as []decision.Action
						if ev, ok := ev.(decision.Request); ok {
							as = append(as, decision.StartAttempt{Request: ev.ID, Backend: 1})
							if wait == parallelConnection {
								as = append(as, decision.StartAttempt{Request: ev.ID, Backend: 2})
							}
						}
						if ev, ok := ev.(decision.Outcome); ok && ev.Attempt == 0 && !ev.Final {
							as = append(as, decision.StartAttempt{Request: ev.Request, Backend: 2})
						}
						if ev, ok := ev.(decision.ClientDisconnected); ok { // as decision.Engine does
							as = append(as, decision.CancelAttempt{Request: ev.Request, Attempt: 0},
								decision.CancelAttempt{Request: ev.Request, Attempt: 1})
						}
						return as
					})
				case counter:
					h := heldCounter{make(chan func(decision.CounterResult), 10)}
					config.Settings.HasSharedCounter = true
					p := &config.Settings.Plans[0]
					p.HardLimitRate, p.HardLimitBurst = 1, 60 // this gateway has no share of it right after its start
					options = append(options, WithCounter(h))
					go func() {
						select {
						case answer := <-h.calls:
							waiting <- true
							<-proceed
							answer(decision.CounterResult{Result: decision.Succeeded, Total: 20})
							for { // units that the gateway returns to the counter
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
						<-proceed
						io.WriteString(conn, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
					})
					config.InitialEndpoints = readyBackends(first, addr)
					// This engine retries after the first attempt, whatever its outcome.
					engine = testkit.NewScriptedEngine(func(ev decision.Event) []decision.Action {
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
				server, disconnected := startObservedGateway(t, config, engine, options...)
				conn := dial(t, server.addr)
				if err := server.newRequest(t, "look", nil).Write(conn); err != nil {
					t.Fatal(err)
				}
				testkit.Await(t, waiting, "the request to wait for "+wait)
				io.WriteString(conn, trailing)
				conn.Close()
				testkit.Await(t, disconnected, "the engine to handle the disconnect")
				server.gateway.OpenRequests() // takes the executor's lock: the step that handled the disconnect has ended
				close(proceed)
				ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
				defer cancel()
				if err := server.gateway.Close(ctx); err != nil { // anything that would be sent has been sent by then
					t.Errorf("Close: %v", err)
				}
				if wait == firstConnection || wait == retryConnection || wait == parallelConnection {
					if text := testkit.Await(t, received, "the end of the backend's connection"); text != "" {
						t.Errorf("the backend received %q, want nothing", text)
					}
				}
				select {
				case text := <-received:
					t.Errorf("the backend received %q, want nothing", text)
				default:
				}
			})
		}
	}
}
