package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Settings of leavers and crowd.
const (
	grpcMethod      = "/shop.Stock/List"
	grpcNodes       = 3
	leaverClients   = 4                // bad clients side by side
	leaverCalls     = 20               // that one of them sends at once, before it goes
	leaverTime      = 30 * time.Second // for which they come
	leaverQuiet     = 15 * time.Second // after them; the usual idle_timeout
	leaverSound     = 200              // calls of a sound client after that
	leaverSoundGap  = 100 * time.Millisecond
	grpcCallTimeout = "4S"
)

// serveGRPC starts backends and a gateway for calls over gRPC, and returns the gateway and its address.
func serveGRPC(t *trial) (gateway *process, addr string, err error) {
	backends := ""
	for i := range grpcNodes {
		name := fmt.Sprintf("node-%d", i)
		_, addr, err := t.startStandIn(name, "grpcserver")
		if err != nil {
			return nil, "", err
		}
		backends += fmt.Sprintf("\n[[backend]]\nname = %q\naddress = %q\nprotocol = \"grpc\"\n", name, addr)
	}
	listen, err := freeAddr()
	if err != nil {
		return nil, "", err
	}
	if addr, err = freeAddr(); err != nil {
		return nil, "", err
	}
	gateway, err = t.serveFile(addr, fmt.Sprintf(`listen = %q

[[class]]
name = "stock-lookup"
effect = "safe"
aim = "1s"
deadline = "4s"

[[plan]]
name = "shop"

[grpc]
listen = %q

[[grpc.method]]
name = %q
class = "stock-lookup"
%s`, listen, addr, grpcMethod, backends))
	return gateway, addr, err
}

// leavers checks that calls are served after bad clients have sent much at once and gone.
func leavers(t *trial, trouble bool) error {
	gateway, addr, err := serveGRPC(t)
	if err != nil {
		return err
	}
	if served, err := soundCalls(t, addr, 50); err != nil || served < 50 {
		return fmt.Errorf("before the trouble %d of 50 calls were served, err %w", served, err)
	}
	if trouble {
		var clients sync.WaitGroup
		var sent, conns atomic.Int64
		for range leaverClients {
			clients.Go(func() {
				for end := time.Now().Add(leaverTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					c, err := dialGRPC(addr)
					if err != nil {
						continue
					}
					conns.Add(1)
					for range leaverCalls {
						if _, err := c.begin(grpcMethod, grpcCallTimeout); err != nil {
							break
						}
						sent.Add(1)
					}
					time.Sleep(time.Duration(rand.IntN(1000)) * time.Microsecond)
					c.conn.Close()
				}
			})
		}
		clients.Wait()
		t.note("%d connections of clients that sent %d calls and went", conns.Load(), sent.Load())
	}
	time.Sleep(leaverQuiet)
	served, err := soundCalls(t, addr, leaverSound)
	switch {
	case gateway.ended():
		return broken("the gateway has ended")
	case err != nil:
		return err
	case served == 0:
		return broken("none of %d calls was served in %v, %v after the last of the clients that left; the backends are idle",
			leaverSound, leaverSound*leaverSoundGap, leaverQuiet)
	}
	return nil
}

// soundCalls makes calls one after another and returns how many ended with status 0.
func soundCalls(t *trial, addr string, n int) (served int, err error) {
	c, err := dialGRPC(addr)
	if err != nil {
		return 0, err
	}
	defer c.conn.Close()
	ends := map[string]int{}
	for range n {
		end, err := c.begin(grpcMethod, grpcCallTimeout)
		if err != nil {
			return served, err
		}
		e := <-end
		if e.err == nil && e.status == "0" {
			served++
		}
		ends[fmt.Sprintf("status %q message %q err %v", e.status, e.message, e.err)]++
		time.Sleep(leaverSoundGap)
	}
	for end, count := range ends {
		t.note("%d calls of a sound client ended with %s", count, end)
	}
	return served, nil
}
