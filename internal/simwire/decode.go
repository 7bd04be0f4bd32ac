// Package simwire translates between the lines of the platform's simulator and the types of package
// decision, and reads the settings that the simulator's lines and the configuration of a gateway on
// sockets have in common. The wire's names stand in tags and tables here, and nowhere behind it.
// The package does no I/O and keeps no state.
package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"pumicecroft/decision"
)

// Message is one decoded line of the simulator. At most one of Start, Stop, Event and CounterReply
// is set, beside the marks of a batch; a line that the engine has no use for sets none.
type Message struct {
	Clock        bool          // a batch begins at At
	At           time.Duration // the batch's clock
	End          bool          // the batch ends
	Instance     int           // that the message is for
	Start        *Start        // the instance begins
	Stop         bool          // the instance ends
	Event        decision.Event
	CounterReply CounterReply
}

// CounterReply is the shared counter's reply to a call: to the first one with this key that has
// none.
type CounterReply struct {
	Present bool // there is a reply
	Key     uint64
	Result  decision.CounterResult // without its Ref, which the wire does not carry
}

// Start begins an instance.
type Start struct {
	Seed     uint64
	Settings decision.Settings
}

// rawMessage is a line as it stands on the wire. Its type says which fields count.
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

// rawEndpoint is an entry of an endpoint update.
type rawEndpoint struct {
	Weight       float64 `json:"power_hint"`
	State        string  `json:"health"`
	Zone         string  `json:"az"`
	InstanceType string  `json:"kind"`
	Cell         int     `json:"cell"`
	StartedAt    int64   `json:"boot_time_us"`
	Backend      *uint32 `json:"backend"`
}

// The wire's words for values.
var (
	resultsByName = map[string]decision.Result{
		"delivered":   decision.Succeeded,
		"app_error":   decision.ErrorResponse,
		"shed":        decision.Rejected,
		"expired":     decision.TimedOut,
		"dial_failed": decision.ConnectFailed,
		"dropped":     decision.ConnectionLost,
		"revoked":     decision.Cancelled,
		"unused":      decision.NotSent,
	}
	statesByName = map[string]decision.BackendState{
		"healthy":      decision.Ready,
		"cordoned":     decision.Draining,
		"deregistered": decision.Removed,
	}
	updateKindsByName = map[string]decision.UpdateKind{
		"INCREMENTAL": decision.UpdateDelta,
		"FULL":        decision.UpdateFull,
		"SAVED":       decision.UpdateCached,
		"FAILED":      decision.UpdateFailed,
	}
)

// microseconds gives a time of the wire's, within what a Duration holds.
func microseconds(v int64) time.Duration {
	const most, least = math.MaxInt64 / 1000, math.MinInt64 / 1000
	return time.Duration(max(least, min(most, v))) * time.Microsecond
}

// Decode reads one line. A malformed line is an error; of what it does not know it makes an empty
// Message.
func Decode(text []byte) (Message, error) {
	var raw rawMessage
	var m Message
	if err := json.Unmarshal(text, &raw); err != nil {
		return m, fmt.Errorf("not a message: %w", err)
	}
	switch raw.Type {
	case "":
		return m, errors.New("a message without a name")
	case "clock":
		if raw.At == nil {
			return m, errors.New("a clock line without a time")
		}
		m.Clock, m.At = true, microseconds(*raw.At)
		return m, nil
	case "eob":
		m.End = true
		return m, nil
	}
	if raw.Instance == nil {
		return m, fmt.Errorf("%s without an instance", raw.Type)
	}
	m.Instance = *raw.Instance
	err := m.decodeInstanceMessage(&raw)
	return m, err
}

// decodeFor reads a message to an instance.
func (m *Message) decodeInstanceMessage(raw *rawMessage) (err error) {
	switch raw.Type {
	case "boot":
		m.Start, err = decodeStart(raw)
	case "detach":
		m.Stop = true
	case "tally_back":
		m.CounterReply, err = decodeCounterReply(raw)
	default:
		m.Event, err = decodeEvent(raw)
	}
	return err
}

