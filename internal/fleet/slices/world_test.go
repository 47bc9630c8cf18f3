package slices

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// far is a backend as the far side sees it: it shares no rule with the table and counts breaches itself.
type far struct {
	dev    Device
	stamp  FencingToken
	holds  map[uint64]HeldSlice
	over   map[uint64]bool
	failed bool // now
	marred bool // ever
	refuse bool // the next begin
}

// world is two dispatchers that own one group in turn, its backends, and a network that loses, doubles and
// delays without bound.
type world struct {
	t       *rapid.T
	now     time.Duration
	lease   Lease
	grants  *Grantor
	owner   [2]*Owner
	table   [2]*Table
	disk    [2]map[string][]HeldSlice
	far     map[string]*far
	names   []string
	net     []func()
	limits  Limits
	demands map[string]Demand
	said    map[string]Action // what the demander heard last
	gone    map[string]bool   // released
	calm    bool
	was     map[string]bool // device, id, try that some backend has begun
	ended   map[string]bool // table and id
	choice  Strategy
}

const group = "g"

func newWorld(t *rapid.T) *world {
	w := &world{t: t, lease: Lease{Duration: 30, Drift: 0.01}, far: map[string]*far{}, demands: map[string]Demand{},
		said: map[string]Action{}, gone: map[string]bool{}, was: map[string]bool{}, ended: map[string]bool{},
		limits: Limits{MaxTenants: 2, MaxSlices: 4, MaxWaiting: 50, MaxPassedOver: 3, MaxLifetime: 200, RetainEnded: 100_000, MaxKnownIDs: 10_000}}
	w.grants = NewGrantor(w.lease, 0, 0)
	for i := range w.owner {
		w.owner[i], w.disk[i] = NewOwner(w.lease), map[string][]HeldSlice{}
	}
	for i := range 3 {
		d := Device{Name: fmt.Sprint("d", i), Backend: "w1", Size: Amount{1000, 16384}}
		if i == 1 {
			d.Profiles = []Amount{{143, 2340}, {286, 4681}, {571, 9362}, {1000, 16384}}
		}
		w.far[d.Name] = &far{dev: d, holds: map[uint64]HeldSlice{}, over: map[uint64]bool{}}
		w.names = append(w.names, d.Name)
	}
	return w
}

// send puts a message on the network. With chance it is lost or doubled.
func (w *world) send(f func()) {
	fate := 5
	if !w.calm {
		fate = rapid.IntRange(0, 9).Draw(w.t, "fate")
	}
	if fate > 0 {
		w.net = append(w.net, f)
	}
	if fate == 1 {
		w.net = append(w.net, f)
	}
}

func (w *world) deliver() {
	if len(w.net) == 0 {
		return
	}
	i := 0
	if !w.calm {
		i = rapid.IntRange(0, len(w.net)-1).Draw(w.t, "which")
	}
	f := w.net[i]
	w.net = append(w.net[:i:i], w.net[i+1:]...)
	f()
}

// do carries out a table's actions: to disk first, then, if the lease still stands, onto the network.
func (w *world) do(i int, out []Action) {
	if w.table[i] == nil {
		return
	}
	for _, n := range w.names {
		w.disk[i][n] = w.table[i].Records(n)
	}
	w.heed(w.table[i], out)
	if _, may := w.owner[i].MaySend(w.now, group); !may {
		return
	}
	for _, a := range out {
		switch a.Kind {
		case Start, Stop, QueryState:
			w.send(func() { w.backend(i, a) })
		default:
			w.send(func() { w.said[a.ID] = a })
		}
	}
}

// heed judges what a table says: placed only what a backend has begun, nothing on a device that it knows to
// have failed, and no id again of which it has said that it is over.
func (w *world) heed(t *Table, out []Action) {
	for _, a := range out {
		of := fmt.Sprintf("%p %s", t, a.ID)
		switch {
		case a.Kind == Ended:
			w.ended[of] = true
		case a.Kind == Start && w.ended[of]:
			w.t.Fatalf("%s is begun after its end", a.ID)
		case a.Kind == Start && w.far[a.Device].failed:
			w.t.Fatalf("%s is begun on %s, which has failed", a.ID, a.Device)
		case a.Kind == Placed && !w.was[fmt.Sprint(a.Device, a.ID, a.PlacementID)]:
			w.t.Fatalf("%s is said to be placed and was never begun: %+v", a.ID, a)
		}
	}
}

