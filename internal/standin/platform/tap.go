package platform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"tinsail/internal/standin/history"
)

// tapped is a backend's listener; its connections note when the first byte of each req came.
type tapped struct {
	net.Listener
	b *Backend
}

// Accept wraps the connection.
func (t *tapped) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &tap{Conn: c, b: t.b}, nil
}

type tap struct {
	net.Conn
	b *Backend

	mu    sync.Mutex
	first time.Time // the first byte of the req that is coming in; zero between reqs
	noted bool      // its head has come, and it is noted as an attempt
}

type tapKey struct{}

func withTap(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, tapKey{}, c)
}

func tapOf(r *http.Request) *tap { return r.Context().Value(tapKey{}).(*tap) }

// Read notes the first byte of a req.
func (t *tap) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 {
		t.mu.Lock()
		if t.first.IsZero() {
			t.first = time.Now()
		}
		t.mu.Unlock()
	}
	return n, err
}

// begin says when the first byte came of the req whose head is here.
func (t *tap) begin() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noted = true
	return t.first
}

// whole says that the req is here to its last byte: the next byte is another's first.
func (t *tap) whole() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.first, t.noted = time.Time{}, false
}

// Close notes a req that ended within its head: an attempt whose id nobody knows.
func (t *tap) Close() error {
	t.mu.Lock()
	first, noted := t.first, t.noted
	t.first, t.noted = time.Time{}, false
	t.mu.Unlock()
	if !first.IsZero() && !noted {
		t.b.note(&history.Attempt{First: first})
	}
	return t.Conn.Close()
}

// CloseWrite ends the sending alone, where the connection can.
func (t *tap) CloseWrite() error {
	if c, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

// reset breaks the connection, as a process that dies does.
func (t *tap) reset() {
	if c, ok := t.Conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0) // a close then sends RST, not FIN
	}
	t.Close()
}
