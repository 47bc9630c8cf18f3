package handoff

import (
	"fmt"
	"net"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/handover"
	"tinsail/internal/maintenance"
)

// linkPair returns the two ends of a link over a Unix socket.
func linkPair(t *testing.T) (a, b *Link) {
	path := filepath.Join(t.TempDir(), "l.sock")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	require.NoError(t, err)
	defer l.Close()
	dialed, err := net.Dial("unix", path)
	require.NoError(t, err)
	accepted, err := l.AcceptUnix()
	require.NoError(t, err)
	ends := [2]*Link{}
	for i, conn := range []*net.UnixConn{dialed.(*net.UnixConn), accepted} {
		ends[i] = &Link{conn: conn, reader: handover.Reader{MaxBytes: handover.MaxStatusUpdate}}
		t.Cleanup(ends[i].Close)
	}
	return ends[0], ends[1]
}

// Guards against a link that closes because both processes send more than its buffer holds before either reads, so that each
// takes the other for gone and serves (2026-12-06-two-processes-serve).
func TestBothEndsSendBeforeEitherReads(t *testing.T) {
	const updates = 3200 // one for each backend of the largest fleet
	a, b := linkPair(t)
	for i := range updates {
		for _, l := range []*Link{a, b} {
			require.NoError(t, l.Send(handover.StatusUpdate{Mark: &maintenance.Mark{Name: fmt.Sprintf("s-%08x", i), At: 1}}), "update %d", i)
		}
	}
	var readers sync.WaitGroup
	for _, l := range []*Link{a, b} {
		readers.Go(func() {
			next := 0
			err := l.Read(func(n handover.StatusUpdate) {
				assert.Equal(t, fmt.Sprintf("s-%08x", next), n.Mark.Name)
				if next++; next == updates {
					assert.NoError(t, l.conn.CloseRead())
				}
			})
			assert.ErrorIs(t, err, ErrPeerClosed)
			assert.Equal(t, updates, next)
		})
	}
	readers.Wait()
}

// A process that reads nothing costs a bounded number of bytes; then the link closes, and says why.
func TestQueueIsBounded(t *testing.T) {
	a, _ := linkPair(t)
	update := handover.StatusUpdate{Mark: &maintenance.Mark{Name: string(make([]byte, 4096)), At: 1}}
	var err error
	for sent := 0; err == nil; sent++ {
		require.Less(t, sent, 2*maxQueuedBytes/4096)
		err = a.Send(update)
	}
	require.ErrorIs(t, err, errQueueFull)
	assert.ErrorIs(t, a.Read(nil), errQueueFull)
	assert.ErrorIs(t, a.Send(update), errQueueFull)
	_, err = a.conn.Write([]byte("x"))
	assert.ErrorIs(t, err, net.ErrClosed)
}

// Guards against a new process that ends, or does not read that it was given up, as it was sending when the old one closed the link
// (2026-12-06-two-processes-serve).
func TestPeerClosesWhileThisEndSends(t *testing.T) {
	for _, givenUp := range []bool{false, true} {
		a, b := linkPair(t)
		if givenUp {
			require.NoError(t, a.Send(handover.StatusUpdate{GivenUp: true}))
		}
		var err error
		for range 1000 { // more than the socket's buffer holds
			require.NoError(t, b.Send(handover.StatusUpdate{Mark: &maintenance.Mark{Name: strings.Repeat("x", 4096), At: 1}}))
		}
		a.CloseAfterSending()
		for err == nil { // until the write has failed
			runtime.Gosched()
			err = b.Send(handover.StatusUpdate{MaxSockets: 1})
		}
		assert.ErrorIs(t, err, ErrPeerClosed)
		updates := 0
		assert.ErrorIs(t, b.Read(func(n handover.StatusUpdate) {
			assert.True(t, n.GivenUp)
			updates++
		}), ErrPeerClosed)
		assert.Equal(t, givenUp, updates == 1)
	}
}
