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
	noFault         localFault = iota
	descriptors                // EMFILE, ENFILE
	memory                     // ENOBUFS, ENOMEM
	ports                      // EADDRNOTAVAIL, EAGAIN: no free local port
	route                      // ENETUNREACH, ENETDOWN
	denied                     // EACCES, EPERM: a packet filter of this machine
	heldUp                     // the process was not scheduled while a timeout passed
	localFaultCount            // number of kinds
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
func (f localFault) ofOnePeer() bool { return f == ports || f == route || f == denied }

var localErrors = map[syscall.Errno]localFault{
	syscall.EMFILE: descriptors, syscall.ENFILE: descriptors,
	syscall.ENOBUFS: memory, syscall.ENOMEM: memory,
	syscall.EADDRNOTAVAIL: ports, syscall.EAGAIN: ports,
	syscall.ENETUNREACH: route, syscall.ENETDOWN: route,
	syscall.EACCES: denied, syscall.EPERM: denied,
}

// localFaultOf returns which fault of this machine made a connection attempt fail, or noFault. due is when the attempt's
// own timeout ended, now is when its failure was noticed.
func localFaultOf(err error, due, now time.Time) localFault {
	var errno syscall.Errno
	if errors.As(err, &errno) { // the system's verdict; ETIMEDOUT means that the remote side was silent
		return localErrors[errno]
	}
	var ours net.Error
	if errors.As(err, &ours) && ours.Timeout() && now.Sub(due) > heldUpAfter {
		return heldUp
	}
	return noFault
}

// notScheduledAfter is how late a timeout must be noticed to count as a fault of scheduling. In a process that is
// scheduled, timers fire within a few milliseconds.
const heldUpAfter = 50 * time.Millisecond

// Delays between retries while the local fault lasts, doubled from the first to the last.
const (
	leastFaultPause = 2 * time.Millisecond
	mostFaultPause  = 20 * time.Millisecond
)

// retryDialer establishes one connection and retries after faults of this machine.
type dialling struct {
	dial    Dial
	address string
	each    time.Duration // limit for one try
	count   *counters.Set
	// between, if set, is called before each retry; true ends the attempt, as the connection is not needed any more.
	between func(localFault) (over bool)
}

// errNotNeeded is returned if between ended the attempt.
var errNoNeed = errors.New("no connection is needed any more")

// connect establishes the connection. The error is a failure or timeout of the remote side, errNotNeeded, or the last
// error once ctx is done. local tells whether the last failure was a fault of this machine, and which.
func (d *dialling) do(ctx context.Context) (conn net.Conn, local localFault, err error) {
	for pause := leastFaultPause; ; pause = min(2*pause, mostFaultPause) {
		due := time.Now().Add(d.each)
		try, cancel := context.WithDeadline(ctx, due)
		conn, err = d.dial(try, d.address)
		cancel()
		if err == nil {
			return conn, noFault, nil
		}
		if local = localFaultOf(err, due, time.Now()); local == noFault {
			return nil, noFault, err
		}
		d.count.LocalFaults[local].Add(1)
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, local, err
		}
		if d.between != nil && d.between(local) {
			return nil, local, errNoNeed
		}
	}
}
