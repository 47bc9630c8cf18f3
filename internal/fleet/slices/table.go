package slices

import (
	"cmp"
	sorted "slices"
	"time"
)

// stage is how far a placement has got with its backend.
type stage uint8

const (
	starting stage = iota // allocated; Start was sent and is not confirmed
	running               // confirmed by the backend
	stopping              // Stop was sent; allocated until the backend confirms it
)

// slice is one placement of a demand. Its amount is allocated on the device from the decision until the backend
// has confirmed that the slice has stopped.
type slice struct {
	demand      Demand
	device      *device
	amount      Amount
	placementID uint64
	submitSeq   uint64 // order of submission: its place in the queue if the backend does not start it
	stage       stage
	expiresAt   time.Duration // end of its lifetime
}

// tenantSlices counts a tenant's slices on one device.
type tenantSlices struct {
	name   string
	slices int
}

// device is a device of the table with its slices and its state at the backend.
type device struct {
	Device
	class          int
	token          FencingToken
	leased         bool // under a lease of this dispatcher
	awaitingState  bool // QueryState was sent and is not answered
	unreported     bool // has not reported its state in this term
	failed         bool
	ready          bool // leased, not failed, state reported: only then can it take new slices
	used           Amount
	slices         []*slice
	tenants        []tenantSlices
	reservedFor    *waitingDemand // the only demand that may be placed here; nil: any
	indexEntries   []indexEntry   // its positions in the indexes
	queuedForRetry bool           // in Table.retryQueue: waiting demands are to be tried on it
}

// free returns what the device has left for new slices.
func (v *device) free(t *Table) Amount { return t.classes[v.class].size.minus(v.used) }

// find returns the slice of a placement, or nil.
func (v *device) find(id string, placementID uint64) *slice {
	for _, s := range v.slices {
		if s.demand.ID == id && s.placementID == placementID {
			return s
		}
	}
	return nil
}

// Table holds the devices of one group, the slices on them and the demands that wait for them. A group has one
// owner at a time, a dispatcher with a lease; an owner whose lease has ended discards its table.
type Table struct {
	limits            Limits
	strategy          Strategy
	mix               []TypicalDemand
	classes           []class
	classSizes        []int // devices of each class
	devices           map[string]*device
	order             []*device         // in the order in which they were acquired
	placed            map[string]*slice // by id, including those that are stopping
	waiting           []*waitingDemand  // by priority and age
	waitingByID       map[string]*waitingDemand
	starved           []*waitingDemand         // demands with a right to a reserved device, in the order in which they starved
	ended             map[string]time.Duration // time at which each id ended
	endedOrder        []endedID                // the ids of ended, oldest first
	lastSeq           uint64
	placementCount    uint64 // placement ids are made of the term and this count, so they are unique across owners
	openIndex         *index
	tenantIndexes     map[string]*index // by tenant: devices that this tenant may still use and new tenants may not, or that it has alone
	retryQueue        []*device
	allocations       []Amount // scratch buffer of chooseDevice
	wasteEvaluations  int      // calls of leastWaste left for the current demand
	unreportedDevices int      // devices that may hold slices of an earlier owner that are not known yet
	actions           []Action
}

// endedID is an id that has ended, and when.
type endedID struct {
	id      string
	endedAt time.Duration
}

// New makes an empty table. mix is the typical demand of the fleet; Gradient and Pattern rate the free part of a
// device by it.
func New(limits Limits, strategy Strategy, mix []TypicalDemand) *Table {
	return &Table{limits: limits, strategy: strategy, mix: sorted.Clone(mix), devices: map[string]*device{},
		placed: map[string]*slice{}, waitingByID: map[string]*waitingDemand{}, ended: map[string]time.Duration{},
		tenantIndexes: map[string]*index{}, openIndex: newIndex()}
}

func (t *Table) emit(a Action) { t.actions = append(t.actions, a) }

// flush places waiting demands where devices have capacity again, and returns the pending actions.
func (t *Table) flush(now time.Duration) []Action {
	t.placeWaiting(now)
	out := t.actions
	t.actions = nil
	return out
}

