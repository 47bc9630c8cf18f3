package network

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/counters"
)

// coreRig is a core with a pool, on a clock that the test advances. Its backends are raw, and each dial to them waits for
// the test to let it go.
type coreRig struct {
	*poolRig
	core        *core.Core
	backends    []*rawBackend
	clockOffset atomic.Int64 // added to the real clock, in ns
	dials       chan chan struct{}
	answers     chan core.Answer
}

func (d *coreRig) Answer(a core.Answer) { d.answers <- a }
func (d *coreRig) Subscribe()           {}

func newCoreRig(t *testing.T, class balance.Class, others ...*rawBackend) *coreRig {
	d := &coreRig{poolRig: newPoolRig(t), dials: make(chan chan struct{}, 16), answers: make(chan core.Answer, 16)}
	dial := d.pool.Dial
	d.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		release := make(chan struct{})
		d.dials <- release
		<-release
		return dial(context.WithoutCancel(ctx), address)
	}
	class.Worth, class.Aim, class.Deadline, class.Kind = 1, 4000, 5000, -1
	began := time.Now()
	var err error
	d.core, err = core.NewAt(func() time.Time { return began.Add(time.Duration(d.clockOffset.Load())) },
		balance.Settings{Seed: 1, Instances: 1, Zones: 1, Kinds: 1, MaxAttempts: 3, TellsStart: true, ConnectTimeout: 120, Tick: 2,
			Rules: balance.Rules{AnswerSlack: 8}, Classes: []balance.Class{class}}, d.pool, d, d.pool.Count)
	require.NoError(t, err)
	var entries []core.Entry
	d.backends = append(others, d.rawBackend)
	for i, b := range d.backends {
		entries = append(entries, core.Entry{Name: fmt.Sprint(i), Address: b.address(),
			Worker: balance.Worker{ID: balance.WorkerID(i + 1), State: balance.Ready, Weight: 4}})
	}
	d.core.HandleList(balance.ListFull, entries)
	d.core.Step()
	return d
}

// nextConn returns the next connection to any backend.
func (d *coreRig) nextConn() *rawConn {
	for {
		for _, b := range d.backends {
			select {
			case c := <-b.conns:
				return c
			default:
			}
		}
		time.Sleep(50 * time.Microsecond)
	}
}

func (d *coreRig) submitReq(id string) core.Handle {
	job := &core.Job{Method: "POST", Target: "/ingest", ID: id, IdempotencyKey: "k" + id}
	t, fresh := d.core.Submit(balance.Request{Slots: 1}, job, time.Now(), 5*time.Second, d)
	require.True(d.t, fresh)
	d.core.Step()
	return t
}

// stepUntil steps the core until a condition holds.
func (d *coreRig) stepUntil(until func() bool) {
	for end := time.Now().Add(rigTimeout); !until(); time.Sleep(50 * time.Microsecond) {
		d.core.Step()
		if !time.Now().Before(end) {
			d.pool.Count.Print(os.Stderr, counters.Names{Endings: core.Endings()})
			require.Fail(d.t, "the condition never held")
		}
	}
}

func (d *coreRig) ended(e core.Ending) func() bool {
	return func() bool { return d.pool.Count.Endings[e].Load() > 0 }
}

// TestClientGoneWhileConnecting: a connection is established after its request's client has gone. The connection becomes
// idle, and the first request that it carries is another one. The core need not have processed the client's end yet.
func TestClientGoneWhileConnecting(t *testing.T) {
	for _, processed := range []bool{true, false} {
		d := newCoreRig(t, balance.Class{Effect: balance.Safe})
		handle := d.submitReq("a")
		release := <-d.dials
		handle.Abandon(false, nil)
		if processed {
			d.core.Step()
		}
		close(release)
		c := d.accept()
		d.stepUntil(d.ended(core.Unsent))
		d.submitReq("b")
		got, err := c.req()
		require.NoError(t, err)
		assert.Equal(t, "b", got, "the client's end processed: %v", processed)
	}
}

// TestRepeatWindowEndsWhileConnecting: a repeat is decided within the repeat window, and its connection is established
// after the window's end. The repeat must not be sent then.
func TestRepeatWindowEndsWhileConnecting(t *testing.T) {
	const window = 1000 // ms
	for _, c := range []struct {
		late   time.Duration
		starts bool
	}{{849 * time.Millisecond, true}, {850 * time.Millisecond, false}, {1500 * time.Millisecond, false}} {
		d := newCoreRig(t, balance.Class{Effect: balance.Deduped, RepeatWindow: window}, newRawBackend(t))
		d.submitReq("a")
		close(<-d.dials)
		first := d.nextConn()
		_, err := first.req()
		require.NoError(t, err)
		first.Close() // after this the request may have run
		d.stepUntil(func() bool { return len(d.dials) > 0 })
		release := <-d.dials
		d.clockOffset.Store(int64(c.late))
		close(release)
		second := d.nextConn()
		if c.starts {
			got, err := second.req()
			require.NoError(t, err)
			assert.Equal(t, "a", got)
			continue
		}
		d.stepUntil(d.ended(core.Unsent))
		assert.Equal(t, core.Failure, (<-d.answers).Kind)
		d.pool.CloseIdleByID(1)
		d.pool.CloseIdleByID(2)
		second.expectClosed()
	}
}
