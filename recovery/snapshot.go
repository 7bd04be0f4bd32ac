package recovery

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"pumicecroft/decision"
)

// FormatVersion is the form of snapshots that Encode writes; another number is another form.
const FormatVersion = 1

// MaxCustomers is how many customers a snapshot holds at the most: those that owe most.
const MaxCustomers = 100_000

// Figures by which a snapshot is believed.
const (
	// MaxTrustedAge is the age up to which a snapshot says of customers that are not in it that they owe nothing. What one used meanwhile at
	// other doors is unseen for as long as use always is; a copy that was put back from longer ago is told from a fresh one by nothing else.
	MaxTrustedAge = 10 * time.Second
	// MaxClockSkew is how far a snapshot may be from the future: clocks are set by small steps all the time.
	MaxClockSkew = 2 * time.Second
)

// Why a snapshot is not believed.
var (
	ErrCorrupt       = errors.New("it is torn or damaged")
	ErrFormatVersion = errors.New("it is in another form")
	ErrOtherGateway  = errors.New("it is another door's")
	ErrOtherSettings = errors.New("it was kept under other settings")
)

// Snapshot is what a door keeps of its decisions. Its cbor tags are names in stored snapshots, and never change.
type Snapshot struct {
	GatewayIndex   int                      `cbor:"Door"` // the door's number and the number of doors, when it was kept
	GatewayCount   int                      `cbor:"Of"`
	BootID         uint64                   `cbor:"Boot"`     // of the process that kept it
	TakenAt        time.Time                `cbor:"At"`       // when
	SettingsDigest uint64                   `cbor:"Settings"` // a digest of the settings that it was kept under
	Customers      []decision.CustomerState `cbor:"Customers"`
	Complete       bool                     `cbor:"Whole"` // no customer that owes is left out, for want of room or because the door did not know
}

var magic = []byte("pumicecroft decisions ")

// Encode gives a snapshot's bytes: a line with the form, the length and checksum of the rest, and the rest.
func Encode(s *Snapshot) ([]byte, error) {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, err
	}
	rest, err := mode.Marshal(s)
	if err != nil {
		return nil, err
	}
	b := append(make([]byte, 0, len(rest)+64), magic...)
	b = fmt.Appendf(b, "%d\n", FormatVersion)
	b = binary.BigEndian.AppendUint64(b, uint64(len(rest)))
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(rest))
	return append(b, rest...), nil
}

