package accord

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// world plays a fleet in virtual time: real decision code, a model of the majority log (one leader a
// term; a deposed one does not know it, but no majority confirms it any more; an entry that was
// given to the log when its leader is deposed is either in the next one's log or gone for ever),
// links that drop, delay and repeat, processes that stall and crash, clocks that drift.
type world struct {
	plan  LeaseConfig
	rnd   *rand.Rand
	now   int64 // real time, ns
	queue events
	count int

	term    uint64
	leader  *keeperAt
	state   State
	pending *Decision

	all    []*dispatcher
	faulty bool          // messages are lost and repeated, processes stall
	delay  time.Duration // the longest that a message travels

	ended  map[uint64]Result // of changes, as the notes have it
	bad    string            // the first promise that was broken
	served int               // how often a dispatcher was seen taking reqs
}

type keeperAt struct {
	*Leader
	rate float64
	term uint64
	dead bool
}

type dispatcher struct {
	*Participant
	id    int
	life  uint64
	rate  float64
	cut   bool
	down  bool
	stall int64 // handles nothing until then
	wait  int   // reqs taken that have not begun
	older bool  // refuses odd bodies
	enter uint64
}

type event struct {
	at int64
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

func newWorld(p LeaseConfig, n int, seed uint64) *world {
	w := &world{plan: p, rnd: rand.New(rand.NewPCG(seed, 1)), faulty: true, delay: 20 * time.Millisecond, ended: map[uint64]Result{}}
	w.elect()
	for i := range n {
		d := &dispatcher{id: i, rate: w.rate()}
		w.all = append(w.all, d)
		w.start(d)
	}
	return w
}

func (w *world) rate() float64 {
	return 1 + w.plan.Drift*[]float64{-1, 0, 1}[w.rnd.IntN(3)]
}

func (w *world) after(d time.Duration, do func()) {
	w.count++
	heap.Push(&w.queue, event{w.now + int64(d), w.count, do})
}

// run plays until a real time.
func (w *world) run(d time.Duration) {
	until := w.now + int64(d)
	for len(w.queue) > 0 && w.queue[0].at <= until && w.bad == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		w.check()
	}
	w.now = max(w.now, until)
}

func (w *world) clock(rate float64) Time { return Time(float64(w.now) * rate) }

// start begins a life of a dispatcher.
func (w *world) start(d *dispatcher) {
	d.life++
	d.down, d.wait, d.enter = false, 0, 0
	d.rate, d.older = w.rate(), w.faulty && w.rnd.IntN(8) == 0
	var err error
	if d.Participant, err = NewParticipant(w.plan, fmt.Sprintf("n%d", d.id), d.life); err != nil {
		panic(err)
	}
	w.beat(d, d.life)
}

// beat has a life do what is due, again and again.
func (w *world) beat(d *dispatcher, life uint64) {
	if d.life != life || d.down {
		return
	}
	if w.now >= d.stall {
		w.turn(d)
	}
	w.after(w.plan.RenewInterval()/4, func() { w.beat(d, life) })
}

func (w *world) turn(d *dispatcher) {
	now := w.clock(d.rate)
	if d.wait > 0 && w.rnd.IntN(2) == 0 {
		d.wait--
	} else if now < d.Admission().AcceptUntil && w.rnd.IntN(3) == 0 {
		d.wait++
	}
	d.Tick(now, d.wait)
	for _, c := range d.TakeChecks() {
		life := d.life
		w.after(w.span(10*time.Millisecond), func() {
			if d.life == life && !d.down {
				var err error
				if d.older && len(c.Body)%2 == 1 {
					err = errors.New("an unknown key")
				}
				d.ReportCheck(w.clock(d.rate), c, err)
				w.turn(d)
			}
		})
	}
	if v, body, ok := d.TakeActivation(); ok {
		if d.older && len(body)%2 == 1 {
			w.fail("n%d took up version %d, which it cannot take", d.id, v)
		}
		if v < d.enter {
			w.fail("n%d went from version %d back to %d", d.id, d.enter, v)
		}
		d.enter = v
	}
	w.heard(d.TakeEvents())
	if a, ok := d.NextRequest(now); ok {
		w.ask(d, a)
	}
}

