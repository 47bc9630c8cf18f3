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

// borrower is what a lenderConn needs of the holder that it serves. The methods are called from the connection's goroutines.
type borrower interface {
	handleConnect()                           // a connection was opened; requests and responses of the previous one are lost
	nextRequest() (quota.LeaseRequest, bool)  // the request to be sent now, if one is due
	nextRequestTime() quota.Time              // when a request is due if nothing else happens before
	handleMessage(wire.Message)               // a response or a poll
	finalRequest() (quota.LeaseRequest, bool) // the last request of a holder that ends in an orderly way, if it has one
}

// lenderConn maintains a holder's connection to its lender and exchanges messages on it.
type lenderConn struct {
	q          *Quota
	lenderName string // the region's name, or "" for the root
	borrower   borrower
	address    func() string // returns where the lender listens now, or "" if that is unknown
	wakeup     chan struct{}
	ctx        context.Context // canceled by close
	cancel     context.CancelFunc
	done       sync.WaitGroup

	misconfigurationLogged sync.Once
}

func newLenderConn(q *Quota, lenderName string, b borrower, address func() string) *lenderConn {
	c := &lenderConn{q: q, lenderName: lenderName, borrower: b, address: address, wakeup: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// start starts the connection. It is called once the borrower has its reference to c.
func (c *lenderConn) start() { c.done.Go(c.run) }

func (c *lenderConn) close() {
	c.cancel()
	c.done.Wait()
}

func (c *lenderConn) wake() { wake(c.wakeup) }

// run connects whenever the lender's address is known, and again after a failure. The delay before each attempt is
// randomized, so that holders do not all reconnect at once to a lender that comes back.
func (c *lenderConn) run() {
	for c.ctx.Err() == nil {
		if address := c.address(); address != "" {
			c.exchange(address)
		}
		c.sleep(c.q.cfg.Leases.Lease/20 + rand.N(c.q.cfg.Leases.Lease/20))
	}
}

func (c *lenderConn) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
	case <-timer.C:
	}
}

// exchange exchanges messages with the lender at one address, until the connection fails, the lender's address changes, or
// the lender does not respond for half a lease.
func (c *lenderConn) exchange(address string) {
	leases := c.q.cfg.Leases
	conn, err := (&net.Dialer{Timeout: leases.Lease / 3}).DialContext(c.ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	send := func(p []byte) error {
		conn.SetWriteDeadline(time.Now().Add(leases.Lease / 3))
		_, err := conn.Write(p)
		return err
	}
	if send([]byte{accord.QuotaConn}) != nil {
		return
	}
	c.borrower.handleConnect()
	var answered atomic.Bool // a response arrived since the newest request was sent
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.readMessages(conn, &answered)
	}()
	defer func() {
		conn.Close()
		<-closed
	}()
	unansweredSince, lastSent := time.Time{}, time.Time{} // when the oldest unanswered request and the newest request were sent
	for {
		if answered.Load() {
			unansweredSince = time.Time{}
		}
		now := time.Now()
		if !unansweredSince.IsZero() && now.Sub(unansweredSince) > leases.Lease/2 || c.address() != address {
			return // the lender has stopped, the network drops packets, or another voter leads
		}
		wait := c.q.cfg.tickInterval()
		if left := minRequestInterval - now.Sub(lastSent); left > 0 {
			wait = left
		} else if request, ok := c.borrower.nextRequest(); ok {
			if unansweredSince.IsZero() {
				unansweredSince = now
			}
			lastSent = now
			answered.Store(false)
			if send(frames.Frame(wire.EncodeLeaseRequest(wire.LeaseRequest{To: c.lenderName, LeaseRequest: request}))) != nil {
				return
			}
			c.q.Counters.RequestsSent.Add(1)
			continue
		} else if unansweredSince.IsZero() { // no response is awaited, so the next event is a request or a new address
			wait = min(max(c.q.toTime(c.borrower.nextRequestTime()).Sub(now), minRequestInterval), maxTickInterval)
		}
		timer := time.NewTimer(wait)
		select {
		case <-c.ctx.Done():
		case <-closed:
		case <-timer.C:
		case <-c.wakeup:
		}
		timer.Stop()
		select {
		case <-closed:
			return
		case <-c.ctx.Done():
			if request, ok := c.borrower.finalRequest(); ok {
				// If this fails, the lease expires.
				_ = send(frames.Frame(wire.EncodeLeaseRequest(wire.LeaseRequest{To: c.lenderName, LeaseRequest: request})))
			}
			return
		default:
		}
	}
}

// readMessages handles the lender's messages until the connection fails. It closes the connection at the end.
func (c *lenderConn) readMessages(conn net.Conn, answered *atomic.Bool) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		m, err := wire.ReadMessage(r)
		switch {
		case err != nil:
			if errors.Is(err, wire.ErrMessage) {
				c.q.Counters.BadMessages.Add(1)
			}
			return
		case m.Response != nil && m.Response.From == c.lenderName:
			answered.Store(true)
		case m.Poll != nil && *m.Poll == c.lenderName:
		case m.Redirect != nil && m.Redirect.From == c.lenderName: // the root is elsewhere; a region's lender never moves
			if c.lenderName != "" { // the settings name the wrong voter
				c.misconfigurationLogged.Do(func() {
					c.q.cfg.Log.Error().Str("process", c.q.cfg.Name).Str("lender", c.lenderName).Msg("quota: no such lender where the settings name it")
				})
			}
			return
		default:
			c.q.Counters.BadMessages.Add(1)
			return
		}
		c.borrower.handleMessage(m)
		c.wake()
	}
}
