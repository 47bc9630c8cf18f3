package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"tinsail/internal/fleet/policy"
	"tinsail/internal/fleet/quota"
	"tinsail/internal/fleet/quota/wire"
)

// dispatcher is a dispatcher's side: which of its reqs begin, and its link to its region's lender.
type dispatcher struct {
	q      *Quota
	conn   *lenderConn
	wakeup chan struct{} // something may be due earlier
	stop   chan struct{}
	done   sync.WaitGroup

	mu              sync.Mutex
	limiter         *quota.Limiter
	holder          *quota.Holder
	lastID          uint64             // ids to reqs
	waiting         map[uint64]*waiter // reqs that wait
	used            map[string]int     // as told to the holder last, where it is not 0
	refusedUnlogged int                // since the last line of the log
	refusalLoggedAt time.Time          // when that was
}

// waiter is what a req was promised: ready is called once, or never where it left first.
type waiter struct {
	ready   func(from time.Time, pause time.Duration, ok bool)
	settled atomic.Bool // ready was called, or never will be
}

func newDispatcher(q *Quota, to string) (*dispatcher, error) {
	h, err := quota.NewHolder(q.cfg.Leases, q.cfg.Name, q.cfg.Epoch, false)
	if err != nil {
		return nil, err
	}
	d := &dispatcher{q: q, wakeup: make(chan struct{}, 1), stop: make(chan struct{}), limiter: quota.NewLimiter(), holder: h,
		waiting: map[uint64]*waiter{}, used: map[string]int{}}
	d.conn = newLenderConn(q, q.cfg.Region, d, func() string { return to })
	d.conn.start()
	d.done.Go(d.run)
	return d, nil
}

func (d *dispatcher) close() {
	d.conn.close()
	close(d.stop)
	d.done.Wait()
}

// run refuses those whose time is over; all else is done when it happens.
func (d *dispatcher) run() {
	for {
		d.mu.Lock()
		next := d.limiter.NextTimeout()
		d.mu.Unlock()
		var due <-chan time.Time
		var over *time.Timer
		if next < quota.Never {
			over = time.NewTimer(time.Until(d.q.toTime(next)))
			due = over.C
		}
		select {
		case <-d.stop:
			return
		case <-due:
		case <-d.wakeup:
		}
		if over != nil {
			over.Stop()
		}
		d.mu.Lock()
		d.processAndUnlock()
	}
}

func (d *dispatcher) acquire(account string, urgent bool, until time.Time, ready func(time.Time, time.Duration, bool)) func() {
	r := &waiter{ready: ready}
	d.mu.Lock()
	d.lastID++
	id := d.lastID
	now := d.q.now()
	if d.limiter.Acquire(now, id, account, urgent, d.q.fromTime(until)) {
		r.settled.Store(true)
		d.mu.Unlock()
		ready(d.q.toTime(now), 0, true)
	} else {
		d.waiting[id] = r
		d.processAndUnlock()
		if !r.settled.Load() {
			d.q.Counters.Waited.Add(1)
			wake(d.wakeup)
		}
	}
	return func() {
		r.settled.Store(true)
		d.mu.Lock()
		delete(d.waiting, id)
		d.limiter.Release(id)
		d.processAndUnlock()
	}
}

func (d *dispatcher) applyPolicy(p policy.Policy) {
	accounts := make([]string, 0, len(p.Quotas)+1)
	for account := range p.Quotas {
		accounts = append(accounts, account)
	}
	if p.UrgentReserve > 0 {
		accounts = append(accounts, quota.ReserveAccount)
	}
	d.mu.Lock()
	d.limiter.SetQuotas(d.q.now(), accounts)
	d.processAndUnlock()
}

// processAndUnlock says who begins and who is out of time, and tells the holder what is needed. It gives d.mu back, and only then
// tells the reqs.
func (d *dispatcher) processAndUnlock() {
	now := d.q.now() // before the lease is looked at: room counts from here
	begin, refuse := d.limiter.Admit(now, func(account string) int { return d.holder.Units(now, account) })
	var said []*waiter
	for _, id := range append(begin, refuse...) {
		said = append(said, d.waiting[id])
		delete(d.waiting, id)
	}
	d.updateUsage()
	due := d.holder.NextRequestTime() <= now
	if n := len(refuse); n > 0 {
		d.q.Counters.Refused.Add(int64(n))
		if d.refusedUnlogged += n; time.Since(d.refusalLoggedAt) >= time.Second {
			d.q.cfg.Log.Info().Str("process", d.q.cfg.Name).Int("reqs", d.refusedUnlogged).Msg("quota: refused")
			d.refusedUnlogged, d.refusalLoggedAt = 0, time.Now()
		}
	}
	d.mu.Unlock()
	if due {
		d.conn.wake()
	}
	for i, r := range said {
		switch {
		case r == nil || r.settled.Swap(true):
		case i < len(begin):
			r.ready(d.q.toTime(now), 0, true)
		default:
			r.ready(time.Time{}, d.q.cfg.Leases.RenewInterval(), false)
		}
	}
}

// updateUsage tells the holder what is used and wanted. d.mu is held.
func (d *dispatcher) updateUsage() {
	d.limiter.TakeUsageChanges(func(account string, used, want int) {
		if d.holder.SetUsage(account, used, want); used > 0 {
			d.used[account] = used
		} else {
			delete(d.used, account)
		}
	})
}

// gauges are the units that are held and in use, and the reqs that wait.
func (d *dispatcher) gauges() (held, used, waiting int64) {
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

func (d *dispatcher) handleConnect() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.HandleReconnect()
}

func (d *dispatcher) nextRequest() (quota.LeaseRequest, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.NextRequest(d.q.now())
}

func (d *dispatcher) nextRequestTime() quota.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.NextRequestTime()
}

func (d *dispatcher) handleMessage(m wire.Message) {
	d.mu.Lock()
	if m.Response != nil {
		d.holder.HandleResponse(d.q.now(), m.Response.LeaseResponse)
	} else {
		d.holder.HandlePoll()
		d.q.Counters.PollsReceived.Add(1)
	}
	d.processAndUnlock()
}

// finalRequest gives all back, where nothing is in flight.
func (d *dispatcher) finalRequest() (quota.LeaseRequest, bool) {
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
