// Package simwire translates between the lines of the simulator's wire and the types of package decision.
package simwire

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
	Clock        bool          // a batch begins at At
	At           time.Duration // the batch's clock
	End          bool          // the batch ends
	Instance     int
	Start        *Start
	Stop         bool
	Event        decision.Event
	CounterReply CounterReply
}

// CounterReply is the counter's answer to a call: to the first under this name that has none.
type CounterReply struct {
	Present bool // there is one
	Key     uint64
	Result  decision.CounterResult // without its Ref, which the wire does not carry
}

// Start begins an instance.
type Start struct {
	Seed     uint64
	Settings decision.Settings
}

type rawMessage struct {
	Type          string          `json:"m"`
	At            *int64          `json:"at_time_us"`
	Instance      *int            `json:"door"`
	Seed          uint64          `json:"random_seed"`
	Params        json.RawMessage `json:"params"`
	Mode          string          `json:"mode"`
	Endpoints     []rawEndpoint   `json:"elements"`
	RequestID     *string         `json:"txn"`
	GatewaySpread float64         `json:"spread"`
	FirstGateway  float64         `json:"first_door"`
	Plan          string          `json:"terms"`
	Class         string          `json:"grade"`
	Timeout       int64           `json:"grace_us"`
	Cost          float64         `json:"cost_units"`
	Customer      uint64          `json:"caller"`
	Latency       int64           `json:"duration_us"`
	Attempt       int             `json:"try"`
	SeenUsage     int64           `json:"seen_use"`
	Backend       *uint32         `json:"backend"`
	Result        string          `json:"rc"`
	Final         bool            `json:"last"`
	SettledCost   float64         `json:"settled"`
	LoadReport    []float64       `json:"health_info"`
	Token         *uint64         `json:"ref"`
	CounterKey    *uint64         `json:"counter_key"`
	CounterTotal  float64         `json:"level"`
}

type rawEndpoint struct {
	Weight       float64 `json:"power_hint"`
	State        string  `json:"health"`
	Zone         string  `json:"az"`
	InstanceType string  `json:"kind"`
	Cell         int     `json:"cell"`
	StartedAt    int64   `json:"boot_time_us"`
	Backend      *uint32 `json:"backend"`
}

type rawSettings struct {
	GatewayCount int    `json:"balancers"`
	GatewayIndex int    `json:"me"`
	Zone         string `json:"zone"`
	Discovery    string `json:"discovery"`
	Classes      []struct {
		Name             string  `json:"name"`
		Idempotency      string  `json:"effect"`
		DedupScope       string  `json:"group"`
		DedupWindow      int64   `json:"key_ttl_us"`
		LatencyObjective int64   `json:"goal_time_us"`
		Deadline         int64   `json:"deadline_us"`
		PriorityWeight   float64 `json:"gain"`
		LateWeightFactor float64 `json:"late_value"`
		Streaming        bool    `json:"stream"`
	} `json:"lanes"`
	Plans []struct {
		Name                  string  `json:"name"`
		Rate                  float64 `json:"units_per_s"`
		Burst                 float64 `json:"burst"`
		MaxInFlight           int     `json:"parallel"`
		Price                 float64 `json:"value_factor"`
		OverQuotaWeightFactor float64 `json:"excess_worth"`
		OverQuotaCostFactor   float64 `json:"excess_cost"`
		HardLimitRate         float64 `json:"ceiling_rate"`
		HardLimitBurst        float64 `json:"never_over_depth"`
		HardLimitOverdraft    float64 `json:"cap_slack"`
	} `json:"tariffs"`
	Usage struct {
		Period           int64   `json:"meter_period_us"`
		MaxCost          float64 `json:"largest"`
		HasSharedCounter bool    `json:"has_counter"`
		CounterTimeout   int64   `json:"count_limit_us"`
	} `json:"family_info"`
	Limits struct {
		Cancel          bool  `json:"cancel"`
		Probes          bool  `json:"probes"`
		MaxAttempts     int   `json:"max_attempts"`
		MaxInFlight     bool  `json:"parallel_tries"`
		RetryAfter      bool  `json:"retry_after"`
		MaxRetryAfter   int64 `json:"max_retry_after_us"`
		ConnIdleTimeout int64 `json:"conn_idle_us"`
		ConnectTimeout  int64 `json:"connect_timeout_us"`
	} `json:"policy_limits"`
	Obligations struct {
		ResponseGrace        int64   `json:"grace_to_answer_us"`
		DrainGrace           int64   `json:"stop_sending_within_us"`
		SubscribeWithin      int64   `json:"must_ask_in_us"`
		SlowStartMinCapacity float64 `json:"cold_from"`
		SlowStartWindow      int64   `json:"warm_within_us"`
		OverloadFactor       float64 `json:"fall_multiple"`
		OverloadDuration     int64   `json:"fall_us"`
	} `json:"obligations"`
	LoadReports struct {
		Fields   []string `json:"columns"`
		Delivery string   `json:"how"`
	} `json:"stats"`
}

