package accord

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestVoterQueries: what other parts of the fleet are told by a voter that leads, by one that does not, and by a dispatcher
// that is none; a term that is not led any more is not confirmed.
func TestVoterQueries(t *testing.T) {
	f := newFleet(t, 4)
	f.awaitVersion(1)
	at := f.leader()
	leader, other, none := f.accords[at], f.accords[(at+1)%3], f.accords[3]
	term, ok := leader.LeaderTerm()
	assert.True(t, ok)
	assert.True(t, leader.ConfirmLeader(term))
	assert.False(t, leader.ConfirmLeader(term+1))
	assert.False(t, other.ConfirmLeader(term))
	_, ok = other.LeaderTerm()
	assert.False(t, ok)
	assert.Equal(t, leader.cfg.Name, other.Leader())
	assert.Equal(t, f.voters[at].Address, leader.VoterAddress(other.Leader()))
	assert.Empty(t, other.VoterAddress("nobody"))
	assert.True(t, other.NewLog())

	require.NoError(t, none.Propose([]byte("second")))
	f.awaitVersion(2)
	version, body := leader.Decided()
	assert.EqualValues(t, 2, version)
	assert.Equal(t, "second", string(body))
	require.Eventually(t, func() bool { v, _ := other.Decided(); return v == 2 }, 20*time.Second, 5*time.Millisecond)
	past := other.PastPolicies()
	require.Len(t, past, 1)
	assert.Equal(t, "first", string(past[0].Body))

	assert.False(t, none.IsVoter())
	_, ok = none.LeaderTerm()
	assert.False(t, ok || none.ConfirmLeader(term) || none.NewLog())
	version, _ = none.Decided()
	assert.Zero(t, version)
	assert.Empty(t, none.Leader()+none.VoterAddress(""))
	assert.Empty(t, none.PastPolicies())

	leader.Close()
	f.accords[at] = nil
	assert.False(t, leader.ConfirmLeader(term))
	f.stopSampling()
	f.startDispatcher(at)
	assert.False(t, f.accords[at].NewLog())
	assert.Equal(t, f.accords[at].cfg.Voters, f.voters)
}

// TestQuotaConnections: a connection that is marked as one of the quotas is closed, unless they took it over.
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
	ended := func(conn net.Conn) (said string) {
		p, err := io.ReadAll(conn)
		if err != nil {
			assert.ErrorContains(t, err, "reset")
		}
		return string(p)
	}
	assert.Empty(t, ended(dial()))
	f.accords[0].SetQuotaHandler(func(conn net.Conn) {
		p := make([]byte, 1)
		_, _ = io.ReadFull(conn, p)
		_, _ = conn.Write(append(p, 'y'))
	})
	assert.Equal(t, "xy", ended(dial()))
	f.accords[0].SetQuotaHandler(nil)
	assert.Empty(t, ended(dial()))
}
