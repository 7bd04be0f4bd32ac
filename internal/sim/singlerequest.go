package sim

import (
	"slices"
	"time"

	"pumicecroft/decision"
)

// BackendActions are the ways in which a first attempt can end in One.
var BackendActions = []string{"served", "error", "turned away", "ran and broke", "broke unheard", "spoilt", "cut", "hung", "hung unrun"}

// RunSingleRequest is a single ask of a class in a quiet world, at a fleet of backends by their cells, of which the first attempt ends in
// one of Acts: what its client gets, how many attempts came whole to a backend, and how many effects there were. The suite's
// cases on sockets are the same, so that the world can be held against the real one.
func RunSingleRequest(class string, cells []int, action string) (verdict string, attempts, effects int) {
	runner := newRunner(1, Options{})
	runner.config = runConfig{gateways: 1, backends: len(cells), canCancel: true, overloadFactor: platformOverloadFactor, overloadDuration: time.Second, dedupScope: decision.DedupScopeCell,
		dedupWindow: 5 * time.Second, usesDiscovery: true, maxConns: 64, maxDescriptors: 1000, idleTimeout: 15 * time.Second, maxOpenRequests: 100, maxAttempts: 3, maxRequestIDs: 100,
		latencyObjective: 10 * time.Second, deadline: 15 * time.Second}
	runner.backendAction = action
	runner.populate(func(i int) int { return cells[i] })
	request := &clientRequest{class: class, key: 1, customer: 1, cost: 1, timeout: runner.config.deadline}
	if action == "hung" || action == "hung unrun" {
		request.timeout = 1200 * time.Millisecond
	}
	runner.scheduleAfter(time.Second, func() { runner.submit(request, 0, 1) })
	runner.run(start+time.Minute, 1_000_000)
	return request.verdict, int(runner.receivedCount), request.effectCount
}

// scriptedAction is the act that One wants of the first request that comes, else nothing.
func (r *runner) scriptedAction(received *receivedRequest) string {
	if r.backendAction == "" || received.number > 1 || !slices.Contains(BackendActions, r.backendAction) {
		return ""
	}
	return r.backendAction
}

// perform has a backend do an act of One's.
func (b *backend) perform(received *receivedRequest, action string) {
	switch c := received.conn; action {
	case "turned away":
		b.respond(received, "503 Service Unavailable", "Not-Started: 1\r\n", "")
	case "hung unrun":
	case "broke unheard":
		c.reset()
	default:
		received.keyIsNew = b.dedup.remember(received.request.key, b.world.now, b.runner.config.dedupWindow)
		b.check.onExecuted(received, b)
		switch action {
		case "error":
			b.respond(received, "500 Internal Server Error", "", "")
		case "ran and broke":
			c.reset()
		case "spoilt":
			c.sendToGateway([]byte("\x00\x01noise\r\n\r\n"), 0)
			c.endToGateway(errConnClosed)
			c.detachBackend()
		case "cut":
			c.sendToGateway([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"), 0)
			c.endToGateway(errConnClosed)
			c.detachBackend()
		case "served":
			b.respond(received, "200 OK", "", received.request.expectedBody())
		}
	}
}