var results = map[string]decision.Result{
	"delivered": decision.Succeeded, "app_error": decision.ErrorResponse, "shed": decision.Rejected, "expired": decision.TimedOut,
	"dial_failed": decision.ConnectFailed, "dropped": decision.ConnectionLost, "revoked": decision.Cancelled, "unused": decision.NotSent,
}

var states = map[string]decision.BackendState{"healthy": decision.Ready, "cordoned": decision.Draining, "deregistered": decision.Removed}

var updateKinds = map[string]decision.UpdateKind{
	"INCREMENTAL": decision.UpdateDelta, "FULL": decision.UpdateFull, "SAVED": decision.UpdateCached, "FAILED": decision.UpdateFailed,
}

var idempotencies = map[string]decision.Idempotency{"": decision.Idempotent, "retryable": decision.Idempotent, "dedup": decision.IdempotentByKey, "fragile": decision.NonIdempotent}

var dedupScopes = map[string]decision.DedupScope{"": decision.DedupScopeAll, "all": decision.DedupScopeAll, "zone": decision.DedupScopeZone, "cell": decision.DedupScopeCell}

func microseconds(v int64) time.Duration {
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
	var l rawMessage
	var m Message
	if err := json.Unmarshal(text, &l); err != nil {
		return m, fmt.Errorf("not a message: %w", err)
	}
	switch l.Type {
	case "":
		return m, errors.New("a message without a name")
	case "clock":
		if l.At == nil {
			return m, errors.New("a clock line without a time")
		}
		m.Clock, m.At = true, microseconds(*l.At)
		return m, nil
	case "eob":
		m.End = true
		return m, nil
	}
	if l.Instance == nil {
		return m, fmt.Errorf("%s without an instance", l.Type)
	}
	m.Instance = *l.Instance
	var err error
	switch l.Type {
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
		m.Event = decision.ResponseStarted{Request: id, Attempt: l.Attempt}
	case "client_left":
		var id decision.RequestID
		id, err = requestID(l)
		m.Event = decision.ClientDisconnected{Request: id}
	case "sampled":
		if l.Backend == nil {
			return m, errors.New("sampled without a backend")
		}
		m.Event = decision.ProbeResult{Backend: decision.BackendID(*l.Backend), Result: resultOf(l.Result), Latency: microseconds(l.Latency),
			LoadReport: l.LoadReport}
	case "reminder":
		if l.Token == nil {
			return m, errors.New("reminder without a ref")
		}
		m.Event = decision.Timer{Token: *l.Token}
	case "tally_back":
		if l.CounterKey == nil {
			return m, errors.New("tally_back without a name")
		}
		m.CounterReply = CounterReply{Present: true, Key: *l.CounterKey, Result: decision.CounterResult{Result: resultOf(l.Result), Total: l.CounterTotal}}
	}
	return m, err
}

func resultOf(code string) decision.Result {
	if r, ok := results[code]; ok {
		return r
	}
	return decision.Unknown
}

func requestID(l rawMessage) (decision.RequestID, error) {
	if l.RequestID == nil || len(*l.RequestID) != 16 {
		return 0, fmt.Errorf("%s without a request id of 16 hex digits", l.Type)
	}
	v, err := strconv.ParseUint(*l.RequestID, 16, 64)
	if err != nil || formatID(decision.RequestID(v)) != *l.RequestID {
		return 0, fmt.Errorf("%s with the request id %q", l.Type, *l.RequestID)
	}
	return decision.RequestID(v), nil
}

func formatID(id decision.RequestID) string { return fmt.Sprintf("%016x", uint64(id)) }

func decodeRequest(l rawMessage) (decision.Event, error) {
	id, err := requestID(l)
	return decision.Request{ID: id, Customer: decision.CustomerID(l.Customer), Class: l.Class, Plan: l.Plan,
		Cost: l.Cost, Timeout: microseconds(l.Timeout), FirstGateway: int(l.FirstGateway), GatewaySpread: int(l.GatewaySpread)}, err
}

