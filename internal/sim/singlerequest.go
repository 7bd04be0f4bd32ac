package sim

import (
	"slices"
	"time"

	"pumicecroft/decision"
)

// How a backend handles the first request in RunSingleRequest.
const (
	actionServe           = "served"        // it executes the request and responds
	actionError           = "error"         // it executes the request and responds with an error status
	actionReject          = "turned away"   // it rejects the request without executing it
	actionExecuteAndReset = "ran and broke" // it executes the request and resets the connection
	actionReset           = "broke unheard" // it resets the connection without executing the request
	actionInvalid         = "spoilt"        // it executes the request and responds with malformed HTTP
	actionTruncate        = "cut"           // it executes the request and closes the connection within the response
	actionExecuteSilently = "hung"          // it executes the request and does not respond
	actionIgnore          = "hung unrun"    // it neither executes the request nor responds
)

// BackendActions are the actions that RunSingleRequest accepts.
var BackendActions = []string{
	actionServe, actionError, actionReject, actionExecuteAndReset, actionReset, actionInvalid, actionTruncate,
	actionExecuteSilently, actionIgnore,
}

// RunSingleRequest runs a single request of a class without faults, with one backend in each of cells.
// action, one of BackendActions, is how a backend handles the first attempt. It returns the request's
// final verdict, the number of attempts that backends have received completely, and the number of
// effects. The conformance suite runs the same cases over sockets and compares the results.
func RunSingleRequest(class string, cells []int, action string) (verdict string, attempts, effects int) {
	r := newRunner(1, Options{})
	r.config = runConfig{
		gateways: 1, backends: len(cells), canCancel: true, usesDiscovery: true,
		overloadFactor: platformOverloadFactor, overloadDuration: time.Second,
		dedupScope: decision.DedupScopeCell, dedupWindow: 5 * time.Second,
		maxConns: 64, maxDescriptors: 1000, idleTimeout: 15 * time.Second,
		maxOpenRequests: 100, maxAttempts: 3, maxRequestIDs: 100,
		latencyObjective: 10 * time.Second, deadline: 15 * time.Second,
	}
	r.backendAction = action
	r.populate(func(number int) int { return cells[number] })
	request := &clientRequest{class: class, key: 1, customer: 1, cost: 1, timeout: r.config.deadline}
	if action == actionExecuteSilently || action == actionIgnore {
		request.timeout = 1200 * time.Millisecond
	}
	r.scheduleAfter(time.Second, func() { r.submit(request, 0, 1) })
	r.run(startTime+time.Minute, 1_000_000)
	return request.verdict, int(r.receivedCount), request.effectCount
}

// scriptedAction returns how a backend handles a request in RunSingleRequest, or "" if it handles the
// request as usual.
func (r *runner) scriptedAction(received *receivedRequest) string {
	if r.backendAction == "" || received.number > 1 || !slices.Contains(BackendActions, r.backendAction) {
		return ""
	}
	return r.backendAction
}

// performAction handles a request by one of BackendActions.
func (b *backend) performAction(received *receivedRequest, action string) {
	switch action {
	case actionReject:
		b.respond(received, "503 Service Unavailable", "Not-Started: 1\r\n", "")
	case actionIgnore:
	case actionReset:
		received.conn.reset()
	default:
		received.keyIsNew = b.dedup.insertIfNew(received.request.key, b.world.now, b.runner.config.dedupWindow)
		b.check.onExecuted(received, b)
		b.performAfterExecution(received, action)
	}
}

// performAfterExecution responds to an executed request as the action demands.
func (b *backend) performAfterExecution(received *receivedRequest, action string) {
	endWith := func(text string) {
		received.conn.sendToGateway([]byte(text), 0)
		received.conn.sendReadError(errConnClosed)
		received.conn.closeByBackend()
	}
	switch action {
	case actionError:
		b.respond(received, "500 Internal Server Error", "", "")
	case actionExecuteAndReset:
		received.conn.reset()
	case actionInvalid:
		endWith("\x00\x01noise\r\n\r\n")
	case actionTruncate:
		endWith("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	case actionServe:
		b.respond(received, "200 OK", "", received.request.expectedBody())
	}
}
