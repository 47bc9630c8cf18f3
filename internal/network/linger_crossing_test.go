package network

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
)

// halfClosablePipe is a pipe with a CloseWrite that has no effect: the far side is not told.
type halfClosablePipe struct{ net.Conn }

func (halfClosablePipe) CloseWrite() error { return nil }

// connectClient connects a client whose session can linger, and returns the client's end.
func (w *fixture) connectClient(name string) net.Conn {
	w.mu.Lock() // the dispatcher may be dialing meanwhile
	conn := w.newPeer(name)
	w.mu.Unlock()
	go w.clients.admit(halfClosablePipe{conn})
	synctest.Wait()
	return w.peer(name).conn
}

func (w *fixture) peer(name string) *peer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peers[name]
}

// clientWrite writes as a client; the dispatcher must read it.
func (w *fixture) clientWrite(client net.Conn, text string) {
	require.NoError(w.t, client.SetWriteDeadline(time.Now().Add(time.Minute)))
	_, err := io.WriteString(client, text)
	assert.NoError(w.t, err, "the connection was reset while its client sent")
	synctest.Wait()
}

// isOpen reports whether a client's connection is still read.
func (w *fixture) isOpen(name string) bool {
	p := w.peer(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed
}

// connectSilent connects clients from (included) to to (excluded) that send nothing.
func (w *fixture) connectSilent(from, to int) {
	for i := from; i < to; i++ {
		w.play(fmt.Sprintf("cx%d send", i))
		synctest.Wait()
	}
}

// TestLingeringSessionDescriptorNeeded: the descriptor of a client that had its last answer is needed for another one. While
// lingerHeadroom beyond the limit has room, it stays. Then a client that still sends is read until it closes, for a bounded
// time; one that sent nothing more is closed at once.
func TestLingeringSessionDescriptorNeeded(t *testing.T) {
	piece := strings.Repeat("x", 8<<10)
	for name, c := range map[string]struct {
		behind string                       // sent after its request
		then   func(w *fixture, c net.Conn) // once its descriptor is needed
		least  time.Duration                // minimum for which it stays from then on
		most   time.Duration
	}{
		"sent nothing more": {then: func(*fixture, net.Conn) {}, most: bufferedReadWait},
		"its bytes come, and it goes": {behind: "x", then: func(w *fixture, c net.Conn) {
			for range 8 {
				time.Sleep(time.Millisecond)
				w.clientWrite(c, piece)
			}
			c.Close()
		}, least: 8 * time.Millisecond, most: 9 * time.Millisecond},
		"its bytes come from now on": {then: func(w *fixture, c net.Conn) {
			time.Sleep(bufferedReadWait / 2)
			for range 8 {
				w.clientWrite(c, piece)
				time.Sleep(time.Millisecond)
			}
			c.Close()
		}, least: 8 * time.Millisecond, most: 9 * time.Millisecond},
		"it never goes": {behind: "x", then: func(w *fixture, c net.Conn) {
			for w.isOpen("c1") {
				c.Write([]byte("x"))
				time.Sleep(time.Millisecond)
				synctest.Wait()
			}
		}, least: maxExtendedRead, most: maxExtendedRead + time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, newEntries(balance.Ready, "s1"), 1, func(w *fixture) {
				client := w.connectClient("c1")
				w.clientWrite(client, "NONSENSE\r\n\r\n"+c.behind)
				w.connectSilent(0, lingerHeadroom)
				assert.True(t, w.isOpen("c1"), "its descriptor is not needed yet")
				w.clientWrite(client, c.behind)
				w.play(fmt.Sprintf("cx%d send", lingerHeadroom))
				from := time.Now()
				c.then(w, client)
				for w.isOpen("c1") {
					time.Sleep(bufferedReadWait / 2)
					synctest.Wait()
				}
				stayed := time.Since(from)
				assert.GreaterOrEqual(t, stayed, c.least)
				assert.LessOrEqual(t, stayed, c.most)
				w.clients.table.mu.Lock()
				defer w.clients.table.mu.Unlock()
				assert.Zero(t, w.clients.table.lingering)
				assert.Equal(t, lingerHeadroom+1, w.clients.table.count)
			})
		})
	}
}

