package http2

import (
	"bytes"

	"golang.org/x/net/http2"
)

// readPreface reads the client's connection preface (RFC 9113 section 3.4). A client that appears
// to speak HTTP/1 gets an HTTP/1.1 error; anything else is ended with GOAWAY.
func (c *Conn) readPreface(rest []byte) bool {
	n := min(len(rest), len(http2.ClientPreface))
	if string(rest[:n]) == http2.ClientPreface[:n] {
		if n < len(http2.ClientPreface) {
			return false
		}
		c.inputStart += n
		c.prefaceReceived = true
		c.sendSettings()
		return true
	}
	end := bytes.IndexByte(rest, '\n')
	if end < 0 && len(rest) < maxPrefaceLine && printable(rest) {
		return false
	}
	c.ended = true
	if end >= 0 && isHTTP1(rest[:end]) {
		const text = "505: this port speaks HTTP/2 with prior knowledge only\n"
		c.output = append(c.output, "HTTP/1.1 505 HTTP Version Not Supported\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: "...)
		c.output = append(c.output, byte('0'+len(text)/10), byte('0'+len(text)%10))
		c.output = append(append(c.output, "\r\n\r\n"...), text...)
		c.event(Event{Kind: Ended, Code: http2.ErrCodeHTTP11Required, Reason: "HTTP/1"})
		return true
	}
	_ = c.framer.WriteGoAway(0, http2.ErrCodeProtocol, nil)
	c.event(Event{Kind: Ended, Code: http2.ErrCodeProtocol, Reason: "not the preface"})
	return true
}

func printable(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\r' && c != '\t' || c >= 0x7f {
			return false
		}
	}
	return true
}

func isHTTP1(line []byte) bool {
	parts := bytes.Split(bytes.TrimSuffix(line, []byte("\r")), []byte(" "))
	return len(parts) == 3 && bytes.HasPrefix(parts[2], []byte("HTTP/1."))
}

// sendSettings writes our SETTINGS and raises the connection window to ConnectionWindow.
func (c *Conn) sendSettings() {
	_ = c.framer.WriteSettings(
		http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(c.cfg.MaxStreams)},
		http2.Setting{ID: http2.SettingInitialWindowSize, Val: uint32(c.initialRecvWindow())},
		http2.Setting{ID: http2.SettingMaxFrameSize, Val: uint32(c.cfg.MaxFrameBytes)},
		http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: uint32(c.cfg.MaxHeaderBytes)})
	c.unackedSettings++
	if more := int64(c.cfg.ConnectionWindow) - c.recvWindow; more > 0 {
		_ = c.framer.WriteWindowUpdate(0, uint32(more))
		c.recvWindow += more
	}
}

// initialRecvWindow returns the receive window of a new stream: a whole body, so that only padding
// is ever returned by WINDOW_UPDATE. It applies from the client's acknowledgement of our SETTINGS
// on; until then a client may send the default, which is less or hardly more.
func (c *Conn) initialRecvWindow() int { return max(c.cfg.MaxBodyBytes, defaultWindow) }
