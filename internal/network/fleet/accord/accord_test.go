package accord

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/budget"
	"tinsail/internal/faultnet"
	"tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/accord/wire"
)

// journal keeps what a fleet logs.
type journal struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (j *journal) Write(p []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.b.Write(p)
}

func (j *journal) has(text string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return strings.Contains(j.b.String(), text)
}

// fleet is some dispatchers' parts in one process, on real sockets and disks; each that is no voter
// asks through relays of its own.
type fleet struct {
	t      *testing.T
	plan   accord.LeaseConfig
	voters []Peer
	relays [][]*faultnet.TCP // by dispatcher; none of voters
	data   []string
	all    []*Accord
	log    journal
	older  atomic.Int64 // the dispatcher that refuses "odd" bodies, -1 for none
	stop   chan struct{}
	halt   func()
	mixed  atomic.Int64 // looks at which two versions were allowed at once
	looks  atomic.Int64
	over   atomic.Int64 // looks at which the shares of the budget summed to more than the whole
	early  atomic.Int64 // versions that could be used before they were put in force
	mu     sync.Mutex   // of all, while a part starts
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, plan: accord.LeaseConfig{Lease: 600 * time.Millisecond, Drift: 0.001}, stop: make(chan struct{})}
	f.older.Store(-1)
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		f.voters = append(f.voters, Peer{fmt.Sprintf("n%d", i), l.Addr().String()})
		l.Close()
		f.data = append(f.data, t.TempDir())
	}
	f.relays = make([][]*faultnet.TCP, n)
	f.all = make([]*Accord, n)
	for i := range n {
		f.start(i)
	}
	var done sync.WaitGroup
	done.Add(1)
	f.halt = sync.OnceFunc(func() { close(f.stop); done.Wait() })
	all := append([]*Accord(nil), f.all...)
	go func() {
		defer done.Done()
		for tick := time.NewTicker(time.Millisecond); ; {
			select {
			case <-f.stop:
				tick.Stop()
				return
			case <-tick.C:
				f.look(all)
			}
		}
	}()
	t.Cleanup(func() {
		f.halt()
		for _, a := range f.all {
			if a != nil {
				a.Close()
			}
		}
	})
	return f
}

// look finds two versions that are allowed at once. The gates are read one after another, each before
// the time: a gate that closed meanwhile is not counted.
func (f *fleet) look(all []*Accord) {
	var gates []*gate
	for _, a := range all {
		gates = append(gates, a.member.gate.Load())
	}
	sum := 0
	for _, a := range all {
		sum += a.BudgetShare()
	}
	if sum > lentPlan.Total {
		f.over.Add(1)
	}
	by := uint64(0)
	for i, g := range gates {
		if now := all[i].clock.now(); now >= g.AcceptUntil && now >= g.StartUntil {
			continue
		}
		if by != 0 && by != g.Version {
			f.mixed.Add(1)
		}
		by = g.Version
	}
	f.looks.Add(1)
}

// lentPlan is the budget that the fleet's leader lends.
var lentPlan = budget.Plan{Name: "connections", Total: 60, MaxDispatchers: 8, ReserveShare: 0.2, Lease: 300 * time.Millisecond, Drift: 0.001}

// fair waits until all hold their fair part of the budget, less one unit.
func (f *fleet) fair() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, a := range f.all {
			if a.BudgetShare() < lentPlan.Reserve()+lentPlan.Pool()/len(f.all)-1 {
				return false
			}
		}
		return true
	}, 20*time.Second, 5*time.Millisecond, "fair shares")
}

