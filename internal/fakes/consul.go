package fakes

import (
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ConsulFault is a way in which a Consul agent fails.
type ConsulFault int

// The faults of a Consul agent. The zero value is a healthy agent.
const (
	ConsulHealthy            ConsulFault = iota
	ConsulRefusesConnections             // nothing listens, and open connections are closed
	ConsulSilent                         // requests are accepted and not answered
	ConsulServerError                    // all requests get 500
	ConsulTruncates                      // the connection is closed in the middle of the response
	ConsulNoLeader                       // no leader is known: stale queries get the list, others get 500
	ConsulEmptyNoLeader                  // no leader is known: queries get an empty list at once
	ConsulACLFiltered                    // ACLs filter out all instances, which a response header says
	ConsulZeroIndex                      // queries are answered at once, with index 0
	ConsulImmediate                      // queries are answered at once, whatever their index is
	ConsulGarbled                        // all requests get 200 with a body that is not JSON
)

// ConsulInstance is an instance of a service with its checks, as registered with a Consul agent.
type ConsulInstance struct {
	Node, NodeAddr       string
	NodeMeta             map[string]string
	ID, Service          string
	Addr                 string // of the service; empty means the node's address
	Port                 int
	Tags                 []string
	Meta                 map[string]string
	Passing, Warning     int // weights
	Namespace, Partition string
	Checks               []ConsulCheck
}

// ConsulCheck is one health check of a ConsulInstance.
type ConsulCheck struct{ ID, Name, Status, Output string }

// instance is a registered ConsulInstance with its indexes and TTL checks.
type instance struct {
	ConsulInstance
	createIndex, modifyIndex uint64
	ttlChecks                map[string]*ttlCheck // by check ID
}

// ttlCheck becomes critical when it is not renewed within interval. deregisterAfter is the time from then until the
// instance is deregistered; 0 means never.
type ttlCheck struct {
	interval, deregisterAfter time.Duration
	expiry, deregistration    *time.Timer
}

// ConsulQuery is a request that the agent received.
type ConsulQuery struct {
	Path   string
	Params url.Values
	Token  string
	At     time.Time
}

// maxQueries is the number of requests that Consul.queries records; later ones are omitted.
const maxQueries = 20_000

// Consul is a fake Consul agent, written from the public API documentation: health and catalog endpoints with
// blocking queries, service registration and TTL checks, ACL tokens, and faults on demand. It knows one
// datacenter, dc1. It understands filters of the form Service.Meta.KEY == "VALUE". It is safe for concurrent use.
type Consul struct {
	tls  *tls.Config
	port *portReservation // kept while the agent refuses connections

	mu             sync.Mutex
	listener       net.Listener
	server         *http.Server
	index          uint64
	serviceIndexes map[string]uint64 // modify index of the last change, by service
	instances      map[string]*instance
	changed        chan struct{} // closed and replaced at each change, also of the fault
	fault          ConsulFault
	delay          time.Duration
	token          string
	queries        []ConsulQuery
}

// StartConsul starts a fake agent on a free loopback port. With a TLS configuration, it speaks TLS.
func StartConsul(config *tls.Config) (*Consul, error) {
	port, err := reservePort()
	if err != nil {
		return nil, err
	}
	c := &Consul{
		tls: config, port: port, index: 10, serviceIndexes: map[string]uint64{}, instances: map[string]*instance{},
		changed: make(chan struct{}),
	}
	return c, c.listen()
}

// listen starts the server.
func (c *Consul) listen() error {
	ln, err := c.port.listen()
	if err != nil {
		return err
	}
	if c.tls != nil {
		ln = tls.NewListener(ln, c.tls)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{service}", c.handleQuery)
	mux.HandleFunc("GET /v1/catalog/service/{service}", c.handleQuery)
	mux.HandleFunc("PUT /v1/agent/service/register", c.handleRegister)
	mux.HandleFunc("PUT /v1/agent/service/deregister/{id}", c.handleDeregister)
	mux.HandleFunc("PUT /v1/agent/service/maintenance/{id}", c.handleMaintenance)
	mux.HandleFunc("PUT /v1/agent/check/update/{check}", c.handleCheckUpdate)
	server := &http.Server{Handler: c.withFaults(mux), ErrorLog: log.New(io.Discard, "", 0)}
	c.listener, c.server = ln, server
	go func() { _ = server.Serve(ln) }()
	return nil
}

// Addr returns the address that the agent listens on.
func (c *Consul) Addr() string { return c.port.addr.String() }

// Close stops the agent and its timers.
func (c *Consul) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = ConsulRefusesConnections
	for _, registered := range c.instances {
		registered.stopTimers()
	}
	_ = c.stopListening()
	c.port.release()
}

// stopListening closes the listener and all connections.
func (c *Consul) stopListening() error {
	err := c.listener.Close() // the server would close it only once Serve has begun
	_ = c.server.Close()      // returns that the listener is closed
	return err
}

// SetFault makes the agent fail in one way, or recover with ConsulHealthy.
func (c *Consul) SetFault(fault ConsulFault) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.fault
	c.fault = fault
	c.notifyWatchers()
	if fault == ConsulRefusesConnections && previous != ConsulRefusesConnections {
		return c.stopListening()
	}
	if previous == ConsulRefusesConnections && fault != ConsulRefusesConnections {
		return c.listen()
	}
	return nil
}

// SetDelay sets the time between a change and the response to blocking queries.
func (c *Consul) SetDelay(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = delay
}

// RequireToken makes the agent reject requests without this ACL token. Empty accepts all requests.
func (c *Consul) RequireToken(token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token = token
}

// Queries returns the first maxQueries requests that the agent received, the oldest first.
func (c *Consul) Queries() []ConsulQuery {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.queries)
}

// parseFilter parses a filter expression into a function that matches instances. An empty expression matches all.
func parseFilter(text string) (func(*instance) bool, error) {
	if text == "" {
		return func(*instance) bool { return true }, nil
	}
	left, right, ok := strings.Cut(text, "==")
	name, isMeta := strings.CutPrefix(strings.TrimSpace(left), "Service.Meta.")
	value, err := strconv.Unquote(strings.TrimSpace(right))
	if !ok || !isMeta || err != nil {
		return nil, fmt.Errorf("Failed to create boolean expression evaluator: %s", text)
	}
	return func(i *instance) bool { return i.Meta[name] == value }, nil
}
