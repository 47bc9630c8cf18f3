package accord

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestVoterQueries checks the methods of voterquery.go at the voter that leads, at one that does not, and at a
// dispatcher that is not a voter. A term in which the voter no longer leads is not confirmed.
func TestVoterQueries(t *testing.T) {
	f := newFleet(t, 4)
	f.awaitVersion(1)
	at := f.leader()
	leader, follower, nonVoter := f.accords[at], f.accords[(at+1)%3], f.accords[3]
	term, ok := leader.LeaderTerm()
	assert.True(t, ok)
	assert.True(t, leader.ConfirmLeader(term))
	assert.False(t, leader.ConfirmLeader(term+1))
	assert.False(t, follower.ConfirmLeader(term))
	_, ok = follower.LeaderTerm()
	assert.False(t, ok)
	assert.Equal(t, leader.cfg.Name, follower.Leader())
	assert.Equal(t, f.voters[at].Address, leader.VoterAddress(follower.Leader()))
	assert.Empty(t, follower.VoterAddress("nobody"))
	assert.True(t, follower.NewLog())

	require.NoError(t, nonVoter.Propose([]byte("second")))
	f.awaitVersion(2)
	version, body := leader.Decided()
	assert.EqualValues(t, 2, version)
	assert.Equal(t, "second", string(body))
	require.Eventually(t, func() bool { v, _ := follower.Decided(); return v == 2 }, 20*time.Second, 5*time.Millisecond)
	past := follower.PastPolicies()
	require.Len(t, past, 1)
	assert.Equal(t, "first", string(past[0].Body))

	assert.False(t, nonVoter.IsVoter())
	_, ok = nonVoter.LeaderTerm()
	assert.False(t, ok || nonVoter.ConfirmLeader(term) || nonVoter.NewLog())
	version, _ = nonVoter.Decided()
	assert.Zero(t, version)
	assert.Empty(t, nonVoter.Leader()+nonVoter.VoterAddress(""))
	assert.Empty(t, nonVoter.PastPolicies())

	leader.Close()
	f.accords[at] = nil
	assert.False(t, leader.ConfirmLeader(term))
	f.stopSampling()
	f.startDispatcher(at)
	assert.False(t, f.accords[at].NewLog())
	assert.Equal(t, f.accords[at].cfg.Voters, f.voters)
}

// TestQuotaConnections checks that a connection of the quotas is served by the handler that is set, and closed if none
// is set.
func TestQuotaConnections(t *testing.T) {
	f := newFleet(t, 3)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", f.voters[0].Address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		_, err = conn.Write([]byte{QuotaConn, 'x'})
		require.NoError(t, err)
		return conn
	}
	readAll := func(conn net.Conn) (received string) {
		p, err := io.ReadAll(conn)
		if err != nil {
			assert.ErrorContains(t, err, "reset")
		}
		return string(p)
	}
	assert.Empty(t, readAll(dial()))
	f.accords[0].SetQuotaHandler(func(conn net.Conn) {
		p := make([]byte, 1)
		_, _ = io.ReadFull(conn, p)
		_, _ = conn.Write(append(p, 'y'))
	})
	assert.Equal(t, "xy", readAll(dial()))
	f.accords[0].SetQuotaHandler(nil)
	assert.Empty(t, readAll(dial()))
}
