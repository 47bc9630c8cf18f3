package main

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"tinsail/internal/core"
	"tinsail/internal/handover"
	"tinsail/internal/maintenance"
	"tinsail/internal/network/budgets"
	"tinsail/internal/network/handoff"
	"tinsail/internal/service"
)

// processHandover is one process's part in hand-overs: from the process before it, and to the next one.
type processHandover struct {
	dispatcher *dispatcher
	server     *handoff.Server
	from       handoverData

	mu           sync.Mutex
	stage        handover.NewProcess
	peer         *handoff.Link     // to the other process; nil if there is none
	ids          *handoff.IDSharer // shares request IDs with it; nil if there is none
	fault        error             // why the old process, which serves on, has no use for this one
	maxSockets   int               // how many descriptors this process may hold
	maxMemory    int64             // how many bytes of memory it may hold
	totalSockets int               // maxSockets before some were given to the next process

	taken, given, failed atomic.Int64  // hand-overs: from the process before, to the next one, and those to a next one that ended
	readyMS              atomic.Int64  // time from the start of this process, after it received the state, until it served
	nextGone             chan struct{} // closed when the next process is gone
}

// addHandover prepares hand-overs from the process before and to the next one. d.service and d.bans must be set.
func (d *dispatcher) addHandover(from handoverData) {
	t := &processHandover{dispatcher: d, from: from, maxSockets: d.cfg.Sockets, maxMemory: d.cfg.MemoryBytes}
	t.server = &handoff.Server{Path: statePath(d.cfg, "sock"), Hello: newHello(d.cfg), Log: d.log,
		GiveState: t.giveState, StopAccepting: t.stopAccepting, OnNews: t.handleUpdate, OnJoined: t.handleJoined, OnGone: t.handleNextGone}
	if from.link != nil {
		t.maxSockets, t.maxMemory, t.stage = from.state.MaxSockets, from.state.MemoryBytes, from.stage
		t.taken.Add(1)
	}
	d.resize(t.maxSockets, t.maxMemory)
	d.handover = t
}

// start accepts clients once there is a list, and listens for the next process.
func (t *processHandover) start(d *dispatcher) {
	if t.from.link == nil {
		d.accept()
		if t.from.unread {
			d.keepBudgets()
		}
		t.listenForNext()
		return
	}
	startedAt := time.Now()
	go func() {
		err := t.from.link.Read(t.handleUpdate)
		t.from.link.Close()
		if !errors.Is(err, handoff.ErrPeerClosed) { // closed by this process: the old one takes it for gone, and serves
			t.handleGivenUp(err)
		}
		if !t.isGivenUp() {
			t.handleOldGone(err)
		}
	}()
	t.shareIDs()
	t.handleJoined(t.from.link)
	go func() {
		// Clients are not accepted before the fleet's policy in force is known either. If this process is already shutting
		// down, it leaves the clients to the old process as long as that is connected, as the old one would otherwise drain.
		for !d.core.HasList() || !d.core.Serves() || d.service.State() == service.ShuttingDown && t.currentStage() == handover.Connected {
			if t.isGivenUp() {
				return
			}
			time.Sleep(service.PollInterval)
		}
		d.accept()
		t.mu.Lock()
		notify := t.stage.StartServing(time.Now())
		t.mu.Unlock()
		if notify {
			_ = t.from.link.Send(handover.StatusUpdate{Ready: true}) // an error means that the old process is gone, and need not be notified
		}
		for !t.serves() {
			if t.isGivenUp() {
				return
			}
			time.Sleep(service.PollInterval)
		}
		d.takeOverRoles()
		t.listenForNext()
		t.readyMS.Store(time.Since(startedAt).Milliseconds())
		d.log.Info().Stringer("stage", t.currentStage()).Dur("after_ms", time.Since(startedAt)).Msg("hand-over: serves")
	}()
}

// takeOverRoles takes what only the serving process of the dispatcher may have, beside its listeners.
func (d *dispatcher) takeOverRoles() {
	d.keepBudgets()
	d.startRegistration()
}