// heard keeps what the notes say of ends: no change may end in two ways.
func (w *world) heard(notes []Event) {
	for _, n := range notes {
		end := Undecided
		switch {
		case n.Step == "withdrawn" && n.Change != 0:
			end = Withdrawn
		case n.Step == "decided":
			end = InForce
		}
		if end == Undecided {
			continue
		}
		if was := w.ended[n.Change]; was != Undecided && was != end {
			w.fail("change %x is both withdrawn and decided", n.Change)
		}
		w.ended[n.Change] = end
	}
}

func (w *world) span(most time.Duration) time.Duration {
	return time.Duration(w.rnd.Int64N(int64(most) + 1))
}

// carry has a message arrive: late, never or twice.
func (w *world) carry(cut bool, arrive func()) {
	if cut {
		return
	}
	times := 1
	if w.faulty {
		switch w.rnd.IntN(20) {
		case 0:
			return
		case 1:
			times = 2
		}
	}
	for range times {
		late := w.span(w.delay)
		if w.faulty && w.rnd.IntN(30) == 0 {
			late += w.span(2 * w.plan.Lease)
		}
		w.after(late, arrive)
	}
}

// ask carries an ask to who leads, and back. The leader confirms its term when the ask is there,
// and may stall between that and its answer.
func (w *world) ask(d *dispatcher, a LeaseRequest) {
	life, k := d.life, w.leader
	w.carry(d.cut, func() {
		if k.dead || k.term != w.term {
			return
		}
		stall := time.Duration(0)
		if w.faulty && w.rnd.IntN(40) == 0 {
			stall = w.span(2 * w.plan.Lease)
		}
		w.after(stall, func() {
			if k.dead {
				return
			}
			answer := k.Handle(w.clock(k.rate), a)
			w.lead(k)
			w.carry(d.cut, func() { w.hear(d, life, answer) })
		})
	})
}

func (w *world) hear(d *dispatcher, life uint64, a LeaseResponse) {
	if d.life != life || d.down {
		return
	}
	if w.now < d.stall {
		w.after(time.Duration(d.stall-w.now), func() { w.hear(d, life, a) })
		return
	}
	d.HandleResponse(w.clock(d.rate), a)
	w.turn(d)
}

// lead does what a keeper asks for.
func (w *world) lead(k *keeperAt) {
	w.heard(k.TakeEvents())
	if s, ok := k.TakeDecision(); ok && k.term == w.term {
		w.pending = &s
		w.after(w.span(2*w.delay), func() {
			if w.term == k.term && w.pending != nil {
				w.commit()
				k.Applied(w.clock(k.rate), w.state)
				w.lead(k)
			}
		})
	}
	if k.TakePoll() && k.term == w.term {
		for _, d := range w.all {
			life := d.life
			w.carry(d.cut, func() {
				if d.life == life && !d.down && w.now >= d.stall {
					d.RequestNow()
					w.turn(d)
				}
			})
		}
	}
}

func (w *world) commit() {
	d := *w.pending
	w.pending = nil
	if w.state.Apply(d) {
		w.heard([]Event{{Step: "decided", Change: d.Change, Version: d.Version}})
	}
}

// elect makes a new leader. What the one before had given to the log is in the new one's, or lost.
func (w *world) elect() {
	if w.pending != nil && w.rnd.IntN(2) == 0 {
		w.commit()
	}
	w.pending = nil
	w.term++
	rate := w.rate()
	k, err := NewLeader(w.plan, w.term, w.clock(rate), w.state)
	if err != nil {
		panic(err)
	}
	at := &keeperAt{Leader: k, rate: rate, term: w.term}
	w.leader = at
	w.tick(at)
}

// tick lets time pass for a keeper; a deposed one goes on, too.
func (w *world) tick(k *keeperAt) {
	if k.dead || k.term+2 < w.term {
		return
	}
	k.Tick(w.clock(k.rate))
	w.lead(k)
	w.after(w.plan.Lease/20, func() { w.tick(k) })
}

