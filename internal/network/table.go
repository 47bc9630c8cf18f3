package network

import (
	linked "container/list"
	"net"
	"sync"
	"time"

	"tinsail/internal/guard"
)

// shedRank is the order in which sessions are closed when descriptors are short: the lowest rank first. Only ranks below
// rankBusy are shed. A session with an unanswered request is never shed.
type shedRank uint8

const (
	lingering shedRank = iota // had its last answer, such as a refusal; kept open only so that the client can read it
	asked                     // idle, never sent a job: a health check or a client that only connected
	silent                    // has not sent a byte
	half                      // has sent part of its first request
	resting                   // idle after a job; its client will probably send another
	working                   // a request is being read or answered
	leaving                   // told to close
	shedRanks
)

// shedProtection is the minimum time for which a session of a rank is kept. The first request of a client that has just connected
// is on its way, and a client does not repeat it by itself, unlike a request that crosses the close of a session in use. A client
// that sends slowly gets longer, counted from its last byte: it is not stalled while bytes arrive, and its total time is
// bounded from connecting anyhow.
var sparedFor = [working]time.Duration{silent: 250 * time.Millisecond, half: 750 * time.Millisecond}

// trimMinIdle is how long a session must have been idle before trimJobSessions may close it.
const restedFor = 100 * time.Millisecond

// sessionState is what the table knows of a session of either front. The table's lock guards all fields but conn, guard and
// id, which do not change after add.
type sessionState struct {
	conn      net.Conn
	guard     *guard.Recorder // may be nil
	id        uint64          // identifies the session in the trace
	shedRank  shedRank
	place     *linked.Element
	born      time.Time
	since     time.Time // time of the last answer; before the first answer, time of connecting
	byte      time.Time // arrival of the last byte of an incomplete first request
	used      bool      // at least one request was answered
	job       bool      // a job was answered
	shed      bool      // told to close
	room      bool      // told to close because its descriptor is needed; waits for nothing more
	owed      bool      // a complete request has no answer yet, or the answer is not fully written
	ahead     bool      // bytes were received after that request
	stays     bool      // counted in table.lingering
	readsLate bool      // its descriptor is needed, but it keeps reading because its client still sends
}

// table holds all sessions by rank, and within a rank ordered by idleSince, so that the next session to shed is always at the
// front of a list.
type table struct {
	mu    sync.Mutex
	last  uint64 // last id given to a session
	rows  [shedRanks]linked.List
	count int
	// lingering counts sessions of any rank that stay open for their last answer to be read.
	lingers int
	// pendingAnswers counts sessions of any rank with an answer that is still to come or not fully written.
	owed int
	left chan struct{} // signals that a session has ended
}

// add registers a new session. If there are more than limit, one is shed where that is allowed. Lingering sessions don't count
// towards limit as long as they fit into lingerHeadroom beyond it. Beyond that they are the first to be closed for a new
// session, and not before: bytes of their clients may still be on their way.
func (t *table) enter(s *sessionState, most int, trace *guard.Recorder) (n, all int, shed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	s.guard, s.id = trace, t.last
	s.note(guard.SessionOpened, nil)
	if t.left == nil {
		t.left = make(chan struct{}, 1)
	}
	t.count++
	if n = t.count - t.lingers; n > most {
		shed = t.shedOne(asked)
	}
	if e := t.rows[lingering].Front(); e != nil && t.count > most+lingerRoom {
		t.shut(e.Value.(*sessionState), guard.RoomWanted)
	}
	s.born = time.Now()
	s.since = s.born
	s.shedRank = silent
	s.place = t.rows[silent].PushBack(s)
	return n, t.count, shed
}

func (t *table) leave(s *sessionState) {
	t.mu.Lock()
	t.rows[s.shedRank].Remove(s.place)
	t.count--
	if s.stays {
		t.lingers--
	}
	t.paid(s)
	t.mu.Unlock()
	select {
	case t.left <- struct{}{}:
	default:
	}
}

// waitForCount waits until there are no more than n sessions. It gives up after maxWait, and at once if no session is about
// to close.
func (t *table) waitBelow(n int, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	for {
		t.mu.Lock()
		count, closing := t.count, t.rows[leaving].Len()
		t.mu.Unlock()
		if count <= n || closing == 0 {
			return count <= n
		}
		select {
		case <-t.left:
		case <-timer.C:
			return false
		}
	}
}

// move puts a session at the end of the list of a rank, unless it was told to close. t.mu is held.
func (t *table) move(s *sessionState, to shedRank) {
	if s.shedRank == leaving {
		return
	}
	t.rows[s.shedRank].Remove(s.place)
	s.shedRank, s.place = to, t.rows[to].PushBack(s)
}

// reqStarted reports that bytes of a request have been received.
func (t *table) begun(s *sessionState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s.shedRank {
	case silent, half: // the order within a rank is that in which its sessions lose their protection
		s.byte = time.Now()
		t.move(s, half)
	case asked, resting:
		t.move(s, working)
	}
}

// reqReceived reports that a request has been received completely.
func (t *table) taken(s *sessionState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.move(s, working)
	if !s.owed {
		t.owed++
	}
	s.owed, s.ahead = true, false
}

// clearPending marks that no answer is pending on a session. t.mu is held.
func (t *table) paid(s *sessionState) {
	if s.owed {
		t.owed--
	}
	s.owed = false
}