// Decode is the reverse of Encode. The error is an ErrTorn or an ErrForm; nothing is given with one.
func Decode(b []byte) (*Snapshot, error) {
	form, rest, ok := splitHeader(b)
	if !ok {
		return nil, ErrCorrupt
	}
	if form != FormatVersion {
		return nil, fmt.Errorf("%w: form %d, this build reads %d", ErrFormatVersion, form, FormatVersion)
	}
	if len(rest) < 16 {
		return nil, ErrCorrupt
	}
	size, sum := binary.BigEndian.Uint64(rest), binary.BigEndian.Uint64(rest[8:])
	if rest = rest[16:]; uint64(len(rest)) != size || xxhash.Sum64(rest) != sum {
		return nil, ErrCorrupt
	}
	var s Snapshot
	if err := cbor.Unmarshal(rest, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if len(s.Customers) > MaxCustomers {
		return nil, fmt.Errorf("%w: it holds %d customers", ErrCorrupt, len(s.Customers))
	}
	return &s, nil
}

// splitHeader takes the line with the form off.
func splitHeader(b []byte) (form int, rest []byte, ok bool) {
	b, ok = bytes.CutPrefix(b, magic)
	line, rest, whole := bytes.Cut(b, []byte("\n"))
	form, err := strconv.Atoi(string(line))
	return form, rest, ok && whole && err == nil
}

// SettingsDigest tells settings apart: equal ones have the same digest, and a snapshot holds under those alone that it was kept under.
func SettingsDigest(set decision.Settings) uint64 {
	set.AssumeQuotaSpent = false // it follows from what was kept
	text, err := cbor.Marshal(set)
	if err != nil { // there is nothing in Settings that can't be written
		return 0
	}
	return xxhash.Sum64(text)
}

// RefillTime is the time after which everybody's store is full again who has used nothing since. A door that began with customers of whom
// nothing is known can say only then that those who are not in its snapshot owe nothing: else two restarts would give what one does not.
func RefillTime(plans []decision.Plan) (d time.Duration) {
	for _, p := range plans {
		if p.Rate > 0 {
			d = max(d, time.Duration(min(p.Burst/p.Rate, math.MaxInt32)*float64(time.Second)))
		}
	}
	return d
}

// QuotaDebts gathers the customers that owe most, as many as a snapshot holds. The zero value is not ready; see NewDebtors.
type QuotaDebts struct {
	limit     int
	plans     map[string]*decision.Plan
	debts     []quotaDebt
	truncated bool // somebody who owes was left out
}

type quotaDebt struct {
	decision.CustomerState
	owes float64
}

// NewQuotaDebts gathers at most so many.
func NewQuotaDebts(plans []decision.Plan, most int) *QuotaDebts {
	return &QuotaDebts{limit: most, plans: plansByName(plans)}
}

func plansByName(plans []decision.Plan) map[string]*decision.Plan {
	out := map[string]*decision.Plan{}
	for i := range plans {
		out[plans[i].Name] = &plans[i]
	}
	return out
}

// Add takes one that owes. It holds twice the most that it gives.
func (d *QuotaDebts) Add(c decision.CustomerState) {
	p := d.plans[c.Plan]
	if p == nil {
		return
	}
	if d.debts = append(d.debts, quotaDebt{c, c.QuotaDebt(p)}); len(d.debts) >= 2*d.limit {
		d.trim()
	}
}

func (d *QuotaDebts) trim() {
	slices.SortFunc(d.debts, func(a, b quotaDebt) int { return cmp.Or(cmp.Compare(b.owes, a.owes), cmp.Compare(a.ID, b.ID)) })
	if len(d.debts) > d.limit {
		d.debts, d.truncated = d.debts[:d.limit], true
	}
}

// Largest are those that owe most, who owes most first; whole: no other owes.
func (d *QuotaDebts) Largest() (out []decision.CustomerState, whole bool) {
	d.trim()
	for i := range d.debts {
		out = append(out, d.debts[i].CustomerState)
	}
	return out, !d.truncated
}

// GatewayInfo is who would begin with a snapshot.
type GatewayInfo struct {
	Index, Count   int
	SettingsDigest uint64
	Plans          []decision.Plan
}

// Restored is what a door begins with.
type Restored struct {
	// AssumeQuotaSpent: of customers that are not among Customers nothing is known, and they are taken to have used their bursts up
	// (decision.Settings.StartSpent). Else they owe nothing.
	AssumeQuotaSpent bool
	Customers        []decision.CustomerState // as they are by now
	Age              time.Duration            // of what it rests on; below 0: it is from the future
	Repaid           int                      // customers that owed and owe nothing by now
	Explanation      string                   // in words
	Err              error                    // why the snapshot is not believed at all
}

// RestoreNothing is what a door begins with that knows nothing.
func RestoreNothing(why error) Restored {
	return Restored{AssumeQuotaSpent: true, Err: why, Explanation: "nothing is known: customers are taken to have used their bursts up"}
}

// Restore says what a door makes of a snapshot at a time of day.
//
// What a customer owed is paid off at its plan's rate while time goes by. All doors may have been away together, and each would take the
// whole of that for its own to give: so each counts its part, and readings tell the rest within a second or two. How much time went by is the snapshot's age, and a snapshot may
// be a copy that was put back, or the clock may have been set: so only one that is younger than Believe is taken at its word, that those who
// are not in it owe nothing and those who are have paid since. Of any other only what is against a customer counts: it has no more than one
// of whom nothing is known, and no less time counts as paid than went by for certain, which is none.
func Restore(s *Snapshot, d GatewayInfo, now time.Time) Restored {
	switch {
	case s.GatewayIndex != d.Index || s.GatewayCount != d.Count:
		return RestoreNothing(fmt.Errorf("%w: door %d of %d, this is door %d of %d", ErrOtherGateway, s.GatewayIndex, s.GatewayCount, d.Index, d.Count))
	case s.SettingsDigest != d.SettingsDigest:
		return RestoreNothing(ErrOtherSettings)
	}
	age := now.Sub(s.TakenAt)
	b := Restored{Age: age, AssumeQuotaSpent: !s.Complete}
	paid := 0.0
	switch {
	case age < -MaxClockSkew:
		b.AssumeQuotaSpent, b.Explanation = true, fmt.Sprintf("it is from the future by %v, so the clock was set: only what is owed counts, and nothing is paid off", -age)
	case age > MaxTrustedAge:
		b.AssumeQuotaSpent, b.Explanation = true, fmt.Sprintf("it is %v old, over %v: only what is owed counts, and nothing is paid off", age.Round(time.Millisecond), MaxTrustedAge)
	case !s.Complete:
		paid, b.Explanation = elapsedSeconds(age), "it is young, and others may owe: who is not in it is taken to have used its burst up"
	default:
		paid, b.Explanation = elapsedSeconds(age), "it is young and whole: who is not in it owes nothing"
	}
	plans := plansByName(d.Plans)
	for _, c := range s.Customers {
		p := plans[c.Plan]
		if p == nil { // settings of one digest hold the same plans, but a snapshot may say anything
			continue
		}
		c.MissingTokens = max(0, c.MissingTokens-100*paid/float64(max(1, c.Gateways)))
		if math.IsNaN(c.MissingTokens) || c.QuotaDebt(p) <= 0 {
			b.Repaid++
			continue
		}
		b.Customers = append(b.Customers, c)
	}
	return b
}

func elapsedSeconds(d time.Duration) float64 { return max(0, d.Seconds()) }
