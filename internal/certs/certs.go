// Package certs provides a TLS listener's certificates by server name and reloads them when their files
// change. An invalid pair is reported, and the previous one stays in use. Open connections keep the
// certificate of their handshake. Errors and log lines never contain key material.
//
// certs.go reads files; set.go selects certificates and does no I/O.
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

// Pair names the PEM files of a certificate and its private key.
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

// trackedPair is a pair with the state of its last reload.
type trackedPair struct {
	Pair
	digest [sha256.Size]byte // of the last content that was read, valid or not
	cert   *tls.Certificate  // the last valid certificate; nil: there is none
}

// PairError describes an invalid pair.
type PairError struct {
	Index int // index in the pairs that New was given, from 0
	Err   error
}

func (e *PairError) Error() string { return fmt.Sprintf("certificate %d: %v", e.Index+1, e.Err) }

// Unwrap returns the underlying error.
func (e *PairError) Unwrap() error { return e.Err }

// New returns a Store with the certificates of the given pairs. All pairs must be valid; the error joins
// a PairError for each that is not.
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

// Reload reads the files again and replaces the certificates that have changed and are valid. The error
// joins a PairError for each invalid pair. An invalid pair is reported again only when its files change.
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

// readPair returns the certificate of a pair, or nil if its files have not changed since the last read.
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

// Watch reloads the files once per interval until ctx is done.
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

// Set returns the certificates currently in use.
func (s *Store) Set() *Set { return s.current.Load() }

// GetCertificate selects the certificate for a handshake. It is meant for tls.Config.GetCertificate.
func (s *Store) GetCertificate(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	return s.current.Load().Select(hello)
}
