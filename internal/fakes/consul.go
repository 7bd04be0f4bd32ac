package fakes

import (
	"cmp"
	"crypto/tls"
	"encoding/json"
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

// Fault is a way in which a Consul agent fails.
type ConsulFault int

// The faults.
const (
	ConsulHealthy            ConsulFault = iota
	ConsulRefusesConnections             // nothing listens, and what was open is cut
	ConsulSilent                         // questions are taken, and never answered
	ConsulServerError                    // 500 to everything
	ConsulTruncates                      // half an answer, and the connection ends
	ConsulNoLeader                       // as a server without a leader: stale questions get what is known, others a 500
	ConsulEmptyNoLeader                  // an empty list at once, and no leader known
	ConsulACLFiltered                    // lists are emptied by ACLs, and say so
	ConsulZeroIndex                      // answers at once, with index 0
	ConsulImmediate                      // answers at once, whatever the index that is asked for
	ConsulGarbled                        // 200, and no JSON
)

// Instance is a service's registration with its checks, as a Consul agent holds it.
type Instance struct {
	Node, NodeAddr       string
	NodeMeta             map[string]string
	ID, Service          string
	Addr                 string // of the service; empty: the node's
	Port                 int
	Tags                 []string
	Meta                 map[string]string
	Passing, Warning     int // weights
	Namespace, Partition string
	Checks               []Check
}

// Check is one health check.
type Check struct{ ID, Name, Status, Output string }

type instance struct {
	Instance
	createIndex, modifyIndex uint64
	ttlChecks                map[string]*ttlCheck // by check
}

type ttlCheck struct {
	interval, deregisterAfter time.Duration
	expiry, deregistration    *time.Timer
}

// Question is a query as it came.
type ConsulQuery struct {
	Path   string
	Params url.Values
	Token  string
	At     time.Time
}

// mostQuestions are kept.
const maxQueries = 20_000

// Consul is a stand-in for a Consul agent, written from its public API documentation: health and catalogue with
// blocking queries, the agent's services and TTL checks, ACL tokens, and failures on demand. It knows one
// datacenter, dc1. Filters are those of the form Service.Meta.KEY == "VALUE".
type Consul struct {
	tls  *tls.Config
	addr string

	mu          sync.Mutex
	server      *http.Server
	index       uint64
	lastIndex   map[string]uint64 // index of the last change, by service
	instances   map[string]*instance
	changed     chan struct{} // closed at the next change, also of the fault
	fault       ConsulFault
	delay       time.Duration
	lastContact time.Duration
	token       string
	queries     []ConsulQuery
}

// StartConsul starts one on a loopback port of the system's choosing; with a TLS configuration it speaks TLS.
func StartConsul(config *tls.Config) (*Consul, error) {
	c := &Consul{tls: config, index: 10, lastIndex: map[string]uint64{}, instances: map[string]*instance{}, changed: make(chan struct{})}
	return c, c.listen("127.0.0.1:0")
}

func (c *Consul) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	c.addr = ln.Addr().String()
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
	c.server = &http.Server{Handler: c.withFaults(mux), ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = c.server.Serve(ln) }()
	return nil
}

// Addr is where it listens.
func (c *Consul) Addr() string { return c.addr }

// Close ends it.
func (c *Consul) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = ConsulRefusesConnections
	for _, i := range c.instances {
		i.stopTimers()
	}
	c.server.Close()
}

// Fail has it fail in some way, or be well again.
func (c *Consul) SetFault(f ConsulFault) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.fault
	c.fault = f
	c.notifyWatchers()
	if f == ConsulRefusesConnections && was != ConsulRefusesConnections {
		return c.server.Close()
	}
	if was == ConsulRefusesConnections && f != ConsulRefusesConnections {
		return c.listen(c.addr)
	}
	return nil
}

// SetDelay is how long after a change those who wait for it are told.
func (c *Consul) SetDelay(d time.Duration) { c.mu.Lock(); c.delay = d; c.mu.Unlock() }

