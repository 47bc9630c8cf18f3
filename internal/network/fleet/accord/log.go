package accord

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/rs/zerolog"
	"go.etcd.io/bbolt"

	"tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/accord/wire"
)

// Of the log.
const (
	retainedSnapshots = 2
	maxSnapshotSize   = 1 << 20 // bytes of one that is read back
	lockTimeout       = 3 * time.Second
	maxPastPolicies   = 64 // policies remembered after the next was decided: 240 are changed in a day
)

// stateMachine applies the log's entries: raft.FSM.
type stateMachine struct {
	onDecided func(accord.Event) // called for each entry that decides, in the log's order

	mu           sync.Mutex
	state        accord.State
	decidedAt    time.Time    // when the last entry that decided was applied here
	pastPolicies []PastPolicy // oldest first
}

func (m *stateMachine) State() accord.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Apply takes an entry. One that cannot be read is another binary's: to pass over it would give the
// voters different states, so that this one must not go on.
func (m *stateMachine) Apply(l *raft.Log) any {
	d, err := wire.DecodeDecision(l.Data)
	if err != nil {
		panic(fmt.Sprintf("accord: entry %d of the log: %v", l.Index, err))
	}
	m.mu.Lock()
	was := m.state
	ok := m.state.Apply(d)
	if ok {
		m.decidedAt = time.Now()
		if was.Version > 0 {
			m.pastPolicies = append(m.pastPolicies[max(len(m.pastPolicies)+1-maxPastPolicies, 0):], PastPolicy{was.Body, m.decidedAt})
		}
	}
	m.mu.Unlock()
	if ok {
		m.onDecided(accord.Event{Step: "decided", Change: d.Change, Version: d.Version, Proposer: d.Proposer})
	}
	return ok
}

// Snapshot is the state as it is now.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	return snapshot(wire.EncodeState(m.State())), nil
}

// Restore takes a snapshot in place of all that was.
func (m *stateMachine) Restore(r io.ReadCloser) error {
	defer r.Close()
	p, err := io.ReadAll(io.LimitReader(r, maxSnapshotSize))
	if err != nil {
		return err
	}
	s, err := wire.DecodeState(p)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.state = s
	m.mu.Unlock()
	return nil
}

type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (snapshot) Release() {}

// raftLogWriter passes what the log's library has to tell on to ours.
type raftLogWriter struct{ log zerolog.Logger }

func (l raftLogWriter) Write(p []byte) (int, error) {
	l.log.Debug().Str("line", strings.TrimSpace(string(p))).Msg("accord: log")
	return len(p), nil
}

// majorityLog is the log and what it needs.
type majorityLog struct {
	raft          *raft.Raft
	machine       *stateMachine
	store         *termStore
	leaderChanges chan bool // leadership, each change of it
	isNew         bool      // there was no log in the folder
}

// openLog opens this voter's log in a folder and joins the others. The voters are those of the log's
// first entry, which all write alike from the settings; where the settings name others now, it is a fault.
func openLog(cfg *Config, me Peer, port *connMux, decided func(accord.Event)) (*majorityLog, error) {
	if err := os.MkdirAll(cfg.DataDir, 0o700); err != nil {
		return nil, err
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(me.Name)
	beat := min(max(cfg.Leases.Lease/3, 150*time.Millisecond), time.Second)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = beat, beat, beat/2
	c.CommitTimeout = 10 * time.Millisecond
	c.SnapshotThreshold, c.TrailingLogs = 64, 64
	c.Logger = hclog.New(&hclog.LoggerOptions{Name: "log", Level: hclog.Warn, Output: raftLogWriter{cfg.Log}})
	c.NoLegacyTelemetry = true
	m := &majorityLog{machine: &stateMachine{onDecided: decided}, leaderChanges: make(chan bool, 64)}
	c.NotifyCh = m.leaderChanges
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(cfg.DataDir, "log.db"), BoltOptions: &bbolt.Options{Timeout: lockTimeout}})
	if err != nil {
		return nil, fmt.Errorf("the log in %s: %w", cfg.DataDir, err)
	}
	m.store = &termStore{BoltStore: store, stable: store, log: cfg.Log}
	fail := func(err error) (*majorityLog, error) {
		m.store.Close()
		return nil, err
	}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(cfg.DataDir, retainedSnapshots, c.Logger)
	if err != nil {
		return fail(err)
	}
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: port, MaxPool: 3, Timeout: 2 * beat, Logger: c.Logger})
	var first raft.Configuration
	for _, p := range cfg.Voters {
		first.Servers = append(first.Servers, raft.Server{Suffrage: raft.Voter, ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Address)})
	}
	known, err := raft.HasExistingState(m.store, m.store, snaps)
	m.isNew = !known
	if err == nil && !known {
		err = raft.BootstrapCluster(c, m.store, m.store, snaps, transport, first)
	}
	if err != nil {
		return fail(err)
	}
	m.store.retryErrors.Store(true) // from here on an error would end the process
	if m.raft, err = raft.NewRaft(c, m.machine, m.store, m.store, snaps, transport); err != nil {
		return fail(err)
	}
	f := m.raft.GetConfiguration()
	if err = f.Error(); err == nil && !sameServers(f.Configuration(), first) {
		err = errors.New("the log in " + cfg.DataDir + " names other voters than the settings")
	}
	if err != nil {
		m.close()
		return nil, err
	}
	return m, nil
}

func sameServers(a, b raft.Configuration) bool {
	if len(a.Servers) != len(b.Servers) {
		return false
	}
	in := map[raft.Server]bool{}
	for _, s := range a.Servers {
		in[s] = true
	}
	for _, s := range b.Servers {
		if !in[s] {
			return false
		}
	}
	return true
}

// close ends the log. The library's goroutines are not waited for while one of them waits for a store that fails.
func (m *majorityLog) close() {
	ended := make(chan struct{})
	go func() {
		m.raft.Shutdown().Error()
		close(ended)
	}()
	tick := time.NewTicker(minStoreBackoff)
	defer tick.Stop()
	for waits := true; waits; {
		select {
		case <-ended:
			waits = false
		case <-tick.C:
			waits = !m.store.failing.Load()
		}
	}
	m.store.Close()
}
