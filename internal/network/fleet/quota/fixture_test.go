package quota

import (
	"bytes"
	"fmt"
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

// logBuffer stores the log of a fleet.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.b.String(), text)
}

var regions = []string{"east", "west", "south"}

// fixture is a fleet in one process, with real sockets and files. The first three dispatchers are voters and run the lenders
// of the three regions. Dispatcher i is in region i%3. It reaches each other voter through a relay of its own, at which
// faults can be injected.
type fixture struct {
	t              *testing.T
	leases         quota.LeaseConfig
	regionLease    time.Duration
	initialPolicy  string
	voterAddresses []string          // where the voters listen
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

// member is one dispatcher that is up.
type member struct {
	accord        *accord.Accord
	quota         *Quota
	policy        policy.Policy // the newest policy, applied by start if quota did not exist yet
	policyVersion uint64
	started       atomic.Int64
	servedVersion atomic.Uint64 // the version applied at quota; as with the accord, no request is accepted while it is 0
}

// teamLoad counts the running requests of a team as its clients see them: from the callback that starts a request until just
// before the client releases it.
type teamLoad struct {
	running, maxRunning, violations, limit atomic.Int64 // violations: requests that started above the limit
}

func newFixture(t *testing.T, n int, regionLease time.Duration, initialPolicy string) *fixture {
	f := &fixture{t: t, leases: quota.LeaseConfig{Lease: 400 * time.Millisecond, MaxRunTime: 300 * time.Millisecond, Drift: 0.001},
		regionLease: regionLease, initialPolicy: initialPolicy,
		relays: make([][]*faultnet.TCP, n), members: make([]*member, n), stop: make(chan struct{}), teams: map[string]*teamLoad{}}
	for range regions {
		address, err := faultnet.FreeAddress()
		require.NoError(t, err)
		f.voterAddresses = append(f.voterAddresses, address)
		f.dataDirs = append(f.dataDirs, t.TempDir())
	}
	for i := range n {
		for _, address := range f.voterAddresses {
			relay, err := faultnet.ListenTCP(address)
			require.NoError(t, err)
			t.Cleanup(relay.Close)
			f.relays[i] = append(f.relays[i], relay)
		}
	}
	t.Cleanup(f.closeAll)
	for i := range n {
		f.start(i)
	}
	return f
}

// closeAll stops the clients, then all members.
func (f *fixture) closeAll() {
	if f.closed {
		return
	}
	f.closed = true
	close(f.stop)
	f.loads.Wait()
	for i := range f.members {
		f.close(i)
	}
}

func memberName(i int) string { return fmt.Sprintf("n%d", i) }

func (f *fixture) address(i, voter int) string {
	if i == voter {
		return f.voterAddresses[voter]
	}
	return f.relays[i][voter].Addr()
}

func (f *fixture) start(i int) {
	m := &member{}
	cfg := accord.Config{Leases: leases.LeaseConfig{Lease: 600 * time.Millisecond, Drift: 0.001, ContinueWhenCut: true},
		Name: memberName(i), Epoch: uint64(time.Now().UnixNano()),
		CheckPolicy: func([]byte) error { return nil },
		ApplyPolicy: func(version uint64, body []byte) error {
			p, err := policy.Read(body)
			f.mu.Lock()
			m.policy, m.policyVersion = p, version
			q := m.quota
			f.mu.Unlock()
			if q != nil {
				q.ApplyPolicy(p)
				m.servedVersion.Store(version)
			}
			return err
		},
		Log: zerolog.Nop()}
	quotaCfg := Config{Name: cfg.Name, Epoch: cfg.Epoch, Region: regions[i%3],
		Leases: f.leases, RegionLease: f.regionLease, Log: zerolog.New(&f.log)}
	for v := range f.voterAddresses {
		cfg.Voters = append(cfg.Voters, accord.Peer{Name: memberName(v), Address: f.address(i, v)})
		quotaCfg.Lenders = append(quotaCfg.Lenders, Lender{regions[v], memberName(v), f.address(i, v)})
	}
	if i < len(f.voterAddresses) {
		cfg.DataDir, cfg.InitialPolicy, cfg.Listen = f.dataDirs[i], []byte(f.initialPolicy), f.voterAddresses[i]
	}
	var err error
	m.accord, err = accord.New(cfg)
	require.NoError(f.t, err)
	q, err := New(quotaCfg, m.accord)
	require.NoError(f.t, err)
	f.mu.Lock()
	m.quota = q
	f.members[i] = m
	version := m.policyVersion
	f.mu.Unlock()
	if version > 0 {
		q.ApplyPolicy(m.policy)
		m.servedVersion.Store(m.policyVersion)
	}
}

func (f *fixture) close(i int) {
	f.mu.Lock()
	m := f.members[i]
	f.members[i] = nil
	f.mu.Unlock()
	if m != nil {
		m.quota.Close()
		m.accord.Close()
	}
}

func (f *fixture) member(i int) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[i]
}

