// Package budgets is the driver of fleet-wide budgets: it sends their lease requests and grants between dispatchers
// over UDP (docs/design/budget.md). Package budget decides, package budget/wire encodes the messages, and this
// package reads the clock and the socket. It is off unless the settings name a keeper, and must stay off on a
// platform that forbids messages between dispatchers.
package budgets

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"tinsail/internal/budget"
	"tinsail/internal/budget/wire"
)

// Clock is a monotonic clock in the units of package budget.
type Clock struct{ start time.Time }

// NewClock starts a clock at 0.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the time since the clock's start. A change of the wall clock does not affect it.
func (c Clock) Now() budget.Time { return budget.Time(time.Since(c.start)) }

// Keeper answers the lease requests for some budgets on one UDP socket.
type Keeper struct {
	conn  *net.UDPConn
	clock Clock

	mu           sync.Mutex
	keepers      map[string]*budget.Keeper
	badDatagrams int // see the method BadDatagrams
}

// NewKeeper serves the plans' budgets on conn until it is closed. At the start nothing is lent for the plan's quiet
// period, since a new process cannot know what an earlier one has lent.
func NewKeeper(conn *net.UDPConn, plans ...budget.Plan) (*Keeper, error) {
	k := &Keeper{conn: conn, clock: NewClock(), keepers: map[string]*budget.Keeper{}}
	for _, p := range plans {
		keeper, err := budget.NewKeeper(p, k.clock.Now())
		if err != nil {
			return nil, err
		}
		k.keepers[p.Name] = keeper
	}
	go k.serve()
	return k, nil
}

func (k *Keeper) serve() {
	buf := make([]byte, wire.MaxMessage+1)
	var out []byte
	for {
		n, from, err := k.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		m, err := wire.Decode(buf[:n])
		k.mu.Lock()
		keeper := k.keepers[m.Budget]
		if err != nil || m.LeaseRequest == nil || keeper == nil {
			k.badDatagrams++
			k.mu.Unlock()
			continue
		}
		grant := keeper.Handle(k.clock.Now(), *m.LeaseRequest)
		k.mu.Unlock()
		out = wire.AppendGrant(out[:0], m.Budget, grant)
		k.conn.WriteToUDP(out, from) // if the grant is lost, the holder sends another request
	}
}

// Lent returns how much of a budget is lent now.
func (k *Keeper) Lent(name string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if keeper := k.keepers[name]; keeper != nil {
		return keeper.Lent(k.clock.Now())
	}
	return 0
}

// Replan puts changed plans in force (budget.Keeper.Replan). A plan of a budget that is not served here is an error;
// the plans that come before it in the list are in force then.
func (k *Keeper) Replan(plans ...budget.Plan) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range plans {
		keeper := k.keepers[p.Name]
		if keeper == nil {
			return fmt.Errorf("budget %q is not served by this keeper", p.Name)
		}
		if err := keeper.Replan(p); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the keeper's socket, which ends it.
func (k *Keeper) Close() { k.conn.Close() }

// BadDatagrams returns how many datagrams could not be decoded, were not lease requests or named a budget that is not
// served here.
func (k *Keeper) BadDatagrams() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.badDatagrams
}

// Holder holds one dispatcher's share of one budget. It requests the share from a keeper over a connected UDP socket.
type Holder struct {
	conn  *net.UDPConn
	name  string
	clock Clock
	plan  budget.Plan

	mu     sync.Mutex
	holder *budget.Holder
}

// NewHolder starts a holder that sends lease requests to the keeper at the other end of conn until Close. epoch must
// differ at each start of the process.
func NewHolder(conn *net.UDPConn, p budget.Plan, peer string, epoch uint64) (*Holder, error) {
	h, err := budget.NewHolder(p, peer, epoch)
	if err != nil {
		return nil, err
	}
	driver := &Holder{conn: conn, name: p.Name, clock: NewClock(), plan: p, holder: h}
	go driver.sendRequests()
	go driver.receive()
	return driver, nil
}

// Share returns what this dispatcher may spend now, in units per second.
func (h *Holder) Share() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Share(h.clock.Now())
}

// Replan puts a changed plan in force (budget.Holder.Replan). If its total or reserve is smaller, the share falls to
// the reserve at once and a new lease request is due. The interval at which requests are sent stays as it was at the
// start, so p must have the lease and the drift of the first plan.
func (h *Holder) Replan(p budget.Plan) error {
	if p.Name != h.name {
		return fmt.Errorf("plan of budget %q given to the holder of budget %q", p.Name, h.name)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Replan(p)
}

// Close stops the lease requests; the share falls to the reserve when the lease ends.
func (h *Holder) Close() { h.conn.Close() }

func (h *Holder) sendRequests() {
	tick := time.NewTicker(h.plan.RenewInterval() / 4)
	defer tick.Stop()
	var out []byte
	for range tick.C {
		h.mu.Lock()
		request, due := h.holder.NextRequest(h.clock.Now())
		h.mu.Unlock()
		if !due {
			continue
		}
		out = wire.AppendLeaseRequest(out[:0], h.name, request)
		if _, err := h.conn.Write(out); err != nil && isClosed(err) {
			return
		}
	}
}

func (h *Holder) receive() {
	buf := make([]byte, wire.MaxMessage+1)
	for {
		n, err := h.conn.Read(buf)
		if err != nil {
			if isClosed(err) {
				return
			}
			continue // e.g. connection refused: the keeper does not run at the moment
		}
		m, err := wire.Decode(buf[:n])
		if err != nil || m.Grant == nil || m.Budget != h.name {
			continue
		}
		h.mu.Lock()
		h.holder.HandleGrant(h.clock.Now(), *m.Grant)
		h.mu.Unlock()
	}
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
