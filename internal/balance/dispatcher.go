package balance

// All decisions are made in this file. The interface (settings, events, actions) is in api.go, the state
// of workers and requests in state.go. Sections: ordinary path, capacity and speed, health, cold starts,
// further attempts, refusal and fairness, list.

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Dispatcher makes the decisions of one node, from its settings and its own events alone.
type Dispatcher struct {
	book
	kept
	set         Settings
	act         Actions
	rng         *rand.Rand
	ready       []int32    // indexes of the ready workers
	held        []*request // waiting here for capacity or for a worker, oldest first
	runs, seen  []float64  // by class: mean running time here, and the number of jobs averaged
	work, worth []float64  // by class: work and worth of all requests so far
	run         Millis     // mean running time of all jobs ...
	ran         float64    // ... and the number of jobs averaged
	kinds       []float64  // by kind: running time relative to the class's mean
	wide        []float64  // by kind: most slots seen running at once on a worker ...
	dense       []float64  // ... and most per unit of listed size
	zones       []float64  // by zone: mean of other dispatchers' slots on a worker
	lost        []float64  // by zone and kind: share of recent connections that failed
	rates       rates      // requests per second here, by tenant; the last is the total
	quotas      float64    // quotas of all tenants
	busy, limit float64    // slots of jobs in flight, and how many do not overload the workers
	copies      float64    // work that may still be sent as second copies
	turn        int64      // number of the window that the budgets of cold workers apply to
	cold        []float64  // by zone: jobs that may still be sent to cold workers in this window
	top         []float64  // by zone: largest budget of a cold worker
	rise        float64    // how much a job that did not wait long raises slotLimit
	shared      bool       // another process of this node serves too: they share the cold budget
	failed      int        // consecutive failed requests for the list
}

const (
	gain      = 1.0 / 8 // weight of a new value in a moving average: about the last eight count
	sample    = 64      // most workers examined per request: 64 miss the best tenth once in 800 times
	links     = 2.0     // mean number of dispatchers that prefer a worker: enough to even out their traffic
	keyLinks  = 4.0     // mean number of workers that a key is linked to
	trust     = 0.5     // weight of others' slots against own ones for a copy, as their count is outdated
	perCross  = 30.0    // mean extra slots that a worker of another zone counts, per CrossZone; at least 1
	aside     = 0.75    // mean extra slots that an unlinked worker of the own zone counts
	copyShare = 0.2     // work of second copies as a share of the work of first attempts
	ill       = 2.0     // a worker this many times slower than its kind gets one job at a time
	reserve   = 0.4     // share of slotLimit that requests of no value leave free
	ahead     = 0.3     // share of its slots that a fast worker fills before an idle slow one gets a job
	soonest   = 0.4     // no job is sent with less than this share of its mean running time left
	untold    = 4.0     // initial guess of a worker's slots where sizes are not known; most have about as many
	fewest    = 8.0     // least slotLimit and number of linked workers: fewer show chance rather than load
	window    = 2000.0  // ms over which rates are averaged: shorter than a surge, longer than a cluster
)

