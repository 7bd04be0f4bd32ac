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

// Registration describes a gateway in the catalog.
type Registration struct {
	Name    string // of the service
	ID      string // unique at the agent; default Name
	Address string // host:port at which clients reach the gateway
	Tags    []string
	Meta    map[string]string
	// TTL is how long without a renewal the health check turns critical. It is renewed every third of it.
	// Default 10 s.
	TTL time.Duration
	// DeregisterAfter is how long the check may be critical before the agent removes the registration, so
	// that a gateway that crashed is removed too. Consul takes no less than 1 min. Default 10 min.
	DeregisterAfter time.Duration
	// OnResult is called with each error, and with nil when a call succeeds after one. It must not block.
	// Nil means that nobody is told.
	OnResult func(error)
}

const (
	defaultTTL             = 10 * time.Second
	defaultDeregisterAfter = 10 * time.Minute
	// deregisterTimeout limits the call to the agent at the end.
	deregisterTimeout = 2 * time.Second
	// maxRegisterRetry is the longest delay before a failed call to the agent is made again.
	maxRegisterRetry = time.Second
	// minRegisterTimeout is the least time that a call to the agent gets; otherwise it gets a third of TTL.
	minRegisterTimeout = 100 * time.Millisecond
)

// Register keeps a gateway registered at the agent until ctx ends. It registers the service, renews its
// check, registers again if the agent has lost it, turns the check critical when draining is closed, and
// deregisters the service at the end. It blocks until then, and returns the error of the last call. While
// the agent can't be reached it goes on trying; the gateway is not affected.
func (c *Client) Register(ctx context.Context, registration Registration, draining <-chan struct{}) error {
	r, err := newRegistrar(c, registration)
	if err != nil {
		return err
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	failing := false
	for {
		select {
		case <-timer.C:
		case <-draining:
			draining = nil
			r.status, r.output = api.HealthCritical, "draining"
		case <-ctx.Done():
			return r.deregister(ctx)
		}
		err := r.renewWithin(ctx, max(r.TTL/3, minRegisterTimeout))
		if r.OnResult != nil && (err != nil || failing) && ctx.Err() == nil {
			r.OnResult(err)
		}
		failing = err != nil
		delay := r.TTL / 3
		if failing {
			delay = min(delay, maxRegisterRetry)
		}
		timer.Reset(delay)
	}
}

// registrar is a registration with its state.
type registrar struct {
	Registration
	client         *Client
	host           string
	port           int
	checkID        string
	status, output string // of the check

	registered bool
	attempted  bool // the agent may hold a registration, even if the call failed
}

func newRegistrar(client *Client, registration Registration) (*registrar, error) {
	host, portText, err := net.SplitHostPort(registration.Address)
	port, portErr := strconv.Atoi(portText)
	if err = errors.Join(err, portErr); err != nil || registration.Name == "" {
		return nil, fmt.Errorf("%w: registration of %q at %q: %w", ErrConfig, registration.Name, registration.Address,
			cmp.Or(err, errors.New("no name")))
	}
	if registration.TTL <= 0 {
		registration.TTL = defaultTTL
	}
	if registration.DeregisterAfter <= 0 {
		registration.DeregisterAfter = defaultDeregisterAfter
	}
	registration.ID = cmp.Or(registration.ID, registration.Name)
	return &registrar{
		Registration: registration,
		client:       client,
		host:         host,
		port:         port,
		checkID:      "service:" + registration.ID,
		status:       api.HealthPassing,
		output:       "serving",
	}, nil
}

func (r *registrar) renewWithin(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.renew(ctx)
}

// renew updates the check, or registers the service if the agent does not know it.
func (r *registrar) renew(ctx context.Context) error {
	options, err := r.client.options(ctx)
	if err != nil {
		return err
	}
	if r.registered {
		err := r.client.api.Agent().UpdateTTLOpts(r.checkID, r.output, r.status, options)
		if !isUnknownCheck(err) {
			return err
		}
		r.registered = false // the agent was reset
	}
	r.attempted = true
	service := &api.AgentServiceRegistration{
		ID:      r.ID,
		Name:    r.Name,
		Address: r.host,
		Port:    r.port,
		Tags:    r.Tags,
		Meta:    r.Meta,
		Check: &api.AgentServiceCheck{
			CheckID:                        r.checkID,
			TTL:                            r.TTL.String(),
			Status:                         r.status,
			Notes:                          r.output,
			DeregisterCriticalServiceAfter: r.DeregisterAfter.String(),
		},
	}
	registerOptions := api.ServiceRegisterOpts{ReplaceExistingChecks: true, Token: options.Token}
	err = r.client.api.Agent().ServiceRegisterOpts(service, registerOptions.WithContext(ctx))
	r.registered = err == nil
	return err
}

// deregister removes the service at the end of ctx. A service that the agent does not know is no error.
func (r *registrar) deregister(ctx context.Context) error {
	if !r.attempted {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	options, err := r.client.options(ctx)
	if err == nil {
		err = r.client.api.Agent().ServiceDeregisterOpts(r.ID, options)
	}
	if isUnknownCheck(err) {
		return nil
	}
	return err
}

// isUnknownCheck reports whether an error says that the agent does not know the check or service. Agents
// before 1.11 say so with status 500.
func isUnknownCheck(err error) bool {
	var status api.StatusError
	return errors.As(err, &status) &&
		(status.Code == http.StatusNotFound || strings.Contains(status.Body, "does not have associated TTL"))
}
