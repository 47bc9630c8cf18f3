package slices

import (
	"cmp"
	sorted "slices"
	"time"
)

type stage uint8

const (
	beginning stage = iota // counted, Begin sent, not confirmed
	held                   // confirmed
	ending                 // Finish sent, counted until confirmed
)

// slice is one placement. Its amount counts from the decision to the confirmed end.
type slice struct {
	demand Demand
	device *device
	amount Amount
	try    uint64
	seq    uint64 // of its ask: it goes back to its place in the queue if the backend does not begin it
	stage  stage
	until  time.Duration // end of its lifetime
}

type tenancy struct {
	name   string
	slices int
}

type device struct {
	Device
	class   int
	stamp   FencingToken
	owned   bool // under a lease of ours
	asked   bool // a statement is awaited
	unheard bool // the first of its term
	failed  bool
	ready   bool // owned, not failed, stated: the only state in which it takes something new
	used    Amount
	slices  []*slice
	tenants []tenancy
	keptFor *waiting
	members []member // places in the index
	dirty   bool     // has got room since those that wait were tried on it
}

func (v *device) free(t *Table) Amount { return t.classes[v.class].size.minus(v.used) }

func (v *device) find(id string, try uint64) *slice {
	for _, s := range v.slices {
		if s.demand.ID == id && s.try == try {
			return s
		}
	}
	return nil
}

// Table is the devices of one group, which have one owner dispatcher at a time, what sits on them and what waits
// for them. An owner whose lease is over throws it away.
type Table struct {
	limits  Limits
	choice  Strategy
	mix     []TypicalDemand
	classes []class
	members []int // devices of each class
	devices map[string]*device
	order   []*device         // as they came
	placed  map[string]*slice // by id, also those that are ending
	waiting []*waiting        // by priority and age
	byID    map[string]*waiting
	starved []*waiting // in the order in which they starved
	ended   map[string]time.Duration
	olds    []old // the same, oldest first
	seq     uint64
	tries   uint64 // with the term they tell placements apart, also those of several owners
	open    *index
	rooms   map[string]*index // by tenant: devices that only it may still use
	touched []*device
	charges []Amount // scratch of choose
	fuel    int      // rooms that waste may still work out
	unheard int      // devices of which an earlier owner may have placed what is not known yet
	out     []Action
}

type old struct {
	id string
	at time.Duration
}

// New makes an empty table. mix is the typical demand of the fleet, by which Gradient and Pattern judge what is left.
func New(limits Limits, choice Strategy, mix []TypicalDemand) *Table {
	return &Table{limits: limits, choice: choice, mix: sorted.Clone(mix), devices: map[string]*device{},
		placed: map[string]*slice{}, byID: map[string]*waiting{}, ended: map[string]time.Duration{},
		rooms: map[string]*index{}, open: newIndex()}
}

func (t *Table) say(a Action) { t.out = append(t.out, a) }

// flush settles what has changed and hands out the actions; they are the caller's.
func (t *Table) flush(now time.Duration) []Action {
	t.settle(now)
	out := t.out
	t.out = nil
	return out
}

// Submit is a demand, or the same asked again: an id is placed at most once while it is remembered.
func (t *Table) Submit(now time.Duration, d Demand) []Action {
	t.forget(now)
	if s := t.placed[d.ID]; s != nil {
		switch s.stage {
		case held:
			t.say(Action{Kind: Placed, ID: d.ID, Device: s.device.Name, PlacementID: s.try, Token: s.device.stamp, Amount: s.amount})
		case beginning:
			t.say(Action{Kind: Pending, ID: d.ID, Device: s.device.Name, Reason: "beginning"})
		case ending:
			t.say(Action{Kind: Ended, ID: d.ID})
		}
		return t.flush(now)
	}
	if _, over := t.ended[d.ID]; over {
		t.say(Action{Kind: Ended, ID: d.ID})
		return t.flush(now)
	}
	if w := t.byID[d.ID]; w != nil {
		t.say(Action{Kind: Pending, ID: d.ID, Reason: w.why})
		return t.flush(now)
	}
	if why := t.never(&d); why != "" {
		t.say(Action{Kind: Refused, ID: d.ID, Reason: why})
		return t.flush(now)
	}
	if len(t.ended)+len(t.placed)+len(t.waiting) >= t.limits.MaxKnownIDs {
		t.say(Action{Kind: Refused, ID: d.ID, Reason: "ids known"})
		return t.flush(now)
	}
	t.seq++
	w := &waiting{demand: d, seq: t.seq, why: "room"}
	if t.unheard > 0 {
		w.why = "taking over"
	} else if v, a := t.choose(&d); v != nil {
		t.place(now, w, v, a)
		return t.flush(now)
	}
	if len(t.waiting) >= t.limits.MaxWaiting {
		t.say(Action{Kind: Refused, ID: d.ID, Reason: "waiting: the queue is full"})
		return t.flush(now)
	}
	t.enqueue(w)
	t.say(Action{Kind: Pending, ID: d.ID, Reason: w.why})
	return t.flush(now)
}

