package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// movedRequests is how many keyed requests are under way when a host moves.
const movedRequests = 12

// movedHost checks that a keyed request runs once, while the host that has it is replaced by one of the same
// name in another block and then dies before it answers. With RESET_ONLY=1 the host dies and is not replaced.
func movedHost(t *trial, trouble bool) error {
	log := &runLog{}
	racks := []*rack{}
	for i := range 2 {
		racks = append(racks, &rack{t: t, name: fmt.Sprintf("rack-%d", i+1), ran: map[string]*activation{}})
	}
	nodes := map[string]*node{}
	var hosts []host
	add := func(name string, inRack int, born int64) (host, error) {
		n := &node{name: name, rack: racks[inRack-1], work: 250 * time.Millisecond, wait: 1250 * time.Millisecond, log: log}
		if err := n.start(); err != nil {
			return host{}, err
		}
		nodes[name] = n
		return host{Host: name, Dial: n.addr, Site: "floor-2", Class: "standard", Block: inRack, Health: "Ready", Share: 1,
			BornMS: born}, nil
	}
	for i, name := range []string{"s-a", "s-b", "s-c", "s-d", "s-e", "s-f"} {
		h, err := add(name, 1+i/3, 0)
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
	}
	old := nodes["s-a"]
	d, err := t.startDiscovery(hosts...)
	if err != nil {
		return err
	}
	listen, err := freeAddr()
	if err != nil {
		return err
	}
	gateway, err := t.servePlatform(d, listen, 1024)
	if err != nil {
		return err
	}
	time.Sleep(time.Second) // the watch is open

	transport := &http.Transport{MaxIdleConnsPerHost: movedRequests}
	answers := make([]platformAnswer, movedRequests)
	key := func(i int) string { return fmt.Sprintf("5c0f6e1a2b3d4c59a8b7c6d5e4f3%04x", i) }
	var clients sync.WaitGroup
	for i := range movedRequests {
		clients.Go(func() { answers[i] = activate(t, transport, listen, fmt.Sprintf("9b1f03aa5c7e%04x", i), key(i)) })
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		if os.Getenv("RESET_ONLY") != "1" {
			moved, err := add("s-a", 2, time.Now().UnixMilli())
			if err != nil {
				return err
			}
			d.change(moved)
		}
		time.Sleep(500 * time.Millisecond)
		old.crash()
	}
	clients.Wait()
	if gateway.ended() {
		return broken("the gateway has ended")
	}
	twice, served := 0, 0
	for i := range movedRequests {
		if answers[i].status == http.StatusOK {
			served++
		}
		runs := log.runsOf(key(i))
		if len(runs) > 1 {
			twice++
			t.note("key %s RAN %d TIMES: on %s of %s, then on %s of %s %v later", key(i), len(runs), runs[0].node, runs[0].rack,
				runs[1].node, runs[1].rack, runs[1].at.Sub(runs[0].at).Round(time.Millisecond))
		}
	}
	summary := fmt.Sprintf("%d keyed requests, %d served, %d ran twice", movedRequests, served, twice)
	t.note("%s", summary)
	if twice > 0 {
		return broken("%s", summary)
	}
	if served < movedRequests/2 {
		return fmt.Errorf("too few were served: %s", summary)
	}
	return nil
}
