package quota

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/fleet/frames"
	"tinsail/internal/fleet/quota"
	"tinsail/internal/fleet/quota/wire"
	"tinsail/internal/network/fleet/accord"
)

// dial makes a link to a voter as a holder does.
func (r *fixture) dial(voter int) net.Conn {
	conn, err := net.Dial("tcp", r.voterAddresses[voter])
	require.NoError(r.t, err)
	r.t.Cleanup(func() { conn.Close() })
	_, err = conn.Write([]byte{accord.QuotaConn})
	require.NoError(r.t, err)
	return conn
}

func requestFrame(to, child string, seq uint64) []byte {
	return frames.Frame(wire.EncodeLeaseRequest(wire.LeaseRequest{To: to, LeaseRequest: quota.LeaseRequest{Child: child, Epoch: 1, Seq: seq, Full: true}}))
}

// awaitClose reads until the link is awaitClose.
func awaitClose(t *testing.T, conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.ReadAll(conn); err != nil {
		assert.ErrorContains(t, err, "reset")
	}
}

// TestBadMessageClosesConnection: what is no message, none of a holder, or an ask by another name than the link's first, ends the link
// and is counted.
func TestBadMessageClosesConnection(t *testing.T) {
	r := newFixture(t, 3, 4*time.Second, `{"run_ms":300,"quotas":{"a":1}}`)
	r.awaitPolicy(1)
	q := r.member(0).quota
	for i, p := range [][]byte{
		[]byte("\x00\x00\x00\x02{}"),
		[]byte("\xff\xff\xff\xff"),
		frames.Frame(wire.EncodePoll("east")),
		frames.Frame(wire.EncodeLeaseResponse(wire.LeaseResponse{From: "east", LeaseResponse: quota.LeaseResponse{Child: "x"}})),
		append(requestFrame("east", "x", 1), requestFrame("east", "y", 2)...),
		append(requestFrame("east", "x", 3), requestFrame("west", "x", 4)...),
	} {
		conn := r.dial(0)
		_, err := conn.Write(p)
		require.NoError(t, err)
		awaitClose(t, conn)
		assert.EqualValues(t, i+1, q.Counters.BadMessages.Load(), "message %d", i)
	}
}

// TestRedirect: an ask for a region's lender that is not here, or for the root at a voter that does not lead, is told
// so; a child that is no region gets nothing from the root.
func TestRedirect(t *testing.T) {
	r := newFixture(t, 3, 4*time.Second, `{"run_ms":300,"quotas":{"a":1}}`)
	r.awaitPolicy(1)
	leader := r.leader()
	hear := func(voter int, p []byte) wire.Message {
		conn := r.dial(voter)
		_, err := conn.Write(p)
		require.NoError(t, err)
		conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		m, err := wire.ReadMessage(conn)
		require.NoError(t, err)
		return m
	}
	assert.Equal(t, &wire.Redirect{From: "west"}, hear(0, requestFrame("west", "x", 1)).Redirect)
	assert.Equal(t, &wire.Redirect{From: "", Leader: memberName(leader)}, hear((leader+1)%3, requestFrame("", "north", 1)).Redirect)
	conn := r.dial(leader)
	_, err := conn.Write(requestFrame("", "north", 1))
	require.NoError(t, err)
	awaitClose(t, conn)
	assert.EqualValues(t, 1, r.member(leader).quota.Counters.BadMessages.Load())
}

// TestTooManyRequestsCloseConnection: a link on which more asks come than any holder sends is closed, and counted.
func TestTooManyRequestsCloseConnection(t *testing.T) {
	r := newFixture(t, 3, 4*time.Second, `{"run_ms":300,"quotas":{"a":1}}`)
	r.awaitPolicy(1)
	conn := r.dial(0)
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	var err error
	for seq := uint64(1); err == nil && seq < 1_000_000; seq++ {
		_, err = conn.Write(requestFrame("east", "x", seq))
	}
	assert.Error(t, err, "it was closed")
	var late net.Error
	assert.False(t, errors.As(err, &late) && late.Timeout())
	r.waitFor("counted", func() bool { return r.member(0).quota.Counters.Overloads.Load() == 1 })
}

// TestSlowReaderIsClosed: a link that takes no answers is closed, and holds up nobody.
func TestSlowReaderIsClosed(t *testing.T) {
	q := &Quota{cfg: Config{Leases: quota.LeaseConfig{Lease: time.Second}}, origin: time.Now()}
	near, far := net.Pipe()
	defer near.Close()
	l := &childConn{voter: &voter{q: q}, conn: far, queue: make(chan []byte, maxQueuedMessages)}
	for range maxQueuedMessages / 2 {
		l.poll()
	}
	l.poll()
	assert.Len(t, l.queue, maxQueuedMessages/2, "a nudge is a hint")
	for range maxQueuedMessages / 2 {
		l.redirect("")
	}
	assert.Zero(t, q.Counters.Overloads.Load())
	l.redirect("")
	assert.EqualValues(t, 1, q.Counters.Overloads.Load())
	_, err := near.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// TestNewRejectsBadConfig: what a configuration lacks is said.
func TestNewRejectsBadConfig(t *testing.T) {
	plan := quota.LeaseConfig{Lease: time.Second, MaxRunTime: time.Second}
	for says, cfg := range map[string]Config{
		"lease":              {},
		"shorter":            {Leases: plan, RegionLease: 500 * time.Millisecond},
		`no lender is named`: {Leases: plan, RegionLease: 4 * time.Second, Region: "east", Lenders: []Lender{{"west", "n0", "127.0.0.1:1"}}},
		"n0 is a lender and no voter": {Name: "n0", Leases: plan, RegionLease: 4 * time.Second, Region: "west",
			Lenders: []Lender{{"west", "n0", "127.0.0.1:1"}}},
	} {
		_, err := New(cfg, &accord.Accord{})
		assert.ErrorContains(t, err, says)
	}
	_, err := New(Config{}, nil)
	assert.ErrorContains(t, err, "no accord")
}
