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

// logBuffer keeps what a fleet logs.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (j *logBuffer) Write(p []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.b.Write(p)
}

func (j *logBuffer) contains(text string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return strings.Contains(j.b.String(), text)
}

var regions = []string{"east", "west", "south"}

// fixture is a fleet in one process, on real sockets and disks: three voters that are the lenders of three regions, and
// further dispatchers, each in the region of its number. Each reaches each voter but itself through a relay of its own.
type fixture struct {
	t              *testing.T
	leases         quota.LeaseConfig
	regionLease    time.Duration
	initialPolicy  string
	voterAddresses []string          // where they listen
	relays         [][]*faultnet.TCP // by dispatcher and voter
	dataDirs       []string
	log            logBuffer
	stop           chan struct{}
	loads          sync.WaitGroup
	closed         bool

	mu      sync.Mutex
	members []*member
	teams   map[string]*teamLoad
}

// member is one dispatcher's part; nil fields where it is down.
type member struct {
	accord        *accord.Accord
	quota         *Quota
	policy        policy.Policy // entered before quota was there
	policyVersion uint64
	started       atomic.Int64
	servedVersion atomic.Uint64 // the version in force: before, no req is taken, as the accord has it
}

// teamLoad counts what runs of a team, as those that run it see it: from when they were told to begin to before they
// tell that they have ended.
type teamLoad struct {
	running, maxRunning, violations, limit atomic.Int64 // over: begins beyond the cap
}

func newFixture(t *testing.T, n int, region time.Duration, first string) *fixture {
	r := &fixture{t: t, leases: quota.LeaseConfig{Lease: 400 * time.Millisecond, MaxRunTime: 300 * time.Millisecond, Drift: 0.001}, regionLease: region, initialPolicy: first,
		relays: make([][]*faultnet.TCP, n), members: make([]*member, n), stop: make(chan struct{}), teams: map[string]*teamLoad{}}
	var held []net.Listener
	for range regions {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		held = append(held, l) // until the relays have other ports
		r.voterAddresses = append(r.voterAddresses, l.Addr().String())
		r.dataDirs = append(r.dataDirs, t.TempDir())
	}
	for i := range n {
		for _, at := range r.voterAddresses {
			relay, err := faultnet.ListenTCP(at)
			require.NoError(t, err)
			t.Cleanup(relay.Close)
			r.relays[i] = append(r.relays[i], relay)
		}
	}
	for _, l := range held {
		l.Close()
	}
	t.Cleanup(r.closeAll)
	for i := range n {
		r.start(i)
	}
	return r
}

// closeAll ends the loads, then all members.
func (r *fixture) closeAll() {
	if r.closed {
		return
	}
	r.closed = true
	close(r.stop)
	r.loads.Wait()
	for i := range r.members {
		r.close(i)
	}
}

func memberName(i int) string { return fmt.Sprintf("n%d", i) }

func (r *fixture) address(i, voter int) string {
	if i == voter {
		return r.voterAddresses[voter]
	}
	return r.relays[i][voter].Addr()
}

func (r *fixture) start(i int) {
	m := &member{}
	cfg := accord.Config{Leases: leases.LeaseConfig{Lease: 600 * time.Millisecond, Drift: 0.001, ContinueWhenCut: true}, Name: memberName(i), Epoch: uint64(time.Now().UnixNano()),
		CheckPolicy: func([]byte) error { return nil },
		ApplyPolicy: func(version uint64, body []byte) error {
			p, err := policy.Read(body)
			r.mu.Lock()
			m.policy, m.policyVersion = p, version
			q := m.quota
			r.mu.Unlock()
			if q != nil {
				q.ApplyPolicy(p)
				m.servedVersion.Store(version)
			}
			return err
		},
		Log: zerolog.Nop()}
	mine := Config{Name: cfg.Name, Epoch: cfg.Epoch, Region: regions[i%3], Leases: r.leases, RegionLease: r.regionLease, Log: zerolog.New(&r.log)}
	for v := range r.voterAddresses {
		cfg.Voters = append(cfg.Voters, accord.Peer{Name: memberName(v), Address: r.address(i, v)})
		mine.Lenders = append(mine.Lenders, Lender{regions[v], memberName(v), r.address(i, v)})
	}
	if i < len(r.voterAddresses) {
		cfg.DataDir, cfg.InitialPolicy, cfg.Listen = r.dataDirs[i], []byte(r.initialPolicy), r.voterAddresses[i]
	}
	var err error
	m.accord, err = accord.New(cfg)
	require.NoError(r.t, err)
	q, err := New(mine, m.accord)
	require.NoError(r.t, err)
	r.mu.Lock()
	m.quota = q
	r.members[i] = m
	entered := m.policyVersion
	r.mu.Unlock()
	if entered > 0 {
		q.ApplyPolicy(m.policy)
		m.servedVersion.Store(m.policyVersion)
	}
}

