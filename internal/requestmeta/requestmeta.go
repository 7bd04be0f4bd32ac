// Package requestmeta parses the metadata that the platform's clients send with a request, in the
// formats that HTTP and gRPC share: IDs of 16 hex digits, and the terms of a request, a list of named
// values such as "units=2,spread=3,first=1". The package is pure: it does no I/O.
package requestmeta

import (
	"math"
	"strconv"
	"strings"

	"pumicecroft/decision"
)

// customerIDLimit is the bound that all customer IDs of the platform are below.
const customerIDLimit = 1 << 33

// Terms are the cost of a request and the gateways that its customer uses: GatewaySpread gateways with
// consecutive indices, starting at FirstGateway and continuing at 0 after the last gateway.
type Terms struct {
	Cost                        float64
	GatewaySpread, FirstGateway int
}

// ParseTerms parses terms. ok is false unless units, spread and first are each present exactly once and in
// the range that the settings allow. Values with other names are ignored.
func ParseTerms(text string, settings *decision.Settings) (t Terms, ok bool) {
	var hasUnits, hasSpread, hasFirst bool
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		var err error
		var repeated bool
		switch name {
		case "units":
			repeated, hasUnits = hasUnits, true
			t.Cost, err = strconv.ParseFloat(value, 64)
		case "spread":
			repeated, hasSpread = hasSpread, true
			t.GatewaySpread, err = strconv.Atoi(value)
		case "first":
			repeated, hasFirst = hasFirst, true
			t.FirstGateway, err = strconv.Atoi(value)
		}
		if err != nil || repeated {
			return Terms{}, false
		}
	}
	return t, hasUnits && hasSpread && hasFirst && t.inRange(settings)
}

// inRange reports whether the terms are in the range that the settings allow.
func (t *Terms) inRange(settings *decision.Settings) bool {
	return t.Cost > 0 && !math.IsInf(t.Cost, 0) && (settings.MaxCost <= 0 || t.Cost <= settings.MaxCost) &&
		t.GatewaySpread >= 1 && t.GatewaySpread <= settings.GatewayCount &&
		t.FirstGateway >= 0 && t.FirstGateway < settings.GatewayCount
}

// ParseHexID parses an ID of 16 hex digits. The error is or wraps strconv.ErrSyntax.
func ParseHexID(s string) (uint64, error) {
	if len(s) != 16 {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseUint(s, 16, 64)
}

// ParseCustomer parses a customer ID of 16 hex digits. The error is or wraps strconv.ErrSyntax or
// strconv.ErrRange.
func ParseCustomer(s string) (uint64, error) {
	n, err := ParseHexID(s)
	if err == nil && n >= customerIDLimit {
		err = strconv.ErrRange
	}
	return n, err
}
