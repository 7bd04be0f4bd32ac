package identity

// defaultIPv6PrefixBits is the default of AddressRule.IPv6PrefixBits.
const defaultIPv6PrefixBits = 64

// AddressRule identifies customers by the client's address. It must be the last rule: later rules are only
// reached if the address is unknown.
type AddressRule struct {
	Plan string
	// IPv6PrefixBits is the length of the IPv6 prefix that identifies a customer, as a customer has a
	// whole prefix and not a single address. 0 means 64.
	IPv6PrefixBits int
}

// Identify returns the customer of the client's address.
func (a *AddressRule) Identify(r *Request) (Caller, bool, error) {
	addr := r.ClientAddr.Unmap().WithZone("")
	if !addr.IsValid() {
		return Caller{}, false, nil
	}
	bits := addr.BitLen()
	if addr.Is6() {
		if bits = a.IPv6PrefixBits; bits == 0 {
			bits = defaultIPv6PrefixBits
		}
	}
	prefix, err := addr.Prefix(bits)
	if err != nil {
		return Caller{}, true, err
	}
	name := prefix.String()
	return Caller{Customer: customerID("address", name), Name: name, Plan: a.Plan}, true, nil
}

// HeaderNames returns nil, as the rule reads no headers.
func (a *AddressRule) HeaderNames() []string { return nil }

// Plans returns the rule's plan.
func (a *AddressRule) Plans() []string { return []string{a.Plan} }
