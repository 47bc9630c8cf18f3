package faultnet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// Ports from which FreeAddress chooses. They are below the kernel's range for sockets that ask for no port
// (net.ipv4.ip_local_port_range, 32768 to 60999 by default).
const (
	firstFreePort = 20_000
	freePortCount = 12_768
	maxPortTries  = 100
)

// lastFreePort is the offset of the port that FreeAddress tried last. It starts at random, so that test processes that
// run at the same time rarely try the same ports.
var lastFreePort atomic.Int64

func init() { lastFreePort.Store(rand.Int64N(freePortCount)) }

// FreeAddress returns a TCP address of 127.0.0.1 at which nothing listens, for a process that is started on it later, or
// started again. Unlike a port that the kernel chose, it is not given to another socket meanwhile. One process gets each address once in
// freePortCount calls.
func FreeAddress() (string, error) {
	var err error
	for range maxPortTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstFreePort+lastFreePort.Add(1)%freePortCount)
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("no free port after %d tries: %w", maxPortTries, err)
}
