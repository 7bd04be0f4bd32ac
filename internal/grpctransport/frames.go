package grpctransport

import (
	"errors"
	"fmt"

	"golang.org/x/net/http2"

	"pumicecroft/internal/grpcproto"
)

// readLoop reads frames until the connection ends.
func (c *conn) readLoop() {
	defer c.onClose(c)
	for {
		f, err := c.frameReader.ReadFrame()
		var streamErr http2.StreamError
		if errors.As(err, &streamErr) { // for example malformed headers
			c.failStream(streamErr.StreamID)
			continue
		}
		if err == nil {
			err = c.handleFrame(f)
		}
		if err != nil {
			c.fail(fmt.Errorf("grpctransport: read: %w", err))
			return
		}
	}
}

// failStream resets a stream on which malformed headers have arrived.
func (c *conn) failStream(id uint32) {
	c.mu.Lock()
	s := c.streams[id]
	c.mu.Unlock()
	if s != nil {
		c.resetStream(s, func(call *grpcproto.Call) { call.OnMalformedResponse("malformed header") })
	}
}

// handleFrame processes a frame and writes the reply to it, if there is one. An error ends the
// connection.
func (c *conn) handleFrame(f http2.Frame) error {
	c.mu.Lock()
	reply, hasContent, err := c.applyFrame(f)
	if err == nil && !hasContent {
		c.emptyFrames++
	}
	tooManyEmpty := c.emptyFrames > maxEmptyFrames
	c.mu.Unlock()
	switch {
	case err != nil:
		return err
	case tooManyEmpty:
		return errEmptyFrameFlood
	case reply == nil:
		return nil
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return errors.Join(reply(), c.writeBuffer.Flush())
}

// applyFrame updates the connection's state for a frame. reply, unless nil, writes the frames that must
// be sent in reply, and must be called with writeMu held and mu released. hasContent is false if the
// frame counts towards maxEmptyFrames. The caller holds mu.
func (c *conn) applyFrame(f http2.Frame) (reply func() error, hasContent bool, err error) {
	switch f := f.(type) {
	case *http2.SettingsFrame:
		if f.IsAck() {
			return nil, false, nil
		}
		return c.frameWriter.WriteSettingsAck, false, f.ForeachSetting(c.applySetting)
	case *http2.PingFrame:
		if f.IsAck() {
			return nil, false, nil
		}
		data := f.Data
		return func() error { return c.frameWriter.WritePing(true, data) }, false, nil
	case *http2.WindowUpdateFrame:
		c.applyWindowUpdate(f)
		return nil, true, nil
	case *http2.GoAwayFrame:
		c.draining = true
		for _, s := range c.streams {
			s.call.OnGoAway(f.LastStreamID, s.id)
			c.finishIfEnded(s)
		}
		c.updateIdle()
	case *http2.RSTStreamFrame:
		if s := c.streams[f.StreamID]; s != nil {
			s.call.OnReset(uint32(f.ErrCode))
			c.finishIfEnded(s)
		}
	case *http2.MetaHeadersFrame:
		if s := c.streams[f.StreamID]; s != nil {
			s.handleHeaders(f)
			c.finishIfEnded(s)
		}
	case *http2.DataFrame:
		return c.applyData(f), f.Length > 0, nil
	}
	return nil, false, nil
}

// applyWindowUpdate extends a send window. The caller holds mu.
func (c *conn) applyWindowUpdate(f *http2.WindowUpdateFrame) {
	if f.StreamID == 0 {
		c.sendWindow += int64(f.Increment)
	} else if s := c.streams[f.StreamID]; s != nil {
		s.sendWindow += int64(f.Increment)
	}
	c.changed.Broadcast()
}

// applyData processes a part of a response body. reply returns flow-control credit to the backend: for
// the connection all that the frame has used, for the stream what takeWindowCredit returns. The caller
// holds mu.
func (c *conn) applyData(f *http2.DataFrame) (reply func() error) {
	s := c.streams[f.StreamID]
	if s != nil {
		s.handleData(f.Data(), f.StreamEnded())
		c.finishIfEnded(s)
	}
	length, id := f.Length, f.StreamID
	if length == 0 {
		return nil
	}
	credit := uint32(0)
	if s != nil && !s.ended {
		s.unreturnedWindow += length
		credit = s.takeWindowCredit()
	}
	return func() error {
		err := c.frameWriter.WriteWindowUpdate(0, length)
		if credit > 0 {
			err = errors.Join(err, c.frameWriter.WriteWindowUpdate(id, credit))
		}
		return err
	}
}

// applySetting applies one of the backend's settings. The caller holds mu.
func (c *conn) applySetting(setting http2.Setting) error {
	if err := setting.Valid(); err != nil {
		return err
	}
	switch setting.ID {
	case http2.SettingMaxConcurrentStreams:
		c.peerMaxStreams = setting.Val
	case http2.SettingMaxFrameSize:
		c.peerMaxFrame = int(min(setting.Val, maxSendFrameBytes))
	case http2.SettingInitialWindowSize:
		for _, s := range c.streams {
			s.sendWindow += int64(setting.Val) - c.peerInitialWindow
		}
		c.peerInitialWindow = int64(setting.Val)
		c.changed.Broadcast()
	}
	return nil
}
