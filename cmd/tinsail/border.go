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
	now      func() time.Time
	dial     network.Dial
	listener func(net.Listener) net.Listener
	store    func(maintain.Store) maintain.Store // nil for the file itself
}

var system = border{now: time.Now, dial: network.TCP, listener: func(l net.Listener) net.Listener { return l }}
