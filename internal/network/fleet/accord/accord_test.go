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

// logBuffer collects the log of a fleet.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

func (l *logBuffer) contains(text string) bool { return strings.Contains(l.text(), text) }

// fleet runs the accords of several dispatchers in one process, with real sockets and disks. The
// first three are voters. The others connect to the voters through relays of their own, which can
// inject faults.
type fleet struct {
	t             *testing.T
	leases        accord.LeaseConfig
	voters        []Peer
	relays        [][]*faultnet.TCP // by dispatcher; none for voters
	dataDirs      []string
	accords       []*Accord
	log           logBuffer
	refuser       atomic.Int64 // the dispatcher that refuses "odd" policies, -1 for none
	stop          chan struct{}
	stopSampling  func()
	mixedVersions atomic.Int64 // samples in which two versions were allowed at once
	samples       atomic.Int64
	overdrawn     atomic.Int64 // samples in which the shares of the budget summed to more than the total
	usedEarly     atomic.Int64 // versions under which an attempt could start before they were applied
	mu            sync.Mutex   // of accords, while a dispatcher starts
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, leases: accord.LeaseConfig{Lease: 600 * time.Millisecond, Drift: 0.001}, stop: make(chan struct{})}
	f.refuser.Store(-1)
	for i := range 3 {
		address, err := faultnet.FreeAddress()
		require.NoError(t, err)
		f.voters = append(f.voters, Peer{fmt.Sprintf("n%d", i), address})
		f.dataDirs = append(f.dataDirs, t.TempDir())
	}
	f.relays = make([][]*faultnet.TCP, n)
	f.accords = make([]*Accord, n)
	for i := range n {
		f.startDispatcher(i)
	}
	var done sync.WaitGroup
	done.Add(1)
	f.stopSampling = sync.OnceFunc(func() { close(f.stop); done.Wait() })
	accords := append([]*Accord(nil), f.accords...)
	go func() {
		defer done.Done()
		for tick := time.NewTicker(time.Millisecond); ; {
			select {
			case <-f.stop:
				tick.Stop()
				return
			case <-tick.C:
				f.sample(accords)
			}
		}
	}()
	t.Cleanup(func() {
		f.stopSampling()
		for _, a := range f.accords {
			if a != nil {
				a.Close()
			}
		}
	})
	return f
}

// sample checks whether two versions are allowed at once or the budget is overdrawn. All admissions
// are read before the time, so that one that has ended meanwhile is not counted.
func (f *fleet) sample(accords []*Accord) {
	var admissions []*admission
	for _, a := range accords {
		admissions = append(admissions, a.member.admission.Load())
	}
	sum := 0
	for _, a := range accords {
		sum += a.BudgetShare()
	}
	if sum > budgetPlan.Total {
		f.overdrawn.Add(1)
	}
	version := uint64(0)
	for i, allowed := range admissions {
		if now := accords[i].clock.now(); now >= allowed.AcceptUntil && now >= allowed.StartUntil {
			continue
		}
		if version != 0 && version != allowed.Version {
			f.mixedVersions.Add(1)
		}
		version = allowed.Version
	}
	f.samples.Add(1)
}

// budgetPlan is the budget that the fleet's leader lends.
var budgetPlan = budget.Plan{Name: "connections", Total: 60, MaxDispatchers: 8, ReserveShare: 0.2, Lease: 300 * time.Millisecond, Drift: 0.001}

// awaitFairShares waits until all dispatchers have their fair share of the budget less one unit.
func (f *fleet) awaitFairShares() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, a := range f.accords {
			if a.BudgetShare() < budgetPlan.Reserve()+budgetPlan.Pool()/len(f.accords)-1 {
				return false
			}
		}
		return true
	}, 20*time.Second, 5*time.Millisecond, "fair shares")
}

