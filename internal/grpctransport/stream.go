package grpctransport

import (
	"context"
	"errors"

	"golang.org/x/net/http2"

	"pumicecroft/decision"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/grpcproto"
)

// stream is one attempt on a connection. Its fields are guarded by conn.mu, except those that do not
// change after the stream was opened.
type stream struct {
	conn             *conn // nil until the stream is opened
	id               uint32
	call             grpcproto.Call
	sendWindow       int64 // bytes that may be sent on it
	response         Response
	messages         messageBuffer // that have arrived and were not forwarded
	changed          chan struct{} // holds a value when a streamed response has gone on; nil of a unary call
	unreturnedWindow uint32        // bytes that have arrived and whose window was not returned
	done             chan struct{} // closed when call has ended
	ended            bool          // done is closed
}

func newStream(streaming bool, maxMessageBytes int) *stream {
	s := &stream{done: make(chan struct{})}
	s.call.MaxMessageBytes = maxMessageBytes
	if streaming {
		s.call.Streaming = true
		s.changed = make(chan struct{}, 1)
	}
	return s
}

// handleHeaders takes in a header of the response. The caller holds conn.mu.
func (s *stream) handleHeaders(f *http2.MetaHeadersFrame) {
	if f.Truncated {
		s.call.MalformedResponse("header over the limit")
		return
	}
	trailer, contentType, metadata := s.readFields(f)
	if !s.call.ResponseStarted() {
		if !f.StreamEnded() {
			s.response.Header = metadata
			s.call.ResponseHeaders(f.PseudoValue("status"), contentType)
			return
		}
		if status := f.PseudoValue("status"); status != "200" {
			s.call.ResponseHeaders(status, contentType)
			return
		}
	} else if !f.StreamEnded() {
		s.call.ResponseHeaders("", "") // a second header, which is an error
		return
	}
	s.response.complete = true
	s.response.Trailer = metadata
	s.call.Trailers(trailer)
}

// readFields returns the fields of a header that end the call, its content type and the metadata
// for the client. What is for the proxy is kept in response.
func (s *stream) readFields(f *http2.MetaHeadersFrame) (trailer grpcproto.Trailer, contentType string, metadata []Field) {
	for _, h := range f.RegularFields() {
		switch h.Name {
		case "grpc-status":
			trailer.Status = h.Value
		case "grpc-message":
			s.response.Message = h.Value
		case "grpc-retry-pushback-ms":
			trailer.Pushback = h.Value
		case "content-type":
			contentType = h.Value
		case "x-ratelimit-used":
			s.response.usage = h.Value
		case "server-load":
			s.response.loadReport = h.Value
		default:
			metadata = append(metadata, Field{h.Name, h.Value})
		}
	}
	return trailer, contentType, metadata
}

// handleData takes in a part of the response's body. The caller holds conn.mu.
func (s *stream) handleData(data []byte, last bool) {
	s.call.Data(data, last)
	if _, ended := s.call.Ended(); !ended {
		s.messages.add(data)
		s.notify()
	}
}

// takeWindowCredit returns how much of the stream's window is to be returned to the backend now: all
// that has arrived, unless it is a streamed response whose client reads slower than it arrives. A
// message that has not arrived completely is waited for, as its length is limited. The caller holds
// conn.mu.
func (s *stream) takeWindowCredit() uint32 {
	if s.changed != nil && len(s.messages.complete) > 0 {
		return 0
	}
	n := s.unreturnedWindow
	s.unreturnedWindow = 0
	return n
}

// notify wakes nextMessage.
func (s *stream) notify() {
	if s.changed == nil {
		return
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// nextMessage returns the next message of a streamed response, or nil when the stream has ended. All
// messages before a successful end are returned, those before an error need not be. It blocks.
func (s *stream) nextMessage() []byte {
	for {
		s.conn.mu.Lock()
		outcome, _ := s.call.Ended()
		if s.ended && (len(s.messages.complete) == 0 || outcome.Result != decision.Succeeded) {
			s.conn.mu.Unlock()
			return nil
		}
		message := s.messages.next()
		s.conn.mu.Unlock()
		if message != nil {
			return message
		}
		<-s.changed
	}
}

// returnWindow returns the backend's window for a message that was forwarded.
func (s *stream) returnWindow() {
	c := s.conn
	c.mu.Lock()
	credit := uint32(0)
	if !s.ended {
		credit = s.takeWindowCredit()
	}
	c.mu.Unlock()
	if credit == 0 {
		return
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	// the connection knows
	_ = c.checkWrite(errors.Join(c.frameWriter.WriteWindowUpdate(s.id, credit), c.writeBuffer.Flush()))
}

// forwardTo forwards a streamed response. It returns decision.Succeeded, or why the client did not
// get all of it.
func (s *stream) forwardTo(ctx context.Context, a *executor.Attempt, sink Sink) decision.Result {
	for started := false; ; started = true {
		message := s.nextMessage()
		if message == nil {
			return decision.Succeeded
		}
		if !started {
			if !a.StartResponse() {
				s.conn.resetStream(s, (*grpcproto.Call).Cancelled)
				return decision.Cancelled
			}
			s.conn.mu.Lock()
			header := s.response.Header
			s.conn.mu.Unlock()
			sink.WriteHeader(header)
		}
		if sink.WriteMessage(ctx, message) != nil {
			return s.forwardFailed(ctx, a)
		}
		s.returnWindow()
	}
}

// forwardFailed ends a stream whose client does not take its response.
func (s *stream) forwardFailed(ctx context.Context, a *executor.Attempt) decision.Result {
	if errors.Is(a.CancelCause(), executor.ErrCancelled) || ctx.Err() == nil {
		s.conn.resetStream(s, (*grpcproto.Call).Cancelled)
		return decision.Cancelled
	}
	s.conn.resetStream(s, (*grpcproto.Call).TimedOut)
	return decision.TimedOut
}
