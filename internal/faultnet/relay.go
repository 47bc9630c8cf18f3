// Package faultnet puts faults between processes on loopback, for tests and the laboratory: a
// relay stands between a dialler and its target and, by the rule in force, passes bytes, holds
// them back, drops them, resets connections or swallows them without a word (a machine that is cut
// off says nothing: PROTOCOL's page, "The network"). It knows nothing of what the bytes mean.
//
// It serves tests only; nothing that serves clients imports it.
package faultnet

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Rule is what a relay does, from when it is set.
type Rule struct {
	// Refuse resets each new connection at once, as a process that has died does.
	Refuse bool
	// Blackhole accepts new connections and forwards nothing either way, and what is sent on open
	// ones is swallowed: a machine cut off.
	Blackhole bool
	// Delay holds each piece this long in each direction before it is passed on.
	Delay time.Duration
	// Latency is the time that a piece travels in each direction, while those after it travel behind it: a long
	// line, where Delay is a narrow one. TCP only.
	Latency time.Duration
	// DropEvery drops one datagram in so many (UDP only; 0: none). A stream has no such fault:
	// TCP would send again.
	DropEvery int
}

// NoFaults is the rule of a healthy link.
var NoFaults = Rule{}

// TCP is a relay of TCP connections to one target.
type TCP struct {
	l      net.Listener
	target string
	tap    Tap

	mu    sync.Mutex
	ended *sync.Cond // told when a connection ends
	rule  Rule
	conns map[*pair]struct{}
	n     Counts
	done  bool
}

// Counts are what a relay has done so far.
type Counts struct {
	Accepted, Refused, Reset, Ended int // connections
	Forwarded, Discarded            int64
}

// Tap looks at what passes. It is called at each connection; out takes what the dialler sends, back what it
// is sent, each in order and from one goroutine, and an empty piece at the end. They must not keep the pieces.
type Tap func() (out, back func([]byte))

type pair struct{ in, out net.Conn }

// ListenTCP starts a relay on a free port of 127.0.0.1 to target. Close ends it and all that
// passes through it.
func ListenTCP(target string) (*TCP, error) { return ListenTapped(target, nil) }

// ListenTapped is ListenTCP with a tap; nil for none.
func ListenTapped(target string, tap Tap) (*TCP, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &TCP{l: l, target: target, tap: tap, conns: map[*pair]struct{}{}}
	r.ended = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Addr is where to dial instead of the target.
func (r *TCP) Addr() string { return r.l.Addr().String() }

// Set puts a rule in force for what comes from now on, on open connections too.
func (r *TCP) Set(rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rule = rule
}

func (r *TCP) now() Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rule
}

// Counts says what it has done so far.
func (r *TCP) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// Reset resets every open connection on both sides, as when a process dies under them.
func (r *TCP) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		reset(p.in)
		reset(p.out)
		r.n.Reset++
	}
	clear(r.conns)
}

// Close stops the relay and resets what passes through it.
func (r *TCP) Close() {
	r.Reset()
	r.mu.Lock()
	r.done = true
	r.mu.Unlock()
	r.l.Close()
}

func reset(c net.Conn) {
	if c == nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0) // a close then sends RST, not FIN
	}
	c.Close()
}

func (r *TCP) accept() {
	for {
		in, err := r.l.Accept()
		if err != nil {
			return
		}
		rule := r.now()
		if rule.Refuse {
			r.mu.Lock()
			r.n.Refused++
			r.mu.Unlock()
			reset(in)
			continue
		}
		go r.join(in)
	}
}

func (r *TCP) join(in net.Conn) {
	p := &pair{in: in}
	if !r.now().Blackhole {
		out, err := net.DialTimeout("tcp", r.target, time.Second)
		if err != nil {
			reset(in) // the target refuses: so does the relay
			return
		}
		p.out = out
	}
	r.mu.Lock()
	if r.done {
		r.mu.Unlock()
		reset(in)
		return
	}
	r.n.Accepted++
	r.conns[p] = struct{}{}
	r.mu.Unlock()
	var out, back func([]byte)
	if r.tap != nil {
		out, back = r.tap()
	}
	if p.out == nil { // blackholed from the start: read and swallow until it ends
		r.pipe(in, nil, out)
		r.end(p)
		return
	}
	go r.pipe(p.out, in, back)
	r.pipe(in, p.out, out)
	r.end(p)
}

// end forgets a connection whose dialler's side has ended.
func (r *TCP) end(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, p)
	r.n.Ended++
	r.ended.Broadcast()
}

// AwaitEnded waits until n connections have ended on the dialler's side, and says what was done.
func (r *TCP) AwaitEnded(n int) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.n.Ended < n {
		r.ended.Wait()
	}
	return r.n
}

// pipe passes what from says to to, by the rule in force at each piece. to nil swallows it all.
// An end of from is passed on as an end of sending; a reset or another fault as a close.
func (r *TCP) pipe(from, to net.Conn, tap func([]byte)) {
	if tap != nil {
		defer tap(nil)
	}
	buf := make([]byte, 32<<10)
	var line *line // from the first piece that travels
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if tap != nil {
				tap(buf[:n])
			}
			rule := r.now()
			if rule.Delay > 0 {
				time.Sleep(rule.Delay) // holds this direction back, as a slow link does
			}
			if to == nil || rule.Blackhole {
				r.count(0, int64(n))
			} else if line != nil || rule.Latency > 0 {
				if line == nil {
					line = newLine(from, to)
				}
				line.send(bytes.Clone(buf[:n]), rule.Latency)
				r.count(int64(n), 0)
			} else if _, werr := to.Write(buf[:n]); werr != nil {
				from.Close()
				return
			} else {
				r.count(int64(n), 0)
			}
		}
		if err != nil {
			if line != nil {
				line.end()
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

func (r *TCP) count(passed, swallowed int64) {
	r.mu.Lock()
	r.n.Forwarded += passed
	r.n.Discarded += swallowed
	r.mu.Unlock()
}
