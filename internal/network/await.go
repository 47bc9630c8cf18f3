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

// Limits on what a client may send after a request that waits for its answer, and after its last answer. All of it is read: only
// a read notices the end of a connection, and closing a connection with unread bytes resets it, which destroys an answer that
// the client has not read yet.
const (
	aheadMost    = platform.MaxHead + platform.MaxBody // buffered: one more request of the longest size allowed
	dropPiece    = 16 << 10                            // read at a time when discarding
	dropFree     = 256 << 10                           // discarded bytes before reads are slowed down
	dropPause    = time.Millisecond                    // after each chunk, so that a flood does not use up the processor
	lingerMost   = 1 << 20                             // bytes read after the last answer
	lingerWait   = 500 * time.Millisecond              // for a client to read its last answer and close
	drainWait    = 150 * time.Millisecond              // the same while the process is about to end: a few round trips
	hereLook     = 200 * time.Microsecond              // for bytes already received to be read, when the descriptor is needed
	lateReadWait = 30 * time.Millisecond               // for an extended read to end by itself, once a new client has waited for closeWait
	lateReadMost = 100 * time.Millisecond              // for a client that still sends, if its descriptor is needed but no new client has waited in vain
)

// discardBuffers are buffers for bytes that are read and discarded.
var waste = sync.Pool{New: func() any { return new([dropPiece]byte) }}

// awaitAnswer waits until the answer is written, or the client closes the connection. Meanwhile it reads what the client
// sends for its next request.
func (s *session) await(t core.Handle, closing bool) (core.Ending, bool) {
	gone, done := make(chan struct{}), make(chan written, 1)
	a := &ahead{session: s}
	go s.reply(closing, s.held > 0, a, gone, done)
	here := a.watch()
	if !here {
		t.Abandon(false, nil)
		close(gone)
		s.conn.Close() // interrupts a write of the answer that is under way
	}
	// Wait for the writer before the session leaves the table: a later update by the writer would put it back.
	w := <-done
	a.release()
	s.done(w.free)
	switch {
	case !here || w.err != nil:
		return core.ClientClosed, true
	case w.closing || a.dropped > 0:
		s.endsItself = closing || a.dropped > 0
		return core.SessionDone, true
	}
	if s.in.Ahead() > 0 {
		s.turn = time.Now()
		s.clients.table.begun(&s.sessionState)
	} else {
		s.looked = s.clients.table.over(&s.sessionState)
	}
	return 0, false
}

// pipelineReader reads what a client sends while its request waits for the answer.
type ahead struct {
	*session
	kept    int  // bytes reserved of the total for all sessions
	dropped int  // bytes read and not buffered; if any, nothing further of the session can be parsed
	flooded bool // guarded by the table's lock: bytes were discarded
}

