package grpcproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"pumicecroft"
	"pumicecroft/internal/grpctransport"
)

// framedMessage is a message with its prefix, as it is on the wire. See Codec.
type framedMessage []byte

// errClientStreaming rejects calls whose clients stream.
var errClientStreaming = fmt.Errorf("%w: a second message: only unary and server-streaming calls are carried",
	pumicecroft.ErrBadRequest)

// receivedMessage is what receiveMessages has received.
type receivedMessage struct {
	message framedMessage
	err     error
}

// receiveMessage receives a call's one message within Config.ReadTimeout. A client that sends
// another, or does not half-close, is rejected; but of a streaming method the first message is
// enough, as clients of a bidirectional method wait for the response before they half-close. A
// second message ends the call by cancel then.
func (p *Proxy) receiveMessage(stream grpc.ServerStream, streaming bool,
	cancel context.CancelCauseFunc) (framedMessage, error) {
	received := make(chan receivedMessage, 1)
	go receiveMessages(stream, streaming, received, cancel) // it ends with the call at the latest
	timeout := time.NewTimer(p.config.ReadTimeout)
	defer timeout.Stop()
	select {
	case r := <-received:
		return r.message, receiveError(stream, r.err)
	case <-timeout.C:
		return nil, fmt.Errorf("%w: no complete message and half-close within %v", pumicecroft.ErrBadRequest,
			p.config.ReadTimeout)
	}
}

// receiveMessages receives until the client half-closes, or a second message.
func receiveMessages(stream grpc.ServerStream, streaming bool, received chan<- receivedMessage,
	cancel context.CancelCauseFunc) {
	var first, second framedMessage
	err := stream.RecvMsg(&first)
	switch {
	case errors.Is(err, io.EOF):
		received <- receivedMessage{nil, fmt.Errorf("%w: no message", pumicecroft.ErrBadRequest)}
		return
	case err != nil:
		received <- receivedMessage{nil, err}
		return
	case streaming:
		received <- receivedMessage{first, nil}
		if stream.RecvMsg(&second) == nil {
			cancel(errClientStreaming)
		}
		return
	}
	err = stream.RecvMsg(&second)
	switch {
	case err == nil:
		err = errClientStreaming
	case errors.Is(err, io.EOF):
		err = nil
	}
	received <- receivedMessage{first, err}
}

// receiveError converts an error of RecvMsg.
func receiveError(stream grpc.ServerStream, err error) error {
	st, ok := status.FromError(err)
	if err == nil || !ok {
		return err
	}
	switch st.Code() {
	case codes.ResourceExhausted: // over Config.MaxMessageBytes
		return fmt.Errorf("%w: %s", pumicecroft.ErrBodyTooLarge, st.Message())
	case codes.Canceled, codes.DeadlineExceeded:
		return fmt.Errorf("grpcproxy: client disconnected: %w", context.Cause(stream.Context()))
	}
	return fmt.Errorf("%w: %s", pumicecroft.ErrBadRequest, st.Message())
}

// responseSink streams a response to the client. SendMsg blocks while the client does not read and
// can't be cancelled, so a goroutine of its own calls it, which ends with the call.
type responseSink struct {
	stream   grpc.ServerStream
	started  bool
	messages chan framedMessage
	results  chan error // of SendMsg, one for each message
}

// WriteHeader begins the response.
func (s *responseSink) WriteHeader(fields []grpctransport.Field) {
	s.started = true
	s.messages, s.results = make(chan framedMessage), make(chan error, 1)
	err := s.stream.SetHeader(toMetadata(fields))
	go func() {
		for message := range s.messages {
			if err == nil {
				err = s.stream.SendMsg(message)
			}
			s.results <- err
		}
	}()
}

// WriteMessage sends a message. It blocks until the connection has taken it, or ctx ends.
func (s *responseSink) WriteMessage(ctx context.Context, message []byte) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	s.messages <- message
	select {
	case err := <-s.results:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// close ends the goroutine that sends.
func (s *responseSink) close() {
	if s.started {
		close(s.messages)
	}
}
