package fakes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// agentNode is the agent's own node, to which services that are registered over HTTP belong.
const agentNode = "agent"

// checkDefinition is a check in a registration, with Consul's field names.
type checkDefinition struct{ CheckID, Name, TTL, Status, DeregisterCriticalServiceAfter string }

// serviceDefinition is the body of a registration, with Consul's field names.
type serviceDefinition struct {
	ID, Name, Address string
	Port              int
	Tags              []string
	Meta              map[string]string
	Check             *checkDefinition
	Checks            []checkDefinition
}

// handleRegister registers a service on the agent's own node.
func (c *Consul) handleRegister(w http.ResponseWriter, r *http.Request) {
	var service serviceDefinition
	if err := json.NewDecoder(r.Body).Decode(&service); err != nil || service.Name == "" {
		http.Error(w, fmt.Sprint("Request decode failed: ", err), http.StatusBadRequest)
		return
	}
	if service.Check != nil {
		service.Checks = append(service.Checks, *service.Check)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	i := ConsulInstance{
		Node: agentNode, NodeAddr: "127.0.0.1", ID: cmp.Or(service.ID, service.Name), Service: service.Name,
		Addr: service.Address, Port: service.Port, Tags: service.Tags, Meta: service.Meta,
	}
	definitions, err := service.checkDefinitions(i.ID)
	if err != nil {
		http.Error(w, "Invalid check: "+err.Error(), http.StatusBadRequest)
		return
	}
	for _, d := range definitions {
		name := cmp.Or(d.Name, "Service '"+service.Name+"' check")
		i.Checks = append(i.Checks, ConsulCheck{ID: d.CheckID, Name: name, Status: cmp.Or(d.Status, "critical")})
	}
	if old := c.instances[instanceKey(i.Node, i.ID)]; old != nil {
		old.stopTimers()
	}
	c.startTTLChecks(c.registerInstance(i), definitions)
}

// checkDefinitions returns the checks of a service, with Consul's default IDs for those without one.
func (s *serviceDefinition) checkDefinitions(serviceID string) ([]checkDefinition, error) {
	var definitions []checkDefinition
	for n, d := range s.Checks {
		d.CheckID = cmp.Or(d.CheckID, fmt.Sprintf("service:%s:%d", serviceID, n+1))
		if len(s.Checks) == 1 {
			d.CheckID = cmp.Or(s.Checks[0].CheckID, "service:"+serviceID)
		}
		if _, err := time.ParseDuration(cmp.Or(d.TTL, "1s")); err != nil {
			return nil, err
		}
		definitions = append(definitions, d)
	}
	return definitions, nil
}

// startTTLChecks replaces the TTL checks of a registered instance. c.mu must be held.
func (c *Consul) startTTLChecks(registered *instance, definitions []checkDefinition) {
	registered.ttlChecks = map[string]*ttlCheck{}
	for _, d := range definitions {
		if d.TTL == "" {
			continue
		}
		interval, _ := time.ParseDuration(d.TTL)
		deregisterAfter, _ := time.ParseDuration(d.DeregisterCriticalServiceAfter)
		check := &ttlCheck{interval: interval, deregisterAfter: deregisterAfter}
		id, checkID := registered.ID, d.CheckID
		check.expiry = time.AfterFunc(interval, func() { c.expireCheck(id, checkID, check) })
		registered.ttlChecks[d.CheckID] = check
	}
}

// expireCheck makes a TTL check critical and starts the time until its instance is deregistered. It does nothing if the
// check has been removed or replaced.
func (c *Consul) expireCheck(id, checkID string, check *ttlCheck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := c.instances[instanceKey(agentNode, id)]
	if in == nil || in.ttlChecks[checkID] != check {
		return
	}
	c.setCheck(agentNode, id, ConsulCheck{ID: checkID, Status: "critical", Output: "TTL expired"})
	if check.deregisterAfter > 0 {
		check.deregistration = time.AfterFunc(check.deregisterAfter, func() { c.Remove(agentNode, id) })
	}
}

// handleDeregister deregisters a service of the agent's own node.
func (c *Consul) handleDeregister(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.removeInstance(agentNode, r.PathValue("id")) {
		http.Error(w, fmt.Sprintf("Unknown service ID %q", r.PathValue("id")), http.StatusNotFound)
	}
}

// handleMaintenance switches the maintenance mode of a service of the agent's own node.
func (c *Consul) handleMaintenance(w http.ResponseWriter, r *http.Request) {
	on, err := strconv.ParseBool(r.URL.Query().Get("enable"))
	if err != nil {
		http.Error(w, "Missing value for enable", http.StatusBadRequest)
		return
	}
	c.SetMaintenance(agentNode, r.PathValue("id"), on, r.URL.Query().Get("reason"))
}

// handleCheckUpdate renews a TTL check and sets its status.
func (c *Consul) handleCheckUpdate(w http.ResponseWriter, r *http.Request) {
	var update struct{ Status, Output string }
	statuses := []string{"passing", "warning", "critical"}
	if err := json.NewDecoder(r.Body).Decode(&update); err != nil || !slices.Contains(statuses, update.Status) {
		http.Error(w, fmt.Sprintf("Invalid check status: %q", update.Status), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	checkID := r.PathValue("check")
	for _, i := range c.instances {
		check := i.ttlChecks[checkID]
		if check == nil {
			continue
		}
		check.expiry.Reset(check.interval)
		if check.deregistration != nil {
			check.deregistration.Stop()
		}
		c.setCheck(i.Node, i.ID, ConsulCheck{ID: checkID, Status: update.Status, Output: update.Output})
		return
	}
	message := fmt.Sprintf("Unknown check ID %q. Ensure that the check ID is passed, not the check name.", checkID)
	http.Error(w, message, http.StatusNotFound)
}
