package budgets

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/budget"
	"tinsail/internal/faultnet"
)

// fleet is a keeper and holders on real UDP sockets, each holder behind a relay of its own, and a goroutine that adds
// up the holders' shares every millisecond.
type fleet struct {
	plan         budget.Plan
	keeper       *Keeper
	keeperAddr   *net.UDPAddr
	relays       []*faultnet.UDP
	holders      []*Holder
	maxSum       atomic.Int64 // the largest sum seen
	stop         chan struct{}
	stopWatching func() // stops that goroutine and waits for it; further calls do nothing
}

func startKeeper(t *testing.T, p budget.Plan, at *net.UDPAddr) *Keeper {
	conn, err := net.ListenUDP("udp", at)
	require.NoError(t, err)
	k, err := NewKeeper(conn, p)
	require.NoError(t, err)
	return k
}

func newFleet(t *testing.T, p budget.Plan, n int) *fleet {
	f := &fleet{plan: p, stop: make(chan struct{})}
	f.keeper = startKeeper(t, p, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	f.keeperAddr = f.keeper.conn.LocalAddr().(*net.UDPAddr)
	for i := range n {
		r, err := faultnet.ListenUDP(f.keeperAddr.String())
		require.NoError(t, err)
		t.Cleanup(r.Close)
		to, err := net.ResolveUDPAddr("udp", r.Addr())
		require.NoError(t, err)
		conn, err := net.DialUDP("udp", nil, to)
		require.NoError(t, err)
		h, err := NewHolder(conn, p, fmt.Sprintf("n%d", i), uint64(i+1))
		require.NoError(t, err)
		t.Cleanup(h.Close)
		f.relays, f.holders = append(f.relays, r), append(f.holders, h)
	}
	var done sync.WaitGroup
	done.Add(1)
	f.stopWatching = sync.OnceFunc(func() { close(f.stop); done.Wait() })
	go func() {
		defer done.Done()
		tick := time.NewTicker(time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-f.stop:
				return
			case <-tick.C:
				if s := int64(f.spendable()); s > f.maxSum.Load() {
					f.maxSum.Store(s)
				}
			}
		}
	}()
	t.Cleanup(func() { f.stopWatching(); f.keeper.conn.Close() })
	return f
}

func (f *fleet) spendable() int {
	s := 0
	for _, h := range f.holders {
		s += h.Share()
	}
	return s
}

// awaitFairShares waits until every holder but the skipped ones has its reserve and its fair share of the pool among
// the reachable holders, less one unit.
func (f *fleet) awaitFairShares(t *testing.T, what string, reachable int, skip ...int) {
	want := f.plan.Reserve() + f.plan.Pool()/reachable - 1
	require.Eventually(t, func() bool {
		for i, h := range f.holders {
			if !slices.Contains(skip, i) && h.Share() < want {
				return false
			}
		}
		return true
	}, 20*time.Second, 5*time.Millisecond, "%s: every holder at %d or more", what, want)
}

// TestSharesOverUDPUnderFaults: eight holders and a keeper on loopback. A holder that is cut off falls to its
// reserve, and the others get its share of the pool only after its lease has ended. With one datagram in three lost
// all keep their shares. A keeper that crashes and restarts lends nothing for its quiet period: all holders fall back
// to their reserves, and get their shares again later. In no millisecond do the shares add up to more than the total.
func TestSharesOverUDPUnderFaults(t *testing.T) {
	p := budget.Plan{Name: "connections", Total: 800, MaxDispatchers: 10, ReserveShare: 0.2, Lease: 300 * time.Millisecond, Drift: 0.01}
	f := newFleet(t, p, 8)
	f.awaitFairShares(t, "at the start", 8)

	f.relays[0].Set(faultnet.Rule{Blackhole: true}) // a partition: n0 alone
	require.Eventually(t, func() bool { return f.holders[0].Share() == p.Reserve() }, 10*time.Second, time.Millisecond,
		"n0 cut off falls to its reserve")
	f.awaitFairShares(t, "n0 cut off", 7, 0)

	for _, r := range f.relays {
		r.Set(faultnet.Rule{DropEvery: 3})
	}
	f.awaitFairShares(t, "n0 back, a third of the datagrams lost", 8)

	f.keeper.conn.Close() // the keeper crashes ...
	f.keeper = startKeeper(t, p, f.keeperAddr)
	require.Eventually(t, func() bool { return f.spendable() == 8*p.Reserve() }, 10*time.Second, time.Millisecond,
		"... all fall to their reserves while the new keeper is quiet")
	f.awaitFairShares(t, "after the keeper's restart", 8)

	f.stopWatching()
	assert.LessOrEqual(t, f.maxSum.Load(), int64(p.Total), "the most that the holders could spend at once")
	assert.Positive(t, f.relays[1].Counts().Discarded, "datagrams were lost")
	t.Logf("most spent at once %d of %d", f.maxSum.Load(), p.Total)
}