// notePipelined records that bytes were received after the request that waits for its answer, so that the answer wakes the
// session's goroutine for them. It returns false, and records nothing, if the answer has been written.
func (t *table) sentAhead(s *sessionState) (owed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.ahead = s.ahead || s.owed
	return s.owed
}

// awaitingAnswer reports whether the request has no answer yet. In that case the read deadline that has passed is stale, and it is
// cleared so that the session reads on.
func (t *table) stillOwed(s *sessionState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.owed {
		s.conn.SetReadDeadline(time.Time{})
	}
	return s.owed
}

// reqAnswered reports that a request was answered, and returns whether the session has to close. A session that was told to close
// stays open if more of its client's bytes have been read, as those are answered first. The session's goroutine is woken to
// close, to handle pipelined bytes, or to give up a long body (wake). The deadline that wakes it is set under the lock, so
// that it does not undo the one set by requestClose.
func (t *table) answered(s *sessionState, job, closing, wake bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.used, s.job, s.since = true, s.job || job, time.Now()
	closing = closing || s.shed && !s.ahead
	if s.job {
		t.move(s, resting)
	} else {
		t.move(s, asked)
	}
	if closing || wake || s.ahead {
		s.conn.SetReadDeadline(s.since)
	} else {
		s.conn.SetReadDeadline(s.since.Add(idleWait))
	}
	t.paid(s)
	s.ahead = false
	return closing
}

// startLingering keeps a session open after its last answer until the client has read it, if no more than limit sessions do
// so. A session whose descriptor is needed stays at rankClosing.
func (t *table) linger(s *sessionState, most int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lingers >= most {
		return false
	}
	t.lingers++
	s.stays = true
	t.move(s, lingering)
	return true
}

// setLingerDeadline sets until when a lingering session reads, unless its descriptor has become needed meanwhile.
func (t *table) lingerUntil(s *sessionState, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !s.room {
		s.conn.SetReadDeadline(at)
	}
}

// extendRead lets a session whose descriptor is needed read on until a deadline, or until cutExtendedRead ends it.
func (t *table) readLate(s *sessionState, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.readsLate = true
	s.conn.SetReadDeadline(until)
}

// oldestExtendedRead returns the session that has been reading under extendRead for longest, or nil.
func (t *table) lateReader() *sessionState {
	t.mu.Lock()
	defer t.mu.Unlock()
	for e := t.rows[leaving].Front(); e != nil; e = e.Next() {
		if s := e.Value.(*sessionState); s.readsLate {
			return s
		}
	}
	return nil
}

// cutExtendedRead ends the read of that session.
func (t *table) cutLateReader() bool {
	s := t.lateReader()
	if s == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s.readsLate = false
	s.conn.SetReadDeadline(time.Now())
	return true
}

// closeDue reports whether the session has to end because no further request came.
func (t *table) over(s *sessionState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.shed || time.Since(s.since) >= idleWait
}

func (t *table) isShed(s *sessionState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.shed
}

// shedProtected reports whether a session is still within its minimum time, or has been idle for less than minIdle.
func (s *sessionState) spared(rest time.Duration) bool {
	from := s.since
	if s.shedRank == half {
		from = s.byte
	}
	return time.Since(from) < max(sparedFor[s.shedRank], rest)
}

// shedOne tells the first session of rank from or a later one that may be shed to close. t.mu is held.
func (t *table) shedOne(from shedRank) bool {
	for r := from; r < working; r++ {
		if e := t.rows[r].Front(); e != nil && !e.Value.(*sessionState).spared(0) {
			t.shut(e.Value.(*sessionState), guard.RoomWanted)
			return true
		}
	}
	return false
}

// shrinkTo sheds sessions until there are no more than limit, or no other may be shed.
func (t *table) shrink(most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for over := t.count - t.rows[leaving].Len() - most; over > 0 && t.shedOne(lingering); over-- {
	}
}

// trimJobSessions closes an idle session if more than limit sessions serve jobs. A session idle for less than trimMinIdle is
// left, since it is likely to be used again at once.
func (t *table) trim(most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[resting].Len()+t.rows[working].Len() <= most {
		return
	}
	if e := t.rows[resting].Front(); e != nil && time.Since(e.Value.(*sessionState).since) >= restedFor {
		t.shut(e.Value.(*sessionState), guard.RoomWanted)
	}
}

// requestClose wakes a session's goroutine, which checks whether a request came after all, and closes. t.mu is held.
func (t *table) shut(s *sessionState, why guard.Reason) {
	t.move(s, leaving)
	s.note(guard.SessionTold, why)
	s.shed, s.room = true, s.room || why == guard.RoomWanted
	s.conn.SetReadDeadline(time.Now())
}

// closeIdle tells sessions to close that have been idle for minIdle. New sessions keep their minimum time.
func (t *table) shutIdle(rest time.Duration, why guard.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := lingering; r < working; r++ {
		for e := t.rows[r].Front(); e != nil && !e.Value.(*sessionState).spared(rest); e = t.rows[r].Front() {
			t.shut(e.Value.(*sessionState), why)
		}
	}
}

// sessionCounts returns how many sessions there are, and how many of them connected before a time. The zero time costs
// nothing and gives 0.
func (t *table) open(before time.Time) (all, early int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !before.IsZero() {
		for r := range t.rows {
			for e := t.rows[r].Front(); e != nil; e = e.Next() {
				if e.Value.(*sessionState).born.Before(before) {
					early++
				}
			}
		}
	}
	return t.count, early
}