func decodeOutcome(l rawMessage) (decision.Event, error) {
	id, err := requestID(l)
	if err == nil && l.Backend == nil {
		err = errors.New("an outcome without a backend")
	}
	if err != nil {
		return nil, err
	}
	return decision.Outcome{Request: id, Backend: decision.BackendID(*l.Backend), Attempt: l.Attempt, Result: resultOf(l.Result),
		Latency: microseconds(l.Latency), Final: l.Final, HasUsage: l.SeenUsage > 0, Usage: float64(l.SeenUsage - 1), SettledCost: l.SettledCost,
		LoadReport: l.LoadReport}, nil
}

func decodeList(l rawMessage) (decision.Event, error) {
	kind, ok := updateKinds[l.Mode]
	if !ok {
		return nil, fmt.Errorf("a list of unknown kind %q", l.Mode)
	}
	out := decision.EndpointUpdate{Kind: kind}
	for _, e := range l.Endpoints {
		state, ok := states[e.State]
		if !ok || e.Backend == nil {
			return nil, fmt.Errorf("a list entry without a backend or with the state %q", e.State)
		}
		out.Endpoints = append(out.Endpoints, decision.Endpoint{ID: decision.BackendID(*e.Backend), State: state,
			Zone: e.Zone, InstanceType: e.InstanceType, Cell: e.Cell, StartedAt: microseconds(e.StartedAt), Weight: e.Weight})
	}
	return out, nil
}

func decodeStart(l rawMessage) (*Start, error) {
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
	IdleTimeout     time.Duration // a backend closes one that was idle for this long
	ConnectTimeout  time.Duration // one that is not up by then counts as failed
	CounterTimeout  time.Duration // a call of the counter without an answer by then counts as lost
	SubscribeWithin time.Duration // discovery has to be asked within this by a door that it does not tell; 0: it tells without a call
}

// DecodeSettings reads the settings of an instance. They have the same form on the wire and in the
// configuration of a real front door.
func DecodeSettings(text []byte) (decision.Settings, Connections, error) {
	var p rawSettings
	if err := json.Unmarshal(text, &p); err != nil {
		return decision.Settings{}, Connections{}, fmt.Errorf("settings: %w", err)
	}
	if err := p.validate(); err != nil {
		return decision.Settings{}, Connections{}, fmt.Errorf("settings: %w", err)
	}
	s := decision.Settings{GatewayCount: p.GatewayCount, GatewayIndex: p.GatewayIndex, Zone: p.Zone, UsagePeriod: microseconds(p.Usage.Period),
		MaxCost: p.Usage.MaxCost, MaxAttempts: p.Limits.MaxAttempts, AllowHedging: p.Limits.MaxInFlight,
		CanCancel: p.Limits.Cancel, CanProbe: p.Limits.Probes, SubscribeToEndpoints: p.Discovery == "on_request",
		LoadReportFields: p.LoadReports.Fields, LoadReportsInResponses: p.LoadReports.Delivery == "answers", ResponseGrace: microseconds(p.Obligations.ResponseGrace),
		DrainGrace: microseconds(p.Obligations.DrainGrace), SlowStartMinCapacity: p.Obligations.SlowStartMinCapacity, SlowStartWindow: microseconds(p.Obligations.SlowStartWindow),
		OverloadFactor: p.Obligations.OverloadFactor, OverloadDuration: microseconds(p.Obligations.OverloadDuration), HasSharedCounter: p.Usage.HasSharedCounter}
	if p.Limits.RetryAfter {
		s.MaxRetryAfter = microseconds(p.Limits.MaxRetryAfter)
	}
	for _, c := range p.Classes {
		effect, ok := idempotencies[c.Idempotency]
		group, ok2 := dedupScopes[c.DedupScope]
		if !ok || !ok2 {
			return decision.Settings{}, Connections{}, fmt.Errorf("settings: lanes: class %q has the effect %q and the group %q",
				c.Name, c.Idempotency, c.DedupScope)
		}
		s.Classes = append(s.Classes, decision.Class{Name: c.Name, Idempotency: effect, DedupScope: group,
			DedupWindow: microseconds(c.DedupWindow), LatencyObjective: microseconds(c.LatencyObjective), Deadline: microseconds(c.Deadline), PriorityWeight: c.PriorityWeight,
			LateWeightFactor: c.LateWeightFactor, Streaming: c.Streaming})
	}
	for _, t := range p.Plans {
		s.Plans = append(s.Plans, decision.Plan{Name: t.Name, Rate: t.Rate, Burst: t.Burst, MaxInFlight: t.MaxInFlight,
			Price: t.Price, OverQuotaWeightFactor: t.OverQuotaWeightFactor, OverQuotaCostFactor: t.OverQuotaCostFactor, HardLimitRate: t.HardLimitRate,
			HardLimitBurst: t.HardLimitBurst, HardLimitOverdraft: t.HardLimitOverdraft})
	}
	conns := Connections{IdleTimeout: microseconds(p.Limits.ConnIdleTimeout), ConnectTimeout: microseconds(p.Limits.ConnectTimeout), CounterTimeout: microseconds(p.Usage.CounterTimeout)}
	if s.SubscribeToEndpoints {
		conns.SubscribeWithin = microseconds(p.Obligations.SubscribeWithin)
	}
	return s, conns, nil
}

