// Package requestmeta reads the figures that the platform's clients bring with a request, in the forms that all fronts share:
// numbers as 16 hex digits, and terms such as "units=2,spread=3,first=1". It is pure.
package requestmeta

import (
	"math"
	"strconv"
	"strings"

	"pumicecroft/decision"
)

// maxCustomerID is over any customer's number on the platform.
const maxCustomerID = 1 << 33

// Terms are what a request takes of its quota, and the doors that its customer uses: Spread in a row from First.
type Terms struct {
	Units         float64
	Spread, First int
}

// Parse reads terms; each must be there once, and in range for the settings.
func Parse(text string, set *decision.Settings) (t Terms, ok bool) {
	var units, spread, first bool
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		var err error
		var again bool
		switch name {
		case "units":
			again, units = units, true
			t.Units, err = strconv.ParseFloat(value, 64)
		case "spread":
			again, spread = spread, true
			t.Spread, err = strconv.Atoi(value)
		case "first":
			again, first = first, true
			t.First, err = strconv.Atoi(value)
		}
		if err != nil || again {
			return Terms{}, false
		}
	}
	return t, units && spread && first && t.Units > 0 && !math.IsInf(t.Units, 0) &&
		(set.MaxCost <= 0 || t.Units <= set.MaxCost) &&
		t.Spread >= 1 && t.Spread <= set.GatewayCount && t.First >= 0 && t.First < set.GatewayCount
}

// Hex reads a number of 16 hex digits.
func Hex(s string) (uint64, error) {
	if len(s) != 16 {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseUint(s, 16, 64)
}

// Customer reads a customer's number.
func Customer(s string) (uint64, error) {
	n, err := Hex(s)
	if err == nil && n >= maxCustomerID {
		err = strconv.ErrRange
	}
	return n, err
}