// releaseRoles leaves it to the other process.
func (d *dispatcher) releaseRoles() {
	d.releaseBudgets()
	d.releaseRegistration()
}

// each calls f for each counter of hand-overs.
func (t *processHandover) each(f func(name string, n int64)) {
	f("handovers_taken", t.taken.Load())
	f("handovers_given", t.given.Load())
	f("handovers_failed", t.failed.Load())
	f("handover_ready_ms", t.readyMS.Load())
	f("handover_stage", int64(t.currentStage()))
}

// listenForNext listens for a next process that asks this one to hand over.
func (t *processHandover) listenForNext() {
	if err := t.server.Listen(); err != nil {
		t.dispatcher.log.Error().Err(err).Msg("hand-over: cannot listen for the next process")
	}
}

func (t *processHandover) currentStage() handover.Stage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stage.Stage()
}

// isGivenUp reports whether the old process serves on, and this one ends.
func (t *processHandover) isGivenUp() bool { return t.currentStage() == handover.GivenUp }

// serves reports whether this process may answer that the dispatcher serves.
func (t *processHandover) serves() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stage.MayReportServing(time.Now())
}

// handleUpdate applies a status update of the other process. Both ends of a link use it.
func (t *processHandover) handleUpdate(n handover.StatusUpdate) {
	switch {
	case n.GivenUp:
		t.handleGivenUp(errGivenUp)
	case n.StoppedAccepting:
		t.mu.Lock()
		t.stage.HandleStopAccepting()
		t.mu.Unlock()
	case n.MaxSockets > 0:
		t.mu.Lock()
		grows := n.MaxSockets > t.maxSockets && n.MaxSockets < t.dispatcher.cfg.Sockets
		if grows {
			t.maxSockets = n.MaxSockets
		}
		sockets, memory := t.maxSockets, t.maxMemory
		t.mu.Unlock()
		if grows {
			t.dispatcher.resize(sockets, memory)
		}
	case n.IDs != nil:
		t.dispatcher.core.ReserveIDs(n.IDs)
	case n.Mark != nil:
		t.dispatcher.bans.MergeUpdate(*n.Mark)
	case n.OutOfService != nil:
		t.dispatcher.setOutOfService(*n.OutOfService)
	}
}

// setOutOfService repeats a call that an operator made at the other process.
func (d *dispatcher) setOutOfService(out bool) {
	if out {
		d.service.TakeOutOfService()
	} else {
		d.service.ReturnToService()
	}
	if err := d.bans.SetOutOfService(out); err != nil {
		d.log.Error().Err(err).Msg("bans not stored")
	}
}

// shareIDs collects the request IDs that this process uses from now on for the other process, and returns those in use.
func (t *processHandover) shareIDs() []core.IDKey {
	sharer := &handoff.IDSharer{}
	t.mu.Lock()
	t.ids = sharer
	t.mu.Unlock()
	return t.dispatcher.core.ShareIDs(sharer.Add)
}

// stopSharing ends what is sent to the other process, which is gone.
func (t *processHandover) stopSharing() {
	t.dispatcher.bans.ShareWith(nil)
	t.dispatcher.core.ShareIDs(nil)
}

// handleJoined sends operators' marks to the other process: from now on each new one, and those set since the state was sent.
func (t *processHandover) handleJoined(l *handoff.Link) {
	t.mu.Lock()
	t.peer = l
	t.ids.Attach(l)
	t.mu.Unlock()
	for _, m := range t.dispatcher.bans.ShareWith(func(m maintenance.Mark) { _ = l.Send(handover.StatusUpdate{Mark: &m}) }) {
		_ = l.Send(handover.StatusUpdate{Mark: &m})
	}
}

// sendOutOfService sends an operator's call to the other process, if there is one. t may be nil.
func (t *processHandover) sendOutOfService(out bool) {
	if t == nil {
		return
	}
	t.mu.Lock()
	l := t.peer
	t.mu.Unlock()
	if l != nil {
		_ = l.Send(handover.StatusUpdate{OutOfService: &out})
	}
}

