package identity

import (
	"fmt"
	"net/netip"
	"slices"

	"pumicecroft/internal/requestmeta"
)

// AssertedRule identifies customers by headers that a trusted peer sets. It ignores these headers in
// requests of other peers.
type AssertedRule struct {
	// CustomerHeader is the canonical name of the header that names the customer.
	CustomerHeader string
	// PlanHeader is the header that names the plan. If it is empty, all requests have DefaultPlan.
	PlanHeader string
	// DefaultPlan is the plan of requests in which PlanHeader is empty or missing. If DefaultPlan is
	// empty as well, such requests are rejected.
	DefaultPlan string
	// AllowedPlans are the plans that PlanHeader may name.
	AllowedPlans []string
	// CostHeader is the header that declares the cost of the request. If it is empty, there is none.
	CostHeader string
	// HexCustomers means that CustomerHeader has a customer ID of 16 hex digits, as on the platform,
	// instead of a name.
	HexCustomers bool
	// TrustedPeers are the addresses of the trusted peers.
	TrustedPeers []netip.Prefix
}

// Identify returns the customer that a trusted peer names.
func (a *AssertedRule) Identify(r *Request) (Caller, bool, error) {
	if !containsAddr(a.TrustedPeers, r.PeerAddr) {
		return Caller{}, false, nil
	}
	name, found, err := singleValue(r.Header, a.CustomerHeader)
	if !found || err != nil {
		return Caller{}, found, err
	}
	caller := Caller{Name: name}
	if caller.Customer, err = a.customer(name); err != nil {
		return Caller{}, true, err
	}
	if caller.Plan, err = a.plan(r.Header); err != nil {
		return Caller{}, true, err
	}
	if a.CostHeader != "" {
		if caller.DeclaredCost, _, err = singleValue(r.Header, a.CostHeader); err != nil {
			return Caller{}, true, err
		}
	}
	return caller, true, nil
}

// customer returns the ID of the customer that CustomerHeader names.
func (a *AssertedRule) customer(name string) (uint64, error) {
	if a.HexCustomers {
		id, err := requestmeta.ParseCustomer(name)
		if err != nil {
			return 0, fmt.Errorf("%s is no customer's number", a.CustomerHeader)
		}
		return id, nil
	}
	if name == "" {
		return 0, fmt.Errorf("%s is empty", a.CustomerHeader)
	}
	return customerID("asserted", name), nil
}

// plan returns the plan that PlanHeader names, or the default.
func (a *AssertedRule) plan(h map[string][]string) (string, error) {
	if a.PlanHeader == "" {
		return a.DefaultPlan, nil
	}
	plan, found, err := singleValue(h, a.PlanHeader)
	switch {
	case err != nil:
		return "", err
	case found && plan != "":
		if !slices.Contains(a.AllowedPlans, plan) {
			return "", fmt.Errorf("%s names no plan", a.PlanHeader)
		}
		return plan, nil
	case a.DefaultPlan == "":
		return "", fmt.Errorf("%s is missing", a.PlanHeader)
	}
	return a.DefaultPlan, nil
}

// HeaderNames returns the headers that the rule reads.
func (a *AssertedRule) HeaderNames() (names []string) {
	for _, name := range []string{a.CustomerHeader, a.PlanHeader, a.CostHeader} {
		if name != "" {
			names = append(names, name)
		}
	}
	return names
}

// Plans returns the default plan and all plans that a peer may name.
func (a *AssertedRule) Plans() []string {
	if a.DefaultPlan == "" {
		return a.AllowedPlans
	}
	return append([]string{a.DefaultPlan}, a.AllowedPlans...)
}
