package accord

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"

	"tinsail/internal/network/accepting"
)

// The first byte of a connection says what it is.
const (
	raftConn   = 'R' // a stream of the log's library
	memberConn = 'A' // a member's link
	// QuotaConn is a link of the quotas, which Accord.Quotas takes over.
	QuotaConn = 'Q'
)

// Bounds on what a listen address takes in.
const (
	maxConnections  = 4096            // connections at a time, the log's own among them
	connTypeTimeout = 2 * time.Second // for the first byte
)

// connMux is a voter's listen address: it tells streams from links.
type connMux struct {
	listener    net.Listener
	address     raft.ServerAddress // as the others know it
	raftStreams chan net.Conn
	serveMember func(net.Conn) // takes a link over; it closes it
	serveQuota  atomic.Pointer[func(net.Conn)]
	slots       chan struct{}
	stop        chan struct{}
	closeOnce   sync.Once
}

func newConnMux(listen string, at string, link func(net.Conn)) (*connMux, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &connMux{listener: l, address: raft.ServerAddress(at), serveMember: link, raftStreams: make(chan net.Conn), slots: make(chan struct{}, maxConnections),
		stop: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *connMux) accept() {
	loop := accepting.Loop{Log: zerolog.Nop(), Name: "accord", Admit: func(conn net.Conn) {
		select {
		case p.slots <- struct{}{}:
			go p.route(conn)
		default:
			conn.Close()
		}
	}}
	loop.Run(p.listener)
}

// route reads the first byte of a connection. A stream leaves its seat when the log's library closes it.
func (p *connMux) route(conn net.Conn) {
	var mark [1]byte
	conn.SetReadDeadline(time.Now().Add(connTypeTimeout))
	if _, err := conn.Read(mark[:]); err != nil {
		mark[0] = 0
	}
	conn.SetReadDeadline(time.Time{})
	switch mark[0] {
	case raftConn:
		s := &raftStream{Conn: conn, release: sync.OnceFunc(func() { <-p.slots })}
		select {
		case p.raftStreams <- s:
		case <-p.stop:
			s.Close()
		}
	case memberConn:
		p.serveMember(conn)
		<-p.slots
	case QuotaConn:
		if f := p.serveQuota.Load(); f != nil {
			(*f)(conn)
		}
		conn.Close()
		<-p.slots
	default:
		conn.Close()
		<-p.slots
	}
}

// raftStream is a connection that gives up its seat when it is closed.
type raftStream struct {
	net.Conn
	release func()
}

func (s *raftStream) Close() error {
	s.release()
	return s.Conn.Close()
}

// Accept hands a stream to the log's library: raft.StreamLayer.
func (p *connMux) Accept() (net.Conn, error) {
	select {
	case c := <-p.raftStreams:
		return c, nil
	case <-p.stop:
		return nil, net.ErrClosed
	}
}

// Close ends the listen address.
func (p *connMux) Close() error {
	p.closeOnce.Do(func() { close(p.stop) })
	return p.listener.Close()
}

// Addr is the address by which the others know this voter.
func (p *connMux) Addr() net.Addr { return voterAddr(p.address) }

// Dial makes a stream to another voter.
func (p *connMux) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", string(to), timeout)
	if err != nil {
		return nil, err
	}
	conn.SetWriteDeadline(time.Now().Add(timeout))
	if _, err = conn.Write([]byte{raftConn}); err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetWriteDeadline(time.Time{})
	return conn, nil
}

type voterAddr raft.ServerAddress

func (voterAddr) Network() string  { return "tcp" }
func (k voterAddr) String() string { return string(k) }
