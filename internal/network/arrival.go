package network

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// arrivalClock determines when bytes reached this machine. They may have waited in the accept queue or the receive buffer
// while accepts failed, the process was not scheduled, or a core was busy, and the client's time ran meanwhile. Linux reports
// how long ago a connection last received data (TCP_INFO, tcpi_last_data_recv, in milliseconds). Where it does not, the first
// bytes of a connection count from when accepts began to fail before it was accepted.
//
// It is used by the goroutine that reads the connection.
type arrivalClock struct {
	raw          syscall.RawConn // nil if the system gives no such information
	queuedSince  time.Time       // the connection may have been queued for accept since then; zero if it was not
	recvAge      time.Duration   // scratch of queryTCPInfo
	info         tcpInfo         // scratch of queryTCPInfo
	queryTCPInfo func(fd uintptr)
}

// tcpInfo is the beginning of the kernel's struct tcp_info (linux/tcp.h), up to the field that is used: fetching the whole
// struct would make each read cost half as much again.
type tcpInfo struct {
	_            [8]uint8
	_            [11]uint32 // rto to last_data_sent, last_ack_sent
	LastDataRecv uint32
}

// newArrivalClock returns the clock of a connection that was just accepted.
func newArrivalClock(conn net.Conn, queued time.Time) *arrivalClock {
	a := &arrivalClock{queuedSince: queued}
	if c, ok := conn.(syscall.Conn); ok {
		a.raw, _ = c.SyscallConn()
	}
	a.queryTCPInfo = func(fd uintptr) {
		a.recvAge = -1
		size := uint32(unsafe.Sizeof(a.info))
		_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, unix.TCP_INFO,
			uintptr(unsafe.Pointer(&a.info)), uintptr(unsafe.Pointer(&size)), 0)
		if errno == 0 && size == uint32(unsafe.Sizeof(a.info)) {
			a.recvAge = time.Duration(a.info.LastDataRecv) * time.Millisecond
		}
	}
	return a
}

// timeOf returns when the bytes arrived that a read has just returned: no later than now.
func (a *arrivalClock) timeOf(now time.Time) time.Time {
	if a == nil { // in tests without a socket
		return now
	}
	queued := a.queuedSince
	a.queuedSince = time.Time{} // only the first bytes can have arrived before the accept
	if a.raw != nil {
		if a.raw.Control(a.queryTCPInfo) == nil && a.recvAge >= 0 {
			return now.Add(-a.recvAge)
		}
		a.raw = nil
	}
	if !queued.IsZero() {
		return queued
	}
	return now
}

// acceptQueue records since when connections may have been waiting for accept. Accepting goroutines write it, and read it for
// the connections that they accept.
type acceptQueue struct{ since atomic.Pointer[time.Time] }

// acceptFailed reports that an accept failed.
func (q *acceptQueue) acceptFailed(now time.Time) { q.since.CompareAndSwap(nil, &now) }

// emptied reports that an accept had to wait, so that the queue was empty.
func (q *acceptQueue) emptied() { q.since.Store(nil) }

// queuedSince returns since when a connection that was just accepted may have been waiting; zero if it was not.
func (q *acceptQueue) queuedSince() time.Time {
	if at := q.since.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
