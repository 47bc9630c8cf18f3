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

// dispatcher is one simulated dispatcher: the real core and module, the real bans applied to its list, and its
// connections.
type dispatcher struct {
	world       *world
	index       int
	core        *core.Core
	bans        maintenance.Bans
	idleConns   map[*backend]int // idle connections
	nextTimer   float64          // time of the earliest scheduled timer event; +Inf if none
	dirty       bool
	waiting     map[*client]struct{}           // clients that wait for its answer
	lastList    map[string]maintenance.Backend // the list as last received
	dead        bool                           // killed; a new process may have taken its place
	routed      bool                           // the front load balancer sends it clients
	notReady    bool                           // the front load balancer knows that it accepts no reqs
	participant *participant                   // nil without an accord
	quotas      *dispatcherQuotas              // nil without quotas
}

func newSide(w *world, at int, settings balance.Settings, p Policy) (s *dispatcher, err error) {
	s = &dispatcher{world: w, index: at, idleConns: map[*backend]int{}, nextTimer: math.Inf(1),
		waiting: map[*client]struct{}{}, lastList: map[string]maintenance.Backend{}, routed: true}
	s.core, err = core.NewWith(w.wallClock, p, settings, s, s, &counters.Set{})
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

// markDirty records that the dispatcher has received something and must be stepped.
func (s *dispatcher) markDirty() {
	if !s.dirty {
		s.dirty = true
		s.world.dirty = append(s.world.dirty, s)
	}
}

// step has the core process what has arrived and what is due, and schedules an event for its next timer.
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
	if next >= s.nextTimer {
		return
	}
	s.nextTimer = next
	s.world.schedule(next, func() {
		if s.nextTimer == next {
			s.nextTimer = math.Inf(1)
		}
		s.markDirty()
	})
}

// sendFullList tells it the sendFullList list.
func (s *dispatcher) sendFullList(list []*backend) {
	in := make([]maintenance.Backend, 0, len(list))
	for _, n := range list {
		if n.state == balance.Gone {
			continue
		}
		in = append(in, maintenance.Backend(n.entry()))
		if n.state != balance.Ready {
			s.world.record(judge.Event{Kind: judge.StateReceived, Node: s.index, Backend: n.name})
		}
		s.lastList[n.name] = in[len(in)-1]
	}
	s.applyList(balance.ListFull, s.bans.ApplyList(balance.ListFull, in))
}

// sendBackendState delivers the director's state of one backend.
func (s *dispatcher) sendBackendState(n *backend) {
	s.world.record(judge.Event{Kind: judge.StateReceived, Node: s.index, Backend: n.name, Ready: n.state == balance.Ready})
	if s.lastList[n.name] = maintenance.Backend(n.entry()); n.state == balance.Gone {
		delete(s.lastList, n.name)
	}
	s.applyList(balance.ListDelta, s.bans.ApplyList(balance.ListDelta, []maintenance.Backend{maintenance.Backend(n.entry())}))
}

// ban carries out an operator's call that bans a backend or lifts its ban.
func (s *dispatcher) ban(n *backend, on bool) {
	now, call := float64(s.world.wallClock().UnixNano())/1e6, s.bans.Online
	if on {
		call = s.bans.Offline
	}
	change, _ := call(now, n.name)
	held := map[balance.WorkerID]struct{}{}
	for _, name := range s.bans.OperatorBanned() {
		held[workerID(name)] = struct{}{}
	}
	s.core.SetBanned(held)
	delete(s.idleConns, n)
	s.applyList(balance.ListDelta, change)
}

func (s *dispatcher) applyList(kind balance.ListKind, list []maintenance.Backend) {
	out := make([]core.Entry, len(list))
	for i := range list {
		out[i] = core.Entry(list[i])
	}
	s.core.HandleList(kind, out)
	s.markDirty()
}

// attempt is an attempt in flight.
type attempt struct {
	dispatcher *dispatcher
	backend    *backend
	jobID      uint64
	core       *core.Attempt
	over       bool
	// neverRan is what its dispatcher was told, started what happened.
	neverRan, started bool
}

// Send sends an attempt to the modelled backend and returns the function that cancels it.
func (s *dispatcher) Send(a *core.Attempt) func() {
	w := s.world
	w.lastJobID++
	t := &attempt{dispatcher: s, backend: w.backendsByID[a.Backend.ID], jobID: w.lastJobID, core: a}
	c := w.clientsByTry[a.Job.ID]
	c.attempts = append(c.attempts, t)
	w.result.Attempts++
	wait := w.delay()
	connect := s.idleConns[t.backend] == 0
	if !connect {
		s.idleConns[t.backend]--
	} else {
		wait += w.scenario.Connect
	}
	w.schedule(w.now+wait, func() { t.send(connect) })
	return func() {
		if t.over {
			return
		}
		t.over = true
		w.record(judge.Event{Kind: judge.AttemptEnded, Node: s.index, Req: a.Job.ID, Attempt: a.Number()})
		t.cancel()
	}
}

