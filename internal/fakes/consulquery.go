package fakes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// withFaults returns a handler that records each request, applies the current fault and checks the token, and passes
// the remaining requests to next.
func (c *Consul) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		bearer := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		token := cmp.Or(r.Header.Get("X-Consul-Token"), bearer)
		if len(c.queries) < maxQueries {
			c.queries = append(c.queries, ConsulQuery{r.URL.Path, r.URL.Query(), token, time.Now()})
		}
		requiredToken := c.token
		c.mu.Unlock()
		if c.applyFault(w, r) {
			return
		}
		if requiredToken != "" && token != requiredToken {
			http.Error(w, "ACL not found", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// applyFault handles a request if the current fault is the same for all requests, and reports whether it did.
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
			truncateResponse(w)
		case ConsulGarbled:
			c.writeHeaders(w, 99)
			io.WriteString(w, "<html>not what you think</html>")
		default:
			return false
		}
		return true
	}
}

// truncateResponse writes the headers and the beginning of the body of a response, and closes the connection.
func truncateResponse(w http.ResponseWriter) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Consul-Index: 99\r\n"+
		"X-Consul-KnownLeader: true\r\nX-Consul-LastContact: 0\r\nContent-Length: 4000\r\n\r\n"+
		"[{\"Node\":{\"Node\":\"cut\"")
	_ = buffer.Flush()
	conn.Close()
}

