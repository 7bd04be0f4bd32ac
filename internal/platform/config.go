// Package platform is the edge towards the platform that this deployment runs on. It reads the file that
// NODE_CONFIG names and follows the platform's discovery service, and turns both from the protocol's names
// into the library's terms. It decides nothing about backends or requests.
//
// Config is a value. A Discovery owns its connection and the goroutines that read it, which end when its
// Run returns.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"pumicecroft/decision"
	"pumicecroft/internal/simwire"
)

// Limits are the resources that this gateway may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// ClientConns returns how many client connections may be open: 5/12 of the sockets. The sixth that neither
// clients nor backends may use is left for listeners, discovery, the counter and files.
func (l Limits) ClientConns() int { return max(1, l.Sockets*5/12) }

// BackendConns returns how many connections to backends may be open, idle ones included.
func (l Limits) BackendConns() int { return max(1, l.Sockets*5/12) }

// bytesPerBackend is the memory that is set aside for one backend. The membership table, the engine and the
// transports take up to 1 KiB for as long as it is known, and a full update takes 0.3 KiB more while it is
// read.
const bytesPerBackend = 1536

// MaxBackends returns how many backends may be known.
func (l Limits) MaxBackends() int { return int(max(1, l.MemoryMB<<20/bytesPerBackend)) }

// Config is what a gateway is given at its start.
type Config struct {
	Name      string
	Listen    string // host:port
	Discovery string // host:port
	Counter   string // host:port; empty if there is no shared counter
	Seed      uint64
	Limits    Limits
	Known     EndpointUpdate // the backends as this gateway last knew them
	Settings  decision.Settings
	Conns     simwire.Connections
}

// LoadConfig reads and checks the file at path, which NODE_CONFIG names. Its errors name the file.
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

// ParseConfig reads and checks the text of a configuration file. Its errors name the key that is wrong.
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
		Limits: file.Limits, Known: file.Known, Settings: settings, Conns: conns}, nil
}
