package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"tinsail/internal/fleet/policy"
	"tinsail/internal/fleet/quota"
	"tinsail/internal/fleet/quota/wire"
)

// desk is a dispatcher's side: which of its reqs begin, and its link to its region's lender.
type desk struct {
	q     *Quota
	link  *asker
	woken chan struct{} // something may be due earlier
	stop  chan struct{}
	done  sync.WaitGroup

	mu      sync.Mutex
	desk    *quota.Limiter
	holder  *quota.Holder
	given   uint64           // ids to reqs
	waiting map[uint64]*room // reqs that wait
	used    map[string]int   // as told to the holder last, where it is not 0
	refused int              // since the last line of the log
	told    time.Time        // when that was
}

// room is what a req was promised: ready is called once, or never where it left first.
type room struct {
	ready func(from time.Time, pause time.Duration, ok bool)
	said  atomic.Bool // ready was called, or never will be
}

func newDesk(q *Quota, to string) (*desk, error) {
	h, err := quota.NewHolder(q.cfg.Leases, q.cfg.Name, q.cfg.Epoch, false)
	if err != nil {
		return nil, err
	}
	d := &desk{q: q, woken: make(chan struct{}, 1), stop: make(chan struct{}), desk: quota.NewLimiter(), holder: h,
		waiting: map[uint64]*room{}, used: map[string]int{}}
	d.link = newAsker(q, q.cfg.Region, d, func() string { return to })
	d.link.start()
	d.done.Go(d.run)
	return d, nil
}

func (d *desk) close() {
	d.link.close()
	close(d.stop)
	d.done.Wait()
}

// run refuses those whose time is over; all else is done when it happens.
func (d *desk) run() {
	for {
		d.mu.Lock()
		next := d.desk.NextTimeout()
		d.mu.Unlock()
		var due <-chan time.Time
		var over *time.Timer
		if next < quota.Never {
			over = time.NewTimer(time.Until(d.q.at(next)))
			due = over.C
		}
		select {
		case <-d.stop:
			return
		case <-due:
		case <-d.woken:
		}
		if over != nil {
			over.Stop()
		}
		d.mu.Lock()
		d.turn()
	}
}

func (d *desk) take(account string, urgent bool, until time.Time, ready func(time.Time, time.Duration, bool)) func() {
	r := &room{ready: ready}
	d.mu.Lock()
	d.given++
	id := d.given
	now := d.q.now()
	if d.desk.Acquire(now, id, account, urgent, d.q.of(until)) {
		r.said.Store(true)
		d.mu.Unlock()
		ready(d.q.at(now), 0, true)
	} else {
		d.waiting[id] = r
		d.turn()
		if !r.said.Load() {
			d.q.Counters.Waited.Add(1)
			wake(d.woken)
		}
	}
	return func() {
		r.said.Store(true)
		d.mu.Lock()
		delete(d.waiting, id)
		d.desk.Release(id)
		d.turn()
	}
}

func (d *desk) enter(p policy.Policy) {
	accounts := make([]string, 0, len(p.Quotas)+1)
	for account := range p.Quotas {
		accounts = append(accounts, account)
	}
	if p.UrgentReserve > 0 {
		accounts = append(accounts, quota.ReserveAccount)
	}
	d.mu.Lock()
	d.desk.SetQuotas(d.q.now(), accounts)
	d.turn()
}

// turn says who begins and who is out of time, and tells the holder what is needed. It gives d.mu back, and only then
// tells the reqs.
func (d *desk) turn() {
	now := d.q.now() // before the lease is looked at: room counts from here
	begin, refuse := d.desk.Admit(now, func(account string) int { return d.holder.Units(now, account) })
	var said []*room
	for _, id := range append(begin, refuse...) {
		said = append(said, d.waiting[id])
		delete(d.waiting, id)
	}
	d.needs()
	due := d.holder.NextRequestTime() <= now
	if n := len(refuse); n > 0 {
		d.q.Counters.Refused.Add(int64(n))
		if d.refused += n; time.Since(d.told) >= time.Second {
			d.q.cfg.Log.Info().Str("process", d.q.cfg.Name).Int("reqs", d.refused).Msg("quota: refused")
			d.refused, d.told = 0, time.Now()
		}
	}
	d.mu.Unlock()
	if due {
		d.link.wake()
	}
	for i, r := range said {
		switch {
		case r == nil || r.said.Swap(true):
		case i < len(begin):
			r.ready(d.q.at(now), 0, true)
		default:
			r.ready(time.Time{}, d.q.cfg.Leases.RenewInterval(), false)
		}
	}
}

// needs tells the holder what is used and wanted. d.mu is held.
func (d *desk) needs() {
	d.desk.TakeUsageChanges(func(account string, used, want int) {
		if d.holder.SetUsage(account, used, want); used > 0 {
			d.used[account] = used
		} else {
			delete(d.used, account)
		}
	})
}

// levels are the units that are held and in use, and the reqs that wait.
func (d *desk) levels() (held, used, waiting int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.q.now()
	d.holder.Each(func(account string, _ int) { held += int64(d.holder.Units(now, account)) })
	for _, n := range d.used {
		used += int64(n)
	}
	return held, used, int64(len(d.waiting))
}

// The side of the link.

func (d *desk) linked() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.HandleReconnect()
}

func (d *desk) due() (quota.LeaseRequest, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.NextRequest(d.q.now())
}

func (d *desk) next() quota.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.NextRequestTime()
}

func (d *desk) heard(m wire.Message) {
	d.mu.Lock()
	if m.Response != nil {
		d.holder.HandleResponse(d.q.now(), m.Response.LeaseResponse)
	} else {
		d.holder.HandlePoll()
		d.q.Counters.PollsReceived.Add(1)
	}
	d.turn()
}

// last gives all back, where nothing is in flight.
func (d *desk) last() (quota.LeaseRequest, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.used) > 0 {
		return quota.LeaseRequest{}, false
	}
	d.holder.HandleReconnect() // whatever is on its way
	d.holder.Close()
	return d.holder.NextRequest(d.q.now())
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
