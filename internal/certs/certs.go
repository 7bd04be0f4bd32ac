// Package certs serves a listener's certificates by the name that a client asks for, and reads them again when their files change: a pair that
// can't be used leaves the one in force and is said, and connections that are up go on with what they have. set.go chooses and does no I/O.
// Nothing of a key is ever in an error or a log.
package certs

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Pair names the files of a certificate and its key.
type Pair struct{ CertFile, KeyFile string }

// ReadFile reads a file, as os.ReadFile does.
type ReadFile func(name string) ([]byte, error)

// Store holds the certificates of a listener. It is safe for concurrent use.
type Store struct {
	readFile ReadFile
	logger   *slog.Logger
	now      func() time.Time
	current  atomic.Pointer[Set]

	mu    sync.Mutex // readers of files
	pairs []trackedPair
}

type trackedPair struct {
	Pair
	digest [sha256.Size]byte // of what was read last, good or bad
	cert   *tls.Certificate
}

// PairError is what is wrong with a pair.
type PairError struct {
	Index int // from 0
	Err   error
}

func (e *PairError) Error() string { return fmt.Sprintf("certificate %d: %v", e.Index+1, e.Err) }

// Unwrap gives the cause.
func (e *PairError) Unwrap() error { return e.Err }

// New reads pairs. All must be good to begin with; the errors are PairErrors.
func New(pairs []Pair, read ReadFile, now func() time.Time, log *slog.Logger) (*Store, error) {
	s := &Store{readFile: read, logger: log, now: now}
	for _, p := range pairs {
		s.pairs = append(s.pairs, trackedPair{Pair: p})
	}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again, and puts in force what has changed and is good. The error joins a PairError for each pair that is not, once for
// each content that its files have.
func (s *Store) Reload() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var bad []error
	changed := false
	for i := range s.pairs {
		p := &s.pairs[i]
		cert, err := s.readPair(p)
		switch {
		case err != nil:
			bad = append(bad, &PairError{i, err})
		case cert != nil:
			p.cert, changed = cert, true
		}
	}
	var all []*tls.Certificate
	for _, p := range s.pairs {
		if p.cert != nil {
			all = append(all, p.cert)
		}
	}
	if changed {
		s.current.Store(NewSet(all))
	}
	return errors.Join(bad...)
}

// readPair gives a pair's certificate if it is another than the last; nil, nil: nothing has changed.
func (s *Store) readPair(p *trackedPair) (*tls.Certificate, error) {
	certText, err := s.readFile(p.CertFile)
	var keyText []byte
	if err == nil {
		keyText, err = s.readFile(p.KeyFile)
	}
	seen := sha256.Sum256(bytes.Join([][]byte{certText, keyText, []byte(fmt.Sprint(err))}, []byte{0}))
	if seen == p.digest {
		return nil, nil
	}
	p.digest = seen
	if err != nil {
		return nil, err
	}
	return Parse(certText, keyText, s.now())
}

// Watch reads the files again every so often until ctx ends.
func (s *Store) Watch(ctx context.Context, every time.Duration) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if err := s.Reload(); err != nil {
				s.logger.Error("a certificate that can't be used: the one before stays in force", "err", err)
			}
		}
	}
}

// Set is what is in force.
func (s *Store) Set() *Set { return s.current.Load() }

// GetCertificate is a tls.Config's GetCertificate.
func (s *Store) GetCertificate(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	return s.current.Load().Select(hello)
}
