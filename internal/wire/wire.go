// Package wire translates between the lines of the simulator's wire and the types of package decision.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"pumicecroft/decision"
)

// MaxTimer is the longest timer that the wire takes; longer ones are shortened to it.
const MaxTimer = 71 * time.Minute

// Message is one decoded line from the simulator. At most one of Start, Stop, Event and Tally is set, besides the
// frame marks; a message that the library has no use for sets none.
type Message struct {
	Clock    bool          // a batch begins at At
	At       time.Duration // the batch's clock
	End      bool          // the batch ends
	Instance int
	Start    *Start
	Stop     bool
	Event    decision.Event
	Tally    Tally
}

// Tally is the counter's answer to a call: to the first under this name that has none.
type Tally struct {
	Told    bool // there is one
	Name    uint64
	Counted decision.Counted // without its Ref, which the wire does not carry
}

// Start begins an instance.
type Start struct {
	Seed     uint64
	Settings decision.Settings
}

type line struct {
	M        string          `json:"m"`
	At       *int64          `json:"at_time_us"`
	Door     *int            `json:"door"`
	Seed     uint64          `json:"random_seed"`
	Params   json.RawMessage `json:"params"`
	Mode     string          `json:"mode"`
	Elements []entry         `json:"elements"`
	Txn      *string         `json:"txn"`
	Spread   float64         `json:"spread"`
	First    float64         `json:"first_door"`
	Terms    string          `json:"terms"`
	Grade    string          `json:"grade"`
	Grace    int64           `json:"grace_us"`
	Units    float64         `json:"cost_units"`
	Caller   uint64          `json:"caller"`
	Took     int64           `json:"duration_us"`
	Try      int             `json:"try"`
	Use      int64           `json:"seen_use"`
	Backend  *uint32         `json:"backend"`
	Code     string          `json:"rc"`
	Last     bool            `json:"last"`
	Settled  float64         `json:"settled"`
	Load     []float64       `json:"health_info"`
	Ref      *uint64         `json:"ref"`
	Key      *uint64         `json:"counter_key"`
	Level    float64         `json:"level"`
}

