package slices

import (
	"cmp"
	sorted "slices"
	"time"
)

type stage uint8

const (
	starting stage = iota // counted, Begin sent, not confirmed
	running               // confirmed
	stopping              // Finish sent, counted until confirmed
)

// slice is one placement. Its amount counts from the decision to the confirmed end.
type slice struct {
	demand      Demand
	device      *device
	amount      Amount
	placementID uint64
	submitSeq   uint64 // of its ask: it goes back to its place in the queue if the backend does not begin it
	stage       stage
	expiresAt   time.Duration // end of its lifetime
}

type tenantSlices struct {
	name   string
	slices int
}

type device struct {
	Device
	class          int
	token          FencingToken
	leased         bool // under a lease of ours
	awaitingState  bool // a statement is awaited
	unreported     bool // the first of its term
	failed         bool
	ready          bool // owned, not failed, stated: the only state in which it takes something new
	used           Amount
	slices         []*slice
	tenants        []tenantSlices
	reservedFor    *waitingDemand
	indexEntries   []indexEntry // places in the index
	queuedForRetry bool         // has got room since those that wait were tried on it
}

func (v *device) free(t *Table) Amount { return t.classes[v.class].size.minus(v.used) }

func (v *device) find(id string, try uint64) *slice {
	for _, s := range v.slices {
		if s.demand.ID == id && s.placementID == try {
			return s
		}
	}
	return nil
}

// Table is the devices of one group, which have one owner dispatcher at a time, what sits on them and what waits
// for them. An owner whose lease is over throws it away.
type Table struct {
	limits            Limits
	strategy          Strategy
	mix               []TypicalDemand
	classes           []class
	classSizes        []int // devices of each class
	devices           map[string]*device
	order             []*device         // as they came
	placed            map[string]*slice // by id, also those that are ending
	waiting           []*waitingDemand  // by priority and age
	waitingByID       map[string]*waitingDemand
	starved           []*waitingDemand // in the order in which they starved
	ended             map[string]time.Duration
	endedOrder        []endedID // the same, oldest first
	lastSeq           uint64
	placementCount    uint64 // with the term they tell placements apart, also those of several owners
	openIndex         *index
	tenantIndexes     map[string]*index // by tenant: devices that only it may still use
	retryQueue        []*device
	allocations       []Amount // scratch of choose
	wasteEvaluations  int      // rooms that waste may still work out
	unreportedDevices int      // devices of which an earlier owner may have placed what is not known yet
	actions           []Action
}

type endedID struct {
	id      string
	endedAt time.Duration
}

// New makes an empty table. mix is the typical demand of the fleet, by which Gradient and Pattern judge what is left.
func New(limits Limits, choice Strategy, mix []TypicalDemand) *Table {
	return &Table{limits: limits, strategy: choice, mix: sorted.Clone(mix), devices: map[string]*device{},
		placed: map[string]*slice{}, waitingByID: map[string]*waitingDemand{}, ended: map[string]time.Duration{},
		tenantIndexes: map[string]*index{}, openIndex: newIndex()}
}

func (t *Table) emit(a Action) { t.actions = append(t.actions, a) }

// flush settles what has changed and hands out the actions; they are the caller's.
func (t *Table) flush(now time.Duration) []Action {
	t.placeWaiting(now)
	out := t.actions
	t.actions = nil
	return out
}

// Submit is a demand, or the same asked again: an id is placed at most once while it is remembered.
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
	if _, over := t.ended[d.ID]; over {
		t.emit(Action{Kind: Ended, ID: d.ID})
		return t.flush(now)
	}
	if w := t.waitingByID[d.ID]; w != nil {
		t.emit(Action{Kind: Pending, ID: d.ID, Reason: w.reason})
		return t.flush(now)
	}
	if why := t.whyImpossible(&d); why != "" {
		t.emit(Action{Kind: Refused, ID: d.ID, Reason: why})
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

// SubmitAll is what came together: by priority, and among equals the largest first, which packs better than the
// order of coming (docs/design/slices.md). ds is put in that order.
func (t *Table) SubmitAll(now time.Duration, ds []Demand) (out []Action) {
	of := Amount{}
	for _, v := range t.order {
		of = of.max(v.Size)
	}
	sorted.SortStableFunc(ds, func(a, b Demand) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		return cmp.Compare(relativeSize(b.Size, of), relativeSize(a.Size, of))
	})
	for _, d := range ds {
		out = append(out, t.Submit(now, d)...)
	}
	return out
}