// validate tells of a time that can't be, by its key.
func (p *rawSettings) validate() error {
	for _, c := range p.Classes {
		switch {
		case c.Deadline <= 0:
			return fmt.Errorf("lanes: class %q: deadline_us is %d, it has to be above 0", c.Name, c.Deadline)
		case c.LatencyObjective <= 0:
			return fmt.Errorf("lanes: class %q: goal_time_us is %d, it has to be above 0", c.Name, c.LatencyObjective)
		case c.DedupWindow < 0:
			return fmt.Errorf("lanes: class %q: key_ttl_us is %d, below 0", c.Name, c.DedupWindow)
		}
	}
	d, l := &p.Obligations, &p.Limits
	for key, v := range map[string]int64{"obligations: stop_sending_within_us": d.DrainGrace, "obligations: grace_to_answer_us": d.ResponseGrace,
		"obligations: must_ask_in_us": d.SubscribeWithin, "obligations: warm_within_us": d.SlowStartWindow, "obligations: fall_us": d.OverloadDuration,
		"policy_limits: max_retry_after_us": l.MaxRetryAfter, "policy_limits: conn_idle_us": l.ConnIdleTimeout, "policy_limits: connect_timeout_us": l.ConnectTimeout,
		"family_info: meter_period_us": p.Usage.Period, "family_info: count_limit_us": p.Usage.CounterTimeout} {
		if v < 0 {
			return fmt.Errorf("%s is %d, below 0", key, v)
		}
	}
	return nil
}

// AppendAction writes one action of an instance as a line.
func AppendAction(b *bytes.Buffer, door int, a decision.Action) {
	switch a := a.(type) {
	case decision.StartAttempt:
		fmt.Fprintf(b, `{"m":"assign","door":%d,"txn":"%s","max_wait_us":%d,"backend":%d}`, door,
			formatID(a.Request), a.Timeout.Microseconds(), a.Backend)
	case decision.Reject:
		fmt.Fprintf(b, `{"m":"reject","door":%d,"txn":"%s","not_before_for_us":%d}`, door,
			formatID(a.Request), a.RetryAfter.Microseconds())
	case decision.Fail:
		fmt.Fprintf(b, `{"m":"surrender","door":%d,"txn":"%s"}`, door, formatID(a.Request))
	case decision.CancelAttempt:
		fmt.Fprintf(b, `{"m":"recall","door":%d,"txn":"%s","try":%d}`, door, formatID(a.Request), a.Attempt)
	case decision.SetTimer:
		fmt.Fprintf(b, `{"m":"timer","door":%d,"from_now_us":%d,"ref":%d}`, door,
			min(max(a.After, 0), MaxTimer).Microseconds(), a.Token)
	case decision.Probe:
		fmt.Fprintf(b, `{"m":"poll","door":%d,"backend":%d}`, door, a.Backend)
	case decision.Subscribe:
		fmt.Fprintf(b, `{"m":"follow","door":%d,"want":true}`, door)
	case decision.CounterAdd:
		fmt.Fprintf(b, `{"m":"charge_counter","door":%d,"counter_key":%d,"delta":%g,"ttl_us":%d}`, door,
			a.Key, a.Amount, a.TTL.Microseconds())
	default:
		return
	}
	b.WriteByte('\n')
}

// AppendEnd writes the end of a reply.
func AppendEnd(b *bytes.Buffer) { b.WriteString("{\"m\":\"eor\"}\n") }
