// Package gin puts a Door into a host that is built on gin: requests for the routes that are named go through the
// Door to the backends and end there (the rest of the chain is aborted), all others go on.
//
// A body that an earlier handler has read with ShouldBindBodyWith is passed on from gin's copy. What the Door
// has to say of a request that it did not serve is in c.Errors, for the host's own middleware.
package gin

import (
	"context"
	"errors"
	"net/http"

	"pumicecroft"
	"pumicecroft/middleware"

	"github.com/gin-gonic/gin"
)

// New makes the middleware; add it with Use, to the engine or to a group. For gin to run it on paths that have no
// handler of their own, use it on the engine or give those paths a route: Serve is a handler for that.
func New(d *pumicecroft.Gateway, options ...middleware.Option) gin.HandlerFunc {
	c := middleware.New(d, options...)
	return func(g *gin.Context) {
		if c.Takes(g.Request.URL.Path) {
			serve(d, g, c.Mapper)
		}
	}
}

// Serve is a handler that passes whatever it is given through the Door.
func Serve(d *pumicecroft.Gateway, options ...middleware.Option) gin.HandlerFunc {
	c := middleware.New(d, options...)
	return func(g *gin.Context) { serve(d, g, c.Mapper) }
}

func serve(d *pumicecroft.Gateway, g *gin.Context, m pumicecroft.Mapper) {
	g.Abort()
	if m == nil {
		m = d.PlatformRequest
	}
	answer, err := d.DoHTTP(g.Writer, g.Request, func(r *http.Request) (pumicecroft.Request, error) {
		req, err := m(r)
		if body, ok := g.Get(gin.BodyBytesKey); ok && req.Body == nil {
			req.Body, _ = body.([]byte)
		}
		return req, err
	})
	if err != nil {
		_ = g.Error(err)
	}
	if errors.Is(err, context.DeadlineExceeded) && g.Request.Context().Err() != nil {
		// The host's own time is up. The status is only noted: a handler of the host's that answers by itself
		// comes before it, and if none does gin writes it.
		g.Status(http.StatusGatewayTimeout)
		return
	}
	pumicecroft.WriteResponse(g.Writer, answer, err)
}
