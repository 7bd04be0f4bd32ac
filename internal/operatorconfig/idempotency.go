package operatorconfig

import (
	"time"

	"pumicecroft"
	"pumicecroft/idempotency"
	"pumicecroft/internal/settings"
)

// readIdempotency reads how idempotency keys are recognised at the edge, and kept.
func readIdempotency(d *settings.Document, s *settings.Section, f *File) *idempotency.Limits {
	l := &idempotency.Limits{
		MaxBytes:         s.Int("bytes", 64<<20, 64<<10, 1<<40),
		MaxResponseBytes: s.Int("most_answer", 64<<10, 1, 64<<10),
		TTL:              s.Duration("keep", day, time.Second, 30*day),
		RetryAfter:       s.Duration("advice", time.Second, time.Millisecond, time.Minute),
	}
	l.UnknownTTL = s.Duration("keep_doubt", l.TTL, time.Second, 30*day)
	for _, c := range f.Gateway.Settings.Classes {
		if least := c.Deadline + c.DedupWindow; c.Idempotency != 0 && l.UnknownTTL < least {
			d.Problemf(s.Path, "keep_doubt", "%v is below the deadline and key window of class %q, %v: a repeat of what may have run would go on", l.UnknownTTL, c.Name, least)
		}
	}
	if dir := s.Text("journal", false); dir != "" {
		f.Gateway.IdempotencyJournal = &pumicecroft.IdempotencyJournal{
			Dir:              dir,
			GroupCommitDelay: s.Duration("journal_gather", 0, 0, time.Second),
			SyncInterval:     s.Duration("journal_sync", 0, 0, time.Minute),
			WriteTimeout:     s.Duration("journal_patience", time.Second, time.Millisecond, time.Minute),
			RejectOnFailure:  s.OneOf("journal_down", "serve", "serve", "refuse") == 1,
		}
	} else {
		for _, key := range []string{"journal_gather", "journal_sync", "journal_patience", "journal_down"} {
			if _, there := s.Get(key); there {
				d.Problemf(s.Path, key, "it is of no use without journal, the directory")
			}
		}
	}
	s.RejectUnknownKeys()
	return l
}
