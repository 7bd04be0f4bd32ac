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

// backend has slots, a queue, a memory of keys that its group shares, and falls if it is sent too much while it is cold.
type backend struct {
	world          *world
	check          *checker
	runner         *runner
	number         int
	cell           int
	zone           string
	dedup          *dedupMemory
	epoch          int // of its process
	up             bool
	startedAt      time.Duration // 0: long ago
	moves          int           // how often its address has changed
	drainFaults    int           // faults by which the lists say so
	listed         bool          // the lists have it
	listedAt       time.Duration // since when, if it was taken out and put in again
	createIndex    uint64        // the catalogue's index at which it was registered
	busy           int
	queue          []*receivedRequest
	conns          map[*conn]bool
	recentArrivals []time.Duration // arrivals while it is cold
	overloaded     bool
	// Sent more than this multiple of what it can do while it is cold, for so long, it falls.
	overloadFactor   float64
	overloadDuration time.Duration
	faultShares      [faultKindCount]float64 // the share that each meets now
}

// dedupMemory is what backends of one group remember together: a key, since it first came.
type dedupMemory struct{ firstSeen map[uint64]time.Duration }

// receivedRequest is a request that a backend has.
type receivedRequest struct {
	request   *clientRequest
	conn      *conn
	number    uint64 // among all that came
	keyIsNew  bool   // its key was not known
	abandoned bool   // its client's connection ended before it began
}

const (
	concurrency     = 4
	meanServiceTime = 80 * time.Millisecond // mean
	capacity        = concurrency / 0.080   // requests a second, warm
)

func (b *backend) name() string { return "b" + strconv.Itoa(b.number) }

func (b *backend) addr() string { return fmt.Sprintf("b%d.%d", b.number, b.moves) }

// node is what discovery says of a backend.
func (b *backend) node() membership.Node {
	n := membership.Node{Name: b.name(), Addr: b.addr(), Zone: b.zone, Cell: b.cell, Weight: 1, StartedAt: wallTime(b.startedAt)}
	switch {
	case !b.listed:
		n.State = decision.Removed
	case b.drainFaults > 0 || !b.up:
		n.State = decision.Draining
	}
	return n
}

// warmupFraction is the share of its capacity that it has.
func (b *backend) warmupFraction() float64 {
	if b.startedAt == 0 {
		return 1
	}
	return min(1, slowStartMinCapacity+(1-slowStartMinCapacity)*float64(b.world.now-b.startedAt)/float64(slowStartWindow))
}

// hitBy tells whether a fault meets something, by chance that hangs on that alone.
func (b *backend) hitBy(k FaultKind, of ...uint64) bool {
	share := b.faultShares[k]
	return share > 0 && b.world.newRand(append(of, uint64(k), uint64(b.number))...).Float64() < share
}

// onBytes looks for whole requests in what has come on a connection.
func (b *backend) onBytes(l *conn) {
	for {
		end := bytes.Index(l.requestBytes, []byte("\r\n\r\n"))
		if end < 0 {
			return
		}
		head, size := string(l.requestBytes[:end]), 0
		if v := headerValue(head, "Content-Length"); v != "" {
			size, _ = strconv.Atoi(v)
		}
		if len(l.requestBytes) < end+4+size {
			return
		}
		body := l.requestBytes[end+4 : end+4+size]
		_, path, _ := strings.Cut(head, " ")
		if strings.HasPrefix(path, "/health ") {
			l.requestBytes = nil
			l.sendToGateway([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), 0)
			l.startIdleTimer()
			return
		}
		b.runner.receivedCount++
		j := &receivedRequest{conn: l, number: b.runner.receivedCount}
		n, _ := strconv.Atoi(path[strings.IndexByte(path, '=')+1 : strings.IndexByte(path, ' ')])
		j.request = b.runner.requests[n]
		if id := headerValue(head, "Request-Id"); id != fmt.Sprintf("%016x", j.request.id) || len(body) != j.request.bodySize || headerValue(head, "Idempotency-Key") != j.request.keyHeader() {
			b.world.violatef("requests go on as they came", "ask %d came to backend %d with id %s, key %s and %d bytes", n, b.number, id,
				headerValue(head, "Idempotency-Key"), len(body))
		}
		l.requestBytes = append([]byte(nil), l.requestBytes[end+4+size:]...)
		l.requestCount++
		l.idleSince = 0
		b.onRequest(j)
	}
}