func (f *fleet) start(i int) {
	cfg := Config{Leases: f.plan, Name: fmt.Sprintf("n%d", i), Epoch: uint64(time.Now().UnixNano()), Voters: f.voters,
		CheckPolicy: func(body []byte) error {
			if f.older.Load() == int64(i) && bytes.Contains(body, []byte("odd")) {
				return fmt.Errorf("an unknown key")
			}
			return nil
		},
		ApplyPolicy: func(version uint64, _ []byte) error {
			f.mu.Lock()
			a := f.all[i]
			f.mu.Unlock()
			if a != nil && a.MayStart(version) {
				f.early.Add(1)
			}
			return nil
		},
		BudgetPlan: func([]byte) (budget.Plan, bool) { return lentPlan, true },
		Log:        zerolog.New(&f.log)}
	if i < len(f.voters) {
		cfg.DataDir, cfg.InitialPolicy = f.data[i], []byte("first")
	} else {
		cfg.Voters = nil
		for _, v := range f.voters {
			r, err := faultnet.ListenTCP(v.Address)
			require.NoError(f.t, err)
			f.t.Cleanup(r.Close)
			f.relays[i] = append(f.relays[i], r)
			cfg.Voters = append(cfg.Voters, Peer{v.Name, r.Addr()})
		}
	}
	a, err := New(cfg)
	require.NoError(f.t, err)
	f.mu.Lock()
	f.all[i] = a
	f.mu.Unlock()
}

// await waits until the dispatchers that are up, but those skipped, serve by a version.
func (f *fleet) await(version uint64, skip ...int) {
	f.t.Helper()
	skipped := map[int]bool{}
	for _, i := range skip {
		skipped[i] = true
	}
	require.Eventually(f.t, func() bool {
		for i, a := range f.all {
			if v, _ := a.Current(); !skipped[i] && (v != version || !a.Serves()) {
				return false
			}
		}
		return true
	}, 20*time.Second, 5*time.Millisecond, "all at version %d", version)
}

func (f *fleet) leader() int {
	f.t.Helper()
	at := -1
	require.Eventually(f.t, func() bool {
		for i, a := range f.all[:3] {
			if a != nil {
				if leads, _ := a.voter.leads(); leads {
					at = i
				}
			}
		}
		return at >= 0
	}, 20*time.Second, 5*time.Millisecond, "a leader")
	return at
}

// TestFleetOnSockets: three voters and three lessees on loopback. The first policy takes hold by itself,
// a proposal at a lessee everywhere; one that an older binary refuses is nowhere, with its reason in the
// log; a lessee that is cut off stops and does not hold up the others, and comes back; the leader is
// closed with a change under way, and the fleet goes on; it starts again from its disk. At no look are
// two versions allowed at once.
func TestFleetOnSockets(t *testing.T) {
	f := newFleet(t, 6)
	f.await(1)
	f.fair()
	require.NoError(t, f.all[4].Propose([]byte("second")))
	f.await(2)
	assert.True(t, f.log.has(`"message":"accord: decided"`))

	f.older.Store(5)
	require.NoError(t, f.all[3].Propose([]byte("odd")))
	require.Eventually(t, func() bool { return f.log.has(`"who":"n5","why":"an unknown key"`) }, 10*time.Second, 5*time.Millisecond)
	f.older.Store(-1)
	f.await(2)

	for _, r := range f.relays[5] { // n5 is cut off ...
		r.Set(faultnet.Rule{Blackhole: true})
	}
	require.NoError(t, f.all[4].Propose([]byte("third")))
	f.await(3, 5) // ... and the others go on without it
	assert.False(t, f.all[5].Serves())
	_, _, ok := f.all[5].Admit()
	assert.False(t, ok, "it takes nothing")
	assert.Positive(t, f.all[5].Counters.RefusedReqs.Load())
	for _, r := range f.relays[5] {
		r.Set(faultnet.Rule{})
		r.Reset()
	}
	f.await(3)

	was := f.leader()
	require.NoError(t, f.all[3].Propose([]byte("fourth")))
	f.all[was].Close()
	f.await(4, was) // proposed anew at the next leader
	f.halt()
	f.start(was)
	f.await(4)
	f.fair()
	assert.Zero(t, f.over.Load(), "the budget was overdrawn")
	assert.Zero(t, f.mixed.Load(), "two versions at once, of %d looks", f.looks.Load())
	assert.Zero(t, f.early.Load(), "used before it was put in force")
	t.Logf("%d looks", f.looks.Load())
}

