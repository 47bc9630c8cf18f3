package network

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/platform"
)

// Pace is how patient the watch of a list is. A call that may wait says so; one that has not been answered
// some time after that is held for silent, and another is made beside it: what a silent watch misses counts as told
// 6 s after it fell silent (2 s after its wait, if that is later), and the drain rule leaves 500 ms from there.
type Pace struct {
	Wait  time.Duration // for news; short, so that a director gone silent is noticed
	Slack time.Duration // longer for the answer, before the call is held for silent: calls queue there
	Grace time.Duration // longer than Wait before the call is given up
	Look  time.Duration // wait of the calls that are made beside a silent one; 0: Wait

	// A connection that is not up by then never comes up: the machine is cut off, and waiting
	// for it would use up the time in which we must have asked.
	Connect time.Duration
	Pause   time.Duration // most to stay away after failures in a row
}

// toldAnyhow is when a change counts as told at the latest, from when discovery had it and could be reached,
// whatever calls failed, were refused or were given up before.
const toldAnyhow = 6 * time.Second

// Asked is for one service that works through the calls of all dispatchers in turn. ask is the settings' time
// for asking; it may be long, and bounds nothing by itself.
//
// At the worst a call falls silent as a change is made, and is held for silent after Wait + Slack. The next one fails,
// in no more than Connect where no connection comes up, and a pause follows. What is left then of toldAnyhow has
// to be no less than nothing, as the call after the pause needs the grace of a drain for its answer:
//
//	Wait + Slack + Connect + Pause <= toldAnyhow
//
// Pause takes all that this leaves, and half of it by chance (see backoff): a fleet that finds discovery
// with too many callers spreads its calls over that. A call that breaks off only after Connect has
// been silent till then, and is taken for a silence of its own.
func Asked(ask time.Duration) Pace {
	p := Pace{Wait: 2500 * time.Millisecond, Slack: 1500 * time.Millisecond, Grace: 3500 * time.Millisecond, Connect: time.Second}
	p.Pause = min(max(ask/5, 100*time.Millisecond), toldAnyhow-p.Wait-p.Slack-p.Connect)
	return p
}

// Pushed is for an agent on this machine, which answers at once what it has been sent, and is silent in an outage.
// What it has counts as told at once, so that it is looked at several times a second until it speaks again.
func Pushed() Pace {
	return Pace{Wait: time.Second, Slack: 200 * time.Millisecond, Grace: 1500 * time.Millisecond,
		Look: 100 * time.Millisecond, Connect: 200 * time.Millisecond, Pause: 200 * time.Millisecond}
}

// leastGrace bounds Within: a shorter one would have an agent's outage call without end.
const leastGrace = 50 * time.Millisecond

// Within fits the pace of Pushed to the settings' grace, in which sends to a drained backend have to end. An agent that
// speaks again is asked a look and its slack later, or a connection and a pause: four fifths of the grace at most.
func (p Pace) Within(grace time.Duration) Pace {
	fifth := max(grace, leastGrace) / 5
	p.Look, p.Slack = min(p.Look, fifth), min(p.Slack, 2*fifth)
	p.Connect, p.Pause = min(p.Connect, 2*fifth), min(p.Pause, 2*fifth)
	return p
}

// Director watches the director's list. Each answer is followed at once by the next call,
// which keeps the watch one and the same.
type Director struct {
	Names   *platform.Names
	Count   *counters.Set
	Address string
	Pace    Pace
	Dial    Dial
	Stop    <-chan struct{} // ends the watch; may be nil
	Told    func(balance.ListKind, []core.Entry)
	Heard   func() // an answer was taken, after what it told; may be nil

	// Touched by the watching goroutine alone.
	index uint64
	whole bool    // the next call asks for the whole list
	out   []*call // calls under way, oldest first: one, or two where the first is held for silent
	begun int     // calls so far
	taken int     // number of the newest call whose answer was taken
	spare *line   // left open by the last answer
	ended chan *call

	on    atomic.Bool
	off   atomic.Bool // Off was called, and the watch never began
	mu    sync.Mutex
	place *place // where calls go now; nil until the first
}

// line is a connection to the director.
type line struct {
	conn net.Conn
	in   *platform.Replies
}

// call is one call to the director, carried by a goroutine of its own.
type call struct {
	number int
	target string
	whole  bool
	wait   time.Duration
	ctx    context.Context
	cancel context.CancelFunc

	// Set by its goroutine before it is told as ended.
	line   *line // open still, and may carry another; else nil
	list   platform.List
	ending core.Ending
}