// writeHeaders sets the headers of a query's response.
func (c *Consul) writeHeaders(w http.ResponseWriter, index uint64) {
	c.mu.Lock()
	fault := c.fault
	c.mu.Unlock()
	if fault == ConsulZeroIndex {
		index = 0
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Consul-Index", strconv.FormatUint(index, 10))
	h.Set("X-Consul-KnownLeader", strconv.FormatBool(fault != ConsulNoLeader && fault != ConsulEmptyNoLeader))
	h.Set("X-Consul-LastContact", "0")
	if fault == ConsulACLFiltered {
		h.Set("X-Consul-Results-Filtered-By-ACLs", "true")
	}
}

// maxWait is the longest time that a blocking query waits.
const maxWait = 10 * time.Minute

// handleQuery answers a query for the health or the catalog of a service. A blocking query waits for its next change.
func (c *Consul) handleQuery(w http.ResponseWriter, r *http.Request) {
	parameters, service := r.URL.Query(), r.PathValue("service")
	from, err := strconv.ParseUint(cmp.Or(parameters.Get("index"), "0"), 10, 64)
	wait, err2 := time.ParseDuration(cmp.Or(parameters.Get("wait"), "5m"))
	if err != nil || err2 != nil {
		http.Error(w, "Invalid index or wait", http.StatusBadRequest)
		return
	}
	if datacenter := parameters.Get("dc"); datacenter != "" && datacenter != "dc1" {
		http.Error(w, "No path to datacenter", http.StatusInternalServerError)
		return
	}
	match, err := parseFilter(parameters.Get("filter"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !c.waitForChange(w, r, service, from, wait) {
		return
	}
	index, body, err := c.queryResult(r.URL.Path, parameters, service, match)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	c.writeHeaders(w, index)
	w.Write(body)
}

// waitForChange waits until the service's index differs from the one that a query has, or the wait is over. It returns
// false if the request has been answered or its client has disconnected.
func (c *Consul) waitForChange(
	w http.ResponseWriter, r *http.Request, service string, from uint64, wait time.Duration,
) bool {
	c.mu.Lock()
	if c.serviceIndexes[service] == 0 {
		c.serviceIndexes[service] = c.index
	}
	c.mu.Unlock()
	end := time.NewTimer(min(wait, maxWait))
	defer end.Stop()
	waited := false
	for {
		c.mu.Lock()
		index, changed, fault, delay := c.serviceIndexes[service], c.changed, c.fault, c.delay
		c.mu.Unlock()
		if fault == ConsulNoLeader && !r.URL.Query().Has("stale") {
			http.Error(w, "No cluster leader", http.StatusInternalServerError)
			return false
		}
		if from == 0 || index != from || fault.respondsImmediately() {
			if waited && delay > 0 {
				time.Sleep(delay)
			}
			return true
		}
		waited = true
		select {
		case <-changed:
			if c.applyFault(w, r) {
				return false
			}
		case <-r.Context().Done():
			return false
		case <-end.C:
			return true
		}
	}
}

// respondsImmediately reports whether blocking queries are answered at once with this fault.
func (f ConsulFault) respondsImmediately() bool {
	return f == ConsulZeroIndex || f == ConsulImmediate || f == ConsulEmptyNoLeader || f == ConsulACLFiltered
}

// queryResult returns the index of a service and the JSON list of those of its instances that a query selects.
func (c *Consul) queryResult(
	path string, parameters url.Values, service string, match func(*instance) bool,
) (uint64, []byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []*instance
	for _, in := range c.instances {
		if in.Service == service && match(in) && in.selectedBy(parameters) &&
			c.fault != ConsulEmptyNoLeader && c.fault != ConsulACLFiltered {
			found = append(found, in)
		}
	}
	near := parameters.Get("near")
	slices.SortFunc(found, func(a, b *instance) int {
		if (a.Node == near) != (b.Node == near) {
			return map[bool]int{true: -1, false: 1}[a.Node == near]
		}
		return cmp.Compare(instanceKey(a.Node, a.ID), instanceKey(b.Node, b.ID))
	})
	out := []any{}
	for _, in := range found {
		if strings.HasPrefix(path, "/v1/health/") {
			out = append(out, in.healthEntry())
		} else {
			out = append(out, in.catalogEntry())
		}
	}
	body, err := json.Marshal(out)
	return c.serviceIndexes[service], body, err
}

// selectedBy reports whether a query's tags, namespace, partition and passing parameters select the instance.
func (i *instance) selectedBy(parameters url.Values) bool {
	namespace, partition := parameters.Get("ns"), parameters.Get("partition")
	return i.hasTags(parameters["tag"]) && (namespace == "" || namespace == i.Namespace) &&
		(partition == "" || partition == i.Partition) && (!parameters.Has("passing") || i.status() == "passing")
}

// hasTags reports whether the instance has all of the tags.
func (i *instance) hasTags(tags []string) bool {
	for _, tag := range tags {
		if !slices.Contains(i.Tags, tag) {
			return false
		}
	}
	return true
}

// object is a JSON object.
type object = map[string]any

// healthEntry returns the instance as /v1/health/service lists it.
func (i *instance) healthEntry() object {
	checks := []object{}
	for _, check := range i.Checks {
		checks = append(checks, object{
			"Node": i.Node, "CheckID": check.ID, "Name": check.Name, "Status": check.Status,
			"Notes": "", "Output": check.Output,
			"ServiceID": i.ID, "ServiceName": i.Service, "ServiceTags": i.Tags, "Type": "", "Definition": object{},
			"CreateIndex": i.createIndex, "ModifyIndex": i.modifyIndex,
		})
	}
	return object{
		"Node": object{"ID": "", "Node": i.Node, "Address": i.NodeAddr, "Datacenter": "dc1",
			"TaggedAddresses": object{}, "Meta": i.NodeMeta, "CreateIndex": 1, "ModifyIndex": 1},
		"Service": object{"ID": i.ID, "Service": i.Service, "Tags": i.Tags, "Address": i.Addr, "Meta": i.Meta,
			"Port":    i.Port,
			"Weights": object{"Passing": i.Passing, "Warning": i.Warning}, "EnableTagOverride": false,
			"CreateIndex": i.createIndex, "ModifyIndex": i.modifyIndex,
			"Namespace": i.Namespace, "Partition": i.Partition},
		"Checks": checks,
	}
}

// catalogEntry returns the instance as /v1/catalog/service lists it.
func (i *instance) catalogEntry() object {
	return object{
		"ID": "", "Node": i.Node, "Address": i.NodeAddr, "Datacenter": "dc1", "TaggedAddresses": object{},
		"NodeMeta":  i.NodeMeta,
		"ServiceID": i.ID, "ServiceName": i.Service, "ServiceAddress": i.Addr, "ServiceTags": i.Tags,
		"ServiceMeta": i.Meta, "ServicePort": i.Port,
		"ServiceWeights": object{"Passing": i.Passing, "Warning": i.Warning}, "CreateIndex": i.createIndex,
		"ModifyIndex": i.modifyIndex, "Namespace": i.Namespace, "Partition": i.Partition,
	}
}