// TestDescriptorNeededWhileClientSends: a session is told that its descriptor is needed just as its client sends more, and that
// has to be refused. The client is read until it closes.
func TestDescriptorNeededWhileClientSends(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 1, func(w *fixture) {
		client := w.connectClient("c1")
		w.clientWrite(client, "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
		time.Sleep(time.Millisecond)
		w.connectSilent(0, 1)
		assert.Equal(t, 1, w.clients.table.byRank[rankClosing].Len(), "the session must be told to close")
		for _, text := range []string{"NONSENSE\r\n\r\n", "x", "x", "x", "x"} {
			w.clientWrite(client, text)
			time.Sleep(2 * time.Millisecond)
		}
		client.Close()
		synctest.Wait()
		assert.Equal(t, 1, w.clients.OpenSessions())
	}, `
		c1 expect 200
		c1 expect 400 close 400: a bad request line`)
}

// TestLingeringAddsNoReqCapacity: where all sessions have a request open, a client that was refused and lingers makes no
// room for another request beyond the limit.
func TestLingeringAddsNoReqCapacity(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 1, "c1 send {req 9a x}", func(w *fixture) {
		w.clientWrite(w.connectClient("c2"), "NONSENSE\r\n\r\n")
	}, `
		c3 send {req 9b x}
		c3 expect 503 after 0.500 close 503: too many clients
		s1/1 send {started 9a}{done 9a r}
		c1 expect 200 r`)
}

// TestSendingClientsDelayNewOnesBoundedly: clients that had their last answer go on sending and never close. A new client is
// refused or served within a bounded time, and there are never more sessions than descriptors.
func TestSendingClientsDelayNewOnesBoundedly(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 1, "c1 send {req 9a x}", func(w *fixture) {
		begun := time.Now()
		for i := range 100 {
			from := time.Now()
			c := w.connectClient(fmt.Sprint("hostile", i))
			w.clientWrite(c, "NONSENSE\r\n\r\n")
			go func() {
				for _, err := c.Write([]byte("x")); err == nil; _, err = c.Write([]byte("x")) {
					time.Sleep(time.Millisecond)
				}
			}()
			for p, answered := w.peer(fmt.Sprint("hostile", i)), false; !answered; {
				time.Sleep(time.Millisecond)
				synctest.Wait()
				p.mu.Lock()
				answered = strings.HasPrefix(string(p.received), "HTTP/1.1 400")
				p.mu.Unlock()
			}
			assert.LessOrEqual(t, time.Since(from), closeWait+extendedReadGrace+2*time.Millisecond)
			assert.LessOrEqual(t, w.clients.OpenSessions(), 1+maxExcessSessions)
		}
		assert.LessOrEqual(t, time.Since(begun), 100*maxExtendedRead/8)
		assert.Zero(t, w.count.SessionsRefused.Load())
	}, `
		c3 send {req 9b x}
		c3 expect 503 after 0.500 close 503: too many clients
		s1/1 send {started 9a}{done 9a r}
		c1 expect 200 r`)
}

// TestRejectedClientsBounded: clients that there is no descriptor for, and that never close, are each rejected in a bounded
// time. Two at a time linger, and each may send on until later ones need its slot.
func TestRejectedClientsBounded(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 1, "c1 send {req 9a x}", func(w *fixture) {
		w.connectSilent(0, maxExcessSessions)
		const perClient = rejectedReadWait + finalReadWait
		begun := time.Now()
		for i := range 8 {
			w.connectClient(fmt.Sprint("away", i))
			time.Sleep(perClient + time.Millisecond) // the longest that the next client has to wait
			synctest.Wait()
			open := 0
			for k := range i + 1 {
				if w.isOpen(fmt.Sprint("away", k)) {
					open++
					assert.Less(t, i-k, maxRejectedLingering, "the oldest client must be closed first")
					_, err := w.peer(fmt.Sprint("away", k)).conn.Write([]byte("x"))
					assert.NoError(t, err)
				}
			}
			assert.Equal(t, min(i+1, maxRejectedLingering), open)
			assert.Equal(t, 1+maxExcessSessions+open, w.clients.OpenSessions())
		}
		assert.Less(t, time.Since(begun), 100*time.Millisecond)
		time.Sleep(rejectedLingerTimeout)
		synctest.Wait()
		assert.Equal(t, 1+maxExcessSessions, w.clients.OpenSessions())
		assert.Zero(t, w.clients.rejectedLingering.Load())
		assert.EqualValues(t, 8, w.count.SessionsRefused.Load())
	}, `
		s1/1 send {started 9a}{done 9a r}
		c1 expect 200 r`)
}