// SubmitAll is what came together: by priority, and among equals the largest first, which packs better than the
// order of coming (docs/design/slices.md). ds is put in that order.
func (t *Table) SubmitAll(now time.Duration, ds []Demand) (out []Action) {
	of := Amount{}
	for _, v := range t.order {
		of = of.most(v.Size)
	}
	sorted.SortStableFunc(ds, func(a, b Demand) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		return cmp.Compare(share(b.Size, of), share(a.Size, of))
	})
	for _, d := range ds {
		out = append(out, t.Submit(now, d)...)
	}
	return out
}

// place counts a demand on a device. Callers have asked fits.
func (t *Table) place(now time.Duration, w *waiting, v *device, a Amount) {
	t.dequeue(w)
	t.tries++
	s := &slice{demand: w.demand, device: v, amount: a, try: v.stamp.Term<<32 | t.tries, seq: w.seq, stage: beginning, until: now + w.demand.Lifetime}
	t.placed[w.demand.ID] = s
	t.count(s)
	t.say(Action{Kind: Start, ID: s.demand.ID, Device: v.Name, PlacementID: s.try, Token: v.stamp, Demand: s.demand, Amount: a})
	t.pass(w, v)
}

// count adds a slice to its device.
func (t *Table) count(s *slice) {
	v := s.device
	v.slices = append(v.slices, s)
	v.used = v.used.plus(s.amount)
	if i := v.tenancy(s.demand.Tenant); i >= 0 {
		v.tenants[i].slices++
	} else {
		v.tenants = append(v.tenants, tenancy{s.demand.Tenant, 1})
	}
	t.reindex(v)
}

// discount takes a slice off its device: only what the backend has said may lead here.
func (t *Table) discount(s *slice) {
	v := s.device
	i := sorted.Index(v.slices, s)
	v.slices = sorted.Delete(v.slices, i, i+1)
	v.used = v.used.minus(s.amount)
	i = v.tenancy(s.demand.Tenant)
	if v.tenants[i].slices--; v.tenants[i].slices == 0 {
		v.tenants = sorted.Delete(v.tenants, i, i+1)
	}
	if t.placed[s.demand.ID] == s {
		delete(t.placed, s.demand.ID)
	}
	t.reindex(v)
	t.touch(v)
}

func (v *device) tenancy(name string) int {
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
	t.forget(now)
	if s := t.placed[id]; s != nil {
		t.finish(now, s)
	} else if w := t.byID[id]; w != nil {
		t.dequeue(w)
		t.remember(now, id)
		t.say(Action{Kind: Ended, ID: id})
	} else if id != "" && len(id) <= MaxNameBytes && len(t.ended)+len(t.placed)+len(t.waiting) < t.limits.MaxKnownIDs {
		t.remember(now, id)
	}
	return t.flush(now)
}

func (t *Table) finish(now time.Duration, s *slice) {
	if s.stage == ending {
		return
	}
	s.stage = ending
	if t.placed[s.demand.ID] == s {
		t.remember(now, s.demand.ID)
	}
	t.say(Action{Kind: Stop, ID: s.demand.ID, Device: s.device.Name, PlacementID: s.try, Token: s.device.stamp})
}

// HandleStarted is a backend's word that it has begun a slice. One that was ended meanwhile is told so again.
func (t *Table) HandleStarted(now time.Duration, name, id string, try uint64) []Action {
	if v := t.devices[name]; v != nil {
		if s := v.find(id, try); s != nil && s.stage == beginning {
			s.stage = held
			t.say(Action{Kind: Placed, ID: id, Device: name, PlacementID: try, Token: v.stamp, Amount: s.amount})
		}
	}
	return t.flush(now)
}

