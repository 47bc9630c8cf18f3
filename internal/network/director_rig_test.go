package network

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/faultnet"
	"tinsail/internal/platform"
	standin "tinsail/internal/standin/platform"
)

// Times of the drain rule: a change counts as published 6 s after discovery had it and could be reached, and sends
// to a drained backend have to end within the settings' grace period after that.
const (
	publishedAfter = 6 * time.Second
	drainGrace     = 500 * time.Millisecond
)

// fault is what happens to a call to discovery.
type fault string

const (
	healthy     fault = "healthy"
	refused     fault = "refused" // the connection is refused; an open one is reset
	hangs       fault = "hangs"   // the connection is never established; an open one is silent from then on
	mute        fault = "silent"
	resets      fault = "reset"     // once the call has arrived
	unavailable fault = "503"       // answered with 503, as by another machine
	truncated   fault = "truncated" // the connection is closed in the middle of an answer
	endless     fault = "endless"   // an answer that goes on byte by byte
	malformed   fault = "malformed" // a complete answer that is not a list
)

var faults = []fault{refused, hangs, mute, resets, unavailable, truncated, endless, malformed}

// failsFast says that a call fails at once or after its connect timeout.
func (f fault) failsFast() bool { return f != hangs && f != mute && f != endless }

const listHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// faultPeriod is a period in which a fault hits all calls, including those under way at its beginning.
type faultPeriod struct {
	from, to time.Duration
	fault    fault
}

// watchRig is the watch of the director alone, on the fake clock. Its calls reach stand-ins through a
// relay, in which faults are injected at chosen moments.
type watchRig struct {
	director, otherDirector *standin.Director // at address "d", and at "e" for a Redirect
	watch                   *Director
	count                   *counters.Set
	began                   time.Time
	faultPeriods            []faultPeriod
	pipes                   map[string]*faultnet.PipeListener

	mu         sync.Mutex
	restarted  bool    // "d" is another machine now, whose versions have restarted
	nextFaults []fault // faults of the next connections, whatever the time
	conns      map[*relayedConn]bool
	listedAt   map[string]time.Time // when NAME/STATE was listed first
	state      map[string]balance.State
	dials      []time.Time
}

// relayedConn is one connection to a stand-in.
type relayedConn struct {
	rig      *watchRig
	near     net.Conn // the relay's end of what the dispatcher holds
	far      net.Conn // to the stand-in; nil if the relay answers itself
	ownFault fault    // of this connection alone; "" for the one of the current fault period
	once     sync.Once
}

// withWatch calls play with a watch of those timings. Its stand-ins list b0 to b3 as Ready.
func withWatch(t *testing.T, timings WatchTimings, play func(c *watchRig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &watchRig{count: &counters.Set{}, began: time.Now(), conns: map[*relayedConn]bool{}, listedAt: map[string]time.Time{}, state: map[string]balance.State{}}
		at := map[string]*faultnet.PipeListener{"d": faultnet.ListenPipe("d"), "e": faultnet.ListenPipe("e")}
		c.pipes = at
		c.director, c.otherDirector = standin.NewDirector(at["d"]), standin.NewDirector(at["e"])
		for i := range 4 {
			setStatus(c.director, i, "Ready")
			setStatus(c.otherDirector, i, "Ready")
		}
		stop := make(chan struct{})
		c.watch = &Director{Names: &platform.Names{}, Count: c.count, Address: "d", Stop: stop, Timings: timings,
			Dial: func(ctx context.Context, address string) (net.Conn, error) { return c.dial(ctx, at[address]) }, OnList: c.onList}
		play(c)
		close(stop)
		c.director.Close()
		c.otherDirector.Close()
		time.Sleep(time.Minute) // all that still waits times out
	})
}

func setStatus(d *standin.Director, i int, status string) standin.Change {
	name := fmt.Sprint("b", i)
	return d.Set(standin.Entry{Name: name, Address: name, Status: status, Weight: 4})
}

func (c *watchRig) onList(_ balance.ListKind, list []core.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range list {
		if k := fmt.Sprint(e.Name, "/", e.State); c.listedAt[k].IsZero() {
			c.listedAt[k] = time.Now()
		}
		c.state[e.Name] = e.State
	}
}

// drained returns when a backend was first listed as draining; an hour from now if it never was.
func (c *watchRig) drained(i int) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := c.listedAt[fmt.Sprint("b", i, "/", balance.Draining)]; !at.IsZero() {
		return at
	}
	return time.Now().Add(time.Hour)
}

// begin starts the watch and the timers of the fault periods.
func (c *watchRig) begin() {
	for _, s := range c.faultPeriods {
		time.AfterFunc(s.from-time.Since(c.began), func() { c.injectAll(s.fault) })
	}
	c.watch.Subscribe()
}

// until sleeps until a time after the beginning.
func (c *watchRig) until(d time.Duration) { time.Sleep(d - time.Since(c.began)) }

