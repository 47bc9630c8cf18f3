package balance

// All decisions are made in this file. The interface (settings, events, actions) is in api.go,
// what is remembered of workers and requests in state.go. Reading order: ordinary path,
// capacity and speed, health, cold starts, further attempts, refusal and fairness, list.

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Dispatcher decides for one node, from its settings and its own events alone.
type Dispatcher struct {
	book
	kept
	set         Settings
	act         Actions
	rng         *rand.Rand
	ready       []int32    // places of the workers that the list calls ready
	held        []*request // waiting here for room or for a worker, oldest first
	runs, seen  []float64  // mean running time of each class here, and the jobs it rests on
	work, worth []float64  // asked for so far, by class
	run         Millis     // mean running time of all jobs ...
	ran         float64    // ... and the jobs it rests on
	kinds       []float64  // running time on a kind, relative to the class's mean
	wide        []float64  // most slots seen running at once at a worker of a kind ...
	dense       []float64  // ... and most for each of its listed size
	zones       []float64  // mean of others' slots met at a worker, by zone
	lost        []float64  // part of the connections that failed of late, by zone and kind
	rates       rates      // requests a second here, by tenant; the last is all of them
	quotas      float64    // of all tenants together
	busy, limit float64    // slots of its jobs in flight, and how many do not crowd the workers
	copies      float64    // work that may still be sent as second copies
	turn        int64      // the window in which cold workers are counted ...
	cold        []float64  // ... and the jobs that may still be sent to those of a zone in it
	top         []float64  // largest part of a cold worker, by zone
	rise        float64    // of the limit by a job that met no crowd
	shared      bool       // another process of this node serves beside it: the cold budget is shared
	failed      int        // calls for the list that failed in a row
}

const (
	gain      = 1.0 / 8 // weight of a new observation in a moving mean: about the last eight count
	sample    = 64      // most workers looked at for a request: 64 miss the best tenth once in 800 times
	links     = 2.0     // dispatchers that prefer a worker, on average: enough to level out their traffic
	keyLinks  = 4.0     // workers that a key is linked to, on average
	trust     = 0.5     // of a slot of others, by news that is late, against an own one, where a copy may go
	perCross  = 30.0    // slots that another zone counts as more, on average, by its price; one at least ...
	aside     = 0.75    // ... and an unlinked worker of the own zone
	copyShare = 0.2     // work of second copies, as a share of that of first tries
	ill       = 2.0     // times slower than its kind: such a worker is not used on an equal footing
	reserve   = 0.4     // part of the limit that worthless requests leave free
	ahead     = 0.3     // part of its slots that a fast worker may fill before an idle slow one has its turn
	soonest   = 0.4     // of the mean running time: what has less time left is not begun any more
	untold    = 4.0     // slots of a worker whose size is not told, at first, and of most
	fewest    = 8.0     // of slots or links: fewer say more about chance than about load
	window    = 2000.0  // ms over which rates are measured: shorter than a surge, longer than a cluster
)

// New checks the settings and makes a dispatcher that acts through act.
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
	if d.rise = gain; s.Weight == WeightNone { // slots not told: up fast to the first crowd
		d.rise = 1
	}
	for _, t := range s.Tenants {
		d.quotas += t.QuotaPerS
	}
	// Until jobs have been seen, the aim of one that runs for the class's aim stands for the running
	// time: too long rather than too short, which would let cold workers have more than they can take.
	for i, c := range s.Classes {
		d.runs[i] = c.Aim * (1 + c.Stretch)
		d.run += d.runs[i] / float64(n)
	}
	return d, nil
}

// ---- Ordinary path ----

// Arrive places a request as JFSQ does. Without room, work beyond a share is refused at
// once; other work is held while it can still be in time.
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

