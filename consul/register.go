package consul

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/consul/api"
)

// Registration is how a front door stands in the catalogue.
type Registration struct {
	Name    string // of the service
	ID      string // unique at the agent; empty: the name
	Address string // host:port that clients reach it at
	Tags    []string
	Meta    map[string]string
	// TTL is after how long without a renewal the check turns critical; it is renewed three times as often. 0: 10 s.
	TTL time.Duration
	// DeregisterAfter is for how long it may be critical before the agent deregisters it, for one that dies without a word.
	// 0: 10 min; Consul takes no less than 1 min.
	DeregisterAfter time.Duration
	// OnResult hears of what went wrong, and of nil when all is well again; may be nil. It must not wait.
	OnResult func(error)
}

// deregisterTimeout is how long the agent may take to hear of the end.
const deregisterTimeout = 2 * time.Second

// Register keeps a registration at the agent until ctx ends: it registers, renews the check, registers again when the
// agent has lost it, turns critical when draining is closed, and deregisters at the end. It returns the end's error.
// An agent that can't be reached is asked again and again; the front door serves meanwhile.
func (c *Client) Register(ctx context.Context, r Registration, draining <-chan struct{}) error {
	host, port, err := net.SplitHostPort(r.Address)
	number, err2 := strconv.Atoi(port)
	if err = errors.Join(err, err2); err != nil || r.Name == "" {
		return fmt.Errorf("%w: a registration of %q at %q: %w", ErrConfig, r.Name, r.Address, cmp.Or(err, errors.New("no name")))
	}
	if r.TTL <= 0 {
		r.TTL = 10 * time.Second
	}
	if r.DeregisterAfter <= 0 {
		r.DeregisterAfter = 10 * time.Minute
	}
	r.ID = cmp.Or(r.ID, r.Name)
	check := "service:" + r.ID
	status, output := api.HealthPassing, "serving"
	there, tried := false, false // a registration that was cut off may be there all the same
	step := func(ctx context.Context) error {
		o, err := c.options(ctx)
		if err != nil {
			return err
		}
		if there {
			err := c.api.Agent().UpdateTTLOpts(check, output, status, o)
			if !isUnknownCheck(err) {
				return err
			}
			there = false // the agent began anew
		}
		tried = true
		err = c.api.Agent().ServiceRegisterOpts(&api.AgentServiceRegistration{ID: r.ID, Name: r.Name, Address: host, Port: number,
			Tags: r.Tags, Meta: r.Meta, Check: &api.AgentServiceCheck{CheckID: check, TTL: r.TTL.String(), Status: status, Notes: output,
				DeregisterCriticalServiceAfter: r.DeregisterAfter.String()}},
			api.ServiceRegisterOpts{ReplaceExistingChecks: true, Token: o.Token}.WithContext(ctx))
		there = there || err == nil
		return err
	}
	tick := time.NewTimer(0)
	defer tick.Stop()
	failing := false
	for {
		select {
		case <-tick.C:
		case <-draining:
			draining = nil
			status, output = api.HealthCritical, "draining"
		case <-ctx.Done():
			if !tried {
				return nil
			}
			ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
			defer cancel()
			o, err := c.options(ending)
			if err == nil {
				err = c.api.Agent().ServiceDeregisterOpts(r.ID, o)
			}
			if isUnknownCheck(err) {
				return nil
			}
			return err
		}
		asking, cancel := context.WithTimeout(ctx, max(r.TTL/3, 100*time.Millisecond))
		err := step(asking)
		cancel()
		if r.OnResult != nil && (err != nil || failing) && ctx.Err() == nil {
			r.OnResult(err)
		}
		failing = err != nil
		wait := r.TTL / 3
		if failing {
			wait = min(wait, time.Second)
		}
		tick.Reset(wait)
	}
}

// isUnknownCheck tells that the agent does not know what it was asked about.
func isUnknownCheck(err error) bool {
	var status api.StatusError
	return errors.As(err, &status) && (status.Code == http.StatusNotFound ||
		strings.Contains(status.Body, "does not have associated TTL")) // as agents before 1.11 say it, with a 500
}