type entry struct {
	Power   float64 `json:"power_hint"`
	Health  string  `json:"health"`
	Zone    string  `json:"az"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	Boot    int64   `json:"boot_time_us"`
	Backend *uint32 `json:"backend"`
}

type params struct {
	Balancers int    `json:"balancers"`
	Me        int    `json:"me"`
	Zone      string `json:"zone"`
	Discovery string `json:"discovery"`
	Lanes     []struct {
		Name      string  `json:"name"`
		Effect    string  `json:"effect"`
		Group     string  `json:"group"`
		KeyTTL    int64   `json:"key_ttl_us"`
		Aim       int64   `json:"goal_time_us"`
		Deadline  int64   `json:"deadline_us"`
		Gain      float64 `json:"gain"`
		LateValue float64 `json:"late_value"`
		Stream    bool    `json:"stream"`
	} `json:"lanes"`
	Tariffs []struct {
		Name      string  `json:"name"`
		Rate      float64 `json:"units_per_s"`
		Burst     float64 `json:"burst"`
		Parallel  int     `json:"parallel"`
		Value     float64 `json:"value_factor"`
		OverWorth float64 `json:"excess_worth"`
		OverCost  float64 `json:"excess_cost"`
		CeilRate  float64 `json:"ceiling_rate"`
		CeilDepth float64 `json:"never_over_depth"`
		CeilSlack float64 `json:"cap_slack"`
	} `json:"tariffs"`
	Family struct {
		Meter   int64   `json:"meter_period_us"`
		Largest float64 `json:"largest"`
		Counter bool    `json:"has_counter"`
		Limit   int64   `json:"count_limit_us"`
	} `json:"family_info"`
	Limits struct {
		Cancel     bool  `json:"cancel"`
		Probes     bool  `json:"probes"`
		Attempts   int   `json:"max_attempts"`
		Parallel   bool  `json:"parallel_tries"`
		RetryAfter bool  `json:"retry_after"`
		MaxAfter   int64 `json:"max_retry_after_us"`
		ConnIdle   int64 `json:"conn_idle_us"`
		Connect    int64 `json:"connect_timeout_us"`
	} `json:"policy_limits"`
	Duties struct {
		Grace    int64   `json:"grace_to_answer_us"`
		Drain    int64   `json:"stop_sending_within_us"`
		Ask      int64   `json:"must_ask_in_us"`
		ColdFrom float64 `json:"cold_from"`
		Warm     int64   `json:"warm_within_us"`
		Multiple float64 `json:"fall_multiple"`
		Fall     int64   `json:"fall_us"`
	} `json:"obligations"`
	Stats struct {
		Columns []string `json:"columns"`
		How     string   `json:"how"`
	} `json:"stats"`
}

var results = map[string]decision.Result{
	"delivered": decision.Answered, "app_error": decision.AnsweredErr, "shed": decision.Refused, "expired": decision.TimedOut,
	"dial_failed": decision.NoConnection, "dropped": decision.Broken, "revoked": decision.Cancelled, "unused": decision.NotSent,
}

var states = map[string]decision.BackendState{"healthy": decision.Ready, "cordoned": decision.Draining, "deregistered": decision.Gone}

var modes = map[string]decision.ListKind{
	"INCREMENTAL": decision.ListChanges, "FULL": decision.ListFull, "SAVED": decision.ListSaved, "FAILED": decision.ListFailed,
}

var effects = map[string]decision.Effect{"": decision.Safe, "retryable": decision.Safe, "dedup": decision.Keyed, "fragile": decision.Unsafe}

var groups = map[string]decision.Group{"": decision.GroupAll, "all": decision.GroupAll, "zone": decision.GroupZone, "cell": decision.GroupCell}

func us(v int64) time.Duration {
	if v > math.MaxInt64/1000 {
		v = math.MaxInt64 / 1000
	}
	if v < math.MinInt64/1000 {
		v = math.MinInt64 / 1000
	}
	return time.Duration(v) * time.Microsecond
}

// Decode reads one line. It refuses what is malformed and skips what it does not know.
func Decode(text []byte) (Message, error) {
	var l line
	var m Message
	if err := json.Unmarshal(text, &l); err != nil {
		return m, fmt.Errorf("not a message: %w", err)
	}
	switch l.M {
	case "":
		return m, errors.New("a message without a name")
	case "clock":
		if l.At == nil {
			return m, errors.New("a clock line without a time")
		}
		m.Clock, m.At = true, us(*l.At)
		return m, nil
	case "eob":
		m.End = true
		return m, nil
	}
	if l.Door == nil {
		return m, fmt.Errorf("%s without an instance", l.M)
	}
	m.Instance = *l.Door
	var err error
	switch l.M {
	case "boot":
		m.Start, err = decodeStart(l)
	case "detach":
		m.Stop = true
	case "targets":
		m.Event, err = decodeList(l)
	case "call":
		m.Event, err = decodeRequest(l)
	case "closed_attempt":
		m.Event, err = decodeOutcome(l)
	case "established":
		var id decision.RequestID
		id, err = requestID(l)
		m.Event = decision.AnswerStarted{Request: id, Attempt: l.Try}
	case "client_left":
		var id decision.RequestID
		id, err = requestID(l)
		m.Event = decision.ClientGone{Request: id}
	case "sampled":
		if l.Backend == nil {
			return m, errors.New("sampled without a backend")
		}
		m.Event = decision.ProbeResult{Backend: decision.BackendID(*l.Backend), Result: result(l.Code), Took: us(l.Took),
			Load: l.Load}
	case "reminder":
		if l.Ref == nil {
			return m, errors.New("reminder without a ref")
		}
		m.Event = decision.Timer{Token: *l.Ref}
	case "tally_back":
		if l.Key == nil {
			return m, errors.New("tally_back without a name")
		}
		m.Tally = Tally{Told: true, Name: *l.Key, Counted: decision.Counted{Result: result(l.Code), Total: l.Level}}
	}
	return m, err
}

func result(code string) decision.Result {
	if r, ok := results[code]; ok {
		return r
	}
	return decision.Unknown
}

func requestID(l line) (decision.RequestID, error) {
	if l.Txn == nil || len(*l.Txn) != 16 {
		return 0, fmt.Errorf("%s without a request id of 16 hex digits", l.M)
	}
	v, err := strconv.ParseUint(*l.Txn, 16, 64)
	if err != nil || formatID(decision.RequestID(v)) != *l.Txn {
		return 0, fmt.Errorf("%s with the request id %q", l.M, *l.Txn)
	}
	return decision.RequestID(v), nil
}

func formatID(id decision.RequestID) string { return fmt.Sprintf("%016x", uint64(id)) }

func decodeRequest(l line) (decision.Event, error) {
	id, err := requestID(l)
	return decision.Request{ID: id, Customer: decision.CustomerID(l.Caller), Class: l.Grade, Plan: l.Terms,
		Units: l.Units, Patience: us(l.Grace), FirstDoor: int(l.First), Spread: int(l.Spread)}, err
}

func decodeOutcome(l line) (decision.Event, error) {
	id, err := requestID(l)
	if err == nil && l.Backend == nil {
		err = errors.New("an outcome without a backend")
	}
	if err != nil {
		return nil, err
	}
	return decision.Outcome{Request: id, Backend: decision.BackendID(*l.Backend), Attempt: l.Try, Result: result(l.Code),
		Took: us(l.Took), Final: l.Last, HasUse: l.Use > 0, Use: float64(l.Use - 1), Units: l.Settled,
		Load: l.Load}, nil
}

func decodeList(l line) (decision.Event, error) {
	kind, ok := modes[l.Mode]
	if !ok {
		return nil, fmt.Errorf("a list of unknown kind %q", l.Mode)
	}
	out := decision.BackendList{Kind: kind}
	for _, e := range l.Elements {
		state, ok := states[e.Health]
		if !ok || e.Backend == nil {
			return nil, fmt.Errorf("a list entry without a backend or with the state %q", e.Health)
		}
		out.Backends = append(out.Backends, decision.BackendInfo{ID: decision.BackendID(*e.Backend), State: state,
			Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Started: us(e.Boot), Weight: e.Power})
	}
	return out, nil
}

func decodeStart(l line) (*Start, error) {
	if len(l.Params) == 0 {
		return nil, errors.New("boot without settings")
	}
	s, _, err := DecodeSettings(l.Params)
	if err != nil {
		return nil, err
	}
	return &Start{Seed: l.Seed, Settings: s}, nil
}

// Connections are the settings on connections to backends, counter and discovery. Only a front door on real sockets needs them.
type Connections struct {
	Idle    time.Duration // a backend closes one that was idle for this long
	Connect time.Duration // one that is not up by then counts as failed
	Count   time.Duration // a call of the counter without an answer by then counts as lost
	Ask     time.Duration // discovery has to be asked within this by a door that it does not tell; 0: it tells without a call
}

// DecodeSettings reads the settings of an instance. They have the same form on the wire and in the
// configuration of a real front door.
func DecodeSettings(text []byte) (decision.Settings, Connections, error) {
	var p params
	if err := json.Unmarshal(text, &p); err != nil {
		return decision.Settings{}, Connections{}, fmt.Errorf("settings: %w", err)
	}
	if err := p.check(); err != nil {
		return decision.Settings{}, Connections{}, fmt.Errorf("settings: %w", err)
	}
	s := decision.Settings{FrontDoors: p.Balancers, Me: p.Me, Zone: p.Zone, MeterPeriod: us(p.Family.Meter),
		LargestUnits: p.Family.Largest, MaxAttempts: p.Limits.Attempts, ParallelTries: p.Limits.Parallel,
		CanCancel: p.Limits.Cancel, CanProbe: p.Limits.Probes, AskForList: p.Discovery == "on_request",
		LoadColumns: p.Stats.Columns, LoadInAnswers: p.Stats.How == "answers", AnswerGrace: us(p.Duties.Grace),
		DrainGrace: us(p.Duties.Drain), ColdFrom: p.Duties.ColdFrom, WarmWithin: us(p.Duties.Warm),
		FallMultiple: p.Duties.Multiple, FallFor: us(p.Duties.Fall), SharedCounter: p.Family.Counter}
	if p.Limits.RetryAfter {
		s.MaxRetryAfter = us(p.Limits.MaxAfter)
	}
	for _, c := range p.Lanes {
		effect, ok := effects[c.Effect]
		group, ok2 := groups[c.Group]
		if !ok || !ok2 {
			return decision.Settings{}, Connections{}, fmt.Errorf("settings: lanes: class %q has the effect %q and the group %q",
				c.Name, c.Effect, c.Group)
		}
		s.Classes = append(s.Classes, decision.Class{Name: c.Name, Effect: effect, Group: group,
			KeyWindow: us(c.KeyTTL), Aim: us(c.Aim), Deadline: us(c.Deadline), Worth: c.Gain,
			LateWorth: c.LateValue, Stream: c.Stream})
	}
	for _, t := range p.Tariffs {
		s.Plans = append(s.Plans, decision.Plan{Name: t.Name, Rate: t.Rate, Burst: t.Burst, Open: t.Parallel,
			Price: t.Value, OverWorth: t.OverWorth, OverCost: t.OverCost, CeilingRate: t.CeilRate,
			CeilingBurst: t.CeilDepth, CeilingSlack: t.CeilSlack})
	}
	conns := Connections{Idle: us(p.Limits.ConnIdle), Connect: us(p.Limits.Connect), Count: us(p.Family.Limit)}
	if s.AskForList {
		conns.Ask = us(p.Duties.Ask)
	}
	return s, conns, nil
}

// check tells of a time that can't be, by its key.
func (p *params) check() error {
	for _, c := range p.Lanes {
		switch {
		case c.Deadline <= 0:
			return fmt.Errorf("lanes: class %q: deadline_us is %d, it has to be above 0", c.Name, c.Deadline)
		case c.Aim <= 0:
			return fmt.Errorf("lanes: class %q: goal_time_us is %d, it has to be above 0", c.Name, c.Aim)
		case c.KeyTTL < 0:
			return fmt.Errorf("lanes: class %q: key_ttl_us is %d, below 0", c.Name, c.KeyTTL)
		}
	}
	d, l := &p.Duties, &p.Limits
	for key, v := range map[string]int64{"obligations: stop_sending_within_us": d.Drain, "obligations: grace_to_answer_us": d.Grace,
		"obligations: must_ask_in_us": d.Ask, "obligations: warm_within_us": d.Warm, "obligations: fall_us": d.Fall,
		"policy_limits: max_retry_after_us": l.MaxAfter, "policy_limits: conn_idle_us": l.ConnIdle, "policy_limits: connect_timeout_us": l.Connect,
		"family_info: meter_period_us": p.Family.Meter, "family_info: count_limit_us": p.Family.Limit} {
		if v < 0 {
			return fmt.Errorf("%s is %d, below 0", key, v)
		}
	}
	return nil
}

// AppendAction writes one action of an instance as a line.
func AppendAction(b *bytes.Buffer, door int, a decision.Action) {
	switch a := a.(type) {
	case decision.Send:
		fmt.Fprintf(b, `{"m":"assign","door":%d,"txn":"%s","max_wait_us":%d,"backend":%d}`, door,
			formatID(a.Request), a.Timeout.Microseconds(), a.Backend)
	case decision.Refuse:
		fmt.Fprintf(b, `{"m":"reject","door":%d,"txn":"%s","not_before_for_us":%d}`, door,
			formatID(a.Request), a.RetryAfter.Microseconds())
	case decision.Fail:
		fmt.Fprintf(b, `{"m":"surrender","door":%d,"txn":"%s"}`, door, formatID(a.Request))
	case decision.Cancel:
		fmt.Fprintf(b, `{"m":"recall","door":%d,"txn":"%s","try":%d}`, door, formatID(a.Request), a.Attempt)
	case decision.SetTimer:
		fmt.Fprintf(b, `{"m":"timer","door":%d,"from_now_us":%d,"ref":%d}`, door,
			min(max(a.After, 0), MaxTimer).Microseconds(), a.Token)
	case decision.Probe:
		fmt.Fprintf(b, `{"m":"poll","door":%d,"backend":%d}`, door, a.Backend)
	case decision.Subscribe:
		fmt.Fprintf(b, `{"m":"follow","door":%d,"want":true}`, door)
	case decision.Count:
		fmt.Fprintf(b, `{"m":"charge_counter","door":%d,"counter_key":%d,"delta":%g,"ttl_us":%d}`, door,
			a.Name, a.Amount, a.Keep.Microseconds())
	default:
		return
	}
	b.WriteByte('\n')
}

// AppendEnd writes the end of a reply.
func AppendEnd(b *bytes.Buffer) { b.WriteString("{\"m\":\"eor\"}\n") }
