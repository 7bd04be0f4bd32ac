// Package simwire encodes and decodes the line protocol of the platform's simulator as types of package
// decision. It also decodes the settings, which the simulator's protocol shares with the configuration
// of a gateway on sockets. The protocol's names occur only in struct tags and tables of this package.
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

// Message is one decoded line. It either marks the start or the end of a batch with Clock or End, or
// sets one of Start, Stop, Event and CounterReply for an instance. A line of a type that the engine
// does not use sets only Instance.
type Message struct {
	Clock        bool          // a batch starts
	At           time.Duration // the time of the batch
	End          bool          // the batch ends
	Instance     int           // number of the instance that receives the message
	Start        *Start        // the instance starts
	Stop         bool          // the instance stops
	Event        decision.Event
	CounterReply CounterReply
}

// CounterReply is the shared counter's reply to the earliest unanswered call with this key.
type CounterReply struct {
	Present bool // the message is a reply
	Key     uint64
	Result  decision.CounterResult // without Ref, which the protocol does not transmit
}

// Start starts an instance.
type Start struct {
	Seed     uint64
	Settings decision.Settings
}

// rawMessage is the JSON form of a line. Type determines which fields are used.
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

// Values by their names in the protocol.
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

// microseconds converts a number of microseconds to a Duration, clamped to the range of a Duration.
func microseconds(v int64) time.Duration {
	const highest, lowest = math.MaxInt64 / 1000, math.MinInt64 / 1000
	return time.Duration(max(lowest, min(highest, v))) * time.Microsecond
}

// Decode decodes one line. It returns an error for a malformed line. For a line of unknown type it
// returns a Message that sets only Instance.
func Decode(text []byte) (Message, error) {
	var raw rawMessage
	var m Message
	if err := json.Unmarshal(text, &raw); err != nil {
		return m, fmt.Errorf("decode message: %w", err)
	}
	switch raw.Type {
	case "":
		return m, errors.New("message without a type")
	case "clock":
		if raw.At == nil {
			return m, errors.New("clock without at_time_us")
		}
		m.Clock, m.At = true, microseconds(*raw.At)
		return m, nil
	case "eob":
		m.End = true
		return m, nil
	}
	if raw.Instance == nil {
		return m, fmt.Errorf("%s without an instance number (door)", raw.Type)
	}
	m.Instance = *raw.Instance
	err := m.decodeInstanceMessage(&raw)
	return m, err
}

// decodeInstanceMessage decodes a message to an instance.
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

// decodeEvent decodes an event for the engine. It returns nil for a type that the engine does not use.
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

// parseResult returns the result with a name, or decision.Unknown if the name is unknown.
func parseResult(name string) decision.Result {
	if result, ok := resultsByName[name]; ok {
		return result
	}
	return decision.Unknown
}

// requestID parses the request id, which must be written exactly as formatID writes it.
func requestID(raw *rawMessage) (decision.RequestID, error) {
	if raw.RequestID == nil || len(*raw.RequestID) != 16 {
		return 0, fmt.Errorf("%s without a request id of 16 hex digits", raw.Type)
	}
	id, err := strconv.ParseUint(*raw.RequestID, 16, 64)
	if err != nil || formatID(decision.RequestID(id)) != *raw.RequestID {
		return 0, fmt.Errorf("%s with request id %q, want 16 lower-case hex digits", raw.Type, *raw.RequestID)
	}
	return decision.RequestID(id), nil
}

// formatID formats a request id for the protocol.
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
		return nil, errors.New("closed_attempt without a backend")
	}
	return decision.Outcome{
		Request: id, Backend: decision.BackendID(*raw.Backend), Attempt: raw.Attempt,
		Result: parseResult(raw.Result), Latency: microseconds(raw.Latency), Final: raw.Final,
		HasUsage: raw.SeenUsage > 0, Usage: float64(raw.SeenUsage - 1), // seen_use is 1 + usage, or 0 for no usage
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
		return nil, fmt.Errorf("targets with unknown mode %q", raw.Mode)
	}
	update := decision.EndpointUpdate{Kind: kind}
	for _, e := range raw.Endpoints {
		state, ok := statesByName[e.State]
		if !ok || e.Backend == nil {
			return nil, fmt.Errorf("targets with an entry without a backend or with unknown health %q", e.State)
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
		return CounterReply{}, errors.New("tally_back without a counter_key")
	}
	result := decision.CounterResult{Result: parseResult(raw.Result), Total: raw.CounterTotal}
	return CounterReply{Present: true, Key: *raw.CounterKey, Result: result}, nil
}

func decodeStart(raw *rawMessage) (*Start, error) {
	if len(raw.Params) == 0 {
		return nil, errors.New("boot without params")
	}
	settings, _, err := DecodeSettings(raw.Params)
	if err != nil {
		return nil, err
	}
	return &Start{Seed: raw.Seed, Settings: settings}, nil
}
