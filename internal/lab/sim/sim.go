// Package sim plays a scenario in virtual time: the real core and decision module between modelled
// clients, backends and network, without sockets and on one goroutine. The same scenario and seed
// give the same log to the byte, whose hash is the run's identity.
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

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/lab/fleet"
)

// Scenario is what is played. Times are milliseconds from the start.
type Scenario struct {
	Seed     uint64
	Length   float64 // arrivals end then
	Rate     float64 // reqs a second
	Bursts   []Burst
	Work     float64 // mean of a job on the yardstick
	Spread   float64 // of the logarithm of a job's work
	Aim      float64 // served in time is within this and twice the job's own running time
	Deadline float64
	Retries  int     // of a client, after a refusal or a failure
	Backoff  float64 // before a retry, where no longer pause was advised
	Latency  float64 // one way, between any two; half of it varies
	Connect  float64 // further time that a new connection takes
	Backends []Backend
	Events   []Event
}

// Burst multiplies the rate for a while.
type Burst struct{ From, To, Times float64 }

// Backend is one machine of a scenario.
type Backend struct {
	Name string
	Kind fleet.Kind
	Pod  int
	Cold bool // starts at the beginning, and is not warm
}

// Event is something that happens to a backend.
type Event struct {
	At      float64
	Backend string
	Do      string // kill, start, drain, list (as ready), unlist, trouble
	Trouble fleet.Trouble
	Heard   float64 // for how long the dispatcher does not hear of it: drain, list and unlist
}

// Result is what came of it.
type Result struct {
	First    int // reqs, a client's retries not counted
	InTime   int // of First, served within the aim, retries credited
	Served   int
	Refused  int // given up by their clients after a refusal
	Failed   int
	Answers  int // final answers, retries' too
	Attempts int
	Fallen   int // backends that fell over
	Twice    int // reqs with more than one final answer: a broken rule
	Never    int // reqs without one: a broken rule
	Late     int // jobs sent to a backend later than its drain was told, and the grace over
	Hash     uint64
}

// InTimePart is the part of all first reqs that were served in time.
func (r *Result) InTimePart() float64 { return float64(r.InTime) / float64(max(r.First, 1)) }

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

// node is a backend with what is out at it.
type node struct {
	name    string
	cfg     Backend
	model   *fleet.Backend
	out     map[uint64]*core.Attempt
	conns   int     // idle connections of the dispatcher
	wake    float64 // that an event for it is set for
	fell    bool
	drained float64 // that the dispatcher was told to send nothing; +Inf if not
}

type world struct {
	sc      Scenario
	origin  time.Time
	now     float64
	queue   events
	seq     uint64
	core    *core.Core
	nodes   map[string]*node
	byID    map[balance.WorkerID]*node
	pods    map[int]*fleet.Pod
	net     *rand.Rand
	clients *rand.Rand // of arrivals and retries
	log     hash.Hash64
	res     Result
	jobs    uint64
	asked   map[string]float64 // work of a req, by its key
	open    int
}

// Play plays a scenario to its end.
func Play(sc Scenario, settings balance.Settings) (Result, error) {
	w := &world{sc: sc, origin: time.Unix(1_000_000_000, 0), nodes: map[string]*node{}, byID: map[balance.WorkerID]*node{},
		pods: map[int]*fleet.Pod{}, net: fleet.Chance(sc.Seed, "network"), clients: fleet.Chance(sc.Seed, "clients"),
		log: fnv.New64a(), asked: map[string]float64{}}
	settings.Seed = sc.Seed
	var err error
	if w.core, err = core.NewAt(w.time, settings, w, w, &counters.Set{}); err != nil {
		return Result{}, err
	}
	for _, b := range sc.Backends {
		if w.nodes[b.Name] != nil {
			return Result{}, fmt.Errorf("backend %q stands there twice", b.Name)
		}
		w.add(b)
	}
	var list []core.Entry
	for _, b := range sc.Backends {
		list = append(list, w.entry(w.nodes[b.Name], balance.Ready))
	}
	w.core.Listed(balance.ListFull, list)
	for _, e := range sc.Events {
		if w.nodes[e.Backend] == nil {
			return Result{}, fmt.Errorf("an event at %v names backend %q, which is none", e.At, e.Backend)
		}
		w.at(e.At, func() { w.happen(e) })
	}
	w.arrive(0)
	if err := w.run(); err != nil {
		return Result{}, err
	}
	w.res.Never = w.open
	w.res.Hash = w.log.Sum64()
	return w.res, nil
}

func (w *world) time() time.Time {
	return w.origin.Add(time.Duration(math.Round(w.now * float64(time.Millisecond))))
}

