package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"tinsail/internal/fleet/policy"
	"tinsail/internal/fleet/quota"
	"tinsail/internal/fleet/quota/wire"
)

// dispatcher is the part that each dispatcher runs: it limits which of its requests start and borrows units from its
// region's lender.
type dispatcher struct {
	q      *Quota
	conn   *lenderConn
	wakeup chan struct{} // the next timeout may be earlier than before
	stop   chan struct{}
	done   sync.WaitGroup

	mu              sync.Mutex
	limiter         *quota.Limiter
	holder          *quota.Holder
	lastID          uint64             // the newest id that was given to a request
	waiting         map[uint64]*waiter // by id; has those that wait for a unit
	used            map[string]int     // units in use by account, as last reported to the holder; without zeros
	refusedUnlogged int                // requests refused since refusalLoggedAt
	refusalLoggedAt time.Time          // when refusals were last logged
}

// waiter is a request that asked for a unit. ready is called at most once, and never after the request was released.
type waiter struct {
	ready   func(from time.Time, pause time.Duration, ok bool)
	settled atomic.Bool // ready was called, or must not be called any more
}

func newDispatcher(q *Quota, lenderAddress string) (*dispatcher, error) {
	h, err := quota.NewHolder(q.cfg.Leases, q.cfg.Name, q.cfg.Epoch, false)
	if err != nil {
		return nil, err
	}
	d := &dispatcher{q: q, wakeup: make(chan struct{}, 1), stop: make(chan struct{}), limiter: quota.NewLimiter(), holder: h,
		waiting: map[uint64]*waiter{}, used: map[string]int{}}
	d.conn = newLenderConn(q, q.cfg.Region, d, func() string { return lenderAddress })
	d.conn.start()
	d.done.Go(d.run)
	return d, nil
}

func (d *dispatcher) close() {
	d.conn.close()
	close(d.stop)
	d.done.Wait()
}

// run refuses waiting requests when they time out. Everything else is handled when it happens.
func (d *dispatcher) run() {
	for {
		d.mu.Lock()
		next := d.limiter.NextTimeout()
		d.mu.Unlock()
		var due <-chan time.Time
		var timer *time.Timer
		if next < quota.Never {
			timer = time.NewTimer(time.Until(d.q.toTime(next)))
			due = timer.C
		}
		select {
		case <-d.stop:
			return
		case <-due:
		case <-d.wakeup:
		}
		if timer != nil {
			timer.Stop()
		}
		d.mu.Lock()
		d.processAndUnlock()
	}
}

func (d *dispatcher) acquire(account string, urgent bool, until time.Time, ready func(time.Time, time.Duration, bool)) func() {
	w := &waiter{ready: ready}
	d.mu.Lock()
	d.lastID++
	id := d.lastID
	now := d.q.now()
	if d.limiter.Acquire(now, id, account, urgent, d.q.fromTime(until)) {
		w.settled.Store(true)
		d.mu.Unlock()
		ready(d.q.toTime(now), 0, true)
	} else {
		d.waiting[id] = w
		d.processAndUnlock()
		if !w.settled.Load() {
			d.q.Counters.Waited.Add(1)
			wake(d.wakeup)
		}
	}
	return func() {
		w.settled.Store(true)
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

// processAndUnlock starts and refuses waiting requests and reports the usage to the holder. The caller holds d.mu. It is
// released before the requests' callbacks run.
func (d *dispatcher) processAndUnlock() {
	now := d.q.now() // read before the lease is checked: units are held from this time
	started, expired := d.limiter.Admit(now, func(account string) int { return d.holder.Units(now, account) })
	var settled []*waiter
	for _, id := range append(started, expired...) {
		settled = append(settled, d.waiting[id])
		delete(d.waiting, id)
	}
	d.updateUsage()
	due := d.holder.NextRequestTime() <= now
	if n := len(expired); n > 0 {
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
	for i, w := range settled {
		switch {
		case w == nil || w.settled.Swap(true):
		case i < len(started):
			w.ready(d.q.toTime(now), 0, true)
		default:
			w.ready(time.Time{}, d.q.cfg.Leases.RenewInterval(), false)
		}
	}
}

// updateUsage reports changed usage and demand to the holder. The caller holds d.mu.
func (d *dispatcher) updateUsage() {
	d.limiter.TakeUsageChanges(func(account string, used, demand int) {
		if d.holder.SetUsage(account, used, demand); used > 0 {
			d.used[account] = used
		} else {
			delete(d.used, account)
		}
	})
}

// gauges returns the units that are held and in use, and the number of waiting requests.
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

// The methods of borrower follow.

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

// finalRequest returns all units if no request is in flight.
func (d *dispatcher) finalRequest() (quota.LeaseRequest, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.used) > 0 {
		return quota.LeaseRequest{}, false
	}
	d.holder.HandleReconnect() // a lease request in flight doesn't delay the final one
	d.holder.Close()
	return d.holder.NextRequest(d.q.now())
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
