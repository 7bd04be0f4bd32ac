// Command grpc is a host's own gRPC server, with a service of its own, that sends the calls of two methods through a Door to
// backends that speak gRPC.
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
	"pumicecroft/grpcfront"
	"pumicecroft/membership"
)

func main() {
	door, err := pumicecroft.New(pumicecroft.Config{
		Settings: decision.Settings{
			CanCancel:     true,
			MaxRetryAfter: time.Second,
			Classes: []decision.Class{
				{Name: "stock-lookup", Aim: time.Second, Deadline: 4 * time.Second, Worth: 1},
				{Name: "activate", Effect: decision.Keyed, Group: decision.GroupCell, KeyWindow: 5 * time.Second,
					Aim: time.Second, Deadline: 4 * time.Second, Worth: 5},
			},
			Plans: []decision.Plan{{Name: "shop", Rate: 10, Burst: 20, Price: 1}},
		},
		Protocol: membership.ProtocolGRPC,
		Known: membership.List{Nodes: []membership.Node{
			{Name: "node-1", Addr: "127.0.0.1:9101", Cell: 1},
			{Name: "node-2", Addr: "127.0.0.1:9102", Cell: 1},
		}},
	}, grpcfront.WithBackends(grpcfront.BackendConfig{}))
	if err != nil {
		log.Fatal(err)
	}
	front, err := grpcfront.New(door, grpcfront.Config{
		Methods: map[string]grpcfront.Method{
			"/shop.Desk/Activate": {Class: "activate"},
			"/shop.Stock/List":    {Class: "stock-lookup", Streaming: true},
		},
		CustomerText: true,
		Names:        grpcfront.Names{Customer: "x-tenant", Plan: "x-plan", Key: "idempotency-key"},
	})
	if err != nil {
		log.Fatal(err)
	}

	server := grpc.NewServer(grpc.ForceServerCodecV2(grpcfront.Codec()), grpc.UnknownServiceHandler(front.Handle),
		grpc.MaxConcurrentStreams(1000))
	healthpb.RegisterHealthServer(server, health.NewServer()) // the host's own service
	listener, err := net.Listen("tcp", "127.0.0.1:8090")
	if err != nil {
		log.Fatal(err)
	}

	stop, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	go func() {
		<-stop.Done()
		// First the server, so that nothing new comes and what is in flight ends; then the door.
		server.GracefulStop()
	}()
	if err := server.Serve(listener); err != nil {
		log.Fatal(err)
	}
	ending, done := context.WithTimeout(context.Background(), 5*time.Second)
	defer done()
	if err := door.Close(ending); err != nil {
		log.Print(err)
	}
}
