package budgets

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"tinsail/internal/budget"
)

// acquireInterval is how often KeeperRole tries to bind an address that another process still has.
const acquireInterval = 20 * time.Millisecond

// KeeperRole is the part of a dispatcher that keeps a budget. It owns the keeper's address: only a process that has bound it
// grants leases. The two processes of an upgrade take turns: the old one releases the address once the new one has taken
// over its clients, and the new one then acquires it. A keeper that begins grants nothing for the plan's quiet period, so
// the leases of the one before it have ended by then. It is safe for use by several goroutines.
type KeeperRole struct {
	address *net.UDPAddr
	log     zerolog.Logger

	mu           sync.Mutex
	plan         budget.Plan
	keeper       *Keeper            // nil while this process doesn't keep
	stopTrying   context.CancelFunc // ends AcquireWhenFree; nil if it doesn't run
	badDatagrams int                // of earlier keepers of this process
}

// NewKeeperRole returns the role for a plan. It grants nothing before Acquire or AcquireWhenFree.
func NewKeeperRole(address *net.UDPAddr, plan budget.Plan, log zerolog.Logger) *KeeperRole {
	return &KeeperRole{address: address, plan: plan, log: log}
}

// Acquire binds the address and begins to grant leases. It fails if another process has the address.
func (r *KeeperRole) Acquire() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acquire()
}

// acquire is Acquire. r.mu is held.
func (r *KeeperRole) acquire() error {
	if r.keeper != nil {
		return nil
	}
	conn, err := net.ListenUDP("udp", r.address)
	if err != nil {
		return err
	}
	if r.keeper, err = NewKeeper(conn, r.plan); err != nil {
		conn.Close()
	}
	return err
}

// AcquireWhenFree acquires the address in the background, as soon as no other process has it, until Release.
func (r *KeeperRole) AcquireWhenFree() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopTrying != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stopTrying = cancel
	go r.acquireUntil(ctx)
}

func (r *KeeperRole) acquireUntil(ctx context.Context) {
	tick := time.NewTicker(acquireInterval)
	defer tick.Stop()
	for logged := false; ; {
		err := r.tryAcquire(ctx)
		if err == nil {
			return
		}
		if !logged {
			r.log.Warn().Err(err).Stringer("keeper_at", r.address).Msg("budgets: the keeper's address is not free, will be tried again")
			logged = true
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// tryAcquire acquires the address unless ctx has been cancelled by Release.
func (r *KeeperRole) tryAcquire(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	if err := r.acquire(); err != nil {
		return err
	}
	r.log.Info().Stringer("keeper_at", r.address).Msg("budgets: keeps the leases")
	return nil
}

// Release ends the granting of leases and frees the address for another process. No lease is granted after it returns.
func (r *KeeperRole) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopTrying != nil {
		r.stopTrying()
		r.stopTrying = nil
	}
	if r.keeper != nil {
		r.badDatagrams += r.keeper.BadDatagrams()
		r.keeper.Close()
		r.keeper = nil
	}
}

// Keeps reports whether this process grants the leases.
func (r *KeeperRole) Keeps() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keeper != nil
}

// Replan puts a changed plan in force, for this process's keeper or for the one that it begins later.
func (r *KeeperRole) Replan(p budget.Plan) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := p.Check(); err != nil {
		return err
	}
	r.plan = p
	if r.keeper == nil {
		return nil
	}
	return r.keeper.Replan(p)
}

// Lent returns how many units this process has lent.
func (r *KeeperRole) Lent() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keeper == nil {
		return 0
	}
	return r.keeper.Lent(r.plan.Name)
}

// BadDatagrams returns how many datagrams this process could not use (see Keeper.BadDatagrams).
func (r *KeeperRole) BadDatagrams() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keeper == nil {
		return r.badDatagrams
	}
	return r.badDatagrams + r.keeper.BadDatagrams()
}
