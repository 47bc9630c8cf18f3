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

type event struct {
	at  float64
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// backend is a backend with what is out at it.
type backend struct {
	name   string
	id     balance.WorkerID
	kind   int
	cfg    Backend
	model  *fleet.Backend
	out    map[uint64]*attempt
	wake   float64 // that an event for it is set for
	fell   bool
	weight float64       // as the director has it
	state  balance.State // as the director has it

	reporter *fleet.Reporter
}

type world struct {
	scenario    Scenario
	now         float64
	queue       events
	seq         uint64
	dispatchers []*dispatcher
	dirty       []*dispatcher
	backends    map[string]*backend
	byID        map[balance.WorkerID]*backend
	pods        map[int]*fleet.DedupGroup
	net         *rand.Rand
	clients     *rand.Rand // of arrivals and retries
	front       *rand.Rand // of which dispatcher a try comes to
	noise       *rand.Rand // of load reports
	log         hash.Hash64
	judge       judge.Checker
	service     judge.ServiceLevel
	result      Result
	tries       map[string]*client // by the id of the try
	next        func() (Arrival, bool)
	jobs        uint64
	unanswered  int

	settings balance.Settings
	policy   Policy
	classes  []Class
	names    []string // of the backends, in the scenario's order
	fronted  []*dispatcher
	owners   map[uint64]*attempt // of jobs that have not begun
	ends     float64             // what is owed later is not judged
	attempts *rand.Rand          // of what attempts of a job differ by
	heard    float64             // when the last change is heard: a stale list keeps their order
	restarts int
	leader   *leader          // nil without an accord
	tenants  *tenantJobs      // nil without tenants
	quotas   *quotaSimulation // nil without quotas
	where    *rand.Rand       // of which region a client is in
}

func newWorld(sc Scenario, settings balance.Settings, p Policy) (*world, error) {
	w := &world{ends: math.Inf(1), scenario: sc, tries: map[string]*client{}, backends: map[string]*backend{}, byID: map[balance.WorkerID]*backend{}, pods: map[int]*fleet.DedupGroup{},
		net: fleet.RandomStream(sc.Seed, "network"), clients: fleet.RandomStream(sc.Seed, "clients"), front: fleet.RandomStream(sc.Seed, "front"),
		noise: fleet.RandomStream(sc.Seed, "reports"), log: fnv.New64a(),
		policy: p, owners: map[uint64]*attempt{}, attempts: fleet.RandomStream(sc.Seed, "attempts"), where: fleet.RandomStream(sc.Seed, "regions")}
	if w.scenario.Stretch == 0 {
		w.scenario.Stretch = 2
	}
	w.classes = w.scenario.classes()
	settings = w.scenario.settings(settings)
	w.result.Mix = w.scenario.Site.Mix
	mean, share := 0.0, 0.0
	for _, c := range w.classes {
		w.result.Classes = append(w.result.Classes, ClassResult{Name: c.Name, NotInTime: map[string]int{}})
		mean, share = mean+c.Share*c.Work, share+c.Share
	}
	w.result.JobsByBackend = map[string]int{}
	w.result.Latency = hdrhistogram.New(1, 60_000_000, 3)
	r := settings.Rules
	w.judge.Rules = judge.Rules{AnswerSlack: r.AnswerSlack + 50, SendGrace: r.DrainGrace, SingleAttempt: !settings.MayDuplicate,
		FallMultiple: r.FallMultiple, FallWindow: r.FallWindow, FallSlack: 3 * mean / share}
	for i := range settings.Classes {
		w.judge.Rules.RepeatWindow = max(w.judge.Rules.RepeatWindow, settings.Classes[i].RepeatWindow)
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
		w.add(b, kinds[b.Kind.Name])
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
		s, err := newSide(w, i, settings, p)
		if err != nil {
			return nil, err
		}
		w.dispatchers = append(w.dispatchers, s)
	}
	return w, nil
}

func (w *world) time() time.Time {
	return origin.Add(time.Duration(math.Round(w.now * float64(time.Millisecond))))
}

func (w *world) schedule(t float64, do func()) {
	w.seq++
	heap.Push(&w.queue, event{max(t, w.now), w.seq, do})
}

// run takes events in the order of their times until clients have stopped and all is answered. A
// dispatcher's timers are events too; only those that something has come to are looked at.
func (w *world) run() error {
	w.settle()
	still, last, longest := 0, -1.0, 0.0
	for i := range w.classes {
		longest = max(longest, w.classes[i].Deadline)
	}
	for end := w.scenario.Length + longest + 10_000; w.now <= end && len(w.queue) > 0; w.result.Steps++ {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		w.settle()
		if w.unanswered == 0 && w.now > w.scenario.Length && w.quiet() {
			return nil
		}
		if w.tenants != nil && w.now > w.scenario.Length { // what waits or runs on is owed an answer later
			w.ends, w.result.Unanswered = w.now, w.unanswered
			return nil
		}
		if still++; w.now != last {
			still, last = 0, w.now
		} else if still > stillMost { // a fault of the model's or the core's, not the scenario's
			return fmt.Errorf("time stands still at %v ms", w.now)
		}
	}
	return nil
}

// quiet says whether nothing is out at any backend: only timers are left, that nobody waits for.
func (w *world) quiet() bool {
	for _, n := range w.backends {
		if len(n.out) > 0 {
			return false
		}
	}
	return true
}

// stillMost is how many things may happen at one time.
const stillMost = 1_000_000

// settle has the dispatchers take what has come to them, and sets their next timers.
func (w *world) settle() {
	for len(w.dirty) > 0 {
		s := w.dirty[len(w.dirty)-1]
		w.dirty = w.dirty[:len(w.dirty)-1]
		s.dirty = false
		s.step()
	}
}

// note judges an event and adds it to the log whose hash identifies the run.
func (w *world) note(e judge.Event) {
	e.At = w.now
	w.result.LogEvents++
	var b [20]byte
	b[0], b[1], b[2], b[3] = byte(e.Kind), byte(e.Node), byte(e.Attempt), byte(e.AnswerKind)
	binary.LittleEndian.PutUint64(b[4:], math.Float64bits(w.now))
	binary.LittleEndian.PutUint64(b[12:], math.Float64bits(e.Work))
	_, _ = w.log.Write(b[:])
	_, _ = w.log.Write([]byte(e.Req))
	_, _ = w.log.Write([]byte(e.Backend))
	w.judge.Handle(e)
}

func (w *world) delay() float64 { return w.scenario.Latency * (0.5 + w.net.Float64()) }

func (w *world) add(b Backend, kind int) {
	pod := w.pods[b.Pod]
	if pod == nil {
		pod = fleet.NewDedupGroup()
		w.pods[b.Pod] = pod
	}
	if b.SpeedSpread > 0 {
		b.Kind.Speed *= math.Exp(b.SpeedSpread*fleet.RandomStream(w.scenario.Seed, "speed "+b.Name).NormFloat64() - b.SpeedSpread*b.SpeedSpread/2)
	}
	started := math.Inf(-1)
	if b.Cold {
		started = w.now
	}
	n := &backend{name: b.Name, id: idOf(b.Name), kind: kind, cfg: b, out: map[uint64]*attempt{}, wake: math.Inf(1), state: balance.Ready, weight: b.Kind.Slots,
		model:    fleet.New(b.Kind, pod, started, w.now, fleet.RandomStream(w.scenario.Seed, "backend "+b.Name)),
		reporter: fleet.NewReporter(w.scenario.Report, b.Kind.Slots)}
	if w.scenario.Site.Unweighted {
		n.weight = 1
	}
	w.backends[b.Name], w.byID[n.id] = n, n
	w.names = append(w.names, b.Name)
}

// list is all backends, in the scenario's order.
func (w *world) list() []*backend {
	list := make([]*backend, len(w.names))
	for i, name := range w.names {
		list[i] = w.backends[name]
	}
	return list
}

func idOf(name string) balance.WorkerID { return balance.WorkerID(hashOf(name)) }

func hashOf(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// entry is a backend's line in the director's list.
func (n *backend) entry() core.Entry {
	e := core.Entry{Name: n.name, Address: n.name, Worker: balance.Worker{ID: n.id, Kind: n.kind, Cell: n.cfg.Pod, State: n.state, Weight: n.weight}}
	if n.cfg.Cold {
		e.Started = float64(origin.UnixMilli()) + n.model.StartedAt()
	}
	return e
}

func (w *world) happen(e Event) {
	n := w.backends[e.Backend]
	say := func(s balance.State) {
		heard := w.now + e.NotifyDelay
		for _, x := range w.scenario.ListDelays {
			if w.now >= x.From && w.now < x.To {
				heard += x.Delay
			}
		}
		if len(w.scenario.ListDelays) > 0 { // what is heard late holds up what comes behind it
			w.heard = max(w.heard, heard)
			heard = w.heard
		}
		w.schedule(heard, func() {
			n.state = s
			for _, d := range w.dispatchers {
				if !d.dead {
					d.tell(n)
				}
			}
		})
	}
	switch e.Action {
	case "kill":
		n.fell = true // by hand, which is no fall
		w.told(n, n.model.Kill(w.now))
		for _, s := range w.dispatchers {
			delete(s.conns, n)
		}
	case "start":
		n.model.Start(w.now)
		n.cfg.Cold, n.fell = true, false
	case "trouble":
		w.told(n, n.model.SetFaults(w.now, e.Faults))
	case "drain":
		w.told(n, n.model.Drain(w.now, true))
		say(balance.Draining)
	case "list":
		say(balance.Ready)
	case "unlist":
		say(balance.Gone)
	case "ban", "lift":
		what := judge.BanSet
		if e.Action == "lift" {
			what = judge.BanLifted
		}
		for _, s := range w.dispatchers {
			if s.dead {
				continue
			}
			s.ban(n, e.Action == "ban")
		}
		w.note(judge.Event{Kind: what, Backend: n.name})
	}
}

// report is the free slots as the next answer tells them.
func (w *world) report(n *backend) []float32 {
	if v, ok := n.reporter.Report(w.now, n.model.FreeSlots(), w.noise); ok {
		return []float32{float32(v)}
	}
	return nil
}

// told passes on what happened at a backend, and sees to it that the next is not missed.
func (w *world) told(n *backend, list []fleet.Event) {
	for _, e := range list {
		if e.Kind == fleet.Started {
			w.began(e.Job)
		}
		if w.tenants != nil && e.Kind != fleet.Started {
			w.tenants.handleEnd(e.Job)
		}
		t := n.out[e.Job]
		if t == nil {
			continue
		}
		switch e.Kind {
		case fleet.Started:
			w.schedule(w.now+w.delay(), func() { t.dispatcher.markDirty(); t.a.Started() })
			if w.scenario.Site.ProgressEvery > 0 {
				t.progress()
			}
		case fleet.Done:
			t.reply(core.Served)
		case fleet.Failed:
			t.reply(core.Failed)
		case fleet.Returned:
			t.reply(core.Returned)
		case fleet.Lost:
			t.reply(core.Broken)
		}
	}
	if n.model.Down() && !n.fell {
		n.fell = true
		w.result.OverloadedBackends++
		w.note(judge.Event{Kind: judge.BackendOverloaded, Backend: n.name})
	}
	if next := n.model.NextEvent(); next < n.wake {
		n.wake = next
		w.schedule(next, func() {
			if n.wake != next { // an earlier one has taken its place
				return
			}
			n.wake = math.Inf(1)
			w.told(n, n.model.Advance(w.now))
		})
	}
}

// began counts a job that begins, whether anybody waits for it or not.
func (w *world) began(job uint64) {
	t := w.owners[job]
	delete(w.owners, job)
	t.began = true
	c := w.tries[t.a.Job.ID]
	c.starts++
	if w.tenants != nil {
		w.tenants.handleStart(job, c)
	}
	if c.starts == 2 && c.class().Effect == balance.Unsafe {
		w.result.RanTwice++
	}
}

// finish adds up.
func (w *world) finish() {
	w.result.WholeRun = w.service.Overall()
	w.judge.Finish(w.ends)
	w.result.Violations, w.result.ViolationCount = w.judge.Violations(), w.judge.Count("")
	w.result.WorstWindow = w.service.WorstWindow()
	if w.tenants != nil {
		w.tenants.finish()
	}
	if w.quotas != nil {
		w.quotas.finish()
	}
	w.result.LogHash = w.log.Sum64()
}
