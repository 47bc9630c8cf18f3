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

// What a client may send behind a req that waits for its answer, and what it may still send once it has had its last
// one. It is read all the same: only who reads sees the end of a connection, and a close over unread bytes
// resets it, which takes an answer that is not read yet with it.
const (
	aheadMost    = platform.MaxHead + platform.MaxBody // kept: one more req, as long as any may be
	dropPiece    = 16 << 10                            // read at a time of what is not kept
	dropFree     = 256 << 10                           // of what is not kept, before it is read with pauses
	dropPause    = time.Millisecond                    // after each piece: a flood must not use up the processor
	lingerMost   = 1 << 20                             // bytes after the last answer
	lingerWait   = 500 * time.Millisecond              // for a client to read its last answer and to close
	drainWait    = 150 * time.Millisecond              // the same where the process is about to end: some round trips
	hereLook     = 200 * time.Microsecond              // for what has come already to be read, where a descriptor is waited for
	lateReadWait = 30 * time.Millisecond               // for one of those to go, once a newcomer has waited for roomWait
	lateReadMost = 100 * time.Millisecond              // for a client that sends on to end, where its descriptor is wanted and nobody waits for it in vain
)

// waste is space for bytes that nobody will read.
var waste = sync.Pool{New: func() any { return new([dropPiece]byte) }}

// await waits for the answer to be written, and for the client to send its next req or to
// go away.
func (s *session) await(t core.Ticket, closing bool) (core.Ending, bool) {
	gone, done := make(chan struct{}), make(chan written, 1)
	a := &ahead{session: s}
	go s.reply(closing, s.held > 0, a, gone, done)
	here := a.watch()
	if !here {
		t.Abandon(false, nil)
		close(gone)
		s.conn.Close() // an answer that is just being written ends by that
	}
	// The writer is done with the session's state before that leaves the table, or it would be put back into the table.
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

// ahead is what comes on a session behind the req that waits.
type ahead struct {
	*session
	kept    int  // taken out of the bytes that all sessions together may hold
	dropped int  // bytes that were read and not kept: nothing of the session can be read any more
	flooded bool // under the table's lock: something was dropped
}

// watch reads on until the answer is written, and returns false if the client goes first. What comes is kept for the
// next req, up to a bound; what is beyond is dropped, and the session ends with its answer.
func (a *ahead) watch() (here bool) {
	t := &a.clients.table
	if a.in.Ahead() > 0 { // sent with the req, and nothing wakes a read for it
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
		default: // what it sent ahead is not for anybody any more
			return false
		}
	}
}

// take takes in what the client sends.
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

// room says whether more is kept.
func (a *ahead) room() bool {
	n := a.in.Ahead()
	if n >= smallBody && a.kept == 0 && a.clients.hold(aheadMost) {
		a.kept = aheadMost
	}
	return n < smallBody || n < a.kept
}

func (a *ahead) release() { a.clients.held.Add(-int64(a.kept)) }

// lies says whether there is something behind the req that waits, and whether it is past reading.
func (a *ahead) lies() (some, flooded bool) {
	t := &a.clients.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return a.sessionState.ahead, a.flooded
}

func (s *session) done(free bool) {
	s.in.Done(free)
	s.request = "" // a slice of its head, which is not to be held while the session rests
	s.release()
}

// reply writes the answer once it is there. long says that the req's body is to be given up
// at once; it is told, since the reading goroutine may have ended meanwhile. What the client has sent ahead
// is answered before an end of the service closes the session: it has been read.
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
	closing = closing || flooded || !some && (s.clients.told().Close || t.isShed(&s.sessionState))
	err := s.write(platform.AppendFinal(make([]byte, 0, 128+len(a.Result)), a, closing))
	if closing || err != nil {
		s.note(guard.RequestWritten, s.closes(closing, flooded, err))
	}
	closing = t.answered(&s.sessionState, true, closing || err != nil, long)
	t.trim(s.clients.usual())
	done <- written{a.Free, closing, err}
}

// linger lets the client read its last answer: our side ends, and what the client still sends is read and not taken up,
// for a while and up to a bound. Many sessions may end at once, in a shutdown say; those that linger hold no more
// descriptors than all sessions may, and are the first to go for others.
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
		if c.told().Close {
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

// readLate reads on where the descriptor of a session that has had its last answer is wanted, before the close: what has come by
// now, and what comes of a client that has sent on behind its last req, until that has read the answer and ends too. A
// close while its bytes come would reset the connection, and the answer with it.
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

// drop reads and drops what comes, for a time and up to a bound, until the client's end.
func (s *session) drop(wait time.Duration) {
	s.conn.SetReadDeadline(time.Now().Add(wait))
	s.dropUntil(lingerMost)
}

// dropUntil reads and drops up to so many bytes, until the deadline that is set. left is how many it did not read, over whether
// no more is to be read: the connection has ended, or nothing is left.
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
