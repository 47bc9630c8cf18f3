package experiment

import (
	"math/rand/v2"

	"tinsail/internal/balance"
)

// Random is a policy that keeps the rules and knows nothing: it sends a req to any ready worker, by chance, and to
// another one where it is proven not to have run. What it reaches is the floor for every other.
func Random(s balance.Settings, act balance.Actions) (balance.Events, error) {
	return &random{act: act, set: s, rng: rand.New(rand.NewPCG(s.Seed, 7)), reqs: map[balance.RequestID]*randomReq{}, place: map[balance.WorkerID]int{}}, nil
}

type random struct {
	act   balance.Actions
	set   balance.Settings
	rng   *rand.Rand
	ready []balance.WorkerID // in the order in which they became ready, so that the same events give the same choices
	place map[balance.WorkerID]int
	reqs  map[balance.RequestID]*randomReq
}

type randomReq struct {
	open     bool
	out      int
	attempts int
	ran      bool // an attempt may have
}

func (d *random) drop(id balance.WorkerID) {
	i, known := d.place[id]
	if !known {
		return
	}
	last := len(d.ready) - 1
	d.ready[i] = d.ready[last]
	d.place[d.ready[i]] = i
	d.ready = d.ready[:last]
	delete(d.place, id)
}

// Workers takes the list.
func (d *random) Workers(_ balance.Millis, kind balance.ListKind, list []balance.Worker) {
	if kind == balance.ListFailed {
		return
	}
	if kind != balance.ListDelta {
		d.ready = d.ready[:0]
		clear(d.place)
	}
	for _, w := range list {
		_, known := d.place[w.ID]
		switch {
		case w.State != balance.Ready:
			d.drop(w.ID)
		case !known:
			d.place[w.ID] = len(d.ready)
			d.ready = append(d.ready, w.ID)
		}
	}
}

// Arrive sends it at once, or refuses it.
func (d *random) Arrive(_ balance.Millis, q balance.Request) {
	r := &randomReq{open: true}
	d.reqs[q.ID] = r
	d.send(q.ID, r)
}

func (d *random) send(id balance.RequestID, r *randomReq) {
	if len(d.ready) == 0 || r.attempts >= d.set.MaxAttempts {
		r.open = false
		if r.ran {
			d.act.Fail(id)
		} else {
			d.act.Refuse(id, 0)
		}
		d.forget(id, r)
		return
	}
	r.out++
	r.attempts++
	d.act.Dispatch(id, d.ready[d.rng.IntN(len(d.ready))], 0)
}

func (d *random) forget(id balance.RequestID, r *randomReq) {
	if !r.open && r.out == 0 {
		delete(d.reqs, id)
	}
}

// AttemptEnded goes on where the attempt never ran, and fails the req otherwise.
func (d *random) AttemptEnded(_ balance.Millis, o balance.Outcome) {
	r := d.reqs[o.ID]
	if r == nil {
		return
	}
	r.out--
	never := o.Result == balance.Full || o.Result == balance.ConnectFailed || o.Result == balance.NotSent
	r.ran = r.ran || !never
	r.open = r.open && !o.Closed
	switch {
	case !r.open:
		d.forget(o.ID, r)
	case never:
		d.send(o.ID, r)
	default:
		r.open = false
		d.act.Fail(o.ID)
		d.forget(o.ID, r)
	}
}

// Abandoned closes a req.
func (d *random) Abandoned(_ balance.Millis, id balance.RequestID) {
	if r := d.reqs[id]; r != nil {
		r.open = false
		d.forget(id, r)
	}
}

// What it is told besides, it does not use.
func (d *random) Progressed(balance.Millis, balance.Progress) {}
func (d *random) Probed(balance.Millis, balance.ProbeResult)  {}
func (d *random) Wake(balance.Millis, uint64)                 {}
