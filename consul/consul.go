// Package consul discovers a gateway's backends in Consul: the catalog lists the instances that exist, and
// the health API reports which of them may receive requests. The package can also register the gateway
// itself as a service.
//
// A Client holds the configuration and the connections to one agent or server. A Watch follows one service
// with blocking queries and implements pumicecroft.Source. This package does the I/O;
// internal/blockingquery decides when to query and how far to trust a response, and
// internal/consulcatalog interprets the entries.
//
// Where a Config sets no token, namespace or partition, Consul's API client falls back to the environment
// variables CONSUL_HTTP_TOKEN, CONSUL_NAMESPACE and CONSUL_PARTITION.
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

// ErrConfig means that a Config or a Registration is invalid, or that a file it names is unreadable or invalid.
var ErrConfig = errors.New("consul: invalid configuration")

// ErrPartial means that a response may lack instances, because the server had no leader, was out of date,
// or filtered the response by ACLs. Only the failing instances in such a response are acted on.
var ErrPartial = errors.New("consul: response is not complete")

// Consistency selects how fresh responses must be. See "Consistency Modes" in Consul's API documentation.
type Consistency int

// The consistency modes.
const (
	Default    Consistency = iota
	Stale                  // any server responds, even without a leader; Config.MaxStale limits the age of its data
	Consistent             // the leader first confirms with its peers that it still leads
)

// Config describes how to reach and query an agent or server.
type Config struct {
	// Address is host:port, http://host:port, https://host:port or unix:///path.
	Address string
	// TokenFile is the file with the ACL token. It is read again before each query, so that a rotated token
	// takes effect. Empty means no token.
	TokenFile string
	// Datacenter, Namespace and Partition default to those of the agent.
	Datacenter, Namespace, Partition string
	// CAFile, CertFile and KeyFile are PEM files for https. The client certificate is read again for each
	// connection.
	CAFile, CertFile, KeyFile string
	// ServerName is the name in the server's certificate. Default: the host of Address.
	ServerName  string
	Consistency Consistency
	// Wait, MaxStale and RetryMax are the fields of the same names in blockingquery.Policy, with its defaults.
	Wait, MaxStale, RetryMax time.Duration
	// Seed seeds the jitter of retry delays. Zero means a seed taken from the clock.
	Seed uint64
}

// Mapping selects the metadata from which a node's attributes are read: each of its keys is a key of the
// service's meta, "node:KEY" for a key of the node's meta, or "datacenter".
type Mapping = consulcatalog.Mapping

// Service selects the instances of a service that become backends.
type Service struct {
	Name   string
	Tags   []string // an instance must have all of them
	Near   string   // sort responses by distance from this node; _agent is the agent's own node; empty: unsorted
	Filter string   // a filter expression over the fields of the health API; empty means no filter
	// HealthOnly skips the catalog: the instances that exist are those that the health API lists.
	HealthOnly bool
	Mapping    Mapping
}

// Client queries one agent or server. It is safe for concurrent use.
type Client struct {
	config Config
	api    *api.Client
}

// New returns a client. It reads the files that the configuration names, but opens no connection. Every
// error it returns wraps ErrConfig.
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

// options returns the options of a query, with the current content of the token file.
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
