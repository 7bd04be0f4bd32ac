package fakes

import (
	"cmp"
	"slices"
)

// notifyWatchers wakes blocking queries. c.mu must be held.
func (c *Consul) notifyWatchers() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// recordChange increments the index for a change of a service, wakes blocking queries and returns the new index. c.mu
// must be held.
func (c *Consul) recordChange(service string) uint64 {
	c.index++
	c.serviceIndexes[service] = c.index
	c.notifyWatchers()
	return c.index
}

// instanceKey is the key of an instance in Consul.instances.
func instanceKey(node, id string) string { return node + "/" + id }

// Register registers instances or changes them. A changed instance keeps its create index.
func (c *Consul) Register(instances ...ConsulInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range instances {
		c.registerInstance(i)
	}
}

// registerInstance registers an instance or changes it. c.mu must be held.
func (c *Consul) registerInstance(i ConsulInstance) *instance {
	i.Passing, i.Warning = cmp.Or(i.Passing, 1), cmp.Or(i.Warning, 1)
	index := c.recordChange(i.Service)
	in := c.instances[instanceKey(i.Node, i.ID)]
	if in == nil {
		in = &instance{createIndex: index, ttlChecks: map[string]*ttlCheck{}}
		c.instances[instanceKey(i.Node, i.ID)] = in
	}
	i.Checks = slices.Clone(i.Checks)
	in.ConsulInstance, in.modifyIndex = i, index
	return in
}

// Remove deregisters an instance.
func (c *Consul) Remove(node, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeInstance(node, id)
}

// removeInstance deregisters an instance and reports whether it was registered. c.mu must be held.
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

// stopTimers stops the timers of the TTL checks.
func (i *instance) stopTimers() {
	for _, check := range i.ttlChecks {
		check.expiry.Stop()
		if check.deregistration != nil {
			check.deregistration.Stop()
		}
	}
}

// SetCheck adds a check to an instance, or replaces the one with the same ID. Its status is passing, warning or
// critical.
func (c *Consul) SetCheck(node, id string, check ConsulCheck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setCheck(node, id, check)
}

// setCheck is SetCheck with c.mu held.
func (c *Consul) setCheck(node, id string, check ConsulCheck) {
	in := c.instances[instanceKey(node, id)]
	if in == nil {
		return
	}
	n := slices.IndexFunc(in.Checks, func(other ConsulCheck) bool { return other.ID == check.ID })
	if n >= 0 {
		check.Name = cmp.Or(check.Name, in.Checks[n].Name)
	}
	check.Name = cmp.Or(check.Name, check.ID)
	switch {
	case n < 0:
		in.Checks = append(in.Checks, check)
	case in.Checks[n] == check:
		return
	default:
		in.Checks[n] = check
	}
	c.recordChange(in.Service)
}

// SetMaintenance switches the maintenance mode of an instance on or off. An empty id means the whole node.
func (c *Consul) SetMaintenance(node, id string, on bool, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, in := range c.instances {
		if in.Node != node || id != "" && in.ID != id {
			continue
		}
		checkID := "_node_maintenance"
		if id != "" {
			checkID = "_service_maintenance:" + id
		}
		in.Checks = slices.DeleteFunc(in.Checks, func(check ConsulCheck) bool { return check.ID == checkID })
		if on {
			in.Checks = append(in.Checks,
				ConsulCheck{ID: checkID, Name: "Maintenance Mode", Status: "critical", Output: reason})
		}
		c.recordChange(in.Service)
	}
}

// Reset removes all instances and restarts the index at a low value, like a server whose data directory was emptied.
func (c *Consul) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, in := range c.instances {
		in.stopTimers()
	}
	c.instances, c.index = map[string]*instance{}, 2
	for service := range c.serviceIndexes {
		c.serviceIndexes[service] = c.index
	}
	c.notifyWatchers()
}

// Instances returns the aggregated status of each registered instance of a service, by "node/id".
func (c *Consul) Instances(service string) map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]string{}
	for id, in := range c.instances {
		if in.Service == service {
			out[id] = in.status()
		}
	}
	return out
}

// status returns the worst status of the instance's checks.
func (i *instance) status() string {
	worst := "passing"
	for _, check := range i.Checks {
		if check.Status == "critical" || check.Status == "warning" && worst == "passing" {
			worst = check.Status
		}
	}
	return worst
}
