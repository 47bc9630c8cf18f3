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

// Server is the end of the process that serves. Its functions are called one at a time.
type Server struct {
	Path string
	Me   handover.Hello
	Log  zerolog.Logger

	Give   func() (handover.State, []syscall.Conn) // this process has given up, when it returns, what the state gives away
	Hand   func()                                  // accept no more, when it returns
	News   func(handover.News)
	Joined func(*Link)       // the new process has the state, and hears of what changes from now on
	Gone   func(accept bool) // the new process is gone

	mu     sync.Mutex
	stage  handover.Old
	l      *net.UnixListener
	moved  bool // the path is another process's
	closed bool
}

// Listen waits for new processes. The path is this process's from one moment to the next: it is
// bound under another name and renamed, so that a third process never finds nobody there.
func (s *Server) Listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listen()
}

// listen does it, also again when another process had the path. s.mu is held.
func (s *Server) listen() error {
	if s.closed {
		return net.ErrClosed
	}
	name := fmt.Sprintf("%s.%d", s.Path, os.Getpid())
	os.Remove(name) // of a dead process with this number
	var l *net.UnixListener
	err := within(name, func(short string) (err error) {
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
	if s.l != nil {
		s.l.Close()
	}
	s.l, s.moved = l, false
	go s.serve(l)
	return nil
}

// Close ends it. The path goes, unless it is another process's by now.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.l == nil {
		return
	}
	s.closed = true
	s.l.Close()
	if !s.moved {
		os.Remove(s.Path)
	}
}

// mostHellos is how many processes are heard out at a time: each takes a descriptor that no budget knows of. When one
// more connects, the one that has waited longest without a whole hello is closed unheard (its Join takes it for a
// process that cannot be understood), so that callers who stay silent cannot keep a true process out. A process that
// has been heard holds no place any more.
const mostHellos = 4

// unheard are the connections whose hello is not whole yet, oldest first.
type unheard struct {
	mu    sync.Mutex
	conns []*net.UnixConn
}

// add takes c in, closing the oldest unheard one where there is no place.
func (u *unheard) add(c *net.UnixConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.conns) == mostHellos {
		u.conns[0].Close() // its reader fails, and its goroutine removes it
		u.conns = u.conns[1:]
	}
	u.conns = append(u.conns, c)
}

// heard lets c go: its hello is whole, or it has ended.
func (u *unheard) heard(c *net.UnixConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, o := range u.conns {
		if o == c {
			u.conns = append(u.conns[:i], u.conns[i+1:]...)
			return
		}
	}
}

func (s *Server) serve(l *net.UnixListener) {
	var waiting unheard
	loop := accepting.Loop{Log: s.Log, Name: "hand-over", Admit: func(c net.Conn) {
		conn := c.(*net.UnixConn)
		waiting.add(conn)
		go s.take(&Link{conn: conn, in: handover.Reader{Most: handover.MaxHello}}, &waiting)
	}}
	loop.Run(l)
}

// take hears one process out.
func (s *Server) take(l *Link, waiting *unheard) {
	defer l.Close()
	l.conn.SetReadDeadline(time.Now().Add(handover.HelloWait))
	text, files, err := l.message(nil)
	waiting.heard(l.conn)
	for _, f := range files { // nobody is to hand us any
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
	refused, busy := s.stage.Hello(h, s.Me)
	s.mu.Unlock()
	if refused != "" {
		s.Log.Warn().Str("why", refused).Msg("hand-over refused")
		_ = l.send(handover.State{Version: handover.Version, Refused: refused, Busy: busy}, nil)
		return
	}
	err = s.with(l)
	s.mu.Lock()
	accept := s.stage.Gone()
	if accept && !s.closed { // the path was the other's, which is gone
		if err := s.listen(); err != nil {
			s.Log.Error().Err(err).Msg("hand-over: cannot wait for a next process")
		}
	}
	s.mu.Unlock()
	s.Log.Warn().Err(err).Bool("accepts_again", accept).Msg("hand-over: the new process is gone")
	s.Gone(accept)
}

// with hands over, and returns when the new process is gone.
func (s *Server) with(l *Link) error {
	begun := time.Now()
	state, conns := s.Give()
	rights, err := rightsOf(conns)
	if err != nil {
		return err
	}
	state.Version = handover.Version
	if err := l.send(state, rights); err != nil {
		return err
	}
	l.in.Most = handover.MaxNews
	s.Log.Info().Int("sockets", state.Sockets).Int("backends", len(state.List)).Int("marks", len(state.Marks)).Msg("hand-over: state told")
	s.Joined(l)
	l.conn.SetReadDeadline(time.Now().Add(handover.ReadyWait)) // until it accepts
	return l.Read(func(n handover.News) {
		if n.Ready {
			s.mu.Lock()
			hand := s.stage.Ready()
			s.moved = s.moved || hand
			s.mu.Unlock()
			if hand {
				l.conn.SetReadDeadline(time.Time{})
				s.Hand()
				_ = l.Send(handover.News{Taken: true})
				s.Log.Info().Dur("after_ms", time.Since(begun)).Msg("hand-over: the new process accepts")
			}
		}
		s.News(n)
	})
}

// rightsOf makes the control message for listeners. Their descriptors stay this process's too.
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

// sameUser refuses processes of others: the folder may be shared.
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
		return fmt.Errorf("a process of user %d", cred.Uid)
	}
	return nil
}
