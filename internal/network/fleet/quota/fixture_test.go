package quota

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/faultnet"
	leases "tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/policy"
	"tinsail/internal/fleet/quota"
	"tinsail/internal/network/fleet/accord"
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

var regions = []string{"east", "west", "south"}

// rig is a fleet in one process, on real sockets and disks: three voters that are the lenders of three regions, and
// further dispatchers, each in the region of its number. Each reaches each voter but itself through a relay of its own.
type rig struct {
	t      *testing.T
	plan   quota.LeaseConfig
	region time.Duration
	first  string
	voters []string          // where they listen
	relays [][]*faultnet.TCP // by dispatcher and voter
	data   []string
	log    journal
	stop   chan struct{}
	loads  sync.WaitGroup
	ended  bool

	mu   sync.Mutex
	all  []*member
	runs map[string]*running
}

// member is one dispatcher's part; nil fields where it is down.
type member struct {
	accord  *accord.Accord
	quota   *Quota
	policy  policy.Policy // entered before quota was there
	entered uint64
	begun   atomic.Int64
	serves  atomic.Uint64 // the version in force: before, no req is taken, as the accord has it
}

// running counts what runs of a team, as those that run it see it: from when they were told to begin to before they
// tell that they have ended.
type running struct {
	now, most, over, cap atomic.Int64 // over: begins beyond the cap
}

func newRig(t *testing.T, n int, region time.Duration, first string) *rig {
	r := &rig{t: t, plan: quota.LeaseConfig{Lease: 400 * time.Millisecond, MaxRunTime: 300 * time.Millisecond, Drift: 0.001}, region: region, first: first,
		relays: make([][]*faultnet.TCP, n), all: make([]*member, n), stop: make(chan struct{}), runs: map[string]*running{}}
	var held []net.Listener
	for range regions {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		held = append(held, l) // until the relays have other ports
		r.voters = append(r.voters, l.Addr().String())
		r.data = append(r.data, t.TempDir())
	}
	for i := range n {
		for _, at := range r.voters {
			relay, err := faultnet.ListenTCP(at)
			require.NoError(t, err)
			t.Cleanup(relay.Close)
			r.relays[i] = append(r.relays[i], relay)
		}
	}
	for _, l := range held {
		l.Close()
	}
	t.Cleanup(r.end)
	for i := range n {
		r.start(i)
	}
	return r
}

// end ends the loads, then all members.
func (r *rig) end() {
	if r.ended {
		return
	}
	r.ended = true
	close(r.stop)
	r.loads.Wait()
	for i := range r.all {
		r.close(i)
	}
}

func named(i int) string { return fmt.Sprintf("n%d", i) }

func (r *rig) address(i, voter int) string {
	if i == voter {
		return r.voters[voter]
	}
	return r.relays[i][voter].Addr()
}

func (r *rig) start(i int) {
	m := &member{}
	cfg := accord.Config{Leases: leases.LeaseConfig{Lease: 600 * time.Millisecond, Drift: 0.001, ContinueWhenCut: true}, Name: named(i), Epoch: uint64(time.Now().UnixNano()),
		CheckPolicy: func([]byte) error { return nil },
		ApplyPolicy: func(version uint64, body []byte) error {
			p, err := policy.Read(body)
			r.mu.Lock()
			m.policy, m.entered = p, version
			q := m.quota
			r.mu.Unlock()
			if q != nil {
				q.ApplyPolicy(p)
				m.serves.Store(version)
			}
			return err
		},
		Log: zerolog.Nop()}
	mine := Config{Name: cfg.Name, Epoch: cfg.Epoch, Region: regions[i%3], Leases: r.plan, RegionLease: r.region, Log: zerolog.New(&r.log)}
	for v := range r.voters {
		cfg.Voters = append(cfg.Voters, accord.Peer{Name: named(v), Address: r.address(i, v)})
		mine.Lenders = append(mine.Lenders, Lender{regions[v], named(v), r.address(i, v)})
	}
	if i < len(r.voters) {
		cfg.DataDir, cfg.InitialPolicy, cfg.Listen = r.data[i], []byte(r.first), r.voters[i]
	}
	var err error
	m.accord, err = accord.New(cfg)
	require.NoError(r.t, err)
	q, err := New(mine, m.accord)
	require.NoError(r.t, err)
	r.mu.Lock()
	m.quota = q
	r.all[i] = m
	entered := m.entered
	r.mu.Unlock()
	if entered > 0 {
		q.ApplyPolicy(m.policy)
		m.serves.Store(m.entered)
	}
}

func (r *rig) close(i int) {
	r.mu.Lock()
	m := r.all[i]
	r.all[i] = nil
	r.mu.Unlock()
	if m != nil {
		m.quota.Close()
		m.accord.Close()
	}
}

