package network

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// arrival tells when bytes came to this machine: they may have waited in the accept queue or the receive buffer while accepts
// failed, the process did not run, or a core was busy, and the client's time ran meanwhile. Linux tells how long ago the last
// data of a connection came (TCP_INFO, tcpi_last_data_recv, in milliseconds). Where it does not, the first bytes of a
// connection count from when accepts began to fail before it was accepted.
//
// It is used by the goroutine that reads the connection.
type arrival struct {
	raw    syscall.RawConn // nil where the system tells nothing
	queued time.Time       // it may have waited to be accepted since then; zero: it did not
	last   time.Duration   // scratch of ask
	info   tcpInfo         // scratch of ask
	ask    func(fd uintptr)
}

// tcpInfo is the beginning of the kernel's struct tcp_info, as far as it is used (linux/tcp.h): the whole of it would cost half
// as much again for each read.
type tcpInfo struct {
	_            [8]uint8
	_            [11]uint32 // rto to last_data_sent, last_ack_sent
	LastDataRecv uint32
}

// newArrival is for a connection that was just accepted.
func newArrival(conn net.Conn, queued time.Time) *arrival {
	a := &arrival{queued: queued}
	if c, ok := conn.(syscall.Conn); ok {
		a.raw, _ = c.SyscallConn()
	}
	a.ask = func(fd uintptr) {
		a.last = -1
		size := uint32(unsafe.Sizeof(a.info))
		_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, unix.TCP_INFO,
			uintptr(unsafe.Pointer(&a.info)), uintptr(unsafe.Pointer(&size)), 0)
		if errno == 0 && size == uint32(unsafe.Sizeof(a.info)) {
			a.last = time.Duration(a.info.LastDataRecv) * time.Millisecond
		}
	}
	return a
}

// at is when the bytes came that a read has just returned, at a time: no later than now.
func (a *arrival) at(now time.Time) time.Time {
	if a == nil { // in tests of what stands behind it
		return now
	}
	queued := a.queued
	a.queued = time.Time{} // the first bytes alone were there before the accept
	if a.raw != nil {
		if a.raw.Control(a.ask) == nil && a.last >= 0 {
			return now.Add(-a.last)
		}
		a.raw = nil
	}
	if !queued.IsZero() {
		return queued
	}
	return now
}

// acceptQueue is since when connections may have waited to be accepted. Accepting goroutines write it, and read it for what
// they accept.
type acceptQueue struct{ since atomic.Pointer[time.Time] }

// failed tells that an accept failed.
func (q *acceptQueue) failed(now time.Time) { q.since.CompareAndSwap(nil, &now) }

// empty tells that an accept had to wait: nobody was in the queue.
func (q *acceptQueue) empty() { q.since.Store(nil) }

// from is since when a connection that was just accepted may have waited; zero: it did not.
func (q *acceptQueue) from() time.Time {
	if at := q.since.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
