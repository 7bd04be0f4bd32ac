// Package platform adapts the platform that this deployment runs on to the library. It parses the
// configuration file that NODE_CONFIG names, watches the platform's discovery service, and converts both
// from the protocol's names to the library's types. It makes no decisions about backends or requests.
//
// Config is a plain value. A Discovery owns its connection and the goroutines that read from it; they
// end when Run returns.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"strconv"

	"pumicecroft/decision"
	"pumicecroft/internal/simwire"
)

// Limits are the resource limits of this gateway.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// clientMemoryDivisor is the part of the memory that may be used for requests which are being received, and
// bytesPerClientConn what one takes: a body of 64 KiB, and buffers. As much again is garbage between two collections.
const (
	clientMemoryDivisor = 4
	bytesPerClientConn  = 72 << 10
)

// ClientConns returns the maximum number of open client connections: 5/12 of the sockets, or less if their requests
// might not fit into the memory. Clients and backends together use 5/6 of the sockets; the remaining sixth is reserved
// for listeners, discovery, the counter and files.
func (l Limits) ClientConns() int {
	byMemory := int(min(l.MemoryMB<<20/clientMemoryDivisor/bytesPerClientConn, math.MaxInt32))
	return max(1, min(l.Sockets*5/12, byMemory))
}

// BackendConns returns the maximum number of open connections to backends, idle ones included.
func (l Limits) BackendConns() int { return max(1, l.Sockets*5/12) }

// bytesPerBackend is the memory budget of one backend. The membership table, the engine and the transports
// use up to 1 KiB for as long as the backend is known, and a full update uses another 0.3 KiB while it is
// being read.
const bytesPerBackend = 1536

// MaxBackends returns the maximum number of known backends that fit into the memory limit.
func (l Limits) MaxBackends() int { return int(max(1, l.MemoryMB<<20/bytesPerBackend)) }

// customerMemoryDivisor is the part of the memory that may be used for customers, and bytesPerCustomer what one takes.
const (
	customerMemoryDivisor = 8
	bytesPerCustomer      = 384
)

// MaxCustomers returns the maximum number of customers that are known at the same time.
func (l Limits) MaxCustomers() int {
	return int(max(1, min(l.MemoryMB<<20/customerMemoryDivisor/bytesPerCustomer, decision.DefaultMaxCustomers)))
}

// Config is the configuration with which a gateway starts.
type Config struct {
	Name             string
	Listen           string // host:port
	Discovery        string // host:port
	Counter          string // host:port; empty if there is no shared counter
	Seed             uint64
	Limits           Limits
	InitialEndpoints EndpointUpdate // the endpoints that this gateway knew last, used until discovery responds
	Settings         decision.Settings
	Conns            simwire.Connections
}

// LoadConfig reads and validates the file at path, the value of NODE_CONFIG. Its errors name the file.
func LoadConfig(path string) (Config, error) {
	if path == "" {
		return Config{}, errors.New("platform: NODE_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("platform: configuration: %w", err)
	}
	c, err := ParseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("platform: configuration %s: %w", path, err)
	}
	return c, nil
}

// ParseConfig parses and validates the text of a configuration file. Its errors name the invalid key.
func ParseConfig(text []byte) (Config, error) {
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Counter   string          `json:"counter"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     EndpointUpdate  `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, err
	}
	if file.Listen == "" || file.Discovery == "" {
		return Config{}, errors.New("listen and discovery must be set")
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf("seed: %w", err)
	}
	if l := file.Limits; l.Cores <= 0 || l.MemoryMB <= 0 || l.Sockets <= 0 {
		return Config{}, fmt.Errorf("limits {Cores:%v MemoryMB:%v Sockets:%v} are not all above 0",
			l.Cores, l.MemoryMB, l.Sockets)
	}
	if len(file.Settings) == 0 {
		return Config{}, errors.New("settings must be set")
	}
	settings, conns, err := simwire.DecodeSettings(file.Settings)
	if err != nil {
		return Config{}, err
	}
	if err := settings.Validate(); err != nil {
		return Config{}, err
	}
	if conns.IdleTimeout <= 0 || conns.ConnectTimeout <= 0 {
		return Config{}, errors.New("settings: conn_idle_us and connect_timeout_us must be above 0")
	}
	if settings.HasSharedCounter && (file.Counter == "" || conns.CounterTimeout <= 0) {
		return Config{}, errors.New("settings: a shared counter needs its address and count_limit_us")
	}
	return Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Counter: file.Counter, Seed: seed,
		Limits: file.Limits, InitialEndpoints: file.Known, Settings: settings, Conns: conns}, nil
}
