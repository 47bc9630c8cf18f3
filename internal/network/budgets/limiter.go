package budgets

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Sharer returns what this dispatcher may spend of a budget now, in units per second.
type Sharer interface{ Share() int }

// FixedShare is a share that changes only when it is set, for a budget that is divided without messages between
// dispatchers (budget.Split); a reload sets it again. It is safe for use by several goroutines.
type FixedShare struct{ n atomic.Int64 }

// NewFixedShare returns a share of n units per second.
func NewFixedShare(n int) *FixedShare {
	f := &FixedShare{}
	f.Set(n)
	return f
}

// Share returns the share that was set last.
func (f *FixedShare) Share() int { return int(f.n.Load()) }

// Set changes the share; a limiter reads it at its next unit.
func (f *FixedShare) Set(n int) { f.n.Store(int64(n)) }

// Limiter limits the rate of units to a share, which it reads again at each unit. At most a fifth of the share may be
// spent at once and the rest at an even rate, so that no second, wherever it begins, spends more than the share (a
// burst b and a rate share − b).
type Limiter struct {
	share   Sharer
	part    atomic.Int32 // a Part
	mu      sync.Mutex
	limiter *rate.Limiter
	Passed  atomic.Int64 // units allowed, at once or after waiting
	Waited  atomic.Int64 // units that had to wait
	Refused atomic.Int64 // units refused, as they could not be allowed within the time given
}

// Part is which part of the dispatcher's share a process spends.
type Part int32

// Parts. While two processes serve as one dispatcher, as in an upgrade, they divide its share.
const (
	Whole     Part = iota // this process is alone
	Remaining             // half, rounded down: the process that hands over
	Incoming              // half, rounded up: the process that takes over
)

// SetPart sets which part of the share is spent from the next unit on. Incoming begins without a burst, as the other process
// may have spent its own a moment ago.
func (l *Limiter) SetPart(p Part) {
	if Part(l.part.Swap(int32(p))) != p && p == Incoming {
		l.mu.Lock()
		l.limiter.AllowN(time.Now(), l.limiter.Burst())
		l.mu.Unlock()
	}
}

// Share returns what this process may spend now, in units per second.
func (l *Limiter) Share() int {
	share := max(l.share.Share(), 0)
	switch Part(l.part.Load()) {
	case Remaining:
		return share / 2
	case Incoming:
		return share - share/2
	}
	return share
}

// NewLimiter returns a limiter to a share.
func NewLimiter(share Sharer) *Limiter {
	limit, burst := limitAndBurst(share.Share())
	return &Limiter{share: share, limiter: rate.NewLimiter(limit, burst)}
}

// limitAndBurst returns the rate and burst of a share. Together they allow no more than the share in any second,
// except for a share of 1, which may spend 2 in a second that holds the burst and one more.
func limitAndBurst(share int) (rate.Limit, int) {
	if share <= 0 {
		return 0, 0
	}
	burst := max(1, share/5)
	return rate.Limit(max(share-burst, 1)), burst
}

// Wait takes one unit and waits until it is allowed or ctx is done. It fails at once if the unit would be allowed
// only after ctx's deadline.
func (l *Limiter) Wait(ctx context.Context) error {
	limit, burst := limitAndBurst(l.Share())
	l.mu.Lock()
	if l.limiter.Limit() != limit || l.limiter.Burst() != burst {
		l.limiter.SetLimit(limit)
		l.limiter.SetBurst(burst)
	}
	l.mu.Unlock()
	if l.limiter.Allow() {
		l.Passed.Add(1)
		return nil
	}
	l.Waited.Add(1)
	err := l.limiter.Wait(ctx)
	if err != nil {
		l.Refused.Add(1)
	} else {
		l.Passed.Add(1)
	}
	return err
}
