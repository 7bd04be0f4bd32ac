package operator

import (
	"time"

	"pumicecroft"
	"pumicecroft/keys"
)

// readKeys reads how idempotency keys are recognised at the edge, and kept.
func readKeys(d *document, s *section, f *File) *keys.Limits {
	l := &keys.Limits{
		Bytes:      s.whole("bytes", 64<<20, 64<<10, 1<<40),
		MostAnswer: s.whole("most_answer", 64<<10, 1, 64<<10),
		Keep:       s.duration("keep", day, time.Second, 30*day),
		Advice:     s.duration("advice", time.Second, time.Millisecond, time.Minute),
	}
	l.KeepDoubt = s.duration("keep_doubt", l.Keep, time.Second, 30*day)
	for _, c := range f.Door.Settings.Classes {
		if least := c.Deadline + c.KeyWindow; c.Effect != 0 && l.KeepDoubt < least {
			d.bad(s.path, "keep_doubt", "%v is below the deadline and key window of class %q, %v: a repeat of what may have run would go on", l.KeepDoubt, c.Name, least)
		}
	}
	if dir := s.text("journal", false); dir != "" {
		f.Door.KeysJournal = &pumicecroft.KeysJournal{
			Dir:       dir,
			Gather:    s.duration("journal_gather", 0, 0, time.Second),
			SyncEvery: s.duration("journal_sync", 0, 0, time.Minute),
			Patience:  s.duration("journal_patience", time.Second, time.Millisecond, time.Minute),
			Refuse:    s.oneOf("journal_down", "serve", "serve", "refuse") == 1,
		}
	} else {
		for _, key := range []string{"journal_gather", "journal_sync", "journal_patience", "journal_down"} {
			if _, there := s.get(key); there {
				d.bad(s.path, key, "it is of no use without journal, the directory")
			}
		}
	}
	s.done()
	return l
}
