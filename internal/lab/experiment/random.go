package experiment

import (
	"math/rand/v2"

	"tinsail/internal/balance"
)

// Random is a policy that keeps the rules and uses no information about load: it sends each request to a random ready
// worker, and again to a random one if the request is proven not to have run. It is the baseline that every other
// policy should exceed.
func Random(s balance.Settings, actions balance.Actions) (balance.Events, error) {
	return &random{actions: actions, settings: s, rng: rand.New(rand.NewPCG(s.Seed, 7)), reqs: map[balance.RequestID]*randomReq{}, readyIndex: map[balance.WorkerID]int{}}, nil
}

type random struct {
	actions    balance.Actions
	settings   balance.Settings
	rng        *rand.Rand
	ready      []balance.WorkerID // in the order in which they became ready, so that the same events lead to the same choices
	readyIndex map[balance.WorkerID]int
	reqs       map[balance.RequestID]*randomReq
}

type randomReq struct {
	open       bool
	inFlight   int
	attempts   int
	mayHaveRun bool // an attempt may have run
}

func (d *random) removeReady(id balance.WorkerID) {
	i, known := d.readyIndex[id]
	if !known {
		return
	}
	last := len(d.ready) - 1
	d.ready[i] = d.ready[last]
	d.readyIndex[d.ready[i]] = i
	d.ready = d.ready[:last]
	delete(d.readyIndex, id)
}

// Workers applies a list of workers; a failed poll changes nothing.
func (d *random) Workers(_ balance.Millis, kind balance.ListKind, list []balance.Worker) {
	if kind == balance.ListFailed {
		return
	}
	if kind != balance.ListDelta {
		d.ready = d.ready[:0]
		clear(d.readyIndex)
	}
	for _, w := range list {
		_, known := d.readyIndex[w.ID]
		switch {
		case w.State != balance.Ready:
			d.removeReady(w.ID)
		case !known:
			d.readyIndex[w.ID] = len(d.ready)
			d.ready = append(d.ready, w.ID)
		}
	}
}

// Arrive sends the request at once, or refuses it if no worker is ready.
func (d *random) Arrive(_ balance.Millis, q balance.Request) {
	r := &randomReq{open: true}
	d.reqs[q.ID] = r
	d.send(q.ID, r)
}

func (d *random) send(id balance.RequestID, r *randomReq) {
	if len(d.ready) == 0 || r.attempts >= d.settings.MaxAttempts {
		r.open = false
		if r.mayHaveRun {
			d.actions.Fail(id)
		} else {
			d.actions.Refuse(id, 0)
		}
		d.deleteIfDone(id, r)
		return
	}
	r.inFlight++
	r.attempts++
	d.actions.Dispatch(id, d.ready[d.rng.IntN(len(d.ready))], 0)
}

func (d *random) deleteIfDone(id balance.RequestID, r *randomReq) {
	if !r.open && r.inFlight == 0 {
		delete(d.reqs, id)
	}
}

// AttemptEnded retries the request if the attempt is proven not to have run; otherwise it fails the request.
func (d *random) AttemptEnded(_ balance.Millis, o balance.Outcome) {
	r := d.reqs[o.ID]
	if r == nil {
		return
	}
	r.inFlight--
	neverRan := o.Result == balance.Full || o.Result == balance.ConnectFailed || o.Result == balance.NotSent
	r.mayHaveRun = r.mayHaveRun || !neverRan
	r.open = r.open && !o.Closed
	switch {
	case !r.open:
		d.deleteIfDone(o.ID, r)
	case neverRan:
		d.send(o.ID, r)
	default:
		r.open = false
		d.actions.Fail(o.ID)
		d.deleteIfDone(o.ID, r)
	}
}

// Abandoned closes a request that its client gave up.
func (d *random) Abandoned(_ balance.Millis, id balance.RequestID) {
	if r := d.reqs[id]; r != nil {
		r.open = false
		d.deleteIfDone(id, r)
	}
}

// The remaining events are not used.
func (d *random) Progressed(balance.Millis, balance.Progress) {}
func (d *random) Probed(balance.Millis, balance.ProbeResult)  {}
func (d *random) Wake(balance.Millis, uint64)                 {}
