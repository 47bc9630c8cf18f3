package accord

import (
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/accord/wire"
)

// TestDeposedLeaderAppendsNothing: a leader learns from a heartbeat that a later term has begun, while a decision is
// submitted to it. The entry must not get the later term: the leader of that term may have another entry at the same
// index, and the log takes entries of one index and term for equal, so that the voters would apply different decisions.
func TestDeposedLeaderAppendsNothing(t *testing.T) {
	f := newFleet(t, 3)
	f.awaitVersion(1)
	leader := f.leader()
	voter, sender := f.accords[leader].voter, f.voters[(leader+1)%len(f.voters)]
	term, before := voter.log.raft.CurrentTerm(), voter.log.raft.LastIndex()

	mux, err := newConnMux("127.0.0.1:0", sender.Address, nil)
	require.NoError(t, err)
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: mux, MaxPool: 1, Timeout: 5 * time.Second, Logger: hclog.NewNullLogger()})
	defer transport.Close()
	heartbeat := raft.AppendEntriesRequest{Term: term + 1, RPCHeader: raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax,
		ID: []byte(sender.Name), Addr: transport.EncodePeer(raft.ServerID(sender.Name), raft.ServerAddress(sender.Address))}}
	to := f.voters[leader]
	require.NoError(t, transport.AppendEntries(raft.ServerID(to.Name), raft.ServerAddress(to.Address), &heartbeat, &raft.AppendEntriesResponse{}))
	decision := accord.Decision{Change: term<<16 | 99, Proposal: accord.ProposalBit | 99, Version: 2, Proposer: to.Name, Body: []byte("late")}
	assert.Error(t, voter.log.raft.Apply(wire.EncodeDecision(decision), 0).Error(), "a decision submitted to a deposed leader")

	for i := before + 1; i <= voter.log.raft.LastIndex(); i++ {
		var entry raft.Log
		require.NoError(t, voter.log.store.GetLog(i, &entry))
		assert.NotEqual(t, wire.EncodeDecision(decision), entry.Data, "entry %d of term %d, in which no voter was elected", entry.Index, entry.Term)
	}
}

// TestFailedDecisionEndsLeadership: a leader whose decision cannot be appended to the log is dropped, and that is
// logged once, as for a leader that is dropped because its term has ended.
func TestFailedDecisionEndsLeadership(t *testing.T) {
	var buffer logBuffer
	voters := []Peer{{"n0", "127.0.0.1:0"}, {"n1", "127.0.0.1:1"}, {"n2", "127.0.0.1:2"}}
	leases := accord.LeaseConfig{Lease: time.Second}
	v := &voter{accord: &Accord{cfg: Config{Name: "n0", Leases: leases, Voters: voters, DataDir: t.TempDir(), Log: zerolog.New(&buffer)}}, leaderTerm: 3}
	mux, err := newConnMux(voters[0].Address, voters[0].Address, nil)
	require.NoError(t, err)
	defer mux.Close()
	v.log, err = openLog(&v.accord.cfg, voters[0], mux, func(accord.Event) {})
	require.NoError(t, err)
	defer v.log.close()
	leader, err := accord.NewLeader(leases, 3, 0, accord.State{})
	require.NoError(t, err)
	v.leader = leader
	v.submit(leader, accord.Decision{Version: 1}) // fails, as no other voter runs and this one is not elected
	assert.Nil(t, v.leader)
	v.stopLeading()
	assert.Equal(t, 1, strings.Count(buffer.text(), "accord: leads no more"))
}
