package operatorconfig

import (
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/idempotency"
	"pumicecroft/internal/settings"
)

// readIdempotencyKeys reads [keys], after classes: the limits on retained responses to requests with
// idempotency keys, and the journal in which they are stored.
func readIdempotencyKeys(s *settings.Section, f *File) *idempotency.Limits {
	limits := &idempotency.Limits{
		MaxBytes:         s.Int("bytes", 64<<20, 64<<10, 1<<40),
		MaxResponseBytes: s.Int("most_answer", 64<<10, 1, 64<<10),
		TTL:              s.Duration("keep", day, time.Second, 30*day),
		RetryAfter:       s.Duration("advice", time.Second, time.Millisecond, time.Minute),
	}
	limits.UnknownTTL = s.Duration("keep_doubt", limits.TTL, time.Second, 30*day)
	for _, c := range f.Gateway.Settings.Classes {
		minTTL := c.Deadline + c.DedupWindow
		if c.Idempotency != decision.Idempotent && limits.UnknownTTL < minTTL {
			s.Problemf("keep_doubt",
				"%v is below the deadline and key window of class %q, %v: "+
					"a repeat of a request that may have run could run again",
				limits.UnknownTTL, c.Name, minTTL)
		}
	}
	f.Gateway.IdempotencyJournal = readJournal(s)
	s.RejectUnknownKeys()
	return limits
}

// readJournal reads the configuration of the journal of idempotency keys. nil means no journal.
func readJournal(s *settings.Section) *pumicecroft.IdempotencyJournal {
	dir := s.String("journal", false)
	if dir == "" {
		for _, key := range []string{"journal_gather", "journal_sync", "journal_patience", "journal_down"} {
			if _, ok := s.Get(key); ok {
				s.Problemf(key, "it is of no use without journal, the directory")
			}
		}
		return nil
	}
	return &pumicecroft.IdempotencyJournal{
		Dir:              dir,
		GroupCommitDelay: s.Duration("journal_gather", 0, 0, time.Second),
		SyncInterval:     s.Duration("journal_sync", 0, 0, time.Minute),
		WriteTimeout:     s.Duration("journal_patience", time.Second, time.Millisecond, time.Minute),
		RejectOnFailure:  s.OneOf("journal_down", "serve", "serve", "refuse") == 1,
	}
}
