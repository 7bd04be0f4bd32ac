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

// backend executes some requests at once and queues others. It shares a memory of idempotency keys
// with the backends of its deduplication scope, and is overloaded for good if it is sent too much
// during its warm-up.
type backend struct {
	world  *world
	check  *checker
	runner *runner
	number int
	cell   int
	zone   string
	dedup  *dedupTable
	conns  map[*conn]bool

	// Of the process.
	epoch          int // counts processes and their ends
	up             bool
	startedAt      time.Duration // 0: long ago, it is warm
	busy           int           // requests that it executes
	queue          []*receivedRequest
	recentArrivals []time.Duration // during the warm-up, within overloadDuration
	overloaded     bool

	// Of the sources.
	addrChanges int           // how often its address has changed
	drainFaults int           // faults by which it drains now
	listed      bool          // the sources name it
	listedAt    time.Duration // since when, if it was removed before; 0: always
	createIndex uint64        // the catalog's index at its registration

	// During its warm-up it is overloaded by more than this multiple of its capacity, sent for this
	// long.
	overloadFactor   float64
	overloadDuration time.Duration

	faultShares [faultKindCount]float64 // share of what passes that each fault meets now
}

// dedupMemory is what the backends of one deduplication scope remember: when each key was first
// seen.
type dedupTable struct{ firstSeen map[uint64]time.Duration }

// receivedRequest is a request that a backend has received whole.
type receivedRequest struct {
	request   *clientRequest
	conn      *conn
	number    uint64 // among all that backends received
	keyIsNew  bool   // its key was not known
	abandoned bool   // its connection ended before it was executed
}

const (
	backendConcurrency  = 4  // requests that a backend executes at once
	maxQueueLength      = 40 // a backend rejects what comes beyond that
	meanServiceTime     = 80 * time.Millisecond
	backendCapacity     = backendConcurrency / 0.080 // requests a second, once warm
	slowExecutionFactor = 8                          // SlowExecution takes that much longer
)

func (b *backend) name() string { return "b" + strconv.Itoa(b.number) }

func (b *backend) addr() string { return fmt.Sprintf("b%d.%d", b.number, b.addrChanges) }

// node is what discovery tells of a backend.
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

// warmupFraction is the share of its capacity that a backend has, 0 to 1.
func (b *backend) warmupFraction() float64 {
	if b.startedAt == 0 {
		return 1
	}
	age := float64(b.world.now - b.startedAt)
	return min(1, slowStartMinCapacity+(1-slowStartMinCapacity)*age/float64(slowStartWindow))
}

// hitBy tells whether a fault meets something. The draw depends on the purpose alone.
func (b *backend) affectedBy(kind FaultKind, purpose ...uint64) bool {
	share := b.faultShares[kind]
	return share > 0 && b.world.newRand(append(purpose, uint64(kind), uint64(b.number))...).Float64() < share
}

// onBytes handles the requests that have arrived whole on a connection.
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

// receive finds the client's request of a head, and checks that it was passed on unchanged.
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

// headerValue finds a field in a head that platformhttp has written; empty: it has none.
func headerValue(head, name string) string {
	_, rest, ok := strings.Cut(head, "\r\n"+name+": ")
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, "\r\n")
	return value
}

// onConnClosed is told that a gateway has closed a connection: in some runs its queued requests are
// dropped.
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
		// A gateway does not answer for what the network holds beyond the grace that the settings
		// state for it.
		seen := min(b.world.now, received.conn.sentAt+responseGrace)
		received.keyIsNew = b.dedup.insertIfNew(received.request.key, seen, b.runner.config.dedupWindow)
	}
	if b.busy < backendConcurrency {
		b.execute(received)
	} else {
		b.queue = append(b.queue, received)
	}
}

// recordArrival counts a request during the warm-up, and finds whether they are too many.
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

// countsTowardsOverload tells whether a gateway's request counts. Backends that are overloaded
// sooner than the platform's don't count what comes from gateways that were not told of their
// start, nor what comes right after a gateway's pause: the platform's figures, which the engine is
// held to, leave room for both.
func (b *backend) countsTowardsOverload(g *gateway) bool {
	if b.overloadFactor == platformOverloadFactor {
		return true
	}
	return !b.gatewayPausedRecently() && g.endpoints.latestStart[b.name()] >= b.startedAt
}

// gatewayPausedRecently tells whether any gateway was paused within overloadDuration.
func (b *backend) gatewayPausedRecently() bool {
	for _, g := range b.runner.gateways {
		if g.pausedDuring(b.world.now-b.overloadDuration, b.world.now) {
			return true
		}
	}
	return false
}

// execute executes a request, and the next one of the queue behind it.
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
			return // its process has ended
		}
		b.busy--
		b.executeNext()
		b.check.onExecuted(received, b)
		b.respondAfterExecution(received)
	})
}

// executeNext executes the first request of the queue whose client still waits.
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

// remember tells whether a key is new within a window, and remembers it from now on.
func (m *dedupTable) insertIfNew(key uint64, now, window time.Duration) bool {
	if at, known := m.firstSeen[key]; known && now-at < window {
		return false
	}
	m.firstSeen[key] = now
	return true
}

// start starts a new process, which warms up.
func (b *backend) startProcess() {
	b.up, b.startedAt, b.overloaded, b.recentArrivals = true, b.world.now, false, nil
	b.epoch++
	b.busy, b.queue = 0, nil
}

// stop ends the process: what it had is lost, and its connections are reset.
func (b *backend) stopProcess() {
	b.up = false
	b.epoch++
	b.busy, b.queue = 0, nil
	for _, c := range sortedConns(b.conns) {
		c.reset()
	}
}