// Submit handles a demand. A repeated submission of an id returns its current state: an id is placed at most once
// while it is remembered.
func (t *Table) Submit(now time.Duration, d Demand) []Action {
	t.forgetEnded(now)
	if s := t.placed[d.ID]; s != nil {
		switch s.stage {
		case running:
			t.emit(Action{Kind: Placed, ID: d.ID, Device: s.device.Name, PlacementID: s.placementID, Token: s.device.token, Amount: s.amount})
		case starting:
			t.emit(Action{Kind: Pending, ID: d.ID, Device: s.device.Name, Reason: "beginning"})
		case stopping:
			t.emit(Action{Kind: Ended, ID: d.ID})
		}
		return t.flush(now)
	}
	if _, ended := t.ended[d.ID]; ended {
		t.emit(Action{Kind: Ended, ID: d.ID})
		return t.flush(now)
	}
	if w := t.waitingByID[d.ID]; w != nil {
		t.emit(Action{Kind: Pending, ID: d.ID, Reason: w.reason})
		return t.flush(now)
	}
	if reason := t.whyImpossible(&d); reason != "" {
		t.emit(Action{Kind: Refused, ID: d.ID, Reason: reason})
		return t.flush(now)
	}
	if len(t.ended)+len(t.placed)+len(t.waiting) >= t.limits.MaxKnownIDs {
		t.emit(Action{Kind: Refused, ID: d.ID, Reason: "ids known"})
		return t.flush(now)
	}
	t.lastSeq++
	w := &waitingDemand{demand: d, submitSeq: t.lastSeq, reason: "room"}
	if t.unreportedDevices > 0 {
		w.reason = "taking over"
	} else if v, a := t.chooseDevice(&d); v != nil {
		t.place(now, w, v, a)
		return t.flush(now)
	}
	if len(t.waiting) >= t.limits.MaxWaiting {
		t.emit(Action{Kind: Refused, ID: d.ID, Reason: "waiting: the queue is full"})
		return t.flush(now)
	}
	t.enqueue(w)
	t.emit(Action{Kind: Pending, ID: d.ID, Reason: w.reason})
	return t.flush(now)
}

// SubmitAll handles demands that arrived together: by priority, and within a priority the largest first, which
// packs better than the order of arrival (docs/design/slices.md). It sorts ds in place.
func (t *Table) SubmitAll(now time.Duration, ds []Demand) (out []Action) {
	largest := Amount{}
	for _, v := range t.order {
		largest = largest.elementwiseMax(v.Size)
	}
	sorted.SortStableFunc(ds, func(a, b Demand) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		return cmp.Compare(relativeSize(b.Size, largest), relativeSize(a.Size, largest))
	})
	for _, d := range ds {
		out = append(out, t.Submit(now, d)...)
	}
	return out
}

// place allocates a demand on a device. The caller has checked that it fits.
func (t *Table) place(now time.Duration, w *waitingDemand, v *device, a Amount) {
	t.dequeue(w)
	t.placementCount++
	s := &slice{demand: w.demand, device: v, amount: a, placementID: v.token.Term<<32 | t.placementCount, submitSeq: w.submitSeq,
		stage: starting, expiresAt: now + w.demand.Lifetime}
	t.placed[w.demand.ID] = s
	t.addSlice(s)
	t.emit(Action{Kind: Start, ID: s.demand.ID, Device: v.Name, PlacementID: s.placementID, Token: v.token, Demand: s.demand, Amount: a})
	t.countPassedOver(w, v)
}

func (t *Table) addSlice(s *slice) {
	v := s.device
	v.slices = append(v.slices, s)
	v.used = v.used.plus(s.amount)
	if i := v.tenantPosition(s.demand.Tenant); i >= 0 {
		v.tenants[i].slices++
	} else {
		v.tenants = append(v.tenants, tenantSlices{s.demand.Tenant, 1})
	}
	t.reindex(v)
}