func (r *fixture) close(i int) {
	r.mu.Lock()
	m := r.members[i]
	r.members[i] = nil
	r.mu.Unlock()
	if m != nil {
		m.quota.Close()
		m.accord.Close()
	}
}

func (r *fixture) member(i int) *member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[i]
}

func (r *fixture) team(name string) *teamLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.teams[name] == nil {
		r.teams[name] = &teamLoad{}
		r.teams[name].limit.Store(1 << 40)
	}
	return r.teams[name]
}

// startClient has one client of a team at a dispatcher: reqs one after another, each held for a while.
func (r *fixture) startClient(i int, team string, urgent bool, hold time.Duration) {
	run := r.team(team)
	r.loads.Go(func() {
		for {
			select {
			case <-r.stop:
				return
			default:
			}
			m := r.member(i)
			if m == nil || m.servedVersion.Load() == 0 {
				r.sleep(10 * time.Millisecond)
				continue
			}
			said := make(chan bool, 1)
			leave := m.quota.Acquire(team, urgent, time.Now().Add(time.Second), func(_ time.Time, _ time.Duration, ok bool) {
				if ok {
					m.started.Add(1)
					run.requestStarted()
				}
				said <- ok
			})
			over := time.NewTimer(3 * time.Second) // of a dispatcher that was closed meanwhile
			select {
			case ok := <-said:
				if ok {
					r.sleep(hold)
					run.running.Add(-1)
				}
			case <-over.C:
			}
			over.Stop()
			leave()
		}
	})
}

func (r *teamLoad) requestStarted() {
	n := r.running.Add(1)
	if n > r.limit.Load() {
		r.violations.Add(1)
	}
	for most := r.maxRunning.Load(); n > most && !r.maxRunning.CompareAndSwap(most, n); most = r.maxRunning.Load() {
	}
}

func (r *fixture) sleep(d time.Duration) {
	over := time.NewTimer(d)
	defer over.Stop()
	select {
	case <-r.stop:
	case <-over.C:
	}
}

// waitFor waits for a condition.
func (r *fixture) waitFor(what string, ok func() bool) {
	r.t.Helper()
	require.Eventually(r.t, ok, 30*time.Second, 2*time.Millisecond, what)
}

// setRule sets the setRule of the links that pass between two dispatchers of which f says so.
func (r *fixture) setRule(rule faultnet.Rule, f func(from, voter int) bool) {
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

// crossesBorder says of one region whether a link leaves it or comes to it.
func crossesBorder(region int) func(from, voter int) bool {
	return func(from, voter int) bool { return (from%3 == region) != (voter == region) }
}

// leader is the voter that leads.
func (r *fixture) leader() (at int) {
	r.waitFor("a leader", func() bool {
		for i := range r.voterAddresses {
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

// awaitPolicy waits until all that are up, but those skipped, have entered a policy.
func (r *fixture) awaitPolicy(version uint64, skip ...int) {
	r.waitFor(fmt.Sprintf("version %d in force", version), func() bool {
		for i := range r.members {
			m := r.member(i)
			if m != nil && m.servedVersion.Load() < version && !contains(skip, i) {
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

// rootOutstanding is what the root counts as rootOutstanding of an account; it is asked of the voter that leads.
func (r *fixture) rootOutstanding(account string) int {
	root := r.member(r.leader()).quota.voter.root
	root.mu.Lock()
	defer root.mu.Unlock()
	if !root.prepareLender() {
		return 1 << 30
	}
	return root.lender.Outstanding(root.voter.q.now(), account)
}

func (r *fixture) startedBy(of func(i int) bool) (n int64) {
	for i := range r.members {
		if m := r.member(i); m != nil && of(i) {
			n += m.started.Load()
		}
	}
	return n
}

func anyMember(int) bool { return true }

func inRegion(region int) func(int) bool { return func(i int) bool { return i%3 == region } }

func (r *fixture) assertNoViolations() {
	for name, run := range r.teams {
		assert.Zero(r.t, run.violations.Load(), "begins of %s beyond its quota; most at once: %d", name, run.maxRunning.Load())
		r.t.Logf("%s: at most %d at once of %d", name, run.maxRunning.Load(), run.limit.Load())
	}
	r.t.Logf("%d reqs begun", r.startedBy(anyMember))
}

type memberList []*member

func (r *fixture) selectMembers(of func(i int) bool) (out memberList) {
	for i := range r.members {
		if m := r.member(i); m != nil && of(i) {
			out = append(out, m)
		}
	}
	return out
}

// held is the units that dispatchers may begin by now.
func (all memberList) held() (n int64) {
	for _, m := range all {
		held, _, _ := m.quota.dispatcher.gauges()
		n += held
	}
	return n
}
