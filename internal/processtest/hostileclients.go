package processtest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// HostileClient is a kind of client that misuses its connections.
type HostileClient struct {
	Name string
	// Connections is the number of connections that the client holds or floods at the same time.
	Connections int
	// Data returns what the client writes on a connection, or as the next part of a flood. number differs for each call.
	Data func(number int) string
	// Flood means that the client writes at full speed until the gateway closes the connection. Otherwise it writes once,
	// and keeps the connection until the gateway closes it.
	Flood bool
	// LeaveAfter is when the client closes a connection that it holds, with unread data; 0 means never.
	LeaveAfter time.Duration
}

// hostileTick is the time between two connections of a client that holds them.
const hostileTick = 100 * time.Millisecond

// Run misuses the gateway at addr until ctx ends.
func (h HostileClient) Run(ctx context.Context, addr string) {
	var running sync.WaitGroup
	for i := range h.Connections {
		running.Go(func() {
			if h.Flood {
				flood(ctx, addr, func(batch int) string { return h.Data(i<<24 + batch) })
			} else {
				h.hold(ctx, addr, i)
			}
		})
	}
	running.Wait()
}

// hold opens a connection, writes, and keeps it, again and again.
func (h HostileClient) hold(ctx context.Context, addr string, number int) {
	ticker := time.NewTicker(hostileTick)
	defer ticker.Stop()
	for count := 0; ctx.Err() == nil; count++ {
		h.holdOne(ctx, addr, number<<24+count)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (h HostileClient) holdOne(ctx context.Context, addr string, number int) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	if h.LeaveAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, h.LeaveAfter)
		defer cancel()
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if _, err := io.WriteString(conn, h.Data(number)); err == nil && h.LeaveAfter == 0 {
		_, _ = io.Copy(io.Discard, conn)
	} else if err == nil {
		<-ctx.Done() // the responses stay unread
	}
}

// flood writes batches of requests to a gateway at full speed until ctx ends. It uses one connection at a time, and
// opens the next one when the gateway closes it. It returns the number of connections.
func flood(ctx context.Context, addr string, batch func(number int) string) (connections int) {
	for batchNumber := 0; ctx.Err() == nil; {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		connections++
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		ended := make(chan struct{})
		go func() {
			_, _ = io.Copy(io.Discard, conn)
			conn.Close() // a write that waits must end too
			close(ended)
		}()
		for err == nil {
			_, err = io.WriteString(conn, batch(batchNumber))
			batchNumber++
		}
		<-ended
		stop()
		conn.Close()
	}
	return connections
}

// headerFieldBytes is the size of the header fields of clients that send many of them.
const headerFieldBytes = 15 << 10

// headerFields returns header lines with different names and values of the given length, headerFieldBytes in all.
func headerFields(valueBytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < headerFieldBytes; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":" + strings.Repeat("v", valueBytes) + "\r\n")
	}
	return b.String()
}

// requestHeader returns the header of a request with the given ID, without the empty line that ends it. A request of
// class "pay" is a POST with a key of its own.
func requestHeader(class, plan string, customer, id uint64) string {
	method, key := "GET", ""
	if class == "pay" {
		method, key = "POST", fmt.Sprintf("Idempotency-Key: key-%x\r\n", id)
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: x\r\nRequest-Id: %016x\r\nRequest-Class: %[2]s\r\nX-Tier: %[4]s\r\n"+
		"X-Api-Key: %016[5]x\r\nRequest-Timeout: 2.000\r\nX-Call-Terms: units=1,spread=1,first=0\r\n%[6]s",
		method, class, id, plan, customer, key)
}

// repeated returns a function that concatenates count requests. Each has a number of its own.
func repeated(count int, request func(number int) string) func(number int) string {
	return func(number int) string {
		var b strings.Builder
		for i := range count {
			b.WriteString(request(number*count + i))
		}
		return b.String()
	}
}

// maxCustomer bounds the numbers of customers in the protocol.
const maxCustomer = 1 << 33

// RandomHostileClients returns the hostile clients of one gateway in a soak: one to three kinds, at random. firstID is
// the first of the request IDs that they use.
func RandomHostileClients(rng *rand.Rand, firstID uint64) []HostileClient {
	crowd := func() int { return 50 + rng.IntN(500) }
	nextID := func() uint64 { // the first ID of a kind of clients
		firstID += 1 << 44
		return firstID
	}
	bad := func(class, body string) func(int) string {
		first, fields := nextID(), headerFields([]int{0, 20, 160}[rng.IntN(3)])
		return func(n int) string { return requestHeader(class, "big", 9, first+uint64(n)) + fields + body }
	}
	valid := func(class, plan, body string) func(int) string {
		first := nextID()
		return func(n int) string {
			id := first + uint64(n)
			return requestHeader(class, plan, id%maxCustomer, id) + body
		}
	}
	kinds := []HostileClient{
		{Name: "unfinished headers", Connections: crowd(), Data: bad("look", "")},
		{Name: "half bodies", Connections: crowd(), Data: bad("pay", "Content-Length: 65536\r\n\r\n"+strings.Repeat("x", 32<<10))},
		{Name: "missing bodies", Connections: crowd(), Data: bad("pay", "Content-Length: 60000\r\n\r\n")},
		{Name: "chunked bodies", Connections: crowd(), Data: bad("pay", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")},
		{Name: "large bodies", Connections: crowd(), Data: bad("pay", "Content-Length: 70000\r\n\r\n")},
		{Name: "idle", Connections: crowd(), Data: func(int) string { return "" }},
		{Name: "leavers", Connections: 5 + rng.IntN(20), Data: repeated(1+rng.IntN(500), valid("pay", "big", "Content-Length: 4\r\n\r\nbody")),
			LeaveAfter: time.Duration(1+rng.IntN(200)) * time.Millisecond},
		{Name: "flood without ids", Connections: 1, Flood: true,
			Data: repeated(100, func(int) string { return "GET /look HTTP/1.1\r\nHost: x\r\n\r\n" })},
		{Name: "flood of new classes", Connections: 1, Flood: true,
			Data: repeated(100, func(n int) string { return requestHeader(fmt.Sprintf("no-%x", n), "big", 9, uint64(n)) + "\r\n" })},
		{Name: "flood of new customers", Connections: 1 + rng.IntN(4), Flood: true, Data: repeated(100, valid("look", "shop", "\r\n"))},
		{Name: "flood of ready", Connections: 1 + rng.IntN(4), Flood: true,
			Data: repeated(100, func(int) string { return "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n" })},
		{Name: "flood of noise", Connections: 1, Flood: true, Data: func(int) string { return "\x16\x03\x01\r\n" }},
	}
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	return kinds[:1+rng.IntN(3)]
}