// handleOldGone handles the end of the process before this one: all descriptors and memory are then this one's, unless it already
// hands over to a next process.
func (t *processHandover) handleOldGone(err error) {
	t.mu.Lock()
	stage, alone := t.stage.Stage(), t.peer == t.from.link
	t.stage.HandleDisconnect()
	if t.totalSockets = t.dispatcher.cfg.Sockets; alone {
		t.peer, t.maxSockets, t.maxMemory = nil, t.dispatcher.cfg.Sockets, t.dispatcher.cfg.MemoryBytes
	}
	t.mu.Unlock()
	if alone {
		t.stopSharing()
		t.dispatcher.resize(t.dispatcher.cfg.Sockets, t.dispatcher.cfg.MemoryBytes)
		t.dispatcher.core.SetOverlap(false) // the whole budget for cold backends is this process's again
		t.dispatcher.setBudgetPart(budgets.Whole)
	}
	t.dispatcher.log.Info().Stringer("stage", stage).AnErr("link", err).Msg("hand-over: the old process is gone")
}

// errGivenUp is the error of a new process that the old one has given up.
var errGivenUp = errors.New("hand-over: the old process serves on, as this one did not accept in time")

// handleGivenUp ends this process, as the old one serves in its place: it accepts no more connections, and answers what it has.
func (t *processHandover) handleGivenUp(reason error) {
	t.mu.Lock()
	before := t.stage.Stage()
	ends := t.stage.HandleGivenUp()
	if ends {
		t.fault = reason
	}
	t.mu.Unlock()
	if !ends {
		return
	}
	t.dispatcher.log.Error().Stringer("stage", before).Err(reason).Msg("hand-over: given up, ends")
	t.server.LeavePath()
	if before == handover.HandedOver {
		t.dispatcher.releaseRoles()
	}
	t.dispatcher.service.HandOver()
	t.dispatcher.service.BeginShutdown()
}

// endReason returns why this process ends without a signal, or nil. t may be nil.
func (t *processHandover) endReason() error {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fault
}

// reservedDescriptors returns how many descriptors a process needs besides sessions and connections to backends.
func (t *processHandover) reservedDescriptors() int { return 32 + doorDescriptors(t.dispatcher.cfg) }

// usedDescriptors returns how many descriptors sessions and connections to backends use now.
func (t *processHandover) usedDescriptors() int {
	return t.dispatcher.clients.OpenSessions() + t.dispatcher.pool.OpenConnections()
}

// stopAccepting stops accepting connections, and gives up more descriptors as sessions end.
func (t *processHandover) stopAccepting() {
	t.dispatcher.service.HandOver()
	t.dispatcher.releaseRoles()
	t.given.Add(1)
	t.mu.Lock()
	link, total, nextGone := t.peer, t.totalSockets, t.nextGone
	t.mu.Unlock()
	go func() {
		tick := time.NewTicker(250 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-nextGone:
				return
			case <-tick.C:
			}
			t.mu.Lock()
			keep := t.usedDescriptors() + t.reservedDescriptors()
			shrinks := keep+8 < t.maxSockets
			if shrinks {
				t.maxSockets = keep
			}
			t.mu.Unlock()
			if shrinks {
				t.dispatcher.pool.Resize(t.dispatcher.pool.OpenConnections() + 8)
				_ = link.Send(handover.StatusUpdate{MaxSockets: total - keep})
			}
		}
	}()
}

// handleNextGone handles the end of the next process while this one still runs: this process takes back what it gave up, and
// accepts again if accept is set.
func (t *processHandover) handleNextGone(accept bool) {
	t.mu.Lock()
	close(t.nextGone)
	t.peer, t.maxSockets, t.maxMemory = nil, t.totalSockets, t.maxMemory*2
	sockets, memory := t.maxSockets, t.maxMemory
	t.mu.Unlock()
	t.stopSharing()
	t.dispatcher.resize(sockets, memory)
	t.dispatcher.core.SetOverlap(false)
	t.dispatcher.setBudgetPart(budgets.Whole)
	t.failed.Add(1)
	if accept {
		t.dispatcher.service.ResumeAfterHandOver()
		t.dispatcher.takeOverRoles()
	}
}