// place counts a demand on a device. Callers have asked fits.
func (t *Table) place(now time.Duration, w *waitingDemand, v *device, a Amount) {
	t.dequeue(w)
	t.placementCount++
	s := &slice{demand: w.demand, device: v, amount: a, placementID: v.token.Term<<32 | t.placementCount, submitSeq: w.submitSeq, stage: starting, expiresAt: now + w.demand.Lifetime}
	t.placed[w.demand.ID] = s
	t.addSlice(s)
	t.emit(Action{Kind: Start, ID: s.demand.ID, Device: v.Name, PlacementID: s.placementID, Token: v.token, Demand: s.demand, Amount: a})
	t.countPassedOver(w, v)
}

// addSlice adds a slice to its device.
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

// removeSlice takes a slice off its device: only what the backend has said may lead here.
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

// Release is the demander's word that it needs its slice no more; also of an id that is not known yet,
// so that an ask which the release has overtaken places nothing.
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

// HandleStarted is a backend's word that it has begun a slice. One that was ended meanwhile is told so again.
func (t *Table) HandleStarted(now time.Duration, name, id string, try uint64) []Action {
	if v := t.devices[name]; v != nil {
		if s := v.find(id, try); s != nil && s.stage == starting {
			s.stage = running
			t.emit(Action{Kind: Placed, ID: id, Device: name, PlacementID: try, Token: v.token, Amount: s.amount})
		}
	}
	return t.flush(now)
}

// HandleNotStarted is a backend's word that it did not and will not begin this try. The demand goes back to its place in
// the queue; the device takes nothing until it has stated what it holds, since the two do not agree.
func (t *Table) HandleNotStarted(now time.Duration, name, id string, try uint64) []Action {
	if v := t.devices[name]; v != nil {
		if s := v.find(id, try); s != nil && s.stage == starting {
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
				if w.queued { // nothing was said of it yet: its demander would hear no word for as long as it waits
					t.emit(Action{Kind: Pending, ID: id, Reason: w.reason})
				}
			} else {
				t.emit(Action{Kind: Refused, ID: id, Reason: t.whyImpossible(&s.demand)})
			}
		}
	}
	return t.flush(now)
}

// HandleStopped is a backend's word that it holds this try no more and never will. One that ended by itself
// (the backend's own decision) is lost.
func (t *Table) HandleStopped(now time.Duration, name, id string, try uint64) []Action {
	if v := t.devices[name]; v != nil {
		if s := v.find(id, try); s != nil {
			if s.stage == stopping {
				if t.placed[id] == s {
					t.emit(Action{Kind: Ended, ID: id})
				}
			} else if t.placed[id] == s {
				t.markEnded(now, id)
				t.emit(Action{Kind: Lost, ID: id, Device: name, PlacementID: try})
			}
			t.removeSlice(s)
		}
	}
	return t.flush(now)
}

// StopExpired ends what has outlived its lifetime. To be called about once a second.
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

// Unconfirmed repeats each Begin, Finish and State that no backend has answered yet.
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

// RestoreEnded takes up an id that is on disk as ended.
func (t *Table) RestoreEnded(now time.Duration, id string) { t.markEnded(now, id) }

func (t *Table) markEnded(now time.Duration, id string) {
	if _, has := t.ended[id]; !has {
		t.ended[id] = now
		t.endedOrder = append(t.endedOrder, endedID{id, now})
	}
}

func (t *Table) forgetEnded(now time.Duration) {
	n := 0
	for n < len(t.endedOrder) && t.endedOrder[n].endedAt+t.limits.RetainEnded <= now {
		delete(t.ended, t.endedOrder[n].id)
		n++
	}
	t.endedOrder = sorted.Delete(t.endedOrder, 0, n)
}

// SetLimits takes up the limits of a policy. Nothing that sits is ended by it; what waits and can never be
// held under them is refused.
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

func (t *Table) refuseImpossible() {
	for _, w := range sorted.Clone(t.waiting) {
		if why := t.whyImpossible(&w.demand); why != "" {
			t.dequeue(w)
			t.emit(Action{Kind: Refused, ID: w.demand.ID, Reason: why})
		}
	}
}

func (t *Table) classOf(d Device) class {
	c := class{size: Amount{d.Size.Parts, d.Size.Memory - t.limits.ReservedMemory}, zone: d.Zone, profiles: d.Profiles, wasteCache: map[Amount]float64{}}
	for i := range t.mix {
		a, why := c.allocation(&t.mix[i].Demand)
		if why != "" {
			a = Amount{}
		}
		c.typicalAmounts = append(c.typicalAmounts, a)
	}
	return c
}
