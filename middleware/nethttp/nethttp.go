// Package nethttp puts a Door into a host that is built on net/http, and so under chi and the like: requests for
// the routes that are named go through the Door to the backends, all others to the host's next handler.
//
// It works over HTTP/1.1 and HTTP/2, behind writers that the host has wrapped, and under time-outs of the host's
// own: see Door.Handle for whose answer counts then. Requests that chunk their bodies over HTTP/1.1 are turned
// away as the daemon does it. Any number of instances may share a Door; each request is taken by the first one
// whose routes it fits, and counted once.
package nethttp

import (
	"net/http"

	"pumicecroft"
	"pumicecroft/middleware"
)

// New makes the middleware. The Door stays the caller's: close it when the host's server has shut down.
func New(d *pumicecroft.Gateway, options ...middleware.Option) func(http.Handler) http.Handler {
	c := middleware.New(d, options...)
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if c.Takes(r.URL.Path) {
				d.Handle(w, r, c.Mapper)
			} else {
				next.ServeHTTP(w, r)
			}
		})
	}
}