// TestPortBounds: what is no accord link and no stream is closed, and a message of another format ends
// its link and is counted.
func TestPortBounds(t *testing.T) {
	f := newFleet(t, 3)
	f.await(1)
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "A\x00\x00\x00\x02{}", "A\xff\xff\xff\xff"} {
		conn, err := net.Dial("tcp", f.voters[0].Address)
		require.NoError(t, err)
		_, err = conn.Write([]byte(text))
		require.NoError(t, err)
		_, err = io.ReadAll(conn) // until it is closed
		if err != nil {
			assert.ErrorContains(t, err, "reset")
		}
		conn.Close()
	}
	assert.EqualValues(t, 2, f.all[0].Counters.BadMessages.Load())
	_ = wire.MaxFrame
}

func TestParseVoters(t *testing.T) {
	got, err := ParseVoters([]string{"a=127.0.0.1:1", "b=127.0.0.1:2", "c=127.0.0.1:3"})
	require.NoError(t, err)
	assert.Equal(t, Peer{"b", "127.0.0.1:2"}, got[1])
	for _, bad := range [][]string{nil, {"a=127.0.0.1:1", "b=127.0.0.1:2"}, {"a=127.0.0.1"}, {"127.0.0.1:1"},
		{"a=127.0.0.1:1", "a=127.0.0.1:2", "c=127.0.0.1:3"}, {"a=127.0.0.1:1", "b=127.0.0.1:1", "c=127.0.0.1:3"}} {
		_, err := ParseVoters(bad)
		assert.Error(t, err, bad)
	}
}

// TestGate: a req is taken before the gate's time alone and stamped by its version, started before its own
// time by that version alone, and counted while it waits; on no lease it is counted as lapsed.
func TestGate(t *testing.T) {
	a := &Accord{clock: clock{time.Now()}, cfg: Config{Leases: accord.LeaseConfig{Lease: 3 * time.Second}}}
	a.member = &member{a: a, woken: make(chan struct{}, 1)}
	set := func(g accord.Admission) *gate {
		now := &gate{Admission: g, waiting: &atomic.Int64{}}
		a.member.gate.Store(now)
		return now
	}
	open := set(accord.Admission{Version: 7, AcceptUntil: accord.Never, StartUntil: accord.Never, UnleasedFrom: accord.Never})
	v, _, ok := a.Admit()
	assert.True(t, ok)
	assert.EqualValues(t, 7, v)
	assert.True(t, a.MayStart(7))
	assert.False(t, a.MayStart(6))
	assert.EqualValues(t, 1, open.waiting.Load())
	a.Begun(6) // of a version before
	assert.EqualValues(t, 1, open.waiting.Load())
	a.Begun(7)
	assert.Zero(t, open.waiting.Load())
	assert.Zero(t, a.Counters.UnleasedReqs.Load())

	shut := set(accord.Admission{Version: 7, AcceptUntil: 0, StartUntil: accord.Never, UnleasedFrom: accord.Never})
	_, pause, ok := a.Admit()
	assert.False(t, ok)
	assert.Equal(t, 500*time.Millisecond, pause)
	assert.Zero(t, shut.waiting.Load())
	assert.EqualValues(t, 1, a.Counters.RefusedReqs.Load())
	assert.True(t, a.MayStart(7), "what was taken may begin")
	assert.False(t, a.Serves())

	set(accord.Admission{Version: 7, AcceptUntil: accord.Never, StartUntil: 0, UnleasedFrom: 0})
	_, _, ok = a.Admit()
	assert.True(t, ok)
	assert.EqualValues(t, 1, a.Counters.UnleasedReqs.Load())
	assert.False(t, a.MayStart(7))
}

// BenchmarkTake is what a req pays for its version: taken, started and told begun.
func BenchmarkTake(b *testing.B) {
	l, err := accord.NewParticipant(accord.LeaseConfig{Lease: time.Second}, "n0", 1)
	require.NoError(b, err)
	a := &Accord{clock: clock{time.Now()}}
	a.member = &member{a: a, lessee: l, woken: make(chan struct{}, 1)}
	a.member.gate.Store(&gate{Admission: accord.Admission{Version: 1, AcceptUntil: accord.Never, StartUntil: accord.Never, UnleasedFrom: accord.Never}, waiting: &atomic.Int64{}})
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if v, _, ok := a.Admit(); !ok || !a.MayStart(v) {
				b.Error("not taken")
			}
			a.Begun(1)
		}
	})
}
