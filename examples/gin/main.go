// Command gin is a server on gin, the host of a Gateway: requests for stock-lookup go through the Gateway to a backend,
// and it serves all others itself.
package main

import (
	"log"
	"time"

	"github.com/gin-gonic/gin"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/membership"
	pumicegin "pumicecroft/middleware/gin"
)

func main() {
	gateway, err := pumicecroft.New(pumicecroft.Config{
		Settings: decision.Settings{CanCancel: true, MaxRetryAfter: time.Second,
			Classes: []decision.Class{{Name: "stock-lookup", LatencyObjective: time.Second, Deadline: 4 * time.Second,
				PriorityWeight: 1}},
			Plans: []decision.Plan{{Name: "shop", Rate: 10, Burst: 20, Price: 1}}},
		InitialEndpoints: membership.Update{Nodes: []membership.Node{{Name: "node-1", Addr: "127.0.0.1:9001"}}},
	})
	if err != nil {
		log.Fatal(err)
	}

	engine := gin.New()
	engine.Use(gin.Recovery(), func(c *gin.Context) {
		c.Next()
		if err := c.Errors.Last(); err != nil {
			log.Print(c.Request.URL.Path, ": ", err)
		}
	}, pumicegin.New(gateway)) // by default for the paths of all classes: /stock-lookup and below
	engine.GET("/", func(c *gin.Context) { c.String(200, "the host's own page\n") })
	log.Fatal(engine.Run("127.0.0.1:8080"))
}
