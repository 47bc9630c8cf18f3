package slices

import (
	sorted "slices"
	"time"
)

// AcquireDevice adds a device under a lease of the given term. Each acquisition needs a new term, also after a
// restart. The device takes no new slices until its backend has reported, in this term, which slices it holds.
// records are the durable records of its slices, which are allocated at once.
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
		return t.flush(now) // a late or repeated call
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

// updateDevice applies the backend's description of the device. A device that became smaller stops no slice.
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

// adoptSlice allocates a slice that this table has not placed itself. Its id is not considered placed before the
// backend has reported it: a record may be older than another owner's changes.
func (t *Table) adoptSlice(now time.Duration, v *device, h HeldSlice) *slice {
	if h.ExpiresAt <= 0 || h.ExpiresAt > now+t.limits.MaxLifetime {
		h.ExpiresAt = now + t.limits.MaxLifetime
	}
	s := &slice{device: v, amount: h.Amount, placementID: h.PlacementID, stage: running, expiresAt: h.ExpiresAt, demand: Demand{ID: h.ID, Size: h.Amount,
		Isolation: h.Isolation, Tenant: h.Tenant, Lifetime: t.limits.MaxLifetime}}
	t.addSlice(s)
	return s
}

// requestState closes a device to new slices until its backend has reported its state, with a token above all
// earlier ones.
func (t *Table) requestState(v *device) {
	if !v.leased || v.failed {
		return
	}
	v.token.Sequence++
	v.awaitingState = true
	t.closeDevice(v)
	t.emit(Action{Kind: QueryState, Device: v.Name, Token: v.token})
}

// closeDevice stops new placements on the device and reserves other devices where it was reserved.
func (t *Table) closeDevice(v *device) {
	v.ready = false
	t.reindex(v)
	t.assignReservations()
}

// HandleState handles a backend's answer to the QueryState with this token: the slices on the device. The backend
// refuses lower tokens from then on, so the device cannot hold anything else. Where the table and the backend
// disagree on an amount, the larger of both stays allocated; slices are started or stopped again until the backend
// has confirmed them.
func (t *Table) HandleState(now time.Duration, name string, token FencingToken, slices []HeldSlice) []Action {
	v := t.devices[name]
	if v == nil || !v.awaitingState || v.token != token {
		return t.flush(now) // late, repeated, or an answer to another owner
	}
	v.awaitingState, v.ready = false, true
	t.markReported(v)
	missing := sorted.Clone(v.slices)
	for _, h := range slices {
		s := v.find(h.ID, h.PlacementID)
		if s == nil {
			t.claimSlice(now, t.adoptSlice(now, v, h))
			continue
		}
		missing = sorted.DeleteFunc(missing, func(m *slice) bool { return m == s })
		v.used = v.used.minus(s.amount)
		s.amount = s.amount.elementwiseMax(h.Amount)
		v.used = v.used.plus(s.amount)
		switch s.stage {
		case running:
			if t.placed[h.ID] != s {
				t.claimSlice(now, s)
			}
		case starting:
			s.stage = running
			t.emit(Action{Kind: Placed, ID: h.ID, Device: name, PlacementID: h.PlacementID, Token: token, Amount: s.amount})
		case stopping:
			t.emit(Action{Kind: Stop, ID: h.ID, Device: name, PlacementID: h.PlacementID, Token: token})
		}
	}
	for _, s := range missing { // not reported by the backend
		switch s.stage {
		case starting:
			t.emit(Action{Kind: Start, ID: s.demand.ID, Device: name, PlacementID: s.placementID, Token: token, Demand: s.demand, Amount: s.amount})
		case running:
			t.emit(Action{Kind: Lost, ID: s.demand.ID, Device: name, PlacementID: s.placementID})
			t.stopSlice(now, s)
		case stopping:
			t.emit(Action{Kind: Stop, ID: s.demand.ID, Device: name, PlacementID: s.placementID, Token: token})
		}
	}
	t.reindex(v)
	t.assignReservations()
	t.queueRetry(v)
	return t.flush(now)
}

// claimSlice handles a slice of an earlier owner, which the backend holds and this table has not placed. If its id
// has ended or is placed elsewhere, the slice is stopped. Otherwise the id counts as placed, and a waiting demand
// with this id is removed from the queue.
func (t *Table) claimSlice(now time.Duration, s *slice) {
	id := s.demand.ID
	if _, ended := t.ended[id]; ended || t.placed[id] != nil {
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

// MarkFailed handles the failure of a device. Each requester is notified once. Its slices stay allocated until the
// device has recovered and the backend has confirmed that they have stopped.
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

// MarkRecovered handles the recovery of a failed device. It takes new slices after it has reported its state.
func (t *Table) MarkRecovered(now time.Duration, name string) []Action {
	if v := t.devices[name]; v != nil && v.failed {
		v.failed = false
		t.requestState(v)
	}
	return t.flush(now)
}

// markReported records that the device no longer hides slices of an earlier owner. While any device does, nothing
// is placed anywhere, since that device may already hold a slice of the same id.
func (t *Table) markReported(v *device) {
	if v.unreported {
		v.unreported = false
		t.unreportedDevices--
	}
}

// RemoveDevice handles a device that its backend no longer has. Its slices are lost.
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

// Records returns the durable records of a device. They must be on disk before the device's actions are sent.
func (t *Table) Records(name string) (out []HeldSlice) {
	if v := t.devices[name]; v != nil {
		for _, s := range v.slices {
			out = append(out, HeldSlice{ID: s.demand.ID, Tenant: s.demand.Tenant, PlacementID: s.placementID, Isolation: s.demand.Isolation,
				Amount: s.amount, ExpiresAt: s.expiresAt, Stopping: s.stage == stopping})
		}
	}
	return out
}
