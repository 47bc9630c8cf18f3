// Package service decides in which state a dispatcher is towards its clients (in service, draining,
// out of service, handed over, shutting down) and what its fronts are to do in it. Operators' calls, SIGTERM
// and a hand-over to a new version are its events; it does no I/O and reads no clock.
package service

import "time"

// Times of a drain, from its beginning on: the call that takes the dispatcher out of service, or
// SIGTERM. The platform's figures are in its protocol ("Figures") and in the operators' page.
const (
	lateFront  = 600 * time.Millisecond // the front may still send new connections
	ownReqs    = 700 * time.Millisecond // what comes later is lost if the kill finds it unanswered
	killFloor  = 3 * time.Second        // the kill comes ownReqs after this, or after the longest deadline if that is less
	killMargin = 200 * time.Millisecond // answers are out so long before the kill
	lastReqs   = 400 * time.Millisecond // for the last reqs to be answered in: most take half of it
	endSlack   = 500 * time.Millisecond // an answer that is later than its time by more is lost anyhow
	quietLooks = 5                      // without a session, before the end
	// An answer that went out before sessions are closed has left its connection open: the client's next request may be
	// on its way for so long, a round trip and a busy client, before the connection is closed as an idle one.
	lastRest = 100 * time.Millisecond
)

// Times of a process that has handed over, from then on. Its sessions close with their next
// answer. One that stays idle is closed once its client seems not to need it, so that the close
// crosses no req; the new process takes the client's next connection.
const (
	handedRest = 400 * time.Millisecond
	handedAll  = 1200 * time.Millisecond // from then on whatever is idle is closed
)

// LookEvery is how often Look is to be called while a state is left or about to be.
const LookEvery = 20 * time.Millisecond

// State is where a dispatcher's process stands.
type State uint8

// States.
const (
	InService State = iota
	Draining        // out of service by a call, and clients' reqs are still answered
	OutOfService
	HandedOver   // another process of the same dispatcher serves in its place
	ShuttingDown // SIGTERM has come
)

var names = [...]string{"in service", "draining", "out of service", "handed over", "shutting down"}

func (s State) String() string { return names[s] }

// Orders are what the fronts do until the next ones.
type Orders struct {
	State  State
	Handed bool          // another process accepts in this one's place
	Ready  bool          // a check of health is answered by yes, if there is a backend
	Accept bool          // new connections are taken
	Hint   bool          // connections that can say so ahead (HTTP/2) tell their clients to go
	Close  bool          // an answer ends its session
	Rest   time.Duration // sessions idle for so long are closed; only if Close
	Until  time.Time     // what comes now is answered by then; zero for no end. Past: it is refused, and never sent on
	End    bool          // the process is to end, and takes nothing any more
}

// Machine is the state of one process. The zero value is in service; Longest must be set first.
// It is not for concurrent use.
type Machine struct {
	Longest time.Duration // the longest deadline of a class

	out, term, handed time.Time // since when; zero if not
	quiet             int
	whole             time.Time // until then, after SIGTERM, the orders gave reqs their whole time
	called            bool      // the orders have what comes refused
}

// Out takes the dispatcher out of service. Repeated calls change nothing.
func (m *Machine) Out(now time.Time) {
	if m.out.IsZero() {
		m.out = now
	}
}

// In takes it back, also in the middle of a drain. It returns false, and changes nothing, where
// the process is shutting down and no other has taken over.
func (m *Machine) In() bool {
	if !m.term.IsZero() && m.handed.IsZero() {
		return false
	}
	m.out = time.Time{}
	return true
}

// Term begins the shutdown.
func (m *Machine) Term(now time.Time) {
	if m.term.IsZero() {
		m.term, m.quiet = now, 0
	}
}

// HandOver tells that another process of this dispatcher takes new connections from now on.
func (m *Machine) HandOver(now time.Time) { m.handed, m.quiet = now, 0 }

// TakeBack tells that the process that had taken over is gone.
func (m *Machine) TakeBack() { m.handed = time.Time{} }

// IsOut says whether the dispatcher was taken out of service.
func (m *Machine) IsOut() bool { return !m.out.IsZero() }

// Changing says whether time alone may change what Look says.
func (m *Machine) Changing() bool {
	return !m.out.IsZero() || !m.term.IsZero() || !m.handed.IsZero()
}

// kill is when, after SIGTERM, the kill comes.
func (m *Machine) kill() time.Duration { return min(m.Longest, killFloor) + ownReqs }

