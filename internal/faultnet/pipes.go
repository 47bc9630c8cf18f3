package faultnet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// PipeListener is a listener whose connections are in memory, so that both sides of a link run on the fake
// clock of testing/synctest. Its address is whatever name it is given.
type PipeListener struct {
	Name string

	once sync.Once
	came chan net.Conn
	done chan struct{}
}

// ListenPipe makes a listener of that name.
func ListenPipe(name string) *PipeListener {
	return &PipeListener{Name: name, came: make(chan net.Conn), done: make(chan struct{})}
}

// Dial connects, as soon as the listener accepts. A closed one refuses.
func (p *PipeListener) Dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case <-p.done:
		return nil, syscall.ECONNREFUSED
	default:
	}
	select {
	case p.came <- far:
		return near, nil
	case <-p.done:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept, Close and Addr make it a net.Listener.
func (p *PipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.came:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *PipeListener) Close() error { p.once.Do(func() { close(p.done) }); return nil }

func (p *PipeListener) Addr() net.Addr { return pipeAddr(p.Name) }

type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }
