package pumicecroft

import (
	"context"
	"errors"
	"io/fs"
	"iter"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/snapshotfile"
	"pumicecroft/recovery"
)

// snapshotInterval is how often a snapshot is written.
const snapshotInterval = time.Second

// customersPerStep is how many customers are read each time the executor's lock is held; it is held for about 0.1 ms.
const customersPerStep = 500

// snapshotter writes snapshots of the decision engine's state: the customers that have used up their quota or are
// throttled. Package recovery determines what a later process restores from a snapshot.
type snapshotter struct {
	gateway           *Gateway
	file              *snapshotfile.File // nil: it is in use by another process, or StateDir cannot be used
	engine            *decision.Engine
	bootID            uint64
	settingsDigest    uint64
	startedAt         time.Time
	assumedQuotaSpent bool // customers that were not restored are assumed to have used up their quota
}

// restoreSnapshot opens the snapshot file for this process, and returns the state that an earlier process saved in it.
func (g *Gateway) restoreSnapshot(bootID uint64) (*snapshotter, recovery.Restored) {
	s := &snapshotter{
		gateway:        g,
		bootID:         bootID,
		startedAt:      time.Now(),
		settingsDigest: recovery.SettingsDigest(g.config.Settings),
	}
	restored := s.restore()
	s.assumedQuotaSpent = restored.AssumeQuotaSpent
	switch {
	case errors.Is(restored.Err, fs.ErrNotExist):
		g.log.Info("no snapshot found", "explanation", restored.Explanation)
	case restored.Err != nil:
		g.log.Warn("snapshot rejected", "err", restored.Err, "explanation", restored.Explanation)
	default:
		g.log.Info("snapshot restored", "age", restored.Age.Round(time.Millisecond),
			"customers", len(restored.Customers), "repaid", restored.Repaid, "explanation", restored.Explanation)
	}
	return s, restored
}

func (s *snapshotter) restore() recovery.Restored {
	settings := &s.gateway.config.Settings
	file, err := snapshotfile.Open(s.gateway.config.StateDir, settings.GatewayIndex)
	if err != nil {
		return recovery.RestoreWithoutSnapshot(err)
	}
	s.file = file
	encoded, err := file.Read()
	if err != nil {
		return recovery.RestoreWithoutSnapshot(err)
	}
	snapshot, err := recovery.Decode(encoded)
	if err != nil {
		return recovery.RestoreWithoutSnapshot(err)
	}
	gateway := recovery.GatewayInfo{
		Index:          settings.GatewayIndex,
		Count:          settings.GatewayCount,
		SettingsDigest: s.settingsDigest,
		Plans:          settings.Plans,
	}
	return recovery.Restore(snapshot, gateway, time.Now())
}

// close releases the snapshot file. s may be nil.
func (s *snapshotter) close() {
	if s != nil && s.file != nil {
		_ = s.file.Close() // only releases the lock, which is released at process exit in any case
	}
}

// run writes snapshots periodically until ctx ends, and a last one when it ends.
func (s *snapshotter) run(ctx context.Context) {
	defer s.close()
	runPeriodically(ctx, snapshotInterval, func() {
		if err := s.write(); err != nil {
			g := s.gateway
			g.endpointLog.Do(func() { g.log.Warn("snapshot not written", "err", err) })
		}
	})
}

func (s *snapshotter) write() error {
	settings := &s.gateway.config.Settings
	snapshot := &recovery.Snapshot{
		GatewayIndex:   settings.GatewayIndex,
		GatewayCount:   settings.GatewayCount,
		BootID:         s.bootID,
		SettingsDigest: s.settingsDigest,
	}
	debts := s.collectDebts()
	snapshot.TakenAt = time.Now().Round(0)
	snapshot.Customers, snapshot.Complete = debts.Largest()
	// A gateway that started without knowing all customers cannot write a complete snapshot until every token bucket
	// has had time to refill: until then, a customer that is not in the snapshot may still have a debt.
	if s.assumedQuotaSpent && snapshot.TakenAt.Sub(s.startedAt) < recovery.RefillTime(settings.Plans) {
		snapshot.Complete = false
	}
	encoded, err := recovery.Encode(snapshot)
	if err != nil {
		return err
	}
	return s.file.Write(encoded)
}

// collectDebts reads all customers in steps, so that requests are served between the steps.
func (s *snapshotter) collectDebts() *recovery.QuotaDebts {
	debts := recovery.NewQuotaDebts(s.gateway.config.Settings.Plans, recovery.MaxCustomers)
	next, stop := iter.Pull2(s.engine.Customers())
	defer stop()
	for more := true; more; {
		s.gateway.executor.Inspect(func() {
			for i := 0; i < customersPerStep && more; i++ {
				var customer decision.CustomerState
				var owes bool
				if customer, owes, more = next(); more && owes {
					debts.Add(customer)
				}
			}
		})
	}
	return debts
}

// runPeriodically calls write at every interval until ctx ends, and once more when it ends.
func runPeriodically(ctx context.Context, interval time.Duration, write func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ended := false; !ended; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			ended = true
		}
		write()
	}
}
