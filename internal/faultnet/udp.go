package faultnet

import (
	"net"
	"sync"
	"time"
)

// UDP is a relay of datagrams to one target. Each sender gets a socket of its own towards the
// target, so that answers find their way back; at most mostSenders are kept.
type UDP struct {
	in     *net.UDPConn
	target *net.UDPAddr

	mu      sync.Mutex
	told    *sync.Cond // when a datagram has been seen
	rule    Rule
	seen    int // datagrams, to drop one in DropEvery
	senders map[string]*net.UDPConn
	n       Counts
}

// mostSenders bounds the sockets a relay holds: a test with more senders is wrong.
const mostSenders = 512

// ListenUDP starts a relay on a free port of 127.0.0.1 to target.
func ListenUDP(target string) (*UDP, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	in, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &UDP{in: in, target: to, senders: map[string]*net.UDPConn{}}
	r.told = sync.NewCond(&r.mu)
	go r.forward()
	return r, nil
}

// Addr is where to send instead of the target.
func (r *UDP) Addr() string { return r.in.LocalAddr().String() }

// Set puts a rule in force; Refuse and Blackhole both swallow every datagram.
func (r *UDP) Set(rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rule = rule
}

// Counts says what it has done so far: datagrams passed and swallowed.
func (r *UDP) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// AwaitDatagrams waits until n datagrams, either way, have met the rule, and says what was done.
func (r *UDP) AwaitDatagrams(n int) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.seen < n {
		r.told.Wait()
	}
	return r.n
}

// Close stops the relay.
func (r *UDP) Close() {
	r.in.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.senders {
		c.Close()
	}
}

// pass says whether one more datagram goes through, and after how long.
func (r *UDP) pass() (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen++
	r.told.Broadcast()
	rule := r.rule
	if rule.Refuse || rule.Blackhole || rule.DropEvery > 0 && r.seen%rule.DropEvery == 0 {
		r.n.Discarded++
		return false, 0
	}
	r.n.Forwarded++
	return true, rule.Delay
}

func (r *UDP) send(to *net.UDPConn, addr *net.UDPAddr, b []byte) {
	ok, wait := r.pass()
	if !ok {
		return
	}
	b = append([]byte(nil), b...)
	later := func() {
		if addr == nil {
			to.Write(b)
		} else {
			to.WriteToUDP(b, addr)
		}
	}
	if wait > 0 {
		time.AfterFunc(wait, later)
	} else {
		later()
	}
}

func (r *UDP) forward() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.in.ReadFromUDP(buf)
		if err != nil {
			return
		}
		out := r.sender(from)
		if out != nil {
			r.send(out, nil, buf[:n])
		}
	}
}

// sender is the socket towards the target for one sender, made at its first datagram; its
// answers are relayed back by the same rule.
func (r *UDP) sender(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.senders[from.String()]; ok {
		return c
	}
	if len(r.senders) >= mostSenders {
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
			if err != nil {
				return
			}
			r.send(r.in, from, buf[:n])
		}
	}()
	return c
}
