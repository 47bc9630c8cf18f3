package quota

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tinsail/internal/fleet/frames"
	"tinsail/internal/fleet/quota"
	"tinsail/internal/fleet/quota/wire"
	"tinsail/internal/network/fleet/accord"
)

// borrower is a holder as its link sees it. Its methods are called from the link's goroutines.
type borrower interface {
	handleConnect()                           // a link was made: what was asked on the one before is lost
	nextRequest() (quota.LeaseRequest, bool)  // the ask to be sent now
	nextRequestTime() quota.Time              // when one may be due, if nothing happens before
	handleMessage(wire.Message)               // an answer or a nudge
	finalRequest() (quota.LeaseRequest, bool) // the ask to end with, if the holder's life ends in order
}

// lenderConn keeps a holder's link to its lender.
type lenderConn struct {
	q          *Quota
	lenderName string // the lender's
	borrower   borrower
	address    func() string // where to ask now; empty: nowhere
	wakeup     chan struct{}
	ctx        context.Context // ends with the holder's life
	cancel     context.CancelFunc
	done       sync.WaitGroup

	misconfigurationLogged sync.Once
}

func newLenderConn(q *Quota, level string, s borrower, target func() string) *lenderConn {
	k := &lenderConn{q: q, lenderName: level, borrower: s, address: target, wakeup: make(chan struct{}, 1)}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	return k
}

// start begins to ask, once its side knows the asker.
func (k *lenderConn) start() { k.done.Go(k.run) }

func (k *lenderConn) close() {
	k.cancel()
	k.done.Wait()
}

func (k *lenderConn) wake() { wake(k.wakeup) }

// run makes a link wherever there is a lender, and another when it breaks: after a time, not alike at all, so that a
// lender that comes back is not met by all at once.
func (k *lenderConn) run() {
	for k.ctx.Err() == nil {
		if to := k.address(); to != "" {
			k.exchange(to)
		}
		k.sleep(k.q.cfg.Leases.Lease/20 + rand.N(k.q.cfg.Leases.Lease/20))
	}
}

func (k *lenderConn) sleep(d time.Duration) {
	over := time.NewTimer(d)
	defer over.Stop()
	select {
	case <-k.ctx.Done():
	case <-over.C:
	}
}

// exchange asks at one address until the link breaks, the lender is elsewhere, or it is silent.
func (k *lenderConn) exchange(to string) {
	plan := k.q.cfg.Leases
	conn, err := (&net.Dialer{Timeout: plan.Lease / 3}).DialContext(k.ctx, "tcp", to)
	if err != nil {
		return
	}
	defer conn.Close()
	send := func(p []byte) error {
		conn.SetWriteDeadline(time.Now().Add(plan.Lease / 3))
		_, err := conn.Write(p)
		return err
	}
	if send([]byte{accord.QuotaConn}) != nil {
		return
	}
	k.borrower.handleConnect()
	var answered atomic.Bool // since the last ask
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		k.readMessages(conn, &answered)
	}()
	defer func() {
		conn.Close()
		<-gone
	}()
	asked, sent := time.Time{}, time.Time{} // the first ask that has no answer; the last ask
	for {
		if answered.Load() {
			asked = time.Time{}
		}
		now := time.Now()
		if !asked.IsZero() && now.Sub(asked) > plan.Lease/2 || k.address() != to {
			return // a lender that is stopped, a link that swallows, or another that leads
		}
		wait := k.q.cfg.tickInterval()
		if left := minRequestInterval - now.Sub(sent); left > 0 {
			wait = left
		} else if a, ok := k.borrower.nextRequest(); ok {
			if asked.IsZero() {
				asked = now
			}
			sent = now
			answered.Store(false)
			if send(frames.Frame(wire.EncodeLeaseRequest(wire.LeaseRequest{To: k.lenderName, LeaseRequest: a}))) != nil {
				return
			}
			k.q.Counters.RequestsSent.Add(1)
			continue
		} else if asked.IsZero() { // nothing to look for but the next ask, and who leads
			wait = min(max(k.q.toTime(k.borrower.nextRequestTime()).Sub(now), minRequestInterval), maxTickInterval)
		}
		over := time.NewTimer(wait)
		select {
		case <-k.ctx.Done():
		case <-gone:
		case <-over.C:
		case <-k.wakeup:
		}
		over.Stop()
		select {
		case <-gone:
			return
		case <-k.ctx.Done():
			if a, ok := k.borrower.finalRequest(); ok {
				_ = send(frames.Frame(wire.EncodeLeaseRequest(wire.LeaseRequest{To: k.lenderName, LeaseRequest: a}))) // else its lease ends by itself
			}
			return
		default:
		}
	}
}

// readMessages reads what a lender says until the link ends, which it closes.
func (k *lenderConn) readMessages(conn net.Conn, answered *atomic.Bool) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		m, err := wire.ReadMessage(r)
		switch {
		case err != nil:
			if errors.Is(err, wire.ErrMessage) {
				k.q.Counters.BadMessages.Add(1)
			}
			return
		case m.Response != nil && m.Response.From == k.lenderName:
			answered.Store(true)
		case m.Poll != nil && *m.Poll == k.lenderName:
		case m.Redirect != nil && m.Redirect.From == k.lenderName: // the root is elsewhere; a region's lender only by a fault of the settings
			if k.lenderName != "" {
				k.misconfigurationLogged.Do(func() {
					k.q.cfg.Log.Error().Str("process", k.q.cfg.Name).Str("lender", k.lenderName).Msg("quota: no such lender where the settings name it")
				})
			}
			return
		default:
			k.q.Counters.BadMessages.Add(1)
			return
		}
		k.borrower.handleMessage(m)
		k.wake()
	}
}
