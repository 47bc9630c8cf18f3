package main

import (
	"net"
	"time"

	"tinsail/internal/network"
	"tinsail/internal/network/maintain"
)

// osInterface holds the calls to the operating system that the soak test's build replaces (tag shim, internal/lab/soak). That
// build injects the failures that Linux documents. In the normal build every call passes through.
type osInterface struct {
	wallClockOffset time.Duration // added to the system's wall clock
	dial            network.Dial
	wrapListener    func(net.Listener) net.Listener
	wrapStore       func(maintain.Store) maintain.Store // nil: the bans file is written directly
}

// wallClock returns the system's wall clock time plus the offset.
func (b *osInterface) wallClock() time.Time { return time.Now().Add(b.wallClockOffset) }

// hostOS is the interface that the program uses.
var hostOS = osInterface{dial: network.DialTCP, wrapListener: func(l net.Listener) net.Listener { return l }}