// HandleNotStarted is a backend's word that it did not and will not begin this try. The demand goes back to its place in
// the queue; the device takes nothing until it has stated what it holds, since the two do not agree.
func (t *Table) HandleNotStarted(now time.Duration, name, id string, try uint64) []Action {
	if v := t.devices[name]; v != nil {
		if s := v.find(id, try); s != nil && s.stage == beginning {
			t.discount(s)
			t.ask(v)
			if t.never(&s.demand) == "" {
				w := &waiting{demand: s.demand, seq: s.seq, why: "the backend did not begin it"}
				t.enqueue(w)
				if t.unheard == 0 {
					if o, a := t.choose(&w.demand); o != nil {
						t.place(now, w, o, a)
					}
				}
				if w.queued { // nothing was said of it yet: its demander would hear no word for as long as it waits
					t.say(Action{Kind: Pending, ID: id, Reason: w.why})
				}
			} else {
				t.say(Action{Kind: Refused, ID: id, Reason: t.never(&s.demand)})
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
			if s.stage == ending {
				if t.placed[id] == s {
					t.say(Action{Kind: Ended, ID: id})
				}
			} else if t.placed[id] == s {
				t.remember(now, id)
				t.say(Action{Kind: Lost, ID: id, Device: name, PlacementID: try})
			}
			t.discount(s)
		}
	}
	return t.flush(now)
}

// StopExpired ends what has outlived its lifetime. To be called about once a second.
func (t *Table) StopExpired(now time.Duration) []Action {
	t.forget(now)
	for _, v := range t.order {
		for _, s := range v.slices {
			if s.until <= now {
				t.finish(now, s)
			}
		}
	}
	return t.flush(now)
}

// Unconfirmed repeats each Begin, Finish and State that no backend has answered yet.
func (t *Table) Unconfirmed() (out []Action) {
	for _, v := range t.order {
		if v.asked {
			out = append(out, Action{Kind: QueryState, Device: v.Name, Token: v.stamp})
			continue
		}
		if !v.ready {
			continue
		}
		for _, s := range v.slices {
			switch s.stage {
			case beginning:
				out = append(out, Action{Kind: Start, ID: s.demand.ID, Device: v.Name, PlacementID: s.try, Token: v.stamp, Demand: s.demand, Amount: s.amount})
			case ending:
				out = append(out, Action{Kind: Stop, ID: s.demand.ID, Device: v.Name, PlacementID: s.try, Token: v.stamp})
			}
		}
	}
	return out
}

// RestoreEnded takes up an id that is on disk as ended.
func (t *Table) RestoreEnded(now time.Duration, id string) { t.remember(now, id) }

func (t *Table) remember(now time.Duration, id string) {
	if _, has := t.ended[id]; !has {
		t.ended[id] = now
		t.olds = append(t.olds, old{id, now})
	}
}

func (t *Table) forget(now time.Duration) {
	n := 0
	for n < len(t.olds) && t.olds[n].at+t.limits.RetainEnded <= now {
		delete(t.ended, t.olds[n].id)
		n++
	}
	t.olds = sorted.Delete(t.olds, 0, n)
}

// SetLimits takes up the limits of a policy. Nothing that sits is ended by it; what waits and can never be
// held under them is refused.
func (t *Table) SetLimits(now time.Duration, l Limits) []Action {
	t.limits = l
	for i := range t.classes {
		t.classes[i] = class{}
	}
	t.open, t.rooms = newIndex(), map[string]*index{}
	for _, v := range t.order {
		t.classes[v.class] = t.classOf(v.Device)
		v.members = v.members[:0]
		t.touch(v)
	}
	for _, v := range t.order {
		t.reindex(v)
	}
	t.rejudge()
	t.keep()
	return t.flush(now)
}

func (t *Table) rejudge() {
	for _, w := range sorted.Clone(t.waiting) {
		if why := t.never(&w.demand); why != "" {
			t.dequeue(w)
			t.say(Action{Kind: Refused, ID: w.demand.ID, Reason: why})
		}
	}
}

func (t *Table) classOf(d Device) class {
	c := class{size: Amount{d.Size.Parts, d.Size.Memory - t.limits.ReservedMemory}, zone: d.Zone, profiles: d.Profiles, wastes: map[Amount]float64{}}
	for i := range t.mix {
		a, why := c.charge(&t.mix[i].Demand)
		if why != "" {
			a = Amount{}
		}
		c.typical = append(c.typical, a)
	}
	return c
}
