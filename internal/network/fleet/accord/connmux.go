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

// The first byte of a connection to a voter says what the connection is for.
const (
	raftConn   = 'R' // the Raft library's messages between voters
	memberConn = 'A' // a member's lease and budget requests
	// QuotaConn marks a connection of the quotas, which the handler of Accord.SetQuotaHandler serves.
	QuotaConn = 'Q'
)

// Limits of a listen address.
const (
	maxConnections  = 4096            // open at a time, those of the Raft library included
	connTypeTimeout = 2 * time.Second // for the first byte
)

// connMux accepts the connections to a voter's listen address and hands each to its user. For the Raft library it
// implements raft.StreamLayer.
type connMux struct {
	listener    net.Listener
	address     raft.ServerAddress // by which the other voters know this one
	raftStreams chan net.Conn      // accepted, for the Raft library
	serveMember func(net.Conn)     // serves a member's connection and closes it
	serveQuota  atomic.Pointer[func(net.Conn)]
	slots       chan struct{} // one element for each open connection
	stop        chan struct{}
	closeOnce   sync.Once
}

func newConnMux(listen string, address string, serveMember func(net.Conn)) (*connMux, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	m := &connMux{listener: l, address: raft.ServerAddress(address), serveMember: serveMember, raftStreams: make(chan net.Conn), slots: make(chan struct{}, maxConnections),
		stop: make(chan struct{})}
	go m.accept()
	return m, nil
}

func (m *connMux) accept() {
	loop := accepting.Loop{Log: zerolog.Nop(), Name: "accord", Admit: func(conn net.Conn) {
		select {
		case m.slots <- struct{}{}:
			go m.route(conn)
		default:
			conn.Close()
		}
	}}
	loop.Run(m.listener)
}

// route reads the first byte of a connection and hands the connection on. The slot of a Raft connection is released
// when the Raft library closes the connection.
func (m *connMux) route(conn net.Conn) {
	var connType [1]byte
	conn.SetReadDeadline(time.Now().Add(connTypeTimeout))
	if _, err := conn.Read(connType[:]); err != nil {
		connType[0] = 0
	}
	conn.SetReadDeadline(time.Time{})
	switch connType[0] {
	case raftConn:
		s := &raftStream{Conn: conn, release: sync.OnceFunc(func() { <-m.slots })}
		select {
		case m.raftStreams <- s:
		case <-m.stop:
			s.Close()
		}
	case memberConn:
		m.serveMember(conn)
		<-m.slots
	case QuotaConn:
		if f := m.serveQuota.Load(); f != nil {
			(*f)(conn)
		}
		conn.Close()
		<-m.slots
	default:
		conn.Close()
		<-m.slots
	}
}

// raftStream is a connection that releases its slot when it is closed.
type raftStream struct {
	net.Conn
	release func()
}

func (s *raftStream) Close() error {
	s.release()
	return s.Conn.Close()
}

// Accept returns the next connection for the Raft library.
func (m *connMux) Accept() (net.Conn, error) {
	select {
	case c := <-m.raftStreams:
		return c, nil
	case <-m.stop:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. Connections that are open stay open.
func (m *connMux) Close() error {
	m.closeOnce.Do(func() { close(m.stop) })
	return m.listener.Close()
}

// Addr returns the address by which the other voters know this one.
func (m *connMux) Addr() net.Addr { return voterAddr(m.address) }

// Dial opens a connection of the Raft library to another voter.
func (m *connMux) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
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

// voterAddr is a voter's address as a net.Addr.
type voterAddr raft.ServerAddress

func (voterAddr) Network() string  { return "tcp" }
func (a voterAddr) String() string { return string(a) }