// headerValue finds a field in a head that this project's own code has written.
func headerValue(head, name string) string {
	_, rest, ok := strings.Cut(head, "\r\n"+name+": ")
	if !ok {
		return ""
	}
	v, _, _ := strings.Cut(rest, "\r\n")
	return v
}

// onConnClosed is a connection that its door has closed: what waits for it does not begin, on some days.
func (b *backend) onConnClosed(l *conn) {
	if !b.runner.config.dropsQueued {
		return
	}
	for _, j := range b.queue {
		if j.conn == l {
			j.abandoned = true
		}
	}
}

// onRequest is a request that has come whole.
func (b *backend) onRequest(j *receivedRequest) {
	// A fleet that is frailer than the platform's is not held to what doors send that no list has told of its start, nor to what
	// they send right after they stood still.
	if w := b.warmupFraction(); w < 1 {
		for len(b.recentArrivals) > 0 && b.world.now-b.recentArrivals[0] > b.overloadDuration {
			b.recentArrivals = b.recentArrivals[1:]
		}
		if b.overloadFactor == platformOverloadFactor || !b.gatewayPausedRecently() && j.conn.gateway.endpoints.latestStart[b.name()] >= b.startedAt {
			b.recentArrivals = append(b.recentArrivals, b.world.now)
		}
		if b.world.now-b.startedAt > b.overloadDuration && float64(len(b.recentArrivals)) > b.overloadFactor*w*capacity*b.overloadDuration.Seconds() && !b.overloaded {
			b.overloaded = true
			b.check.onOverload(b, len(b.recentArrivals))
		}
	}
	if act := b.runner.scriptedAction(j); act != "" {
		b.perform(j, act)
		return
	}
	if b.overloaded || b.hitBy(BackendRejects, j.number) || len(b.queue) >= 40 {
		b.respond(j, "503 Service Unavailable", "Not-Started: 1\r\n", "")
		return
	}
	if j.request.class == "pay" {
		// What the network held for longer than the grace that the settings state for it is not the door's to answer for.
		j.keyIsNew = b.dedup.remember(j.request.key, min(b.world.now, j.conn.sentAt+responseGrace), b.runner.config.dedupWindow)
	}
	if b.busy < concurrency {
		b.execute(j)
	} else {
		b.queue = append(b.queue, j)
	}
}

// gatewayPausedRecently tells whether a door stood still within the time over which a cold backend falls: what it is then asked at once
// is in no rule's figures, and a fleet that is frailer than the platform's is not held to it.
func (b *backend) gatewayPausedRecently() bool {
	for _, d := range b.runner.gateways {
		if d.pausedDuring(b.world.now-b.overloadDuration, b.world.now) {
			return true
		}
	}
	return false
}

func (b *backend) execute(j *receivedRequest) {
	b.busy++
	epoch := b.epoch
	took := time.Duration((0.5 + b.world.newRand(j.number, 77).Float64()) * float64(meanServiceTime) / b.warmupFraction())
	if b.faultShares[SlowExecution] > 0 {
		took *= 8
	}
	b.world.scheduleAfter(took, func() {
		if epoch != b.epoch {
			return // its process is gone
		}
		b.busy--
		for len(b.queue) > 0 {
			next := b.queue[0]
			b.queue = b.queue[1:]
			if !next.abandoned {
				b.execute(next)
				break
			}
		}
		b.check.onExecuted(j, b)
		b.finish(j)
	})
}

// finish answers a request that has run, as the faults have it.
func (b *backend) finish(j *receivedRequest) {
	rng := b.world.newRand(j.number, 5)
	switch {
	case b.hitBy(NoResponse, j.number):
	case b.hitBy(ConnLostAfterExecution, j.number):
		text := b.responseBytes(j, "200 OK", "", j.request.expectedBody())
		if cut := rng.IntN(2 * len(text)); cut < len(text) {
			j.conn.sendToGateway(text[:cut], 0)
		}
		j.conn.reset()
	case b.hitBy(InvalidResponse, j.number):
		j.conn.sendToGateway([]byte(invalidResponses[rng.IntN(len(invalidResponses))]), 0)
		if rng.IntN(2) == 0 {
			j.conn.reset()
		}
	case b.hitBy(ErrorResponses, j.number):
		b.respond(j, errorStatuses[rng.IntN(len(errorStatuses))], "", "no")
	default:
		b.respond(j, "200 OK", "", j.request.expectedBody())
	}
}

