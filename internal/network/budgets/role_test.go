package budgets

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/budget"
	"tinsail/internal/faultnet"
)

// TestKeeperRoleTakesTurns: of two processes at most one keeps. Each gets the address when the other releases it, and its
// keeper begins with the quiet period.
func TestKeeperRoleTakesTurns(t *testing.T) {
	address, err := faultnet.FreeAddress()
	require.NoError(t, err)
	at, err := net.ResolveUDPAddr("udp", address)
	require.NoError(t, err)
	plan := budget.Plan{Name: "connections", Total: 100, MaxDispatchers: 2, ReserveShare: 0.2, Lease: time.Hour}
	old, next := NewKeeperRole(at, plan, zerolog.Nop()), NewKeeperRole(at, plan, zerolog.Nop())
	t.Cleanup(old.Release)
	t.Cleanup(next.Release)
	require.NoError(t, old.Acquire())
	require.NoError(t, old.Acquire(), "it has the address already")
	require.ErrorIs(t, next.Acquire(), syscall.EADDRINUSE)
	next.AcquireWhenFree()
	next.AcquireWhenFree()
	assert.True(t, old.Keeps())
	assert.False(t, next.Keeps())
	larger := plan
	larger.Total = 200
	require.NoError(t, next.Replan(larger), "a reload while the other one keeps")
	require.Error(t, next.Replan(budget.Plan{}))

	old.Release()
	require.Eventually(t, next.Keeps, 20*time.Second, time.Millisecond)
	assert.False(t, old.Keeps())
	assert.Equal(t, larger.Total, next.keeper.keepers["connections"].Handle(0, budget.LeaseRequest{Peer: "n1", Wanted: 10}).Total, "by the plan that was reloaded")
	assert.Zero(t, next.Lent(), "nothing is lent in the quiet period")

	old.AcquireWhenFree()
	next.Release()
	require.Eventually(t, old.Keeps, 20*time.Second, time.Millisecond)

	next.AcquireWhenFree()
	next.Release() // while it still tries
	old.Release()
	assert.False(t, next.Keeps())
	require.NoError(t, old.Acquire(), "nobody has the address")
}

// TestPartsOfShare: the parts of two processes add up to the share, and one that takes over begins without a burst.
func TestPartsOfShare(t *testing.T) {
	for share := range 100 {
		old, next := NewLimiter(NewFixedShare(share)), NewLimiter(NewFixedShare(share))
		old.SetPart(Remaining)
		next.SetPart(Incoming)
		assert.Equal(t, share, old.Share()+next.Share())
		assert.Less(t, next.limiter.Tokens(), 1.0, "share %d", share)
		next.SetPart(Whole)
		assert.Equal(t, share, next.Share())
	}
	assert.Zero(t, NewLimiter(NewFixedShare(-3)).Share())
}
