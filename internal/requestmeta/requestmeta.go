// Package requestmeta parses what the platform's clients send with a request, in the forms that HTTP
// and gRPC share: numbers as 16 hex digits, and terms such as "units=2,spread=3,first=1". It is pure.
package requestmeta

import (
	"math"
	"strconv"
	"strings"

	"pumicecroft/decision"
)

// maxCustomerID is above all customers' numbers on the platform.
const maxCustomerID = 1 << 33

// Terms are a request's cost, and the gateways that its customer uses.
type Terms struct {
	Cost                        float64 // the cost
	GatewaySpread, FirstGateway int     // the customer uses Spread gateways in a row, from the index First
}

// ParseTerms parses terms. ok is false unless each is there once, and in the range of the settings.
// Unknown terms are ignored.
func ParseTerms(text string, set *decision.Settings) (t Terms, ok bool) {
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
	return t, hasUnits && hasSpread && hasFirst && t.inRange(set)
}

// inRange reports whether terms are in the range of the settings.
func (t *Terms) inRange(set *decision.Settings) bool {
	return t.Cost > 0 && !math.IsInf(t.Cost, 0) && (set.MaxCost <= 0 || t.Cost <= set.MaxCost) &&
		t.GatewaySpread >= 1 && t.GatewaySpread <= set.GatewayCount && t.FirstGateway >= 0 && t.FirstGateway < set.GatewayCount
}

// ParseHexID parses a number of 16 hex digits. The error is of package strconv.
func ParseHexID(s string) (uint64, error) {
	if len(s) != 16 {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseUint(s, 16, 64)
}

// ParseCustomer parses a customer's number of 16 hex digits. The error is of package strconv.
func ParseCustomer(s string) (uint64, error) {
	n, err := ParseHexID(s)
	if err == nil && n >= maxCustomerID {
		err = strconv.ErrRange
	}
	return n, err
}
