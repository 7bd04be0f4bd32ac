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

// bytesCodec passes messages as they are.
type bytesCodec struct{}

func (bytesCodec) Marshal(v any) ([]byte, error) { return *v.(*[]byte), nil }
func (bytesCodec) Unmarshal(data []byte, v any) error {
	*v.(*[]byte) = append([]byte{}, data...)
	return nil
}
func (bytesCodec) Name() string { return "proto" }

// The fake backend must fail in the ways that gRPC's own client expects. That client retries a call whose stream was
// refused by itself, also with retries disabled, which is why gateways don't use it.
func TestGRPCBackend_AgainstGRPCClient(t *testing.T) {
	t.Parallel()
	ledger := &Ledger{}
	var act atomic.Int64
	var times atomic.Int64
	b, err := StartGRPC(GRPCConfig{Name: "g", Ledger: ledger, Cell: &Cell{Window: 5 * time.Second},
		IdempotentByKey: func(string) bool { return true },
		Behavior: func(Attempt) GRPCBehavior {
			if GRPCBehavior(act.Load()) == GRPCRefuseStream && times.Add(1) > 1 {
				return GRPCServe
			}
			return GRPCBehavior(act.Load())
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
		act  GRPCBehavior
		code codes.Code
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
		act.Store(int64(c.act))
		id := fmt.Sprintf("id-%d", i)
		ctx := metadata.AppendToOutgoingContext(t.Context(), "request-id", id, "idempotency-key", "key-"+id)
		ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
		if c.act == GRPCHang {
			ctx, cancel = context.WithTimeout(ctx, 100*time.Millisecond)
		}
		in, out := []byte("amount=3"), []byte(nil)
		err := client.Invoke(ctx, "/shop.Desk/Pay", &in, &out, grpc.ForceCodec(bytesCodec{}))
		cancel()
		if status.Code(err) != c.code || err == nil && string(out) != "done "+id {
			t.Errorf("act %d: %v, %q; want %v", c.act, err, out, c.code)
		}
		as := ledger.ForRequest(id)
		want := 1
		if c.act == GRPCRefuseStream {
			want = 2
		}
		if len(as) != want || as[0].Body != "amount=3" || as[0].Timeout == "" || as[0].Key != "key-"+id {
			t.Errorf("act %d: it reached the backend as %+v", c.act, as)
		}
	}
	stream, err := client.NewStream(t.Context(), &grpc.StreamDesc{ServerStreams: true}, "/shop.Desk/List",
		grpc.ForceCodec(bytesCodec{}))
	if err != nil {
		t.Fatal(err)
	}
	act.Store(int64(GRPCStream))
	in := []byte("all")
	if err := stream.SendMsg(&in); err != nil {
		t.Fatal(err)
	}
	_ = stream.CloseSend()
	n := 0
	for out := []byte(nil); stream.RecvMsg(&out) == nil; n++ {
	}
	if n != 3 {
		t.Errorf("%d messages of a stream", n)
	}
}
