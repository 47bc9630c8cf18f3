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

// Limits of the log.
const (
	retainedSnapshots = 2
	maxSnapshotSize   = 1 << 20         // bytes of a snapshot that are read back
	lockTimeout       = 3 * time.Second // for the lock of the log's file
	maxPastPolicies   = 64              // policies remembered after their successor was decided; at 240 changes a day
)

// stateMachine applies the log's entries. It implements raft.FSM.
type stateMachine struct {
	onDecided func(accord.Event) // called in the log's order for each entry that decides a change

	mu           sync.Mutex
	state        accord.State
	decidedAt    time.Time    // when the last entry that decided a change was applied here
	pastPolicies []PastPolicy // oldest first
}

// State returns the state after the entries applied so far.
func (m *stateMachine) State() accord.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Apply applies an entry. An entry that cannot be decoded comes from another binary. Skipping it
// would give the voters different states, so the process must end.
func (m *stateMachine) Apply(l *raft.Log) any {
	d, err := wire.DecodeDecision(l.Data)
	if err != nil {
		panic(fmt.Sprintf("accord: entry %d of the log: %v", l.Index, err))
	}
	m.mu.Lock()
	previous := m.state
	ok := m.state.Apply(d)
	if ok {
		m.decidedAt = time.Now()
		if previous.Version > 0 {
			m.pastPolicies = append(m.pastPolicies[max(len(m.pastPolicies)+1-maxPastPolicies, 0):], PastPolicy{previous.Body, m.decidedAt})
		}
	}
	m.mu.Unlock()
	if ok {
		m.onDecided(accord.Event{Step: "decided", Change: d.Change, Version: d.Version, Proposer: d.Proposer})
	}
	return ok
}

// Snapshot returns a snapshot of the current state.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	return snapshot(wire.EncodeState(m.State())), nil
}

// Restore replaces the state by that of a snapshot.
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

// snapshot is an encoded state. It implements raft.FSMSnapshot.
type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (snapshot) Release() {}

// raftLogWriter writes the log lines of the Raft library to the process's log.
type raftLogWriter struct{ log zerolog.Logger }

func (w raftLogWriter) Write(p []byte) (int, error) {
	w.log.Debug().Str("line", strings.TrimSpace(string(p))).Msg("accord: Raft library")
	return len(p), nil
}

// majorityLog is a voter's replica of the majority log.
type majorityLog struct {
	raft          *raft.Raft
	machine       *stateMachine
	store         *termStore
	leaderChanges chan bool // true when this voter becomes the leader, false when it no longer is
	isNew         bool      // the directory held no log
}

// openLog opens this voter's log in the data directory and joins the other voters. The log's first
// entry names the voters; every voter writes the same one from its settings. If the settings name
// other voters later, openLog fails.
func openLog(cfg *Config, self Peer, mux *connMux, onDecided func(accord.Event)) (*majorityLog, error) {
	if err := os.MkdirAll(cfg.DataDir, 0o700); err != nil {
		return nil, err
	}
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(self.Name)
	timeout := min(max(cfg.Leases.Lease/3, 150*time.Millisecond), time.Second)
	config.HeartbeatTimeout, config.ElectionTimeout, config.LeaderLeaseTimeout = timeout, timeout, timeout/2
	config.CommitTimeout = 10 * time.Millisecond
	config.SnapshotThreshold, config.TrailingLogs = 64, 64
	config.Logger = hclog.New(&hclog.LoggerOptions{Name: "log", Level: hclog.Warn, Output: raftLogWriter{cfg.Log}})
	config.NoLegacyTelemetry = true
	m := &majorityLog{machine: &stateMachine{onDecided: onDecided}, leaderChanges: make(chan bool, 64)}
	config.NotifyCh = m.leaderChanges
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(cfg.DataDir, "log.db"), BoltOptions: &bbolt.Options{Timeout: lockTimeout}})
	if err != nil {
		return nil, fmt.Errorf("the log in %s: %w", cfg.DataDir, err)
	}
	m.store = &termStore{BoltStore: store, stable: store, log: cfg.Log}
	fail := func(err error) (*majorityLog, error) {
		m.store.Close()
		return nil, err
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(cfg.DataDir, retainedSnapshots, config.Logger)
	if err != nil {
		return fail(err)
	}
	transport := raftTransport{raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: mux, MaxPool: 3, Timeout: 2 * timeout, Logger: config.Logger})}
	var voters raft.Configuration
	for _, p := range cfg.Voters {
		voters.Servers = append(voters.Servers, raft.Server{Suffrage: raft.Voter, ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Address)})
	}
	exists, err := raft.HasExistingState(m.store, m.store, snapshots)
	m.isNew = !exists
	if err == nil && !exists {
		err = raft.BootstrapCluster(config, m.store, m.store, snapshots, transport, voters)
	}
	if err != nil {
		return fail(err)
	}
	m.store.retryErrors.Store(true) // from here on the library ends the process on an error of the store
	if m.raft, err = raft.NewRaft(config, m.machine, m.store, m.store, snapshots, transport); err != nil {
		return fail(err)
	}
	stored := m.raft.GetConfiguration()
	if err = stored.Error(); err == nil && !sameServers(stored.Configuration(), voters) {
		err = errors.New("the log in " + cfg.DataDir + " names other voters than the settings")
	}
	if err != nil {
		m.close()
		return nil, err
	}
	return m, nil
}

// sameServers reports whether two configurations have the same servers, in any order.
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

// close shuts the log down. It waits for the library's goroutines, but not while the store fails:
// one of them is then waiting for the store.
func (m *majorityLog) close() {
	ended := make(chan struct{})
	go func() {
		m.raft.Shutdown().Error()
		close(ended)
	}()
	tick := time.NewTicker(minStoreBackoff)
	defer tick.Stop()
	for waiting := true; waiting; {
		select {
		case <-ended:
			waiting = false
		case <-tick.C:
			waiting = !m.store.failing.Load()
		}
	}
	m.store.Close()
}
