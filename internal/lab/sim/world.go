package sim

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/lab/fleet"
	"tinsail/internal/lab/judge"
)

// event is an action scheduled at a virtual time in ms. seq orders events of the same time as they were scheduled.
type event struct {
	at     float64
	seq    uint64
	action func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// backend is a modelled backend with its outstanding attempts.
type backend struct {
	name         string
	id           balance.WorkerID
	kind         int
	config       Backend
	model        *fleet.Backend
	attempts     map[uint64]*attempt
	nextWake     float64 // time of the earliest event scheduled for its model; +Inf for none
	downRecorded bool
	weight       float64       // as the director lists it
	state        balance.State // as the director lists it

	reporter *fleet.Reporter
}

// world is the state of one run.
type world struct {
	scenario     Scenario
	now          float64
	queue        eventQueue
	lastSeq      uint64
	dispatchers  []*dispatcher
	dirty        []*dispatcher // have received something since they were last stepped
	backends     map[string]*backend
	backendsByID map[balance.WorkerID]*backend
	dedupGroups  map[int]*fleet.DedupGroup // by pod
	networkRand  *rand.Rand                // of network delays
	retryRand    *rand.Rand                // of pauses before retries
	frontRand    *rand.Rand                // of the dispatcher that a try reaches
	reportRand   *rand.Rand                // of load reports
	logHash      hash.Hash64
	checker      judge.Checker
	serviceLevel judge.ServiceLevel
	result       Result
	clientsByTry map[string]*client // by try ID
	nextArrival  func() (Arrival, bool)
	lastJobID    uint64
	unanswered   int // tries sent to a dispatcher and retries to come

	settings          balance.Settings
	policy            Policy
	classes           []Class
	backendNames      []string // in the scenario's order
	routedBuffer      []*dispatcher
	unstartedAttempts map[uint64]*attempt // by job ID, of jobs that no backend has started
	judgedUntil       float64             // answers due later are not judged
	attemptRand       *rand.Rand          // of how the work of a job's attempts differs
	lastNotified      float64             // when the latest change of the list is delivered: delayed changes stay in order
	restarts          int
	leader            *leader          // nil without an accord
	tenants           *tenantJobs      // nil without tenants
	quotas            *quotaSimulation // nil without quotas
	regionRand        *rand.Rand       // of the region that a client is in
}

func newWorld(sc Scenario, settings balance.Settings, policy Policy) (*world, error) {
	w := &world{judgedUntil: math.Inf(1), scenario: sc, clientsByTry: map[string]*client{}, backends: map[string]*backend{}, backendsByID: map[balance.WorkerID]*backend{}, dedupGroups: map[int]*fleet.DedupGroup{},
		networkRand: fleet.RandomStream(sc.Seed, "network"), retryRand: fleet.RandomStream(sc.Seed, "clients"), frontRand: fleet.RandomStream(sc.Seed, "front"),
		reportRand: fleet.RandomStream(sc.Seed, "reports"), logHash: fnv.New64a(),
		policy: policy, unstartedAttempts: map[uint64]*attempt{}, attemptRand: fleet.RandomStream(sc.Seed, "attempts"), regionRand: fleet.RandomStream(sc.Seed, "regions")}
	if w.scenario.Stretch == 0 {
		w.scenario.Stretch = 2
	}
	w.classes = w.scenario.classes()
	settings = w.scenario.settings(settings)
	w.result.Mix = w.scenario.Site.Mix
	workSum, shareSum := 0.0, 0.0
	for _, c := range w.classes {
		w.result.Classes = append(w.result.Classes, ClassResult{Name: c.Name, NotInTime: map[string]int{}})
		workSum, shareSum = workSum+c.Share*c.Work, shareSum+c.Share
	}
	w.result.AttemptsByBackend = map[string]int{}
	w.result.Latency = hdrhistogram.New(1, 60_000_000, 3)
	rules := settings.Rules
	w.checker.Rules = judge.Rules{AnswerSlack: rules.AnswerSlack + 50, SendGrace: rules.DrainGrace, SingleAttempt: !settings.MayDuplicate,
		FallMultiple: rules.FallMultiple, FallWindow: rules.FallWindow, FallSlack: 3 * workSum / shareSum}
	for i := range settings.Classes {
		w.checker.Rules.RepeatWindow = max(w.checker.Rules.RepeatWindow, settings.Classes[i].RepeatWindow)
	}
	kinds := map[string]int{}
	for _, b := range sc.Backends {
		if _, known := kinds[b.Kind.Name]; !known {
			kinds[b.Kind.Name] = len(kinds)
		}
	}
	settings.Kinds = max(settings.Kinds, len(kinds))
	w.settings = settings
	if len(sc.Tenants) > 0 {
		w.tenants = newTenantJobs(w)
	}
	for _, b := range sc.Backends {
		w.addBackend(b, kinds[b.Kind.Name])
	}
	if sc.Accord.Lease > 0 {
		var err error
		if w.leader, err = newLeader(w); err != nil {
			return nil, err
		}
	}
	if sc.Quotas.Lease > 0 {
		var err error
		if w.quotas, err = newQuotaSimulation(w); err != nil {
			return nil, err
		}
	}
	for i := range settings.Instances {
		settings.Seed, settings.Self = sc.Seed*1_000_003+uint64(i), i
		d, err := newDispatcher(w, i, settings, policy)
		if err != nil {
			return nil, err
		}
		w.dispatchers = append(w.dispatchers, d)
	}
	return w, nil
}

func (w *world) wallClock() time.Time {
	return origin.Add(time.Duration(math.Round(w.now * float64(time.Millisecond))))
}

// schedule runs an action at a virtual time, or now if that has passed.
func (w *world) schedule(at float64, action func()) {
	w.lastSeq++
	heap.Push(&w.queue, event{max(at, w.now), w.lastSeq, action})
}

// run processes events in time order until arrivals have ended and every req is answered. Dispatchers' timers are events
// too; after an event only the dispatchers that have received something are stepped.
func (w *world) run() error {
	w.stepDispatchers()
	repeats, lastTime, longestDeadline := 0, -1.0, 0.0
	for i := range w.classes {
		longestDeadline = max(longestDeadline, w.classes[i].Deadline)
	}
	for end := w.scenario.Length + longestDeadline + 10_000; w.now <= end && len(w.queue) > 0; w.result.Steps++ {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.action()
		w.stepDispatchers()
		if w.unanswered == 0 && w.now > w.scenario.Length && w.noAttempts() {
			return nil
		}
		if w.tenants != nil && w.now > w.scenario.Length { // reqs that still wait or run are due an answer later
			w.judgedUntil, w.result.Unanswered = w.now, w.unanswered
			return nil
		}
		if repeats++; w.now != lastTime {
			repeats, lastTime = 0, w.now
		} else if repeats > maxEventsPerInstant { // a fault in the model or the core, not in the scenario
			return fmt.Errorf("virtual time does not advance beyond %v ms", w.now)
		}
	}
	return nil
}

// noAttempts reports whether no backend has an outstanding attempt: only timers are left, which nothing waits for.
func (w *world) noAttempts() bool {
	for _, b := range w.backends {
		if len(b.attempts) > 0 {
			return false
		}
	}
	return true
}

// maxEventsPerInstant is how many events may happen at one virtual time before the run counts as stuck.
const maxEventsPerInstant = 1_000_000

// stepDispatchers steps the dispatchers that have received something, and schedules their next timers.
func (w *world) stepDispatchers() {
	for len(w.dirty) > 0 {
		d := w.dirty[len(w.dirty)-1]
		w.dirty = w.dirty[:len(w.dirty)-1]
		d.dirty = false
		d.step()
	}
}

// record adds an event to the log, whose hash identifies the run, and passes it to the checker.
func (w *world) record(e judge.Event) {
	e.At = w.now
	w.result.LogEvents++
	var b [20]byte
	b[0], b[1], b[2], b[3] = byte(e.Kind), byte(e.Node), byte(e.Attempt), byte(e.AnswerKind)
	binary.LittleEndian.PutUint64(b[4:], math.Float64bits(w.now))
	binary.LittleEndian.PutUint64(b[12:], math.Float64bits(e.Work))
	_, _ = w.logHash.Write(b[:])
	_, _ = w.logHash.Write([]byte(e.Req))
	_, _ = w.logHash.Write([]byte(e.Backend))
	w.checker.Handle(e)
}

func (w *world) delay() float64 { return w.scenario.Latency * (0.5 + w.networkRand.Float64()) }

func (w *world) addBackend(b Backend, kind int) {
	group := w.dedupGroups[b.Pod]
	if group == nil {
		group = fleet.NewDedupGroup()
		w.dedupGroups[b.Pod] = group
	}
	if b.SpeedSpread > 0 {
		b.Kind.Speed *= math.Exp(b.SpeedSpread*fleet.RandomStream(w.scenario.Seed, "speed "+b.Name).NormFloat64() - b.SpeedSpread*b.SpeedSpread/2)
	}
	started := math.Inf(-1)
	if b.Cold {
		started = w.now
	}
	added := &backend{name: b.Name, id: workerID(b.Name), kind: kind, config: b, attempts: map[uint64]*attempt{}, nextWake: math.Inf(1), state: balance.Ready, weight: b.Kind.Slots,
		model:    fleet.New(b.Kind, group, started, w.now, fleet.RandomStream(w.scenario.Seed, "backend "+b.Name)),
		reporter: fleet.NewReporter(w.scenario.Report, b.Kind.Slots)}
	if w.scenario.Site.Unweighted {
		added.weight = 1
	}
	w.backends[b.Name], w.backendsByID[added.id] = added, added
	w.backendNames = append(w.backendNames, b.Name)
}

// backendList returns all backends in the scenario's order.
func (w *world) backendList() []*backend {
	list := make([]*backend, len(w.backendNames))
	for i, name := range w.backendNames {
		list[i] = w.backends[name]
	}
	return list
}

func workerID(name string) balance.WorkerID { return balance.WorkerID(hashText(name)) }

func hashText(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// entry returns the backend's entry in the director's list.
func (b *backend) entry() core.Entry {
	e := core.Entry{Name: b.name, Address: b.name, Worker: balance.Worker{ID: b.id, Kind: b.kind, Cell: b.config.Pod, State: b.state, Weight: b.weight}}
	if b.config.Cold {
		e.Started = float64(origin.UnixMilli()) + b.model.StartedAt()
	}
	return e
}

func (w *world) applyEvent(e Event) {
	b := w.backends[e.Backend]
	announce := func(state balance.State) {
		deliverAt := w.now + e.NotifyDelay
		for _, delay := range w.scenario.ListDelays {
			if w.now >= delay.From && w.now < delay.To {
				deliverAt += delay.Delay
			}
		}
		if len(w.scenario.ListDelays) > 0 { // a delayed change holds back those that follow it
			w.lastNotified = max(w.lastNotified, deliverAt)
			deliverAt = w.lastNotified
		}
		w.schedule(deliverAt, func() {
			b.state = state
			for _, d := range w.dispatchers {
				if !d.dead {
					d.sendBackendState(b)
				}
			}
		})
	}
	switch e.Action {
	case "kill":
		b.downRecorded = true // killed by the scenario, which does not count as overload
		w.handleModelEvents(b, b.model.Kill(w.now))
		for _, d := range w.dispatchers {
			delete(d.idleConns, b)
		}
	case "start":
		b.model.Start(w.now)
		b.config.Cold, b.downRecorded = true, false
	case "trouble":
		w.handleModelEvents(b, b.model.SetFaults(w.now, e.Faults))
	case "drain":
		w.handleModelEvents(b, b.model.Drain(w.now, true))
		announce(balance.Draining)
	case "list":
		announce(balance.Ready)
	case "unlist":
		announce(balance.Gone)
	case "ban", "lift":
		kind := judge.BanSet
		if e.Action == "lift" {
			kind = judge.BanLifted
		}
		for _, d := range w.dispatchers {
			if d.dead {
				continue
			}
			d.ban(b, e.Action == "ban")
		}
		w.record(judge.Event{Kind: kind, Backend: b.name})
	}
}

// loadReport returns the free slots that the next answer reports, or nil if it reports none.
func (w *world) loadReport(b *backend) []float32 {
	if freeSlots, ok := b.reporter.Report(w.now, b.model.FreeSlots(), w.reportRand); ok {
		return []float32{float32(freeSlots)}
	}
	return nil
}

// handleModelEvents processes what happened at a backend's model, and schedules the model's next event.
func (w *world) handleModelEvents(b *backend, events []fleet.Event) {
	for _, e := range events {
		if e.Kind == fleet.Started {
			w.handleJobStart(e.Job)
		}
		if w.tenants != nil && e.Kind != fleet.Started {
			w.tenants.handleEnd(e.Job)
		}
		a := b.attempts[e.Job]
		if a == nil {
			continue
		}
		switch e.Kind {
		case fleet.Started:
			w.schedule(w.now+w.delay(), func() { a.dispatcher.markDirty(); a.core.JobStarted() })
			if w.scenario.Site.ProgressEvery > 0 {
				a.reportProgress()
			}
		case fleet.Done:
			a.end(core.Served)
		case fleet.Failed:
			a.end(core.Failed)
		case fleet.Returned:
			a.end(core.Returned)
		case fleet.Lost:
			a.end(core.Broken)
		}
	}
	if b.model.Down() && !b.downRecorded {
		b.downRecorded = true
		w.result.OverloadedBackends++
		w.record(judge.Event{Kind: judge.BackendOverloaded, Backend: b.name})
	}
	if next := b.model.NextEvent(); next < b.nextWake {
		b.nextWake = next
		w.schedule(next, func() {
			if b.nextWake != next { // an earlier event has replaced this one
				return
			}
			b.nextWake = math.Inf(1)
			w.handleModelEvents(b, b.model.Advance(w.now))
		})
	}
}

// handleJobStart counts a job that a backend starts, whether or not a dispatcher still waits for it.
func (w *world) handleJobStart(job uint64) {
	a := w.unstartedAttempts[job]
	delete(w.unstartedAttempts, job)
	a.started = true
	c := w.clientsByTry[a.core.RequestID()]
	c.starts++
	if w.tenants != nil {
		w.tenants.handleStart(job, c)
	}
	if c.starts == 2 && c.class().Effect == balance.Unsafe {
		w.result.RanTwice++
	}
}

// finish computes the totals of the result once the run has ended.
func (w *world) finish() {
	w.result.WholeRun = w.serviceLevel.Overall()
	w.checker.Finish(w.judgedUntil)
	w.result.Violations, w.result.ViolationCount = w.checker.Violations(), w.checker.Count("")
	w.result.WorstWindow = w.serviceLevel.WorstWindow()
	if w.tenants != nil {
		w.tenants.finish()
	}
	if w.quotas != nil {
		w.quotas.finish()
	}
	w.result.LogHash = w.logHash.Sum64()
}
