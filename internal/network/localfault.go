package network

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"tinsail/internal/counters"
)

// A connection attempt may fail for a reason that says nothing about the remote side: this process or its machine is
// briefly short of a resource, or the process was not scheduled while its own timeout passed. Such a failure counts
// against no backend, and the attempt is retried while there is time (connect(2) and socket(2) list the errors).

// localFault is the kind of a connection failure that was caused by this machine.
type localFault uint8

const (
	noFault           localFault = iota
	faultDescriptors             // EMFILE, ENFILE
	faultMemory                  // ENOBUFS, ENOMEM
	faultPorts                   // EADDRNOTAVAIL, EAGAIN: no free local port
	faultRoute                   // ENETUNREACH, ENETDOWN
	faultDenied                  // EACCES, EPERM: a packet filter of this machine
	faultNotScheduled            // the process was not scheduled while a timeout passed
	localFaultCount              // number of kinds
)

var localFaultNames = [localFaultCount]string{"none", "descriptors", "memory", "ports", "route", "denied", "held_up"}

func (f localFault) String() string { return localFaultNames[f] }

// LocalFaults lists every kind, for the names of counters.
func LocalFaults() []fmt.Stringer {
	all := make([]fmt.Stringer, localFaultCount)
	for i := range all {
		all[i] = localFault(i)
	}
	return all
}

// mayBeOfOneAddress says whether the fault may concern the route to one address alone. If other addresses can be reached
// meanwhile, it does.
func (f localFault) mayBeOfOneAddress() bool {
	return f == faultPorts || f == faultRoute || f == faultDenied
}

var localFaultByErrno = map[syscall.Errno]localFault{
	syscall.EMFILE: faultDescriptors, syscall.ENFILE: faultDescriptors,
	syscall.ENOBUFS: faultMemory, syscall.ENOMEM: faultMemory,
	syscall.EADDRNOTAVAIL: faultPorts, syscall.EAGAIN: faultPorts,
	syscall.ENETUNREACH: faultRoute, syscall.ENETDOWN: faultRoute,
	syscall.EACCES: faultDenied, syscall.EPERM: faultDenied,
}

// localFaultOf returns which fault of this machine made a connection attempt fail, or noFault. due is when the attempt's
// own timeout ended, now is when its failure was noticed.
func localFaultOf(err error, due, now time.Time) localFault {
	var errno syscall.Errno
	if errors.As(err, &errno) { // the system's error code; ETIMEDOUT means that the remote side was silent
		return localFaultByErrno[errno]
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() && now.Sub(due) > notScheduledAfter {
		return faultNotScheduled
	}
	return noFault
}

// notScheduledAfter is how late a timeout must be noticed to count as a fault of scheduling. In a process that is
// scheduled, timers fire within a few milliseconds.
const notScheduledAfter = 50 * time.Millisecond

// Delays between retries while the local fault lasts, doubled from the first to the last.
const (
	minFaultBackoff = 2 * time.Millisecond
	maxFaultBackoff = 20 * time.Millisecond
)

// retryDialer establishes one connection and retries after faults of this machine.
type retryDialer struct {
	dial    Dial
	address string
	timeout time.Duration // limit for one try
	count   *counters.Set
	// beforeRetry, if set, is called before each retry; true ends the attempt, as the connection is not needed any more.
	beforeRetry func(localFault) (over bool)
}

// errNotNeeded is returned if beforeRetry ended the attempt.
var errNotNeeded = errors.New("no connection is needed any more")

// connect establishes the connection. The error is a failure or timeout of the remote side, errNotNeeded, or the last
// error once ctx is done. local tells whether the last failure was a fault of this machine, and which.
func (d *retryDialer) connect(ctx context.Context) (conn net.Conn, local localFault, err error) {
	for backoff := minFaultBackoff; ; backoff = min(2*backoff, maxFaultBackoff) {
		due := time.Now().Add(d.timeout)
		tryCtx, cancel := context.WithDeadline(ctx, due)
		conn, err = d.dial(tryCtx, d.address)
		cancel()
		if err == nil {
			return conn, noFault, nil
		}
		if local = localFaultOf(err, due, time.Now()); local == noFault {
			return nil, noFault, err
		}
		d.count.LocalFaults[local].Add(1)
		timer := time.NewTimer(backoff)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, local, err
		}
		if d.beforeRetry != nil && d.beforeRetry(local) {
			return nil, local, errNotNeeded
		}
	}
}