// closeAt is when, from the beginning of a drain, sessions are closed: as late as what comes on them
// until then can be answered. The front brings a client whose session is closed to another
// dispatcher, if it knows of one that is up: not where this one is alone, nor while the one that
// was restarted before it has yet to be noticed.
func (m *Machine) closeAt() time.Duration { return m.kill() - killMargin - lastReqs }

// Load is what clients have open now.
type Load struct {
	Sessions int // of any kind
	Early    int // of those, connected before FrontStops
	Owed     int // reqs owed an answer, or the rest of one
	Closing  int // sessions told to close; one may have taken a req that crossed that, and be writing its answer
}

// FrontStops is when the front sends no more new connections after a SIGTERM, at the latest; zero
// before one. Who connects later is not sent by it.
func (m *Machine) FrontStops() time.Time {
	if m.term.IsZero() {
		return time.Time{}
	}
	return m.term.Add(lateFront)
}

// Look says what to do now.
func (m *Machine) Look(now time.Time, l Load) Orders {
	o := Orders{Ready: m.out.IsZero() && (m.term.IsZero() || !m.handed.IsZero()), Accept: m.handed.IsZero()}
	switch {
	case !m.term.IsZero():
		o.State = ShuttingDown
	case !m.handed.IsZero():
		o.State = HandedOver
	case !m.out.IsZero():
		o.State = Draining
	}
	if !m.handed.IsZero() {
		o.Handed, o.Close, o.Hint = true, true, true
		if now.Sub(m.handed) < handedAll {
			o.Rest = handedRest
		}
	}
	for _, begun := range [...]time.Time{m.out, m.term} {
		if begun.IsZero() {
			continue
		}
		o.Hint = true
		age := now.Sub(begun)
		switch { // what comes early has its whole time: the kill, or the end of the drain, spares it
		case age < lateFront:
		case age < m.kill() || begun.Equal(m.term): // no late req slips by
			if until := begun.Add(m.kill() - killMargin); o.Until.IsZero() || until.Before(o.Until) {
				o.Until = until
			}
		case o.State == Draining:
			o.State = OutOfService
		}
		switch {
		case age >= m.closeAt()+lastRest:
			o.Close, o.Rest = true, 0
		case age >= m.closeAt() && !o.Close:
			o.Close, o.Rest = true, lastRest
		}
	}
	m.end(now, l, &o)
	return o
}

// frontGone is when a front that looks at the dispatcher's health sends it nothing new any more: neither
// since it was taken out of service nor since SIGTERM, whichever came first.
func (m *Machine) frontGone() time.Time {
	if !m.out.IsZero() && m.out.Before(m.term) {
		return m.out.Add(lateFront)
	}
	return m.FrontStops()
}

// lastDue is when, from SIGTERM on, the last answer is due: of a req that was taken just before orders cut the time
// of those to come, or of one that came later and is to be answered before the kill. Orders hold until the next
// look, which a process that is held up (a busy machine) makes late.
func (m *Machine) lastDue() time.Duration { return max(m.Longest+m.whole.Sub(m.term), m.kill()) }

// end says whether all is answered and nobody is left for a moment: a client whose req crossed the closing
// of its session comes back at once. What comes within one look of the end is refused, so that no req is read
// by a process that has decided to end, sent on, and cut.
func (m *Machine) end(now time.Time, l Load, o *Orders) {
	called := m.called
	m.called = false
	if !m.term.IsZero() && (m.whole.IsZero() || m.whole.Before(m.FrontStops())) {
		m.whole = now
	}
	if m.term.IsZero() && m.handed.IsZero() || !o.Close {
		return
	}
	left, over := l.Sessions, false
	if !m.term.IsZero() {
		if now.After(m.FrontStops()) {
			left = l.Early
		}
		age := now.Sub(m.term)
		over = age >= m.Longest+endSlack && l.Owed == 0 && l.Closing == 0 || age >= m.lastDue()+endSlack
		if m.handed.IsZero() && now.Before(m.frontGone()) { // who is sent here still would find nobody
			m.quiet = 0
			return
		}
	}
	if m.quiet++; left > 0 || l.Owed > 0 {
		m.quiet = 0
	}
	o.End = called && (m.quiet > quietLooks || over)
	if (over || m.quiet >= quietLooks) && (o.Until.IsZero() || now.Before(o.Until)) {
		o.Until = now
	}
	m.called = !o.Until.IsZero() && !now.Before(o.Until)
}
