package grpcproxy

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/grpc/metadata"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/internal/requestmeta"
)

// timeoutMetadata is the metadata that holds a call's timeout. It only names the timeout in errors, as
// the server turns it into the deadline of the call's context.
const timeoutMetadata = "grpc-timeout"

// newRequest returns the request that a call's metadata and deadline describe. ctx is the call's
// context. The error wraps pumicecroft.ErrBadRequest.
func (p *Proxy) newRequest(ctx context.Context, method Method, md metadata.MD) (pumicecroft.Request, error) {
	r := pumicecroft.Request{Class: method.Class}
	values, err := p.readNames(md)
	if err != nil {
		return r, err
	}
	if err := p.readCaller(ctx, &r, values); err != nil {
		return r, err
	}
	names := &p.config.Names
	r.IdempotencyKey = values.IdempotencyKey
	if values.ID != "" || p.config.Strict {
		id, err := requestmeta.ParseHexID(values.ID)
		if err != nil {
			return r, invalidCall(names.ID, values.ID)
		}
		r = r.WithID(id)
	}
	if p.config.Strict && values.IdempotencyKey != "" && p.idempotency[method.Class] == decision.Idempotent {
		return r, invalidCall(names.IdempotencyKey, values.IdempotencyKey)
	}
	if err := p.readCost(&r, values); err != nil {
		return r, err
	}
	return r, p.readDeadline(ctx, &r)
}

func invalidCall(name, value string) error {
	return fmt.Errorf("%w: %s: %.40q", pumicecroft.ErrBadRequest, name, value)
}

// readNames returns the values of the metadata that Config.Names names. Repeated metadata is an error,
// as a backend might use another value than the proxy.
func (p *Proxy) readNames(md metadata.MD) (values MetadataNames, err error) {
	names := &p.config.Names
	for _, field := range []struct {
		name  string
		value *string
	}{
		{names.Customer, &values.Customer},
		{names.Plan, &values.Plan},
		{names.Cost, &values.Cost},
		{names.ID, &values.ID},
		{names.IdempotencyKey, &values.IdempotencyKey},
		{names.Terms, &values.Terms},
	} {
		switch all := md[field.name]; {
		case field.name == "":
		case len(all) > 1:
			return values, invalidCall(field.name, strings.Join(all, ", "))
		case len(all) == 1:
			*field.value = all[0]
		}
	}
	return values, nil
}

// readCaller sets the customer and plan from the identity in ctx, if the host has set one, and otherwise
// from the metadata.
func (p *Proxy) readCaller(ctx context.Context, r *pumicecroft.Request, values MetadataNames) error {
	if id, ok := pumicecroft.IdentityFrom(ctx); ok {
		r.Customer, r.Plan = id.Customer, id.Plan
		return nil
	}
	customer, err := p.customerID(values.Customer)
	if err != nil {
		return invalidCall(p.config.Names.Customer, values.Customer)
	}
	r.Customer, r.Plan = customer, values.Plan
	return nil
}

// customerID parses a customer, or hashes its text if Config.CustomerText is set.
func (p *Proxy) customerID(text string) (uint64, error) {
	if !p.config.CustomerText {
		return requestmeta.ParseCustomer(text)
	}
	if text == "" {
		return 0, strconv.ErrSyntax
	}
	sum := sha256.Sum256([]byte(text))
	return binary.BigEndian.Uint64(sum[:8]), nil
}

// readCost sets the cost, and from the platform's terms the gateways that the customer uses.
func (p *Proxy) readCost(r *pumicecroft.Request, values MetadataNames) error {
	if values.Cost != "" {
		cost, err := strconv.ParseFloat(values.Cost, 64)
		if err != nil || !(cost > 0) {
			return invalidCall(p.config.Names.Cost, values.Cost)
		}
		r.Cost = cost
	}
	if values.Terms == "" && (!p.config.Strict || p.config.Names.Terms == "") {
		return nil
	}
	terms, ok := requestmeta.ParseTerms(values.Terms, &p.settings)
	if !ok {
		return invalidCall(p.config.Names.Terms, values.Terms)
	}
	r.Cost, r.GatewaySpread, r.FirstGateway = terms.Cost, terms.GatewaySpread, terms.FirstGateway
	return nil
}

// readDeadline sets the timeout from the call's deadline. Without a deadline the timeout stays 0, which
// means the class's deadline.
func (p *Proxy) readDeadline(ctx context.Context, r *pumicecroft.Request) error {
	deadline, ok := ctx.Deadline()
	switch {
	case ok:
		if r.Timeout = time.Until(deadline); r.Timeout <= 0 {
			return invalidCall(timeoutMetadata, "no time is left")
		}
	case p.config.Strict:
		return invalidCall(timeoutMetadata, "")
	}
	return nil
}
