package main

import (
	"net"
	"time"

	"tinsail/internal/network"
	"tinsail/internal/network/maintain"
)

// border is where the program meets the system. The soak's build (tag shim, internal/lab/soak) has it fail there in the ways
// that Linux documents; in the program that serves, all pass through.
type border struct {
	wallOff  time.Duration // how far the wall clock is off
	dial     network.Dial
	listener func(net.Listener) net.Listener
	store    func(maintain.Store) maintain.Store // nil for the file itself
}

// wall is the system's wall clock.
func (b *border) wall() time.Time { return time.Now().Add(b.wallOff) }

var system = border{dial: network.DialTCP, listener: func(l net.Listener) net.Listener { return l }}
