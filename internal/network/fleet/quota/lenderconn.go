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

// side is a holder as its link sees it. Its methods are called from the link's goroutines.
type side interface {
	linked()                          // a link was made: what was asked on the one before is lost
	due() (quota.LeaseRequest, bool)  // the ask to be sent now
	next() quota.Time                 // when one may be due, if nothing happens before
	heard(wire.Message)               // an answer or a nudge
	last() (quota.LeaseRequest, bool) // the ask to end with, if the holder's life ends in order
}

// asker keeps a holder's link to its lender.
type asker struct {
	q      *Quota
	level  string // the lender's
	side   side
	target func() string // where to ask now; empty: nowhere
	woken  chan struct{}
	ctx    context.Context // ends with the holder's life
	end    context.CancelFunc
	done   sync.WaitGroup

	strayed sync.Once
}

func newAsker(q *Quota, level string, s side, target func() string) *asker {
	k := &asker{q: q, level: level, side: s, target: target, woken: make(chan struct{}, 1)}
	k.ctx, k.end = context.WithCancel(context.Background())
	return k
}

// start begins to ask, once its side knows the asker.
func (k *asker) start() { k.done.Go(k.run) }

func (k *asker) close() {
	k.end()
	k.done.Wait()
}

func (k *asker) wake() { wake(k.woken) }

// run makes a link wherever there is a lender, and another when it breaks: after a time, not alike at all, so that a
// lender that comes back is not met by all at once.
func (k *asker) run() {
	for k.ctx.Err() == nil {
		if to := k.target(); to != "" {
			k.follow(to)
		}
		k.pause(k.q.cfg.Leases.Lease/20 + rand.N(k.q.cfg.Leases.Lease/20))
	}
}

func (k *asker) pause(d time.Duration) {
	over := time.NewTimer(d)
	defer over.Stop()
	select {
	case <-k.ctx.Done():
	case <-over.C:
	}
}

// follow asks at one address until the link breaks, the lender is elsewhere, or it is silent.
func (k *asker) follow(to string) {
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
	k.side.linked()
	var answered atomic.Bool // since the last ask
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		k.hear(conn, &answered)
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
		if !asked.IsZero() && now.Sub(asked) > plan.Lease/2 || k.target() != to {
			return // a lender that is stopped, a link that swallows, or another that leads
		}
		wait := k.q.cfg.beat()
		if left := paceLeast - now.Sub(sent); left > 0 {
			wait = left
		} else if a, ok := k.side.due(); ok {
			if asked.IsZero() {
				asked = now
			}
			sent = now
			answered.Store(false)
			if send(frames.Frame(wire.EncodeLeaseRequest(wire.LeaseRequest{To: k.level, LeaseRequest: a}))) != nil {
				return
			}
			k.q.Counters.RequestsSent.Add(1)
			continue
		} else if asked.IsZero() { // nothing to look for but the next ask, and who leads
			wait = min(max(k.q.at(k.side.next()).Sub(now), paceLeast), beatMost)
		}
		over := time.NewTimer(wait)
		select {
		case <-k.ctx.Done():
		case <-gone:
		case <-over.C:
		case <-k.woken:
		}
		over.Stop()
		select {
		case <-gone:
			return
		case <-k.ctx.Done():
			if a, ok := k.side.last(); ok {
				_ = send(frames.Frame(wire.EncodeLeaseRequest(wire.LeaseRequest{To: k.level, LeaseRequest: a}))) // else its lease ends by itself
			}
			return
		default:
		}
	}
}

// hear reads what a lender says until the link ends, which it closes.
func (k *asker) hear(conn net.Conn, answered *atomic.Bool) {
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
		case m.Response != nil && m.Response.From == k.level:
			answered.Store(true)
		case m.Poll != nil && *m.Poll == k.level:
		case m.Redirect != nil && m.Redirect.From == k.level: // the root is elsewhere; a region's lender only by a fault of the settings
			if k.level != "" {
				k.strayed.Do(func() {
					k.q.cfg.Log.Error().Str("process", k.q.cfg.Name).Str("lender", k.level).Msg("quota: no such lender where the settings name it")
				})
			}
			return
		default:
			k.q.Counters.BadMessages.Add(1)
			return
		}
		k.side.heard(m)
		k.wake()
	}
}
