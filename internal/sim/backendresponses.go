package sim

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// respondAfterExecution responds to an executed request, unless a fault prevents or changes the
// response.
func (b *backend) respondAfterExecution(received *receivedRequest) {
	rng := b.world.newRand(received.number, 5)
	switch {
	case b.affectedBy(NoResponse, received.number):
	case b.affectedBy(ConnLostAfterExecution, received.number):
		text := b.responseBytes(received, "200 OK", "", received.request.expectedBody())
		if cut := rng.IntN(2 * len(text)); cut < len(text) {
			received.conn.sendToGateway(text[:cut], 0)
		}
		received.conn.reset()
	case b.affectedBy(InvalidResponse, received.number):
		received.conn.sendToGateway([]byte(oneOf(rng, invalidResponses...)), 0)
		if rng.IntN(2) == 0 {
			received.conn.reset()
		}
	case b.affectedBy(ErrorResponses, received.number):
		b.respond(received, oneOf(rng, errorStatuses...), "", "no")
	default:
		b.respond(received, "200 OK", "", received.request.expectedBody())
	}
}

// invalidResponses are malformed HTTP, or responses that a gateway must not pass on.
var invalidResponses = []string{
	"\x00\xff\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nno",
	"HTTP/1.1 200 OK\r\n\r\nno",
	"HTTP/1.1 200 OK\r\nConte",
	"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\nno",
	"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nno",
	"HTTP/1.1 103 Early Hints\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nno",
	"\r\n\r\n",
}

// errorStatuses are the statuses with which a backend responds under the fault ErrorResponses.
var errorStatuses = []string{
	"500 Internal Server Error", "503 Service Unavailable", "404 Not Found", "504 Gateway Timeout",
}

// responseBytes encodes a response for the wire in one of several forms: chunked, preceded by an
// informational response, with "Connection: close", or plain.
func (b *backend) responseBytes(received *receivedRequest, status, fields, body string) []byte {
	rng := b.world.newRand(received.number, 6)
	head := "HTTP/1.1 " + status + "\r\n" + fields
	usage, known := b.runner.reportedUsage(received.request.customer)
	if known && !received.conn.gateway.usageHidden {
		head += fmt.Sprintf("X-RateLimit-Used: %.1f\r\n", usage)
	}
	switch rng.IntN(6) {
	case 0:
		half := len(body) / 2
		chunks := chunk(body[:half]) + chunk(body[half:]) + "0\r\n\r\n"
		return []byte(head + "Transfer-Encoding: chunked\r\n\r\n" + chunks)
	case 1:
		head = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head
	case 2:
		head += "Connection: close\r\n"
	}
	return []byte(head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}

// chunk encodes a part of a body as a chunk. An empty part is encoded as nothing, because an empty
// chunk would end the body.
func chunk(part string) string {
	if part == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
}

// respond sends a response, applying the faults that affect its delivery.
func (b *backend) respond(received *receivedRequest, status, fields, body string) {
	c, rng := received.conn, b.world.newRand(received.number, 7)
	if c.backendClosed {
		return
	}
	text := b.responseBytes(received, status, fields, body)
	delay := time.Duration(0)
	if b.affectedBy(DelayedResponse, received.number) {
		delay = randDuration(rng, 0, 3*time.Second)
	}
	sendInPieces(rng, text, b.affectedBy(SlowBytes, received.number), func(part []byte, after time.Duration) {
		c.sendToGateway(part, delay+after)
	})
	if b.affectedBy(TrailingBytes, received.number) {
		extra := text
		if rng.IntN(2) == 0 {
			extra = []byte(oneOf(rng, invalidResponses...))
		}
		// The delay does not exceed the pool's reuse delay: bytes that arrive later could not be told
		// from the next response.
		c.sendTrailing(extra, delay+randDuration(rng, 0, 2500*time.Microsecond))
	}
	if bytes.Contains(text, []byte("Connection: close")) {
		c.sendReadError(errConnClosed)
		c.closeByBackend()
		return
	}
	c.startIdleTimer()
}

// Upper bounds of the delay between two pieces of a message.
const (
	maxPieceDelay     = 300 * time.Microsecond
	maxSlowPieceDelay = 250 * time.Millisecond
)

// sendInPieces sends a message in one piece, or cut into random pieces. With slow there are more pieces
// with longer delays, so that some messages arrive too late.
func sendInPieces(rng *rand.Rand, text []byte, slow bool, send func(part []byte, delay time.Duration)) {
	count, maxDelay := 1, maxPieceDelay
	if slow {
		count, maxDelay = 2+rng.IntN(6), maxSlowPieceDelay
	} else if rng.IntN(3) == 0 {
		count = 2 + rng.IntN(2)
	}
	delay := time.Duration(0)
	for ; count > 1 && len(text) > 1; count-- {
		cut := 1 + rng.IntN(len(text)-1)
		send(text[:cut], delay)
		text = text[cut:]
		delay += time.Duration(rng.Int64N(int64(maxDelay)))
	}
	send(text, delay)
}
