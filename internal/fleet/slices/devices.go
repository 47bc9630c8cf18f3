package slices

import (
	sorted "slices"
	"time"
)

// AcquireDevice makes a device ours under a lease of the term, a new one with each take, also after a restart. It takes nothing new until the backend has stated, to this
// term, what it holds. records is what is known durably of it: it counts from now on.
func (t *Table) AcquireDevice(now time.Duration, d Device, term uint64, records []HeldSlice) []Action {
	if d.Check() != nil {
		return t.flush(now)
	}
	v := t.devices[d.Name]
	if v == nil {
		v = &device{Device: d, class: -1}
		t.devices[d.Name] = v
		t.order = append(t.order, v)
	} else if term <= v.token.Term {
		return t.flush(now) // late or doubled
	}
	t.updateDevice(v, d)
	v.leased, v.token = true, FencingToken{Term: term}
	if !v.unreported && !v.failed {
		v.unreported = true
		t.unreportedDevices++
	}
	for _, r := range records {
		if v.find(r.ID, r.PlacementID) != nil {
			continue
		}
		if s := t.adoptSlice(now, v, r); r.Stopping {
			s.stage = stopping
		}
	}
	t.requestState(v)
	t.refuseImpossible()
	return t.flush(now)
}

// updateDevice takes up what the backend says of the device; a smaller one than before ends nothing.
func (t *Table) updateDevice(v *device, d Device) {
	if v.class >= 0 {
		t.classSizes[v.class]--
	}
	d.Profiles = sorted.Clone(d.Profiles)
	v.Device = d
	c := t.classOf(d)
	v.class = sorted.IndexFunc(t.classes, func(o class) bool {
		return len(o.typicalAmounts) == len(c.typicalAmounts) && o.size == c.size && o.zone == c.zone && sorted.Equal(o.profiles, c.profiles)
	})
	if v.class < 0 {
		v.class = len(t.classes)
		t.classes = append(t.classes, c)
		t.classSizes = append(t.classSizes, 0)
	}
	t.classSizes[v.class]++
}

// adoptSlice counts a slice that this table has not placed itself. Its id is not taken to sit there before the
// backend has said so: a record may be older than what another owner did since.
func (t *Table) adoptSlice(now time.Duration, v *device, h HeldSlice) *slice {
	if h.ExpiresAt <= 0 || h.ExpiresAt > now+t.limits.MaxLifetime {
		h.ExpiresAt = now + t.limits.MaxLifetime
	}
	s := &slice{device: v, amount: h.Amount, placementID: h.PlacementID, stage: running, expiresAt: h.ExpiresAt, demand: Demand{ID: h.ID, Size: h.Amount,
		Isolation: h.Isolation, Tenant: h.Tenant, Lifetime: t.limits.MaxLifetime}}
	t.addSlice(s)
	return s
}

// requestState closes a device until it has stated what it holds, under a stamp above all before.
func (t *Table) requestState(v *device) {
	if !v.leased || v.failed {
		return
	}
	v.token.Sequence++
	v.awaitingState = true
	t.closeDevice(v)
	t.emit(Action{Kind: QueryState, Device: v.Name, Token: v.token})
}

func (t *Table) closeDevice(v *device) {
	v.ready = false
	t.reindex(v)
	t.assignReservations()
}