func (w *world) reply(i int, f func(t *Table) []Action) {
	w.send(func() {
		if w.table[i] != nil {
			w.do(i, f(w.table[i]))
		}
	})
}

func (w *world) backend(i int, a Action) {
	b := w.far[a.Device]
	if b.failed {
		return
	}
	stale := a.Token.Before(b.stamp)
	if stale && a.Token.Term < b.stamp.Term {
		term := b.stamp.Term
		w.send(func() { w.turn(i, w.owner[i].ObserveTerm(w.now, group, term)) })
	}
	if !stale {
		b.stamp = a.Token
	}
	name, id, try := a.Device, a.ID, a.PlacementID
	switch a.Kind {
	case QueryState:
		if !stale {
			var holds []HeldSlice
			holds = append(holds, sortedHolds(b)...)
			w.reply(i, func(t *Table) []Action { return t.HandleState(w.now, name, a.Token, holds) })
		}
	case Start:
		_, has := b.holds[try]
		if !has && (stale || b.over[try] || b.refuse) {
			b.refuse = false
			b.over[try] = true
			w.reply(i, func(t *Table) []Action { return t.HandleNotStarted(w.now, name, id, try) })
			return
		}
		if !has {
			w.was[fmt.Sprint(a.Device, id, try)] = true
			b.holds[try] = HeldSlice{ID: id, Tenant: a.Demand.Tenant, PlacementID: try, Isolation: a.Demand.Isolation, Amount: a.Amount}
			w.judge(b)
			w.once(id)
		}
		w.reply(i, func(t *Table) []Action { return t.HandleStarted(w.now, name, id, try) })
	case Stop:
		if !stale {
			delete(b.holds, try)
			b.over[try] = true
			w.reply(i, func(t *Table) []Action { return t.HandleStopped(w.now, name, id, try) })
		}
	}
}

func sortedHolds(b *far) (out []HeldSlice) {
	for try := range b.holds {
		out = append(out, b.holds[try])
	}
	for i := range out {
		for j := i; j > 0 && out[j].PlacementID < out[j-1].PlacementID; j-- {
			out[j], out[j-1] = out[j-1], out[j]
		}
	}
	return out
}

// judge is the far side's own check: sums, and every pair.
func (w *world) judge(b *far) {
	parts, memory, tenants := 0, 0, map[string]bool{}
	hs := sortedHolds(b)
	for i, h := range hs {
		parts, memory = parts+h.Amount.Parts, memory+h.Amount.Memory
		tenants[h.Tenant] = true
		for _, o := range hs[:i] {
			bad := h.Isolation == Exclusive || o.Isolation == Exclusive ||
				(h.Isolation == SharedWithTenant || o.Isolation == SharedWithTenant) && h.Tenant != o.Tenant
			if bad {
				w.t.Fatalf("isolation on %s: %+v beside %+v", b.dev.Name, h, o)
			}
		}
		d := w.demands[h.ID]
		if h.Amount.Parts < d.Size.Parts || h.Amount.Memory < d.Size.Memory {
			w.t.Fatalf("%+v got %+v", d, h)
		}
		if h.Isolation == Partitioned && len(b.dev.Profiles) == 0 {
			w.t.Fatalf("own slice without walls: %+v", h)
		}
		if n := len(b.dev.Profiles); n > 0 && h.Isolation != Exclusive {
			cut := false
			for _, p := range b.dev.Profiles {
				cut = cut || p == h.Amount
			}
			if !cut {
				w.t.Fatalf("no profile: %+v", h)
			}
		}
	}
	if parts > b.dev.Size.Parts || memory > b.dev.Size.Memory {
		w.t.Fatalf("oversold %s: %d parts, %d MiB: %+v", b.dev.Name, parts, memory, hs)
	}
	if len(hs) > w.limits.MaxSlices || len(tenants) > w.limits.MaxTenants {
		w.t.Fatalf("%d slices of %d tenants on %s", len(hs), len(tenants), b.dev.Name)
	}
}

// once: an id is held once, devices that ever failed aside (their slices are lost, and ended when they are back).
func (w *world) once(id string) {
	n := 0
	for _, b := range w.far {
		for _, h := range b.holds {
			if h.ID == id && !b.marred {
				n++
			}
		}
	}
	if n > 1 {
		w.t.Fatalf("%s is held %d times", id, n)
	}
}