// place is one address of the director for as long as it stands. Its context ends with it,
// and what is under way there: a call, the making of a connection, a pause after a failure.
type place struct {
	address string
	moved   bool // another address stood before it
	ctx     context.Context
	leave   context.CancelFunc
}

// Subscribe starts the watch. Once it runs, it goes on by itself through all failures.
func (d *Director) Subscribe() {
	if d.on.CompareAndSwap(false, true) {
		go d.watch()
	}
}

// Off has Subscribe do nothing: backends come from elsewhere.
func (d *Director) Off() {
	d.off.Store(true)
	d.on.Store(true)
}

// On asks after all, for the whole list first: what was known at the start may be long past. It does
// nothing where the watch runs, and must not be called before Start.
func (d *Director) On() {
	if d.off.CompareAndSwap(true, false) {
		d.whole = true
		d.on.Store(false)
		d.Subscribe()
	}
}

// Start tells which version is known.
func (d *Director) Start(index uint64) { d.index = index }

// Afresh has the first call ask for the whole list. It must be called before Subscribe.
func (d *Director) Afresh() {
	d.mu.Lock() // which the watch takes before it looks
	d.whole = true
	d.mu.Unlock()
}

// Redirect sends the watch to another address, from now on. What is under way at the old
// one is cut, and nothing that it still says is believed.
func (d *Director) Redirect(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address == d.Address {
		return
	}
	d.Address = address
	if d.place != nil {
		d.place.leave()
	}
	d.place = newPlace(address, true)
}

func newPlace(address string, moved bool) *place {
	p := &place{address: address, moved: moved}
	p.ctx, p.leave = context.WithCancel(context.Background())
	return p
}

// here is where the next call goes.
func (d *Director) here() *place {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.place == nil {
		d.place = newPlace(d.Address, false)
	}
	return d.place
}

