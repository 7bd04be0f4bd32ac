// Command grpc is a gRPC server with a service of its own, the host of a Gateway: calls of two methods go through the
// Gateway to backends that speak gRPC.
package main

import (
	"context"
	"log"
	"net"
	"os"
	"os/signal"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/grpcproxy"
	"pumicecroft/membership"
)

func main() {
	gateway, err := pumicecroft.New(pumicecroft.Config{
		Settings: decision.Settings{
			CanCancel:     true,
			MaxRetryAfter: time.Second,
			Classes: []decision.Class{
				{Name: "stock-lookup", LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1},
				{Name: "activate", Idempotency: decision.IdempotentByKey, DedupScope: decision.DedupScopeCell,
					DedupWindow: 5 * time.Second, LatencyObjective: time.Second, Deadline: 4 * time.Second,
					PriorityWeight: 5},
			},
			Plans: []decision.Plan{{Name: "shop", Rate: 10, Burst: 20, Price: 1}},
		},
		Protocol: membership.ProtocolGRPC,
		InitialEndpoints: membership.Update{Nodes: []membership.Node{
			{Name: "node-1", Addr: "127.0.0.1:9101", Cell: 1},
			{Name: "node-2", Addr: "127.0.0.1:9102", Cell: 1},
		}},
	}, grpcproxy.WithBackends(grpcproxy.BackendConfig{}))
	if err != nil {
		log.Fatal(err)
	}
	proxy, err := grpcproxy.New(gateway, grpcproxy.Config{
		Methods: map[string]grpcproxy.Method{
			"/shop.Desk/Activate": {Class: "activate"},
			"/shop.Stock/List":    {Class: "stock-lookup", Streaming: true},
		},
		CustomerText: true,
		Names:        grpcproxy.MetadataNames{Customer: "x-tenant", Plan: "x-plan", IdempotencyKey: "idempotency-key"},
	})
	if err != nil {
		log.Fatal(err)
	}

	server := grpc.NewServer(grpc.ForceServerCodecV2(grpcproxy.Codec()), grpc.UnknownServiceHandler(proxy.Handle),
		grpc.MaxConcurrentStreams(1000))
	healthpb.RegisterHealthServer(server, health.NewServer()) // the host's own service
	listener, err := net.Listen("tcp", "127.0.0.1:8090")
	if err != nil {
		log.Fatal(err)
	}

	interrupted, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	go func() {
		<-interrupted.Done()
		// The server stops first, so that no new calls arrive and open ones finish. The gateway is closed after it.
		server.GracefulStop()
	}()
	err = server.Serve(listener)
	cancel()
	if err != nil {
		log.Fatal(err)
	}
	closing, cancelClosing := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancelClosing()
	if err := gateway.Close(closing); err != nil {
		log.Print(err)
	}
}
