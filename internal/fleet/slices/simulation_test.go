package slices

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// simBackend simulates the backend of one device. It shares no code with the table and checks the invariants itself.
type simBackend struct {
	device     Device
	token      FencingToken
	slices     map[uint64]HeldSlice
	stopped    map[uint64]bool
	failed     bool // at present
	everFailed bool
	refuseNext bool // refuses the next Start
}

// simulation has two dispatchers that own one group in turn, the group's devices, and a network that loses,
// duplicates and delays messages without bound.
type simulation struct {
	t           *rapid.T
	now         time.Duration
	lease       Lease
	grantor     *Grantor
	owner       [2]*Owner
	table       [2]*Table
	disk        [2]map[string][]HeldSlice // durable records by device
	backends    map[string]*simBackend
	names       []string
	net         []func() // messages on their way
	limits      Limits
	demands     map[string]Demand
	lastActions map[string]Action // by id: the last message to the requester
	released    map[string]bool   // ids that the requester has released
	reliable    bool              // no message is lost, duplicated or reordered
	started     map[string]bool   // device, id and placement that a backend has started
	ended       map[string]bool   // table and id for which Ended was sent
	strategy    Strategy
}

const group = "g"

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, lease: Lease{Duration: 30, Drift: 0.01}, backends: map[string]*simBackend{}, demands: map[string]Demand{},
		lastActions: map[string]Action{}, released: map[string]bool{}, started: map[string]bool{}, ended: map[string]bool{},
		limits: Limits{MaxTenants: 2, MaxSlices: 4, MaxWaiting: 50, MaxPassedOver: 3, MaxLifetime: 200, RetainEnded: 100_000, MaxKnownIDs: 10_000}}
	w.grantor = NewGrantor(w.lease, 0, 0)
	for i := range w.owner {
		w.owner[i], w.disk[i] = NewOwner(w.lease), map[string][]HeldSlice{}
	}
	for i := range 3 {
		d := Device{Name: fmt.Sprint("d", i), Backend: "w1", Size: Amount{1000, 16384}}
		if i == 1 {
			d.Profiles = []Amount{{143, 2340}, {286, 4681}, {571, 9362}, {1000, 16384}}
		}
		w.backends[d.Name] = &simBackend{device: d, slices: map[uint64]HeldSlice{}, stopped: map[uint64]bool{}}
		w.names = append(w.names, d.Name)
	}
	return w
}

// send puts a message on the network, which may lose or duplicate it.
func (w *simulation) send(f func()) {
	fate := 5
	if !w.reliable {
		fate = rapid.IntRange(0, 9).Draw(w.t, "fate")
	}
	if fate > 0 {
		w.net = append(w.net, f)
	}
	if fate == 1 {
		w.net = append(w.net, f)
	}
}

// deliver handles one message of the network, in random order unless the network is reliable.
func (w *simulation) deliver() {
	if len(w.net) == 0 {
		return
	}
	i := 0
	if !w.reliable {
		i = rapid.IntRange(0, len(w.net)-1).Draw(w.t, "which")
	}
	f := w.net[i]
	w.net = append(w.net[:i:i], w.net[i+1:]...)
	f()
}

// perform carries out a table's actions: it writes the records first and then, if the lease is still valid, sends
// the messages.
func (w *simulation) perform(i int, out []Action) {
	if w.table[i] == nil {
		return
	}
	for _, n := range w.names {
		w.disk[i][n] = w.table[i].Records(n)
	}
	w.checkActions(w.table[i], out)
	if _, may := w.owner[i].MaySend(w.now, group); !may {
		return
	}
	for _, a := range out {
		switch a.Kind {
		case Start, Stop, QueryState:
			w.send(func() { w.handleAtBackend(i, a) })
		default:
			w.send(func() { w.lastActions[a.ID] = a })
		}
	}
}

// checkActions checks that a table reports as placed only what a backend has started, starts nothing on a device
// that it knows to have failed, and starts no id again for which it has sent Ended.
func (w *simulation) checkActions(t *Table, out []Action) {
	for _, a := range out {
		of := fmt.Sprintf("%p %s", t, a.ID)
		switch {
		case a.Kind == Ended:
			w.ended[of] = true
		case a.Kind == Start && w.ended[of]:
			w.t.Fatalf("%s is started after it ended", a.ID)
		case a.Kind == Start && w.backends[a.Device].failed:
			w.t.Fatalf("%s is started on %s, which has failed", a.ID, a.Device)
		case a.Kind == Placed && !w.started[fmt.Sprint(a.Device, a.ID, a.PlacementID)]:
			w.t.Fatalf("%s is reported as placed but was never started: %+v", a.ID, a)
		}
	}
}

func (w *simulation) reply(i int, f func(t *Table) []Action) {
	w.send(func() {
		if w.table[i] != nil {
			w.perform(i, f(w.table[i]))
		}
	})
}

