package faultnet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// PipeListener is a net.Listener of in-memory connections, so that both sides of a connection run on
// the fake clock of testing/synctest. Its address is Name.
type PipeListener struct {
	Name string

	closeOnce sync.Once
	dialled   chan net.Conn // the server's side of dialled connections, until Accept
	closed    chan struct{}
}

// ListenPipe returns a listener whose address is name.
func ListenPipe(name string) *PipeListener {
	return &PipeListener{Name: name, dialled: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial returns the client's side of a new connection once Accept takes the other side. A closed
// listener refuses with ECONNREFUSED. The address is ignored.
func (p *PipeListener) Dial(ctx context.Context, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case <-p.closed:
		return nil, syscall.ECONNREFUSED
	default:
	}
	select {
	case p.dialled <- server:
		return client, nil
	case <-p.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the server's side of the next dialled connection.
func (p *PipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.dialled:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Dial and Accept fail. Open connections stay open.
func (p *PipeListener) Close() error { p.closeOnce.Do(func() { close(p.closed) }); return nil }

// Addr returns the listener's name as its address.
func (p *PipeListener) Addr() net.Addr { return pipeAddr(p.Name) }

type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }
