package main

import (
	"net"
	"time"

	"tinsail/internal/network"
	"tinsail/internal/network/maintain"
)

// osInterface is where the program meets the system. The soak's build (tag shim, internal/lab/soak) has it fail there in the ways
// that Linux documents; in the program that serves, all pass through.
type osInterface struct {
	wallClockOffset time.Duration // how far the wall clock is off
	dial            network.Dial
	wrapListener    func(net.Listener) net.Listener
	wrapStore       func(maintain.Store) maintain.Store // nil for the file itself
}

// wallClock is the system's wallClock clock.
func (b *osInterface) wallClock() time.Time { return time.Now().Add(b.wallClockOffset) }

var hostOS = osInterface{dial: network.DialTCP, wrapListener: func(l net.Listener) net.Listener { return l }}
