package platform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"tinsail/internal/standin/history"
)

// recordingListener is a backend's listener whose connections record when the first byte of each request arrives.
type recordingListener struct {
	net.Listener
	b *Backend
}

// Accept returns the next connection as a recordingConn.
func (c *recordingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{Conn: conn, b: c.b}, nil
}

// recordingConn is a backend's connection; it records when the first byte of each request arrives, and requests
// that break off within their header.
type recordingConn struct {
	net.Conn
	b *Backend

	mu          sync.Mutex
	firstByteAt time.Time // of the request being received; zero between requests
	recorded    bool      // its header has arrived and it is recorded as an attempt
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) *recordingConn { return r.Context().Value(connKey{}).(*recordingConn) }

// Read reads from the connection and records the time of a request's first byte.
func (c *recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		if c.firstByteAt.IsZero() {
			c.firstByteAt = time.Now()
		}
		c.mu.Unlock()
	}
	return n, err
}

// startAttempt marks the request whose header has arrived as recorded and returns the time of its first byte.
func (c *recordingConn) startAttempt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorded = true
	return c.firstByteAt
}

// completeReq is called when a request has arrived in full: the next byte is the first of another.
func (c *recordingConn) completeReq() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstByteAt, c.recorded = time.Time{}, false
}

// Close closes the connection. A request that broke off within its header is recorded as an attempt without an id.
func (c *recordingConn) Close() error {
	c.mu.Lock()
	firstByteAt, recorded := c.firstByteAt, c.recorded
	c.firstByteAt, c.recorded = time.Time{}, false
	c.mu.Unlock()
	if !firstByteAt.IsZero() && !recorded {
		c.b.recordAttempt(&history.Attempt{FirstByteAt: firstByteAt})
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side if the connection supports it.
func (c *recordingConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// reset resets the connection, as the kernel does for a process that dies.
func (c *recordingConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send RST instead of FIN
	}
	c.Close()
}
