package sim

import (
	"math"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/lab/fleet"
	"tinsail/internal/lab/judge"
	"tinsail/internal/maintenance"
)

// dispatcher is one dispatcher: the real core and module, the real bans over its list, and its connections.
type dispatcher struct {
	world       *world
	index       int
	core        *core.Core
	bans        maintenance.Bans
	conns       map[*backend]int // idle connections
	timer       float64          // that an event is set for; +Inf if none
	dirty       bool
	asked       map[*client]struct{}           // that wait for its answer
	last        map[string]maintenance.Backend // the list as it was last told
	dead        bool                           // killed; another may serve in its place
	routed      bool                           // the front sends it clients
	notReady    bool                           // the front has heard that it takes none
	participant *participant                   // nil without an accord
	quotas      *dispatcherQuotas              // nil without quotas
}

func newSide(w *world, at int, settings balance.Settings, p Policy) (s *dispatcher, err error) {
	s = &dispatcher{world: w, index: at, conns: map[*backend]int{}, timer: math.Inf(1),
		asked: map[*client]struct{}{}, last: map[string]maintenance.Backend{}, routed: true}
	s.core, err = core.NewWith(w.time, p, settings, s, s, &counters.Set{})
	if err == nil && w.leader != nil {
		if s.participant, err = newParticipant(s); err == nil {
			s.core.Versions = s.participant
		}
	}
	if err == nil && w.quotas != nil {
		if s.quotas, err = newDispatcherQuotas(s); err == nil {
			s.core.Quotas = s.quotas
		}
	}
	return s, err
}

// markDirty notes that something has come to it.
func (s *dispatcher) markDirty() {
	if !s.dirty {
		s.dirty = true
		s.world.dirty = append(s.world.dirty, s)
	}
}

// step has the core take what has come and what is due, and sets an event for its next timer.
func (s *dispatcher) step() {
	if s.dead {
		return
	}
	s.core.Step()
	t := s.core.NextTimer()
	if t.IsZero() {
		return
	}
	next := float64(t.Sub(origin)) / 1e6
	if next >= s.timer {
		return
	}
	s.timer = next
	s.world.schedule(next, func() {
		if s.timer == next {
			s.timer = math.Inf(1)
		}
		s.markDirty()
	})
}

// whole tells it the whole list.
func (s *dispatcher) whole(list []*backend) {
	in := make([]maintenance.Backend, 0, len(list))
	for _, n := range list {
		if n.state == balance.Gone {
			continue
		}
		in = append(in, maintenance.Backend(n.entry()))
		if n.state != balance.Ready {
			s.world.note(judge.Event{Kind: judge.StateReceived, Node: s.index, Backend: n.name})
		}
		s.last[n.name] = in[len(in)-1]
	}
	s.listed(balance.ListFull, s.bans.ApplyList(balance.ListFull, in))
}

// tell tells it what the director says of one backend.
func (s *dispatcher) tell(n *backend) {
	s.world.note(judge.Event{Kind: judge.StateReceived, Node: s.index, Backend: n.name, Ready: n.state == balance.Ready})
	if s.last[n.name] = maintenance.Backend(n.entry()); n.state == balance.Gone {
		delete(s.last, n.name)
	}
	s.listed(balance.ListDelta, s.bans.ApplyList(balance.ListDelta, []maintenance.Backend{maintenance.Backend(n.entry())}))
}

// ban is an operator's call.
func (s *dispatcher) ban(n *backend, on bool) {
	now, call := float64(s.world.time().UnixNano())/1e6, s.bans.Online
	if on {
		call = s.bans.Offline
	}
	change, _ := call(now, n.name)
	held := map[balance.WorkerID]struct{}{}
	for _, name := range s.bans.OperatorBanned() {
		held[idOf(name)] = struct{}{}
	}
	s.core.SetBanned(held)
	delete(s.conns, n)
	s.listed(balance.ListDelta, change)
}

func (s *dispatcher) listed(kind balance.ListKind, list []maintenance.Backend) {
	out := make([]core.Entry, len(list))
	for i := range list {
		out[i] = core.Entry(list[i])
	}
	s.core.HandleList(kind, out)
	s.markDirty()
}

// attempt is an attempt under way.
type attempt struct {
	dispatcher *dispatcher
	n          *backend
	id         uint64
	a          *core.Attempt
	over       bool
	// never is what its dispatcher was told, began what happened.
	never, began bool
}

