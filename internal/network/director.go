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

// WatchTimings are the times of the watch of a list of backends. The watch is a sequence of long polls. A call that has
// no answer some time after its long poll ended counts as silent, and a backup call is made beside it: a change that a
// silent watch misses counts as published 6 s after the watch fell silent (2 s after the long poll's end, if that is
// later), and the drain rule allows 500 ms from then on.
type WatchTimings struct {
	PollWait     time.Duration // of a long poll; short, so that a director that falls silent is noticed
	SilenceSlack time.Duration // beyond PollWait until the call counts as silent: calls queue at the director
	GiveUpSlack  time.Duration // beyond PollWait until the call itself times out
	BackupWait   time.Duration // long poll of a backup call; 0 stands for PollWait

	// A connection that is not established by then counts as failed: the director's machine is cut off, and waiting
	// longer would use up the time within which the next call is due.
	ConnectTimeout time.Duration
	MaxBackoff     time.Duration // limit of the delay after consecutive failures
}

// publishedWithin is when a change counts as published at the latest, counted from when discovery had it and could be
// reached, whatever calls failed, were refused or were given up before.
const publishedWithin = 6 * time.Second

// PollTimings are for a discovery service that handles the calls of all dispatchers in turn. askEvery is the settings'
// interval of asking; it may be long, and is no bound by itself.
//
// In the worst case a call falls silent as a change is made, and counts as silent after PollWait + SilenceSlack. The
// backup call fails, within ConnectTimeout if no connection is established, and a delay follows. All of this has to fit
// into publishedWithin, as the call after the delay needs the grace period of a drain for its answer:
//
//	PollWait + SilenceSlack + ConnectTimeout + MaxBackoff <= publishedWithin
//
// MaxBackoff is at most all the time that this leaves. Half of each delay is random (see backoff), so that a fleet whose
// calls overload discovery spreads them. A call whose connection fails only after ConnectTimeout was silent until then,
// and counts as a silence of its own.
func PollTimings(askEvery time.Duration) WatchTimings {
	p := WatchTimings{PollWait: 2500 * time.Millisecond, SilenceSlack: 1500 * time.Millisecond, GiveUpSlack: 3500 * time.Millisecond, ConnectTimeout: time.Second}
	p.MaxBackoff = min(max(askEvery/5, 100*time.Millisecond), publishedWithin-p.PollWait-p.SilenceSlack-p.ConnectTimeout)
	return p
}

// AgentTimings are for an agent on this machine, which is sent lists, answers at once from what it has, and is silent in
// an outage. A list counts as published as soon as the agent has it, so a silent agent is called several times a second
// until it answers again.
func AgentTimings() WatchTimings {
	return WatchTimings{PollWait: time.Second, SilenceSlack: 200 * time.Millisecond, GiveUpSlack: 1500 * time.Millisecond,
		BackupWait: 100 * time.Millisecond, ConnectTimeout: 200 * time.Millisecond, MaxBackoff: 200 * time.Millisecond}
}

// minGrace is the shortest grace period that WithinGrace uses: with a shorter one, calls during an agent's outage would follow each
// other without a delay.
const minGrace = 50 * time.Millisecond

// WithinGrace fits AgentTimings to the settings' grace period, within which sends to a drained backend have to end. An agent
// that answers again is called after BackupWait and SilenceSlack, or after ConnectTimeout and MaxBackoff: within four
// fifths of the grace period in either case.
func (p WatchTimings) WithinGrace(grace time.Duration) WatchTimings {
	fifth := max(grace, minGrace) / 5
	p.BackupWait, p.SilenceSlack = min(p.BackupWait, fifth), min(p.SilenceSlack, 2*fifth)
	p.ConnectTimeout, p.MaxBackoff = min(p.ConnectTimeout, 2*fifth), min(p.MaxBackoff, 2*fifth)
	return p
}

// Director watches the director's list of backends by long polls. Each answer is followed at once by the next call,
// so that the watch has no gap.
type Director struct {
	Names    *platform.Names
	Count    *counters.Set
	Address  string
	Timings  WatchTimings
	Dial     Dial
	Stop     <-chan struct{} // ends the watch; may be nil
	OnList   func(balance.ListKind, []core.Entry)
	OnAnswer func() // called after each good answer, once its list was passed on; may be nil

	// Used by the watching goroutine alone.
	index      uint64
	wantFull   bool          // the next call asks for the full list
	calls      []*call       // calls under way, oldest first: one, or two if the first counts as silent
	callCount  int           // number of calls so far
	newestUsed int           // number of the newest call whose answer was used
	idleConn   *directorConn // connection left open by the last answer
	ended      chan *call

	watching atomic.Bool
	disabled atomic.Bool // Disable was called, and the watch has not been started since
	mu       sync.Mutex
	dest     *destination // where calls go now; nil until the first one
}

// directorConn is a connection to the director.
type directorConn struct {
	netConn net.Conn
	replies *platform.ReplyParser
}

// call is one call to the director, made by a goroutine of its own.
type call struct {
	number int
	target string
	full   bool
	wait   time.Duration
	ctx    context.Context
	cancel context.CancelFunc

	// Set by the call's goroutine before it reports the end of the call.
	conn   *directorConn // still open, and may carry another call; else nil
	list   platform.List
	ending core.Ending
}