// invalidResponses is what is no answer, or none that can be used.
var invalidResponses = []string{"\x00\xff\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nno", "HTTP/1.1 200 OK\r\n\r\nno", "HTTP/1.1 200 OK\r\nConte",
	"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\nno", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nno",
	"HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nno", "\r\n\r\n"}

var errorStatuses = []string{"500 Internal Server Error", "503 Service Unavailable", "404 Not Found", "504 Gateway Timeout"}

// responseBytes is an answer as it stands on the wire, in one of the forms that it may have.
func (b *backend) responseBytes(j *receivedRequest, status, fields, body string) []byte {
	rng := b.world.newRand(j.number, 6)
	head := "HTTP/1.1 " + status + "\r\n" + fields
	if use, has := b.runner.reportedUsage(j.request.customer); has && !j.conn.gateway.usageHidden {
		head += fmt.Sprintf("X-RateLimit-Used: %.1f\r\n", use)
	}
	switch rng.IntN(6) {
	case 0:
		half := len(body) / 2
		chunk := func(s string) string {
			if s == "" {
				return ""
			}
			return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
		}
		return []byte(head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body[:half]) + chunk(body[half:]) + "0\r\n\r\n")
	case 1:
		head = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head
	case 2:
		head += "Connection: close\r\n"
	}
	return []byte(head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}

// respond answers.
func (b *backend) respond(j *receivedRequest, status, fields, body string) {
	l, rng := j.conn, b.world.newRand(j.number, 7)
	if l.backendClosed {
		return
	}
	text := b.responseBytes(j, status, fields, body)
	late := time.Duration(0)
	if b.hitBy(DelayedResponse, j.number) {
		late = randDuration(rng, 0, 3*time.Second)
	}
	closes := bytes.Contains(text, []byte("Connection: close"))
	sendInPieces(rng, text, b.hitBy(SlowBytes, j.number), func(part []byte, after time.Duration) { l.sendToGateway(part, late+after) })
	if b.hitBy(TrailingBytes, j.number) {
		// What comes right behind an answer; later than a connection rests, nobody could tell it from the next one's.
		extra := text
		if rng.IntN(2) == 0 {
			extra = []byte(invalidResponses[rng.IntN(len(invalidResponses))])
		}
		l.sendTrailing(extra, late+randDuration(rng, 0, 2500*time.Microsecond))
	}
	if closes {
		l.endToGateway(errConnClosed)
		l.detachBackend()
		return
	}
	l.startIdleTimer()
}

// sendInPieces cuts a text anywhere, into one piece mostly; if slowly, with pauses between them, some too long.
func sendInPieces(rng interface {
	IntN(int) int
	Int64N(int64) int64
}, text []byte, slowly bool, send func(part []byte, after time.Duration)) {
	n, after := 1, time.Duration(0)
	if slowly {
		n = 2 + rng.IntN(6)
	} else if rng.IntN(3) == 0 {
		n = 2 + rng.IntN(2)
	}
	for ; n > 1 && len(text) > 1; n-- {
		cut := 1 + rng.IntN(len(text)-1)
		send(text[:cut], after)
		text = text[cut:]
		if slowly {
			after += time.Duration(rng.Int64N(int64(250 * time.Millisecond)))
		} else {
			after += time.Duration(rng.Int64N(int64(300 * time.Microsecond)))
		}
	}
	send(text, after)
}

// remember tells whether a key is new to the group, and keeps it from now on.
func (m *dedupMemory) remember(key uint64, now, window time.Duration) bool {
	if at, known := m.firstSeen[key]; known && now-at < window {
		return false
	}
	m.firstSeen[key] = now
	return true
}

// start is a new process, which is cold.
func (b *backend) start() {
	b.up, b.startedAt, b.overloaded, b.recentArrivals = true, b.world.now, false, nil
	b.epoch++
	b.busy, b.queue = 0, nil
}

// stop ends the process: what it had is lost, and whoever waits hears that the connection broke.
func (b *backend) stop() {
	b.up = false
	b.epoch++
	b.busy, b.queue = 0, nil
	for _, l := range sortedConns(b.conns) {
		l.reset()
	}
}