func (w *world) fail(format string, a ...any) {
	if w.bad == "" {
		w.bad = fmt.Sprintf(format, a...)
	}
}

// check holds promise 2 at this moment: all that may take or start, may by one version. An opening
// happens at an event alone, so that looking after each misses none.
func (w *world) check() {
	if w.plan.ContinueWhenCut {
		return
	}
	by, who := uint64(0), 0
	for _, d := range w.all {
		if d.down {
			continue
		}
		g, now := d.Admission(), w.clock(d.rate)
		if now >= g.AcceptUntil && now >= g.StartUntil {
			continue
		}
		w.served++
		if by != 0 && by != g.Version {
			w.fail("at %d ns n%d takes or starts by version %d and n%d by %d", w.now, who, by, d.id, g.Version)
		}
		by, who = g.Version, d.id
	}
}

// propose has a dispatcher propose a body.
func (w *world) propose(d *dispatcher, body string) {
	if !d.down && w.now >= d.stall && d.Propose(w.rnd.Uint64()|ProposalBit, []byte(body)) == nil {
		w.turn(d)
	}
}

// mend ends all faults.
func (w *world) mend() {
	w.faulty, w.delay = false, 5*time.Millisecond
	for _, d := range w.all {
		d.cut, d.stall, d.older = false, 0, false
		d.RetryCheck()
		if d.down {
			w.start(d)
		}
	}
}

// settled is what is wrong once faults have ended and the named time has passed; empty if nothing is.
func (w *world) settled() string {
	for _, d := range w.all {
		v, _ := d.Current()
		switch {
		case w.state.Version == 0:
			return "no version was ever decided"
		case v != w.state.Version:
			return fmt.Sprintf("n%d holds version %d, and %d is decided", d.id, v, w.state.Version)
		case w.clock(d.rate) >= d.Admission().AcceptUntil:
			return fmt.Sprintf("n%d takes nothing: %s", d.id, d.NotAcceptingReason())
		case d.ProposalPending():
			return fmt.Sprintf("n%d knows no outcome of its proposal", d.id)
		}
	}
	if c := w.leader.change; c != nil {
		return fmt.Sprintf("change %x is in stage %d still", c.id, c.stage)
	}
	return ""
}

// schedule plays random faults and proposals, mends all, and says what was broken.
func schedule(p LeaseConfig, n, steps int, seed uint64) (*world, string) {
	w := newWorld(p, n, seed)
	w.propose(w.all[0], "first")
	if w.rnd.IntN(2) == 0 {
		w.run(3 * p.Lease)
	}
	for range steps {
		d := w.all[w.rnd.IntN(n)]
		switch w.rnd.IntN(12) {
		case 0, 1:
			w.propose(d, fmt.Sprintf("policy %d %s", w.rnd.IntN(1000), "abcd"[:w.rnd.IntN(4)]))
		case 2:
			d.cut = !d.cut
		case 3: // crashes, and is back at once or later
			if d.down {
				w.start(d)
			} else if d.down = true; w.rnd.IntN(2) == 0 {
				w.start(d)
			}
		case 4:
			d.stall = w.now + int64(w.span(2*p.Lease))
		case 5:
			w.elect()
		case 6: // the leader crashes; there is a time with none
			w.leader.dead = true
			w.run(w.span(p.Lease))
			w.elect()
		}
		w.run(w.span(p.Lease / 2))
		if w.bad != "" {
			return w, w.bad
		}
	}
	w.mend()
	w.run(2 * (p.QuietPeriod() + 6*p.Lease))
	if w.bad != "" {
		return w, w.bad
	}
	if w.state.Version > 0 && w.settled() != "" {
		return w, w.settled()
	}
	w.propose(w.all[w.rnd.IntN(n)], "the last") // the fleet is still able to change
	was := w.state.Version
	w.run(4 * p.Lease)
	switch {
	case w.bad != "":
		return w, w.bad
	case w.state.Version != was+1 || string(w.state.Body) != "the last":
		return w, fmt.Sprintf("after all faults a change from version %d was not decided: %+v", was, w.leader.last)
	}
	return w, w.settled()
}
