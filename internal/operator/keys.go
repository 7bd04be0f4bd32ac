package operator

import (
	"time"

	"pumicecroft"
	"pumicecroft/internal/settings"
	"pumicecroft/keys"
)

// readKeys reads how idempotency keys are recognised at the edge, and kept.
func readKeys(d *settings.Document, s *settings.Section, f *File) *keys.Limits {
	l := &keys.Limits{
		Bytes:      s.Whole("bytes", 64<<20, 64<<10, 1<<40),
		MostAnswer: s.Whole("most_answer", 64<<10, 1, 64<<10),
		Keep:       s.Duration("keep", day, time.Second, 30*day),
		Advice:     s.Duration("advice", time.Second, time.Millisecond, time.Minute),
	}
	l.KeepDoubt = s.Duration("keep_doubt", l.Keep, time.Second, 30*day)
	for _, c := range f.Door.Settings.Classes {
		if least := c.Deadline + c.KeyWindow; c.Effect != 0 && l.KeepDoubt < least {
			d.Bad(s.Path, "keep_doubt", "%v is below the deadline and key window of class %q, %v: a repeat of what may have run would go on", l.KeepDoubt, c.Name, least)
		}
	}
	if dir := s.Text("journal", false); dir != "" {
		f.Door.KeysJournal = &pumicecroft.KeysJournal{
			Dir:       dir,
			Gather:    s.Duration("journal_gather", 0, 0, time.Second),
			SyncEvery: s.Duration("journal_sync", 0, 0, time.Minute),
			Patience:  s.Duration("journal_patience", time.Second, time.Millisecond, time.Minute),
			Refuse:    s.OneOf("journal_down", "serve", "serve", "refuse") == 1,
		}
	} else {
		for _, key := range []string{"journal_gather", "journal_sync", "journal_patience", "journal_down"} {
			if _, there := s.Get(key); there {
				d.Bad(s.Path, key, "it is of no use without journal, the directory")
			}
		}
	}
	s.Done()
	return l
}
