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

// This file is not part of the normal build. `go build -tags shim` builds the program for the soak test, which injects failures of
// operating system calls. TINSAIL_SHIM names a file with the fault in force, which is read every shimPollInterval.
// TINSAIL_SHIM_WALL_MS is added to the wall clock for the whole run of the process.

// shimPollInterval is how often the file of the fault in force is read.
const shimPollInterval = 5 * time.Millisecond

// Faults that are not an errno.
const (
	shimShortIO = "short" // reads and writes take a few bytes
)

var shimErrnos = map[string]syscall.Errno{"EMFILE": syscall.EMFILE, "ENFILE": syscall.ENFILE, "ENOBUFS": syscall.ENOBUFS,
	"EADDRNOTAVAIL": syscall.EADDRNOTAVAIL, "ENETUNREACH": syscall.ENETUNREACH, "ECONNABORTED": syscall.ECONNABORTED,
	"ENOSPC": syscall.ENOSPC, "EIO": syscall.EIO}

// shimCalls names the calls that fail with an errno.
var shimCalls = map[string]string{"EMFILE": "accept dial", "ENFILE": "accept dial", "ENOBUFS": "accept dial", "EADDRNOTAVAIL": "dial",
	"ENETUNREACH": "dial", "ECONNABORTED": "accept", "ENOSPC": "store", "EIO": "store"}

// shimInForce is the fault that the file names now; empty if none.
var shimInForce atomic.Pointer[string]

func init() {
	if ms, err := strconv.Atoi(os.Getenv("TINSAIL_SHIM_WALL_MS")); err == nil {
		hostOS.wallClockOffset = time.Duration(ms) * time.Millisecond
	}
	path := os.Getenv("TINSAIL_SHIM")
	if path == "" {
		return
	}
	none := ""
	shimInForce.Store(&none)
	go func() {
		for ; ; time.Sleep(shimPollInterval) {
			text, _ := os.ReadFile(path)
			now := strings.TrimSpace(string(text))
			shimInForce.Store(&now)
		}
	}()
	dial := hostOS.dial
	hostOS.dial = func(ctx context.Context, address string) (net.Conn, error) {
		if err := shimErrorAt("dial"); err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
		}
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return struct{ net.Conn }{shortConn{conn.(*net.TCPConn)}}, nil // hides the descriptor, so that all reads go through Read
	}
	hostOS.wrapListener = func(l net.Listener) net.Listener { return shimListener{l.(*net.TCPListener)} }
	hostOS.wrapStore = func(s maintain.Store) maintain.Store { return shimStore{s} }
}

// shimErrorAt returns the error in force for a call, or nil.
func shimErrorAt(call string) error {
	now := *shimInForce.Load()
	if strings.Contains(shimCalls[now], call) {
		return shimErrnos[now]
	}
	return nil
}

// shimListener fails to accept without removing a connection from the queue, as accept(2) does when a resource is exhausted.
type shimListener struct{ *net.TCPListener }

func (l shimListener) Accept() (net.Conn, error) {
	if err := shimErrorAt("accept"); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return shortConn{c}, nil
}

// shortConn limits each read and write to maxShortIO bytes while shimShortIO is in force.
type shortConn struct{ *net.TCPConn }

const maxShortIO = 7 // bytes of a short read or write

func (c shortConn) Read(p []byte) (int, error) {
	if *shimInForce.Load() == shimShortIO {
		p = p[:min(len(p), maxShortIO)]
	}
	return c.TCPConn.Read(p)
}

func (c shortConn) Write(p []byte) (n int, err error) {
	for len(p) > 0 && err == nil {
		piece := p
		if *shimInForce.Load() == shimShortIO {
			piece = p[:min(len(p), maxShortIO)]
		}
		var m int
		m, err = c.TCPConn.Write(piece)
		n, p = n+m, p[m:]
	}
	return n, err
}

// shimStore fails to write while an errno of the call "store" is in force.
type shimStore struct{ maintain.Store }

func (s shimStore) Write(text []byte) error {
	if err := shimErrorAt("store"); err != nil {
		return err
	}
	return s.Store.Write(text)
}
