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
func RunSingleRequest(class string, cells []int, act string) (told string, attempts, effects int) {
	r := newRunner(1, Options{})
	r.config = runConfig{gateways: 1, backends: len(cells), canCancel: true, overloadFactor: platformOverloadFactor, overloadDuration: time.Second, dedupScope: decision.DedupScopeCell,
		dedupWindow: 5 * time.Second, usesDiscovery: true, maxConns: 64, maxDescriptors: 1000, idleTimeout: 15 * time.Second, maxOpenRequests: 100, maxAttempts: 3, maxRequestIDs: 100,
		latencyObjective: 10 * time.Second, deadline: 15 * time.Second}
	r.backendAction = act
	r.populate(func(i int) int { return cells[i] })
	a := &clientRequest{class: class, key: 1, customer: 1, cost: 1, timeout: r.config.deadline}
	if act == "hung" || act == "hung unrun" {
		a.timeout = 1200 * time.Millisecond
	}
	r.scheduleAfter(time.Second, func() { r.submit(a, 0, 1) })
	r.run(start+time.Minute, 1_000_000)
	return a.verdict, int(r.receivedCount), a.effectCount
}

// scriptedAction is the act that One wants of the first request that comes, else nothing.
func (r *runner) scriptedAction(j *receivedRequest) string {
	if r.backendAction == "" || j.number > 1 || !slices.Contains(BackendActions, r.backendAction) {
		return ""
	}
	return r.backendAction
}

// perform has a backend do an act of One's.
func (b *backend) perform(j *receivedRequest, act string) {
	switch l := j.conn; act {
	case "turned away":
		b.respond(j, "503 Service Unavailable", "Not-Started: 1\r\n", "")
	case "hung unrun":
	case "broke unheard":
		l.reset()
	default:
		j.keyIsNew = b.dedup.remember(j.request.key, b.world.now, b.runner.config.dedupWindow)
		b.check.onExecuted(j, b)
		switch act {
		case "error":
			b.respond(j, "500 Internal Server Error", "", "")
		case "ran and broke":
			l.reset()
		case "spoilt":
			l.sendToGateway([]byte("\x00\x01noise\r\n\r\n"), 0)
			l.endToGateway(errConnClosed)
			l.detachBackend()
		case "cut":
			l.sendToGateway([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"), 0)
			l.endToGateway(errConnClosed)
			l.detachBackend()
		case "served":
			b.respond(j, "200 OK", "", j.request.expectedBody())
		}
	}
}
