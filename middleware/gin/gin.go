// Package gin is a middleware that adds a Gateway to a host built on gin. Requests that match its routes go through
// the Gateway to the backends, and the rest of the handler chain is aborted. All others continue along the chain.
//
// If an earlier handler has read the body with ShouldBindBodyWith, gin's copy of it is forwarded. The error of a
// request that was not served is added to c.Errors, for the host's own middleware.
package gin

import (
	"context"
	"errors"
	"net/http"

	"pumicecroft"
	"pumicecroft/middleware"

	"github.com/gin-gonic/gin"
)

// New returns a middleware. Add it with Use, to the engine or to a group. gin runs the middleware of a group only for
// paths that have a route: for other paths, add it to the engine, or give them a route with Serve as its handler.
func New(gateway *pumicecroft.Gateway, options ...middleware.Option) gin.HandlerFunc {
	config := middleware.New(gateway, options...)
	return func(c *gin.Context) {
		if config.Matches(c.Request.URL.Path) {
			serve(gateway, c, config.Mapper)
		}
	}
}

// Serve returns a handler that sends every request through the Gateway, whatever its path.
func Serve(gateway *pumicecroft.Gateway, options ...middleware.Option) gin.HandlerFunc {
	config := middleware.New(gateway, options...)
	return func(c *gin.Context) { serve(gateway, c, config.Mapper) }
}

// serve sends a request through the Gateway and aborts the handler chain.
func serve(gateway *pumicecroft.Gateway, c *gin.Context, mapper pumicecroft.Mapper) {
	c.Abort()
	if mapper == nil {
		mapper = gateway.PlatformRequest
	}
	response, err := gateway.DoHTTP(c.Writer, c.Request, func(r *http.Request) (pumicecroft.Request, error) {
		req, err := mapper(r)
		if body, ok := c.Get(gin.BodyBytesKey); ok && req.Body == nil {
			req.Body, _ = body.([]byte)
		}
		return req, err
	})
	if err != nil {
		_ = c.Error(err)
	}
	if errors.Is(err, context.DeadlineExceeded) && c.Request.Context().Err() != nil {
		// The host's own timeout has expired. The status is set but not written, so that a handler of the host may
		// still write its own response. If none does, gin writes this one.
		c.Status(http.StatusGatewayTimeout)
		return
	}
	pumicecroft.WriteResponse(c.Writer, response, err)
}
