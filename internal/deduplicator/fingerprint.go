package deduplicator

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"pumicecroft/idempotency"
)

// fingerprintKeyFile is the name of the file with the key, in the journal's directory.
const fingerprintKeyFile = "secret"

// fingerprintKeyLen is the length of the key in bytes.
const fingerprintKeyLen = 32

// Fingerprint returns a keyed hash of a request's parts, so that clients can't construct two different
// requests with the same fingerprint. Each part is hashed with its length, so that the same bytes
// split into other parts have another fingerprint.
func (d *Deduplicator) Fingerprint(parts ...[]byte) (f idempotency.Fingerprint) {
	h := hmac.New(sha256.New, d.fingerprintKey[:])
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write(p)
	}
	copy(f[:], h.Sum(nil))
	return f
}

// loadFingerprintKey reads the key from the journal's directory, or writes a random one if the journal
// is new. With another key, a repeated request would not match its fingerprint in the journal.
func (d *Deduplicator) loadFingerprintKey(newJournal bool) error {
	path := filepath.Join(d.journalConfig.Dir, fingerprintKeyFile)
	b, err := os.ReadFile(path)
	switch {
	case err == nil && len(b) == len(d.fingerprintKey):
		copy(d.fingerprintKey[:], b)
		return nil
	case err == nil && !newJournal:
		return fmt.Errorf("%s has %d bytes, expected %d", path, len(b), len(d.fingerprintKey))
	case err != nil && !errors.Is(err, fs.ErrNotExist):
		return err
	case !newJournal:
		return fmt.Errorf("%s is missing: the fingerprints in the journal can't be checked without it", path)
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(d.fingerprintKey[:])
	return errors.Join(err, f.Sync(), f.Close()) // the directory is synced when the first segment is created
}
