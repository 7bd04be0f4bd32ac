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

// deadline is a host's middleware that ends requests after a while; answer is what it says then, if it does.
func deadline(d time.Duration, answer func(*gin.Context)) gin.HandlerFunc {
	return func(c *gin.Context) {
		ctx, cancel := context.WithTimeout(c.Request.Context(), d)
		defer cancel()
		c.Request = c.Request.WithContext(ctx)
		c.Next()
		if ctx.Err() != nil && !c.Writer.Written() && answer != nil {
			answer(c)
		}
	}
}

// A gin context with a deadline: the client gets the host's answer where the host has one, and else 504; what was
// out is called off and its place free again.
func TestTheHostsDeadlineFiresFirst(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(*gin.Context)
		status int
		body   string
	}{
		"the host answers": {func(c *gin.Context) { c.String(http.StatusServiceUnavailable, "the host says no") }, 503, "the host says no"},
		"nobody answers":   {nil, 504, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var hang atomic.Bool
			r := hosttest.New(t, 2, func(fakes.Attempt) fakes.Behavior {
				if hang.Load() {
					return fakes.ExecuteThenHang
				}
				return fakes.ServeNormally
			}, nil)
			e := gin.New()
			var told atomic.Value
			e.Use(func(c *gin.Context) {
				c.Next()
				if last := c.Errors.Last(); last != nil {
					told.Store(last.Err)
				}
			}, deadline(100*time.Millisecond, c.answer), pumicegin.New(r.Gateway))
			addr := hosttest.Serve(t, e, nil)
			for range 5 {
				hang.Store(true)
				a := r.NewRequest("pay")
				a.Plan = "one"
				if reply := hosttest.Do(t, a, addr); reply.Status != c.status || reply.Body != c.body {
					t.Errorf("%d %q, want %d %q", reply.Status, reply.Body, c.status, c.body)
				}
				hang.Store(false)
				r.AwaitIdle()
				r.RequireFreeSlot()
			}
			if err, _ := told.Load().(error); !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("the host is told of %v", err)
			}
		})
	}
}

func TestChainAndRoutes(t *testing.T) {
	r := hosttest.New(t, 1, nil, nil)
	e := gin.New()
	e.Use(pumicegin.New(r.Gateway, middleware.Routes("/look")), pumicegin.New(r.Gateway)) // /look meets both
	after := 0
	count := func(c *gin.Context) { after++; c.Status(http.StatusTeapot) }
	e.GET("/look", count)
	e.GET("/own", count)
	addr := hosttest.Serve(t, e, nil)
	a := r.NewRequest("look")
	if reply := hosttest.Do(t, a, addr); reply.String() != "served" || after != 0 || len(r.Ledger.ForRequest(a.RequestID())) != 1 {
		t.Errorf("%v, %d handlers after it, %d attempts", reply, after, len(r.Ledger.ForRequest(a.RequestID())))
	}
	if reply := hosttest.Do(t, r.NewRequest("pay"), addr); reply.String() != "served" { // gin has no handler for it
		t.Errorf("%v", reply)
	}
	res, err := http.Get("http://" + addr + "/own")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusTeapot || after != 1 {
		t.Errorf("the host's own: %s, %d", res.Status, after)
	}
}

// gin's own copy of a body that was bound goes on, if that is the one way in which it was read.
func TestABodyThatWasBound(t *testing.T) {
	r := hosttest.New(t, 1, nil, nil)
	e := gin.New()
	var bind atomic.Bool
	e.Use(func(c *gin.Context) {
		if c.Request.Method != http.MethodPost {
			return
		}
		if bind.Load() {
			var form struct{ Amount int }
			_ = c.ShouldBindBodyWith(&form, binding.JSON)
		} else {
			_, _ = c.GetRawData()
		}
	}, pumicegin.New(r.Gateway))
	addr := hosttest.Serve(t, e, nil)
	for _, kept := range []bool{true, false} {
		bind.Store(kept)
		a := r.NewRequest("pay")
		a.Body = `{"Amount":3}`
		reply := hosttest.Do(t, a, addr)
		seen := r.Ledger.ForRequest(a.RequestID())
		if kept && (reply.String() != "served" || len(seen) != 1 || seen[0].Body != a.Body) || !kept && (reply.Status != 400 || len(seen) > 0) {
			t.Errorf("kept %v: %v, %+v", kept, reply, seen)
		}
	}
}

func TestServeAndAMapperOfTheHosts(t *testing.T) {
	r := hosttest.New(t, 1, nil, nil)
	e := gin.New()
	e.GET("/shops/:shop/stock", pumicegin.Serve(r.Gateway, middleware.Mapper(func(*http.Request) (pumicecroft.Request, error) {
		return pumicecroft.Request{Class: "look", Plan: "shop", Customer: 4}, nil
	})))
	addr := hosttest.Serve(t, e, nil)
	res, err := http.Get("http://" + addr + "/shops/7/stock")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if as := r.Ledger.Attempts(); res.StatusCode != 200 || len(as) != 1 || as[0].Class != "look" {
		t.Errorf("%s %+v", res.Status, as)
	}
}