// cancel cancels the job at its backend by closing the connection.
func (t *attempt) cancel() {
	w := t.dispatcher.world
	w.schedule(w.now+w.delay(), func() {
		if t.backend.attempts[t.jobID] != nil {
			delete(t.backend.attempts, t.jobID)
			if w.tenants != nil && t.backend.config.Kind.OnCancel == fleet.DropAll {
				w.tenants.handleEnd(t.jobID)
			}
			w.handleModelEvents(t.backend, t.backend.model.Cancel(w.now, t.jobID))
		}
	})
}

// reportProgress reports the share of the job that is done, at intervals while it runs.
func (t *attempt) reportProgress() {
	w := t.dispatcher.world
	w.schedule(w.now+w.scenario.Site.ProgressEvery, func() {
		w.handleModelEvents(t.backend, t.backend.model.Advance(w.now))
		if t.over || t.backend.attempts[t.jobID] != t {
			return
		}
		if share := t.backend.model.Progress(t.jobID); t.backend.model.NextSendTime(w.now) == w.now {
			w.schedule(w.now+w.delay(), func() { t.dispatcher.markDirty(); t.core.Progress(share) })
		}
		t.reportProgress()
	})
}

// send delivers the req to the backend. Its first and last byte are sent at the same moment, since jobs are short.
func (t *attempt) send(connect bool) {
	w, s := t.dispatcher.world, t.dispatcher
	if t.over {
		return
	}
	if !t.core.MayBegin() {
		t.over, t.neverRan = true, true
		s.markDirty()
		t.core.Ended(core.Unsent, "", nil)
		return
	}
	if w.leader != nil && t.core.Version() < w.leader.state.Version {
		w.result.Accord.OutdatedStarts++
	}
	c := w.clientsByTry[t.core.Job.ID]
	work := c.Work
	if z := c.class().AttemptSpread; z > 0 {
		work *= math.Exp(z*w.attemptRand.NormFloat64() - z*z/2)
	}
	e := judge.Event{Kind: judge.AttemptSent, Node: s.index, Req: t.core.Job.ID, Key: t.core.Job.IdempotencyKey, Attempt: t.core.Number(), Backend: t.backend.name,
		Group: t.backend.config.Pod, Work: c.Work}
	if part := t.backend.model.Capacity(w.now); part < 1 {
		e.Capacity = part * t.backend.config.Kind.Cores * t.backend.config.Kind.Speed
	}
	w.record(e)
	w.result.JobsByBackend[t.backend.name]++
	t.backend.attempts[t.jobID], w.unstartedAttempts[t.jobID] = t, t
	job := fleet.Job{ID: t.jobID, Work: work, Slots: c.Slots}
	if key := t.core.Job.IdempotencyKey; key != "" {
		job.Key = hashText(key)
	}
	verdict, list := t.backend.model.Offer(w.now, job, connect)
	w.handleModelEvents(t.backend, list)
	switch verdict {
	case fleet.Full:
		t.end(core.Returned)
	case fleet.Refused:
		t.end(core.Unreached)
	}
}

// end ends the attempt at the dispatcher after the network delay. Its connection can be reused, unless it broke or was
// never made.
func (t *attempt) end(e core.Ending) {
	w, s := t.dispatcher.world, t.dispatcher
	delete(t.backend.attempts, t.jobID)
	w.schedule(t.backend.model.NextSendTime(w.now)+w.delay(), func() {
		if e != core.Broken && e != core.Unreached {
			s.idleConns[t.backend]++
		}
		if t.over { // the dispatcher has stopped waiting
			return
		}
		t.over, t.neverRan = true, e == core.Returned || e == core.Unreached
		w.record(judge.Event{Kind: judge.AttemptEnded, Node: s.index, Req: t.core.Job.ID, Attempt: t.core.Number(), NeverRan: t.neverRan})
		s.markDirty()
		t.core.Ended(e, "", w.loadReport(t.backend))
	})
}

// Probe reports a failure after the network delay: scenarios have no probes.
func (s *dispatcher) Probe(_ *core.Backend, done func(core.Ending, []float32)) {
	s.world.schedule(s.world.now+s.world.delay(), func() { s.markDirty(); done(core.Failed, nil) })
}

// CloseIdle closes the idle connections to a backend.
func (s *dispatcher) CloseIdle(b *core.Backend) {
	if n := s.world.backendsByID[b.ID]; n != nil {
		delete(s.idleConns, n)
	}
}

// Subscribe does nothing: the director's lists are delivered without it.
func (s *dispatcher) Subscribe() {}
