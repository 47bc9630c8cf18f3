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
	rankLingering shedRank = iota // had its last answer, such as a refusal; kept open only so that the client can read it
	rankUnused                    // idle, never sent a job: a health check or a client that only connected
	rankSilent                    // has not sent a byte
	rankPartial                   // has sent part of its first request
	rankIdle                      // idle after a job; its client will probably send another
	rankBusy                      // a request is being read or answered
	rankClosing                   // told to close
	rankCount
)

// shedProtection is the minimum time for which a session of a rank is kept. The first request of a client that has just
// connected is on its way, and a client does not repeat it by itself, unlike a request that crosses the close of a session
// in use. A client that sends slowly gets longer, counted from its last byte: it is not stalled while bytes arrive, and its
// total time since connecting is bounded anyway.
var shedProtection = [rankBusy]time.Duration{rankSilent: 250 * time.Millisecond, rankPartial: 750 * time.Millisecond}

// trimMinIdle is how long a session must have been idle before trimJobSessions may close it.
const trimMinIdle = 100 * time.Millisecond

// sessionState is what the table knows of a session of either front. The table's lock guards all fields but conn, guard and
// id, which do not change after add.
type sessionState struct {
	conn             net.Conn
	guard            *guard.Recorder // may be nil
	id               uint64          // identifies the session in the trace
	rank             shedRank
	element          *linked.Element
	connectedAt      time.Time
	idleSince        time.Time // time of the last answer; before the first answer, time of connecting
	partialByteAt    time.Time // arrival of the last byte of an incomplete first request
	hadAnswer        bool      // at least one request was answered
	servedJob        bool      // a job was answered
	closeRequested   bool      // told to close
	descriptorNeeded bool      // told to close because its descriptor is needed; waits for nothing more
	answerPending    bool      // a complete request has no answer yet, or the answer is not fully written
	pipelined        bool      // bytes were received after that request
	isLingering      bool      // counted in table.lingering
	extendedRead     bool      // its descriptor is needed, but it keeps reading because its client still sends
}

// table holds all sessions by rank, and within a rank ordered by idleSince, so that the next session to shed is always at the
// front of a list.
type table struct {
	mu     sync.Mutex
	lastID uint64 // last id given to a session
	byRank [rankCount]linked.List
	count  int
	// lingering counts sessions of any rank that stay open for their last answer to be read.
	lingering int
	// pendingAnswers counts sessions of any rank with an answer that is still to come or not fully written.
	pendingAnswers int
	sessionEnded   chan struct{} // signals that a session has ended
}

// add registers a new session. If there are more than limit, one is shed where that is allowed. Lingering sessions don't count
// towards limit as long as they fit into lingerHeadroom beyond it. Beyond that they are the first to be closed for a new
// session, and not before: bytes of their clients may still be on their way.
func (t *table) add(s *sessionState, limit int, recorder *guard.Recorder) (n, all int, shed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	s.guard, s.id = recorder, t.lastID
	s.record(guard.SessionOpened, nil)
	if t.sessionEnded == nil {
		t.sessionEnded = make(chan struct{}, 1)
	}
	t.count++
	if n = t.count - t.lingering; n > limit {
		shed = t.shedOne(rankUnused)
	}
	if e := t.byRank[rankLingering].Front(); e != nil && t.count > limit+lingerHeadroom {
		t.requestClose(e.Value.(*sessionState), guard.DescriptorNeeded)
	}
	s.connectedAt = time.Now()
	s.idleSince = s.connectedAt
	s.rank = rankSilent
	s.element = t.byRank[rankSilent].PushBack(s)
	return n, t.count, shed
}

func (t *table) remove(s *sessionState) {
	t.mu.Lock()
	t.byRank[s.rank].Remove(s.element)
	t.count--
	if s.isLingering {
		t.lingering--
	}
	t.clearPending(s)
	t.mu.Unlock()
	select {
	case t.sessionEnded <- struct{}{}:
	default:
	}
}

