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
	idleConns   map[*backend]int // number of idle connections
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

func newDispatcher(w *world, index int, settings balance.Settings, policy Policy) (d *dispatcher, err error) {
	d = &dispatcher{world: w, index: index, idleConns: map[*backend]int{}, nextTimer: math.Inf(1),
		waiting: map[*client]struct{}{}, lastList: map[string]maintenance.Backend{}, routed: true}
	d.core, err = core.NewWith(w.wallClock, policy, settings, d, d, &counters.Set{})
	if err == nil && w.leader != nil {
		if d.participant, err = newParticipant(d); err == nil {
			d.core.Versions = d.participant
		}
	}
	if err == nil && w.quotas != nil {
		if d.quotas, err = newDispatcherQuotas(d); err == nil {
			d.core.Quotas = d.quotas
		}
	}
	return d, err
}

// markDirty records that the dispatcher has received something and must be stepped.
func (d *dispatcher) markDirty() {
	if !d.dirty {
		d.dirty = true
		d.world.dirty = append(d.world.dirty, d)
	}
}

// step has the core process what has arrived and what is due, and schedules an event for its next timer.
func (d *dispatcher) step() {
	if d.dead {
		return
	}
	d.core.Step()
	timer := d.core.NextTimer()
	if timer.IsZero() {
		return
	}
	next := float64(timer.Sub(origin)) / 1e6
	if next >= d.nextTimer {
		return
	}
	d.nextTimer = next
	d.world.schedule(next, func() {
		if d.nextTimer == next {
			d.nextTimer = math.Inf(1)
		}
		d.markDirty()
	})
}

// sendFullList delivers the director's full list.
func (d *dispatcher) sendFullList(list []*backend) {
	in := make([]maintenance.Backend, 0, len(list))
	for _, b := range list {
		if b.state == balance.Gone {
			continue
		}
		in = append(in, maintenance.Backend(b.entry()))
		if b.state != balance.Ready {
			d.world.record(judge.Event{Kind: judge.StateReceived, Node: d.index, Backend: b.name})
		}
		d.lastList[b.name] = in[len(in)-1]
	}
	d.applyList(balance.ListFull, d.bans.ApplyList(balance.ListFull, in))
}

// sendBackendState delivers the director's state of one backend.
func (d *dispatcher) sendBackendState(b *backend) {
	d.world.record(judge.Event{Kind: judge.StateReceived, Node: d.index, Backend: b.name, Ready: b.state == balance.Ready})
	if d.lastList[b.name] = maintenance.Backend(b.entry()); b.state == balance.Gone {
		delete(d.lastList, b.name)
	}
	d.applyList(balance.ListDelta, d.bans.ApplyList(balance.ListDelta, []maintenance.Backend{maintenance.Backend(b.entry())}))
}

// ban carries out an operator's call that bans a backend or lifts its ban.
func (d *dispatcher) ban(b *backend, on bool) {
	now, call := float64(d.world.wallClock().UnixNano())/1e6, d.bans.Online
	if on {
		call = d.bans.Offline
	}
	change, _ := call(now, b.name)
	banned := map[balance.WorkerID]struct{}{}
	for _, name := range d.bans.OperatorBanned() {
		banned[workerID(name)] = struct{}{}
	}
	d.core.SetBanned(banned)
	delete(d.idleConns, b)
	d.applyList(balance.ListDelta, change)
}

func (d *dispatcher) applyList(kind balance.ListKind, list []maintenance.Backend) {
	out := make([]core.Entry, len(list))
	for i := range list {
		out[i] = core.Entry(list[i])
	}
	d.core.HandleList(kind, out)
	d.markDirty()
}

// attempt is an attempt in flight.
type attempt struct {
	dispatcher *dispatcher
	backend    *backend
	jobID      uint64
	core       *core.Attempt
	ended      bool
	// idempotencyKey is the key of the attempt's job.
	idempotencyKey string
	// neverRan is what the dispatcher was told, started is what happened at the backend.
	neverRan, started bool
}

// Send sends an attempt to the modelled backend and returns the function that cancels it.
func (d *dispatcher) Send(sending *core.Attempt, sentJob *core.Job) func() {
	w := d.world
	w.lastJobID++
	a := &attempt{dispatcher: d, backend: w.backendsByID[sending.Backend.ID], jobID: w.lastJobID, core: sending, idempotencyKey: sentJob.IdempotencyKey}
	c := w.clientsByTry[sending.RequestID()]
	c.attempts = append(c.attempts, a)
	w.result.Attempts++
	wait := w.delay()
	connect := d.idleConns[a.backend] == 0
	if !connect {
		d.idleConns[a.backend]--
	} else {
		wait += w.scenario.Connect
	}
	w.schedule(w.now+wait, func() { a.send(connect) })
	return func() {
		if a.ended {
			return
		}
		a.ended = true
		w.record(judge.Event{Kind: judge.AttemptEnded, Node: d.index, Req: sending.RequestID(), Attempt: sending.Number()})
		a.cancel()
	}
}

