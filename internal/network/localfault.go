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

// A connection may fail to be made for a reason that says nothing of who was to be reached: this process or its machine is
// short of something for a moment, or was not run while its own time-out passed. Such a failure counts against no backend, and
// is tried again while there is time (connect(2), socket(2): which errors there are).

// localFault is what this machine was short of.
type localFault uint8

const (
	noFault         localFault = iota
	descriptors                // EMFILE, ENFILE
	memory                     // ENOBUFS, ENOMEM
	ports                      // EADDRNOTAVAIL, EAGAIN: no local port is free
	route                      // ENETUNREACH, ENETDOWN
	denied                     // EACCES, EPERM: a filter of this machine's
	heldUp                     // the process was not run while a time-out passed
	localFaultCount            // of the kinds
)

var localFaultNames = [localFaultCount]string{"none", "descriptors", "memory", "ports", "route", "denied", "held_up"}

func (f localFault) String() string { return localFaultNames[f] }

// LocalFaults lists every kind, for counters.
func LocalFaults() []fmt.Stringer {
	all := make([]fmt.Stringer, localFaultCount)
	for i := range all {
		all[i] = localFault(i)
	}
	return all
}

// ofOnePeer says that the fault may be on the way to one address alone: where others can be reached meanwhile, it is.
func (f localFault) ofOnePeer() bool { return f == ports || f == route || f == denied }

var localErrors = map[syscall.Errno]localFault{
	syscall.EMFILE: descriptors, syscall.ENFILE: descriptors,
	syscall.ENOBUFS: memory, syscall.ENOMEM: memory,
	syscall.EADDRNOTAVAIL: ports, syscall.EAGAIN: ports,
	syscall.ENETUNREACH: route, syscall.ENETDOWN: route,
	syscall.EACCES: denied, syscall.EPERM: denied,
}

// localFaultOf says whether a connection failed for a reason of this machine's. due is when the attempt's own time-out was
// over, now when it was heard of.
func localFaultOf(err error, due, now time.Time) localFault {
	var errno syscall.Errno
	if errors.As(err, &errno) { // the system's own word; ETIMEDOUT is the far side's silence
		return localErrors[errno]
	}
	var ours net.Error
	if errors.As(err, &ours) && ours.Timeout() && now.Sub(due) > heldUpAfter {
		return heldUp
	}
	return noFault
}

// heldUpAfter is how much later than it was due a time-out comes of a process that was not run meanwhile; timers of one
// that runs come within some milliseconds.
const heldUpAfter = 50 * time.Millisecond

// Pauses between tries while this machine is short of something, doubled from the first to the last.
const (
	leastFaultPause = 2 * time.Millisecond
	mostFaultPause  = 20 * time.Millisecond
)

// dialling makes a connection past the faults of this machine.
type dialling struct {
	dial    Dial
	address string
	each    time.Duration // a connection that is not up by then is given up
	count   *counters.Set
	// between, where set, is called before each further try; true ends the dialling, as there is no need any more.
	between func(localFault) (over bool)
}

// errNoNeed is returned where between ended the dialling.
var errNoNeed = errors.New("no connection is needed any more")

// do makes the connection. The error is the far side's or its silence, errNoNeed, or, once ctx is done, the last one.
// tried says whether the last failure was this machine's.
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