// waitForCount waits until there are no more than n sessions. It gives up after maxWait, and at once if no session is about
// to close.
func (t *table) waitForCount(n int, maxWait time.Duration) bool {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		t.mu.Lock()
		count, closing := t.count, t.byRank[rankClosing].Len()
		t.mu.Unlock()
		if count <= n || closing == 0 {
			return count <= n
		}
		select {
		case <-t.sessionEnded:
		case <-timer.C:
			return false
		}
	}
}

// move puts a session at the end of the list of a rank, unless it was told to close. t.mu is held.
func (t *table) move(s *sessionState, to shedRank) {
	if s.rank == rankClosing {
		return
	}
	t.byRank[s.rank].Remove(s.element)
	s.rank, s.element = to, t.byRank[to].PushBack(s)
}

// reqStarted reports that bytes of a request have been received.
func (t *table) reqStarted(s *sessionState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s.rank {
	case rankSilent, rankPartial: // the order within a rank is that in which its sessions lose their protection
		s.partialByteAt = time.Now()
		t.move(s, rankPartial)
	case rankUnused, rankIdle:
		t.move(s, rankBusy)
	}
}

// reqReceived reports that a request has been received completely.
func (t *table) reqReceived(s *sessionState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.move(s, rankBusy)
	if !s.answerPending {
		t.pendingAnswers++
	}
	s.answerPending, s.pipelined = true, false
}

// clearPending marks that no answer is pending on a session. t.mu is held.
func (t *table) clearPending(s *sessionState) {
	if s.answerPending {
		t.pendingAnswers--
	}
	s.answerPending = false
}

// markPipelined records that bytes were received after the request that waits for its answer, so that the answer wakes the
// session's goroutine for them. It returns false, and records nothing, if the answer has been written.
func (t *table) markPipelined(s *sessionState) (pending bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.pipelined = s.pipelined || s.answerPending
	return s.answerPending
}

// awaitingAnswer reports whether the request has no answer yet. In that case the read deadline that has passed is stale, and
// it is cleared so that the session reads on.
func (t *table) awaitingAnswer(s *sessionState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.answerPending {
		s.conn.SetReadDeadline(time.Time{})
	}
	return s.answerPending
}

// reqAnswered reports that a request was answered, and returns whether the session has to close. A session that was told to
// close stays open if more of its client's bytes have been read, as those are answered first. The session's goroutine is
// woken to close, to handle pipelined bytes, or to give up a long body (wake). The deadline that wakes it is set under the
// lock, so that it does not undo the one set by requestClose.
func (t *table) reqAnswered(s *sessionState, job, closing, wake bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.hadAnswer, s.servedJob, s.idleSince = true, s.servedJob || job, time.Now()
	closing = closing || s.closeRequested && !s.pipelined
	if s.servedJob {
		t.move(s, rankIdle)
	} else {
		t.move(s, rankUnused)
	}
	if closing || wake || s.pipelined {
		s.conn.SetReadDeadline(s.idleSince)
	} else {
		s.conn.SetReadDeadline(s.idleSince.Add(idleTimeout))
	}
	t.clearPending(s)
	s.pipelined = false
	return closing
}

// startLingering keeps a session open after its last answer until the client has read it, if no more than limit sessions do
// so. A session whose descriptor is needed stays at rankClosing.
func (t *table) startLingering(s *sessionState, limit int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lingering >= limit {
		return false
	}
	t.lingering++
	s.isLingering = true
	t.move(s, rankLingering)
	return true
}

// setLingerDeadline sets until when a lingering session reads, unless its descriptor has become needed meanwhile.
func (t *table) setLingerDeadline(s *sessionState, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !s.descriptorNeeded {
		s.conn.SetReadDeadline(at)
	}
}

// extendRead lets a session whose descriptor is needed read on until a deadline, or until cutExtendedRead ends it.
func (t *table) extendRead(s *sessionState, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.extendedRead = true
	s.conn.SetReadDeadline(until)
}

