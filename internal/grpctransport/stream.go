package grpctransport

import (
	"context"
	"errors"

	"golang.org/x/net/http2"

	"pumicecroft/decision"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/grpcproto"
)

// stream is an HTTP/2 stream, which carries one attempt. Its fields are guarded by conn.mu, except those
// that do not change after the stream was opened.
type stream struct {
	conn             *conn // nil until the stream is opened
	id               uint32
	call             grpcproto.Call
	sendWindow       int64 // bytes that may be sent on the stream
	response         Response
	messages         messageBuffer // messages that have arrived and were not forwarded
	changed          chan struct{} // signals nextMessage that data has arrived or the stream has ended; nil if unary
	unreturnedWindow uint32        // bytes that have arrived and whose flow-control credit was not returned
	done             chan struct{} // closed when the stream has ended
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

// handleHeaders processes the response's headers or trailers. The caller holds conn.mu.
func (s *stream) handleHeaders(f *http2.MetaHeadersFrame) {
	if f.Truncated {
		s.call.OnMalformedResponse("header over the limit")
		return
	}
	trailer, contentType, metadata := s.readFields(f)
	if !s.call.ResponseStarted() {
		if !f.StreamEnded() {
			s.response.Header = metadata
			s.call.OnHeaders(f.PseudoValue("status"), contentType)
			return
		}
		if status := f.PseudoValue("status"); status != "200" {
			s.call.OnHeaders(status, contentType)
			return
		}
	} else if !f.StreamEnded() {
		s.call.OnHeaders("", "") // a second header block without END_STREAM, which ends the call as invalid
		return
	}
	s.response.complete = true
	s.response.Trailer = metadata
	s.call.OnTrailers(trailer)
}

// readFields splits the fields of a header block into the trailer fields that determine the call's end,
// the content type and the metadata for the client. It stores grpc-message and the fields that are meant
// for the gateway in s.response.
func (s *stream) readFields(f *http2.MetaHeadersFrame) (trailer grpcproto.Trailer, contentType string,
	metadata []Field) {
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

// handleData processes a part of the response body. The caller holds conn.mu.
func (s *stream) handleData(data []byte, last bool) {
	s.call.OnData(data, last)
	if _, ended := s.call.Ended(); !ended {
		s.messages.add(data)
		s.notify()
	}
}

// takeWindowCredit returns how much flow-control credit for the stream to return to the backend now: 0
// while complete messages of a streamed response wait to be forwarded, so that a slow client slows the
// backend down, and otherwise all credit for the bytes that have arrived. Credit for a partial message
// is returned too, as the length of a message is limited. The caller holds conn.mu.
func (s *stream) takeWindowCredit() uint32 {
	if s.changed != nil && len(s.messages.complete) > 0 {
		return 0
	}
	n := s.unreturnedWindow
	s.unreturnedWindow = 0
	return n
}

// notify wakes nextMessage, if the response is streamed.
func (s *stream) notify() {
	if s.changed == nil {
		return
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// nextMessage blocks until it can return the next message of a streamed response, or nil after the
// stream has ended. It returns all messages that precede a successful end, but may drop messages that
// precede an error.
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

// returnWindow returns flow-control credit to the backend after a message was forwarded.
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
	// checkWrite handles the error by closing the connection.
	_ = c.checkWrite(errors.Join(c.frameWriter.WriteWindowUpdate(s.id, credit), c.writeBuffer.Flush()))
}

// forwardTo forwards the messages of a streamed response to sink until the stream ends. It returns
// decision.Succeeded, or the result of the attempt if the client could not take all of the response.
func (s *stream) forwardTo(ctx context.Context, a *executor.Attempt, sink Sink) decision.Result {
	for started := false; ; started = true {
		message := s.nextMessage()
		if message == nil {
			return decision.Succeeded
		}
		if !started {
			if !a.StartResponse() {
				s.conn.resetStream(s, (*grpcproto.Call).OnCancel)
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

// forwardFailed resets a stream whose response could not be written to the client, and returns the
// attempt's result.
func (s *stream) forwardFailed(ctx context.Context, a *executor.Attempt) decision.Result {
	if errors.Is(a.CancelCause(), executor.ErrCancelled) || ctx.Err() == nil {
		s.conn.resetStream(s, (*grpcproto.Call).OnCancel)
		return decision.Cancelled
	}
	s.conn.resetStream(s, (*grpcproto.Call).OnTimeout)
	return decision.TimedOut
}
