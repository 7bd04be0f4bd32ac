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
	// Settings configure the decision engine: classes, plans, the number of gateways and the index of this one.
	// Settings.GatewayCount defaults to 1, Settings.MaxAttempts to 3.
	Settings decision.Settings
	// Seed seeds the decision engine's random numbers: Gateways with equal seeds draw the same sequence. Zero: a
	// random seed.
	Seed uint64
	// InitialEndpoints are the last known endpoints, for instance those from before a restart. Later updates replace
	// them. Unset: none.
	InitialEndpoints membership.Update
	// Membership is the policy for merging the updates of several sources. Unset: the defaults of package membership.
	Membership membership.Policy
	// StateDir is a directory that outlives the process. It holds the endpoints of sources that are not trusted, which
	// a restarted process uses until those sources report; and a snapshot, written each second, of the customers that
	// have used up their quota or are throttled, so that a restart grants no customer a fresh burst (package
	// recovery). Settings.AssumeQuotaSpent is overwritten according to what is found there. Unset: nothing is stored,
	// and Settings.AssumeQuotaSpent is used as given.
	StateDir string

	// Protocol is the protocol of backends whose source does not name one. Unset: membership.ProtocolHTTP.
	Protocol string

	// MaxBackendConns limits the open connections to all backends together, including idle ones. Default: 256.
	MaxBackendConns int
	// ConnectTimeout limits how long connecting to a backend may take. Default: 250 ms.
	ConnectTimeout time.Duration
	// IdleTimeout is how long a connection may be idle before the backend may close it. Default: 15 s.
	IdleTimeout time.Duration
	// MaxOpenRequests limits the open requests; any further request is rejected. Default: 4,096.
	MaxOpenRequests int
	// BodyReadTimeout limits how long the body of an HTTP request may take to arrive. Default: 1 s.
	BodyReadTimeout time.Duration

	// Idempotency enables deduplication by idempotency key, for requests whose class is not idempotent: those made by
	// Do, over HTTP, and as unary calls over gRPC. A repeat waits for the response of the first request, or receives
	// the stored one. nil: keys are not recognised.
	Idempotency *idempotency.Limits
	// IdempotencyJournal keeps the keys on disk, so that they outlive the process. nil: they are kept in memory only.
	IdempotencyJournal *IdempotencyJournal
}

// IdempotencyJournal configures how idempotency keys are kept on disk. A request with a key is sent after the record
// that it may have executed is written, and answered after its response is written.
type IdempotencyJournal struct {
	// Dir is a directory that only this Gateway uses. It is created if it does not exist. Required.
	Dir string
	// GroupCommitDelay is how long a record waits, while the disk is idle, for others to be written with it. While the
	// disk is busy, records are grouped in any case. Zero: no delay.
	GroupCommitDelay time.Duration
	// SyncInterval is the time between two syncs. Requests proceed once their records are written: these survive a
	// crash of the process, but not always one of the machine. Zero: each group of records is synced before its
	// requests proceed, and no crash loses a key.
	SyncInterval time.Duration
	// WriteTimeout limits how long a request waits for the disk. Default: 1 s.
	WriteTimeout time.Duration
	// RejectOnFailure rejects requests with keys while the disk is full, fails or takes longer than WriteTimeout.
	// Unset: they proceed, and their keys are kept in memory until the disk accepts them.
	RejectOnFailure bool
}

// withDefaults returns a copy of the Config with its defaults set. The error is an ErrConfig.
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
		return Config{}, fmt.Errorf("%w: Settings.GatewayIndex %d is out of range for %d gateways",
			ErrConfig, index, count)
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
		return nil, fmt.Errorf("%w: IdempotencyJournal is set, but Idempotency is not", ErrConfig)
	case journal.Dir == "":
		return nil, fmt.Errorf("%w: IdempotencyJournal.Dir is not set", ErrConfig)
	}
	return &journal, nil
}

// setDefault sets a zero field to its default value. A negative field is an ErrConfig.
func setDefault[T int | time.Duration](name string, field *T, value T) error {
	if *field < 0 {
		return fmt.Errorf("%w: %s is negative: %v", ErrConfig, name, *field)
	}
	if *field == 0 {
		*field = value
	}
	return nil
}
