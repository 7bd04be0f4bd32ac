package processtest

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"pumicecroft/internal/fakes"
)

// readyInterval is the time between two requests for /ready.
const readyInterval = 10 * time.Millisecond

// Gateway is one gateway of a fleet. It may have had several processes, one after another.
type Gateway struct {
	Number         int
	Name           string
	Zone           int
	Addr           string // where clients reach it; the same for each of its processes
	ConfigPath     string
	StateDir       string // empty if it keeps no state
	Process        *Process
	Agent          *fakes.Discovery
	DiscoveryRelay *Relay   // to Agent; nil unless Config.Relayed
	CounterRelay   *Relay   // to the counter; nil unless Config.Relayed
	BackendRelays  []*Relay // to each backend; nil unless Config.Relayed
}

// addGateway prepares gateway i without starting it.
func (f *Fleet) addGateway(i int) error {
	g := &Gateway{Number: i, Name: fmt.Sprint("door-", i), Zone: i % f.Config.Zones}
	f.Gateways = append(f.Gateways, g)
	var err error
	if g.Addr, err = freeAddr(f.loopbackHost(g)); err != nil {
		return err
	}
	if g.Agent, err = fakes.StartDiscovery(); err != nil {
		return err
	}
	f.closers = append(f.closers, g.Agent.Close)
	if f.Config.Relayed {
		if err := f.addRelays(g); err != nil {
			return err
		}
	}
	for i := range f.Backends {
		g.Agent.Set(f.endpoint(g, i, "Ready"))
	}
	return nil
}

// addRelays starts the relays from a gateway to discovery, the backends and the counter.
func (f *Fleet) addRelays(g *Gateway) (err error) {
	if g.DiscoveryRelay, err = f.addRelay(g, g.Agent.Addr()); err != nil {
		return err
	}
	for _, b := range f.Backends {
		relay, err := f.addRelay(g, b.Addr())
		if err != nil {
			return err
		}
		g.BackendRelays = append(g.BackendRelays, relay)
	}
	if f.Counter != nil {
		g.CounterRelay, err = f.addRelay(g, f.Counter.Addr())
	}
	return err
}

// addRelay starts a relay from a gateway to a target.
func (f *Fleet) addRelay(g *Gateway, target string) (*Relay, error) {
	relay, err := NewRelay(f.loopbackHost(g), target, f.Config.Seed+uint64(len(f.closers)))
	if err == nil {
		f.closers = append(f.closers, relay.Close)
	}
	return relay, err
}

// loopbackHost returns a loopback address of a gateway's own, in its zone's range.
func (f *Fleet) loopbackHost(g *Gateway) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+g.Zone, 1+g.Number/200, 2+g.Number%200)
}

// freeAddr returns an address with a free port of a loopback host that no other gateway uses.
func freeAddr(host string) (string, error) {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// discoveryAddr returns the address at which a gateway finds its agent.
func (g *Gateway) discoveryAddr() string {
	if g.DiscoveryRelay != nil {
		return g.DiscoveryRelay.Addr()
	}
	return g.Agent.Addr()
}

// Start starts gateways concurrently and waits until each answers /ready.
func (f *Fleet) Start(gateways ...*Gateway) error {
	errs := make(chan error, len(gateways))
	for _, g := range gateways {
		go func() { errs <- f.startGateway(g) }()
	}
	var err error
	for range gateways {
		err = errors.Join(err, <-errs)
	}
	return err
}

// startGateway starts a process for a gateway and waits until it is ready. From then on clients are sent to it.
func (f *Fleet) startGateway(g *Gateway) error {
	env, args, err := f.writeConfig(g)
	if err != nil {
		return err
	}
	p, err := startProcess(f.Config.Descriptors, env, args...)
	if err != nil {
		return err
	}
	f.mu.Lock()
	g.Process = p
	f.mu.Unlock()
	if _, err := p.Await("listen=" + g.Addr); err != nil {
		return fmt.Errorf("%s: %w", g.Name, err)
	}
	if err := awaitReady(g.Addr); err != nil {
		return fmt.Errorf("%s: %w", g.Name, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routable[g.Number] = true
	f.lastStart = time.Now()
	return nil
}

// awaitReady waits until the gateway at addr answers /ready. Its connections may be closed unread while clients use all
// that the gateway allows.
func awaitReady(addr string) error {
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(waitTimeout); ; time.Sleep(readyInterval) {
		res, err := client.Get("http://" + addr + "/ready")
		switch {
		case err != nil && time.Now().Before(end):
			continue
		case err != nil:
			return err
		}
		res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return fmt.Errorf("processtest: /ready answers %s", res.Status)
		}
		return nil
	}
}

// writeConfig writes a gateway's configuration file and returns the environment and the arguments of its process.
func (f *Fleet) writeConfig(g *Gateway) (env, args []string, err error) {
	write := f.platformConfig
	if f.Config.PersistState {
		write = f.operatorConfig
	}
	text, err := write(g)
	if err != nil {
		return nil, nil, err
	}
	g.ConfigPath = filepath.Join(f.Config.Dir, g.Name+".conf")
	if f.Config.PersistState {
		args = []string{"serve", g.ConfigPath}
		err = os.MkdirAll(g.StateDir, 0o700)
	} else {
		env = []string{"NODE_CONFIG=" + g.ConfigPath}
	}
	return env, args, errors.Join(err, os.WriteFile(g.ConfigPath, text, 0o600))
}

// lastStartedAt returns when the gateway that was started last became ready.
func (f *Fleet) lastStartedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastStart
}

// Kill kills gateways at the same moment.
func (f *Fleet) Kill(gateways ...*Gateway) {
	f.stopRouting(gateways...)
	for _, g := range gateways {
		g.Process.Signal(syscall.SIGKILL)
	}
	for _, g := range gateways {
		<-g.Process.exited
	}
}

// stopRouting stops sending clients to gateways.
func (f *Fleet) stopRouting(gateways ...*Gateway) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range gateways {
		delete(f.routable, g.Number)
	}
}
