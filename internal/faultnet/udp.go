package faultnet

import (
	"errors"
	"net"
	"sync"
	"time"
)

// UDP is a relay of datagrams to one target. Each sender has a socket of its own towards the
// target, so that replies can be returned to it. Datagrams from more than maxSenders senders are
// ignored.
type UDP struct {
	listener *net.UDPConn
	target   *net.UDPAddr

	mu        sync.Mutex
	processed *sync.Cond // signalled for each datagram
	rule      Rule
	datagrams int                     // processed so far, for DropEvery
	senders   map[string]*net.UDPConn // sockets towards the target, by the sender's address
	counts    Counts
}

// maxSenders limits a relay's sockets. A test with more senders is faulty.
const maxSenders = 512

// ListenUDP starts a relay to target on a free port of 127.0.0.1.
func ListenUDP(target string) (*UDP, error) {
	targetAddr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &UDP{listener: listener, target: targetAddr, senders: map[string]*net.UDPConn{}}
	r.processed = sync.NewCond(&r.mu)
	go r.forward()
	return r, nil
}

// Addr returns the address to send to instead of the target's.
func (r *UDP) Addr() string { return r.listener.LocalAddr().String() }

// Set applies rule to all further datagrams. Refuse and Blackhole both discard every datagram.
func (r *UDP) Set(rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rule = rule
}

// Counts returns the numbers of datagrams forwarded and discarded so far.
func (r *UDP) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// AwaitDatagrams waits until the rule has been applied to n datagrams in total, in either direction,
// then returns the totals.
func (r *UDP) AwaitDatagrams(n int) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.datagrams < n {
		r.processed.Wait()
	}
	return r.counts
}

// Close stops the relay and closes its sockets.
func (r *UDP) Close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.senders {
		c.Close()
	}
}

// applyRule counts one more datagram and returns whether to forward it, and after which delay.
func (r *UDP) applyRule() (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.datagrams++
	r.processed.Broadcast()
	rule := r.rule
	if rule.Refuse || rule.Blackhole || rule.DropEvery > 0 && r.datagrams%rule.DropEvery == 0 {
		r.counts.Discarded++
		return false, 0
	}
	r.counts.Forwarded++
	return true, rule.Delay
}

// send writes one datagram to socket as the rule allows. addr is nil if the socket is connected.
func (r *UDP) send(socket *net.UDPConn, addr *net.UDPAddr, data []byte) {
	forward, delay := r.applyRule()
	if !forward {
		return
	}
	data = append([]byte(nil), data...)
	write := func() {
		if addr == nil {
			socket.Write(data)
		} else {
			socket.WriteToUDP(data, addr)
		}
	}
	if delay > 0 {
		time.AfterFunc(delay, write)
	} else {
		write()
	}
}

// forward reads the senders' datagrams until the listener is closed.
func (r *UDP) forward() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.listener.ReadFromUDP(buf)
		if err != nil {
			return
		}
		socket := r.socketFor(from)
		if socket != nil {
			r.send(socket, nil, buf[:n])
		}
	}
}

// socketFor returns the socket towards the target for one sender, opened at its first datagram.
// Replies on it are returned to the sender under the same rule. It returns nil if there are too many
// senders or the socket can't be opened.
func (r *UDP) socketFor(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.senders[from.String()]; ok {
		return c
	}
	if len(r.senders) >= maxSenders {
		return nil
	}
	c, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	r.senders[from.String()] = c
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := c.Read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // a datagram was refused, as the target's port is closed for the moment
				continue
			}
			r.send(r.listener, from, buf[:n])
		}
	}()
	return c
}
