package sim

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

// backend simulates a backend that executes a limited number of requests concurrently and queues
// others. It shares a table of idempotency keys with the other backends of its deduplication scope. If
// it receives too many requests during its warm-up, it is overloaded until its process ends.
type backend struct {
	world  *world
	check  *checker
	runner *runner
	number int
	cell   int
	zone   string
	dedup  *dedupTable
	conns  map[*conn]bool

	// State of the process.
	epoch          int // incremented by every start and end of a process
	up             bool
	startedAt      time.Duration // 0: long ago, the warm-up is over
	busy           int           // requests being executed
	queue          []*receivedRequest
	recentArrivals []time.Duration // of requests during the warm-up, within overloadDuration
	overloaded     bool

	// What the endpoint sources report.
	addrChanges int           // how often its address has changed
	drainFaults int           // active faults that drain it
	listed      bool          // the sources list it
	listedAt    time.Duration // when the sources listed it again after a removal; 0: it was never removed
	createIndex uint64        // the catalog's index when it was registered

	// During its warm-up a backend becomes overloaded if it receives more than overloadFactor times its
	// current capacity over overloadDuration.
	overloadFactor   float64
	overloadDuration time.Duration

	faultShares [faultKindCount]float64 // see Fault.Share; 0: there is no fault of this kind now
}

// dedupTable records when each idempotency key was first seen by the backends of one deduplication
// scope.
type dedupTable struct{ firstSeen map[uint64]time.Duration }

// receivedRequest is a request that a backend has received completely.
type receivedRequest struct {
	request   *clientRequest
	conn      *conn
	number    uint64 // counts the requests received by all backends
	keyIsNew  bool   // its idempotency key was not in the deduplication table
	abandoned bool   // its connection was closed before it was executed
}

const (
	backendConcurrency  = 4  // requests that a backend executes at once
	maxQueueLength      = 40 // a backend rejects requests that do not fit into its queue
	meanServiceTime     = 80 * time.Millisecond
	backendCapacity     = backendConcurrency / 0.080 // requests per second after the warm-up
	slowExecutionFactor = 8                          // multiplies the execution time during SlowExecution
)

func (b *backend) name() string { return "b" + strconv.Itoa(b.number) }

func (b *backend) addr() string { return fmt.Sprintf("b%d.%d", b.number, b.addrChanges) }

// node returns the backend as the endpoint sources report it.
func (b *backend) node() membership.Node {
	node := membership.Node{
		Name: b.name(), Addr: b.addr(), Zone: b.zone, Cell: b.cell, Weight: 1, StartedAt: wallTime(b.startedAt),
	}
	switch {
	case !b.listed:
		node.State = decision.Removed
	case b.drainFaults > 0 || !b.up:
		node.State = decision.Draining
	}
	return node
}

// warmupFraction returns the share of its full capacity that the backend currently has, up to 1.
func (b *backend) warmupFraction() float64 {
	if b.startedAt == 0 {
		return 1
	}
	age := float64(b.world.now - b.startedAt)
	return min(1, slowStartMinCapacity+(1-slowStartMinCapacity)*age/float64(slowStartWindow))
}

// affectedBy reports whether a fault of a kind affects what the key identifies, such as a request or a
// connection. The draw depends only on the key, the kind and the backend.
func (b *backend) affectedBy(kind FaultKind, key ...uint64) bool {
	share := b.faultShares[kind]
	return share > 0 && b.world.newRand(append(key, uint64(kind), uint64(b.number))...).Float64() < share
}

// onBytes handles the requests that have arrived completely on a connection.
func (b *backend) onBytes(c *conn) {
	for {
		headLength := bytes.Index(c.requestBytes, []byte("\r\n\r\n"))
		if headLength < 0 {
			return
		}
		head, bodySize := string(c.requestBytes[:headLength]), 0
		if value := headerValue(head, "Content-Length"); value != "" {
			bodySize, _ = strconv.Atoi(value)
		}
		end := headLength + 4 + bodySize
		if len(c.requestBytes) < end {
			return
		}
		_, path, _ := strings.Cut(head, " ")
		if strings.HasPrefix(path, "/health ") {
			c.requestBytes = nil
			c.sendToGateway([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), 0)
			c.startIdleTimer()
			return
		}
		received := b.receive(c, head, path, bodySize)
		c.requestBytes = append([]byte(nil), c.requestBytes[end:]...)
		c.requestCount++
		c.idleSince = 0
		b.onRequest(received)
	}
}

// receive finds the client request to which a request head belongs, and checks that the gateway
// forwarded it unchanged.
func (b *backend) receive(c *conn, head, path string, bodySize int) *receivedRequest {
	b.runner.receivedCount++
	number, _ := strconv.Atoi(path[strings.IndexByte(path, '=')+1 : strings.IndexByte(path, ' ')])
	request := b.runner.requests[number]
	id, key := headerValue(head, "Request-Id"), headerValue(head, "Idempotency-Key")
	if id != fmt.Sprintf("%016x", request.id) || bodySize != request.bodySize || key != request.keyHeader() {
		b.world.violatef(ruleRequestUnchanged, "request %d came to backend %d with id %s, key %s and %d bytes",
			number, b.number, id, key, bodySize)
	}
	return &receivedRequest{request: request, conn: c, number: b.runner.receivedCount}
}

