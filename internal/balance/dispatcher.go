package balance

// All decisions are made in this file. The interface (settings, events, actions) is in api.go, the state of
// workers and requests in state.go, and cached values in cache.go.

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Dispatcher makes the decisions of one process, from its settings and its own events alone.
type Dispatcher struct {
	tables
	cache
	cfg                   Settings
	actions               Actions
	rng                   *rand.Rand
	ready                 []int32    // indexes of the ready workers
	held                  []*request // waiting here for capacity or for a worker, oldest first
	classTime, classJobs  []float64  // by class: mean running time here, and the number of jobs averaged
	classWork, classWorth []float64  // by class: work and worth of all requests so far
	meanTime              Millis     // mean running time of all jobs ...
	meanTimeJobs          float64    // ... and the number of jobs averaged
	kindTimeRatio         []float64  // by kind: running time relative to the class's mean
	kindMaxRunning        []float64  // by kind: most slots seen running at once on a worker ...
	kindMaxPerSize        []float64  // ... and most per unit of listed size
	zoneOtherSlots        []float64  // by zone: mean of other dispatchers' slots on a worker
	connectFailRate       []float64  // by zone and kind: share of recent connections that failed
	rates                 rates      // requests per second here, by tenant; the last is the total
	totalQuota            float64    // quotas of all tenants
	busySlots, slotLimit  float64    // slots of jobs in flight, and how many do not overload the workers
	copyBudget            float64    // work that may still be sent as second copies
	coldWindow            int64      // number of the window that the budgets of cold workers apply to
	zoneColdBudget        []float64  // by zone: jobs that may still be sent to cold workers in this window
	zoneMaxBudget         []float64  // by zone: largest budget of a cold worker
	limitStep             float64    // how much a job that did not wait long raises slotLimit
	coldBudgetShared      bool       // another process of this dispatcher serves too: they share the budget
	listFailures          int        // consecutive failed requests for the list
}

const (
	smoothing       = 1.0 / 8 // weight of a new value in a moving average: about the last eight count
	sampleSize      = 64      // most workers examined per request: 64 miss the best tenth once in 800 times
	preferredBy     = 2.0     // mean number of dispatchers that prefer a worker: it evens out their traffic
	linksPerKey     = 4.0     // mean number of workers that a key is linked to
	otherSlotWeight = 0.5     // weight of others' slots relative to own when a copy is placed: known late
	crossZoneSlots  = 30.0    // mean extra slots of a worker in another zone, per CrossZone; at least 1
	distantSlots    = 0.75    // mean extra slots of a worker in the own zone beyond preferredDistance
	copyShare       = 0.2     // work of second copies as a share of the work of first attempts
	slowRatio       = 2.0     // a worker this many times slower than its kind gets one job at a time
	limitReserve    = 0.4     // share of slotLimit that requests of no value leave free
	fastLead        = 0.3     // share of its slots that a fast worker fills before an idle slow one is used
	minTimeShare    = 0.4     // no job is sent with less than this share of its mean running time left
	assumedSlots    = 4.0     // initial guess of a worker's slots if sizes are unknown; most have about 4
	minCount        = 8.0     // minimum of slotLimit and preferred workers: fewer reflect chance, not load
	rateWindow      = 2000.0  // ms over which rates are averaged: shorter than a surge, longer than a burst
)