// oldestExtendedRead returns the session that has been reading under extendRead for longest, or nil.
func (t *table) oldestExtendedRead() *sessionState {
	t.mu.Lock()
	defer t.mu.Unlock()
	for e := t.byRank[rankClosing].Front(); e != nil; e = e.Next() {
		if s := e.Value.(*sessionState); s.extendedRead {
			return s
		}
	}
	return nil
}

// cutExtendedRead ends the read of that session.
func (t *table) cutExtendedRead() bool {
	s := t.oldestExtendedRead()
	if s == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s.extendedRead = false
	s.conn.SetReadDeadline(time.Now())
	return true
}

// closeDue reports whether the session has to end because no further request came.
func (t *table) closeDue(s *sessionState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.closeRequested || time.Since(s.idleSince) >= idleTimeout
}

func (t *table) mustClose(s *sessionState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.closeRequested
}

// shedProtected reports whether a session is still within its minimum time, or has been idle for less than minIdle.
func (s *sessionState) shedProtected(minIdle time.Duration) bool {
	from := s.idleSince
	if s.rank == rankPartial {
		from = s.partialByteAt
	}
	return time.Since(from) < max(shedProtection[s.rank], minIdle)
}

// shedOne tells the first session of rank from or a later one that may be shed to close. t.mu is held.
func (t *table) shedOne(from shedRank) bool {
	for r := from; r < rankBusy; r++ {
		if e := t.byRank[r].Front(); e != nil && !e.Value.(*sessionState).shedProtected(0) {
			t.requestClose(e.Value.(*sessionState), guard.DescriptorNeeded)
			return true
		}
	}
	return false
}

// shrinkTo sheds sessions until there are no more than limit, or no other may be shed.
func (t *table) shrinkTo(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for over := t.count - t.byRank[rankClosing].Len() - limit; over > 0 && t.shedOne(rankLingering); over-- {
	}
}

// trimJobSessions closes an idle session if more than limit sessions serve jobs. A session idle for less than trimMinIdle is
// left, since it is likely to be used again at once.
func (t *table) trimJobSessions(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byRank[rankIdle].Len()+t.byRank[rankBusy].Len() <= limit {
		return
	}
	if e := t.byRank[rankIdle].Front(); e != nil && time.Since(e.Value.(*sessionState).idleSince) >= trimMinIdle {
		t.requestClose(e.Value.(*sessionState), guard.DescriptorNeeded)
	}
}

// requestClose wakes a session's goroutine, which checks whether a request has arrived in the meantime, and closes the
// session if not. t.mu is held.
func (t *table) requestClose(s *sessionState, why guard.Reason) {
	t.move(s, rankClosing)
	s.record(guard.SessionCloseAnnounced, why)
	s.closeRequested, s.descriptorNeeded = true, s.descriptorNeeded || why == guard.DescriptorNeeded
	s.conn.SetReadDeadline(time.Now())
}

// closeIdle tells sessions to close that have been idle for minIdle. New sessions keep their minimum time.
func (t *table) closeIdle(minIdle time.Duration, why guard.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := rankLingering; r < rankBusy; r++ {
		for e := t.byRank[r].Front(); e != nil && !e.Value.(*sessionState).shedProtected(minIdle); e = t.byRank[r].Front() {
			t.requestClose(e.Value.(*sessionState), why)
		}
	}
}

// sessionCounts returns how many sessions there are, and how many of them connected before a time. For the zero time
// the second number is 0, at no cost.
func (t *table) sessionCounts(before time.Time) (all, earlier int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !before.IsZero() {
		for r := range t.byRank {
			for e := t.byRank[r].Front(); e != nil; e = e.Next() {
				if e.Value.(*sessionState).connectedAt.Before(before) {
					earlier++
				}
			}
		}
	}
	return t.count, earlier
}