// startDispatcher starts or restarts the accord of dispatcher i.
func (f *fleet) startDispatcher(i int) {
	cfg := Config{Leases: f.leases, Name: fmt.Sprintf("n%d", i), Epoch: uint64(time.Now().UnixNano()), Voters: f.voters,
		CheckPolicy: func(body []byte) error {
			if f.refuser.Load() == int64(i) && bytes.Contains(body, []byte("odd")) {
				return fmt.Errorf("an unknown key")
			}
			return nil
		},
		ApplyPolicy: func(version uint64, _ []byte) error {
			f.mu.Lock()
			a := f.accords[i]
			f.mu.Unlock()
			if a != nil && a.MayStart(version) {
				f.usedEarly.Add(1)
			}
			return nil
		},
		BudgetPlan: func([]byte) (budget.Plan, bool) { return budgetPlan, true },
		Log:        zerolog.New(&f.log)}
	if i < len(f.voters) {
		cfg.DataDir, cfg.InitialPolicy = f.dataDirs[i], []byte("first")
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
	f.accords[i] = a
	f.mu.Unlock()
}

// awaitVersion waits until all dispatchers except the skipped ones accept requests under a version.
func (f *fleet) awaitVersion(version uint64, skip ...int) {
	f.t.Helper()
	skipped := map[int]bool{}
	for _, i := range skip {
		skipped[i] = true
	}
	require.Eventually(f.t, func() bool {
		for i, a := range f.accords {
			if v, _ := a.Current(); !skipped[i] && (v != version || !a.Serves()) {
				return false
			}
		}
		return true
	}, 20*time.Second, 5*time.Millisecond, "all at version %d", version)
}

// leader waits until a voter leads and returns its index.
func (f *fleet) leader() int {
	f.t.Helper()
	leader := -1
	require.Eventually(f.t, func() bool {
		for i, a := range f.accords[:3] {
			if a != nil {
				if leads, _ := a.voter.leadership(); leads {
					leader = i
				}
			}
		}
		return leader >= 0
	}, 20*time.Second, 5*time.Millisecond, "a leader")
	return leader
}

// TestFleetOverTCP runs three voters and three other members on loopback. The initial policy comes
// into force by itself. A policy that a member proposes comes into force everywhere. One that a
// member refuses is withdrawn, and the reason is logged. A member that is cut off stops accepting
// requests, does not block a change, and returns. The leader is closed while a change is under way:
// the change is decided under the next leader, and the closed voter starts again from its disk. In
// no sample two versions are allowed at once or the budget is overdrawn.
func TestFleetOverTCP(t *testing.T) {
	f := newFleet(t, 6)
	f.awaitVersion(1)
	f.awaitFairShares()
	require.NoError(t, f.accords[4].Propose([]byte("second")))
	f.awaitVersion(2)
	assert.True(t, f.log.contains(`"message":"accord: decided"`))

	f.refuser.Store(5)
	require.NoError(t, f.accords[3].Propose([]byte("odd")))
	require.Eventually(t, func() bool { return f.log.contains(`"who":"n5","why":"an unknown key"`) }, 10*time.Second, 5*time.Millisecond)
	f.refuser.Store(-1)
	f.awaitVersion(2)

	for _, r := range f.relays[5] { // n5 is cut off
		r.Set(faultnet.Rule{Blackhole: true})
	}
	require.NoError(t, f.accords[4].Propose([]byte("third")))
	f.awaitVersion(3, 5) // the others change the version without it
	assert.False(t, f.accords[5].Serves())
	_, _, ok := f.accords[5].Admit()
	assert.False(t, ok, "a member that is cut off accepts no request")
	assert.Positive(t, f.accords[5].Counters.RefusedReqs.Load())
	for _, r := range f.relays[5] {
		r.Set(faultnet.Rule{})
		r.Reset()
	}
	f.awaitVersion(3)

	closed := f.leader()
	require.NoError(t, f.accords[3].Propose([]byte("fourth")))
	f.accords[closed].Close()
	f.awaitVersion(4, closed) // the member repeats its proposal to the next leader
	f.stopSampling()
	f.startDispatcher(closed)
	f.awaitVersion(4)
	f.awaitFairShares()
	assert.Zero(t, f.overdrawn.Load(), "the budget was overdrawn")
	assert.Zero(t, f.mixedVersions.Load(), "samples with two versions at once, of %d", f.samples.Load())
	assert.Zero(t, f.usedEarly.Load(), "versions that could be used before they were applied")
	t.Logf("%d samples", f.samples.Load())
}

// TestUnknownConnectionsClosed checks that a connection whose first byte is unknown is closed, and that a member's
// connection is closed and counted after a message that cannot be decoded.
func TestUnknownConnectionsClosed(t *testing.T) {
	f := newFleet(t, 3)
	f.awaitVersion(1)
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
	assert.EqualValues(t, 2, f.accords[0].Counters.BadMessages.Load())
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

// TestAdmission checks that a request is admitted only before AcceptUntil and gets the version in force, that its
// attempts start only before StartUntil and under that version, that it is counted while it waits, and that a request
// admitted without a lease is counted as unleased.
func TestAdmission(t *testing.T) {
	a := &Accord{clock: clock{time.Now()}, cfg: Config{Leases: accord.LeaseConfig{Lease: 3 * time.Second}}}
	a.member = &member{accord: a, wakeup: make(chan struct{}, 1)}
	set := func(allowed accord.Admission) *admission {
		current := &admission{Admission: allowed, waiting: &atomic.Int64{}}
		a.member.admission.Store(current)
		return current
	}
	accepting := set(accord.Admission{Version: 7, AcceptUntil: accord.Never, StartUntil: accord.Never, UnleasedFrom: accord.Never})
	v, _, ok := a.Admit()
	assert.True(t, ok)
	assert.EqualValues(t, 7, v)
	assert.True(t, a.MayStart(7))
	assert.False(t, a.MayStart(6))
	assert.EqualValues(t, 1, accepting.waiting.Load())
	a.Started(6) // a request of an earlier version
	assert.EqualValues(t, 1, accepting.waiting.Load())
	a.Started(7)
	assert.Zero(t, accepting.waiting.Load())
	assert.Zero(t, a.Counters.UnleasedReqs.Load())

	stopped := set(accord.Admission{Version: 7, AcceptUntil: 0, StartUntil: accord.Never, UnleasedFrom: accord.Never})
	_, retryAfter, ok := a.Admit()
	assert.False(t, ok)
	assert.Equal(t, 500*time.Millisecond, retryAfter)
	assert.Zero(t, stopped.waiting.Load())
	assert.EqualValues(t, 1, a.Counters.RefusedReqs.Load())
	assert.True(t, a.MayStart(7), "accepted requests may start")
	assert.False(t, a.Serves())

	set(accord.Admission{Version: 7, AcceptUntil: accord.Never, StartUntil: 0, UnleasedFrom: 0})
	_, _, ok = a.Admit()
	assert.True(t, ok)
	assert.EqualValues(t, 1, a.Counters.UnleasedReqs.Load())
	assert.False(t, a.MayStart(7))
}

// BenchmarkTake measures what the accord costs each request: Admit, MayStart and Started.
func BenchmarkTake(b *testing.B) {
	participant, err := accord.NewParticipant(accord.LeaseConfig{Lease: time.Second}, "n0", 1)
	require.NoError(b, err)
	a := &Accord{clock: clock{time.Now()}}
	a.member = &member{accord: a, participant: participant, wakeup: make(chan struct{}, 1)}
	a.member.admission.Store(&admission{Admission: accord.Admission{Version: 1, AcceptUntil: accord.Never, StartUntil: accord.Never, UnleasedFrom: accord.Never}, waiting: &atomic.Int64{}})
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if v, _, ok := a.Admit(); !ok || !a.MayStart(v) {
				b.Error("not admitted")
			}
			a.Started(1)
		}
	})
}
