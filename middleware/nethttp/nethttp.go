// Package nethttp is a middleware that adds a Gateway to a host built on net/http, or on a router that is compatible
// with it, such as chi. Requests that match its routes go through the Gateway to the backends, all others to the
// host's next handler.
//
// It works over HTTP/1.1 and HTTP/2, with response writers that the host has wrapped, and with timeouts of the host's
// own: Gateway.Handle documents whose response the client gets then. The platform's Mapper, which is the default,
// rejects HTTP/1.1 requests with chunked bodies, as the daemon does. Any number of middlewares may share a Gateway: a
// request is handled by the first one whose routes it matches, and counted once.
package nethttp

import (
	"net/http"

	"pumicecroft"
	"pumicecroft/middleware"
)

// New returns a middleware. It does not close the Gateway: the caller does, after the host's server has shut down.
func New(gateway *pumicecroft.Gateway, options ...middleware.Option) func(http.Handler) http.Handler {
	config := middleware.New(gateway, options...)
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if config.Matches(r.URL.Path) {
				gateway.Handle(w, r, config.Mapper)
			} else {
				next.ServeHTTP(w, r)
			}
		})
	}
}
