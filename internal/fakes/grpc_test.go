package fakes

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// bytesCodec is a gRPC codec that passes messages as bytes, without encoding them.
type bytesCodec struct{}

func (bytesCodec) Marshal(v any) ([]byte, error) { return *v.(*[]byte), nil }
func (bytesCodec) Unmarshal(data []byte, v any) error {
	*v.(*[]byte) = append([]byte{}, data...)
	return nil
}
func (bytesCodec) Name() string { return "proto" }

// The failures of the fake backend must have the status codes that grpc-go's client gives them. That client retries a
// call whose stream was refused, even with retries disabled, which is why gateways don't use it.
func TestGRPCBackend_AgainstGRPCClient(t *testing.T) {
	t.Parallel()
	ledger := &Ledger{}
	var behavior atomic.Int64
	var refusals atomic.Int64
	b, err := StartGRPC(GRPCConfig{Name: "g", Ledger: ledger, Cell: &Cell{Window: 5 * time.Second},
		IdempotentByKey: func(string) bool { return true },
		Behavior: func(Attempt) GRPCBehavior {
			if GRPCBehavior(behavior.Load()) == GRPCRefuseStream && refusals.Add(1) > 1 {
				return GRPCServe
			}
			return GRPCBehavior(behavior.Load())
		}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Kill)
	client, err := grpc.NewClient("passthrough:///"+b.Addr(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	for i, c := range []struct {
		behavior GRPCBehavior
		code     codes.Code
	}{
		{GRPCServe, codes.OK},
		{GRPCNotFound, codes.NotFound},
		{GRPCInternal, codes.Internal},
		{GRPCRetryPushback, codes.Unavailable},
		{GRPCResetCancel, codes.Canceled},
		{GRPCResetAfterMessage, codes.Internal},
		{GRPCNoMessage, codes.Internal},
		{GRPCTwoMessages, codes.Internal},
		{GRPCMessageTooLarge, codes.ResourceExhausted},
		{GRPCHang, codes.DeadlineExceeded},
		{GRPCRefuseStream, codes.OK},
		{GRPCServe, codes.OK},
	} {
		behavior.Store(int64(c.behavior))
		id := fmt.Sprintf("id-%d", i)
		ctx := metadata.AppendToOutgoingContext(t.Context(), "request-id", id, "idempotency-key", "key-"+id)
		ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
		if c.behavior == GRPCHang {
			ctx, cancel = context.WithTimeout(ctx, 100*time.Millisecond)
		}
		in, out := []byte("amount=3"), []byte(nil)
		err := client.Invoke(ctx, "/shop.Desk/Pay", &in, &out, grpc.ForceCodec(bytesCodec{}))
		cancel()
		if status.Code(err) != c.code || err == nil && string(out) != "done "+id {
			t.Errorf("behavior %d: got %v, %q; want %v, and %q if it is OK", c.behavior, err, out, c.code, "done "+id)
		}
		attempts := ledger.ForRequest(id)
		want := 1
		if c.behavior == GRPCRefuseStream {
			want = 2
		}
		if len(attempts) != want || attempts[0].Body != "amount=3" || attempts[0].Timeout == "" ||
			attempts[0].Key != "key-"+id {
			t.Errorf("behavior %d: the backend got %+v; want %d attempts with body amount=3, a timeout and key %q",
				c.behavior, attempts, want, "key-"+id)
		}
	}
	stream, err := client.NewStream(t.Context(), &grpc.StreamDesc{ServerStreams: true}, "/shop.Desk/List",
		grpc.ForceCodec(bytesCodec{}))
	if err != nil {
		t.Fatal(err)
	}
	behavior.Store(int64(GRPCStream))
	in := []byte("all")
	if err := stream.SendMsg(&in); err != nil {
		t.Fatal(err)
	}
	_ = stream.CloseSend()
	n := 0
	for out := []byte(nil); stream.RecvMsg(&out) == nil; n++ {
	}
	if n != 3 {
		t.Errorf("got %d messages of the stream, want 3", n)
	}
}