// turn follows an owner's turn: a new table from the disk, or none.
func (w *world) turn(i int, turn OwnershipChange) {
	switch turn {
	case LeaseLost:
		w.table[i] = nil
	case Acquired:
		w.table[i] = New(w.limits, w.choice, mixes["photos"])
		term, _ := w.owner[i].MaySend(w.now, group)
		var out []Action
		for _, n := range w.names {
			out = append(out, w.table[i].AcquireDevice(w.now, w.far[n].dev, term, w.disk[i][n])...)
		}
		w.do(i, out)
		for _, n := range w.names {
			if w.far[n].failed {
				w.do(i, w.table[i].MarkFailed(w.now, n))
			}
		}
	}
}

func (w *world) askLease(i int) {
	o := w.owner[i]
	seq, anew := o.NewRequest(w.now, group)
	w.send(func() {
		if term, _, ok := w.grants.HandleRequest(w.now, fmt.Sprint("n", i), anew); ok {
			w.send(func() {
				if w.owner[i] == o {
					w.turn(i, o.HandleGrant(w.now, group, seq, term))
				}
			})
		}
	})
}

// handOver lets the leases run out and gives the group to one dispatcher; messages stay on their way, and the
// other, stalled, does not know.
func (w *world) handOver(i int) {
	w.now += w.lease.Duration + 1
	o := w.owner[i]
	seq, anew := o.NewRequest(w.now, group)
	if term, _, ok := w.grants.HandleRequest(w.now, fmt.Sprint("n", i), anew); ok {
		w.turn(i, o.HandleGrant(w.now, group, seq, term))
	}
}

// endOne is a backend that ends a slice by itself.
func (w *world) endOne(b *far) {
	for _, h := range sortedHolds(b)[:min(1, len(b.holds))] {
		delete(b.holds, h.PlacementID)
		b.over[h.PlacementID] = true
		name := b.dev.Name
		for i := range w.table {
			w.reply(i, func(t *Table) []Action { return t.HandleStopped(w.now, name, h.ID, h.PlacementID) })
		}
	}
}

func (w *world) tick(by time.Duration) {
	w.now += by
	for i := range w.table {
		w.turn(i, w.owner[i].CheckLease(w.now, group))
		if w.table[i] != nil {
			w.do(i, w.table[i].StopExpired(w.now))
			w.do(i, w.table[i].Unconfirmed())
		}
	}
}

func (w *world) ask(id string) {
	for i := range w.table {
		if w.table[i] != nil && !w.gone[id] {
			d := w.demands[id]
			w.send(func() {
				if w.table[i] != nil {
					w.do(i, w.table[i].Submit(w.now, d))
				}
			})
		}
	}
}

func (w *world) release(id string) {
	w.gone[id] = true
	for i := range w.table {
		w.send(func() {
			if w.table[i] != nil {
				w.do(i, w.table[i].Release(w.now, id))
			}
		})
	}
}

func (w *world) check() {
	for i, t := range w.table {
		if t != nil {
			if err := t.sound(); err != nil {
				w.t.Fatalf("table %d: %v", i, err)
			}
		}
	}
}

// sound recounts a table from its slices.
func (t *Table) sound() error {
	for _, v := range t.order {
		var used Amount
		tenants := map[string]int{}
		for _, s := range v.slices {
			used = used.plus(s.amount)
			tenants[s.demand.Tenant]++
		}
		if used != v.used || len(tenants) != len(v.tenants) {
			return fmt.Errorf("%s counts %v of %v", v.Name, v.used, used)
		}
		if v.keptFor != nil && (v.keptFor.keeps != v || !v.keptFor.queued) {
			return fmt.Errorf("%s is kept for what does not wait", v.Name)
		}
	}
	for id, s := range t.placed {
		if s.demand.ID != id || s.device.find(id, s.try) != s || t.byID[id] != nil {
			return fmt.Errorf("%s sits nowhere, or waits too", id)
		}
	}
	for i, w := range t.waiting {
		if i > 0 && t.waiting[i-1].before(w) >= 0 {
			return fmt.Errorf("the queue is out of order at %d", i)
		}
		for _, v := range t.order {
			if _, why := t.fits(v, &w.demand, w); why == "" && t.unheard == 0 {
				return fmt.Errorf("%s waits although %s has room", w.demand.ID, v.Name)
			}
		}
		if w.passed > t.limits.MaxPassedOver+w.ahead {
			return fmt.Errorf("%s was passed %d times, %d ahead", w.demand.ID, w.passed, w.ahead)
		}
	}
	return nil
}
