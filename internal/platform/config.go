// Package platform is what this deployment's platform tells a front door: the file that NODE_CONFIG names
// (config.go) and the list of backends that discovery keeps (discovery.go). It turns both into the library's
// terms and decides nothing.
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

// Limits are what this front door may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// ClientConns is how many connections of clients may be open. They hold a third of the descriptors at most for
// requests; the rest is room for those that ask now and then.
func (l Limits) ClientConns() int { return max(1, l.Sockets*5/12) }

// BackendConns is how many connections to backends may be open, idle ones among them.
func (l Limits) BackendConns() int { return max(1, l.Sockets*5/12) }

// MaxBackends is how many backends may be known. One costs 0.7 to 1 KiB for as long as it is known (the table, the decision module and the
// addresses), and 0.3 KiB more while a whole list is taken; the rest is for requests.
func (l Limits) MaxBackends() int { return int(max(1, l.MemoryMB<<20/1536)) }

// Config is what a front door is told at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Counter   string // empty: there is none
	Seed      uint64
	Limits    Limits
	Known     EndpointUpdate // the backends as this front door last had them
	Settings  decision.Settings
	Conns     simwire.Connections
}

// LoadConfig reads and checks the file that NODE_CONFIG names.
func LoadConfig(path string) (Config, error) {
	if path == "" {
		return Config{}, errors.New("NODE_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := ParseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// ParseConfig reads and checks such a file's text.
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
		return Config{}, errors.New("it names no listen or no discovery address")
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf("seed: %w", err)
	}
	if l := file.Limits; l.Cores <= 0 || l.MemoryMB <= 0 || l.Sockets <= 0 {
		return Config{}, fmt.Errorf("limits {Cores:%v MemoryMB:%v Sockets:%v} are not all above 0", l.Cores, l.MemoryMB, l.Sockets)
	}
	if len(file.Settings) == 0 {
		return Config{}, errors.New("it holds no settings")
	}
	settings, conns, err := simwire.DecodeSettings(file.Settings)
	if err != nil {
		return Config{}, err
	}
	if err := settings.Validate(); err != nil {
		return Config{}, err
	}
	if conns.IdleTimeout <= 0 || conns.ConnectTimeout <= 0 {
		return Config{}, errors.New("settings without the time-outs of connections")
	}
	if settings.HasSharedCounter && (file.Counter == "" || conns.CounterTimeout <= 0) {
		return Config{}, errors.New("settings with a counter, without its address or its time-out")
	}
	return Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Counter: file.Counter, Seed: seed,
		Limits: file.Limits, Known: file.Known, Settings: settings, Conns: conns}, nil
}
