package recovery

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"pumicecroft/decision"
)

// FormatVersion is the version of the format that Encode writes and Decode reads.
const FormatVersion = 1

// MaxCustomers is the most customers that a snapshot holds. If there are more, those with the largest debts are kept.
const MaxCustomers = 100_000

// Reasons for which a snapshot is rejected.
var (
	ErrCorrupt       = errors.New("recovery: snapshot is torn or damaged")
	ErrFormatVersion = errors.New("recovery: unsupported snapshot format")
	ErrOtherGateway  = errors.New("recovery: snapshot of another gateway")
	ErrOtherSettings = errors.New("recovery: snapshot taken under other settings")
)

// Snapshot is the state of a gateway's decision engine that is kept over a restart. Its cbor tags are the field names
// in stored snapshots and must never change.
type Snapshot struct {
	GatewayIndex   int                      `cbor:"Door"`
	GatewayCount   int                      `cbor:"Of"`
	BootID         uint64                   `cbor:"Boot"` // boot ID of the process that took the snapshot
	TakenAt        time.Time                `cbor:"At"`
	SettingsDigest uint64                   `cbor:"Settings"` // digest of the settings in force at TakenAt
	Customers      []decision.CustomerState `cbor:"Customers"`
	// Complete means that no customer with a debt is missing, neither because of MaxCustomers nor because the gateway
	// did not know of its debt.
	Complete bool `cbor:"Whole"`
}

var magic = []byte("pumicecroft decisions ")

const checksumHeaderSize = 16 // length and checksum, 8 bytes each

// Encode encodes a snapshot: a line with the format version, the length and checksum of the content, and the content as
// CBOR.
func Encode(s *Snapshot) ([]byte, error) {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, err
	}
	content, err := mode.Marshal(s)
	if err != nil {
		return nil, err
	}
	b := append(make([]byte, 0, len(content)+64), magic...)
	b = fmt.Appendf(b, "%d\n", FormatVersion)
	b = binary.BigEndian.AppendUint64(b, uint64(len(content)))
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(content))
	return append(b, content...), nil
}

// Decode decodes a snapshot that Encode encoded. Its error wraps ErrCorrupt or ErrFormatVersion.
func Decode(b []byte) (*Snapshot, error) {
	version, content, ok := splitHeader(b)
	if !ok {
		return nil, ErrCorrupt
	}
	if version != FormatVersion {
		return nil, fmt.Errorf("%w: version %d, this build reads %d", ErrFormatVersion, version, FormatVersion)
	}
	if len(content) < checksumHeaderSize {
		return nil, ErrCorrupt
	}
	size, sum := binary.BigEndian.Uint64(content), binary.BigEndian.Uint64(content[8:])
	content = content[checksumHeaderSize:]
	if uint64(len(content)) != size || xxhash.Sum64(content) != sum {
		return nil, ErrCorrupt
	}
	var s Snapshot
	if err := cbor.Unmarshal(content, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if len(s.Customers) > MaxCustomers {
		return nil, fmt.Errorf("%w: it holds %d customers", ErrCorrupt, len(s.Customers))
	}
	return &s, nil
}

// splitHeader splits off the first line and returns the format version in it and the bytes after it.
func splitHeader(b []byte) (version int, content []byte, ok bool) {
	b, ok = bytes.CutPrefix(b, magic)
	line, content, found := bytes.Cut(b, []byte("\n"))
	version, err := strconv.Atoi(string(line))
	return version, content, ok && found && err == nil
}

// SettingsDigest returns a digest that is the same for equal settings. A snapshot is valid only under the settings that
// it was taken under.
func SettingsDigest(settings decision.Settings) uint64 {
	settings.AssumeQuotaSpent = false // it is derived from the snapshot
	encoded, err := cbor.Marshal(settings)
	if err != nil { // can't happen: all fields of Settings can be encoded
		return 0
	}
	return xxhash.Sum64(encoded)
}