// New validates the settings and returns a dispatcher that reports its decisions to act.
func New(s Settings, act Actions) (*Dispatcher, error) {
	if act == nil {
		return nil, errors.New("no actions given")
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	n := len(s.Classes)
	d := &Dispatcher{cfg: s, actions: act, cache: newCache(&s), rng: rand.New(rand.NewPCG(s.Seed, s.Seed>>1)),
		tables: tables{workerIndex: map[WorkerID]int32{}, requests: map[RequestID]*request{},
			requestsByKey: map[uint64]int{}}, classTime: make([]float64, n), classJobs: make([]float64, n),
		classWork: make([]float64, n), classWorth: make([]float64, n),
		kindTimeRatio: slices.Repeat([]float64{1}, s.Kinds), kindMaxRunning: make([]float64, s.Kinds),
		kindMaxPerSize: make([]float64, s.Kinds), zoneOtherSlots: make([]float64, s.Zones),
		zoneColdBudget: make([]float64, s.Zones), zoneMaxBudget: make([]float64, s.Zones),
		connectFailRate: make([]float64, s.Zones*s.Kinds),
		rates:           rates{values: make([]float64, len(s.Tenants)+1)}}
	if d.limitStep = smoothing; s.Weight == WeightNone { // sizes unknown: rise fast until the first long wait
		d.limitStep = 1
	}
	for _, t := range s.Tenants {
		d.totalQuota += t.QuotaPerS
	}
	// Until jobs have ended, the running time is taken as the full aim of a job that runs for the class's
	// Aim: rather too long than too short, which would send cold workers more than they can take.
	for i, c := range s.Classes {
		d.classTime[i] = c.Aim * (1 + c.Stretch)
		d.meanTime += d.classTime[i] / float64(n)
	}
	return d, nil
}

// ---- Ordinary path ----

// Arrive sends a request to a worker by JFSQ. Without capacity, a request beyond its tenant's share is
// refused at once; any other is held as long as it can still be answered in time.
func (d *Dispatcher) Arrive(now Millis, q Request) {
	if q.Class >= len(d.classTime) {
		d.actions.Fail(q.ID)
		return
	}
	r := d.addRequest(q)
	d.recordArrival(now, r)
	if d.hasCapacity(r) {
		d.place(now, r)
	} else if r.overShare {
		d.refuseOrFail(now, r)
	} else {
		d.hold(now, r, now+d.cfg.Classes[r.Class].Aim/2)
	}
}

// place sends the request to the best worker. If there is none and no attempt is in flight, it is held if
// waiting may help, else answered. Waiting does not help if all listed workers drain, as by an operator.
func (d *Dispatcher) place(now Millis, r *request) {
	minTime := max(2*d.cfg.Tick, d.classTime[r.Class]*minTimeShare) // in a shutdown the deadline is near
	if now+minTime < r.Deadline && len(r.attempts) < d.cfg.MaxAttempts {
		c, n := &d.cfg.Classes[r.Class], len(r.attempts)
		if d.fewDispatchers() && n > 0 && n >= d.cfg.MaxAttempts-2 && r.inFlight == 0 &&
			r.attempts[n-1].rejectedFull { // the last two attempts wait for a slot
			d.hold(now, r, now+c.Aim/2+c.Stretch*d.classTime[r.Class]/4)
			return
		}
		if i := d.pick(now, r); i >= 0 {
			d.send(now, r, i)
			return
		}
		drained := len(d.ready) == 0 && len(d.workerIndex) > 0
		if !drained && (len(r.attempts) == 0 || len(d.ready) == 0 && r.inFlight == 0) {
			d.hold(now, r, r.Deadline)
			return
		}
	}
	if r.inFlight == 0 {
		d.refuseOrFail(now, r)
	}
}

func (d *Dispatcher) send(now Millis, r *request, i int32) {
	w := &d.workers[i]
	w.ownSlots, w.inFlight, d.busySlots, r.inFlight =
		w.ownSlots+r.Slots, w.inFlight+1, d.busySlots+r.Slots, r.inFlight+1
	if d.capacityShare(now, w) < 1 {
		w.coldBudget, d.zoneColdBudget[w.Zone] = w.coldBudget-1, d.zoneColdBudget[w.Zone]-1
	}
	r.attempts = append(r.attempts,
		attempt{workerIndex: i, keys: w.keys, inFlight: true, sentAt: now, lastProgressAt: now})
	d.actions.Dispatch(r.ID, w.ID, 0)
	d.setTimer(r, len(r.attempts)-1, d.checkDelay(r))
}

// pick tries the workers that the request's key is linked to, then all; if none is eligible, it ignores their
// failures. A key is linked to a worker if the hash of both is below a threshold that grows with the worker's
// speed. A hot key, one with more requests than linksPerKey, is linked to all workers.
func (d *Dispatcher) pick(now Millis, r *request) int32 {
	if r.Key != 0 && float64(d.requestsByKey[r.Key]) <= linksPerKey {
		if i := d.shortestQueue(now, r, linksPerKey/d.totalSpeed(now), false); i >= 0 {
			return i
		}
	}
	if i := d.shortestQueue(now, r, 0, false); i >= 0 {
		return i
	}
	return d.shortestQueue(now, r, 0, true)
}

// shortestQueue is JFSQ: it returns the eligible worker with the least load of own jobs (see load), ties
// drawn by speed. Others' slots are not counted: many dispatchers learn of them at the same time, and
// all would move to the same few other workers at once; the more dispatchers, the larger the effect. Distant
// workers and other zones count extra slots, drawn anew each time so that load spills over gradually. If
// linkShare is above 0, only workers linked to the key are eligible.
func (d *Dispatcher) shortestQueue(now Millis, r *request, linkShare float64, ignoreFailures bool) int32 {
	d.startColdWindow(now)
	choice, best, total, draw := int32(-1), math.Inf(1), 0.0, d.rng.Float64()
	n, maxHash, near := len(d.ready), d.maxLinkHash(r, linkShare), d.preferredDistance()
	for k, left, j := 0, sampleSize, d.rng.IntN(max(n, 1)); left > 0; k, j = k+1, j+1 {
		if k, j = d.nextCandidate(r, maxHash, k, j, n); k == n {
			break
		}
		i := d.ready[j]
		w := &d.workers[i]
		if !d.maySend(now, r, w) || !ignoreFailures && !d.usable(now, w, draw) || r.triedOn(i) ||
			linkShare > 0 && unitHash(r.Key^uint64(w.ID)*3) >= linkShare*d.speed(now, w) {
			continue
		}
		left--
		count, slot := d.load(r, w)
		if w.Zone != d.cfg.Zone {
			count += 2 * draw * max(1, crossZoneSlots*d.cfg.Prices.CrossZone) * slot
		} else if w.distance >= near {
			count += 2 * draw * distantSlots * slot
		}
		if count > best || min(w.coldBudget, d.zoneColdBudget[w.Zone]) < 1 && d.capacityShare(now, w) < 1 {
			continue
		}
		if count < best {
			best, total = count, 0
		}
		speed := d.speed(now, w) * max(1, w.drawFactor)
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
// ends while it is in flight, so slowness counts squared: it goes to where it runs for the shortest time.
func (d *Dispatcher) load(r *request, w *worker) (count, slot float64) {
	if !d.fewDispatchers() {
		return w.ownSlots, 1
	}
	slot, slowness := 1/d.slots(w), d.kindTimeRatio[w.Kind]*w.timeRatio
	if d.cfg.Classes[r.Class].Effect == Unsafe {
		slowness *= slowness
	}
	return (w.ownSlots*slot+fastLead)*slowness + max(0, w.ownSlots+r.Slots-d.slots(w)), slot
}

// distanceTo returns a worker's distance from this dispatcher, and preferredDistance the distance below which
// workers are preferred. Dispatchers and workers have places on a ring and each dispatcher prefers the
// nearest workers, so that a few of many dispatchers use a worker often enough to know its state.
func (d *Dispatcher) distanceTo(w *worker) float64 {
	if w.Zone != d.cfg.Zone {
		return math.Inf(1)
	}
	at := unitHash(uint64(w.ID)) - (float64(d.cfg.Self)+0.5)/float64(d.cfg.Instances)
	return 2 * math.Abs(at-math.Round(at))
}

func (d *Dispatcher) preferredDistance() float64 {
	n := float64(d.cfg.Instances)
	return max(preferredBy/n, minCount/float64(len(d.ready))) * float64(d.cfg.Zones)
}

// ---- Capacity and speed learned ----

// speed is a worker's weight in the draw among ties: its listed size, less while it is cold, times the square
// of its speed as measured here, so that many dispatchers prefer fast workers but do not flood them.
func (d *Dispatcher) speed(now Millis, w *worker) float64 {
	t := d.kindTimeRatio[w.Kind] * w.timeRatio
	return d.capacityShare(now, w) * w.size / (t * t)
}

// fewDispatchers reports whether there are no more dispatchers than slots on a worker. Then own jobs are much
// of a worker's load, and one that ends frees a slot soon. Among many, it is better to try another worker.
func (d *Dispatcher) fewDispatchers() bool { return float64(d.cfg.Instances) <= assumedSlots }

// slots estimates how many slots a worker has. Where sizes are known, a small worker is not given the slots
// seen on a large one of its kind: a small cold one would get the large one's budget.
func (d *Dispatcher) slots(w *worker) float64 {
	seen := d.kindMaxRunning[w.Kind]
	if d.cfg.Weight != WeightNone {
		seen = min(seen, w.size*d.kindMaxPerSize[w.Kind])
	}
	return max(w.size, seen)
}

// estimateOtherSlots estimates others' slots on a worker; it decays to the zone's mean in about a job's time.
func (d *Dispatcher) estimateOtherSlots(now Millis, w *worker) float64 {
	mean := d.zoneOtherSlots[w.Zone]
	return mean + (w.otherSlots-mean)*d.meanTime/(d.meanTime+now-w.otherSlotsAt)
}

// learnTime updates the mean times and the worker's speed by a job's running time. Only served jobs count.
func (d *Dispatcher) learnTime(r *request, w *worker, took Millis) {
	mean := &d.classTime[r.Class]
	d.classJobs[r.Class]++
	d.meanTimeJobs++
	d.meanTime += (took - d.meanTime) * max(smoothing/4, 1/(d.meanTimeJobs+1))
	*mean += (took - *mean) * max(smoothing/4, 1/(d.classJobs[r.Class]+1))
	ratio := min(max(took / *mean, 0.25), 4) // bounds the effect of one heavy job
	d.kindTimeRatio[w.Kind] += (ratio - d.kindTimeRatio[w.Kind]) * smoothing / 4
	d.setTimeRatio(w, w.timeRatio+(ratio/d.kindTimeRatio[w.Kind]-w.timeRatio)*smoothing)
}

// learnOtherSlots records other dispatchers' slots on a worker and adapts slotLimit. An attempt that had to
// wait (overloaded) lowers it by half a slot. Any other raises it by less, so that one wait in five is taken
// for chance, but only while more of it is in use than requests of no value, or beyond shares, may fill.
func (d *Dispatcher) learnOtherSlots(now Millis, w *worker, others float64, overloaded bool) {
	w.otherSlots, w.otherSlotsAt = others, now
	d.zoneOtherSlots[w.Zone] += (others - d.zoneOtherSlots[w.Zone]) * smoothing
	if overloaded {
		d.slotLimit, d.limitStep = max(minCount, d.slotLimit-0.5), smoothing
	} else if d.busySlots > d.slotLimit*(1-limitReserve) &&
		(d.totalQuota == 0 || d.busySlots > d.slotLimit*(1-0.8*limitReserve)) {
		d.slotLimit += d.limitStep
	}
}

// applyReport uses a load report: slots that are neither free nor this dispatcher's own are used by others.
func (d *Dispatcher) applyReport(now Millis, w *worker, values []float32) {
	for i, m := range d.cfg.Metrics {
		if m == MetricFreeSlots && i < len(values) {
			d.learnOtherSlots(now, w, max(0, d.slots(w)-float64(values[i])-w.ownSlots), false)
		}
	}
}

// ---- Health ----

// usable excludes a worker from the choice after failures: the short queue of a broken worker must not win.
// After its backoff it gets one job at a time until a job succeeds. A worker that is far slower than its kind
// is treated the same way: its queue is short, but the wait is not. After failed connections to several
// workers of a zone and kind, as when a data hall is cut off, the others are tried with a low probability.
func (d *Dispatcher) usable(now Millis, w *worker, draw float64) bool {
	failRate := d.connectFailRate[w.Zone*d.cfg.Kinds+w.Kind]
	return now >= w.avoidUntil && (w.backoffLevel == 0 && w.timeRatio < slowRatio || w.ownSlots == 0) &&
		draw >= failRate*failRate
}

// recordFailure counts a failed connection, a reset, an error or missing progress. The worker is not used for
// a backoff that doubles each time, with jitter so that dispatchers do not all return at once.
func (d *Dispatcher) recordFailure(now Millis, w *worker, why string) {
	w.backoffLevel = min(w.backoffLevel+1, 8)
	backoff := d.cfg.ConnectTimeout * float64(int(2)<<w.backoffLevel) * (0.75 + d.rng.Float64()/2)
	w.avoidUntil = now + min(backoff, max(d.cfg.Rules.WarmAfter/2, d.cfg.ConnectTimeout))
	if w.backoffLevel == 3 {
		d.actions.Log(fmt.Sprintf("worker %x rests for %.0f ms: %s, third time in a row",
			w.ID, w.avoidUntil-now, why))
	}
}

// ---- Cold starts ----

// capacityShare returns the least share of its full capacity that a worker has by now.
func (d *Dispatcher) capacityShare(now Millis, w *worker) float64 {
	age, warmAfter := now-w.Started, d.cfg.Rules.WarmAfter
	if w.Started <= 0 || age >= warmAfter {
		return 1
	}
	return d.cfg.Rules.StartCapacity + (1-d.cfg.Rules.StartCapacity)*max(0, age)/warmAfter
}

// startColdWindow sets the budgets of cold workers when a new window begins. Each dispatcher gets an equal
// part of what a cold worker can take. FallMultiple is the margin for random bursts; at least half of it
// stays unused, as jobs of two windows may meet at their border. Parts below one job are summed by zone and
// rounded at random, so that a few dispatchers may send one job to each cold worker of the zone. A worker
// with a smaller part than the largest gets its job in fewer windows and is drawn more often in those: one
// job per window from each of many dispatchers that have filled the large workers would be far too much.
func (d *Dispatcher) startColdWindow(now Millis) {
	rules, n, last := &d.cfg.Rules, float64(d.cfg.Instances), d.coldWindow
	if d.coldWindow = d.coldWindowAt(now); d.coldWindow == last {
		return
	}
	share := min(1, rules.FallMultiple/2)
	if d.coldBudgetShared { // two processes of one dispatcher: each gets half of FallMultiple/2, the
		// margin that one keeps below FallMultiple, and no minimum of one job, which both would send
		share = min(1, rules.FallMultiple/4)
	}
	clear(d.zoneColdBudget)
	clear(d.zoneMaxBudget)
	for _, i := range d.ready {
		w := &d.workers[i]
		if w.coldBudget, w.drawFactor = 0, 1; d.capacityShare(now, w) < 1 {
			w.coldBudget = share * d.capacityShare(now, w) * d.slots(w) * rules.FallWindow / d.meanTime / n
			d.zoneColdBudget[w.Zone] += w.coldBudget
			d.zoneMaxBudget[w.Zone] = max(d.zoneMaxBudget[w.Zone], w.coldBudget)
		}
	}
	for _, i := range d.ready {
		if w := &d.workers[i]; w.coldBudget > 0 {
			if !d.coldBudgetShared {
				w.coldBudget /= min(1, d.zoneMaxBudget[w.Zone])
				w.drawFactor = 1 / min(1, w.coldBudget)
			}
			w.coldBudget = math.Floor(w.coldBudget + d.rng.Float64())
		}
	}
	for z := range d.zoneColdBudget {
		d.zoneColdBudget[z] = math.Floor(d.zoneColdBudget[z] + d.rng.Float64())
	}
}

// ---- Further attempts ----

// maySend alone decides whether a request may go to a worker now: it is ready, runs the class, and no effect
// can happen twice. An attempt that may have run can be followed by another if its class is Safe, or by one
// to the same deduplication group while that is sure to remember the key.
func (d *Dispatcher) maySend(now Millis, r *request, w *worker) bool {
	c := &d.cfg.Classes[r.Class]
	if w.State != Ready || c.Kind >= 0 && c.Kind != w.Kind {
		return false
	}
	for k := range r.attempts {
		a := &r.attempts[k]
		if a.inFlight && !d.cfg.MayDuplicate {
			return false
		}
		if a.neverRan || c.Effect == Safe {
			continue
		}
		forgotten := now-a.sentAt >= EffectiveRepeatWindow(c.RepeatWindow)
		if c.Effect == Unsafe || !a.keys.shares(c.Scope, w.keys) || forgotten {
			return false
		}
	}
	return true
}

// mayRefuse alone decides if a retry is declared safe: nothing has run, or every worker drops the repeat.
func (d *Dispatcher) mayRefuse(now Millis, r *request) bool {
	c := &d.cfg.Classes[r.Class]
	for k := range r.attempts {
		a := &r.attempts[k]
		deduped := c.Effect == Deduped && c.Scope == ScopeAll &&
			now-a.sentAt < EffectiveRepeatWindow(c.RepeatWindow)
		if !a.neverRan && c.Effect != Safe && !deduped {
			return false
		}
	}
	return true
}

// checkDelay returns how long an attempt may go without progress before it is checked.
func (d *Dispatcher) checkDelay(r *request) Millis {
	if d.cfg.TellsStart {
		return d.cfg.Classes[r.Class].Aim / 2
	}
	return d.cfg.Classes[r.Class].Aim/2 + 2*d.classTime[r.Class] // by then most average jobs have started
}

// checkOverdue handles an attempt that should have reported by now. A started job without progress is a
// failure of its worker. A second copy is sent if that is safe, there is capacity, and copyBudget allows it.
func (d *Dispatcher) checkOverdue(now Millis, r *request, k int) {
	a, silence := &r.attempts[k], 2.5*d.cfg.ProgressEvery
	if a.startedAt > 0 {
		if silence == 0 { // set at the dispatch, only to detect a job that waits to start
			return
		}
		if now-a.lastProgressAt < silence {
			d.setTimer(r, k, silence-(now-a.lastProgressAt))
			return
		}
		d.recordFailure(now, &d.workers[a.workerIndex], "a started job gone silent")
	}
	cost := d.classTime[r.Class] * r.Slots
	if d.copyBudget >= cost && d.hasCapacity(r) && d.cfg.MayDuplicate && len(r.attempts) < d.cfg.MaxAttempts {
		if i := d.pick(now, r); i >= 0 && d.hasFreeSlots(now, &d.workers[i], r) {
			d.copyBudget -= cost
			d.send(now, r, i)
		}
	}
}

// hasFreeSlots reports whether a job would probably start at once on a worker.
func (d *Dispatcher) hasFreeSlots(now Millis, w *worker, r *request) bool {
	return w.ownSlots+otherSlotWeight*d.estimateOtherSlots(now, w)+r.Slots <=
		d.slots(w)*d.capacityShare(now, w)
}

// AttemptEnded handles the outcome of an attempt: it learns from it and continues with the request.
func (d *Dispatcher) AttemptEnded(now Millis, o Outcome) {
	r, a := d.findAttempt(o.ID, o.Attempt)
	if a == nil {
		return
	}
	w := &d.workers[a.workerIndex]
	if a.startedAt > 0 {
		w.runningSlots = max(0, w.runningSlots-r.Slots) // it may have started in an earlier process
	}
	a.inFlight, w.ownSlots, w.inFlight, d.busySlots, r.inFlight =
		false, w.ownSlots-r.Slots, w.inFlight-1, d.busySlots-r.Slots, r.inFlight-1
	a.rejectedFull = o.Result == Full
	a.neverRan = o.Result == Full || o.Result == ConnectFailed || o.Result == NotSent
	r.open = r.open && !o.Closed
	if failRate := &d.connectFailRate[w.Zone*d.cfg.Kinds+w.Kind]; o.Result == ConnectFailed {
		*failRate += (1 - *failRate) * smoothing
	} else if o.Result == OK || o.Result == Full {
		*failRate -= *failRate * smoothing
	}
	switch o.Result {
	case OK:
		w.backoffLevel, w.avoidUntil = w.backoffLevel/2, 0
		if a.startedAt > 0 && d.cfg.TellsStart {
			o.Took = now - a.startedAt
		}
		if d.learnTime(r, w, o.Took); w.timeRatio >= slowRatio { // a job now and then, to detect recovery
			w.avoidUntil = now + 2*d.meanTime*w.timeRatio
		}
		for k := range r.attempts { // cancel the other copies, unless their starts still show the waits
			if r.attempts[k].inFlight && d.cfg.MayCancel && !d.cfg.TellsStart {
				d.actions.Cancel(r.ID, k)
			}
		}
	case Full: // its short queue would keep winning: not used until a slot may be free
		w.avoidUntil = max(w.avoidUntil, now+d.meanTime*d.kindTimeRatio[w.Kind]/max(2, w.ownSlots+1))
		d.learnOtherSlots(now, w, d.slots(w), o.Attempt > 0) // one may be a burst, a second means overload
	case Error, ConnectFailed, Reset:
		d.recordFailure(now, w, "failed attempts")
	}
	if w.inFlight == 0 && d.cfg.Instances > len(d.ready) { // idle connections of so many fill its table
		d.actions.CloseIdle(w.ID)
	}
	d.applyReport(now, w, o.Report)
	d.releaseWorker(a.workerIndex)
	if r.open && now+d.cfg.Tick >= r.Deadline {
		d.refuseOrFail(now, r)
	} else if r.open && r.inFlight == 0 {
		d.place(now, r)
	}
	d.dropRequest(r)
	if o.Result != Full || !d.fewDispatchers() { // a full worker has freed no slot
		d.serveHeld(now)
	}
}

// Progressed handles a job's progress and its start, which shows how long it waited.
func (d *Dispatcher) Progressed(now Millis, p Progress) {
	r, a := d.findAttempt(p.ID, p.Attempt)
	if a == nil {
		return
	}
	a.lastProgressAt = now
	if a.startedAt == 0 {
		a.startedAt = now
		w := &d.workers[a.workerIndex]
		w.runningSlots += r.Slots
		d.kindMaxRunning[w.Kind] = max(d.kindMaxRunning[w.Kind], w.runningSlots)
		d.kindMaxPerSize[w.Kind] = max(d.kindMaxPerSize[w.Kind], w.runningSlots/w.size)
		if d.cfg.ProgressEvery > 0 { // without progress reports, silence means nothing
			d.setTimer(r, p.Attempt, 2.5*d.cfg.ProgressEvery)
		}
	}
	if p.Started {
		for k := range r.attempts { // a copy still queued would run the job twice and delay others
			if k != p.Attempt && r.attempts[k].inFlight && r.attempts[k].startedAt == 0 && d.cfg.MayCancel {
				d.actions.Cancel(r.ID, k)
			}
		}
		w, c, wait := &d.workers[a.workerIndex], &d.cfg.Classes[r.Class], now-a.sentAt
		// A longer wait is accepted if a late answer still earns, or if the aim grows with the job's work.
		maxWait := c.Aim/2 + max(c.LateWorth*c.Stretch, (c.Stretch-1)/4)*d.classTime[r.Class]
		d.learnOtherSlots(now, w, d.slots(w)*min(wait/d.meanTime, 2), wait > maxWait)
	}
}

// Probed handles the load report of a probe.
func (d *Dispatcher) Probed(now Millis, p ProbeResult) {
	if i, known := d.workerIndex[p.Worker]; known && p.Result == OK {
		d.applyReport(now, &d.workers[i], p.Report)
	}
}

// Wake handles an expired timer.
func (d *Dispatcher) Wake(now Millis, token uint64) {
	if token == refreshListTimer {
		d.actions.Subscribe()
		return
	}
	id, k := RequestID(token>>8), int(token&0xff)
	if r, a := d.findAttempt(id, k); a != nil && r.open {
		d.checkOverdue(now, r, k)
	} else if k == holdTimer {
		d.serveHeld(now)
	}
}

// Abandoned closes a request without an answer.
func (d *Dispatcher) Abandoned(now Millis, id RequestID) {
	if r := d.requests[id]; r != nil {
		r.open = false
		d.dropRequest(r)
	}
}

// ---- Refusal and fairness ----

// recordArrival updates the arrival rates and decides whether a request is beyond its tenant's share. The
// quota is scaled by this dispatcher's part of all traffic, which is estimated from the other tenants and is
// at least an equal part. Of a tenant above its quota, a random part of the requests is beyond the share.
func (d *Dispatcher) recordArrival(now Millis, r *request) {
	work, worth := d.classTime[r.Class]*r.Slots, d.cfg.Classes[r.Class].Worth
	if d.cfg.WorthByWork {
		worth *= work
	}
	d.classWork[r.Class], d.classWorth[r.Class] = d.classWork[r.Class]+work, d.classWorth[r.Class]+worth
	d.forgetValues()
	d.copyBudget = min(d.copyBudget+copyShare*work, d.meanTime/copyShare)
	if own, all := d.rates.add(now, rateWindow, r.Tenant); r.Tenant < len(d.cfg.Tenants) {
		quota := d.cfg.Tenants[r.Tenant].QuotaPerS
		part := max(1/float64(d.cfg.Instances), (all-own)/max(d.totalQuota-quota, 1))
		r.overShare = d.rng.Float64()*own > quota*part
	}
}

// hasCapacity reports whether a request fits into slotLimit. Low-value requests must leave more of it free.
func (d *Dispatcher) hasCapacity(r *request) bool {
	shortfall := 1 - d.cachedValue(r)
	return d.busySlots+r.Slots <= d.slotLimit*(1-limitReserve*(shortfall*shortfall))
}

// relativeValue returns what a request adds to the result for its work, relative to the best class: its
// class's share of all worth over its share of all work. To the extent that the result depends on the worst
// class or tenant (Mix), all classes count the same, so that a class of little work is cheap to serve.
func (d *Dispatcher) relativeValue(r *request) float64 {
	worst := d.cfg.Mix.WorstClass + d.cfg.Mix.WorstTenant
	best, own, totalWorth, totalWork := 0.0, 0.0, 0.0, 0.0
	for i := range d.classWork {
		totalWorth, totalWork = totalWorth+d.classWorth[i], totalWork+d.classWork[i]
	}
	for i := range d.classWork {
		v := ((1-worst)*d.classWorth[i]/max(totalWorth, 1) + worst/float64(len(d.classWork))) *
			totalWork / max(d.classWork[i], 1)
		if d.classWork[i] > 0 { // a class without requests so far is not the best
			best = max(best, v)
		}
		if i == r.Class {
			own = v
		}
	}
	if r.overShare {
		own *= d.cfg.OverShareWorth
	}
	return own / max(best, smoothing*smoothing)
}

// hold keeps a request here until a given time at most.
func (d *Dispatcher) hold(now Millis, r *request, until Millis) {
	r.heldUntil = max(now+d.cfg.Tick, min(until, r.Deadline-2*d.cfg.Tick))
	d.held = append(d.held, r)
	d.setTimer(r, holdTimer, r.heldUntil-now)
}

// serveHeld sends held requests while there is capacity, and answers those held for too long.
func (d *Dispatcher) serveHeld(now Millis) {
	waiting := d.held
	d.held = d.held[:0]
	clear(d.noneEligible)
	for _, r := range waiting {
		i, stay := int32(-1), r.open && now < r.heldUntil
		if stay && d.hasCapacity(r) && !d.unplaceable(now, r) {
			i = d.pick(now, r)
		}
		if stay && i < 0 {
			d.held = append(d.held, r)
			continue
		}
		r.heldUntil = 0
		if stay {
			d.send(now, r, i)
		} else if r.open {
			d.refuseOrFail(now, r)
		}
		d.dropRequest(r)
	}
}

// refuseOrFail gives the final answer of a request that cannot be served any more.
func (d *Dispatcher) refuseOrFail(now Millis, r *request) {
	if d.mayRefuse(now, r) {
		d.actions.Refuse(r.ID, min(d.cfg.MaxPause, d.cfg.Classes[r.Class].Aim)) // capacity may be free then
	} else {
		d.actions.Fail(r.ID)
	}
	r.open = false
	d.dropRequest(r)
}

// ---- List ----

// Workers handles a list of workers or a change of it. A drain takes effect at once.
func (d *Dispatcher) Workers(now Millis, kind ListKind, list []Worker) {
	if kind == ListFailed {
		d.listFailures++
		d.scheduleRefresh(float64(int(1) << min(d.listFailures, 3)))
		return
	}
	d.applyList(kind, list)
	d.listFailures = 0
	if d.slotLimit == 0 { // the first list
		slots := 0.0
		for _, i := range d.ready {
			slots += d.workers[i].size
			if d.cfg.Weight == WeightNone { // rather too high than too low: long waits soon correct it
				slots += assumedSlots - 1
			}
		}
		slots /= float64(d.cfg.Instances)
		d.slotLimit = max(minCount, slots+2*math.Sqrt(slots))
		if d.cfg.Subscribe {
			d.scheduleRefresh(1)
		}
	}
	d.serveHeld(now)
}

// scheduleRefresh requests the list after a random delay, so that a large fleet of dispatchers does not ask
// all at once. The delay grows after failures.
func (d *Dispatcher) scheduleRefresh(factor float64) {
	d.actions.Wake(d.cfg.Tick+d.rng.Float64()*factor*d.cfg.Rules.AskEvery/4, refreshListTimer)
}
