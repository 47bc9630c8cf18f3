package network

import (
	linked "container/list"
	"net"
	"sync"
	"time"

	"tinsail/internal/guard"
)

// shedRank says what a session is good for, from the first to be shed when descriptors are short
// to the last. A session that is owed an answer has none of these shedRanks and is never shed.
type shedRank uint8

const (
	lingering shedRank = iota // refused, and only kept so that the refusal is read
	asked                     // idle, and has never sent a job: a check of health, or one who only connects
	silent                    // has not sent a byte
	half                      // has not sent the whole of its first req
	resting                   // idle after a job: a usual client's, that will send another
	working                   // a req is being read or answered
	leaving                   // told to close
	shedRanks
)

// sparedFor is how long a session of a shedRank is kept at least. The first req of a client that
// has just connected is on its way, and a client does not repeat it by itself as it does one
// that crosses the closing of a session in use. One that sends slowly gets longer, counted from its
// last byte: one that goes on sending is no stalled one, and has its time from connecting.
var sparedFor = [working]time.Duration{silent: 250 * time.Millisecond, half: 750 * time.Millisecond}

// restedFor is how long a session is idle at least before others' number is a ground to close it.
const restedFor = 100 * time.Millisecond

// sessionState is what the table knows of a session, of either front. The table's lock guards it, but
// for conn, which stays as it is.
type sessionState struct {
	conn      net.Conn
	guard     *guard.Recorder // may be nil; stays as it is from the entry on
	id        uint64          // in the trace; stays too
	shedRank  shedRank
	place     *linked.Element
	born      time.Time // of connecting
	since     time.Time // of connecting until the first answer, of the last answer from then on
	byte      time.Time // the last one of a first req that is not whole
	used      bool      // it has had an answer
	job       bool      // ... to a job
	shed      bool      // told to close
	room      bool      // ... because its descriptor is needed: nothing more is waited for
	owed      bool      // reqs of it are whole, and the last answer to them is not written yet
	ahead     bool      // bytes have come behind that req
	stays     bool      // it lingers
	readsLate bool      // ... though its descriptor is wanted: its client's bytes come
}

// table holds all sessions by shedRank, and within a shedRank by since, so that the one to shed is at
// the front of a list however many there are.
type table struct {
	mu    sync.Mutex
	last  uint64 // id given to a session
	rows  [shedRanks]linked.List
	count int
	// lingers is how many sessions stay for their last answer to be read, in whatever row.
	lingers int
	// owed is how many sessions have an answer to come, or one that is decided and not written yet, in whatever row.
	owed int
	left chan struct{} // a session has ended
}

// enter seats a new session. Beyond most, one is shed if any may be: those that linger are not counted, as long as there is
// room for them beyond most. They are the first to go for the new one's descriptor, and only then: their clients' bytes
// may still be on their way.
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

// waitBelow waits until there are no more than n sessions, for a while at most, and only
// while some are about to close.
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

// move puts a session at the end of a row, unless it is on its way out. t.mu is held.
func (t *table) move(s *sessionState, to shedRank) {
	if s.shedRank == leaving {
		return
	}
	t.rows[s.shedRank].Remove(s.place)
	s.shedRank, s.place = to, t.rows[to].PushBack(s)
}

// begun tells that bytes of a req have come.
func (t *table) begun(s *sessionState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s.shedRank {
	case silent, half: // rows are in the order of what spares their sessions
		s.byte = time.Now()
		t.move(s, half)
	case asked, resting:
		t.move(s, working)
	}
}

// taken tells that a req is whole.
func (t *table) taken(s *sessionState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.move(s, working)
	if !s.owed {
		t.owed++
	}
	s.owed, s.ahead = true, false
}

// paid tells that nothing is owed on a session any more. t.mu is held.
func (t *table) paid(s *sessionState) {
	if s.owed {
		t.owed--
	}
	s.owed = false
}

// sentAhead tells that bytes came behind the req that is owed its answer, so that the answer wakes the
// session's goroutine for them. It returns false, and nothing is to come, where the answer is out.
func (t *table) sentAhead(s *sessionState) (owed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.ahead = s.ahead || s.owed
	return s.owed
}

// stillOwed says whether the req has no answer yet. Then nothing has set the session a time to read by
// that counts, and it reads on without one.
func (t *table) stillOwed(s *sessionState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.owed {
		s.conn.SetReadDeadline(time.Time{})
	}
	return s.owed
}

// answered tells that a req was answered, and returns whether the session is to close: not one that is
// shed while more of its client's has been read, which is answered first. Its
// goroutine is woken for that, for what was sent ahead, or where it is to give up a long body. What wakes it is set
// under the lock: it must not undo what shut has set.
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

// linger lets a session that has had its last answer stay until its client has read that, if no more than most
// do. One whose descriptor is needed already stays among those that leave.
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

// lingerUntil sets how long a session that lingers goes on reading, unless it was told meanwhile that its descriptor
// is needed.
func (t *table) lingerUntil(s *sessionState, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !s.room {
		s.conn.SetReadDeadline(at)
	}
}

// readLate lets a session whose descriptor is wanted read on until a time, or until somebody has waited in vain for a descriptor.
func (t *table) readLate(s *sessionState, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.readsLate = true
	s.conn.SetReadDeadline(until)
}

// lateReader is the session that has been reading on so for longest, if there is one.
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

// cutLateReader ends it.
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

// over says whether the session is to end for want of another req.
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

// spared says whether a session is to be kept for now, or has not been idle for so long.
func (s *sessionState) spared(rest time.Duration) bool {
	from := s.since
	if s.shedRank == half {
		from = s.byte
	}
	return time.Since(from) < max(sparedFor[s.shedRank], rest)
}

// shedOne tells the first session that may go, of a shedRank or later ones, to close. t.mu is held.
func (t *table) shedOne(from shedRank) bool {
	for r := from; r < working; r++ {
		if e := t.rows[r].Front(); e != nil && !e.Value.(*sessionState).spared(0) {
			t.shut(e.Value.(*sessionState), guard.RoomWanted)
			return true
		}
	}
	return false
}

// shrink sheds those who may go until there are no more than most, or none may.
func (t *table) shrink(most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for over := t.count - t.rows[leaving].Len() - most; over > 0 && t.shedOne(lingering); over-- {
	}
}

// trim keeps the sessions that serve jobs to a number, as far as some are idle and will
// hardly be used again at once.
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

// shut wakes a session's goroutine, which looks whether a req came after all, and closes.
func (t *table) shut(s *sessionState, why guard.Reason) {
	t.move(s, leaving)
	s.note(guard.SessionTold, why)
	s.shed, s.room = true, s.room || why == guard.RoomWanted
	s.conn.SetReadDeadline(time.Now())
}

// shutIdle tells sessions to close that have been between reqs for so long, and new ones after a
// while.
func (t *table) shutIdle(rest time.Duration, why guard.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := lingering; r < working; r++ {
		for e := t.rows[r].Front(); e != nil && !e.Value.(*sessionState).spared(rest); e = t.rows[r].Front() {
			t.shut(e.Value.(*sessionState), why)
		}
	}
}

// open is how many sessions there are, and how many of them connected before a time; none if it
// is zero, which costs nothing.
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