func (f *fixture) team(name string) *teamLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.teams[name] == nil {
		f.teams[name] = &teamLoad{}
		f.teams[name].limit.Store(1 << 40)
	}
	return f.teams[name]
}

// startClient starts a client of a team at a dispatcher. It sends one request after another, and each runs for hold.
func (f *fixture) startClient(i int, team string, urgent bool, hold time.Duration) {
	load := f.team(team)
	f.loads.Go(func() {
		for {
			select {
			case <-f.stop:
				return
			default:
			}
			m := f.member(i)
			if m == nil || m.servedVersion.Load() == 0 {
				f.sleep(10 * time.Millisecond)
				continue
			}
			granted := make(chan bool, 1)
			release := m.quota.Acquire(team, urgent, time.Now().Add(time.Second), func(_ time.Time, _ time.Duration, ok bool) {
				if ok {
					m.started.Add(1)
					load.requestStarted()
				}
				granted <- ok
			})
			timeout := time.NewTimer(3 * time.Second) // a dispatcher that was closed meanwhile never calls back
			select {
			case ok := <-granted:
				if ok {
					f.sleep(hold)
					load.running.Add(-1)
				}
			case <-timeout.C:
			}
			timeout.Stop()
			release()
		}
	})
}

func (l *teamLoad) requestStarted() {
	n := l.running.Add(1)
	if n > l.limit.Load() {
		l.violations.Add(1)
	}
	for old := l.maxRunning.Load(); n > old && !l.maxRunning.CompareAndSwap(old, n); old = l.maxRunning.Load() {
	}
}

func (f *fixture) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.stop:
	case <-timer.C:
	}
}

// waitFor waits at most 30 s for a condition.
func (f *fixture) waitFor(what string, ok func() bool) {
	f.t.Helper()
	require.Eventually(f.t, ok, 30*time.Second, 2*time.Millisecond, what)
}

// setRule sets the rule of all relays for which selected returns true.
func (f *fixture) setRule(rule faultnet.Rule, selected func(from, voter int) bool) {
	for i, relays := range f.relays {
		for v, relay := range relays {
			if selected(i, v) {
				relay.Set(rule)
				if rule == faultnet.NoFaults { // bytes were lost, so the connections can't continue
					relay.Reset()
				}
			}
		}
	}
}

// crossesBorder selects the connections that leave a region or enter it.
func crossesBorder(region int) func(from, voter int) bool {
	return func(from, voter int) bool { return (from%3 == region) != (voter == region) }
}

// leader waits until a voter leads and returns it.
func (f *fixture) leader() (leader int) {
	f.waitFor("a leader", func() bool {
		for i := range f.voterAddresses {
			if m := f.member(i); m != nil {
				if _, ok := m.accord.LeaderTerm(); ok {
					leader = i
					return true
				}
			}
		}
		return false
	})
	return leader
}

// awaitPolicy waits until all members that are up, except the skipped ones, have applied a policy version.
func (f *fixture) awaitPolicy(version uint64, skip ...int) {
	f.waitFor(fmt.Sprintf("policy version %d is in force", version), func() bool {
		for i := range f.members {
			m := f.member(i)
			if m != nil && m.servedVersion.Load() < version && !contains(skip, i) {
				return false
			}
		}
		return true
	})
}

func contains(list []int, i int) bool {
	for _, n := range list {
		if n == i {
			return true
		}
	}
	return false
}

// rootOutstanding returns the units of an account that the root, at the leading voter, counts as lent.
func (f *fixture) rootOutstanding(account string) int {
	root := f.member(f.leader()).quota.voter.root
	root.mu.Lock()
	defer root.mu.Unlock()
	if !root.prepareLender() {
		return 1 << 30
	}
	return root.lender.Outstanding(root.voter.q.now(), account)
}

func (f *fixture) startedBy(selected func(i int) bool) (n int64) {
	for i := range f.members {
		if m := f.member(i); m != nil && selected(i) {
			n += m.started.Load()
		}
	}
	return n
}

func anyMember(int) bool { return true }

func inRegion(region int) func(int) bool { return func(i int) bool { return i%3 == region } }

// assertNoViolations checks that no team ever ran more requests than its limit.
func (f *fixture) assertNoViolations() {
	for name, load := range f.teams {
		assert.Zero(f.t, load.violations.Load(), "requests of %s started beyond its quota; max running: %d", name, load.maxRunning.Load())
		f.t.Logf("%s: at most %d running at once, limit %d", name, load.maxRunning.Load(), load.limit.Load())
	}
	f.t.Logf("%d requests started", f.startedBy(anyMember))
}

type memberList []*member

func (f *fixture) selectMembers(selected func(i int) bool) (out memberList) {
	for i := range f.members {
		if m := f.member(i); m != nil && selected(i) {
			out = append(out, m)
		}
	}
	return out
}

// held returns the units by which these dispatchers may start requests now.
func (l memberList) held() (n int64) {
	for _, m := range l {
		held, _, _ := m.quota.dispatcher.gauges()
		n += held
	}
	return n
}