// readUntilAnswered reads until the answer is written. It returns false if the client closes the connection first. Bytes are
// buffered for the next request up to a bound; bytes beyond it are discarded, and then the session ends with its answer.
func (a *ahead) watch() (here bool) {
	t := &a.clients.table
	if a.in.Ahead() > 0 { // received together with the request: no further read would report them
		a.came = a.session.read
		if !t.sentAhead(&a.sessionState) {
			return true
		}
	}
	for {
		n, err := a.take()
		switch {
		case n > 0:
			if !t.sentAhead(&a.sessionState) {
				return true
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !t.stillOwed(&a.sessionState) {
				return true
			}
		default: // the client is gone, and its pipelined bytes are dropped
			return false
		}
	}
}

// readOnce reads once, into the buffer or to discard.
func (a *ahead) take() (int, error) {
	if a.dropped == 0 && a.room() {
		first := a.in.Ahead() == 0
		n, err := a.conn.Read(a.in.Space())
		if n > 0 && first {
			a.came = a.arrival.at(time.Now())
		}
		a.in.Filled(n)
		return n, err
	}
	piece := waste.Get().(*[dropPiece]byte)
	defer waste.Put(piece)
	n, err := a.conn.Read(piece[:])
	if n == 0 {
		return n, err
	}
	if a.dropped += n; a.dropped == n {
		a.clients.Count.SessionsFlooded.Add(1)
		a.clients.table.mu.Lock()
		a.flooded = true
		a.clients.table.mu.Unlock()
	}
	if a.dropped > dropFree {
		time.Sleep(dropPause)
	}
	return n, err
}

// canBuffer reports whether more bytes may be buffered, and reserves space for a whole request when it is needed.
func (a *ahead) room() bool {
	n := a.in.Ahead()
	if n >= smallBody && a.kept == 0 && a.clients.hold(aheadMost) {
		a.kept = aheadMost
	}
	return n < smallBody || n < a.kept
}

func (a *ahead) release() { a.clients.held.Add(-int64(a.kept)) }

// status reports whether bytes follow the request that waits, and whether some of them were discarded.
func (a *ahead) lies() (some, flooded bool) {
	t := &a.clients.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return a.sessionState.ahead, a.flooded
}

func (s *session) done(free bool) {
	s.in.Done(free)
	s.request = "" // a slice of the request's head, which would keep the head in memory while the session is idle
	s.release()
}

// writeAnswer writes the answer once it is decided. wake says that the rest of the request's body is to be given up at once; it is
// an argument because the reading goroutine may have ended meanwhile. A pipelined request that was read already is answered before
// a shutdown closes the session.
func (s *session) reply(closing, long bool, behind *ahead, gone chan struct{}, done chan written) {
	var a core.Answer
	select {
	case a = <-s.answer:
	case <-gone:
		done <- written{}
		return
	}
	t := &s.clients.table
	some, flooded := behind.lies()
	closing = closing || flooded || !some && (s.clients.told().CloseAfterAnswer || t.isShed(&s.sessionState))
	err := s.write(platform.AppendFinal(make([]byte, 0, 128+len(a.Result)), a, closing))
	if closing || err != nil {
		s.note(guard.RequestWritten, s.closes(closing, flooded, err))
	}
	closing = t.answered(&s.sessionState, true, closing || err != nil, long)
	t.trim(s.clients.usual())
	done <- written{a.JobReleased, closing, err}
}

// linger lets the client read its last answer: it closes the sending side, then reads and discards what the client still
// sends, for a limited time and up to a number of bytes. Many sessions may end at once, for example in a shutdown: lingering
// ones hold no more descriptors than all sessions may, and are the first to be closed for new ones.
func (s *session) linger() {
	c := s.clients
	end, ok := s.conn.(interface{ CloseWrite() error })
	if !ok || end.CloseWrite() != nil {
		return
	}
	left := lingerMost
	s.note(guard.SessionLingers, nil)
	if c.table.linger(&s.sessionState, c.most()) {
		wait := lingerWait
		if c.told().CloseAfterAnswer {
			wait = drainWait
		}
		c.table.lingerUntil(&s.sessionState, time.Now().Add(wait))
		var over bool
		if left, over = s.dropUntil(left); over || !c.table.isShed(&s.sessionState) {
			return
		}
	}
	s.readLate(left)
}

// readBeforeClose reads on when the descriptor of a session that had its last answer is needed. It reads what has been
// received by now. If the client has sent more after its last request, it reads on until the client has read the answer and
// closes, as a close while bytes arrive would reset the connection and destroy the answer.
func (s *session) readLate(left int) {
	if left == lingerMost && !s.in.Partial() {
		s.conn.SetReadDeadline(time.Now().Add(hereLook))
		var over bool
		if left, over = s.dropUntil(left); over || left == lingerMost {
			return
		}
	}
	s.clients.table.readLate(&s.sessionState, time.Now().Add(lateReadMost))
	s.dropUntil(left)
}

// discardFor reads and discards what arrives, for a time and up to a number of bytes, until the client closes.
func (s *session) drop(wait time.Duration) {
	s.conn.SetReadDeadline(time.Now().Add(wait))
	s.dropUntil(lingerMost)
}

// discard reads and discards up to limit bytes, until the deadline that is set. left is how many it did not read. over reports
// that there is nothing more to read: the connection has ended, or limit is reached.
func (s *session) dropUntil(most int) (left int, over bool) {
	piece := waste.Get().(*[dropPiece]byte)
	defer waste.Put(piece)
	for left = most; left > 0; {
		n, err := s.conn.Read(piece[:])
		if left -= n; err != nil {
			return left, !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	return 0, true
}