// injectNext injects these faults into the next connections, and returns when the first of them is made.
func (c *watchRig) injectNext(next ...fault) time.Time {
	c.mu.Lock()
	c.nextFaults = next
	c.mu.Unlock()
	for range 10 * 60 * 100 {
		c.mu.Lock()
		left := len(c.nextFaults)
		c.mu.Unlock()
		if left < len(next) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Now()
}

// peakRate returns the largest number of connections within any second.
func (c *watchRig) peakRate() (peak int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, j := 0, 0; j < len(c.dials); j++ {
		for c.dials[j].Sub(c.dials[i]) >= time.Second {
			i++
		}
		peak = max(peak, j-i+1)
	}
	return peak
}

// injectAll injects a fault into the calls under way.
func (c *watchRig) injectAll(f fault) {
	c.mu.Lock()
	var open []*relayedConn
	for l := range c.conns {
		open = append(open, l)
	}
	c.mu.Unlock()
	for _, l := range open {
		l.inject(f)
	}
}

// currentFault returns the fault of the current fault period.
func (c *watchRig) currentFault() fault {
	for _, s := range c.faultPeriods {
		if at := time.Since(c.began); at >= s.from && at < s.to {
			return s.fault
		}
	}
	return healthy
}

func (c *watchRig) dial(ctx context.Context, to *faultnet.PipeListener) (net.Conn, error) {
	c.mu.Lock()
	own := fault("")
	if len(c.nextFaults) > 0 {
		own, c.nextFaults = c.nextFaults[0], c.nextFaults[1:]
	}
	c.dials = append(c.dials, time.Now())
	if c.restarted {
		to = c.pipes["e"]
	}
	looping := len(c.dials) > maxUnthrottledDials && time.Since(c.dials[len(c.dials)-maxUnthrottledDials]) < time.Second
	c.mu.Unlock()
	if looping { // a loop without a delay would stop the fake clock
		time.Sleep(time.Second)
	}
	f := own
	if f == "" {
		f = c.currentFault()
	}
	switch f {
	case refused:
		return nil, syscall.ECONNREFUSED
	case hangs:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	far, err := to.Dial(ctx, "")
	if err != nil {
		return nil, err
	}
	dialled, near := net.Pipe()
	l := &relayedConn{rig: c, near: near, far: far, ownFault: own}
	c.mu.Lock()
	c.conns[l] = true
	c.mu.Unlock()
	go l.relayCalls()
	go l.relayAnswers()
	return dialled, nil
}

// relayCalls relays calls to the stand-in, or injects a fault.
func (l *relayedConn) relayCalls() {
	b := make([]byte, 4096)
	for {
		n, err := l.near.Read(b)
		if err != nil {
			l.rig.mu.Lock()
			delete(l.rig.conns, l)
			l.rig.mu.Unlock()
			l.far.Close()
			l.near.Close()
			return
		}
		f := l.ownFault
		if f == "" {
			f = l.rig.currentFault()
		}
		if f != healthy {
			l.inject(f)
			continue
		}
		_, _ = l.far.Write(b[:n])
	}
}

// relayAnswers relays answers, until a fault was injected.
func (l *relayedConn) relayAnswers() {
	b := make([]byte, 64<<10)
	for {
		n, err := l.far.Read(b)
		if err != nil {
			return
		}
		if _, err := l.near.Write(b[:n]); err != nil {
			return
		}
	}
}

// inject injects a fault into the connection; only the first one takes effect.
func (l *relayedConn) inject(f fault) {
	l.once.Do(func() {
		l.far.Close() // nothing more comes from there
		switch f {
		case refused, resets:
			l.near.Close()
		case unavailable:
			go l.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno")
		case truncated:
			go func() { l.write(listHead + "100\r\n{\"index\":9,\"snapshot\":true,"); l.near.Close() }()
		case malformed:
			go l.write(listHead + "f\r\n{\"index\":\"gone\"\r\n0\r\n\r\n")
		case endless:
			go func() {
				for ok := l.write(listHead); ok; ok = l.write("1\r\n \r\n") {
					time.Sleep(300 * time.Millisecond)
				}
			}()
		}
	})
}

func (l *relayedConn) write(text string) bool {
	_, err := l.near.Write([]byte(text))
	return err == nil
}

// worst records the largest lateness and its circumstances.
type worst struct {
	late time.Duration
	when string
	runs int
}

func (w *worst) add(late time.Duration, when string, args ...any) {
	if w.runs++; w.runs == 1 || late > w.late {
		w.late, w.when = late, fmt.Sprintf(when, args...)
	}
}

func (w *worst) check(t *testing.T) {
	t.Logf("worst of %d: %v relative to the latest allowed moment, %s", w.runs, w.late, w.when)
	assert.LessOrEqual(t, w.late, time.Duration(0), "later than the grace period after a change counted as published: %s", w.when)
}