// SetLastContact is how old what it tells is, by its own word.
func (c *Consul) SetLastContact(d time.Duration) { c.mu.Lock(); c.lastContact = d; c.mu.Unlock() }

// RequireToken has it refuse who does not show this token; empty: nobody.
func (c *Consul) RequireToken(t string) { c.mu.Lock(); c.token = t; c.mu.Unlock() }

// Questions gives the queries that came, the oldest first.
func (c *Consul) Queries() []ConsulQuery {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.queries)
}

// wake tells those who wait; it wants the lock.
func (c *Consul) notifyWatchers() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// touch counts a change of a service; it wants the lock.
func (c *Consul) recordChange(service string) uint64 {
	c.index++
	c.lastIndex[service] = c.index
	c.notifyWatchers()
	return c.index
}

func instanceKey(node, id string) string { return node + "/" + id }

// Put registers instances, or changes them; one that is there keeps the index of its creation.
func (c *Consul) Register(is ...Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range is {
		c.registerInstance(i)
	}
}

func (c *Consul) registerInstance(i Instance) *instance {
	i.Passing, i.Warning = cmp.Or(i.Passing, 1), cmp.Or(i.Warning, 1)
	at := c.recordChange(i.Service)
	in := c.instances[instanceKey(i.Node, i.ID)]
	if in == nil {
		in = &instance{createIndex: at, ttlChecks: map[string]*ttlCheck{}}
		c.instances[instanceKey(i.Node, i.ID)] = in
	}
	i.Checks = slices.Clone(i.Checks)
	in.Instance, in.modifyIndex = i, at
	return in
}

// Remove deregisters an instance.
func (c *Consul) Remove(node, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeInstance(node, id)
}

func (c *Consul) removeInstance(node, id string) bool {
	in := c.instances[instanceKey(node, id)]
	if in == nil {
		return false
	}
	in.stopTimers()
	delete(c.instances, instanceKey(node, id))
	c.recordChange(in.Service)
	return true
}

func (i *instance) stopTimers() {
	for _, t := range i.ttlChecks {
		t.expiry.Stop()
		if t.deregistration != nil {
			t.deregistration.Stop()
		}
	}
}

// SetCheck puts a check of an instance into a state: passing, warning or critical. One that is not there is added.
func (c *Consul) SetCheck(node, id string, k Check) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setCheck(node, id, k)
}

func (c *Consul) setCheck(node, id string, k Check) {
	in := c.instances[instanceKey(node, id)]
	if in == nil {
		return
	}
	n := slices.IndexFunc(in.Checks, func(o Check) bool { return o.ID == k.ID })
	if n >= 0 {
		k.Name = cmp.Or(k.Name, in.Checks[n].Name)
	}
	k.Name = cmp.Or(k.Name, k.ID)
	switch {
	case n < 0:
		in.Checks = append(in.Checks, k)
	case in.Checks[n] == k:
		return
	default:
		in.Checks[n] = k
	}
	c.recordChange(in.Service)
}

// Maintain puts an instance into maintenance mode, or ends it; an empty id means the whole node.
func (c *Consul) SetMaintenance(node, id string, on bool, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, in := range c.instances {
		if in.Node != node || id != "" && in.ID != id {
			continue
		}
		check := "_node_maintenance"
		if id != "" {
			check = "_service_maintenance:" + id
		}
		in.Checks = slices.DeleteFunc(in.Checks, func(k Check) bool { return k.ID == check })
		if on {
			in.Checks = append(in.Checks, Check{ID: check, Name: "Maintenance Mode", Status: "critical", Output: reason})
		}
		c.recordChange(in.Service)
	}
}

// Reset has it lose all that it knew and count from the start, as a server with a fresh data directory.
func (c *Consul) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, in := range c.instances {
		in.stopTimers()
	}
	c.instances, c.index = map[string]*instance{}, 2
	for s := range c.lastIndex {
		c.lastIndex[s] = c.index
	}
	c.notifyWatchers()
}

