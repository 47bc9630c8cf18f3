package network

import (
	"errors"
	"os"
	"sync"
	"time"

	"tinsail/internal/core"
	"tinsail/internal/guard"
	"tinsail/internal/platform"
)

// Limits on what a client may send after a request that waits for its answer, and after its last answer. All of it is read:
// only a read notices the end of a connection, and closing a connection with unread bytes resets it, which destroys an
// answer that the client has not read yet.
const (
	maxPipelinedBytes  = platform.MaxHead + platform.MaxBody // buffered: one more request of the longest size allowed
	discardChunk       = 16 << 10                            // read at a time when discarding
	discardBurst       = 256 << 10                           // discarded between two pauses: what fills both sockets' buffers is read within 50 ms
	discardPause       = time.Millisecond                    // so that a flood does not use up the processor
	maxLingerBytes     = 1 << 20                             // bytes read after the last answer
	lingerTimeout      = 500 * time.Millisecond              // for a client to read its last answer and close
	drainLingerTimeout = 150 * time.Millisecond              // the same while the process is about to end: a few round trips
	bufferedReadWait   = 200 * time.Microsecond              // for bytes already received to be read, when the descriptor is needed
	extendedReadGrace  = 30 * time.Millisecond               // for an extended read to end by itself, after closeWait
	maxExtendedRead    = 100 * time.Millisecond              // for an extended read that no new client cuts short
)

// discardBuffers are buffers for bytes that are read and discarded.
var discardBuffers = sync.Pool{New: func() any { return new([discardChunk]byte) }}

// awaitAnswer waits until the answer is written, or the client closes the connection. Meanwhile it reads what the client
// sends for its next request.
func (s *session) awaitAnswer(handle core.Handle, closing bool) (core.Ending, bool) {
	clientGone, done := make(chan struct{}), make(chan writeResult, 1)
	a := &pipelineReader{session: s}
	go s.writeAnswer(closing, s.bufferedBytes > 0, a, clientGone, done)
	connected := a.readUntilAnswered()
	if !connected {
		handle.Abandon(false, nil)
		close(clientGone)
		s.conn.Close() // interrupts a write of the answer that is under way
	}
	// Wait for the writer before the session leaves the table: a later update by the writer would put it back.
	w := <-done
	a.release()
	s.finishReq(w.jobReleased)
	switch {
	case !connected || w.err != nil:
		return core.ClientClosed, true
	case w.closing || a.discarded > 0:
		s.clientEnds = closing || a.discarded > 0
		return core.SessionDone, true
	}
	if s.parser.Buffered() > 0 {
		s.pipelineTurn = time.Now()
		s.clients.table.reqStarted(&s.sessionState)
	} else {
		s.finalRead = s.clients.table.closeDue(&s.sessionState)
	}
	return 0, false
}

// pipelineReader reads what a client sends while its request waits for the answer.
type pipelineReader struct {
	*session
	reserved  int  // bytes reserved of the total for all sessions
	discarded int  // bytes read and not buffered; if any, nothing further of the session can be parsed
	pausedAt  int  // discarded bytes at the last pause
	flooded   bool // guarded by the table's lock: bytes were discarded
}