// destination is one address of the director for as long as it is the current one. Its context ends then, and with it
// what is under way there: a call, a connection attempt, a delay after a failure.
type destination struct {
	address  string
	replaced bool // it replaced another address
	ctx      context.Context
	cancel   context.CancelFunc
}

// Subscribe starts the watch unless it runs already. It goes on by itself through all failures.
func (d *Director) Subscribe() {
	if d.watching.CompareAndSwap(false, true) {
		go d.watch()
	}
}

// Disable makes Subscribe do nothing: backends come from another source.
func (d *Director) Disable() {
	d.disabled.Store(true)
	d.watching.Store(true)
}

// Enable undoes Disable and starts the watch. The first call asks for the full list, as what was known at the start may
// be out of date. Enable does nothing while the watch runs, and must not be called before SetIndex.
func (d *Director) Enable() {
	if d.disabled.CompareAndSwap(true, false) {
		d.wantFull = true
		d.watching.Store(false)
		d.Subscribe()
	}
}

// SetIndex sets the version of the list that is known already. It must be called before Subscribe.
func (d *Director) SetIndex(index uint64) { d.index = index }

// RequestFullList makes the first call ask for the full list. It must be called before Subscribe.
func (d *Director) RequestFullList() {
	d.mu.Lock() // the watch takes it before it reads the field
	d.wantFull = true
	d.mu.Unlock()
}

// Redirect moves the watch to another address. Calls under way at the old one are cancelled, and answers that still come
// from it are ignored.
func (d *Director) Redirect(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address == d.Address {
		return
	}
	d.Address = address
	if d.dest != nil {
		d.dest.cancel()
	}
	d.dest = newDestination(address, true)
}

func newDestination(address string, replaced bool) *destination {
	dest := &destination{address: address, replaced: replaced}
	dest.ctx, dest.cancel = context.WithCancel(context.Background())
	return dest
}

// currentDestination returns where the next call goes.
func (d *Director) currentDestination() *destination {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dest == nil {
		d.dest = newDestination(d.Address, false)
	}
	return d.dest
}

