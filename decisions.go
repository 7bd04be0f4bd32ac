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

// snapshotInterval is how often a door's decisions are kept.
const snapshotInterval = time.Second

// customersPerStep is how many customers are looked at while nothing else happens: a tenth of a millisecond.
const customersPerStep = 500

// snapshotter keeps what a door's decisions rest on: who owes and who is held down. What a later process makes of it is package recovery's.
type snapshotter struct {
	gateway           *Gateway
	file              *snapshotfile.File // nil: another process has it, or the directory can't be used
	engine            *decision.Engine
	bootID            uint64
	settingsDigest    uint64
	startedAt         time.Time
	assumedQuotaSpent bool // it began with customers of whom nothing is known
}

// restoreSnapshot says what the door begins with, and keeps the file for this process.
func (d *Gateway) restoreSnapshot(boot uint64) (*snapshotter, recovery.Restored) {
	set := d.config.Settings
	k := &snapshotter{gateway: d, bootID: boot, startedAt: time.Now(), settingsDigest: recovery.SettingsDigest(set)}
	begin := func() recovery.Restored {
		var err error
		if k.file, err = snapshotfile.Open(d.config.StateDir, set.GatewayIndex); err != nil {
			return recovery.RestoreNothing(err)
		}
		text, err := k.file.Read()
		if err != nil {
			return recovery.RestoreNothing(err)
		}
		s, err := recovery.Decode(text)
		if err != nil {
			return recovery.RestoreNothing(err)
		}
		return recovery.Restore(s, recovery.GatewayInfo{Index: set.GatewayIndex, Count: set.GatewayCount, SettingsDigest: k.settingsDigest, Plans: set.Plans}, time.Now())
	}
	b := begin()
	k.assumedQuotaSpent = b.AssumeQuotaSpent
	switch {
	case errors.Is(b.Err, fs.ErrNotExist):
		d.log.Info("the door begins with no decisions kept", "why", b.Explanation)
	case b.Err != nil:
		d.log.Warn("the decisions that were kept are not believed", "err", b.Err, "why", b.Explanation)
	default:
		d.log.Info("the door begins with the decisions that were kept", "age", b.Age.Round(time.Millisecond), "owing", len(b.Customers), "repaid", b.Repaid, "why", b.Explanation)
	}
	return k, b
}

// run keeps the decisions until ctx ends, and once more then.
func (k *snapshotter) run(ctx context.Context) {
	defer k.file.Close()
	runPeriodically(ctx, snapshotInterval, func() {
		if err := k.write(); err != nil {
			k.gateway.endpointLog.Do(func() { k.gateway.log.Warn("the decisions can't be kept", "err", err) })
		}
	})
}

func (k *snapshotter) write() error {
	set := &k.gateway.config.Settings
	s := &recovery.Snapshot{GatewayIndex: set.GatewayIndex, GatewayCount: set.GatewayCount, BootID: k.bootID, SettingsDigest: k.settingsDigest}
	debtors := recovery.NewQuotaDebts(set.Plans, recovery.MaxCustomers)
	next, stop := iter.Pull2(k.engine.Customers())
	defer stop()
	for more := true; more; {
		k.gateway.executor.Inspect(func() {
			var c decision.CustomerState
			var owes bool
			for i := 0; i < customersPerStep && more; i++ {
				if c, owes, more = next(); more && owes {
					debtors.Add(c)
				}
			}
		})
	}
	s.TakenAt = time.Now().Round(0)
	s.Customers, s.Complete = debtors.Largest()
	s.Complete = s.Complete && (!k.assumedQuotaSpent || s.TakenAt.Sub(k.startedAt) >= recovery.RefillTime(set.Plans))
	text, err := recovery.Encode(s)
	if err != nil {
		return err
	}
	return k.file.Write(text)
}
