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
	// TTL is the time after the last renewal at which the health check turns critical. The check is renewed
	// every TTL/3. Default 10 s.
	TTL time.Duration
	// DeregisterAfter is how long the check may be critical before the agent removes the registration, so
	// that a crashed gateway is removed too. Consul's minimum is 1 min. Default 10 min.
	DeregisterAfter time.Duration
	// OnResult, if not nil, is called with each error of a call to the agent, and with nil at the first
	// success after an error. It must not block.
	OnResult func(error)
}

const (
	defaultTTL             = 10 * time.Second
	defaultDeregisterAfter = 10 * time.Minute
	// deregisterTimeout limits the call that deregisters the service.
	deregisterTimeout = 2 * time.Second
	// maxRegisterRetry is the longest delay before a failed call to the agent is retried.
	maxRegisterRetry = time.Second
	// minRegisterTimeout is the shortest timeout of a call to the agent, which is otherwise TTL/3.
	minRegisterTimeout = 100 * time.Millisecond
)

// Register keeps a gateway registered at the agent and blocks until ctx ends. It registers the service,
// renews its TTL check, registers the service again if the agent has lost it, turns the check critical when
// draining is closed, and deregisters the service when ctx ends. While the agent is unreachable it keeps
// retrying; the gateway is not affected. The result is ErrConfig for an invalid registration, otherwise the
// error of the deregistration.
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
		err := r.renewWithTimeout(ctx, max(r.TTL/3, minRegisterTimeout))
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

// registrar holds a Registration and its state at the agent.
type registrar struct {
	Registration
	client         *Client
	host           string
	port           int
	checkID        string
	status, output string // of the TTL check

	registered bool
	attempted  bool // a registration was sent; the agent may hold it even if the call failed
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

func (r *registrar) renewWithTimeout(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.renew(ctx)
}

// renew updates the TTL check, or registers the service if the agent does not know the check.
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
		r.registered = false // the agent has lost the registration
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

// deregister removes the service from the agent, although ctx has ended. It is not an error if the agent
// does not know the service.
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

// isUnknownCheck reports whether an error means that the agent does not know the check or service. Agents
// before 1.11 respond with status 500 in this case.
func isUnknownCheck(err error) bool {
	var status api.StatusError
	return errors.As(err, &status) &&
		(status.Code == http.StatusNotFound || strings.Contains(status.Body, "does not have associated TTL"))
}