// removeSlice frees a slice's part of its device. It may only follow from an answer of the backend.
func (t *Table) removeSlice(s *slice) {
	v := s.device
	i := sorted.Index(v.slices, s)
	v.slices = sorted.Delete(v.slices, i, i+1)
	v.used = v.used.minus(s.amount)
	i = v.tenantPosition(s.demand.Tenant)
	if v.tenants[i].slices--; v.tenants[i].slices == 0 {
		v.tenants = sorted.Delete(v.tenants, i, i+1)
	}
	if t.placed[s.demand.ID] == s {
		delete(t.placed, s.demand.ID)
	}
	t.reindex(v)
	t.queueRetry(v)
}

func (v *device) tenantPosition(name string) int {
	for i := range v.tenants {
		if v.tenants[i].name == name {
			return i
		}
	}
	return -1
}

// Release handles a requester's message that it no longer needs its slice. An unknown id is remembered as ended,
// so that a submission which the release has overtaken places nothing.
func (t *Table) Release(now time.Duration, id string) []Action {
	t.forgetEnded(now)
	if s := t.placed[id]; s != nil {
		t.stopSlice(now, s)
	} else if w := t.waitingByID[id]; w != nil {
		t.dequeue(w)
		t.markEnded(now, id)
		t.emit(Action{Kind: Ended, ID: id})
	} else if id != "" && len(id) <= MaxNameBytes && len(t.ended)+len(t.placed)+len(t.waiting) < t.limits.MaxKnownIDs {
		t.markEnded(now, id)
	}
	return t.flush(now)
}

// stopSlice asks the backend to stop a slice. The id counts as ended from now on.
func (t *Table) stopSlice(now time.Duration, s *slice) {
	if s.stage == stopping {
		return
	}
	s.stage = stopping
	if t.placed[s.demand.ID] == s {
		t.markEnded(now, s.demand.ID)
	}
	t.emit(Action{Kind: Stop, ID: s.demand.ID, Device: s.device.Name, PlacementID: s.placementID, Token: s.device.token})
}

// HandleStarted handles a backend's confirmation that it has started a slice. It changes nothing if the slice has
// been stopped meanwhile: Unconfirmed repeats the Stop.
func (t *Table) HandleStarted(now time.Duration, name, id string, placementID uint64) []Action {
	if v := t.devices[name]; v != nil {
		if s := v.find(id, placementID); s != nil && s.stage == starting {
			s.stage = running
			t.emit(Action{Kind: Placed, ID: id, Device: name, PlacementID: placementID, Token: v.token, Amount: s.amount})
		}
	}
	return t.flush(now)
}

// HandleNotStarted handles a backend's message that it did not start this placement and never will. The demand goes
// back to its place in the queue. The table and the backend disagree, so the device takes no new slices until it
// has reported its state.
func (t *Table) HandleNotStarted(now time.Duration, name, id string, placementID uint64) []Action {
	if v := t.devices[name]; v != nil {
		if s := v.find(id, placementID); s != nil && s.stage == starting {
			t.removeSlice(s)
			t.requestState(v)
			if t.whyImpossible(&s.demand) == "" {
				w := &waitingDemand{demand: s.demand, submitSeq: s.submitSeq, reason: "the backend did not begin it"}
				t.enqueue(w)
				if t.unreportedDevices == 0 {
					if o, a := t.chooseDevice(&w.demand); o != nil {
						t.place(now, w, o, a)
					}
				}
				if w.queued { // otherwise the requester would not be notified while the demand waits
					t.emit(Action{Kind: Pending, ID: id, Reason: w.reason})
				}
			} else {
				t.emit(Action{Kind: Refused, ID: id, Reason: t.whyImpossible(&s.demand)})
			}
		}
	}
	return t.flush(now)
}

