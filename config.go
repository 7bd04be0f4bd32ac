package pumicecroft

import (
	"cmp"
	"fmt"
	"time"

	"pumicecroft/decision"
	"pumicecroft/idempotency"
	"pumicecroft/membership"
)

// Defaults of Config.
const (
	defaultMaxBackendConns     = 256
	defaultConnectTimeout      = 250 * time.Millisecond
	defaultIdleTimeout         = 15 * time.Second
	defaultMaxOpenRequests     = 4096
	defaultBodyReadTimeout     = time.Second
	defaultGatewayCount        = 1
	defaultMaxAttempts         = 3
	defaultJournalWriteTimeout = time.Second
)

// Config configures a Gateway. Settings must name at least one class and one plan; every other field may be zero.
// Counts and durations below zero are an ErrConfig.
type Config struct {
	// Settings are what the decisions rest on: classes, plans, the number of gateways and which one this is.
	// Settings.GatewayCount defaults to 1, Settings.MaxAttempts to 3.
	Settings decision.Settings
	// Seed seeds the decisions' random numbers: two Gateways with one seed draw alike. Zero: a random one.
	Seed uint64
	// InitialEndpoints are the endpoints as last known, for instance from before a restart. Later updates replace
	// them. Unset: none.
	InitialEndpoints membership.Update
	// Membership says how the updates of several sources are merged. Unset: membership's defaults.
	Membership membership.Policy
	// StateDir is a directory that outlives the process. The endpoints of sources that are not trusted are kept
	// there, for a restart to begin with until they are heard; and each second a snapshot of the customers that have
	// used up their quota or are throttled, so that a restart grants nobody a fresh burst (package recovery).
	// Settings.AssumeQuotaSpent is set by what is found there. Unset: nothing is kept, and AssumeQuotaSpent stays.
	StateDir string

	// Protocol is that of backends for which no source names one. Unset: membership.ProtocolHTTP.
	Protocol string

	// MaxBackendConns is how many connections to all backends together may be open, with idle ones. Default: 256.
	MaxBackendConns int
	// ConnectTimeout is how long connecting to a backend may take. Default: 250 ms.
	ConnectTimeout time.Duration
	// IdleTimeout is how long a connection may be idle before its backend may close it. Default: 15 s.
	IdleTimeout time.Duration
	// MaxOpenRequests is how many requests may be open; one more is rejected. Default: 4,096.
	MaxOpenRequests int
	// BodyReadTimeout is how long a request's body may take to arrive over HTTP. Default: 1 s.
	BodyReadTimeout time.Duration

	// Idempotency has the Gateway recognise the idempotency keys of requests by Do, over HTTP and of unary calls over
	// gRPC whose class is not idempotent: a repeat waits for the first one's response or is given it again. nil: keys
	// are not recognised.
	Idempotency *idempotency.Limits
	// IdempotencyJournal keeps the keys on disk, so that they outlive the process. nil: they are kept in memory.
	IdempotencyJournal *IdempotencyJournal
}

// IdempotencyJournal says how idempotency keys are kept on disk. A request with a key is sent once it is written that
// the request may have executed, and answered once its response is written.
type IdempotencyJournal struct {
	// Dir is a directory of this Gateway's alone, which is created if it does not exist. It must be set.
	Dir string
	// GroupCommitDelay is how long a record waits for others to be written with it while the disk is idle. While it
	// is busy, records are grouped anyway. Zero: it does not wait.
	GroupCommitDelay time.Duration
	// SyncInterval is the time between two syncs: requests go on once their records are written, which outlives the
	// process and not always the machine. Zero: each group of records is synced before its requests go on, and no
	// crash loses a key.
	SyncInterval time.Duration
	// WriteTimeout is how long a request waits for the disk. Default: 1 s.
	WriteTimeout time.Duration
	// RejectOnFailure rejects requests with keys while the disk is full, fails or takes longer than WriteTimeout.
	// Unset: they go on, with their keys in memory until the disk takes them.
	RejectOnFailure bool
}

// withDefaults returns a Config with its defaults set. The error is an ErrConfig.
func (c Config) withDefaults() (Config, error) {
	err := cmp.Or(
		setDefault("ConnectTimeout", &c.ConnectTimeout, defaultConnectTimeout),
		setDefault("IdleTimeout", &c.IdleTimeout, defaultIdleTimeout),
		setDefault("BodyReadTimeout", &c.BodyReadTimeout, defaultBodyReadTimeout),
		setDefault("MaxBackendConns", &c.MaxBackendConns, defaultMaxBackendConns),
		setDefault("MaxOpenRequests", &c.MaxOpenRequests, defaultMaxOpenRequests),
		setDefault("Settings.GatewayCount", &c.Settings.GatewayCount, defaultGatewayCount),
		setDefault("Settings.MaxAttempts", &c.Settings.MaxAttempts, defaultMaxAttempts),
	)
	if err != nil {
		return Config{}, err
	}
	if index, count := c.Settings.GatewayIndex, c.Settings.GatewayCount; index < 0 || index >= count {
		return Config{}, fmt.Errorf("%w: Settings.GatewayIndex is %d, of %d gateways", ErrConfig, index, count)
	}
	if c.Protocol == "" {
		c.Protocol = membership.ProtocolHTTP
	}
	if c.IdempotencyJournal != nil {
		if c.IdempotencyJournal, err = c.journalWithDefaults(); err != nil {
			return Config{}, err
		}
	}
	if err := c.Settings.Validate(); err != nil {
		return Config{}, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	return c, nil
}

// journalWithDefaults returns a copy of the journal's configuration with its defaults set.
func (c Config) journalWithDefaults() (*IdempotencyJournal, error) {
	journal := *c.IdempotencyJournal
	err := cmp.Or(
		setDefault("IdempotencyJournal.WriteTimeout", &journal.WriteTimeout, defaultJournalWriteTimeout),
		setDefault("IdempotencyJournal.GroupCommitDelay", &journal.GroupCommitDelay, 0),
		setDefault("IdempotencyJournal.SyncInterval", &journal.SyncInterval, 0),
	)
	switch {
	case err != nil:
		return nil, err
	case c.Idempotency == nil:
		return nil, fmt.Errorf("%w: IdempotencyJournal is set, and Idempotency is not", ErrConfig)
	case journal.Dir == "":
		return nil, fmt.Errorf("%w: IdempotencyJournal.Dir is not set", ErrConfig)
	}
	return &journal, nil
}

// setDefault sets a field that is zero to its default. One below zero is an error.
func setDefault[T int | time.Duration](name string, field *T, value T) error {
	if *field < 0 {
		return fmt.Errorf("%w: %s is %v", ErrConfig, name, *field)
	}
	if *field == 0 {
		*field = value
	}
	return nil
}
