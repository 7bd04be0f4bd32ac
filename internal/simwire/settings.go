package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"pumicecroft/decision"
)

// Connections holds the settings for connections to backends, the shared counter and discovery. Only
// a gateway on sockets uses them.
type Connections struct {
	IdleTimeout    time.Duration // after which a backend closes an idle connection
	ConnectTimeout time.Duration // after which a connection attempt has failed
	CounterTimeout time.Duration // after which a call to the shared counter without a reply is lost
	// SubscribeWithin is the time within which a gateway must subscribe to discovery. 0: discovery
	// sends updates without a subscription.
	SubscribeWithin time.Duration
}

// Values by their names in the settings. An empty name stands for the default.
var (
	idempotenciesByName = map[string]decision.Idempotency{
		"":          decision.Idempotent,
		"retryable": decision.Idempotent,
		"dedup":     decision.IdempotentByKey,
		"fragile":   decision.NonIdempotent,
	}
	dedupScopesByName = map[string]decision.DedupScope{
		"":     decision.DedupScopeAll,
		"all":  decision.DedupScopeAll,
		"zone": decision.DedupScopeZone,
		"cell": decision.DedupScopeCell,
	}
)

const (
	discoveryOnRequest = "on_request" // discovery sends updates only to subscribers
	reportsInResponses = "answers"    // responses carry load reports
)

// rawSettings is the JSON form of the settings. Times are in microseconds.
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
		AllowHedging    bool  `json:"parallel_tries"`
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

// DecodeSettings decodes and validates the settings of an instance, or of a gateway on sockets. Its
// errors name the invalid key.
func DecodeSettings(text []byte) (decision.Settings, Connections, error) {
	var raw rawSettings
	if err := json.Unmarshal(text, &raw); err != nil {
		return decision.Settings{}, Connections{}, fmt.Errorf("settings: %w", err)
	}
	if err := raw.validate(); err != nil {
		return decision.Settings{}, Connections{}, fmt.Errorf("settings: %w", err)
	}
	settings := raw.settings()
	var err error
	if settings.Classes, err = raw.classes(); err != nil {
		return decision.Settings{}, Connections{}, fmt.Errorf("settings: %w", err)
	}
	settings.Plans = raw.plans()
	return settings, raw.connections(), nil
}

// settings returns the engine's settings without classes and plans.
func (r *rawSettings) settings() decision.Settings {
	limits, obligations := &r.Limits, &r.Obligations
	settings := decision.Settings{
		GatewayCount: r.GatewayCount, GatewayIndex: r.GatewayIndex, Zone: r.Zone,
		UsagePeriod: microseconds(r.Usage.Period), MaxCost: r.Usage.MaxCost,
		HasSharedCounter: r.Usage.HasSharedCounter,
		MaxAttempts:      limits.MaxAttempts, AllowHedging: limits.AllowHedging,
		CanCancel: limits.Cancel, CanProbe: limits.Probes,
		SubscribeToEndpoints:   r.Discovery == discoveryOnRequest,
		LoadReportFields:       r.LoadReports.Fields,
		LoadReportsInResponses: r.LoadReports.Delivery == reportsInResponses,
		ResponseGrace:          microseconds(obligations.ResponseGrace),
		DrainGrace:             microseconds(obligations.DrainGrace),
		SlowStartMinCapacity:   obligations.SlowStartMinCapacity,
		SlowStartWindow:        microseconds(obligations.SlowStartWindow),
		OverloadFactor:         obligations.OverloadFactor,
		OverloadDuration:       microseconds(obligations.OverloadDuration),
	}
	if limits.RetryAfter {
		settings.MaxRetryAfter = microseconds(limits.MaxRetryAfter)
	}
	return settings
}

func (r *rawSettings) classes() (classes []decision.Class, err error) {
	for _, c := range r.Classes {
		idempotency, knownIdempotency := idempotenciesByName[c.Idempotency]
		scope, knownScope := dedupScopesByName[c.DedupScope]
		if !knownIdempotency || !knownScope {
			return nil, fmt.Errorf("lanes: class %q: effect %q or group %q is unknown",
				c.Name, c.Idempotency, c.DedupScope)
		}
		classes = append(classes, decision.Class{
			Name: c.Name, Idempotency: idempotency, DedupScope: scope, DedupWindow: microseconds(c.DedupWindow),
			LatencyObjective: microseconds(c.LatencyObjective), Deadline: microseconds(c.Deadline),
			PriorityWeight: c.PriorityWeight, LateWeightFactor: c.LateWeightFactor, Streaming: c.Streaming,
		})
	}
	return classes, nil
}

func (r *rawSettings) plans() (plans []decision.Plan) {
	for _, p := range r.Plans {
		plans = append(plans, decision.Plan{
			Name: p.Name, Rate: p.Rate, Burst: p.Burst, MaxInFlight: p.MaxInFlight, Price: p.Price,
			OverQuotaWeightFactor: p.OverQuotaWeightFactor, OverQuotaCostFactor: p.OverQuotaCostFactor,
			HardLimitRate: p.HardLimitRate, HardLimitBurst: p.HardLimitBurst, HardLimitOverdraft: p.HardLimitOverdraft,
		})
	}
	return plans
}

func (r *rawSettings) connections() Connections {
	connections := Connections{
		IdleTimeout:    microseconds(r.Limits.ConnIdleTimeout),
		ConnectTimeout: microseconds(r.Limits.ConnectTimeout),
		CounterTimeout: microseconds(r.Usage.CounterTimeout),
	}
	if r.Discovery == discoveryOnRequest {
		connections.SubscribeWithin = microseconds(r.Obligations.SubscribeWithin)
	}
	return connections
}

// validate returns an error with the key of the first duration that is out of range.
func (r *rawSettings) validate() error {
	for _, c := range r.Classes {
		switch {
		case c.Deadline <= 0:
			return fmt.Errorf("lanes: class %q: deadline_us is %d, must be above 0", c.Name, c.Deadline)
		case c.LatencyObjective <= 0:
			return fmt.Errorf("lanes: class %q: goal_time_us is %d, must be above 0", c.Name, c.LatencyObjective)
		case c.DedupWindow < 0:
			return fmt.Errorf("lanes: class %q: key_ttl_us is %d, must not be negative", c.Name, c.DedupWindow)
		}
	}
	obligations, limits := &r.Obligations, &r.Limits
	for _, t := range []struct {
		key   string
		value int64
	}{
		{"obligations: stop_sending_within_us", obligations.DrainGrace},
		{"obligations: grace_to_answer_us", obligations.ResponseGrace},
		{"obligations: must_ask_in_us", obligations.SubscribeWithin},
		{"obligations: warm_within_us", obligations.SlowStartWindow},
		{"obligations: fall_us", obligations.OverloadDuration},
		{"policy_limits: max_retry_after_us", limits.MaxRetryAfter},
		{"policy_limits: conn_idle_us", limits.ConnIdleTimeout},
		{"policy_limits: connect_timeout_us", limits.ConnectTimeout},
		{"family_info: meter_period_us", r.Usage.Period},
		{"family_info: count_limit_us", r.Usage.CounterTimeout},
	} {
		if t.value < 0 {
			return fmt.Errorf("%s is %d, must not be negative", t.key, t.value)
		}
	}
	return nil
}