// readUntilAnswered reads until the answer is written. It returns false if the client closes the connection first. Bytes are
// buffered for the next request up to a bound; bytes beyond it are discarded, and then the session ends with its answer.
func (a *pipelineReader) readUntilAnswered() (connected bool) {
	t := &a.clients.table
	if a.parser.Buffered() > 0 { // received together with the request: no further read would report them
		a.firstByteAt = a.session.lastByteAt
		if !t.markPipelined(&a.sessionState) {
			return true
		}
	}
	for {
		n, err := a.readOnce()
		switch {
		case n > 0:
			if !t.markPipelined(&a.sessionState) {
				return true
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !t.awaitingAnswer(&a.sessionState) {
				return true
			}
		default: // the client is gone, and its pipelined bytes are dropped
			return false
		}
	}
}

// readOnce reads once, into the buffer or to discard.
func (a *pipelineReader) readOnce() (int, error) {
	if a.discarded == 0 && a.canBuffer() {
		first := a.parser.Buffered() == 0
		n, err := a.conn.Read(a.parser.Space())
		if n > 0 && first {
			a.firstByteAt = a.arrival.timeOf(time.Now())
		}
		a.parser.Filled(n)
		return n, err
	}
	chunk := discardBuffers.Get().(*[discardChunk]byte)
	defer discardBuffers.Put(chunk)
	n, err := a.conn.Read(chunk[:])
	if n == 0 {
		return n, err
	}
	if a.discarded += n; a.discarded == n {
		a.clients.Count.SessionsFlooded.Add(1)
		a.clients.table.mu.Lock()
		a.flooded = true
		a.clients.table.mu.Unlock()
	}
	if a.discarded-a.pausedAt >= discardBurst {
		a.pausedAt = a.discarded
		time.Sleep(discardPause)
	}
	return n, err
}

// canBuffer reports whether more bytes may be buffered, and reserves space for a whole request when it is needed.
func (a *pipelineReader) canBuffer() bool {
	n := a.parser.Buffered()
	if n >= smallBody && a.reserved == 0 && a.clients.reserveBytes(maxPipelinedBytes) {
		a.reserved = maxPipelinedBytes
	}
	return n < smallBody || n < a.reserved
}

func (a *pipelineReader) release() { a.clients.bufferedBytes.Add(-int64(a.reserved)) }

// status reports whether bytes follow the request that waits, and whether some of them were discarded.
func (a *pipelineReader) status() (pipelined, flooded bool) {
	t := &a.clients.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return a.sessionState.pipelined, a.flooded
}

func (s *session) finishReq(jobReleased bool) {
	s.parser.Done(jobReleased)
	s.reqID = "" // a slice of the request's head, which would keep the head in memory while the session is idle
	s.release()
}

// writeAnswer writes the answer once it is decided. wake says that the rest of the request's body is to be given up at once;
// it is an argument because the reading goroutine may have ended meanwhile. A pipelined request that was read already is
// answered before a shutdown closes the session.
func (s *session) writeAnswer(closing, wake bool, reader *pipelineReader, clientGone chan struct{}, done chan writeResult) {
	var a core.Answer
	select {
	case a = <-s.answer:
	case <-clientGone:
		done <- writeResult{}
		return
	}
	t := &s.clients.table
	pipelined, flooded := reader.status()
	closing = closing || flooded || !pipelined && (s.clients.currentDirectives().CloseAfterAnswer || t.mustClose(&s.sessionState))
	err := s.write(platform.AppendFinalAnswer(make([]byte, 0, 128+len(a.Result)), a, closing))
	if closing || err != nil {
		s.record(guard.AnswerWritten, s.closeCause(closing, flooded, err))
	}
	closing = t.reqAnswered(&s.sessionState, true, closing || err != nil, wake)
	t.trimJobSessions(s.clients.maxJobSessions())
	done <- writeResult{a.JobReleased, closing, err}
}

// linger lets the client read its last answer: it closes the sending side, then reads and discards what the client still
// sends, for a limited time and up to a number of bytes. Many sessions may end at once, for example in a shutdown: lingering
// ones hold no more descriptors than all sessions may, and are the first to be closed for new ones.
func (s *session) linger() {
	c := s.clients
	conn, ok := s.conn.(interface{ CloseWrite() error })
	if !ok || conn.CloseWrite() != nil {
		return
	}
	left := maxLingerBytes
	s.record(guard.SessionLingering, nil)
	if c.table.startLingering(&s.sessionState, c.maxSessions()) {
		wait := lingerTimeout
		if c.currentDirectives().CloseAfterAnswer {
			wait = drainLingerTimeout
		}
		c.table.setLingerDeadline(&s.sessionState, time.Now().Add(wait))
		var over bool
		if left, over = s.discard(left); over || !c.table.mustClose(&s.sessionState) {
			return
		}
	}
	s.readBeforeClose(left)
}

// readBeforeClose reads on when the descriptor of a session that had its last answer is needed. It reads what has been
// received by now. If the client has sent more after its last request, it reads on until the client has read the answer and
// closes, as a close while bytes arrive would reset the connection and destroy the answer.
func (s *session) readBeforeClose(left int) {
	if left == maxLingerBytes && !s.parser.Partial() {
		s.conn.SetReadDeadline(time.Now().Add(bufferedReadWait))
		var over bool
		if left, over = s.discard(left); over || left == maxLingerBytes {
			return
		}
	}
	s.clients.table.extendRead(&s.sessionState, time.Now().Add(maxExtendedRead))
	s.discard(left)
}

// discardFor reads and discards what arrives, for a time and up to a number of bytes, until the client closes.
func (s *session) discardFor(wait time.Duration) {
	s.conn.SetReadDeadline(time.Now().Add(wait))
	s.discard(maxLingerBytes)
}

// discard reads and discards up to limit bytes, until the deadline that is set. left is how many it did not read. over reports
// that there is nothing more to read: the connection has ended, or limit is reached.
func (s *session) discard(limit int) (left int, over bool) {
	chunk := discardBuffers.Get().(*[discardChunk]byte)
	defer discardBuffers.Put(chunk)
	for left = limit; left > 0; {
		n, err := s.conn.Read(chunk[:])
		if left -= n; err != nil {
			return left, !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	return 0, true
}