// cancel cancels the job at its backend by closing the connection.
func (a *attempt) cancel() {
	w := a.dispatcher.world
	w.schedule(w.now+w.delay(), func() {
		if a.backend.attempts[a.jobID] != nil {
			delete(a.backend.attempts, a.jobID)
			if w.tenants != nil && a.backend.config.Kind.OnCancel == fleet.DropAll {
				w.tenants.handleEnd(a.jobID)
			}
			w.handleModelEvents(a.backend, a.backend.model.Cancel(w.now, a.jobID))
		}
	})
}

// reportProgress reports the share of the job that is done, at intervals while it runs.
func (a *attempt) reportProgress() {
	w := a.dispatcher.world
	w.schedule(w.now+w.scenario.Site.ProgressEvery, func() {
		w.handleModelEvents(a.backend, a.backend.model.Advance(w.now))
		if a.ended || a.backend.attempts[a.jobID] != a {
			return
		}
		if share := a.backend.model.Progress(a.jobID); a.backend.model.NextSendTime(w.now) == w.now {
			w.schedule(w.now+w.delay(), func() { a.dispatcher.markDirty(); a.core.Progress(share) })
		}
		a.reportProgress()
	})
}

// send delivers the req to the backend. Its first and last byte are sent at the same moment, since jobs are short.
func (a *attempt) send(connect bool) {
	w, d := a.dispatcher.world, a.dispatcher
	if a.ended {
		return
	}
	if !a.core.MayStart() {
		a.ended, a.neverRan = true, true
		d.markDirty()
		a.core.Ended(core.Unsent, "", nil)
		return
	}
	if w.leader != nil && a.core.Version() < w.leader.state.Version {
		w.result.Accord.OutdatedStarts++
	}
	c := w.clientsByTry[a.core.RequestID()]
	work := c.Work
	if spread := c.class().AttemptSpread; spread > 0 {
		work *= math.Exp(spread*w.attemptRand.NormFloat64() - spread*spread/2)
	}
	sent := judge.Event{Kind: judge.AttemptSent, Node: d.index, Req: a.core.RequestID(), Key: a.idempotencyKey, Attempt: a.core.Number(), Backend: a.backend.name,
		Group: a.backend.config.Pod, Work: c.Work}
	if capacity := a.backend.model.Capacity(w.now); capacity < 1 {
		sent.Capacity = capacity * a.backend.config.Kind.Cores * a.backend.config.Kind.Speed
	}
	w.record(sent)
	w.result.AttemptsByBackend[a.backend.name]++
	a.backend.attempts[a.jobID], w.unstartedAttempts[a.jobID] = a, a
	job := fleet.Job{ID: a.jobID, Work: work, Slots: c.Slots}
	if key := a.idempotencyKey; key != "" {
		job.Key = hashText(key)
	}
	response, events := a.backend.model.Offer(w.now, job, connect)
	w.handleModelEvents(a.backend, events)
	switch response {
	case fleet.Full:
		a.end(core.Returned)
	case fleet.Refused:
		a.end(core.Unreached)
	}
}

// end ends the attempt at the dispatcher after the network delay. Its connection can be reused, unless it broke or was
// never made.
func (a *attempt) end(ending core.Ending) {
	w, d := a.dispatcher.world, a.dispatcher
	delete(a.backend.attempts, a.jobID)
	w.schedule(a.backend.model.NextSendTime(w.now)+w.delay(), func() {
		if ending != core.Broken && ending != core.Unreached {
			d.idleConns[a.backend]++
		}
		if a.ended { // the dispatcher has stopped waiting
			return
		}
		a.ended, a.neverRan = true, ending == core.Returned || ending == core.Unreached
		w.record(judge.Event{Kind: judge.AttemptEnded, Node: d.index, Req: a.core.RequestID(), Attempt: a.core.Number(), NeverRan: a.neverRan})
		d.markDirty()
		a.core.Ended(ending, "", w.loadReport(a.backend))
	})
}

// Probe reports a failure after the network delay: scenarios have no probes.
func (d *dispatcher) Probe(_ *core.Backend, done func(core.Ending, []float32)) {
	d.world.schedule(d.world.now+d.world.delay(), func() { d.markDirty(); done(core.Failed, nil) })
}

// CloseIdle closes the idle connections to a backend.
func (d *dispatcher) CloseIdle(b *core.Backend) {
	if modelled := d.world.backendsByID[b.ID]; modelled != nil {
		delete(d.idleConns, modelled)
	}
}

// Subscribe does nothing: the director's lists are delivered without it.
func (d *dispatcher) Subscribe() {}