// New validates the settings and returns a dispatcher that reports its decisions to act.
func New(s Settings, act Actions) (*Dispatcher, error) {
	if act == nil {
		return nil, errors.New("no actions given")
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	n := len(s.Classes)
	d := &Dispatcher{set: s, act: act, kept: newKept(&s), rng: rand.New(rand.NewPCG(s.Seed, s.Seed>>1)),
		book: book{index: map[WorkerID]int32{}, reqs: map[RequestID]*request{}, keys: map[uint64]int{}},
		runs: make([]float64, n), seen: make([]float64, n), work: make([]float64, n),
		worth: make([]float64, n), kinds: slices.Repeat([]float64{1}, s.Kinds),
		wide: make([]float64, s.Kinds), dense: make([]float64, s.Kinds),
		zones: make([]float64, s.Zones), cold: make([]float64, s.Zones), top: make([]float64, s.Zones),
		lost: make([]float64, s.Zones*s.Kinds), rates: rates{last: make([]float64, len(s.Tenants)+1)}}
	if d.rise = gain; s.Weight == WeightNone { // sizes not known: rise fast until the first long wait
		d.rise = 1
	}
	for _, t := range s.Tenants {
		d.quotas += t.QuotaPerS
	}
	// Until jobs have ended, the running time is taken as the full aim of a job that runs for the class's
	// Aim: rather too long than too short, which would send cold workers more than they can take.
	for i, c := range s.Classes {
		d.runs[i] = c.Aim * (1 + c.Stretch)
		d.run += d.runs[i] / float64(n)
	}
	return d, nil
}

// ---- Ordinary path ----

// Arrive sends a request to a worker by JFSQ. Without capacity, a request beyond its tenant's share is
// refused at once; any other is held as long as it can still be answered in time.
func (d *Dispatcher) Arrive(now Millis, q Request) {
	if q.Class >= len(d.runs) {
		d.act.Fail(q.ID)
		return
	}
	r := d.open(q)
	d.meter(now, r)
	if d.room(r) {
		d.place(now, r)
	} else if r.over {
		d.finish(now, r)
	} else {
		d.hold(now, r, now+d.set.Classes[r.Class].Aim/2)
	}
}

// place sends the request to the best worker. If there is none and no attempt is in flight, it is held if
// waiting may help, else answered. Waiting does not help where all listed workers drain, as by an operator.
func (d *Dispatcher) place(now Millis, r *request) {
	least := max(2*d.set.Tick, d.runs[r.Class]*soonest) // in a shutdown the deadline is near
	if now+least < r.Deadline && len(r.attempts) < d.set.MaxAttempts {
		c, n := &d.set.Classes[r.Class], len(r.attempts)
		if d.few() && n > 0 && n >= d.set.MaxAttempts-2 && r.out == 0 && r.attempts[n-1].full {
			// the last two attempts wait for a slot
			d.hold(now, r, now+c.Aim/2+c.Stretch*d.runs[r.Class]/4)
			return
		}
		if i := d.pick(now, r); i >= 0 {
			d.send(now, r, i)
			return
		}
		drained := len(d.ready) == 0 && len(d.index) > 0
		if !drained && (len(r.attempts) == 0 || len(d.ready) == 0 && r.out == 0) {
			d.hold(now, r, r.Deadline)
			return
		}
	}
	if r.out == 0 {
		d.finish(now, r)
	}
}

func (d *Dispatcher) send(now Millis, r *request, i int32) {
	w := &d.workers[i]
	w.own, w.out, d.busy, r.out = w.own+r.Slots, w.out+1, d.busy+r.Slots, r.out+1
	if d.warmth(now, w) < 1 {
		w.tickets, d.cold[w.Zone] = w.tickets-1, d.cold[w.Zone]-1
	}
	r.attempts = append(r.attempts,
		attempt{worker: i, zone: w.Zone, cell: w.Cell, out: true, sent: now, news: now})
	d.act.Dispatch(r.ID, w.ID, 0)
	d.watch(r, len(r.attempts)-1, d.patience(r))
}

// pick tries the workers that the request's key is linked to, then all; if none is eligible, it ignores
// their failures. A key is linked to a worker if the hash of both is below a threshold that grows with the
// worker's speed. A hot key, one with more requests than linksPerKey, is linked to all workers.
func (d *Dispatcher) pick(now Millis, r *request) int32 {
	if r.Key != 0 && float64(d.keys[r.Key]) <= keyLinks {
		if i := d.shortest(now, r, keyLinks/d.allSpeed(now), false); i >= 0 {
			return i
		}
	}
	if i := d.shortest(now, r, 0, false); i >= 0 {
		return i
	}
	return d.shortest(now, r, 0, true)
}

// shortestQueue is JFSQ: it returns the eligible worker with the least load (see load) of own jobs, ties drawn
// by speed. Other dispatchers' slots are not counted: what is known of them reaches many dispatchers alike,
// and all would move from one worker to the same few others at once, the more the more dispatchers there
// are. Unlinked workers and other zones count extra slots, drawn anew each time so that load spills over
// gradually. linkShare above 0 limits the choice to workers linked to the key.
func (d *Dispatcher) shortest(now Millis, r *request, keyed float64, doubt bool) int32 {
	d.newWindow(now)
	choice, best, total, luck := int32(-1), math.Inf(1), 0.0, d.rng.Float64()
	n, reach, arc := len(d.ready), d.reach(r, keyed), d.arc()
	for k, left, j := 0, sample, d.rng.IntN(max(n, 1)); left > 0; k, j = k+1, j+1 {
		if k, j = d.skip(r, reach, k, j, n); k == n {
			break
		}
		i := d.ready[j]
		w := &d.workers[i]
		if !d.legal(now, r, w) || !doubt && !d.trusted(now, w, luck) || r.tried(i) ||
			keyed > 0 && hash(r.Key^uint64(w.ID)*3) >= keyed*d.speed(now, w) {
			continue
		}
		left--
		count, slot := d.load(r, w)
		if w.Zone != d.set.Zone {
			count += 2 * luck * max(1, perCross*d.set.Prices.CrossZone) * slot
		} else if w.link >= arc {
			count += 2 * luck * aside * slot
		}
		if count > best || min(w.tickets, d.cold[w.Zone]) < 1 && d.warmth(now, w) < 1 {
			continue
		}
		if count < best {
			best, total = count, 0
		}
		speed := d.speed(now, w) * max(1, w.lift)
		if total += speed; d.rng.Float64()*total < speed {
			choice = i
		}
	}
	return choice
}

// load returns a worker's load in the choice, and what one slot counts in it. Among many dispatchers it is
// the own slots in flight: 0 or 1 on most workers, so that the draw by speed spreads the jobs, where a finer
// order would send all to the same few workers. Among few it is the share of the slots that own jobs take,
// times how slow the worker is, since it holds them for longer; jobs that wait for a slot count in full, and
// fastLead lets fast workers fill a little before an idle slow one. An Unsafe request is lost if this process
// ends while it is in flight, so slowness counts squared, in favour of where it runs for the shortest time.
func (d *Dispatcher) load(r *request, w *worker) (count, slot float64) {
	if !d.few() {
		return w.own, 1
	}
	slot, slow := 1/d.slots(w), d.kinds[w.Kind]*w.pace
	if d.set.Classes[r.Class].Effect == Unsafe {
		slow *= slow
	}
	return (w.own*slot+ahead)*slow + max(0, w.own+r.Slots-d.slots(w)), slot
}

// distanceTo returns a worker's distance from this dispatcher, and linkDistance the distance below which
// workers are preferred. Dispatchers and workers are placed on a ring and each dispatcher prefers the nearest
// workers, so that a few of many use a worker often and what they learn of it means something.
func (d *Dispatcher) link(w *worker) float64 {
	if w.Zone != d.set.Zone {
		return math.Inf(1)
	}
	at := hash(uint64(w.ID)) - (float64(d.set.Self)+0.5)/float64(d.set.Instances)
	return 2 * math.Abs(at-math.Round(at))
}

func (d *Dispatcher) arc() float64 {
	n := float64(d.set.Instances)
	return max(links/n, fewest/float64(len(d.ready))) * float64(d.set.Zones)
}

// ---- Capacity and speed learned ----

// speed is a worker's weight in the draw among ties: its capacity by listed size times the square of its speed
// as measured here, so that many dispatchers prefer fast workers but do not flood them.
func (d *Dispatcher) speed(now Millis, w *worker) float64 {
	t := d.kinds[w.Kind] * w.pace
	return d.warmth(now, w) * w.size / (t * t)
}

// fewDispatchers reports whether there are no more dispatchers than slots on a worker. Then own jobs are much
// of a worker's load, and one that ends frees a slot soon. Among many, it is better to try another worker.
func (d *Dispatcher) few() bool { return float64(d.set.Instances) <= untold }

// slots estimates how many slots a worker has. Where sizes are known, a small worker is not given the slots
// seen on a large one of its kind; a cold small one would get the large one's budget.
func (d *Dispatcher) slots(w *worker) float64 {
	seen := d.wide[w.Kind]
	if d.set.Weight != WeightNone {
		seen = min(seen, w.size*d.dense[w.Kind])
	}
	return max(w.size, seen)
}

// estimateOtherSlots estimates the slots that other dispatchers use on a worker. What was learned of the
// worker decays to the mean of its zone in about the running time of a job.
func (d *Dispatcher) crowd(now Millis, w *worker) float64 {
	mean := d.zones[w.Zone]
	return mean + (w.others-mean)*d.run/(d.run+now-w.othersAt)
}

// learnTime updates the mean times and the worker's speed by a job's running time. Only served jobs count.
func (d *Dispatcher) learnRun(r *request, w *worker, took Millis) {
	run := &d.runs[r.Class]
	d.seen[r.Class]++
	d.ran++
	d.run += (took - d.run) * max(gain/4, 1/(d.ran+1))
	*run += (took - *run) * max(gain/4, 1/(d.seen[r.Class]+1))
	ratio := min(max(took / *run, 0.25), 4) // bounds the effect of one heavy job
	d.kinds[w.Kind] += (ratio - d.kinds[w.Kind]) * gain / 4
	d.setPace(w, w.pace+(ratio/d.kinds[w.Kind]-w.pace)*gain)
}

// learnOtherSlots records other dispatchers' slots on a worker and adapts slotLimit. An attempt that had to
// wait (crowded) lowers it by half a slot. Any other raises it by less, so that one wait in five is taken for
// chance, but only while more of it is in use than requests of no value, or beyond shares, may fill.
func (d *Dispatcher) learnCrowd(now Millis, w *worker, others float64, met bool) {
	w.others, w.othersAt = others, now
	d.zones[w.Zone] += (others - d.zones[w.Zone]) * gain
	if met {
		d.limit, d.rise = max(fewest, d.limit-0.5), gain
	} else if d.busy > d.limit*(1-reserve) && (d.quotas == 0 || d.busy > d.limit*(1-0.8*reserve)) {
		d.limit += d.rise
	}
}

// applyReport uses a load report: slots that are neither free nor this dispatcher's are other dispatchers'.
func (d *Dispatcher) report(now Millis, w *worker, values []float32) {
	for i, m := range d.set.Metrics {
		if m == MetricFreeSlots && i < len(values) {
			d.learnCrowd(now, w, max(0, d.slots(w)-float64(values[i])-w.own), false)
		}
	}
}

// ---- Health ----

// usable excludes a worker from the choice after failures: the short queue of a broken worker must not win.
// After its backoff it gets one job at a time until a job succeeds. A worker that is far slower than its kind
// is treated the same, since its short queue means no short wait. After failed connections to several workers
// of a zone and kind, such as a data hall that is cut off, the others are tried with a low probability.
func (d *Dispatcher) trusted(now Millis, w *worker, luck float64) bool {
	lost := d.lost[w.Zone*d.set.Kinds+w.Kind]
	return now >= w.until && (w.strikes == 0 && w.pace < ill || w.own == 0) && luck >= lost*lost
}

// recordFailure counts a failed connection, a reset, an error or missing progress. The worker is not used for
// a backoff that doubles each time, with jitter so that dispatchers do not all return at once.
func (d *Dispatcher) strike(now Millis, w *worker, why string) {
	w.strikes = min(w.strikes+1, 8)
	backoff := d.set.ConnectTimeout * float64(int(2)<<w.strikes) * (0.75 + d.rng.Float64()/2)
	w.until = now + min(backoff, max(d.set.Rules.WarmAfter/2, d.set.ConnectTimeout))
	if w.strikes == 3 {
		d.act.Log(fmt.Sprintf("worker %x rests for %.0f ms: %s, third time in a row", w.ID, w.until-now, why))
	}
}

// ---- Cold starts ----

// capacityShare returns the least share of its full capacity that a worker has by now.
func (d *Dispatcher) warmth(now Millis, w *worker) float64 {
	age, all := now-w.Started, d.set.Rules.WarmAfter
	if w.Started <= 0 || age >= all {
		return 1
	}
	return d.set.Rules.StartCapacity + (1-d.set.Rules.StartCapacity)*max(0, age)/all
}

// startColdWindow sets the budgets of cold workers when a new window begins. Each dispatcher gets an equal
// part of what a cold worker can take. FallMultiple is the margin for random bursts; at least half of it stays
// unused, as jobs of two windows may meet at their border. Parts below one job are summed and drawn by zone: a
// few dispatchers may then send one job to each cold worker of the zone. A worker whose part is below the
// largest gets its job in fewer windows and is drawn more often in those: one job per window from each of
// many dispatchers that have filled the large workers would be far more than it can take.
func (d *Dispatcher) newWindow(now Millis) {
	rules, n, last := &d.set.Rules, float64(d.set.Instances), d.turn
	if d.turn = d.turnAt(now); d.turn == last {
		return
	}
	share := min(1, rules.FallMultiple/2)
	if d.shared { // two processes of one node: each gets half of FallMultiple/2, the margin that one process
		// keeps below FallMultiple, and no minimum of one job, which both would send
		share = min(1, rules.FallMultiple/4)
	}
	clear(d.cold)
	clear(d.top)
	for _, i := range d.ready {
		w := &d.workers[i]
		if w.tickets, w.lift = 0, 1; d.warmth(now, w) < 1 {
			w.tickets = share * d.warmth(now, w) * d.slots(w) * rules.FallWindow / d.run / n
			d.cold[w.Zone] += w.tickets
			d.top[w.Zone] = max(d.top[w.Zone], w.tickets)
		}
	}
	for _, i := range d.ready {
		if w := &d.workers[i]; w.tickets > 0 {
			if !d.shared {
				w.tickets /= min(1, d.top[w.Zone])
				w.lift = 1 / min(1, w.tickets)
			}
			w.tickets = math.Floor(w.tickets + d.rng.Float64())
		}
	}
	for z := range d.cold {
		d.cold[z] = math.Floor(d.cold[z] + d.rng.Float64())
	}
}

// ---- Further attempts ----

// maySend alone decides whether a request may go to a worker now: the worker is ready, runs the class, and no
// effect can happen twice. An attempt that may have run can be followed by another if its class is Safe, or by
// one to the same deduplication group while that is sure to remember the key.
func (d *Dispatcher) legal(now Millis, r *request, w *worker) bool {
	c := &d.set.Classes[r.Class]
	if w.State != Ready || c.Kind >= 0 && c.Kind != w.Kind {
		return false
	}
	for k := range r.attempts {
		a := &r.attempts[k]
		if a.out && !d.set.MayDuplicate {
			return false
		}
		if a.never || c.Effect == Safe {
			continue
		}
		group := c.Scope == ScopeAll || c.Scope == ScopeZone && a.zone == w.Zone ||
			c.Scope == ScopeCell && a.cell == w.Cell
		if c.Effect == Unsafe || !group || now-a.sent >= EffectiveRepeatWindow(c.RepeatWindow) {
			return false
		}
	}
	return true
}

// mayRefuse alone decides whether the client may be told that trying again is safe: nothing has run, or every
// worker would drop the repeat.
func (d *Dispatcher) mayRefuse(now Millis, r *request) bool {
	c := &d.set.Classes[r.Class]
	for k := range r.attempts {
		a := &r.attempts[k]
		known := c.Effect == Deduped && c.Scope == ScopeAll &&
			now-a.sent < EffectiveRepeatWindow(c.RepeatWindow)
		if !a.never && c.Effect != Safe && !known {
			return false
		}
	}
	return true
}

// checkDelay returns how long an attempt may go without progress before it is checked.
func (d *Dispatcher) patience(r *request) Millis {
	if d.set.TellsStart {
		return d.set.Classes[r.Class].Aim / 2
	}
	return d.set.Classes[r.Class].Aim/2 + 2*d.runs[r.Class] // by then most jobs of mean time have started
}

// checkOverdue handles an attempt that should have reported progress by now. A started job without progress
// counts as a failure of its worker. A second copy is sent if that is safe, there is capacity for it, and the
// budget for copies allows it.
func (d *Dispatcher) overdue(now Millis, r *request, k int) {
	a, silence := &r.attempts[k], 2.5*d.set.ProgressEvery
	if a.started > 0 {
		if silence == 0 { // the timer was set at the dispatch, to detect a wait
			return
		}
		if now-a.news < silence {
			d.watch(r, k, silence-(now-a.news))
			return
		}
		d.strike(now, &d.workers[a.worker], "a started job gone silent")
	}
	cost := d.runs[r.Class] * r.Slots
	if d.copies >= cost && d.room(r) && d.set.MayDuplicate && len(r.attempts) < d.set.MaxAttempts {
		if i := d.pick(now, r); i >= 0 && d.free(now, &d.workers[i], r) {
			d.copies -= cost
			d.send(now, r, i)
		}
	}
}

// hasFreeSlots reports whether a job would probably start at once on a worker.
func (d *Dispatcher) free(now Millis, w *worker, r *request) bool {
	return w.own+trust*d.crowd(now, w)+r.Slots <= d.slots(w)*d.warmth(now, w)
}

// AttemptEnded handles the outcome of an attempt: it learns from it and continues with the request.
func (d *Dispatcher) AttemptEnded(now Millis, o Outcome) {
	r, a := d.find(o.ID, o.Attempt)
	if a == nil {
		return
	}
	w := &d.workers[a.worker]
	if a.started > 0 {
		w.running = max(0, w.running-r.Slots) // it may have started in an earlier process
	}
	a.out, w.own, w.out, d.busy, r.out = false, w.own-r.Slots, w.out-1, d.busy-r.Slots, r.out-1
	a.full = o.Result == Full
	a.never = o.Result == Full || o.Result == ConnectFailed || o.Result == NotSent
	r.open = r.open && !o.Closed
	if lost := &d.lost[w.Zone*d.set.Kinds+w.Kind]; o.Result == ConnectFailed {
		*lost += (1 - *lost) * gain
	} else if o.Result == OK || o.Result == Full {
		*lost -= *lost * gain
	}
	switch o.Result {
	case OK:
		w.strikes, w.until = w.strikes/2, 0
		if a.started > 0 && d.set.TellsStart {
			o.Took = now - a.started
		}
		if d.learnRun(r, w, o.Took); w.pace >= ill { // a job now and then, to detect recovery
			w.until = now + 2*d.run*w.pace
		}
		for k := range r.attempts { // cancel the other copies, unless their starts still show the waits
			if r.attempts[k].out && d.set.MayCancel && !d.set.TellsStart {
				d.act.Cancel(r.ID, k)
			}
		}
	case Full: // it rejects at once and would keep winning: not used until a slot may be free
		w.until = max(w.until, now+d.run*d.kinds[w.Kind]/max(2, w.own+1))
		d.learnCrowd(now, w, d.slots(w), o.Attempt > 0) // one may be a burst, two are overload
	case Error, ConnectFailed, Reset:
		d.strike(now, w, "failed attempts")
	}
	if w.out == 0 && d.set.Instances > len(d.ready) { // so many would fill its connection table
		d.act.CloseIdle(w.ID)
	}
	d.report(now, w, o.Report)
	d.release(a.worker)
	if r.open && now+d.set.Tick >= r.Deadline {
		d.finish(now, r)
	} else if r.open && r.out == 0 {
		d.place(now, r)
	}
	d.drop(r)
	if o.Result != Full || !d.few() { // a full worker has freed no slot
		d.serveHeld(now)
	}
}

// Progressed handles a job's progress and its start, which shows how long it waited.
func (d *Dispatcher) Progressed(now Millis, p Progress) {
	r, a := d.find(p.ID, p.Attempt)
	if a == nil {
		return
	}
	a.news = now
	if a.started == 0 {
		a.started = now
		w := &d.workers[a.worker]
		w.running += r.Slots
		d.wide[w.Kind] = max(d.wide[w.Kind], w.running)
		d.dense[w.Kind] = max(d.dense[w.Kind], w.running/w.size)
		if d.set.ProgressEvery > 0 { // without progress reports, silence means nothing
			d.watch(r, p.Attempt, 2.5*d.set.ProgressEvery)
		}
	}
	if p.Started {
		for k := range r.attempts { // a copy still queued would run the job twice and delay others
			if k != p.Attempt && r.attempts[k].out && r.attempts[k].started == 0 && d.set.MayCancel {
				d.act.Cancel(r.ID, k)
			}
		}
		w, c, wait := &d.workers[a.worker], &d.set.Classes[r.Class], now-a.sent
		// A longer wait is accepted if a late answer still earns, or if the aim grows with the job's work.
		bad := c.Aim/2 + max(c.LateWorth*c.Stretch, (c.Stretch-1)/4)*d.runs[r.Class]
		d.learnCrowd(now, w, d.slots(w)*min(wait/d.run, 2), wait > bad)
	}
}

// Probed handles the load report of a probe.
func (d *Dispatcher) Probed(now Millis, p ProbeResult) {
	if i, known := d.index[p.Worker]; known && p.Result == OK {
		d.report(now, &d.workers[i], p.Report)
	}
}

// Wake handles an expired timer.
func (d *Dispatcher) Wake(now Millis, token uint64) {
	if token == renewList {
		d.act.Subscribe()
		return
	}
	id, k := RequestID(token>>8), int(token&0xff)
	if r, a := d.find(id, k); a != nil && r.open {
		d.overdue(now, r, k)
	} else if k == holdTimer {
		d.serveHeld(now)
	}
}

// Abandoned closes a request without an answer.
func (d *Dispatcher) Abandoned(now Millis, id RequestID) {
	if r := d.reqs[id]; r != nil {
		r.open = false
		d.drop(r)
	}
}

// ---- Refusal and fairness ----

// recordArrival updates the arrival rates and decides whether a request is beyond its tenant's share. The
// quota is scaled by this dispatcher's part of all traffic, which is estimated from the other tenants and is
// at least an equal one. Of a tenant above its quota, a random part of the requests is beyond the share.
func (d *Dispatcher) meter(now Millis, r *request) {
	work, worth := d.runs[r.Class]*r.Slots, d.set.Classes[r.Class].Worth
	if d.set.WorthByWork {
		worth *= work
	}
	d.work[r.Class], d.worth[r.Class] = d.work[r.Class]+work, d.worth[r.Class]+worth
	d.metered()
	d.copies = min(d.copies+copyShare*work, d.run/copyShare)
	if own, all := d.rates.add(now, window, r.Tenant); r.Tenant < len(d.set.Tenants) {
		quota := d.set.Tenants[r.Tenant].QuotaPerS
		part := max(1/float64(d.set.Instances), (all-own)/max(d.quotas-quota, 1))
		r.over = d.rng.Float64()*own > quota*part
	}
}

// hasRoom reports whether slotLimit leaves room for a request. The lower the request's value, the more of the
// limit it leaves free for others.
func (d *Dispatcher) room(r *request) bool {
	shortfall := 1 - d.valueOf(r)
	return d.busy+r.Slots <= d.limit*(1-reserve*(shortfall*shortfall))
}

// relativeValue returns what a request adds to the result for its work, relative to the best class: its
// class's share of all worth over its share of all work. To the extent that the result depends on the worst
// class or tenant (Mix), all classes count the same, so that a class of little work is cheap to serve.
func (d *Dispatcher) value(r *request) float64 {
	worst := d.set.Mix.WorstClass + d.set.Mix.WorstTenant
	best, own, worths, works := 0.0, 0.0, 0.0, 0.0
	for i := range d.work {
		worths, works = worths+d.worth[i], works+d.work[i]
	}
	for i := range d.work {
		v := ((1-worst)*d.worth[i]/max(worths, 1) + worst/float64(len(d.work))) * works / max(d.work[i], 1)
		if d.work[i] > 0 { // a class without requests so far is not the best
			best = max(best, v)
		}
		if i == r.Class {
			own = v
		}
	}
	if r.over {
		own *= d.set.OverShareWorth
	}
	return own / max(best, gain*gain)
}

// hold keeps a request here until a given time at most.
func (d *Dispatcher) hold(now Millis, r *request, until Millis) {
	r.until = max(now+d.set.Tick, min(until, r.Deadline-2*d.set.Tick))
	d.held = append(d.held, r)
	d.watch(r, holdTimer, r.until-now)
}

// serveHeld sends held requests while there is room, and answers those whose time is up.
func (d *Dispatcher) serveHeld(now Millis) {
	waiting := d.held
	d.held = d.held[:0]
	clear(d.none)
	for _, r := range waiting {
		i, stay := int32(-1), r.open && now < r.until
		if stay && d.room(r) && !d.hopeless(now, r) {
			i = d.pick(now, r)
		}
		if stay && i < 0 {
			d.held = append(d.held, r)
			continue
		}
		r.until = 0
		if stay {
			d.send(now, r, i)
		} else if r.open {
			d.finish(now, r)
		}
		d.drop(r)
	}
}

// refuseOrFail gives the final answer of a request that cannot be served any more.
func (d *Dispatcher) finish(now Millis, r *request) {
	if d.mayRefuse(now, r) {
		d.act.Refuse(r.ID, min(d.set.MaxPause, d.set.Classes[r.Class].Aim)) // by then there may be room
	} else {
		d.act.Fail(r.ID)
	}
	r.open = false
	d.drop(r)
}

// ---- List ----

// Workers handles a list of workers or a change of it. A drain takes effect at once.
func (d *Dispatcher) Workers(now Millis, kind ListKind, list []Worker) {
	if kind == ListFailed {
		d.failed++
		d.renew(float64(int(1) << min(d.failed, 3)))
		return
	}
	d.relist(kind, list)
	d.failed = 0
	if d.limit == 0 { // the first list
		slots := 0.0
		for _, i := range d.ready {
			slots += d.workers[i].size
			if d.set.Weight == WeightNone { // rather too high than too low: long waits soon correct it
				slots += untold - 1
			}
		}
		slots /= float64(d.set.Instances)
		d.limit = max(fewest, slots+2*math.Sqrt(slots))
		if d.set.Subscribe {
			d.renew(1)
		}
	}
	d.serveHeld(now)
}

// scheduleRefresh requests the list after a random delay, so that a large fleet of dispatchers does not ask
// all at once. The delay grows after failures.
func (d *Dispatcher) renew(factor float64) {
	d.act.Wake(d.set.Tick+d.rng.Float64()*factor*d.set.Rules.AskEvery/4, renewList)
}
