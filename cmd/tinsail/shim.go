//go:build shim

package main

import (
	"context"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"tinsail/internal/network/maintain"
)

// This file is no part of the program that serves: `go build -tags shim` makes the program that the soak plays with faults at the
// system's border. TINSAIL_SHIM names a file with the fault in force, which is read every shimLook; TINSAIL_SHIM_WALL_MS is how far
// the wall clock is off from the process's start on.

const shimLook = 5 * time.Millisecond

// Faults that are no errno.
const (
	shimShort = "short" // reads and writes take a few bytes
)

var shimErrnos = map[string]syscall.Errno{"EMFILE": syscall.EMFILE, "ENFILE": syscall.ENFILE, "ENOBUFS": syscall.ENOBUFS,
	"EADDRNOTAVAIL": syscall.EADDRNOTAVAIL, "ENETUNREACH": syscall.ENETUNREACH, "ECONNABORTED": syscall.ECONNABORTED,
	"ENOSPC": syscall.ENOSPC, "EIO": syscall.EIO}

// shimOf says at which call an errno comes.
var shimOf = map[string]string{"EMFILE": "accept dial", "ENFILE": "accept dial", "ENOBUFS": "accept dial", "EADDRNOTAVAIL": "dial",
	"ENETUNREACH": "dial", "ECONNABORTED": "accept", "ENOSPC": "store", "EIO": "store"}

var shimNow atomic.Pointer[string]

func init() {
	if ms, err := strconv.Atoi(os.Getenv("TINSAIL_SHIM_WALL_MS")); err == nil {
		system.wallOff = time.Duration(ms) * time.Millisecond
	}
	path := os.Getenv("TINSAIL_SHIM")
	if path == "" {
		return
	}
	none := ""
	shimNow.Store(&none)
	go func() {
		for ; ; time.Sleep(shimLook) {
			text, _ := os.ReadFile(path)
			now := strings.TrimSpace(string(text))
			shimNow.Store(&now)
		}
	}()
	dial := system.dial
	system.dial = func(ctx context.Context, address string) (net.Conn, error) {
		if err := shimFault("dial"); err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
		}
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return struct{ net.Conn }{shortConn{conn.(*net.TCPConn)}}, nil // without its descriptor: all reads come by Read
	}
	system.listener = func(l net.Listener) net.Listener { return shimListener{l.(*net.TCPListener)} }
	system.store = func(s maintain.Store) maintain.Store { return shimStore{s} }
}

// shimFault is the error in force at a call, if there is one.
func shimFault(call string) error {
	now := *shimNow.Load()
	if strings.Contains(shimOf[now], call) {
		return shimErrnos[now]
	}
	return nil
}

// shimListener fails to accept without taking anybody out of the queue, as accept(2) does when the process is short of something.
type shimListener struct{ *net.TCPListener }

func (l shimListener) Accept() (net.Conn, error) {
	if err := shimFault("accept"); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return shortConn{c}, nil
}

type shortConn struct{ *net.TCPConn }

const shortMost = 7 // bytes of a short read or write

func (c shortConn) Read(p []byte) (int, error) {
	if *shimNow.Load() == shimShort {
		p = p[:min(len(p), shortMost)]
	}
	return c.TCPConn.Read(p)
}

func (c shortConn) Write(p []byte) (n int, err error) {
	for len(p) > 0 && err == nil {
		piece := p
		if *shimNow.Load() == shimShort {
			piece = p[:min(len(p), shortMost)]
		}
		var m int
		m, err = c.TCPConn.Write(piece)
		n, p = n+m, p[m:]
	}
	return n, err
}

type shimStore struct{ maintain.Store }

func (s shimStore) Write(text []byte) error {
	if err := shimFault("store"); err != nil {
		return err
	}
	return s.Store.Write(text)
}
