package network

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/core"
	"tinsail/internal/guard"
	"tinsail/internal/service"
)

// manualBackends serve an attempt only when the test does so. They report each attempt that arrives.
type manualBackends struct {
	instantBackends
	attempts chan *core.Attempt
}

func newManualBackends() manualBackends {
	return manualBackends{attempts: make(chan *core.Attempt, 64)}
}

func (b manualBackends) Send(a *core.Attempt, _ *core.Job) func() {
	b.attempts <- a
	return func() {}
}

// nextAttempt returns the next attempt that arrives.
func (b manualBackends) nextAttempt(t *testing.T) *core.Attempt {
	t.Helper()
	select {
	case a := <-b.attempts:
		return a
	case <-time.After(20 * time.Second):
		require.Fail(t, "no attempt arrived")
		return nil
	}
}

func serveAttempt(a *core.Attempt, result string) {
	a.JobStarted()
	a.Ended(core.Served, result, nil)
}

func photoReq(id, more, body string) string {
	return fmt.Sprintf("POST /photo/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, more, len(body), body)
}

// rawClient is a client on a real socket.
type rawClient struct {
	*net.TCPConn
	reader *bufio.Reader
}

func dialClient(t *testing.T, s *testServer) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", s.addresses[0])
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	t.Cleanup(func() { conn.Close() })
	return &rawClient{conn.(*net.TCPConn), bufio.NewReader(conn)}
}

func (c *rawClient) readAnswer(t *testing.T) (status int, body string, closing bool) {
	t.Helper()
	a, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	b, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	return a.StatusCode, string(b), a.Close
}

// waitNoSessions waits until the dispatcher has no client session.
func (s *testServer) waitNoSessions(t *testing.T) {
	t.Helper()
	if !assert.Eventually(t, func() bool { return s.clients.OpenSessions() == 0 }, 20*time.Second, time.Millisecond) {
		require.Fail(t, "sessions are left", s.clients.table.describe())
	}
}

// describe returns a line for each session of the table: whose it is, and what holds it open.
func (t *table) describe() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b strings.Builder
	for rank := range t.byRank {
		for e := t.byRank[rank].Front(); e != nil; e = e.Next() {
			s := e.Value.(*sessionState)
			fmt.Fprintf(&b, "session %d of %v: rank %d, connected %v ago, had answer %v, served job %v, told to close %v, answer pending %v, pipelined %v, lingering %v\n",
				s.id, s.conn.RemoteAddr(), rank, time.Since(s.connectedAt), s.hadAnswer, s.servedJob, s.closeRequested, s.answerPending, s.pipelined, s.isLingering)
		}
	}
	return b.String()
}

// TestClientCloseDetectedWhileWaiting: a client that closes while its request waits is noticed whatever it sent after the
// request, even more than is buffered or than the sockets hold. The backends answer nothing: if the connection were not read,
// the session would stay until the request's deadline.
func TestClientCloseDetectedWhileWaiting(t *testing.T) {
	flood := strings.Repeat("x", 12<<20)
	for name, c := range map[string]struct {
		with, after string
		reset, half bool
		flooded     int64
	}{
		"nothing":                       {},
		"reset":                         {reset: true},
		"only its sending":              {half: true},
		"a byte with the req":           {with: "P"},
		"a byte later":                  {after: "P"},
		"a whole req with it":           {with: photoReq("b", "", "x")},
		"a whole req later":             {after: photoReq("b", "", "x")},
		"a body that is not whole":      {after: photoReq("b", "", strings.Repeat("y", 60_000))[:40_000]},
		"a flood":                       {after: flood, flooded: 1},
		"a flood, and a reset":          {after: flood, reset: true, flooded: 1},
		"a flood with it, and half out": {with: "P", after: flood, half: true, flooded: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newManualBackends()
			s := startServer(t, b)
			conn := dialClient(t, s)
			_, err := io.WriteString(conn, photoReq("a", "", "z")+c.with)
			require.NoError(t, err)
			first := b.nextAttempt(t)
			_, err = io.WriteString(conn, c.after)
			require.NoError(t, err, "the dispatcher must read what the client sends")
			switch {
			case c.reset:
				conn.SetLinger(0)
				conn.Close()
			case c.half:
				conn.CloseWrite()
			default:
				conn.Close()
			}
			s.waitNoSessions(t)
			answered := s.count.AnswersServed.Load() + s.count.AnswersRefused.Load() + s.count.AnswersFailed.Load()
			assert.Zero(t, answered, "the session must end before the request's deadline")
			assert.EqualValues(t, 1, s.count.Endings[core.ClientClosed].Load())
			assert.Equal(t, c.flooded, s.count.SessionsFlooded.Load())
			assert.Zero(t, s.clients.bufferedBytes.Load(), "reserved bytes must be released")
			assert.Empty(t, b.attempts, "a pipelined request must not be sent to a backend")
			first.Ended(core.Served, "r", nil)
		})
	}
}

