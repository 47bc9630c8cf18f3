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

// dial connects to a voter as a holder does.
func (f *fixture) dial(voter int) net.Conn {
	conn, err := net.Dial("tcp", f.voterAddresses[voter])
	require.NoError(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	_, err = conn.Write([]byte{accord.QuotaConn})
	require.NoError(f.t, err)
	return conn
}

func requestFrame(to, child string, seq uint64) []byte {
	return frames.Frame(wire.EncodeLeaseRequest(wire.LeaseRequest{To: to,
		LeaseRequest: quota.LeaseRequest{Child: child, Epoch: 1, Seq: seq, Full: true}}))
}

// awaitClose reads until the peer closes the connection.
func awaitClose(t *testing.T, conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.ReadAll(conn); err != nil {
		assert.ErrorContains(t, err, "reset")
	}
}

// TestBadMessageClosesConnection checks what closes a holder's connection and is counted: bytes that are no message, a message
// that no holder sends, and a request with another child or lender than the connection's first one.
func TestBadMessageClosesConnection(t *testing.T) {
	f := newFixture(t, 3, 4*time.Second, `{"run_ms":300,"quotas":{"a":1}}`)
	f.awaitPolicy(1)
	q := f.member(0).quota
	for i, p := range [][]byte{
		[]byte("\x00\x00\x00\x02{}"),
		[]byte("\xff\xff\xff\xff"),
		frames.Frame(wire.EncodePoll("east")),
		frames.Frame(wire.EncodeLeaseResponse(wire.LeaseResponse{From: "east", LeaseResponse: quota.LeaseResponse{Child: "x"}})),
		append(requestFrame("east", "x", 1), requestFrame("east", "y", 2)...),
		append(requestFrame("east", "x", 3), requestFrame("west", "x", 4)...),
	} {
		conn := f.dial(0)
		_, err := conn.Write(p)
		require.NoError(t, err)
		awaitClose(t, conn)
		assert.EqualValues(t, i+1, q.Counters.BadMessages.Load(), "message %d", i)
	}
}

// TestRedirect checks that a request for a region's lender that is not here, or for the root at a voter that does not lead,
// is answered with a redirect. A child that is no region gets no response from the root.
func TestRedirect(t *testing.T) {
	f := newFixture(t, 3, 4*time.Second, `{"run_ms":300,"quotas":{"a":1}}`)
	f.awaitPolicy(1)
	leader := f.leader()
	exchange := func(voter int, p []byte) wire.Message {
		conn := f.dial(voter)
		_, err := conn.Write(p)
		require.NoError(t, err)
		conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		m, err := wire.ReadMessage(conn)
		require.NoError(t, err)
		return m
	}
	assert.Equal(t, &wire.Redirect{From: "west"}, exchange(0, requestFrame("west", "x", 1)).Redirect)
	assert.Equal(t, &wire.Redirect{From: "", Leader: memberName(leader)}, exchange((leader+1)%3, requestFrame("", "north", 1)).Redirect)
	conn := f.dial(leader)
	_, err := conn.Write(requestFrame("", "north", 1))
	require.NoError(t, err)
	awaitClose(t, conn)
	assert.EqualValues(t, 1, f.member(leader).quota.Counters.BadMessages.Load())
}

// TestTooManyRequestsCloseConnection checks that a connection with more requests than any holder sends is closed and counted.
func TestTooManyRequestsCloseConnection(t *testing.T) {
	f := newFixture(t, 3, 4*time.Second, `{"run_ms":300,"quotas":{"a":1}}`)
	f.awaitPolicy(1)
	conn := f.dial(0)
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	var err error
	for seq := uint64(1); err == nil && seq < 1_000_000; seq++ {
		_, err = conn.Write(requestFrame("east", "x", seq))
	}
	assert.Error(t, err, "the connection was not closed")
	var timeout net.Error
	assert.False(t, errors.As(err, &timeout) && timeout.Timeout())
	f.waitFor("the closed connection is counted", func() bool { return f.member(0).quota.Counters.Overloads.Load() == 1 })
}

// TestSlowReaderIsClosed checks that a connection whose holder reads nothing is closed, and that sending to it never blocks.
func TestSlowReaderIsClosed(t *testing.T) {
	q := &Quota{cfg: Config{Leases: quota.LeaseConfig{Lease: time.Second}}, origin: time.Now()}
	near, far := net.Pipe()
	defer near.Close()
	c := &childConn{voter: &voter{q: q}, conn: far, queue: make(chan []byte, maxQueuedMessages)}
	for range maxQueuedMessages / 2 {
		c.poll()
	}
	c.poll()
	assert.Len(t, c.queue, maxQueuedMessages/2, "a poll is only a hint")
	for range maxQueuedMessages / 2 {
		c.redirect("")
	}
	assert.Zero(t, q.Counters.Overloads.Load())
	c.redirect("")
	assert.EqualValues(t, 1, q.Counters.Overloads.Load())
	_, err := near.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// TestNewRejectsBadConfig checks that the error names what is wrong with a configuration.
func TestNewRejectsBadConfig(t *testing.T) {
	leases := quota.LeaseConfig{Lease: time.Second, MaxRunTime: time.Second}
	for message, cfg := range map[string]Config{
		"quota: lease is not between": {},
		"shorter":                     {Leases: leases, RegionLease: 500 * time.Millisecond},
		`no lender is configured`: {Leases: leases, RegionLease: 4 * time.Second, Region: "east",
			Lenders: []Lender{{"west", "n0", "127.0.0.1:1"}}},
		"n0 is configured as a lender but is no voter": {Name: "n0", Leases: leases, RegionLease: 4 * time.Second, Region: "west",
			Lenders: []Lender{{"west", "n0", "127.0.0.1:1"}}},
	} {
		_, err := New(cfg, &accord.Accord{})
		assert.ErrorContains(t, err, message)
	}
	_, err := New(Config{}, nil)
	assert.ErrorContains(t, err, "accord is missing")
}