func (w *world) at(t float64, do func()) {
	w.seq++
	heap.Push(&w.queue, event{max(t, w.now), w.seq, do})
}

// run takes events in the order of their times, and the core's timers with them, until clients
// have stopped and all is answered.
func (w *world) run() error {
	w.core.Step()
	still, last := 0, -1.0
	for end := w.sc.Length + w.sc.Deadline + 10_000; w.now <= end; {
		next := math.Inf(1)
		if len(w.queue) > 0 {
			next = w.queue[0].at
		}
		timer := math.Inf(1)
		if t := w.core.Next(); !t.IsZero() {
			timer = float64(t.Sub(w.origin)) / float64(time.Millisecond)
		}
		switch {
		case math.IsInf(min(next, timer), 1):
			return nil
		case timer < next:
			w.now = max(timer, w.now)
		default:
			e := heap.Pop(&w.queue).(event)
			w.now = e.at
			e.do()
		}
		w.core.Step()
		if w.open == 0 && w.now > w.sc.Length && len(w.queue) == 0 {
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

// stillMost is how many things may happen at one time.
const stillMost = 1_000_000

// note adds to the log whose hash identifies the run.
func (w *world) note(what byte, id uint64) {
	var b [17]byte
	b[0] = what
	binary.LittleEndian.PutUint64(b[1:], math.Float64bits(w.now))
	binary.LittleEndian.PutUint64(b[9:], id)
	_, _ = w.log.Write(b[:])
}

func (w *world) delay() float64 { return w.sc.Latency * (0.5 + w.net.Float64()) }

func (w *world) add(b Backend) {
	pod := w.pods[b.Pod]
	if pod == nil {
		pod = fleet.NewPod()
		w.pods[b.Pod] = pod
	}
	started := math.Inf(-1)
	if b.Cold {
		started = w.now
	}
	n := &node{name: b.Name, cfg: b, model: fleet.New(b.Kind, pod, started, w.now, fleet.Chance(w.sc.Seed, "backend "+b.Name)),
		out: map[uint64]*core.Attempt{}, wake: math.Inf(1), drained: math.Inf(1)}
	w.nodes[b.Name] = n
	w.byID[w.id(b.Name)] = n
}

func (w *world) id(name string) balance.WorkerID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return balance.WorkerID(h.Sum64())
}

func (w *world) entry(n *node, state balance.State) core.Entry {
	e := core.Entry{Name: n.name, Address: n.name, Worker: balance.Worker{ID: w.id(n.name), Cell: n.cfg.Pod, State: state, Weight: n.cfg.Kind.Slots}}
	if n.cfg.Cold {
		e.Started = float64(w.origin.UnixMilli()) + w.now
	}
	return e
}

func (w *world) happen(e Event) {
	n := w.nodes[e.Backend]
	switch e.Do {
	case "kill":
		w.told(n, n.model.Kill(w.now))
		n.conns = 0
	case "start":
		n.model.Start(w.now)
		n.cfg.Cold, n.fell = true, false
	case "trouble":
		w.told(n, n.model.Set(w.now, e.Trouble))
	case "drain":
		w.told(n, n.model.Drain(w.now, true))
		w.at(w.now+e.Heard, func() { w.list(n, balance.Draining) })
	case "list":
		w.at(w.now+e.Heard, func() { w.list(n, balance.Ready) })
	case "unlist":
		w.at(w.now+e.Heard, func() { w.list(n, balance.Gone) })
	}
}

func (w *world) list(n *node, state balance.State) {
	if n.drained = w.now; state == balance.Ready {
		n.drained = math.Inf(1)
	}
	w.core.Listed(balance.ListDelta, []core.Entry{w.entry(n, state)})
}

// drainGrace is how long after a drain was told a job may still be sent (the rule of safe drains).
const drainGrace = 500

// Send carries an attempt out on the model.
func (w *world) Send(a *core.Attempt) func() {
	n := w.byID[a.Backend.ID]
	w.jobs++
	id := w.jobs
	w.res.Attempts++
	connect := n.conns == 0
	wait := w.delay()
	if !connect {
		n.conns--
	} else {
		wait += w.sc.Connect
	}
	stopped := false
	w.at(w.now+wait, func() {
		if stopped {
			return
		}
		if !a.MayBegin() {
			a.Ended(core.Unsent, "", nil)
			return
		}
		if w.now > n.drained+drainGrace {
			w.res.Late++
		}
		w.note('s', id)
		n.out[id] = a
		job := fleet.Job{ID: id, Key: key(a.Job.IdempotencyKey), Work: w.asked[a.Job.IdempotencyKey], Slots: 1}
		verdict, events := n.model.Offer(w.now, job, connect)
		w.told(n, events)
		switch verdict {
		case fleet.Full:
			w.reply(n, id, core.Returned)
		case fleet.Refused:
			w.reply(n, id, core.Unreached)
		}
	})
	return func() {
		stopped = true
		w.at(w.now+w.delay(), func() {
			if n.out[id] != nil {
				delete(n.out, id)
				w.told(n, n.model.Cancel(w.now, id, false))
			}
		})
	}
}

func key(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// told passes on what happened at a backend, and sees to it that the next is not missed.
func (w *world) told(n *node, events []fleet.Event) {
	for _, e := range events {
		w.note('a'+byte(e.What), e.Job)
		a := n.out[e.Job]
		if a == nil {
			continue
		}
		switch e.What {
		case fleet.Started:
			w.at(w.now+w.delay(), a.Started)
		case fleet.Done:
			w.reply(n, e.Job, core.Served)
		case fleet.Failed:
			w.reply(n, e.Job, core.Failed)
		case fleet.Returned:
			w.reply(n, e.Job, core.Returned)
		case fleet.Lost:
			w.reply(n, e.Job, core.Broken)
		}
	}
	if n.model.Down() && !n.fell {
		n.fell = true
		w.res.Fallen++
	}
	if next := n.model.Next(); next < n.wake {
		n.wake = next
		w.at(next, func() {
			if n.wake != next { // an earlier one has taken its place
				return
			}
			n.wake = math.Inf(1)
			w.told(n, n.model.Advance(w.now))
		})
	}
}

// reply ends an attempt a network's way later; its connection may carry another.
func (w *world) reply(n *node, id uint64, e core.Ending) {
	a := n.out[id]
	delete(n.out, id)
	w.at(w.now+w.delay(), func() {
		if e != core.Broken && e != core.Unreached {
			n.conns++
		}
		a.Ended(e, "", nil)
	})
}

// Probe answers nothing: scenarios have no probes.
func (w *world) Probe(_ *core.Backend, done func(core.Ending, []float32)) {
	w.at(w.now+w.delay(), func() { done(core.Failed, nil) })
}

// HangUp closes the idle connections to a backend.
func (w *world) HangUp(b *core.Backend) {
	if n := w.byID[b.ID]; n != nil {
		n.conns = 0
	}
}

// Subscribe does nothing: lists come by themselves.
func (w *world) Subscribe() {}

// arrive has the first reqs come, each at a time that does not wait for any answer.
func (w *world) arrive(from float64) {
	times := 1.0
	for _, b := range w.sc.Bursts {
		if from >= b.From && from < b.To {
			times *= b.Times
		}
	}
	next := from + w.clients.ExpFloat64()*1000/(w.sc.Rate*times)
	if next >= w.sc.Length {
		return
	}
	w.at(next, func() {
		w.res.First++
		name := fmt.Sprint("k", w.res.First)
		work := w.sc.Work * math.Exp(w.sc.Spread*w.clients.NormFloat64()-w.sc.Spread*w.sc.Spread/2)
		w.asked[name] = work
		(&client{w: w, key: name, work: work, begun: w.now}).ask()
		w.arrive(w.now)
	})
}

// client is one first req with its retries.
type client struct {
	w     *world
	key   string
	work  float64
	begun float64
	tries int
	owed  int // answers that are still to come; one at a time
}

func (c *client) ask() {
	w := c.w
	c.tries++
	c.owed = 1
	w.open++
	id := fmt.Sprint(c.key, "-", c.tries)
	w.note('q', key(id))
	job := &core.Job{Method: "POST", Target: "/photo", ID: id, IdempotencyKey: c.key}
	left := time.Duration(w.sc.Deadline * float64(time.Millisecond))
	w.core.Take(balance.Request{Key: key(c.key), Slots: 1, Retry: c.tries > 1}, job, w.time(), left, c)
}

// Answer takes the final answer.
func (c *client) Answer(a core.Answer) {
	w := c.w
	if c.owed--; c.owed < 0 {
		w.res.Twice++
		return
	}
	w.open--
	w.res.Answers++
	w.note('A'+byte(a.Verdict), key(c.key))
	if a.Verdict == core.ResultOf {
		w.res.Served++
		if w.now-c.begun <= w.sc.Aim+2*c.work {
			w.res.InTime++
		}
		return
	}
	if c.tries <= w.sc.Retries {
		pause := max(w.sc.Backoff*(0.5+w.clients.Float64()), float64(a.Pause)/float64(time.Millisecond))
		w.at(w.now+pause, c.ask)
		return
	}
	if a.Verdict == core.Refusal {
		w.res.Refused++
	} else {
		w.res.Failed++
	}
}