// Send carries an attempt out on the model.
func (s *dispatcher) Send(a *core.Attempt) func() {
	w := s.world
	w.jobs++
	t := &attempt{dispatcher: s, n: w.byID[a.Backend.ID], id: w.jobs, a: a}
	c := w.tries[a.Job.ID]
	c.trips = append(c.trips, t)
	w.result.Attempts++
	wait := w.delay()
	connect := s.conns[t.n] == 0
	if !connect {
		s.conns[t.n]--
	} else {
		wait += w.scenario.Connect
	}
	w.schedule(w.now+wait, func() { t.begin(connect) })
	return func() {
		if t.over {
			return
		}
		t.over = true
		w.note(judge.Event{Kind: judge.AttemptEnded, Node: s.index, Req: a.Job.ID, Attempt: a.Number()})
		t.call()
	}
}

// call calls the job off at its backend, by closing its connection.
func (t *attempt) call() {
	w := t.dispatcher.world
	w.schedule(w.now+w.delay(), func() {
		if t.n.out[t.id] != nil {
			delete(t.n.out, t.id)
			if w.tenants != nil && t.n.cfg.Kind.OnCancel == fleet.DropAll {
				w.tenants.handleEnd(t.id)
			}
			w.told(t.n, t.n.model.Cancel(w.now, t.id))
		}
	})
}

// progress tells the share that is done, every so often while the job runs.
func (t *attempt) progress() {
	w := t.dispatcher.world
	w.schedule(w.now+w.scenario.Site.ProgressEvery, func() {
		w.told(t.n, t.n.model.Advance(w.now))
		if t.over || t.n.out[t.id] != t {
			return
		}
		if share := t.n.model.Progress(t.id); t.n.model.NextSendTime(w.now) == w.now {
			w.schedule(w.now+w.delay(), func() { t.dispatcher.markDirty(); t.a.Progress(share) })
		}
		t.progress()
	})
}

// begin is the moment of the first byte, and of the last: jobs are short.
func (t *attempt) begin(connect bool) {
	w, s := t.dispatcher.world, t.dispatcher
	if t.over {
		return
	}
	if !t.a.MayBegin() {
		t.over, t.never = true, true
		s.markDirty()
		t.a.Ended(core.Unsent, "", nil)
		return
	}
	if w.leader != nil && t.a.Version() < w.leader.state.Version {
		w.result.Accord.OutdatedStarts++
	}
	c := w.tries[t.a.Job.ID]
	work := c.Work
	if z := c.class().AttemptSpread; z > 0 {
		work *= math.Exp(z*w.attempts.NormFloat64() - z*z/2)
	}
	e := judge.Event{Kind: judge.AttemptSent, Node: s.index, Req: t.a.Job.ID, Key: t.a.Job.IdempotencyKey, Attempt: t.a.Number(), Backend: t.n.name,
		Group: t.n.cfg.Pod, Work: c.Work}
	if part := t.n.model.Capacity(w.now); part < 1 {
		e.Capacity = part * t.n.cfg.Kind.Cores * t.n.cfg.Kind.Speed
	}
	w.note(e)
	w.result.JobsByBackend[t.n.name]++
	t.n.out[t.id], w.owners[t.id] = t, t
	job := fleet.Job{ID: t.id, Work: work, Slots: c.Slots}
	if key := t.a.Job.IdempotencyKey; key != "" {
		job.Key = hashOf(key)
	}
	verdict, list := t.n.model.Offer(w.now, job, connect)
	w.told(t.n, list)
	switch verdict {
	case fleet.Full:
		t.reply(core.Returned)
	case fleet.Refused:
		t.reply(core.Unreached)
	}
}

// reply ends an attempt a network's way later; its connection may carry another.
func (t *attempt) reply(e core.Ending) {
	w, s := t.dispatcher.world, t.dispatcher
	delete(t.n.out, t.id)
	w.schedule(t.n.model.NextSendTime(w.now)+w.delay(), func() {
		if e != core.Broken && e != core.Unreached {
			s.conns[t.n]++
		}
		if t.over { // the dispatcher has stopped waiting
			return
		}
		t.over, t.never = true, e == core.Returned || e == core.Unreached
		w.note(judge.Event{Kind: judge.AttemptEnded, Node: s.index, Req: t.a.Job.ID, Attempt: t.a.Number(), NeverRan: t.never})
		s.markDirty()
		t.a.Ended(e, "", w.report(t.n))
	})
}

// Probe answers nothing: scenarios have no probes.
func (s *dispatcher) Probe(_ *core.Backend, done func(core.Ending, []float32)) {
	s.world.schedule(s.world.now+s.world.delay(), func() { s.markDirty(); done(core.Failed, nil) })
}

// CloseIdle closes the idle connections to a backend.
func (s *dispatcher) CloseIdle(b *core.Backend) {
	if n := s.world.byID[b.ID]; n != nil {
		delete(s.conns, n)
	}
}

// Subscribe does nothing: lists come by themselves.
func (s *dispatcher) Subscribe() {}