// headerValue returns the value of a header field in a head written by platformhttp, or "" if there is
// none.
func headerValue(head, name string) string {
	_, rest, ok := strings.Cut(head, "\r\n"+name+": ")
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, "\r\n")
	return value
}

// onConnClosed handles a connection that its gateway has closed. If the run's configuration says so,
// the connection's queued requests are dropped.
func (b *backend) onConnClosed(c *conn) {
	if !b.runner.config.dropsQueued {
		return
	}
	for _, received := range b.queue {
		if received.conn == c {
			received.abandoned = true
		}
	}
}

// onRequest rejects, executes or queues a request.
func (b *backend) onRequest(received *receivedRequest) {
	b.recordArrival(received)
	if action := b.runner.scriptedAction(received); action != "" {
		b.performAction(received, action)
		return
	}
	if b.overloaded || b.affectedBy(BackendRejects, received.number) || len(b.queue) >= maxQueueLength {
		b.respond(received, "503 Service Unavailable", "Not-Started: 1\r\n", "")
		return
	}
	if received.request.class == "pay" {
		// Gateways are not responsible for network delays beyond responseGrace: a request that was
		// delayed for longer counts as arrived after responseGrace.
		seen := min(b.world.now, received.conn.sentAt+responseGrace)
		received.keyIsNew = b.dedup.insertIfNew(received.request.key, seen, b.runner.config.dedupWindow)
	}
	if b.busy < backendConcurrency {
		b.execute(received)
	} else {
		b.queue = append(b.queue, received)
	}
}

// recordArrival counts a request during the warm-up and detects an overload.
func (b *backend) recordArrival(received *receivedRequest) {
	fraction := b.warmupFraction()
	if fraction >= 1 {
		return
	}
	for len(b.recentArrivals) > 0 && b.world.now-b.recentArrivals[0] > b.overloadDuration {
		b.recentArrivals = b.recentArrivals[1:]
	}
	if b.countsTowardsOverload(received.conn.gateway) {
		b.recentArrivals = append(b.recentArrivals, b.world.now)
	}
	limit := b.overloadFactor * fraction * backendCapacity * b.overloadDuration.Seconds()
	if b.world.now-b.startedAt > b.overloadDuration && float64(len(b.recentArrivals)) > limit && !b.overloaded {
		b.overloaded = true
		b.check.onOverload(b, len(b.recentArrivals))
	}
}

// countsTowardsOverload reports whether a request of this gateway counts. With the platform's
// overload factor, every request does: it is high enough to tolerate gateways that have not yet
// learned of the backend's start, and requests right after a gateway's pause. Backends with a lower
// factor do not count either of these.
func (b *backend) countsTowardsOverload(g *gateway) bool {
	if b.overloadFactor == platformOverloadFactor {
		return true
	}
	return !b.gatewayPausedRecently() && g.endpoints.latestStart[b.name()] >= b.startedAt
}

// gatewayPausedRecently reports whether any gateway was paused, or was recovering from a pause, within
// the last overloadDuration.
func (b *backend) gatewayPausedRecently() bool {
	for _, g := range b.runner.gateways {
		if g.pausedDuring(b.world.now-b.overloadDuration, b.world.now) {
			return true
		}
	}
	return false
}

// execute executes a request. When it ends, the next queued request is started.
func (b *backend) execute(received *receivedRequest) {
	b.busy++
	epoch := b.epoch
	factor := 0.5 + b.world.newRand(received.number, 77).Float64()
	duration := time.Duration(factor * float64(meanServiceTime) / b.warmupFraction())
	if b.faultShares[SlowExecution] > 0 {
		duration *= slowExecutionFactor
	}
	b.world.scheduleAfter(duration, func() {
		if epoch != b.epoch {
			return // the process has ended meanwhile
		}
		b.busy--
		b.executeNext()
		b.check.onExecuted(received, b)
		b.respondAfterExecution(received)
	})
}

// executeNext starts the first queued request that was not abandoned, and removes those before it.
func (b *backend) executeNext() {
	for len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if !next.abandoned {
			b.execute(next)
			return
		}
	}
}

// insertIfNew reports whether a key was not seen within the window, and if so records it as seen now.
func (m *dedupTable) insertIfNew(key uint64, now, window time.Duration) bool {
	if at, known := m.firstSeen[key]; known && now-at < window {
		return false
	}
	m.firstSeen[key] = now
	return true
}

// startProcess starts a new process, which begins its warm-up.
func (b *backend) startProcess() {
	b.up, b.startedAt, b.overloaded, b.recentArrivals = true, b.world.now, false, nil
	b.epoch++
	b.busy, b.queue = 0, nil
}

// stopProcess ends the process: its requests are lost and its connections are reset.
func (b *backend) stopProcess() {
	b.up = false
	b.epoch++
	b.busy, b.queue = 0, nil
	for _, c := range sortedConns(b.conns) {
		c.reset()
	}
}
