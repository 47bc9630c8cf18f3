// Package faultnet injects network faults between processes on loopback, for tests and the
// laboratory. A relay stands between a client and its target. Depending on the rule in force it
// forwards bytes, delays them, drops them, resets connections or discards everything silently, as
// an unreachable machine does (PROTOCOL's page, "The network"). It doesn't interpret the bytes.
//
// The package is for tests only; no code that serves clients imports it.
package faultnet

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Rule is the set of faults that a relay applies. The zero value applies none.
type Rule struct {
	// Refuse resets each new connection at once, as when the target process has died.
	Refuse bool
	// Blackhole accepts new connections without dialling the target and discards whatever is sent
	// on them or on open ones, as when the machine is unreachable.
	Blackhole bool
	// Delay holds each chunk for this long, in each direction, before it is forwarded. Later chunks
	// wait behind it, so throughput drops, as on a slow link.
	Delay time.Duration
	// Latency is the time that each chunk is in transit, in each direction. Many chunks are in
	// transit at once, so throughput isn't reduced as it is by Delay. TCP only.
	Latency time.Duration
	// DropEvery drops every n-th datagram; 0 drops none. UDP only: TCP hides loss by sending
	// again.
	DropEvery int
}

// NoFaults is the rule of a link without faults.
var NoFaults = Rule{}

// TCP is a relay of TCP connections to one target.
type TCP struct {
	listener net.Listener
	target   string
	tap      Tap

	mu     sync.Mutex
	ended  *sync.Cond // signalled when a connection ends
	rule   Rule
	pairs  map[*connPair]struct{}
	counts Counts
	closed bool
}

// Counts are a relay's totals since its start.
type Counts struct {
	Accepted, Refused, Reset, Ended int   // connections
	Forwarded, Discarded            int64 // bytes (TCP) or datagrams (UDP)
}

// Tap observes the bytes of connections. It is called once for each connection. toTarget is given
// what the client sends and toClient what the target sends, each in order and from one goroutine,
// with nil at the end of the stream. They must not keep the slices.
type Tap func() (toTarget, toClient func([]byte))

// connPair is a relayed connection. target is nil if it was blackholed from the start.
type connPair struct{ client, target net.Conn }

// ListenTCP starts a relay to target on a free port of 127.0.0.1. Close stops it and resets its
// connections.
func ListenTCP(target string) (*TCP, error) { return ListenTapped(target, nil) }

// ListenTapped is ListenTCP with a tap, which may be nil.
func ListenTapped(target string, tap Tap) (*TCP, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &TCP{listener: l, target: target, tap: tap, pairs: map[*connPair]struct{}{}}
	r.ended = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Addr returns the address to dial instead of the target's.
func (r *TCP) Addr() string { return r.listener.Addr().String() }

// Set applies rule to new connections and to whatever open connections transfer from now on.
func (r *TCP) Set(rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rule = rule
}

func (r *TCP) currentRule() Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rule
}

// Counts returns the totals so far.
func (r *TCP) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Reset resets every open connection on both sides, as when a process dies.
func (r *TCP) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		reset(p.client)
		reset(p.target)
		r.counts.Reset++
	}
	clear(r.pairs)
}

// Close stops the relay and resets its connections.
func (r *TCP) Close() {
	r.Reset()
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.listener.Close()
}

func reset(c net.Conn) {
	if c == nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0) // makes Close send RST instead of FIN
	}
	c.Close()
}

func (r *TCP) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		rule := r.currentRule()
		if rule.Refuse {
			r.mu.Lock()
			r.counts.Refused++
			r.mu.Unlock()
			reset(client)
			continue
		}
		go r.relay(client)
	}
}

// relay dials the target for a client's connection and forwards in both directions until the
// client's side ends.
func (r *TCP) relay(client net.Conn) {
	p := &connPair{client: client}
	if !r.currentRule().Blackhole {
		target, err := net.DialTimeout("tcp", r.target, time.Second)
		if err != nil {
			reset(client) // the target can't be reached, so the client is refused too
			return
		}
		p.target = target
	}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		reset(client)
		return
	}
	r.counts.Accepted++
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	var toTarget, toClient func([]byte)
	if r.tap != nil {
		toTarget, toClient = r.tap()
	}
	if p.target == nil { // blackholed from the start: discard everything until the client closes
		r.forward(client, nil, toTarget)
		r.remove(p)
		return
	}
	go r.forward(p.target, client, toClient)
	r.forward(client, p.target, toTarget)
	r.remove(p)
}

// remove drops a connection whose client's side has ended.
func (r *TCP) remove(p *connPair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
	r.counts.Ended++
	r.ended.Broadcast()
}

// AwaitEnded waits until n connections have ended on the client's side, then returns the totals.
func (r *TCP) AwaitEnded(n int) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.counts.Ended < n {
		r.ended.Wait()
	}
	return r.counts
}

// forward copies from one connection to the other, applying the rule in force at each chunk. If to
// is nil, everything is discarded. An end of stream closes only the write side of to; any other
// error closes it.
func (r *TCP) forward(from, to net.Conn, tap func([]byte)) {
	if tap != nil {
		defer tap(nil)
	}
	buf := make([]byte, 32<<10)
	var line *delayLine // set from the first chunk with latency
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if tap != nil {
				tap(buf[:n])
			}
			rule := r.currentRule()
			if rule.Delay > 0 {
				time.Sleep(rule.Delay) // blocks this direction, as a slow link does
			}
			if to == nil || rule.Blackhole {
				r.addBytes(0, int64(n))
			} else if line != nil || rule.Latency > 0 {
				if line == nil {
					line = newDelayLine(from, to)
				}
				line.send(bytes.Clone(buf[:n]), rule.Latency)
				r.addBytes(int64(n), 0)
			} else if _, werr := to.Write(buf[:n]); werr != nil {
				from.Close()
				return
			} else {
				r.addBytes(int64(n), 0)
			}
		}
		if err != nil {
			if line != nil {
				line.drain()
			}
			if t, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				t.CloseWrite()
			} else if to != nil {
				to.Close()
			}
			return
		}
	}
}

func (r *TCP) addBytes(forwarded, discarded int64) {
	r.mu.Lock()
	r.counts.Forwarded += forwarded
	r.counts.Discarded += discarded
	r.mu.Unlock()
}
