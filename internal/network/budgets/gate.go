package budgets

import (
	"context"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Sharer says what this dispatcher may spend of a budget now, in units a second.
type Sharer interface{ Share() int }

// Fixed is a share that changes only when it is set: the division without talk (budget.Split),
// set anew by a reload. Safe for use by several goroutines.
type Fixed struct{ n atomic.Int64 }

// NewFixed is a share of n units a second.
func NewFixed(n int) *Fixed {
	f := &Fixed{}
	f.Set(n)
	return f
}

// Share is the share as last set.
func (f *Fixed) Share() int { return int(f.n.Load()) }

// Set changes the share; the gate reads it at its next unit.
func (f *Fixed) Set(n int) { f.n.Store(int64(n)) }

// Gate lets units pass by a share, which it reads anew at each unit: a fifth of it at once at
// most and the rest at an even rate, so that no second, wherever it begins, spends more than the
// share (a burst b and a rate share − b).
type Gate struct {
	of     Sharer
	mu     sync.Mutex
	lim    *rate.Limiter
	Passed atomic.Int64 // units let through, at once or after waiting
	Waited atomic.Int64 // units that had to wait for room
	Unsent atomic.Int64 // units refused: no room came within the time given
}

// NewGate gates units by a share.
func NewGate(of Sharer) *Gate {
	limit, burst := pace(of.Share())
	return &Gate{of: of, lim: rate.NewLimiter(limit, burst)}
}

// pace is the rate and burst of a share: together no more than the share in any second, but for
// a share of 1, which may spend 2 in a second that holds the burst and one more.
func pace(share int) (rate.Limit, int) {
	if share <= 0 {
		return 0, 0
	}
	burst := max(1, share/5)
	return rate.Limit(max(share-burst, 1)), burst
}

// Wait takes one unit, waiting for room while ctx allows; it fails at once where room would come
// only after ctx's deadline.
func (g *Gate) Wait(ctx context.Context) error {
	limit, burst := pace(g.of.Share())
	g.mu.Lock()
	if g.lim.Limit() != limit || g.lim.Burst() != burst {
		g.lim.SetLimit(limit)
		g.lim.SetBurst(burst)
	}
	g.mu.Unlock()
	if g.lim.Allow() {
		g.Passed.Add(1)
		return nil
	}
	g.Waited.Add(1)
	err := g.lim.Wait(ctx)
	if err != nil {
		g.Unsent.Add(1)
	} else {
		g.Passed.Add(1)
	}
	return err
}