func (d *Director) watch() {
	d.ended = make(chan *call)
	var last *destination
	var due time.Time // when the next call is due: after a delay, or when the newest call counts as silent
	for failed := 0; ; {
		dest := d.currentDestination()
		if dest != last && dest.replaced {
			// Versions are counted per address: changes since a version of the old address may leave out
			// changes at the new one. The full list is asked for until it has come.
			d.giveUp(len(d.calls))
			d.closeIdle()
			d.wantFull, failed, due = true, 0, time.Time{}
		}
		last = dest
		if len(d.calls) == 0 && !due.After(time.Now()) {
			due = d.startCall(dest, d.pollWait(failed > 0))
		}
		timer := time.NewTimer(time.Until(due))
		select {
		case c := <-d.ended:
			switch i := slices.Index(d.calls, c); {
			case dest.ctx.Err() != nil: // redirected meanwhile: an old list must not overwrite a newer one
				c.close()
			case i < 0: // given up meanwhile: it says nothing about the present state of discovery
				c.close()
			case d.handleEnded(c, i):
				if failed = 0; len(d.calls) == 0 {
					due = time.Time{}
				}
			case c.number == d.callCount:
				due = time.Now().Add(d.backoff(failed))
				failed++
				d.reportFailure()
			default: // a call that counted as silent: its backup call, or the time when that is due, stands
				d.reportFailure()
			}
		case <-timer.C:
			if len(d.calls) == 0 {
				break
			}
			// The newest call is kept: if the director is merely late, giving the call up would cost the time that it waited.
			d.giveUp(len(d.calls) - 1)
			d.Count.DirectorSilent.Add(1)
			due = d.startCall(dest, d.pollWait(true))
		case <-dest.ctx.Done():
		case <-d.Stop:
			d.giveUp(len(d.calls))
			d.closeIdle()
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// reportFailure tells the core if no call is left that may bring a list.
func (d *Director) reportFailure() {
	if len(d.calls) == 0 {
		d.OnList(balance.ListFailed, nil)
	}
}

// pollWait returns how long the next call may wait at the director. doubt says that the director may still be silent:
// then the call is to end soon, if the timings say so.
func (d *Director) pollWait(doubt bool) time.Duration {
	if doubt && d.Timings.BackupWait > 0 {
		return d.Timings.BackupWait
	}
	return d.Timings.PollWait
}

// handleEnded handles the end of the i-th call under way. It returns false if the call brought no usable answer.
func (d *Director) handleEnded(c *call, i int) bool {
	d.calls = slices.Delete(d.calls, i, i+1)
	if c.ending == core.ListReceived && c.full && !c.list.Full { // changes are of no use without the list that they change
		c.ending = core.ListInvalid
	}
	d.Count.Endings[c.ending].Add(1)
	if c.ending != core.ListReceived {
		c.close()
		return false
	}
	d.giveUp(i) // calls that were made earlier and have no answer yet are silent
	d.closeIdle()
	d.idleConn = c.conn
	// The answer of a call that was made before the last one used may be older than what is known.
	if c.number > d.newestUsed || c.list.Index > d.index {
		d.apply(c.list)
	}
	d.newestUsed = max(d.newestUsed, c.number)
	if d.OnAnswer != nil {
		d.OnAnswer()
	}
	// Other calls are given up if they no longer fit. One that asks for the full list asks for what has just come, and
	// waits for no change. One that asks for changes after versions restarted may wait long for a version far ahead.
	if len(d.calls) > 0 && d.calls[0].full != d.wantFull {
		d.giveUp(len(d.calls))
	}
	return true
}

// giveUp cancels the n oldest calls.
func (d *Director) giveUp(n int) {
	for _, c := range d.calls[:n] {
		c.cancel()
		d.Count.Endings[core.ListUnanswered].Add(1)
	}
	d.calls = slices.Delete(d.calls, 0, n)
}

// backoff returns the delay after a number of consecutive failures: longer each time, so that
// dispatchers do not add to an overload, but within the time that may pass without a call.
func (d *Director) backoff(failed int) time.Duration {
	limit := min(100*time.Millisecond<<min(failed, 8), d.Timings.MaxBackoff)
	return limit/2 + rand.N(limit/2+1)
}

// apply passes a list on, unless it shows that the versions have restarted.
func (d *Director) apply(list platform.List) {
	switch {
	case list.Full:
		d.index, d.wantFull = list.Index, false
		d.OnList(balance.ListFull, list.Entries)
	case list.Index < d.index: // versions have restarted: changes would not apply
		d.wantFull = true
	default:
		d.index = list.Index
		if len(list.Entries) > 0 {
			d.OnList(balance.ListDelta, list.Entries)
		}
	}
}

// closeIdle closes the connection that the last answer left open.
func (d *Director) closeIdle() {
	if d.idleConn != nil {
		d.idleConn.netConn.Close()
		d.idleConn = nil
	}
}

// startCall makes a call, on the connection that the last answer left open if there is one, and returns when the call
// will count as silent.
func (d *Director) startCall(dest *destination, wait time.Duration) time.Time {
	d.Count.DirectorCalls.Add(1)
	d.callCount++
	c := &call{number: d.callCount, target: string(platform.AppendWatchTarget(nil, d.index, wait)), wait: wait, full: d.wantFull, conn: d.idleConn}
	if d.wantFull {
		c.target, c.wait = platform.ListTarget, 0
	}
	d.idleConn = nil
	c.ctx, c.cancel = context.WithCancel(dest.ctx)
	d.calls = append(d.calls, c)
	go func() {
		c.list, c.ending = d.perform(c, dest.address)
		select {
		case d.ended <- c:
		case <-c.ctx.Done():
			c.close()
		}
	}()
	return time.Now().Add(c.wait + d.Timings.SilenceSlack)
}

// close cancels the call and closes its connection.
func (c *call) close() {
	c.cancel()
	if c.conn != nil {
		c.conn.netConn.Close()
	}
}

// perform makes a call. It runs in the call's goroutine.
func (d *Director) perform(c *call, address string) (platform.List, core.Ending) {
	if c.conn == nil {
		ctx, cancel := context.WithTimeout(c.ctx, d.Timings.ConnectTimeout)
		dial := retryDialer{dial: d.Dial, address: address, timeout: d.Timings.ConnectTimeout, count: d.Count}
		conn, _, err := dial.connect(ctx)
		cancel()
		if err != nil {
			return platform.List{}, core.ListUnanswered
		}
		c.conn = &directorConn{conn, platform.NewReplyParser(true, platform.MaxList)}
	}
	conn := c.conn.netConn
	stop := context.AfterFunc(c.ctx, func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(c.wait + d.Timings.GiveUpSlack))
	if _, err := conn.Write(platform.AppendGet(nil, c.target, address)); err != nil {
		stop()
		return platform.List{}, core.ListUnanswered
	}
	list, e := c.conn.read(d.Names)
	stop()
	if e != core.ListReceived || !c.conn.replies.KeepAlive || c.conn.replies.HasExtraBytes() { // unsolicited bytes must not pass for the next answer
		conn.Close()
		c.conn = nil
	}
	return list, e
}

// read reads the answer of the call that was written to the connection.
func (c *directorConn) read(names *platform.Names) (list platform.List, e core.Ending) {
	e = core.ListInvalid
	var closed error
	for {
		part, body, err := c.replies.Next()
		switch {
		case err != nil:
			return list, core.ListInvalid
		case part == platform.Line && c.replies.Status == 200:
			if list, err = names.ReadList(body); err == nil {
				e = core.ListReceived
			}
		case part == platform.End:
			if c.replies.Status != 200 {
				return list, core.ListRefused
			}
			return list, e
		case part == platform.NeedMore:
			if closed != nil {
				return list, core.ListUnanswered
			}
			n, err := c.netConn.Read(c.replies.Space())
			c.replies.Filled(n)
			if err != nil && !(errors.Is(err, io.EOF) && c.replies.ConnectionClosed()) {
				closed = err
			}
		}
	}
}
