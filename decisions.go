package pumicecroft

import (
	"context"
	"errors"
	"io/fs"
	"iter"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/kept"
	"pumicecroft/recovery"
)

// snapshotEvery is how often a door's decisions are kept.
const snapshotEvery = time.Second

// atOnce is how many customers are looked at while nothing else happens: a tenth of a millisecond.
const atOnce = 500

// decisions keeps what a door's decisions rest on: who owes and who is held down. What a later process makes of it is package recovery's.
type decisions struct {
	door    *Door
	file    *kept.File // nil: another process has it, or the directory can't be used
	gateway *decision.Gateway
	boot    uint64
	digest  uint64
	began   time.Time
	spent   bool // it began with customers of whom nothing is known
}

// beginning says what the door begins with, and keeps the file for this process.
func (d *Door) beginning(boot uint64) (*decisions, recovery.Beginning) {
	set := d.config.Settings
	k := &decisions{door: d, boot: boot, began: time.Now(), digest: recovery.Digest(set)}
	begin := func() recovery.Beginning {
		var err error
		if k.file, err = kept.Open(d.config.StateDir, set.Me); err != nil {
			return recovery.Nothing(err)
		}
		text, err := k.file.Read()
		if err != nil {
			return recovery.Nothing(err)
		}
		s, err := recovery.Decode(text)
		if err != nil {
			return recovery.Nothing(err)
		}
		return recovery.Begin(s, recovery.Door{Number: set.Me, Of: set.FrontDoors, Settings: k.digest, Plans: set.Plans}, time.Now())
	}
	b := begin()
	k.spent = b.Spent
	switch {
	case errors.Is(b.Err, fs.ErrNotExist):
		d.log.Info("the door begins with no decisions kept", "why", b.Why)
	case b.Err != nil:
		d.log.Warn("the decisions that were kept are not believed", "err", b.Err, "why", b.Why)
	default:
		d.log.Info("the door begins with the decisions that were kept", "age", b.Age.Round(time.Millisecond), "owing", len(b.Customers), "repaid", b.Repaid, "why", b.Why)
	}
	return k, b
}

// run keeps the decisions until ctx ends, and once more then.
func (k *decisions) run(ctx context.Context) {
	defer k.file.Close()
	keepOn(ctx, snapshotEvery, func() {
		if err := k.keep(); err != nil {
			k.door.listLog.Do(func() { k.door.log.Warn("the decisions can't be kept", "err", err) })
		}
	})
}

func (k *decisions) keep() error {
	set := &k.door.config.Settings
	s := &recovery.Snapshot{Door: set.Me, Of: set.FrontDoors, Boot: k.boot, Settings: k.digest}
	debtors := recovery.NewDebtors(set.Plans, recovery.MostCustomers)
	next, stop := iter.Pull2(k.gateway.Customers())
	defer stop()
	for more := true; more; {
		k.door.driver.Look(func() {
			var c decision.CustomerState
			var owes bool
			for i := 0; i < atOnce && more; i++ {
				if c, owes, more = next(); more && owes {
					debtors.Add(c)
				}
			}
		})
	}
	s.At = time.Now().Round(0)
	s.Customers, s.Whole = debtors.All()
	s.Whole = s.Whole && (!k.spent || s.At.Sub(k.began) >= recovery.Refilled(set.Plans))
	text, err := recovery.Encode(s)
	if err != nil {
		return err
	}
	return k.file.Write(text)
}