// TestPipelinedReqsAnsweredInOrder: requests that arrive while one waits are answered in order, whether they are sent together
// with it, one by one, in pieces, or while its answer is due.
func TestPipelinedReqsAnsweredInOrder(t *testing.T) {
	for _, piece := range []int{1, 100, 1 << 20} {
		for _, with := range []bool{true, false} {
			t.Run(fmt.Sprint(piece, with), func(t *testing.T) {
				b := newManualBackends()
				s := startServer(t, b)
				conn := dialClient(t, s)
				rest := photoReq("b", "", strings.Repeat("y", 3000)) + photoReq("c", "", "x")
				if with {
					_, err := io.WriteString(conn, photoReq("a", "", "z")+rest)
					require.NoError(t, err)
				} else {
					_, err := io.WriteString(conn, photoReq("a", "", "z"))
					require.NoError(t, err)
				}
				a := b.nextAttempt(t)
				for at := 0; at < len(rest) && !with; at += piece {
					_, err := io.WriteString(conn, rest[at:min(at+piece, len(rest))])
					require.NoError(t, err)
				}
				serveAttempt(a, "ra")
				for _, id := range []string{"b", "c"} {
					next := b.nextAttempt(t)
					assert.Equal(t, id, next.RequestID())
					serveAttempt(next, "r"+id)
				}
				for _, id := range []string{"a", "b", "c"} {
					status, body, closing := conn.readAnswer(t)
					assert.Equal(t, 200, status)
					assert.Equal(t, "r"+id, body)
					assert.False(t, closing)
				}
			})
		}
	}
}

// TestPipelinedReqAnsweredBeforeClose: a request that was read before the answer that would close its session is still
// answered.
func TestPipelinedReqAnsweredBeforeClose(t *testing.T) {
	b := newManualBackends()
	s := startServer(t, b)
	conn := dialClient(t, s)
	_, err := io.WriteString(conn, photoReq("a", "", "z")+photoReq("b", "", "z"))
	require.NoError(t, err)
	first := b.nextAttempt(t)
	s.clients.directives.Store(&service.Directives{Accept: true, CloseAfterAnswer: true})
	serveAttempt(first, "ra")
	serveAttempt(b.nextAttempt(t), "rb")
	_, body, closing := conn.readAnswer(t)
	assert.Equal(t, "ra", body)
	assert.False(t, closing)
	_, body, closing = conn.readAnswer(t)
	assert.Equal(t, "rb", body)
	assert.True(t, closing)
	_, err = conn.reader.ReadByte()
	assert.Equal(t, io.EOF, err)
}

// TestLastAnswerIsRead: a client that still sends when it gets its last answer reads that answer and then the end, not a reset.
// It reads only after the dispatcher has closed the connection. Nothing that it sent afterwards is handled.
func TestLastAnswerIsRead(t *testing.T) {
	more := strings.Repeat("x", 64<<10)
	body := strings.Repeat("z", 1000)
	for name, c := range map[string]struct {
		send       string
		after      string // sent when the answer has arrived
		served     bool
		directives *service.Directives
		excess     bool
		want       int
	}{
		"asked for":                  {send: photoReq("a", "Connection: close\r\n", body), after: more, served: true, want: 200},
		"asked for, with more":       {send: photoReq("a", "Connection: close\r\n", body) + more, served: true, want: 200},
		"asked for, a req":           {send: photoReq("a", "Connection: close\r\n", body), after: photoReq("b", "", body), served: true, want: 200},
		"shutdown":                   {send: photoReq("a", "", body), after: more, served: true, directives: &service.Directives{Accept: true, CloseAfterAnswer: true}, want: 200},
		"no req":                     {send: "NONSENSE\r\n\r\n" + more, after: more, want: 400},
		"too long a body":            {send: "POST /photo/1 HTTP/1.1\r\nX-Correlation-Id: a\r\nContent-Length: 999999\r\n\r\n" + more, after: more, want: 413},
		"too long a head":            {send: "POST /photo/1 HTTP/1.1\r\nX-A: " + more, after: more, want: 431},
		"health, asked for":          {send: "GET /health/live HTTP/1.1\r\nConnection: close\r\n\r\n" + more, after: more, want: 200},
		"half a req, and no rest":    {send: photoReq("a", "", body)[:200], after: more, want: 408},
		"beyond all budgets, unread": {send: photoReq("a", "", body), after: more, excess: true, want: 503},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newManualBackends()
			s := startServer(t, b, func(cl *Clients) {
				if c.excess {
					cl.MaxSessions = -maxExcessSessions
				}
			})
			if c.directives != nil {
				s.clients.directives.Store(c.directives)
			}
			conn := dialClient(t, s)
			_, err := io.WriteString(conn, c.send)
			require.NoError(t, err)
			if c.served {
				serveAttempt(b.nextAttempt(t), "r")
			}
			_, err = conn.reader.Peek(1)
			require.NoError(t, err)
			_, err = io.WriteString(conn, c.after)
			require.NoError(t, err, "the dispatcher must read on")
			s.waitNoSessions(t)
			status, _, closing := conn.readAnswer(t)
			assert.Equal(t, c.want, status)
			assert.True(t, closing)
			_, err = conn.reader.ReadByte()
			assert.Equal(t, io.EOF, err, "the connection must end without a reset")
			assert.Empty(t, b.attempts)
		})
	}
}

