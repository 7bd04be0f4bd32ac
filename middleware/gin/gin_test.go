package gin_test

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/gin-gonic/gin/binding"

	"pumicecroft"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/hosttest"
	"pumicecroft/middleware"
	pumicegin "pumicecroft/middleware/gin"
)

func TestMain(m *testing.M) {
	gin.SetMode(gin.ReleaseMode)
	os.Exit(m.Run())
}

// withDeadline is a host's middleware that sets a deadline for requests. After the deadline it calls respond, unless
// that is nil or something was written before.
func withDeadline(d time.Duration, respond func(*gin.Context)) gin.HandlerFunc {
	return func(c *gin.Context) {
		ctx, cancel := context.WithTimeout(c.Request.Context(), d)
		defer cancel()
		c.Request = c.Request.WithContext(ctx)
		c.Next()
		if ctx.Err() != nil && !c.Writer.Written() && respond != nil {
			respond(c)
		}
	}
}

// A host's deadline expires before the class's own. The client gets the host's response if the host writes one, and
// 504 otherwise. The attempt is cancelled and its slot is free again.
func TestHostDeadlineFirst(t *testing.T) {
	for name, c := range map[string]struct {
		respond func(*gin.Context)
		status  int
		body    string
	}{
		"host responds": {func(c *gin.Context) {
			c.String(http.StatusServiceUnavailable, "host timeout")
		}, 503, "host timeout"},
		"host does not": {nil, 504, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var hang atomic.Bool
			fixture := hosttest.New(t, 2, func(fakes.Attempt) fakes.Behavior {
				if hang.Load() {
					return fakes.ExecuteThenHang
				}
				return fakes.ServeNormally
			}, nil)
			engine := gin.New()
			var hostError atomic.Value
			engine.Use(func(c *gin.Context) {
				c.Next()
				if last := c.Errors.Last(); last != nil {
					hostError.Store(last.Err)
				}
			}, withDeadline(100*time.Millisecond, c.respond), pumicegin.New(fixture.Gateway))
			addr := hosttest.Serve(t, engine, nil)
			for range 5 {
				hang.Store(true)
				request := fixture.NewRequest("pay")
				request.Plan = "one"
				if reply := hosttest.Do(t, request, addr); reply.Status != c.status || reply.Body != c.body {
					t.Errorf("%d %q, want %d %q", reply.Status, reply.Body, c.status, c.body)
				}
				hang.Store(false)
				fixture.AwaitIdle()
				fixture.RequireFreeSlot()
			}
			if err, _ := hostError.Load().(error); !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("last of c.Errors: got %v, want %v", err, context.DeadlineExceeded)
			}
		})
	}
}

// Of two middlewares that match a request only the first handles it, and the rest of the chain is aborted. A request
// that matches neither reaches the host's handler.
func TestChainAndRoutes(t *testing.T) {
	fixture := hosttest.New(t, 1, nil, nil)
	engine := gin.New()
	engine.Use(pumicegin.New(fixture.Gateway, middleware.Routes("/look")), pumicegin.New(fixture.Gateway)) // /look: both
	handlersRun := 0
	count := func(c *gin.Context) { handlersRun++; c.Status(http.StatusTeapot) }
	engine.GET("/look", count)
	engine.GET("/own", count)
	addr := hosttest.Serve(t, engine, nil)
	request := fixture.NewRequest("look")
	if reply := hosttest.Do(t, request, addr); reply.String() != "served" || handlersRun != 0 ||
		len(fixture.Ledger.ForRequest(request.RequestID())) != 1 {
		t.Errorf("/look: got %v, %d later handlers, %d attempts, want served, 0, 1", reply, handlersRun,
			len(fixture.Ledger.ForRequest(request.RequestID())))
	}
	if reply := hosttest.Do(t, fixture.NewRequest("pay"), addr); reply.String() != "served" { // gin has no route for it
		t.Errorf("/pay: got %v, want served", reply)
	}
	res, err := http.Get("http://" + addr + "/own")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusTeapot || handlersRun != 1 {
		t.Errorf("/own: status %s, %d handlers, want %d and 1", res.Status, handlersRun, http.StatusTeapot)
	}
}

// A body that an earlier handler has bound is forwarded from gin's copy. One that was read without a copy is rejected.
func TestBodyBoundByHost(t *testing.T) {
	fixture := hosttest.New(t, 1, nil, nil)
	engine := gin.New()
	var bind atomic.Bool
	engine.Use(func(c *gin.Context) {
		if c.Request.Method != http.MethodPost {
			return
		}
		if bind.Load() {
			var form struct{ Amount int }
			_ = c.ShouldBindBodyWith(&form, binding.JSON)
		} else {
			_, _ = c.GetRawData()
		}
	}, pumicegin.New(fixture.Gateway))
	addr := hosttest.Serve(t, engine, nil)
	for _, kept := range []bool{true, false} {
		bind.Store(kept)
		request := fixture.NewRequest("pay")
		request.Body = `{"Amount":3}`
		reply := hosttest.Do(t, request, addr)
		attempts := fixture.Ledger.ForRequest(request.RequestID())
		if kept && (reply.String() != "served" || len(attempts) != 1 || attempts[0].Body != request.Body) ||
			!kept && (reply.Status != 400 || len(attempts) > 0) {
			t.Errorf("gin has a copy: %v; got %v with status %d and attempts %+v, "+
				"want served with body %q, or 400 without a copy",
				kept, reply, reply.Status, attempts, request.Body)
		}
	}
}

// Serve handles a route of the host whose path is not a class's, with a Mapper of the host's.
func TestServeWithCustomMapper(t *testing.T) {
	fixture := hosttest.New(t, 1, nil, nil)
	engine := gin.New()
	engine.GET("/shops/:shop/stock", pumicegin.Serve(fixture.Gateway, middleware.Mapper(
		func(*http.Request) (pumicecroft.Request, error) {
			return pumicecroft.Request{Class: "look", Plan: "shop", Customer: 4}, nil
		})))
	addr := hosttest.Serve(t, engine, nil)
	res, err := http.Get("http://" + addr + "/shops/7/stock")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if attempts := fixture.Ledger.Attempts(); res.StatusCode != 200 || len(attempts) != 1 || attempts[0].Class != "look" {
		t.Errorf("got status %s and attempts %+v, want 200 and one of class look", res.Status, attempts)
	}
}