// handleAtBackend handles the action of table i at its backend and sends the answer.
func (w *simulation) handleAtBackend(i int, a Action) {
	b := w.backends[a.Device]
	if b.failed {
		return
	}
	stale := a.Token.Before(b.token)
	if stale && a.Token.Term < b.token.Term {
		term := b.token.Term
		w.send(func() { w.applyOwnership(i, w.owner[i].ObserveTerm(w.now, group, term)) })
	}
	if !stale {
		b.token = a.Token
	}
	name, id, placementID := a.Device, a.ID, a.PlacementID
	switch a.Kind {
	case QueryState:
		if !stale {
			var holds []HeldSlice
			holds = append(holds, sortedSlices(b)...)
			w.reply(i, func(t *Table) []Action { return t.HandleState(w.now, name, a.Token, holds) })
		}
	case Start:
		_, has := b.slices[placementID]
		if !has && (stale || b.stopped[placementID] || b.refuseNext) {
			b.refuseNext = false
			b.stopped[placementID] = true
			w.reply(i, func(t *Table) []Action { return t.HandleNotStarted(w.now, name, id, placementID) })
			return
		}
		if !has {
			w.started[fmt.Sprint(a.Device, id, placementID)] = true
			b.slices[placementID] = HeldSlice{ID: id, Tenant: a.Demand.Tenant, PlacementID: placementID, Isolation: a.Demand.Isolation, Amount: a.Amount}
			w.checkDevice(b)
			w.checkPlacedOnce(id)
		}
		w.reply(i, func(t *Table) []Action { return t.HandleStarted(w.now, name, id, placementID) })
	case Stop:
		if !stale {
			delete(b.slices, placementID)
			b.stopped[placementID] = true
			w.reply(i, func(t *Table) []Action { return t.HandleStopped(w.now, name, id, placementID) })
		}
	}
}

func sortedSlices(b *simBackend) (out []HeldSlice) {
	for placementID := range b.slices {
		out = append(out, b.slices[placementID])
	}
	for i := range out {
		for j := i; j > 0 && out[j].PlacementID < out[j-1].PlacementID; j-- {
			out[j], out[j-1] = out[j-1], out[j]
		}
	}
	return out
}

// checkDevice recomputes a device's totals and checks the isolation of every pair of its slices.
func (w *simulation) checkDevice(b *simBackend) {
	parts, memory, tenants := 0, 0, map[string]bool{}
	hs := sortedSlices(b)
	for i, h := range hs {
		parts, memory = parts+h.Amount.Parts, memory+h.Amount.Memory
		tenants[h.Tenant] = true
		for _, o := range hs[:i] {
			bad := h.Isolation == Exclusive || o.Isolation == Exclusive ||
				(h.Isolation == SharedWithTenant || o.Isolation == SharedWithTenant) && h.Tenant != o.Tenant
			if bad {
				w.t.Fatalf("isolation violated on %s: %+v beside %+v", b.device.Name, h, o)
			}
		}
		d := w.demands[h.ID]
		if h.Amount.Parts < d.Size.Parts || h.Amount.Memory < d.Size.Memory {
			w.t.Fatalf("demand %+v got the smaller slice %+v", d, h)
		}
		if h.Isolation == Partitioned && len(b.device.Profiles) == 0 {
			w.t.Fatalf("partitioned slice on a device without profiles: %+v", h)
		}
		if n := len(b.device.Profiles); n > 0 && h.Isolation != Exclusive {
			isProfile := false
			for _, p := range b.device.Profiles {
				isProfile = isProfile || p == h.Amount
			}
			if !isProfile {
				w.t.Fatalf("the amount is no profile of the device: %+v", h)
			}
		}
	}
	if parts > b.device.Size.Parts || memory > b.device.Size.Memory {
		w.t.Fatalf("oversold %s: %d parts, %d MiB: %+v", b.device.Name, parts, memory, hs)
	}
	if len(hs) > w.limits.MaxSlices || len(tenants) > w.limits.MaxTenants {
		w.t.Fatalf("%d slices of %d tenants on %s", len(hs), len(tenants), b.device.Name)
	}
}

// checkPlacedOnce checks that an id is held at most once. Devices that ever failed don't count: their slices are
// lost, and are stopped after the device has recovered.
func (w *simulation) checkPlacedOnce(id string) {
	n := 0
	for _, b := range w.backends {
		for _, h := range b.slices {
			if h.ID == id && !b.everFailed {
				n++
			}
		}
	}
	if n > 1 {
		w.t.Fatalf("%s is held %d times", id, n)
	}
}

