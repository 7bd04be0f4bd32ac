package fakes

import (
	"encoding/binary"
	"strconv"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// statusOK has the trailers of a successful call.
var statusOK = [][2]string{{"grpc-status", "0"}}

// truncatedMessage is the prefix and the first two bytes of a message of 99 bytes.
var truncatedMessage = []byte{0, 0, 0, 0, 99, 1, 2}

// answerAsBackend answers an attempt by the Behavior of a Backend.
func (c *grpcConn) answerAsBackend(s *grpcStream, attempt *Attempt) {
	defer c.removeStream(s)
	behavior, usage, ok := c.backend.config.execute(s.ctx, attempt)
	if !ok {
		return
	}
	trailers := [][2]string{{"grpc-status", "0"}}
	if usage != "" {
		trailers = append(trailers, [2]string{"x-ratelimit-used", usage})
	}
	switch behavior {
	case ServeNormally:
		c.writeHeaders(s, false, nil)
		c.writeMessage(s, responseBody(attempt.ID), false)
		c.writeHeaders(s, true, trailers)
	case RejectNotStarted:
		c.writeTrailersOnly(s, "14", "20")
	case ExecuteThenError:
		c.writeTrailersOnly(s, "13", "")
	case ExecuteThenHang, HangWithoutExecution:
		<-s.ctx.Done()
	case ExecuteThenGarble:
		c.writeHeaders(s, false, nil)
		c.writeData(s, []byte("\x07noise noise"), false)
		c.writeHeaders(s, true, trailers)
	case ExecuteThenTruncate:
		c.writeHeaders(s, false, nil)
		c.writeData(s, truncatedMessage, false)
		c.conn.Close()
	default: // ExecuteThenReset, ResetWithoutExecution
		c.conn.Close()
	}
}

// answer answers an attempt by the GRPCBehavior that GRPCConfig.Behavior selects.
func (c *grpcConn) answer(s *grpcStream, attempt *Attempt) {
	config := c.backend.config
	behavior := GRPCServe
	if config.Behavior != nil {
		behavior = config.Behavior(*attempt)
	}
	if config.WorkTime > 0 {
		time.Sleep(config.WorkTime)
	}
	c.mu.Lock()
	dropped := s.dropped
	c.mu.Unlock()
	if dropped {
		config.Ledger.finish(attempt, "dropped", false)
		c.removeStream(s)
		return
	}
	effect := !behavior.notExecuted() && config.IdempotentByKey != nil && config.IdempotentByKey(attempt.Class) &&
		config.Cell.firstUse(attempt.Key, time.Now())
	outcome := "served"
	if behavior != GRPCServe && behavior != GRPCStream && behavior != GRPCEndless {
		outcome = "behavior " + strconv.Itoa(int(behavior))
	}
	config.Ledger.finish(attempt, outcome, effect)
	if behavior == GRPCHeadersThenHang || behavior == GRPCHang {
		if behavior == GRPCHeadersThenHang {
			c.writeHeaders(s, false, nil)
		}
		return // the stream stays open
	}
	if !c.writeFailure(s, behavior) {
		c.writeMessages(s, attempt, behavior)
	}
	c.removeStream(s)
}

// writeFailure answers a call if its behavior ends the stream without a complete message, and reports whether it did.
func (c *grpcConn) writeFailure(s *grpcStream, behavior GRPCBehavior) bool {
	switch behavior {
	case GRPCRefuseStream:
		c.resetStream(s, http2.ErrCodeRefusedStream)
	case GRPCGoAwayBelow:
		c.mu.Lock()
		_ = c.framer.WriteGoAway(s.id-1, http2.ErrCodeNo, nil)
		c.mu.Unlock()
	case GRPCResetCancel:
		c.resetStream(s, http2.ErrCodeCancel)
	case GRPCClose:
		c.conn.Close()
	case GRPCCloseMidMessage:
		c.writeHeaders(s, false, nil)
		c.writeData(s, truncatedMessage, false)
		c.conn.Close()
	case GRPCInternal:
		c.writeTrailersOnly(s, "13", "")
	case GRPCNotFound:
		c.writeTrailersOnly(s, "5", "")
	case GRPCRetryPushback:
		c.writeTrailersOnly(s, "14", "20")
	default:
		return false
	}
	return true
}

// writeMessages answers an attempt whose behavior begins with headers, followed by complete messages or a status.
func (c *grpcConn) writeMessages(s *grpcStream, attempt *Attempt, behavior GRPCBehavior) {
	done := "done " + attempt.ID
	c.writeHeaders(s, false, nil)
	switch behavior {
	case GRPCServe:
		c.writeMessage(s, done, false)
		c.writeHeaders(s, true, statusOK)
	case GRPCStream:
		for i := range 3 {
			c.writeMessage(s, done+" "+strconv.Itoa(i), false)
		}
		c.writeHeaders(s, true, statusOK)
	case GRPCResetAfterMessage:
		c.writeMessage(s, done, false)
		c.afterMessage(attempt)
		c.resetStream(s, http2.ErrCodeInternal)
	case GRPCNoMessage:
		c.writeHeaders(s, true, statusOK)
	case GRPCTwoMessages:
		c.writeMessage(s, done, false)
		c.writeMessage(s, done, false)
		c.writeHeaders(s, true, statusOK)
	case GRPCMissingTrailers:
		c.writeMessage(s, done, true)
	case GRPCStreamClose, GRPCStreamHang, GRPCStreamInternal:
		c.failAfterMessage(s, attempt, behavior)
	case GRPCStreamPause:
		c.writeMessage(s, done, false)
		c.afterMessage(attempt)
		c.writeMessage(s, done, false)
		c.writeHeaders(s, true, statusOK)
	case GRPCEndless:
		for s.ctx.Err() == nil {
			c.writeMessage(s, string(make([]byte, GRPCEndlessBytes)), false)
		}
	case GRPCMessageTooLarge:
		c.writeMessage(s, string(make([]byte, GRPCLargeMessageBytes)), false)
		c.writeHeaders(s, true, statusOK)
	}
}

// failAfterMessage sends one message of a response stream and then fails by the behavior.
func (c *grpcConn) failAfterMessage(s *grpcStream, attempt *Attempt, behavior GRPCBehavior) {
	c.writeMessage(s, "done "+attempt.ID, false)
	c.afterMessage(attempt)
	switch behavior {
	case GRPCStreamClose:
		c.conn.Close()
	case GRPCStreamHang:
		<-s.ctx.Done()
	default:
		c.writeHeaders(s, true, [][2]string{{"grpc-status", "13"}, {"grpc-message", "as scripted"}})
	}
}

// afterMessage calls GRPCConfig.AfterMessage unless it is nil.
func (c *grpcConn) afterMessage(a *Attempt) {
	if f := c.backend.config.AfterMessage; f != nil {
		f(*a)
	}
}

// writeHeaders writes the response headers, or the trailers if last is set.
func (c *grpcConn) writeHeaders(s *grpcStream, last bool, fields [][2]string) {
	if !last {
		fields = append([][2]string{{":status", "200"}, {"content-type", "application/grpc"}}, fields...)
	}
	c.writeHeaderFields(s, last, fields)
}

// writeTrailersOnly writes a trailers-only response. An empty pushback is not sent.
func (c *grpcConn) writeTrailersOnly(s *grpcStream, status, pushback string) {
	fields := [][2]string{
		{":status", "200"}, {"content-type", "application/grpc"}, {"grpc-status", status},
		{"grpc-message", "as scripted"},
	}
	if pushback != "" {
		fields = append(fields, [2]string{"grpc-retry-pushback-ms", pushback})
	}
	c.writeHeaderFields(s, true, fields)
}

// writeHeaderFields writes a HEADERS frame, unless the stream or connection has ended.
func (c *grpcConn) writeHeaderFields(s *grpcStream, last bool, fields [][2]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.resetByPeer || c.closed {
		return
	}
	c.headerBuffer.Reset()
	for _, f := range fields {
		_ = c.encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	_ = c.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID: s.id, BlockFragment: c.headerBuffer.Bytes(), EndHeaders: true, EndStream: last,
	})
}

// resetStream writes RST_STREAM, unless the stream or connection has ended.
func (c *grpcConn) resetStream(s *grpcStream, code http2.ErrCode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.resetByPeer && !c.closed {
		_ = c.framer.WriteRSTStream(s.id, code)
	}
}

// writeMessage writes one gRPC message.
func (c *grpcConn) writeMessage(s *grpcStream, message string, last bool) {
	prefix := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message)))
	c.writeData(s, append(prefix, message...), last)
}

// maxFrameBytes is the length of the largest DATA frame that the backend writes: HTTP/2's default limit.
const maxFrameBytes = 16384

// writeData writes DATA frames, and waits while a flow-control window is exhausted. last ends the stream. It returns
// early if the stream or the connection has ended.
func (c *grpcConn) writeData(s *grpcStream, p []byte, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(p) > 0 {
		n := min(int64(len(p)), maxFrameBytes, c.window, s.window)
		if s.resetByPeer || c.closed {
			return
		}
		if n <= 0 {
			c.windowChanged.Wait()
			continue
		}
		c.window -= n
		c.backend.sentBytes.Add(n)
		s.window -= n
		if c.framer.WriteData(s.id, last && int(n) == len(p), p[:n]) != nil {
			return
		}
		p = p[n:]
	}
}