// Instances tells which instances of a service it holds, by node and id, with the state that their checks add up to.
func (c *Consul) Instances(service string) map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]string{}
	for k, in := range c.instances {
		if in.Service == service {
			out[k] = in.status()
		}
	}
	return out
}

func (i *instance) status() string {
	worst := "passing"
	for _, k := range i.Checks {
		if k.Status == "critical" || k.Status == "warning" && worst == "passing" {
			worst = k.Status
		}
	}
	return worst
}

// guard deals with faults and tokens before any answer.
func (c *Consul) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		token := cmp.Or(r.Header.Get("X-Consul-Token"), strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
		if len(c.queries) < maxQueries {
			c.queries = append(c.queries, ConsulQuery{r.URL.Path, r.URL.Query(), token, time.Now()})
		}
		wanted := c.token
		c.mu.Unlock()
		if c.applyFault(w, r) {
			return
		}
		if wanted != "" && token != wanted {
			http.Error(w, "ACL not found", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// faulty answers as the present fault has it, if that is one that does not look at the question.
func (c *Consul) applyFault(w http.ResponseWriter, r *http.Request) bool {
	for {
		c.mu.Lock()
		fault, changed := c.fault, c.changed
		c.mu.Unlock()
		switch fault {
		case ConsulSilent:
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return true
			}
		case ConsulServerError:
			http.Error(w, "rpc error making call: EOF", http.StatusInternalServerError)
		case ConsulTruncates:
			conn, buf, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return true
			}
			fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Consul-Index: 99\r\n"+
				"X-Consul-KnownLeader: true\r\nX-Consul-LastContact: 0\r\nContent-Length: 4000\r\n\r\n[{\"Node\":{\"Node\":\"cut\"")
			_ = buf.Flush()
			conn.Close()
		case ConsulGarbled:
			c.writeHeaders(w, 99)
			io.WriteString(w, "<html>not what you think</html>")
		default:
			return false
		}
		return true
	}
}