// place sends the request to the best worker. Where there is none and none of its attempts is in
// flight, it is held if time may help, else answered for good: it does not where all that are listed are
// drained, by hand say, and none is about to come.
func (d *Dispatcher) place(now Millis, r *request) {
	least := max(2*d.set.Tick, d.runs[r.Class]*soonest) // in a shutdown the deadline is near
	if now+least < r.Deadline && len(r.attempts) < d.set.MaxAttempts {
		c, n := &d.set.Classes[r.Class], len(r.attempts)
		if d.few() && n > 0 && n >= d.set.MaxAttempts-2 && r.out == 0 && r.attempts[n-1].full {
			// the last two tries wait for a slot
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

// pick tries the workers that a key is linked to, then any; where none is eligible, the
// evidence against them is doubted. A key's links are drawn by its hash with each worker's,
// with probability by speed; a hot key, with more requests out than links, is linked to all.
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

// shortest is JFSQ: the eligible worker with the least load of own jobs (load says how that is counted). News
// of others' slots is left out: it reaches many dispatchers alike, and were it counted, all would leave one
// worker for the same few others at once, a herd that grows with their number. Equals are drawn
// by speed. Unlinked workers and other zones count as some slots more, drawn anew each time so
// that a crowd spills over by degrees.
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

// load is what a worker counts in the choice, and what one slot is worth in that count. Among many
// dispatchers it is the own slots in flight: none or one at most workers, where the draw by speed spreads all
// of them, and a finer order would send them to the same few. Where they are few it is the part of its
// slots that own jobs take, by how slow it is, since they take them for longer; what waits for a slot
// counts in full, and an idle slow worker waits for the fast to fill a little. What must never run twice is
// lost with this process while it is out: it goes by the square, to where it is out for the shortest time.
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

// link says how far a worker is from here, and arc how far those are that are preferred: dispatchers and
// workers stand on a circle, each takes the nearest, so that a few of many see a worker often and their news
// means something.
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

// speed is a worker's weight in the draw among equals: its listed size and the square of its
// speed as seen here, so that many dispatchers prefer the fast but do not flood them.
func (d *Dispatcher) speed(now Millis, w *worker) float64 {
	t := d.kinds[w.Kind] * w.pace
	return d.warmth(now, w) * w.size / (t * t)
}

// few says that there are no more dispatchers than a worker has slots, so that own jobs are much of what a
// worker has: one that ends frees a slot soon. Where there are many, another worker is the better guess.
func (d *Dispatcher) few() bool { return float64(d.set.Instances) <= untold }

// slots is how many a worker has, as far as is known. Where sizes are told, a small one does not pass for as
// wide as a large one of its kind: a cold one would get the large one's budget.
func (d *Dispatcher) slots(w *worker) float64 {
	wide := d.wide[w.Kind]
	if d.set.Weight != WeightNone {
		wide = min(wide, w.size*d.dense[w.Kind])
	}
	return max(w.size, wide)
}

// crowd is what others have at a worker, in slots. News fades towards the mean of its
// zone in about the time of a job.
func (d *Dispatcher) crowd(now Millis, w *worker) float64 {
	mean := d.zones[w.Zone]
	return mean + (w.others-mean)*d.run/(d.run+now-w.othersAt)
}

// learnRun takes a job's running time. Only jobs that were served teach speed.
func (d *Dispatcher) learnRun(r *request, w *worker, took Millis) {
	run := &d.runs[r.Class]
	d.seen[r.Class]++
	d.ran++
	d.run += (took - d.run) * max(gain/4, 1/(d.ran+1))
	*run += (took - *run) * max(gain/4, 1/(d.seen[r.Class]+1))
	ratio := min(max(took / *run, 0.25), 4) // one heavy job must not brand a worker
	d.kinds[w.Kind] += (ratio - d.kinds[w.Kind]) * gain / 4
	d.setPace(w, w.pace+(ratio/d.kinds[w.Kind]-w.pace)*gain)
}

// learnCrowd takes news of others' slots at a worker. An attempt kept waiting by a crowd lowers
// the limit by half a slot; a free way raises it by less, so that one crowd in five is taken for
// chance, while more of it is in use than worthless work, or work beyond shares, may fill.
func (d *Dispatcher) learnCrowd(now Millis, w *worker, others float64, met bool) {
	w.others, w.othersAt = others, now
	d.zones[w.Zone] += (others - d.zones[w.Zone]) * gain
	if met {
		d.limit, d.rise = max(fewest, d.limit-0.5), gain
	} else if d.busy > d.limit*(1-reserve) && (d.quotas == 0 || d.busy > d.limit*(1-0.8*reserve)) {
		d.limit += d.rise
	}
}

// report takes a load report: slots neither free nor this dispatcher's own are others'.
func (d *Dispatcher) report(now Millis, w *worker, values []float32) {
	for i, m := range d.set.Metrics {
		if m == MetricFreeSlots && i < len(values) {
			d.learnCrowd(now, w, max(0, d.slots(w)-float64(values[i])-w.own), false)
		}
	}
}

// ---- Health ----

// trusted keeps a worker out of the choice after bad endings: a low count must not make a
// broken worker win. When its rest is over it gets one job at a time until one ends well. One
// that has become far slower than its kind is treated alike: its short queue is no short wait.
// After failures at several of a zone and kind, a hall cut off say, the rest is tried by chance.
func (d *Dispatcher) trusted(now Millis, w *worker, luck float64) bool {
	lost := d.lost[w.Zone*d.set.Kinds+w.Kind]
	return now >= w.until && (w.strikes == 0 && w.pace < ill || w.own == 0) && luck >= lost*lost
}

// strike counts a bad ending: no connection, a reset, an error, silence. The worker rests,
// twice as long each time, by chance more or less so that dispatchers do not return at once.
func (d *Dispatcher) strike(now Millis, w *worker, why string) {
	w.strikes = min(w.strikes+1, 8)
	rest := d.set.ConnectTimeout * float64(int(2)<<w.strikes) * (0.75 + d.rng.Float64()/2)
	w.until = now + min(rest, max(d.set.Rules.WarmAfter/2, d.set.ConnectTimeout))
	if w.strikes == 3 {
		d.act.Log(fmt.Sprintf("worker %x rests for %.0f ms: %s, third time in a row", w.ID, w.until-now, why))
	}
}

// ---- Cold starts ----

// warmth is the least part of its capacity that a worker has by now.
func (d *Dispatcher) warmth(now Millis, w *worker) float64 {
	age, all := now-w.Started, d.set.Rules.WarmAfter
	if w.Started <= 0 || age >= all {
		return 1
	}
	return d.set.Rules.StartCapacity + (1-d.set.Rules.StartCapacity)*max(0, age)/all
}

// newWindow shares out what cold workers can take in a window: each dispatcher keeps to its
// part. The multiple is the margin for heaps by chance, at least half of it, since windows
// meet at their edges. Parts of less than a job are put together by zone and drawn: a few
// dispatchers then may send a job to any cold worker of the zone, one to each. A worker with a smaller
// part than the largest has its job in fewer windows, and is drawn the more often in these: one in each
// window, from each of many dispatchers that have filled the large, would be far more than it can take.
func (d *Dispatcher) newWindow(now Millis) {
	rules, n, last := &d.set.Rules, float64(d.set.Instances), d.turn
	if d.turn = d.turnAt(now); d.turn == last {
		return
	}
	share := min(1, rules.FallMultiple/2)
	if d.shared { // two processes of one node: each half of FallMultiple/2, which is one process's
		// margin below FallMultiple; no least ticket, which both would have
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

// legal is the only judge of whether a request may go to a worker now: it is ready, can run
// the class, and no effect can happen twice. An attempt that may have run can be followed if
// its class is safe, or by one to the same group while that surely remembers the key.
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

// mayRefuse is the only judge of whether the client may be told that trying again is
// harmless: nothing may have run, or every worker would drop the repeat.
func (d *Dispatcher) mayRefuse(now Millis, r *request) bool {
	c := &d.set.Classes[r.Class]
	for k := range r.attempts {
		a := &r.attempts[k]
		known := c.Effect == Deduped && c.Scope == ScopeAll && now-a.sent < EffectiveRepeatWindow(c.RepeatWindow)
		if !a.never && c.Effect != Safe && !known {
			return false
		}
	}
	return true
}

// patience is how long an attempt may go without news before it is looked at.
func (d *Dispatcher) patience(r *request) Millis {
	if d.set.TellsStart {
		return d.set.Classes[r.Class].Aim / 2
	}
	return d.set.Classes[r.Class].Aim/2 + 2*d.runs[r.Class] // most that take a mean time run already
}

// overdue looks at an attempt that should have given news by now. A worker on which a
// started job has gone silent is struck. A second copy goes out where that is harmless,
// there is room, and the work of copies keeps within its budget.
func (d *Dispatcher) overdue(now Millis, r *request, k int) {
	a, silence := &r.attempts[k], 2.5*d.set.ProgressEvery
	if a.started > 0 {
		if silence == 0 { // the timer was set before the start, for an attempt that had to wait
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

// free says whether a job would start at once at a worker, by what is known.
func (d *Dispatcher) free(now Millis, w *worker, r *request) bool {
	return w.own+trust*d.crowd(now, w)+r.Slots <= d.slots(w)*d.warmth(now, w)
}

// AttemptEnded takes an attempt's outcome, learns from it and goes on with the request.
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
		if d.learnRun(r, w, o.Took); w.pace >= ill { // now and then a job, to see whether it still is
			w.until = now + 2*d.run*w.pace
		}
		for k := range r.attempts { // copies that lost go, unless their starts will still tell of a crowd
			if r.attempts[k].out && d.set.MayCancel && !d.set.TellsStart {
				d.act.Cancel(r.ID, k)
			}
		}
	case Full: // a full worker answers at once and would keep winning: it rests until a slot may be free
		w.until = max(w.until, now+d.run*d.kinds[w.Kind]/max(2, w.own+1))
		d.learnCrowd(now, w, d.slots(w), o.Attempt > 0) // one may be a herd's, two are a crowd
	case Error, ConnectFailed, Reset:
		d.strike(now, w, "failed attempts")
	}
	if w.out == 0 && d.set.Instances > len(d.ready) { // so many would fill its table
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
	if o.Result != Full || !d.few() { // which frees no slot there
		d.serveHeld(now)
	}
}

// Progressed takes a job's progress, and its start, which tells how long it waited.
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
		if d.set.ProgressEvery > 0 { // where no progress is told, silence after a start says nothing
			d.watch(r, p.Attempt, 2.5*d.set.ProgressEvery)
		}
	}
	if p.Started {
		for k := range r.attempts { // what still waits would run the job twice and keep others waiting
			if k != p.Attempt && r.attempts[k].out && r.attempts[k].started == 0 && d.set.MayCancel {
				d.act.Cancel(r.ID, k)
			}
		}
		w, c, wait := &d.workers[a.worker], &d.set.Classes[r.Class], now-a.sent
		// More may be waited where a late answer still earns, or the aim grows with the job's own work.
		bad := c.Aim/2 + max(c.LateWorth*c.Stretch, (c.Stretch-1)/4)*d.runs[r.Class]
		d.learnCrowd(now, w, d.slots(w)*min(wait/d.run, 2), wait > bad)
	}
}

// Probed takes the load report of a probe.
func (d *Dispatcher) Probed(now Millis, p ProbeResult) {
	if i, known := d.index[p.Worker]; known && p.Result == OK {
		d.report(now, &d.workers[i], p.Report)
	}
}

// Wake looks at what a timer was set for.
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

// meter keeps the rates of arrivals and judges whether a request is beyond its tenant's
// share: the quota is scaled to this dispatcher's part of all traffic, judged by the other
// tenants' and at least an even one. Which requests are beyond it is drawn by chance.
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

// room says whether a request may be taken on. The less it adds to the result for its
// work, the more of the limit it leaves free for others.
func (d *Dispatcher) room(r *request) bool {
	lack := 1 - d.valueOf(r)
	return d.busy+r.Slots <= d.limit*(1-reserve*(lack*lack))
}

// value is what a request adds to the result for its work, relative to the best class: its
// class's part of all worth over its part of all work. As far as the result goes by the
// worst class or tenant, each class counts the same, so that one of little work is cheap.
func (d *Dispatcher) value(r *request) float64 {
	worst := d.set.Mix.WorstClass + d.set.Mix.WorstTenant
	best, own, worths, works := 0.0, 0.0, 0.0, 0.0
	for i := range d.work {
		worths, works = worths+d.worth[i], works+d.work[i]
	}
	for i := range d.work {
		v := ((1-worst)*d.worth[i]/max(worths, 1) + worst/float64(len(d.work))) * works / max(d.work[i], 1)
		if d.work[i] > 0 { // a class not asked for yet sets no standard
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

// hold keeps a request here, until then at most.
func (d *Dispatcher) hold(now Millis, r *request, until Millis) {
	r.until = max(now+d.set.Tick, min(until, r.Deadline-2*d.set.Tick))
	d.held = append(d.held, r)
	d.watch(r, holdTimer, r.until-now)
}

// serveHeld places held requests while there is room, and answers those out of time.
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

// finish gives the final answer of a request that cannot be served any more.
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

// Workers takes news of the list, and acts on a drain at once.
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
			if d.set.Weight == WeightNone { // a guess, too high rather than too low: a crowd is soon met
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

// renew asks for the list after a while drawn by chance, so that a large fleet of
// dispatchers does not ask all at once; the time grows after failures.
func (d *Dispatcher) renew(factor float64) {
	d.act.Wake(d.set.Tick+d.rng.Float64()*factor*d.set.Rules.AskEvery/4, renewList)
}