// applyOwnership makes a new table from the records on disk, or discards the table.
func (w *simulation) applyOwnership(i int, turn OwnershipChange) {
	switch turn {
	case LeaseLost:
		w.table[i] = nil
	case Acquired:
		w.table[i] = New(w.limits, w.strategy, mixes["photos"])
		term, _ := w.owner[i].MaySend(w.now, group)
		var out []Action
		for _, n := range w.names {
			out = append(out, w.table[i].AcquireDevice(w.now, w.backends[n].device, term, w.disk[i][n])...)
		}
		w.perform(i, out)
		for _, n := range w.names {
			if w.backends[n].failed {
				w.perform(i, w.table[i].MarkFailed(w.now, n))
			}
		}
	}
}

// askLease requests the lease for dispatcher i over the network.
func (w *simulation) askLease(i int) {
	o := w.owner[i]
	seq, newTerm := o.NewRequest(w.now, group)
	w.send(func() {
		if term, _, ok := w.grantor.HandleRequest(w.now, fmt.Sprint("n", i), newTerm); ok {
			w.send(func() {
				if w.owner[i] == o {
					w.applyOwnership(i, o.HandleGrant(w.now, group, seq, term))
				}
			})
		}
	})
}

// handOver lets the leases expire and gives the group to one dispatcher. Messages stay on their way, and the other
// dispatcher, which is stalled, does not know of the change.
func (w *simulation) handOver(i int) {
	w.now += w.lease.Duration + 1
	o := w.owner[i]
	seq, newTerm := o.NewRequest(w.now, group)
	if term, _, ok := w.grantor.HandleRequest(w.now, fmt.Sprint("n", i), newTerm); ok {
		w.applyOwnership(i, o.HandleGrant(w.now, group, seq, term))
	}
}

// stopOne lets a backend stop a slice by its own decision.
func (w *simulation) stopOne(b *simBackend) {
	for _, h := range sortedSlices(b)[:min(1, len(b.slices))] {
		delete(b.slices, h.PlacementID)
		b.stopped[h.PlacementID] = true
		name := b.device.Name
		for i := range w.table {
			w.reply(i, func(t *Table) []Action { return t.HandleStopped(w.now, name, h.ID, h.PlacementID) })
		}
	}
}

func (w *simulation) tick(by time.Duration) {
	w.now += by
	for i := range w.table {
		w.applyOwnership(i, w.owner[i].CheckLease(w.now, group))
		if w.table[i] != nil {
			w.perform(i, w.table[i].StopExpired(w.now))
			w.perform(i, w.table[i].Unconfirmed())
		}
	}
}

func (w *simulation) ask(id string) {
	for i := range w.table {
		if w.table[i] != nil && !w.released[id] {
			d := w.demands[id]
			w.send(func() {
				if w.table[i] != nil {
					w.perform(i, w.table[i].Submit(w.now, d))
				}
			})
		}
	}
}

func (w *simulation) release(id string) {
	w.released[id] = true
	for i := range w.table {
		w.send(func() {
			if w.table[i] != nil {
				w.perform(i, w.table[i].Release(w.now, id))
			}
		})
	}
}

func (w *simulation) check() {
	for i, t := range w.table {
		if t != nil {
			if err := t.checkInvariants(); err != nil {
				w.t.Fatalf("table %d: %v", i, err)
			}
		}
	}
}

// checkInvariants recomputes a table's totals from its slices and checks the queue.
func (t *Table) checkInvariants() error {
	for _, v := range t.order {
		var used Amount
		tenants := map[string]int{}
		for _, s := range v.slices {
			used = used.plus(s.amount)
			tenants[s.demand.Tenant]++
		}
		if used != v.used || len(tenants) != len(v.tenants) {
			return fmt.Errorf("%s has %v allocated, its slices add up to %v", v.Name, v.used, used)
		}
		if v.reservedFor != nil && (v.reservedFor.reserved != v || !v.reservedFor.queued) {
			return fmt.Errorf("%s is reserved for a demand that is not waiting", v.Name)
		}
	}
	for id, s := range t.placed {
		if s.demand.ID != id || s.device.find(id, s.placementID) != s || t.waitingByID[id] != nil {
			return fmt.Errorf("%s is placed on no device, or is placed and waits", id)
		}
	}
	for i, w := range t.waiting {
		if i > 0 && t.waiting[i-1].compare(w) >= 0 {
			return fmt.Errorf("the queue is out of order at %d", i)
		}
		for _, v := range t.order {
			if _, reason := t.fits(v, &w.demand, w); reason == "" && t.unreportedDevices == 0 {
				return fmt.Errorf("%s waits although %s can take it", w.demand.ID, v.Name)
			}
		}
		if w.passedOver > t.limits.MaxPassedOver+w.starvedBefore {
			return fmt.Errorf("%s was passed over %d times, %d starved before it", w.demand.ID, w.passedOver, w.starvedBefore)
		}
	}
	return nil
}
