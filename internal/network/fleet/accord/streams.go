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
	raftMark = 'R' // a stream of the log's library
	linkMark = 'A' // a member's link
	// QuotaConn is a link of the quotas, which Accord.Quotas takes over.
	QuotaConn = 'Q'
)

// Bounds on what a listen address takes in.
const (
	mostLinks = 4096            // connections at a time, the log's own among them
	markWait  = 2 * time.Second // for the first byte
)

// port is a voter's listen address: it tells streams from links.
type port struct {
	listener net.Listener
	at       raft.ServerAddress // as the others know it
	streams  chan net.Conn
	link     func(net.Conn) // takes a link over; it closes it
	quotas   atomic.Pointer[func(net.Conn)]
	seats    chan struct{}
	stop     chan struct{}
	once     sync.Once
}

func newPort(listen string, at string, link func(net.Conn)) (*port, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &port{listener: l, at: raft.ServerAddress(at), link: link, streams: make(chan net.Conn), seats: make(chan struct{}, mostLinks),
		stop: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *port) accept() {
	loop := accepting.Loop{Log: zerolog.Nop(), Name: "accord", Admit: func(conn net.Conn) {
		select {
		case p.seats <- struct{}{}:
			go p.sort(conn)
		default:
			conn.Close()
		}
	}}
	loop.Run(p.listener)
}

// sort reads the first byte of a connection. A stream leaves its seat when the log's library closes it.
func (p *port) sort(conn net.Conn) {
	var mark [1]byte
	conn.SetReadDeadline(time.Now().Add(markWait))
	if _, err := conn.Read(mark[:]); err != nil {
		mark[0] = 0
	}
	conn.SetReadDeadline(time.Time{})
	switch mark[0] {
	case raftMark:
		s := &stream{Conn: conn, leave: sync.OnceFunc(func() { <-p.seats })}
		select {
		case p.streams <- s:
		case <-p.stop:
			s.Close()
		}
	case linkMark:
		p.link(conn)
		<-p.seats
	case QuotaConn:
		if f := p.quotas.Load(); f != nil {
			(*f)(conn)
		}
		conn.Close()
		<-p.seats
	default:
		conn.Close()
		<-p.seats
	}
}

// stream is a connection that gives up its seat when it is closed.
type stream struct {
	net.Conn
	leave func()
}

func (s *stream) Close() error {
	s.leave()
	return s.Conn.Close()
}

// Accept hands a stream to the log's library: raft.StreamLayer.
func (p *port) Accept() (net.Conn, error) {
	select {
	case c := <-p.streams:
		return c, nil
	case <-p.stop:
		return nil, net.ErrClosed
	}
}

// Close ends the listen address.
func (p *port) Close() error {
	p.once.Do(func() { close(p.stop) })
	return p.listener.Close()
}

// Addr is the address by which the others know this voter.
func (p *port) Addr() net.Addr { return known(p.at) }

// Dial makes a stream to another voter.
func (p *port) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", string(to), timeout)
	if err != nil {
		return nil, err
	}
	conn.SetWriteDeadline(time.Now().Add(timeout))
	if _, err = conn.Write([]byte{raftMark}); err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetWriteDeadline(time.Time{})
	return conn, nil
}

type known raft.ServerAddress

func (known) Network() string  { return "tcp" }
func (k known) String() string { return string(k) }