func (c *Consul) writeHeaders(w http.ResponseWriter, index uint64) {
	c.mu.Lock()
	fault, contact := c.fault, c.lastContact
	c.mu.Unlock()
	if fault == ConsulZeroIndex {
		index = 0
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Consul-Index", strconv.FormatUint(index, 10))
	h.Set("X-Consul-KnownLeader", strconv.FormatBool(fault != ConsulNoLeader && fault != ConsulEmptyNoLeader))
	h.Set("X-Consul-LastContact", strconv.FormatInt(contact.Milliseconds(), 10))
	if fault == ConsulACLFiltered {
		h.Set("X-Consul-Results-Filtered-By-ACLs", "true")
	}
}

// query answers for the health and the catalogue of a service, at once or when it has changed.
func (c *Consul) handleQuery(w http.ResponseWriter, r *http.Request) {
	q, service := r.URL.Query(), r.PathValue("service")
	from, err := strconv.ParseUint(cmp.Or(q.Get("index"), "0"), 10, 64)
	wait, err2 := time.ParseDuration(cmp.Or(q.Get("wait"), "5m"))
	if err != nil || err2 != nil {
		http.Error(w, "Invalid index or wait", http.StatusBadRequest)
		return
	}
	if dc := q.Get("dc"); dc != "" && dc != "dc1" {
		http.Error(w, "No path to datacenter", http.StatusInternalServerError)
		return
	}
	match, err := parseFilter(q.Get("filter"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	if c.lastIndex[service] == 0 {
		c.lastIndex[service] = c.index
	}
	c.mu.Unlock()
	end := time.NewTimer(min(wait, 10*time.Minute))
	defer end.Stop()
	waited := false
	for {
		c.mu.Lock()
		index, changed, fault, delay := c.lastIndex[service], c.changed, c.fault, c.delay
		c.mu.Unlock()
		if fault == ConsulNoLeader && !q.Has("stale") {
			http.Error(w, "No cluster leader", http.StatusInternalServerError)
			return
		}
		if from == 0 || index != from || fault == ConsulZeroIndex || fault == ConsulImmediate || fault == ConsulEmptyNoLeader || fault == ConsulACLFiltered {
			if waited && delay > 0 {
				time.Sleep(delay)
			}
			break
		}
		waited = true
		select {
		case <-changed:
			if c.applyFault(w, r) {
				return
			}
			continue
		case <-r.Context().Done():
			return
		case <-end.C:
		}
		break
	}
	c.mu.Lock()
	index, fault := c.lastIndex[service], c.fault
	var found []*instance
	for _, in := range c.instances {
		if in.Service == service && in.hasTags(q["tag"]) && match(in) && (q.Get("ns") == "" || q.Get("ns") == in.Namespace) &&
			(q.Get("partition") == "" || q.Get("partition") == in.Partition) &&
			(!q.Has("passing") || in.status() == "passing") && fault != ConsulEmptyNoLeader && fault != ConsulACLFiltered {
			found = append(found, in)
		}
	}
	slices.SortFunc(found, func(a, b *instance) int {
		near := q.Get("near")
		if (a.Node == near) != (b.Node == near) {
			return map[bool]int{true: -1, false: 1}[a.Node == near]
		}
		return cmp.Compare(instanceKey(a.Node, a.ID), instanceKey(b.Node, b.ID))
	})
	out := []any{}
	for _, in := range found {
		if strings.HasPrefix(r.URL.Path, "/v1/health/") {
			out = append(out, in.healthEntry())
		} else {
			out = append(out, in.catalogEntry())
		}
	}
	text, err := json.Marshal(out)
	c.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	c.writeHeaders(w, index)
	w.Write(text)
}

func (i *instance) hasTags(tags []string) bool {
	for _, t := range tags {
		if !slices.Contains(i.Tags, t) {
			return false
		}
	}
	return true
}

// filter reads a filter expression.
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

type object = map[string]any

func (i *instance) healthEntry() object {
	checks := []object{}
	for _, k := range i.Checks {
		checks = append(checks, object{"Node": i.Node, "CheckID": k.ID, "Name": k.Name, "Status": k.Status, "Notes": "", "Output": k.Output,
			"ServiceID": i.ID, "ServiceName": i.Service, "ServiceTags": i.Tags, "Type": "", "Definition": object{},
			"CreateIndex": i.createIndex, "ModifyIndex": i.modifyIndex})
	}
	return object{
		"Node": object{"ID": "", "Node": i.Node, "Address": i.NodeAddr, "Datacenter": "dc1", "TaggedAddresses": object{},
			"Meta": i.NodeMeta, "CreateIndex": 1, "ModifyIndex": 1},
		"Service": object{"ID": i.ID, "Service": i.Service, "Tags": i.Tags, "Address": i.Addr, "Meta": i.Meta, "Port": i.Port,
			"Weights": object{"Passing": i.Passing, "Warning": i.Warning}, "EnableTagOverride": false,
			"CreateIndex": i.createIndex, "ModifyIndex": i.modifyIndex, "Namespace": i.Namespace, "Partition": i.Partition},
		"Checks": checks,
	}
}

func (i *instance) catalogEntry() object {
	return object{"ID": "", "Node": i.Node, "Address": i.NodeAddr, "Datacenter": "dc1", "TaggedAddresses": object{}, "NodeMeta": i.NodeMeta,
		"ServiceID": i.ID, "ServiceName": i.Service, "ServiceAddress": i.Addr, "ServiceTags": i.Tags, "ServiceMeta": i.Meta,
		"ServicePort": i.Port, "ServiceWeights": object{"Passing": i.Passing, "Warning": i.Warning},
		"CreateIndex": i.createIndex, "ModifyIndex": i.modifyIndex, "Namespace": i.Namespace, "Partition": i.Partition}
}

// agentNode is the node that the agent's own services are at.
const agentNode = "agent"

type checkDefinition struct{ CheckID, Name, TTL, Status, DeregisterCriticalServiceAfter string }

// register takes a service of the agent's own.
func (c *Consul) handleRegister(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID, Name, Address string
		Port              int
		Tags              []string
		Meta              map[string]string
		Check             *checkDefinition
		Checks            []checkDefinition
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Name == "" {
		http.Error(w, fmt.Sprint("Request decode failed: ", err), http.StatusBadRequest)
		return
	}
	if in.Check != nil {
		in.Checks = append(in.Checks, *in.Check)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	i := Instance{Node: agentNode, NodeAddr: "127.0.0.1", ID: cmp.Or(in.ID, in.Name), Service: in.Name, Addr: in.Address, Port: in.Port,
		Tags: in.Tags, Meta: in.Meta}
	var definitions []checkDefinition
	for n, k := range in.Checks {
		k.CheckID = cmp.Or(k.CheckID, fmt.Sprintf("service:%s:%d", i.ID, n+1))
		if len(in.Checks) == 1 {
			k.CheckID = cmp.Or(in.Checks[0].CheckID, "service:"+i.ID)
		}
		if _, err := time.ParseDuration(cmp.Or(k.TTL, "1s")); err != nil {
			http.Error(w, "Invalid check: "+err.Error(), http.StatusBadRequest)
			return
		}
		i.Checks = append(i.Checks, Check{ID: k.CheckID, Name: cmp.Or(k.Name, "Service '"+in.Name+"' check"), Status: cmp.Or(k.Status, "critical")})
		definitions = append(definitions, k)
	}
	if old := c.instances[instanceKey(i.Node, i.ID)]; old != nil {
		old.stopTimers()
	}
	kept := c.registerInstance(i)
	kept.ttlChecks = map[string]*ttlCheck{}
	for _, k := range definitions {
		if k.TTL == "" {
			continue
		}
		every, _ := time.ParseDuration(k.TTL)
		goneAfter, _ := time.ParseDuration(k.DeregisterCriticalServiceAfter)
		t := &ttlCheck{interval: every, deregisterAfter: goneAfter}
		id, check := i.ID, k.CheckID
		t.expiry = time.AfterFunc(every, func() { c.expireCheck(id, check, t) })
		kept.ttlChecks[k.CheckID] = t
	}
}

// expired is a TTL check that was not renewed in time.
func (c *Consul) expireCheck(id, check string, t *ttlCheck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := c.instances[instanceKey(agentNode, id)]
	if in == nil || in.ttlChecks[check] != t {
		return
	}
	c.setCheck(agentNode, id, Check{ID: check, Status: "critical", Output: "TTL expired"})
	if t.deregisterAfter > 0 {
		t.deregistration = time.AfterFunc(t.deregisterAfter, func() { c.Remove(agentNode, id) })
	}
}

func (c *Consul) handleDeregister(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.removeInstance(agentNode, r.PathValue("id")) {
		http.Error(w, fmt.Sprintf("Unknown service ID %q", r.PathValue("id")), http.StatusNotFound)
	}
}

func (c *Consul) handleMaintenance(w http.ResponseWriter, r *http.Request) {
	on, err := strconv.ParseBool(r.URL.Query().Get("enable"))
	if err != nil {
		http.Error(w, "Missing value for enable", http.StatusBadRequest)
		return
	}
	c.SetMaintenance(agentNode, r.PathValue("id"), on, r.URL.Query().Get("reason"))
}

// update renews a TTL check.
func (c *Consul) handleCheckUpdate(w http.ResponseWriter, r *http.Request) {
	var in struct{ Status, Output string }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || !slices.Contains([]string{"passing", "warning", "critical"}, in.Status) {
		http.Error(w, fmt.Sprintf("Invalid check status: %q", in.Status), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	check := r.PathValue("check")
	for _, i := range c.instances {
		t := i.ttlChecks[check]
		if t == nil {
			continue
		}
		t.expiry.Reset(t.interval)
		if t.deregistration != nil {
			t.deregistration.Stop()
		}
		c.setCheck(i.Node, i.ID, Check{ID: check, Status: in.Status, Output: in.Output})
		return
	}
	http.Error(w, fmt.Sprintf("Unknown check ID %q. Ensure that the check ID is passed, not the check name.", check), http.StatusNotFound)
}
