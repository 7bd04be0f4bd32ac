package grpcproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"pumicecroft"
	"pumicecroft/internal/grpctransport"
)

// framedMessage is a message with its length prefix, as it is sent on the wire. Codec leaves it encoded.
type framedMessage []byte

// errClientStreaming rejects calls in which the client sends more than one message.
var errClientStreaming = fmt.Errorf("%w: a second message: only unary and server-streaming calls are carried",
	pumicecroft.ErrBadRequest)

// receivedMessage is the result of receiveMessages.
type receivedMessage struct {
	message framedMessage
	err     error
}

// receiveMessage receives the request message of a call within Config.ReadTimeout. A call of a unary
// method is rejected if the client sends a second message or does not half-close. A streaming method
// needs only the first message, as clients of bidirectional methods wait for the response before they
// half-close. There, a second message cancels the call by cancel.
func (p *Proxy) receiveMessage(stream grpc.ServerStream, streaming bool,
	cancel context.CancelCauseFunc) (framedMessage, error) {
	received := make(chan receivedMessage, 1)
	go receiveMessages(stream, streaming, received, cancel) // returns when the call ends at the latest
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

// receiveMessages receives messages until the client half-closes or sends a second message.
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

// receiveError converts an error of RecvMsg to an error of the root package.
func receiveError(stream grpc.ServerStream, err error) error {
	st, ok := status.FromError(err)
	if err == nil || !ok {
		return err
	}
	switch st.Code() {
	case codes.ResourceExhausted: // the message is larger than Config.MaxMessageBytes
		return fmt.Errorf("%w: %s", pumicecroft.ErrBodyTooLarge, st.Message())
	case codes.Canceled, codes.DeadlineExceeded:
		return fmt.Errorf("grpcproxy: client disconnected: %w", context.Cause(stream.Context()))
	}
	return fmt.Errorf("%w: %s", pumicecroft.ErrBadRequest, st.Message())
}

// errCallEnded ends an attempt that writes to a responseSink whose call has ended.
var errCallEnded = errors.New("grpcproxy: the call has ended")

// responseSink streams a response to the client. SendMsg blocks while the client does not read and
// cannot be cancelled, so it is called in a goroutine of its own. That goroutine ends with the call. An
// attempt may use the sink for longer than its call lasts, so its methods do nothing after close.
type responseSink struct {
	stream   grpc.ServerStream
	messages chan framedMessage
	results  chan error    // results of SendMsg, one for each message
	ended    chan struct{} // closed by close

	mu      sync.Mutex // orders WriteHeader and close
	started bool
}

func newResponseSink(stream grpc.ServerStream) *responseSink {
	return &responseSink{
		stream:   stream,
		messages: make(chan framedMessage),
		results:  make(chan error, 1),
		ended:    make(chan struct{}),
	}
}

// WriteHeader sets the response headers and starts the goroutine that sends messages.
func (s *responseSink) WriteHeader(fields []grpctransport.Field) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed() {
		return
	}
	s.started = true
	err := s.stream.SetHeader(toMetadata(fields))
	go s.sendMessages(err)
}

// sendMessages sends messages until close. err is the result of setting the headers; if it is not nil,
// it is the result of each message.
func (s *responseSink) sendMessages(err error) {
	for {
		select {
		case message := <-s.messages:
			if err == nil {
				err = s.stream.SendMsg(message)
			}
			s.results <- err
		case <-s.ended:
			return
		}
	}
}

// WriteMessage sends a message. It blocks until the connection has accepted it, ctx ends or the call
// has ended.
func (s *responseSink) WriteMessage(ctx context.Context, message []byte) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if s.isClosed() {
		return errCallEnded
	}
	select {
	case s.messages <- message:
	case <-s.ended:
		return errCallEnded
	}
	select {
	case err := <-s.results:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-s.ended:
		return errCallEnded
	}
}

func (s *responseSink) isClosed() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// close ends the use of the stream by attempts, and reports whether the response has started. Repeated
// calls report the same.
func (s *responseSink) close() (started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isClosed() {
		close(s.ended)
	}
	return s.started
}
