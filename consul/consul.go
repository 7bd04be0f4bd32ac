// Package consul supplies a gateway's backends from Consul: the catalog says which instances exist, the
// health API which of them may be sent requests. It also registers the gateway itself as a service.
//
// A Client holds the configuration and the connections to one agent or server. A Watch follows one service
// with blocking queries and is a pumicecroft.Source of its own. When to query, how far a response may be
// trusted and what its entries mean is decided by internal/blockingquery and internal/consulcatalog, which
// do no I/O.
//
// For settings that a Config lacks, Consul's API client takes CONSUL_HTTP_TOKEN, CONSUL_NAMESPACE and
// CONSUL_PARTITION from the environment.
package consul

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hashicorp/consul/api"

	"pumicecroft/internal/consulcatalog"
)

// ErrConfig means that a Config is invalid, or names files that can't be read.
var ErrConfig = errors.New("consul: invalid configuration")

// ErrPartial means that a response may lack instances, as its server had no leader, was out of date, or
// filtered them by ACLs. Of such a response only failing instances are believed.
var ErrPartial = errors.New("consul: response is not complete")

// Consistency says how fresh responses must be. See "Consistency Modes" in Consul's API documentation.
type Consistency int

// The consistency modes.
const (
	Default    Consistency = iota
	Stale                  // any server responds, also without a leader; Config.MaxStale limits how old its data may be
	Consistent             // the leader confirms its leadership first
)

// Config says how an agent or server is reached, and how it is queried.
type Config struct {
	// Address is host:port, http://host:port, https://host:port or unix:///path.
	Address string
	// TokenFile holds the ACL token. It is read again for each query. Empty means no token.
	TokenFile string
	// Datacenter, Namespace and Partition default to those of the agent.
	Datacenter, Namespace, Partition string
	// CAFile, CertFile and KeyFile are PEM files for https. The client certificate is read again for each
	// connection.
	CAFile, CertFile, KeyFile string
	// ServerName is the name in the server's certificate. Default: the host of Address.
	ServerName  string
	Consistency Consistency
	// Wait, MaxStale and RetryMax are those of blockingquery.Policy, with its defaults.
	Wait, MaxStale, RetryMax time.Duration
	// Seed makes the random part of delays. Zero means a seed by the time.
	Seed uint64
}

// Mapping says where the attributes of a node are found: each of its fields names a key of the service's
// meta, "node:KEY" for a key of the node's meta, or "datacenter".
type Mapping = consulcatalog.Mapping

// Service selects the instances of a service that are backends.
type Service struct {
	Name   string
	Tags   []string // an instance must have all of them
	Near   string   // a node's name or _agent, by whose distance responses are sorted; empty means not sorted
	Filter string   // an expression over the fields of the health API; empty means none
	// HealthOnly leaves the catalog out: the instances that the health API lists are those that exist.
	HealthOnly bool
	Mapping    Mapping
}

// Client reaches one agent or server. It is safe for concurrent use.
type Client struct {
	config Config
	api    *api.Client
}

// New returns a client. It reads the files that the configuration names, and connects nowhere. Its errors
// are ErrConfig.
func New(config Config) (*Client, error) {
	client, err := newClient(config)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	return client, nil
}

func newClient(config Config) (*Client, error) {
	target, err := parseAddress(config.Address)
	if err != nil {
		return nil, err
	}
	transport, err := newTransport(config, target)
	if err != nil {
		return nil, err
	}
	if config.TokenFile != "" {
		if _, err := readToken(config.TokenFile); err != nil {
			return nil, err
		}
	}
	if config.Seed == 0 {
		config.Seed = uint64(time.Now().UnixNano())
	}
	apiClient, err := api.NewClient(&api.Config{
		Address:    target.host,
		Scheme:     target.scheme,
		Transport:  transport,
		HttpClient: &http.Client{Transport: limitedTransport{transport}},
		Datacenter: config.Datacenter,
		Namespace:  config.Namespace,
		Partition:  config.Partition,
	})
	if err != nil {
		return nil, err
	}
	return &Client{config: config, api: apiClient}, nil
}

// options returns the options of a query, with the token as its file has it now.
func (c *Client) options(ctx context.Context) (*api.QueryOptions, error) {
	options := &api.QueryOptions{
		AllowStale:        c.config.Consistency == Stale,
		RequireConsistent: c.config.Consistency == Consistent,
	}
	if c.config.TokenFile != "" {
		token, err := readToken(c.config.TokenFile)
		if err != nil {
			return nil, err
		}
		options.Token = token
	}
	return options.WithContext(ctx), nil
}