// TestLingeringSessionsBounded: sessions that had their last answer, and whose clients neither read nor close, hold no more
// descriptors than all sessions may, and are closed at once for others that need theirs.
func TestLingeringSessionsBounded(t *testing.T) {
	const limit = 20
	s := startServer(t, instantBackends{"r"}, func(cl *Clients) { cl.MaxSessions = limit })
	for i := range 5 * limit {
		conn := dialClient(t, s)
		_, err := io.WriteString(conn, photoReq(fmt.Sprint("a", i), "Connection: close\r\n", "z"))
		require.NoError(t, err)
		status, _, closing := conn.readAnswer(t)
		assert.Equal(t, 200, status)
		assert.True(t, closing)
		s.clients.table.mu.Lock()
		assert.LessOrEqual(t, s.clients.table.lingering, limit)
		s.clients.table.mu.Unlock()
	}
	s.waitNoSessions(t)
	s.clients.table.mu.Lock()
	defer s.clients.table.mu.Unlock()
	assert.Zero(t, s.clients.table.lingering)
}

// blockedConn is a connection whose first write waits until the connection is closed, and then until the dispatcher has
// removed the session, if it does that before the write returns.
type blockedConn struct {
	net.Conn
	writing        chan struct{} // a write has begun
	closed         chan struct{}
	once           sync.Once
	sessionRemoved func() bool
}

func (c *blockedConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.closed
	for range 100 {
		if c.sessionRemoved() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return 0, net.ErrClosed
}

func (c *blockedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestClientCloseDuringAnswerWrite: a client that closes just as its answer is written leaves nothing in the table. A session
// put back into the table then would be taken for one that can be shed.
func TestClientCloseDuringAnswerWrite(t *testing.T) {
	s := startServer(t, instantBackends{"r"})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	conn, err := l.Accept()
	require.NoError(t, err)
	blocked := &blockedConn{Conn: conn, writing: make(chan struct{}), closed: make(chan struct{}), sessionRemoved: func() bool { return s.clients.OpenSessions() == 0 }}
	sess := &session{sessionState: sessionState{conn: blocked}, clients: s.clients, answer: make(chan core.Answer, 1)}
	s.clients.register(&sess.sessionState)
	go sess.run()
	_, err = io.WriteString(client, photoReq("a", "", "z"))
	require.NoError(t, err)
	<-blocked.writing
	client.Close()
	table := &s.clients.table
	require.Eventually(t, func() bool { // the session has ended, and its writer too
		table.mu.Lock()
		defer table.mu.Unlock()
		return table.count == 0 && sess.servedJob
	}, 20*time.Second, time.Millisecond)
	table.mu.Lock()
	defer table.mu.Unlock()
	for r := range table.byRank {
		assert.Zero(t, table.byRank[r].Len(), "rank %d", r)
	}
}

// TestAnswerPendingUntilWritten: an answer that is decided and not yet written counts as pending in a shutdown, whatever the
// rank of its session: one that was told to close may have taken a request that was already on its way.
func TestAnswerPendingUntilWritten(t *testing.T) {
	for name, end := range map[string]func(*table, *sessionState){
		"answered": func(t *table, s *sessionState) { t.reqAnswered(s, true, false, false) },
		"gone":     func(t *table, s *sessionState) { t.remove(s) },
	} {
		t.Run(name, func(t *testing.T) {
			var tbl table
			near, far := net.Pipe()
			defer near.Close()
			defer far.Close()
			state := &sessionState{conn: near}
			tbl.add(state, 9, nil)
			tbl.requestClose(state, guard.ShuttingDown)
			tbl.reqReceived(state)
			answering, closing := tbl.unfinished()
			assert.Equal(t, []int{1, 1}, []int{answering, closing})
			end(&tbl, state)
			answering, _ = tbl.unfinished()
			assert.Zero(t, answering)
		})
	}
}