// HandleState is a backend's statement, in answer to State with this stamp: what the device holds. Since the
// backend has refused lower stamps from then on, nothing else can be there. What the two do not agree on is
// counted by the larger of both, and is begun or ended anew until the backend has confirmed it.
func (t *Table) HandleState(now time.Duration, name string, stamp FencingToken, holds []HeldSlice) []Action {
	v := t.devices[name]
	if v == nil || !v.awaitingState || v.token != stamp {
		return t.flush(now) // late, doubled, or of another owner's time
	}
	v.awaitingState, v.ready = false, true
	t.markReported(v)
	known := sorted.Clone(v.slices)
	for _, h := range holds {
		s := v.find(h.ID, h.PlacementID)
		if s == nil {
			t.claimSlice(now, t.adoptSlice(now, v, h))
			continue
		}
		known = sorted.DeleteFunc(known, func(k *slice) bool { return k == s })
		v.used = v.used.minus(s.amount)
		s.amount = s.amount.max(h.Amount)
		v.used = v.used.plus(s.amount)
		switch s.stage {
		case running:
			if t.placed[h.ID] != s {
				t.claimSlice(now, s)
			}
		case starting:
			s.stage = running
			t.emit(Action{Kind: Placed, ID: h.ID, Device: name, PlacementID: h.PlacementID, Token: stamp, Amount: s.amount})
		case stopping:
			t.emit(Action{Kind: Stop, ID: h.ID, Device: name, PlacementID: h.PlacementID, Token: stamp})
		}
	}
	for _, s := range known { // not in the statement
		switch s.stage {
		case starting:
			t.emit(Action{Kind: Start, ID: s.demand.ID, Device: name, PlacementID: s.placementID, Token: stamp, Demand: s.demand, Amount: s.amount})
		case running:
			t.emit(Action{Kind: Lost, ID: s.demand.ID, Device: name, PlacementID: s.placementID})
			t.stopSlice(now, s)
		case stopping:
			t.emit(Action{Kind: Stop, ID: s.demand.ID, Device: name, PlacementID: s.placementID, Token: stamp})
		}
	}
	t.reindex(v)
	t.assignReservations()
	t.queueRetry(v)
	return t.flush(now)
}

// claimSlice is one slice that the backend holds and that this table has not placed: an earlier owner's. One whose id is
// over, or sits elsewhere, is ended; one that waits here has been placed already.
func (t *Table) claimSlice(now time.Duration, s *slice) {
	id := s.demand.ID
	if _, over := t.ended[id]; over || t.placed[id] != nil {
		t.stopSlice(now, s)
		return
	}
	if w := t.waitingByID[id]; w != nil {
		s.submitSeq = w.submitSeq
		t.dequeue(w)
	}
	t.placed[id] = s
	t.emit(Action{Kind: Placed, ID: id, Device: s.device.Name, PlacementID: s.placementID, Token: s.device.token, Amount: s.amount})
}

// MarkFailed is a device that does not work: each demander is told once. What sat there counts until the backend,
// when the device is back, has confirmed its end.
func (t *Table) MarkFailed(now time.Duration, name string) []Action {
	if v := t.devices[name]; v != nil && !v.failed {
		v.failed, v.awaitingState = true, false
		t.markReported(v)
		for _, s := range v.slices {
			if s.stage != stopping {
				t.emit(Action{Kind: Lost, ID: s.demand.ID, Device: name, PlacementID: s.placementID})
				if t.placed[s.demand.ID] == s {
					t.markEnded(now, s.demand.ID)
				}
			}
			s.stage = stopping
		}
		t.closeDevice(v)
	}
	return t.flush(now)
}

// MarkRecovered is a failed device that works again: it takes something new after a statement.
func (t *Table) MarkRecovered(now time.Duration, name string) []Action {
	if v := t.devices[name]; v != nil && v.failed {
		v.failed = false
		t.requestState(v)
	}
	return t.flush(now)
}

// markReported ends the time in which nothing is placed anywhere, since the device may hold what is asked for.
func (t *Table) markReported(v *device) {
	if v.unreported {
		v.unreported = false
		t.unreportedDevices--
	}
}

// RemoveDevice is a device that its backend has no more, and what sat there with it.
func (t *Table) RemoveDevice(now time.Duration, name string) []Action {
	v := t.devices[name]
	if v == nil {
		return t.flush(now)
	}
	out := t.MarkFailed(now, name)
	v.leased = false
	for _, s := range v.slices {
		if t.placed[s.demand.ID] == s {
			delete(t.placed, s.demand.ID)
		}
	}
	delete(t.devices, name)
	t.order = sorted.DeleteFunc(t.order, func(o *device) bool { return o == v })
	t.classSizes[v.class]--
	t.refuseImpossible()
	return append(out, t.flush(now)...)
}

// Records is what of a device is to be on disk before its actions are sent.
func (t *Table) Records(name string) (out []HeldSlice) {
	if v := t.devices[name]; v != nil {
		for _, s := range v.slices {
			out = append(out, HeldSlice{ID: s.demand.ID, Tenant: s.demand.Tenant, PlacementID: s.placementID, Isolation: s.demand.Isolation,
				Amount: s.amount, ExpiresAt: s.expiresAt, Stopping: s.stage == stopping})
		}
	}
	return out
}