func (d *Director) watch() {
	d.ended = make(chan *call)
	var last *place
	var due time.Time // of the next call: after a pause, or when the newest is held for silent
	for failed := 0; ; {
		at := d.here()
		if at != last && at.moved {
			// Versions count anew at each address: what is newer than one of the old address's
			// may miss changes at the new one. The whole list is asked for until it has come.
			d.forget(len(d.out))
			d.hangUp()
			d.whole, failed, due = true, 0, time.Time{}
		}
		last = at
		if len(d.out) == 0 && !due.After(time.Now()) {
			due = d.begin(at, d.wait(failed > 0))
		}
		timer := time.NewTimer(time.Until(due))
		select {
		case c := <-d.ended:
			switch i := slices.Index(d.out, c); {
			case at.ctx.Err() != nil: // moved meanwhile: an old list must not overwrite a newer one
				c.close()
			case i < 0: // given up meanwhile: it says nothing of how discovery is now
				c.close()
			case d.took(c, i):
				if failed = 0; len(d.out) == 0 {
					due = time.Time{}
				}
			case c.number == d.begun:
				due = time.Now().Add(d.backoff(failed))
				failed++
				d.broke()
			default: // one that was held for silent: what was made beside it, or is due, stands
				d.broke()
			}
		case <-timer.C:
			if len(d.out) == 0 {
				break
			}
			// Not given up at once: a director that is late, not silent, would have to begin anew with it.
			d.forget(len(d.out) - 1)
			d.Count.DirectorSilent.Add(1)
			due = d.begin(at, d.wait(true))
		case <-at.ctx.Done():
		case <-d.Stop:
			d.forget(len(d.out))
			d.hangUp()
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// broke tells the core that no call is left that may bring news.
func (d *Director) broke() {
	if len(d.out) == 0 {
		d.Told(balance.ListFailed, nil)
	}
}

// wait is for how long the next call may wait. One that may meet a director that says nothing yet is to look
// again soon, where the pace has it.
func (d *Director) wait(doubt bool) time.Duration {
	if doubt && d.Pace.Look > 0 {
		return d.Pace.Look
	}
	return d.Pace.Wait
}

// took takes the answer of the i-th call under way; false if there was none of use.
func (d *Director) took(c *call, i int) bool {
	d.out = slices.Delete(d.out, i, i+1)
	if c.ending == core.ListTold && c.whole && !c.list.Full { // changes say nothing without what they change
		c.ending = core.ListUnread
	}
	d.Count.Endings[c.ending].Add(1)
	if c.ending != core.ListTold {
		c.close()
		return false
	}
	d.forget(i) // what was asked earlier and has said nothing yet is silent
	d.hangUp()
	d.spare = c.line
	// The answer of an earlier call than the last one taken may be older than what is known.
	if c.number > d.taken || c.list.Index > d.index {
		d.take(c.list)
	}
	d.taken = max(d.taken, c.number)
	if d.Heard != nil {
		d.Heard()
	}
	// One that asks for the whole list asks for what has just come, and is no watch. One that asks for changes
	// where versions began anew may wait long for a version that is far off.
	if len(d.out) > 0 && d.out[0].whole != d.whole {
		d.forget(len(d.out))
	}
	return true
}

// forget gives the oldest calls up, as many as n.
func (d *Director) forget(n int) {
	for _, c := range d.out[:n] {
		c.cancel()
		d.Count.Endings[core.ListUnanswered].Add(1)
	}
	d.out = slices.Delete(d.out, 0, n)
}

// backoff is how long to stay away after some failures in a row: longer each time, so that
// dispatchers do not add to a jam, but within the time we may go without asking.
func (d *Director) backoff(failed int) time.Duration {
	most := min(100*time.Millisecond<<min(failed, 8), d.Pace.Pause)
	return most/2 + rand.N(most/2+1)
}

func (d *Director) take(list platform.List) {
	switch {
	case list.Full:
		d.index, d.whole = list.Index, false
		d.Told(balance.ListFull, list.Entries)
	case list.Index < d.index: // its versions began anew: changes would not apply
		d.whole = true
	default:
		d.index = list.Index
		if len(list.Entries) > 0 {
			d.Told(balance.ListDelta, list.Entries)
		}
	}
}

// hangUp closes the connection that the last answer left open.
func (d *Director) hangUp() {
	if d.spare != nil {
		d.spare.conn.Close()
		d.spare = nil
	}
}

// begin makes a call, on the connection that the last answer left open if there is one, and returns when it is
// held for silent.
func (d *Director) begin(at *place, wait time.Duration) time.Time {
	d.Count.DirectorCalls.Add(1)
	d.begun++
	c := &call{number: d.begun, target: string(platform.AppendWatch(nil, d.index, wait)), wait: wait, whole: d.whole, line: d.spare}
	if d.whole {
		c.target, c.wait = platform.ListTarget, 0
	}
	d.spare = nil
	c.ctx, c.cancel = context.WithCancel(at.ctx)
	d.out = append(d.out, c)
	go func() {
		c.list, c.ending = d.call(c, at.address)
		select {
		case d.ended <- c:
		case <-c.ctx.Done():
			c.close()
		}
	}()
	return time.Now().Add(c.wait + d.Pace.Slack)
}

// close ends the call and its connection.
func (c *call) close() {
	c.cancel()
	if c.line != nil {
		c.line.conn.Close()
	}
}

// call carries a call out. It runs in the call's goroutine.
func (d *Director) call(c *call, address string) (platform.List, core.Ending) {
	if c.line == nil {
		ctx, cancel := context.WithTimeout(c.ctx, d.Pace.Connect)
		dial := dialling{dial: d.Dial, address: address, each: d.Pace.Connect, count: d.Count}
		conn, _, err := dial.do(ctx)
		cancel()
		if err != nil {
			return platform.List{}, core.ListUnanswered
		}
		c.line = &line{conn, platform.NewReplies(true, platform.MaxList)}
	}
	conn := c.line.conn
	stop := context.AfterFunc(c.ctx, func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(c.wait + d.Pace.Grace))
	if _, err := conn.Write(platform.AppendGet(nil, c.target, address)); err != nil {
		stop()
		return platform.List{}, core.ListUnanswered
	}
	list, e := c.line.read(d.Names)
	stop()
	if e != core.ListTold || !c.line.in.Keep || c.line.in.Partial() { // what nobody asked for must not pass for the next answer
		conn.Close()
		c.line = nil
	}
	return list, e
}

// read takes the answer of the call that was written to the line.
func (l *line) read(names *platform.Names) (list platform.List, e core.Ending) {
	e = core.ListUnread
	var closed error
	for {
		part, body, err := l.in.Next()
		switch {
		case err != nil:
			return list, core.ListUnread
		case part == platform.Line && l.in.Status == 200:
			if list, err = names.ReadList(body); err == nil {
				e = core.ListTold
			}
		case part == platform.End:
			if l.in.Status != 200 {
				return list, core.ListRefused
			}
			return list, e
		case part == platform.More:
			if closed != nil {
				return list, core.ListUnanswered
			}
			n, err := l.conn.Read(l.in.Space())
			l.in.Filled(n)
			if err != nil && !(errors.Is(err, io.EOF) && l.in.Closed()) {
				closed = err
			}
		}
	}
}
