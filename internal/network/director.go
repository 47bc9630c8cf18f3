package network

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/platform"
)

// Times of a call to the director.
const (
	watchWait = 4 * time.Second         // for news; short, so that a director gone silent is noticed
	callGrace = 3500 * time.Millisecond // longer for the answer: calls queue there

	// A connection that is not up by then never comes up: the machine is cut off, and waiting
	// for it would use up the time in which we must have asked.
	connectWait = time.Second
)

// Director watches the director's list. Each answer is followed at once by the next call,
// which keeps the watch one and the same.
type Director struct {
	Names   *platform.Names
	Count   *counters.Set
	Address string
	Ask     time.Duration // we are counted as told if we have not asked for this long
	Dial    Dial
	Stop    <-chan struct{} // ends the watch; may be nil
	Told    func(balance.ListKind, []core.Entry)

	// Touched by the watching goroutine alone.
	index uint64
	whole bool // the next call asks for the whole list
	conn  net.Conn
	in    *platform.Replies

	on    atomic.Bool
	off   atomic.Bool // Off was called, and the watch never began
	mu    sync.Mutex
	place *place // where calls go now; nil until the first
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
func (d *Director) Afresh() { d.whole = true }

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
	var last *place
	for failed := 0; ; {
		at := d.here()
		if at != last && at.moved {
			// Versions count anew at each address: what is newer than one of the old address's
			// may miss changes at the new one. The whole list is asked for until it has come.
			d.close()
			d.whole, failed = true, 0
		}
		last = at
		list, e := d.call(at)
		if e == core.ListTold && d.whole && !list.Full { // changes say nothing without what they change
			e = core.ListUnread
		}
		d.Count.Endings[e].Add(1)
		if at.ctx.Err() != nil { // moved meanwhile: an old list must not overwrite a newer one
			continue
		}
		if e == core.ListTold {
			failed = 0
			d.take(list)
			continue
		}
		d.close()
		d.Told(balance.ListFailed, nil)
		select {
		case <-time.After(d.backoff(failed)):
		case <-at.ctx.Done():
		case <-d.Stop:
			return
		}
		failed++
	}
}

// backoff is how long to stay away after some failures in a row: longer each time, so that
// dispatchers do not add to a jam, but within the time we may go without asking.
func (d *Director) backoff(failed int) time.Duration {
	most := min(100*time.Millisecond<<min(failed, 8), d.Ask/5)
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

func (d *Director) close() {
	if d.conn != nil {
		d.conn.Close()
		d.conn = nil
	}
}

// call makes one call, on the connection that the last one left open if there is one.
func (d *Director) call(at *place) (platform.List, core.Ending) {
	d.Count.DirectorCalls.Add(1)
	if d.conn == nil {
		ctx, cancel := context.WithTimeout(at.ctx, connectWait)
		conn, err := d.Dial(ctx, at.address)
		cancel()
		if err != nil {
			return platform.List{}, core.ListUnanswered
		}
		d.conn, d.in = conn, platform.NewReplies(true, platform.MaxList)
	}
	conn := d.conn
	defer context.AfterFunc(at.ctx, func() { conn.Close() })()
	target, wait := string(platform.AppendWatch(nil, d.index, watchWait)), watchWait
	if d.whole {
		target, wait = platform.ListTarget, 0
	}
	d.conn.SetDeadline(time.Now().Add(wait + callGrace))
	if _, err := d.conn.Write(platform.AppendGet(nil, target, at.address)); err != nil {
		return platform.List{}, core.ListUnanswered
	}
	return d.answer()
}

func (d *Director) answer() (list platform.List, e core.Ending) {
	e = core.ListUnread
	var closed error
	for {
		part, body, err := d.in.Next()
		switch {
		case err != nil:
			return list, core.ListUnread
		case part == platform.Line && d.in.Status == 200:
			if list, err = d.Names.ReadList(body); err == nil {
				e = core.ListTold
			}
		case part == platform.End:
			if d.in.Status != 200 {
				return list, core.ListRefused
			}
			if !d.in.Keep {
				d.close()
			}
			return list, e
		case part == platform.More:
			if closed != nil {
				return list, core.ListUnanswered
			}
			n, err := d.conn.Read(d.in.Space())
			d.in.Filled(n)
			if err != nil && !(errors.Is(err, io.EOF) && d.in.Closed()) {
				closed = err
			}
		}
	}
}
