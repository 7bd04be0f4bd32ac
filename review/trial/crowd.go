package main

import (
	"fmt"
	"time"
)

// Settings of crowd.
const (
	crowdIdle     = 400 // idle clients; the usual client_connections
	crowdPatience = 60 * time.Second
)

// crowd checks that a call gets an answer, or its connection an end, while idle clients hold all connections.
func crowd(t *trial, trouble bool) error {
	gateway, addr, err := serveGRPC(t)
	if err != nil {
		return err
	}
	if served, err := soundCalls(t, addr, 20); err != nil || served < 20 {
		return fmt.Errorf("before the trouble %d of 20 calls were served, err %w", served, err)
	}
	if trouble {
		for range crowdIdle {
			c, err := dialGRPC(addr)
			if err != nil {
				return err
			}
			defer c.conn.Close()
		}
		t.note("%d idle clients are connected", crowdIdle)
		time.Sleep(2 * time.Second)
	}
	c, err := dialGRPC(addr)
	if err != nil {
		t.note("a further client is refused: %v", err)
		return nil
	}
	defer c.conn.Close()
	t.note("a further client is connected and sends a call with a time of %s", grpcCallTimeout)
	sent := time.Now()
	end, err := c.begin(grpcMethod, grpcCallTimeout)
	if err != nil {
		t.note("its connection was closed: %v", err)
		return nil
	}
	select {
	case e := <-end:
		t.note("its call ended after %v: status %q message %q err %v", time.Since(sent).Round(time.Millisecond), e.status,
			e.message, e.err)
		return nil
	case <-time.After(crowdPatience):
	}
	if gateway.ended() {
		return broken("the gateway has ended")
	}
	return broken("a call on a connection that came up got no answer in %v, and the connection no end", crowdPatience)
}