// decodeEvent reads an event of the engine; nil: the engine has no use for it.
func decodeEvent(raw *rawMessage) (decision.Event, error) {
	switch raw.Type {
	case "targets":
		return decodeUpdate(raw)
	case "call":
		return decodeRequest(raw)
	case "closed_attempt":
		return decodeOutcome(raw)
	case "established":
		id, err := requestID(raw)
		return decision.ResponseStarted{Request: id, Attempt: raw.Attempt}, err
	case "client_left":
		id, err := requestID(raw)
		return decision.ClientDisconnected{Request: id}, err
	case "sampled":
		return decodeProbeResult(raw)
	case "reminder":
		if raw.Token == nil {
			return nil, errors.New("reminder without a ref")
		}
		return decision.Timer{Token: *raw.Token}, nil
	}
	return nil, nil
}

// resultOf gives an attempt's result for the wire's word, decision.Unknown for one it does not
// know.
func parseResult(word string) decision.Result {
	if result, ok := resultsByName[word]; ok {
		return result
	}
	return decision.Unknown
}

func requestID(raw *rawMessage) (decision.RequestID, error) {
	if raw.RequestID == nil || len(*raw.RequestID) != 16 {
		return 0, fmt.Errorf("%s without a request id of 16 hex digits", raw.Type)
	}
	id, err := strconv.ParseUint(*raw.RequestID, 16, 64)
	if err != nil || formatID(decision.RequestID(id)) != *raw.RequestID {
		return 0, fmt.Errorf("%s with the request id %q", raw.Type, *raw.RequestID)
	}
	return decision.RequestID(id), nil
}

// formatID writes a request id as the wire has it.
func formatID(id decision.RequestID) string { return fmt.Sprintf("%016x", uint64(id)) }

func decodeRequest(raw *rawMessage) (decision.Event, error) {
	id, err := requestID(raw)
	return decision.Request{
		ID: id, Customer: decision.CustomerID(raw.Customer), Class: raw.Class, Plan: raw.Plan,
		Cost: raw.Cost, Timeout: microseconds(raw.Timeout),
		FirstGateway: int(raw.FirstGateway), GatewaySpread: int(raw.GatewaySpread),
	}, err
}

func decodeOutcome(raw *rawMessage) (decision.Event, error) {
	id, err := requestID(raw)
	if err != nil {
		return nil, err
	}
	if raw.Backend == nil {
		return nil, errors.New("an outcome without a backend")
	}
	return decision.Outcome{
		Request: id, Backend: decision.BackendID(*raw.Backend), Attempt: raw.Attempt,
		Result: parseResult(raw.Result), Latency: microseconds(raw.Latency), Final: raw.Final,
		HasUsage: raw.SeenUsage > 0, Usage: float64(raw.SeenUsage - 1), // the wire has 0 for no usage
		SettledCost: raw.SettledCost, LoadReport: raw.LoadReport,
	}, nil
}

func decodeProbeResult(raw *rawMessage) (decision.Event, error) {
	if raw.Backend == nil {
		return nil, errors.New("sampled without a backend")
	}
	return decision.ProbeResult{
		Backend: decision.BackendID(*raw.Backend), Result: parseResult(raw.Result),
		Latency: microseconds(raw.Latency), LoadReport: raw.LoadReport,
	}, nil
}

func decodeUpdate(raw *rawMessage) (decision.Event, error) {
	kind, ok := updateKindsByName[raw.Mode]
	if !ok {
		return nil, fmt.Errorf("a list of unknown kind %q", raw.Mode)
	}
	update := decision.EndpointUpdate{Kind: kind}
	for _, e := range raw.Endpoints {
		state, ok := statesByName[e.State]
		if !ok || e.Backend == nil {
			return nil, fmt.Errorf("a list entry without a backend or with the state %q", e.State)
		}
		update.Endpoints = append(update.Endpoints, decision.Endpoint{
			ID: decision.BackendID(*e.Backend), State: state, Zone: e.Zone, InstanceType: e.InstanceType,
			Cell: e.Cell, StartedAt: microseconds(e.StartedAt), Weight: e.Weight,
		})
	}
	return update, nil
}

func decodeCounterReply(raw *rawMessage) (CounterReply, error) {
	if raw.CounterKey == nil {
		return CounterReply{}, errors.New("tally_back without a name")
	}
	result := decision.CounterResult{Result: parseResult(raw.Result), Total: raw.CounterTotal}
	return CounterReply{Present: true, Key: *raw.CounterKey, Result: result}, nil
}

func decodeStart(raw *rawMessage) (*Start, error) {
	if len(raw.Params) == 0 {
		return nil, errors.New("boot without settings")
	}
	settings, _, err := DecodeSettings(raw.Params)
	if err != nil {
		return nil, err
	}
	return &Start{Seed: raw.Seed, Settings: settings}, nil
}