func (r *rig) member(i int) *member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all[i]
}

func (r *rig) team(name string) *running {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[name] == nil {
		r.runs[name] = &running{}
		r.runs[name].cap.Store(1 << 40)
	}
	return r.runs[name]
}

// load has one client of a team at a dispatcher: reqs one after another, each held for a while.
func (r *rig) load(i int, team string, urgent bool, hold time.Duration) {
	run := r.team(team)
	r.loads.Go(func() {
		for {
			select {
			case <-r.stop:
				return
			default:
			}
			m := r.member(i)
			if m == nil || m.serves.Load() == 0 {
				r.pause(10 * time.Millisecond)
				continue
			}
			said := make(chan bool, 1)
			leave := m.quota.Acquire(team, urgent, time.Now().Add(time.Second), func(_ time.Time, _ time.Duration, ok bool) {
				if ok {
					m.begun.Add(1)
					run.begin()
				}
				said <- ok
			})
			over := time.NewTimer(3 * time.Second) // of a dispatcher that was closed meanwhile
			select {
			case ok := <-said:
				if ok {
					r.pause(hold)
					run.now.Add(-1)
				}
			case <-over.C:
			}
			over.Stop()
			leave()
		}
	})
}

func (r *running) begin() {
	n := r.now.Add(1)
	if n > r.cap.Load() {
		r.over.Add(1)
	}
	for most := r.most.Load(); n > most && !r.most.CompareAndSwap(most, n); most = r.most.Load() {
	}
}

func (r *rig) pause(d time.Duration) {
	over := time.NewTimer(d)
	defer over.Stop()
	select {
	case <-r.stop:
	case <-over.C:
	}
}

// until waits for a condition.
func (r *rig) until(what string, ok func() bool) {
	r.t.Helper()
	require.Eventually(r.t, ok, 30*time.Second, 2*time.Millisecond, what)
}

// rule sets the rule of the links that pass between two dispatchers of which f says so.
func (r *rig) rule(rule faultnet.Rule, f func(from, voter int) bool) {
	for i, all := range r.relays {
		for v, relay := range all {
			if f(i, v) {
				relay.Set(rule)
				if rule == faultnet.Pass { // bytes were swallowed
					relay.Reset()
				}
			}
		}
	}
}

// across says of one region whether a link leaves it or comes to it.
func across(region int) func(from, voter int) bool {
	return func(from, voter int) bool { return (from%3 == region) != (voter == region) }
}

// leader is the voter that leads.
func (r *rig) leader() (at int) {
	r.until("a leader", func() bool {
		for i := range r.voters {
			if m := r.member(i); m != nil {
				if _, ok := m.accord.LeaderTerm(); ok {
					at = i
					return true
				}
			}
		}
		return false
	})
	return at
}

// inForce waits until all that are up, but those skipped, have entered a policy.
func (r *rig) inForce(version uint64, skip ...int) {
	r.until(fmt.Sprintf("version %d in force", version), func() bool {
		for i := range r.all {
			m := r.member(i)
			if m != nil && m.serves.Load() < version && !contains(skip, i) {
				return false
			}
		}
		return true
	})
}

func contains(all []int, i int) bool {
	for _, a := range all {
		if a == i {
			return true
		}
	}
	return false
}

// lent is what the root counts as lent of an account; it is asked of the voter that leads.
func (r *rig) lent(account string) int {
	root := r.member(r.leader()).quota.votes.root
	root.mu.Lock()
	defer root.mu.Unlock()
	if !root.leads() {
		return 1 << 30
	}
	return root.lender.Outstanding(root.v.q.now(), account)
}

func (r *rig) begun(of func(i int) bool) (n int64) {
	for i := range r.all {
		if m := r.member(i); m != nil && of(i) {
			n += m.begun.Load()
		}
	}
	return n
}

func every(int) bool { return true }

func in(region int) func(int) bool { return func(i int) bool { return i%3 == region } }

func (r *rig) neverOver() {
	for name, run := range r.runs {
		assert.Zero(r.t, run.over.Load(), "begins of %s beyond its quota; most at once: %d", name, run.most.Load())
		r.t.Logf("%s: at most %d at once of %d", name, run.most.Load(), run.cap.Load())
	}
	r.t.Logf("%d reqs begun", r.begun(every))
}

type members []*member

func (r *rig) members(of func(i int) bool) (out members) {
	for i := range r.all {
		if m := r.member(i); m != nil && of(i) {
			out = append(out, m)
		}
	}
	return out
}

// held is the units that dispatchers may begin by now.
func (all members) held() (n int64) {
	for _, m := range all {
		held, _, _ := m.quota.desk.levels()
		n += held
	}
	return n
}