// HandleStopped handles a backend's message that it no longer holds this placement and never will again. A slice
// that the backend stopped by its own decision is lost.
func (t *Table) HandleStopped(now time.Duration, name, id string, placementID uint64) []Action {
	if v := t.devices[name]; v != nil {
		if s := v.find(id, placementID); s != nil {
			if s.stage == stopping {
				if t.placed[id] == s {
					t.emit(Action{Kind: Ended, ID: id})
				}
			} else if t.placed[id] == s {
				t.markEnded(now, id)
				t.emit(Action{Kind: Lost, ID: id, Device: name, PlacementID: placementID})
			}
			t.removeSlice(s)
		}
	}
	return t.flush(now)
}

// StopExpired stops the slices whose lifetime is over. Call it about once a second.
func (t *Table) StopExpired(now time.Duration) []Action {
	t.forgetEnded(now)
	for _, v := range t.order {
		for _, s := range v.slices {
			if s.expiresAt <= now {
				t.stopSlice(now, s)
			}
		}
	}
	return t.flush(now)
}

// Unconfirmed returns each Start, Stop and QueryState that no backend has answered yet, to be sent again.
func (t *Table) Unconfirmed() (out []Action) {
	for _, v := range t.order {
		if v.awaitingState {
			out = append(out, Action{Kind: QueryState, Device: v.Name, Token: v.token})
			continue
		}
		if !v.ready {
			continue
		}
		for _, s := range v.slices {
			switch s.stage {
			case starting:
				out = append(out, Action{Kind: Start, ID: s.demand.ID, Device: v.Name, PlacementID: s.placementID, Token: v.token, Demand: s.demand, Amount: s.amount})
			case stopping:
				out = append(out, Action{Kind: Stop, ID: s.demand.ID, Device: v.Name, PlacementID: s.placementID, Token: v.token})
			}
		}
	}
	return out
}

// RestoreEnded marks an id as ended that the durable records have as ended.
func (t *Table) RestoreEnded(now time.Duration, id string) { t.markEnded(now, id) }

// markEnded remembers an id as ended, so that it is not placed again for RetainEnded.
func (t *Table) markEnded(now time.Duration, id string) {
	if _, has := t.ended[id]; !has {
		t.ended[id] = now
		t.endedOrder = append(t.endedOrder, endedID{id, now})
	}
}

// forgetEnded drops the ids that ended at least RetainEnded ago.
func (t *Table) forgetEnded(now time.Duration) {
	n := 0
	for n < len(t.endedOrder) && t.endedOrder[n].endedAt+t.limits.RetainEnded <= now {
		delete(t.ended, t.endedOrder[n].id)
		n++
	}
	t.endedOrder = sorted.Delete(t.endedOrder, 0, n)
}

// SetLimits applies the limits of a policy. It stops no slice; it refuses waiting demands that no device can
// hold under the new limits.
func (t *Table) SetLimits(now time.Duration, l Limits) []Action {
	t.limits = l
	for i := range t.classes {
		t.classes[i] = class{}
	}
	t.openIndex, t.tenantIndexes = newIndex(), map[string]*index{}
	for _, v := range t.order {
		t.classes[v.class] = t.classOf(v.Device)
		v.indexEntries = v.indexEntries[:0]
		t.queueRetry(v)
	}
	for _, v := range t.order {
		t.reindex(v)
	}
	t.refuseImpossible()
	t.assignReservations()
	return t.flush(now)
}

// refuseImpossible refuses the waiting demands that no device could hold even when empty.
func (t *Table) refuseImpossible() {
	for _, w := range sorted.Clone(t.waiting) {
		if reason := t.whyImpossible(&w.demand); reason != "" {
			t.dequeue(w)
			t.emit(Action{Kind: Refused, ID: w.demand.ID, Reason: reason})
		}
	}
}

// classOf returns the class of a device under the current limits.
func (t *Table) classOf(d Device) class {
	c := class{size: Amount{d.Size.Parts, d.Size.Memory - t.limits.ReservedMemory}, zone: d.Zone, profiles: d.Profiles, wasteCache: map[Amount]float64{}}
	for i := range t.mix {
		a, reason := c.allocation(&t.mix[i].Demand)
		if reason != "" {
			a = Amount{}
		}
		c.typicalAmounts = append(c.typicalAmounts, a)
	}
	return c
}
