package handoff

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"tinsail/internal/handover"
	"tinsail/internal/network/accepting"
)

// Server is the serving process's side of a hand-over. Its callbacks are called one at a time.
type Server struct {
	Path  string
	Hello handover.Hello
	Log   zerolog.Logger

	GiveState     func() (handover.State, []syscall.Conn) // returns the state and listeners; on return this process no longer uses what the state passes on
	StopAccepting func()                                  // stops accepting; no connection is accepted after it returns
	OnNews        func(handover.StatusUpdate)             // handles a message of the new process
	OnJoined      func(*Link)                             // the new process has the state; later changes go to it over the link
	OnGone        func(accept bool)                       // the new process is gone; accept says that this process is to accept again

	mu        sync.Mutex
	stage     handover.OldProcess
	listener  *net.UnixListener
	pathTaken bool // the path is another process's by now
	closed    bool
}

// Listen waits for new processes. The socket is bound under another name and renamed to the path, so that
// the path always has a listening process while one process replaces another.
func (s *Server) Listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listen()
}

// LeavePath stops the server, and leaves the path to another process: Listen does not take it any more.
func (s *Server) LeavePath() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		s.listener.Close()
	}
}

// listen is Listen, also used again after another process had the path. s.mu is held.
func (s *Server) listen() error {
	if s.closed {
		return net.ErrClosed
	}
	name := fmt.Sprintf("%s.%d", s.Path, os.Getpid())
	os.Remove(name) // left by a dead process with this PID
	var l *net.UnixListener
	err := withShortName(name, func(short string) (err error) {
		l, err = net.ListenUnix("unix", &net.UnixAddr{Name: short, Net: "unix"})
		return err
	})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false)
	if err = errors.Join(os.Chmod(name, 0o600), os.Rename(name, s.Path)); err != nil {
		l.Close()
		os.Remove(name)
		return err
	}
	if s.listener != nil {
		s.listener.Close()
	}
	s.listener, s.pathTaken = l, false
	go s.serve(l)
	return nil
}

// Close stops the server. It removes the path unless that is another process's by now.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.listener == nil {
		return
	}
	s.closed = true
	s.listener.Close()
	if !s.pathTaken {
		os.Remove(s.Path)
	}
}

// maxPendingHellos limits the connections whose hello is not complete: each takes a descriptor that is in no budget. When
// one more connects, the oldest of them is closed (its Join returns an error), so that silent callers cannot keep a new
// process of this dispatcher out. A connection with a complete hello does not count any more.
const maxPendingHellos = 4

// pendingHellos are the connections whose hello is not complete yet, oldest first.
type pendingHellos struct {
	mu    sync.Mutex
	conns []*net.UnixConn
}

// add adds c, and closes the oldest connection if the limit is reached.
func (p *pendingHellos) add(c *net.UnixConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) == maxPendingHellos {
		p.conns[0].Close() // its reader fails, and its goroutine removes it
		p.conns = p.conns[1:]
	}
	p.conns = append(p.conns, c)
}

// remove removes c: its hello is complete, or it has ended.
func (p *pendingHellos) remove(c *net.UnixConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, o := range p.conns {
		if o == c {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			return
		}
	}
}

func (s *Server) serve(l *net.UnixListener) {
	var pending pendingHellos
	loop := accepting.Loop{Log: s.Log, Name: "hand-over", Admit: func(c net.Conn) {
		conn := c.(*net.UnixConn)
		pending.add(conn)
		go s.handle(&Link{conn: conn, reader: handover.Reader{MaxBytes: handover.MaxHello}}, &pending)
	}}
	loop.Run(l)
}

// handle reads a process's hello and hands over to it, or refuses.
func (s *Server) handle(l *Link, pending *pendingHellos) {
	defer l.CloseAfterSending()
	l.conn.SetReadDeadline(time.Now().Add(handover.HelloTimeout))
	text, files, err := l.message(nil)
	pending.remove(l.conn)
	for _, f := range files { // none are expected
		f.Close()
	}
	var h handover.Hello
	if err == nil {
		err = json.Unmarshal(text, &h)
	}
	if err == nil {
		err = sameUser(l.conn)
	}
	if err != nil {
		s.Log.Warn().Err(err).Msg("hand-over: no hello")
		return
	}
	s.mu.Lock()
	refused, busy := s.stage.HandleHello(h, s.Hello)
	s.mu.Unlock()
	if refused != "" {
		s.Log.Warn().Str("why", refused).Msg("hand-over refused")
		_ = l.sendFirst(handover.State{Version: handover.Version, Refused: refused, Busy: busy}, nil, handover.StateTimeout)
		return
	}
	err = s.handOver(l)
	_ = l.Send(handover.StatusUpdate{GivenUp: true}) // it may still run; an error means that it does not
	s.mu.Lock()
	accept := s.stage.HandleDisconnect()
	if accept && !s.closed { // the path belonged to the process that is gone
		if err := s.listen(); err != nil {
			s.Log.Error().Err(err).Msg("hand-over: cannot listen for the next process")
		}
	}
	s.mu.Unlock()
	s.Log.Warn().Err(err).Bool("accepts_again", accept).Msg("hand-over: the new process is gone")
	s.OnGone(accept)
}

// handOver sends the state and listeners, and returns when the new process is gone.
func (s *Server) handOver(l *Link) error {
	begun := time.Now()
	state, conns := s.GiveState()
	rights, err := rightsOf(conns)
	if err != nil {
		return err
	}
	state.Version = handover.Version
	if err := l.sendFirst(state, rights, handover.StateTimeout); err != nil {
		return err
	}
	l.reader.MaxBytes = handover.MaxStatusUpdate
	s.Log.Info().Int("sockets", state.MaxSockets).Int("backends", len(state.List)).Int("marks", len(state.Marks)).Msg("hand-over: state told")
	l.conn.SetReadDeadline(time.Now().Add(handover.ReadyTimeout)) // until it accepts
	s.OnJoined(l)
	return l.Read(func(n handover.StatusUpdate) {
		if n.Ready {
			s.mu.Lock()
			taken := s.stage.HandleReady()
			s.pathTaken = s.pathTaken || taken
			s.mu.Unlock()
			if taken {
				l.conn.SetReadDeadline(time.Time{})
				s.StopAccepting()
				_ = l.Send(handover.StatusUpdate{StoppedAccepting: true})
				s.Log.Info().Dur("after_ms", time.Since(begun)).Msg("hand-over: the new process accepts")
			}
		}
		s.OnNews(n)
	})
}

// rightsOf returns the control message that passes the listeners' descriptors. They stay open in this process too.
func rightsOf(conns []syscall.Conn) ([]byte, error) {
	fds := make([]int, 0, len(conns))
	for _, c := range conns {
		raw, err := c.SyscallConn()
		if err != nil {
			return nil, err
		}
		if err := raw.Control(func(fd uintptr) { fds = append(fds, int(fd)) }); err != nil {
			return nil, err
		}
	}
	return syscall.UnixRights(fds...), nil
}

// sameUser returns an error if the process at the other end runs as another user: the folder may be shared.
func sameUser(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var cred *syscall.Ucred
	var err2 error
	if err := raw.Control(func(fd uintptr) {
		cred, err2 = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil {
		return err
	}
	if err2 != nil {
		return err2
	}
	if int(cred.Uid) != os.Getuid() {
		return fmt.Errorf("the other process runs as user %d", cred.Uid)
	}
	return nil
}
