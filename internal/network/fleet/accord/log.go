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
	snapshotsKept = 2
	maxSnapshot   = 1 << 20 // bytes of one that is read back
	lockWait      = 3 * time.Second
	pastKept      = 64 // policies remembered after the next was decided: 240 are changed in a day
)

// machine applies the log's entries: raft.FSM.
type machine struct {
	decided func(accord.Event) // called for each entry that decides, in the log's order

	mu    sync.Mutex
	state accord.State
	at    time.Time    // when the last entry that decided was applied here
	past  []PastPolicy // oldest first
}

func (m *machine) State() accord.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Apply takes an entry. One that cannot be read is another binary's: to pass over it would give the
// voters different states, so that this one must not go on.
func (m *machine) Apply(l *raft.Log) any {
	d, err := wire.DecodeDecision(l.Data)
	if err != nil {
		panic(fmt.Sprintf("accord: entry %d of the log: %v", l.Index, err))
	}
	m.mu.Lock()
	was := m.state
	ok := m.state.Apply(d)
	if ok {
		m.at = time.Now()
		if was.Version > 0 {
			m.past = append(m.past[max(len(m.past)+1-pastKept, 0):], PastPolicy{was.Body, m.at})
		}
	}
	m.mu.Unlock()
	if ok {
		m.decided(accord.Event{Step: "decided", Change: d.Change, Version: d.Version, Proposer: d.Proposer})
	}
	return ok
}

// Snapshot is the state as it is now.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	return snapshot(wire.EncodeState(m.State())), nil
}

// Restore takes a snapshot in place of all that was.
func (m *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	p, err := io.ReadAll(io.LimitReader(r, maxSnapshot))
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

// lines passes what the log's library has to tell on to ours.
type lines struct{ log zerolog.Logger }

func (l lines) Write(p []byte) (int, error) {
	l.log.Debug().Str("line", strings.TrimSpace(string(p))).Msg("accord: log")
	return len(p), nil
}

// majority is the log and what it needs.
type majority struct {
	raft    *raft.Raft
	machine *machine
	store   *terms
	turns   chan bool // leadership, each change of it
	begins  bool      // there was no log in the folder
}

// openLog opens this voter's log in a folder and joins the others. The voters are those of the log's
// first entry, which all write alike from the settings; where the settings name others now, it is a fault.
func openLog(cfg *Config, me Peer, port *port, decided func(accord.Event)) (*majority, error) {
	if err := os.MkdirAll(cfg.DataDir, 0o700); err != nil {
		return nil, err
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(me.Name)
	beat := min(max(cfg.Leases.Lease/3, 150*time.Millisecond), time.Second)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = beat, beat, beat/2
	c.CommitTimeout = 10 * time.Millisecond
	c.SnapshotThreshold, c.TrailingLogs = 64, 64
	c.Logger = hclog.New(&hclog.LoggerOptions{Name: "log", Level: hclog.Warn, Output: lines{cfg.Log}})
	c.NoLegacyTelemetry = true
	m := &majority{machine: &machine{decided: decided}, turns: make(chan bool, 64)}
	c.NotifyCh = m.turns
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(cfg.DataDir, "log.db"), BoltOptions: &bbolt.Options{Timeout: lockWait}})
	if err != nil {
		return nil, fmt.Errorf("the log in %s: %w", cfg.DataDir, err)
	}
	m.store = &terms{BoltStore: store, stable: store, log: cfg.Log}
	fail := func(err error) (*majority, error) {
		m.store.Close()
		return nil, err
	}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(cfg.DataDir, snapshotsKept, c.Logger)
	if err != nil {
		return fail(err)
	}
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: port, MaxPool: 3, Timeout: 2 * beat, Logger: c.Logger})
	var first raft.Configuration
	for _, p := range cfg.Voters {
		first.Servers = append(first.Servers, raft.Server{Suffrage: raft.Voter, ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Address)})
	}
	known, err := raft.HasExistingState(m.store, m.store, snaps)
	m.begins = !known
	if err == nil && !known {
		err = raft.BootstrapCluster(c, m.store, m.store, snaps, transport, first)
	}
	if err != nil {
		return fail(err)
	}
	m.store.patient.Store(true) // from here on an error would end the process
	if m.raft, err = raft.NewRaft(c, m.machine, m.store, m.store, snaps, transport); err != nil {
		return fail(err)
	}
	f := m.raft.GetConfiguration()
	if err = f.Error(); err == nil && !same(f.Configuration(), first) {
		err = errors.New("the log in " + cfg.DataDir + " names other voters than the settings")
	}
	if err != nil {
		m.close()
		return nil, err
	}
	return m, nil
}

func same(a, b raft.Configuration) bool {
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
func (m *majority) close() {
	ended := make(chan struct{})
	go func() {
		m.raft.Shutdown().Error()
		close(ended)
	}()
	tick := time.NewTicker(leastStorePause)
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
