// Package certs serves a listener's certificates by the name that a client asks for, and reads them
// again when their files change. An invalid pair is reported and leaves the one before in force;
// connections keep the certificate that they began with. Nothing of a key is ever in an error or log.
//
// certs.go reads files, set.go selects certificates and does no I/O.
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

// Pair names the files of a certificate and its key, in PEM.
type Pair struct{ CertFile, KeyFile string }

// ReadFile reads a file, as os.ReadFile does.
type ReadFile func(name string) ([]byte, error)

// Store holds the certificates of a listener. It is safe for concurrent use.
type Store struct {
	readFile ReadFile
	logger   *slog.Logger
	now      func() time.Time
	current  atomic.Pointer[Set]

	mu    sync.Mutex // held while files are read
	pairs []trackedPair
}

type trackedPair struct {
	Pair
	digest [sha256.Size]byte // of what was read last, valid or not
	cert   *tls.Certificate
}

// PairError says what is wrong with a pair.
type PairError struct {
	Index int // from 0
	Err   error
}

func (e *PairError) Error() string { return fmt.Sprintf("certificate %d: %v", e.Index+1, e.Err) }

// Unwrap returns the cause.
func (e *PairError) Unwrap() error { return e.Err }

// New reads pairs. All must be valid; the error joins a PairError for each that is not.
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

// Reload reads the files again, and puts in force what has changed and is valid. The error joins a
// PairError for each pair that is not, once for each content that its files have.
func (s *Store) Reload() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var errs []error
	changed := false
	for i := range s.pairs {
		p := &s.pairs[i]
		cert, err := s.readPair(p)
		switch {
		case err != nil:
			errs = append(errs, &PairError{i, err})
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
	return errors.Join(errs...)
}

// readPair returns a pair's certificate, or nil if its files have not changed.
func (s *Store) readPair(p *trackedPair) (*tls.Certificate, error) {
	certText, err := s.readFile(p.CertFile)
	var keyText []byte
	if err == nil {
		keyText, err = s.readFile(p.KeyFile)
	}
	digest := sha256.Sum256(bytes.Join([][]byte{certText, keyText, []byte(fmt.Sprint(err))}, []byte{0}))
	if digest == p.digest {
		return nil, nil
	}
	p.digest = digest
	if err != nil {
		return nil, err
	}
	return Parse(certText, keyText, s.now())
}

// Watch reads the files again at each interval until ctx ends.
func (s *Store) Watch(ctx context.Context, interval time.Duration) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if err := s.Reload(); err != nil {
				s.logger.Error("invalid certificate ignored", "err", err)
			}
		}
	}
}

// Set returns the certificates in force.
func (s *Store) Set() *Set { return s.current.Load() }

// GetCertificate is for a tls.Config.
func (s *Store) GetCertificate(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	return s.current.Load().Select(hello)
}
