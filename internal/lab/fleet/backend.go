// Package fleet models backends, without sockets and without a clock: jobs and the time are handed
// in, and what became of them is handed out. One model serves the simulation in virtual time and
// the stand-ins on sockets. All chance comes from named streams of one seed, so that a run is the
// same each time, whatever else is drawn.
//
// Times are milliseconds on a clock that the caller keeps; it never goes back.
package fleet

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
)

// RandomStream is the stream of a name under a seed: it does not depend on what others draw.
func RandomStream(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Kind describes a kind of machine. The zero value of a part switches it off.
type Kind struct {
	Name       string
	Cores      float64
	Speed      float64 // work done in a millisecond on one core, in milliseconds of the yardstick
	Slots      float64 // jobs that run at once, by their slots
	QueueLimit int     // jobs that wait; one more is turned away
	Memory     float64

	// A machine that has just started does ColdCapacity of what it can, and all of it after WarmUpTime.
	ColdCapacity, WarmUpTime float64
	// Beyond ThrashThreshold jobs for each core, held or waiting, all goes slower: by ThrashSlowdown at twice that.
	ThrashThreshold, ThrashSlowdown float64
	// Handshake is the work of taking a connection.
	Handshake float64
	// Sent more than FallMultiple times what it can do now, for FallWindow, while it is cold, it
	// falls over. FallSlack jobs beyond are forgiven.
	FallMultiple, FallWindow, FallSlack float64
	// RepeatWindow is how long a key that has run is known; see Pod.
	RepeatWindow float64
	// Every PauseEvery on average, by chance, it stands still for Pause.
	PauseEvery, Pause float64
	// OnCancel is what becomes of a job that is called off.
	OnCancel OnCancel
}

// OnCancel is what a machine does with a job that is called off.
type OnCancel uint8

// What becomes of a job that is called off.
const (
	DropWaiting OnCancel = iota // one that waits goes, one that runs runs on
	DropNone                    // it waits and runs as if nothing had been said
	DropAll
)

// Job is work for a backend.
type Job struct {
	ID       uint64
	Key      uint64  // 0 for none: a key that ran in the pod lately does not run again
	Work     float64 // on the yardstick
	Slots    float64
	Memory   float64
	Deadline float64 // dropped from the queue beyond it; 0 for none
}

// EventKind tells what became of a job.
type EventKind uint8

// What can become of a job.
const (
	Started  EventKind = iota
	Done               // with its effect, or as the repeat of one that had it
	Failed             // quickly, by a fault of the machine's
	Returned           // handed back unstarted
	Lost               // the machine died under it
)

var whats = [...]string{"started", "done", "failed", "returned", "lost"}

func (w EventKind) String() string { return whats[w] }

// Event is news of a job.
type Event struct {
	At   float64
	Job  uint64
	Kind EventKind
}

// DedupGroup is the memory of keys that a few backends share: when each last had its effect.
type DedupGroup struct{ ran map[uint64]float64 }

// NewDedupGroup makes an empty memory.
func NewDedupGroup() *DedupGroup { return &DedupGroup{ran: map[uint64]float64{}} }

func (p *DedupGroup) repeat(now float64, key uint64, window float64) bool {
	at, ok := p.ran[key]
	return key != 0 && ok && now-at < window
}

type running struct {
	job    Job
	begun  float64 // the backend's service at which it began
	target float64 // ... and at which it is done
	fails  bool
}

// Backend is one machine.
type Backend struct {
	Kind  Kind
	Dedup *DedupGroup

	started  float64 // when its process did; long past for a warm one
	now      float64
	service  float64 // work that each slot has done since the start: all that run advance alike
	running  []running
	waiting  []Job
	used     float64 // slots
	memory   float64
	sent     []arrival // of a cold one, in the last FallWindow
	draining bool
	down     bool
	frozen   bool
	slow     float64 // times slower
	failPart float64
	taken    float64 // part of the machine that a neighbour has
	chance   *rand.Rand
	events   []Event
	overhead float64 // work of handshakes, done before any job's
	pause    pause
}

type arrival struct{ at, work float64 }

// New makes a machine that started at a time, minus infinity for one that is warm.
func New(k Kind, pod *DedupGroup, started, now float64, chance *rand.Rand) *Backend {
	b := &Backend{Kind: k, Dedup: pod, started: started, now: now, slow: 1, chance: chance}
	b.pauses(k.PauseEvery, k.Pause)
	return b
}

// Capacity is the part of what it can do that it does at a time, from ColdFrom to 1.
func (b *Backend) Capacity(now float64) float64 {
	if b.Kind.WarmUpTime <= 0 || now-b.started >= b.Kind.WarmUpTime {
		return 1
	}
	return b.Kind.ColdCapacity + (1-b.Kind.ColdCapacity)*max(now-b.started, 0)/b.Kind.WarmUpTime
}

// StartedAt is when its process started; long past, minus infinity say, for one that is warm.
func (b *Backend) StartedAt() float64 { return b.started }

// Down says whether it has died or fallen over.
func (b *Backend) Down() bool { return b.down }

// JobCounts is how many jobs it has, running and waiting.
func (b *Backend) JobCounts() (run, wait int) { return len(b.running), len(b.waiting) }

// FreeSlots is how many slots no job has.
func (b *Backend) FreeSlots() float64 { return max(b.Kind.Slots-b.used, 0) }

// rate is the service of a slot in a millisecond, but for the ramp of a cold start.
func (b *Backend) rate() float64 {
	if !b.moves() || len(b.running) == 0 {
		return 0
	}
	r := b.Kind.Speed / b.slow * (1 - b.taken)
	if b.used > b.Kind.Cores {
		r *= b.Kind.Cores / b.used
	}
	if at := b.Kind.ThrashThreshold * b.Kind.Cores; at > 0 && b.Kind.ThrashSlowdown > 0 {
		if over := (float64(len(b.running)+len(b.waiting)) - at) / at; over > 0 {
			r /= 1 + b.Kind.ThrashSlowdown*over
		}
	}
	return r
}

// served is the service that a slot gets between two times, through the ramp.
func (b *Backend) served(from, to float64) float64 {
	warm := b.started + b.Kind.WarmUpTime
	r := b.rate()
	sum := 0.0
	if end := min(to, warm); b.Kind.WarmUpTime > 0 && from < end {
		sum += r * (end - from) * (b.Capacity(from) + b.Capacity(end)) / 2
		from = end
	}
	if to > from {
		sum += r * (to - from)
	}
	return sum
}

// when is the time at which a slot's service will have grown by an amount.
func (b *Backend) when(amount float64) float64 {
	r := b.rate()
	if r <= 0 {
		return math.Inf(1)
	}
	from, warm := b.now, b.started+b.Kind.WarmUpTime
	if b.Kind.WarmUpTime > 0 && from < warm {
		inRamp := b.served(from, warm)
		if amount <= inRamp {
			// r * (c t + s t²/2) = amount, with c the capacity now and s its slope
			c, s := b.Capacity(from), (1-b.Kind.ColdCapacity)/b.Kind.WarmUpTime
			if s == 0 {
				return from + amount/(r*c)
			}
			return from + (math.Sqrt(c*c+2*s*amount/r)-c)/s
		}
		amount -= inRamp
		from = warm
	}
	return from + amount/r
}

// NextEvent is when something happens by itself; +Inf if nothing does.
func (b *Backend) NextEvent() float64 {
	if b.down || b.frozen {
		return math.Inf(1)
	}
	if b.pause.on {
		return b.pause.at
	}
	next := b.pause.at
	for i := range b.running {
		next = min(next, b.when(max(b.running[i].target-b.service, 0)))
	}
	for i := range b.waiting {
		if d := b.waiting[i].Deadline; d > 0 {
			next = min(next, d)
		}
	}
	return next
}

// Advance lets time pass, and returns what happened, in order. The slice is good until the next
// call of a method that returns events.
func (b *Backend) Advance(now float64) []Event {
	b.events = b.events[:0]
	b.advance(now)
	return b.events
}

func (b *Backend) advance(now float64) {
	for !b.down && !b.frozen {
		next := b.NextEvent()
		if next > now {
			break
		}
		b.pass(max(next, b.now))
		b.turn()
		if b.moves() {
			b.settle()
		}
	}
	b.pass(now)
}

func (b *Backend) pass(to float64) {
	if to > b.now {
		b.service += b.served(b.now, to)
		b.now = to
	}
}

func (b *Backend) tell(id uint64, what EventKind) {
	b.events = append(b.events, Event{b.now, id, what})
}

// settle ends what is done, drops what is overdue, and starts what fits, in order.
func (b *Backend) settle() {
	const near = 1e-9 // of a service that is reached but for rounding
	for i := 0; i < len(b.running); {
		r := &b.running[i]
		if r.target-b.service > near*max(1, b.service) {
			i++
			continue
		}
		if r.fails {
			b.tell(r.job.ID, Failed)
		} else {
			if r.job.Key != 0 {
				b.Dedup.ran[r.job.Key] = b.now
			}
			b.tell(r.job.ID, Done)
		}
		b.free(r.job)
		b.running = slices.Delete(b.running, i, i+1)
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(j Job) bool { return j.Deadline > 0 && j.Deadline <= b.now })
	for len(b.waiting) > 0 && b.fits(b.waiting[0]) { // the head waits until it fits
		j := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.start(j)
	}
}

func (b *Backend) fits(j Job) bool {
	return b.used+j.Slots <= b.Kind.Slots && (b.Kind.Memory == 0 || b.memory+j.Memory <= b.Kind.Memory)
}

// overflows says whether a job more would leave more waiting, once what fits has started, than the queue holds.
func (b *Backend) overflows(j Job) bool {
	used, memory, i := b.used, b.memory, 0
	for ; i <= len(b.waiting); i++ {
		x := &j
		if i < len(b.waiting) {
			x = &b.waiting[i]
		}
		if used += x.Slots; used > b.Kind.Slots {
			break
		}
		if memory += x.Memory; b.Kind.Memory > 0 && memory > b.Kind.Memory {
			break
		}
	}
	return len(b.waiting)+1-i > b.Kind.QueueLimit
}

func (b *Backend) free(j Job) {
	b.used -= j.Slots
	b.memory -= j.Memory
}

func (b *Backend) start(j Job) {
	b.used += j.Slots
	b.memory += j.Memory
	r := running{job: j, begun: b.service, target: b.service + j.Work + b.overhead}
	b.overhead = 0
	if b.Dedup.repeat(b.now, j.Key, b.Kind.RepeatWindow) {
		r.target = b.service
	}
	if b.failPart > 0 && b.chance.Float64() < b.failPart {
		r.fails, r.target = true, b.service+min(j.Work, 2)
	}
	b.running = append(b.running, r)
	b.tell(j.ID, Started)
}

// OfferResult is what a backend says to a job.
type OfferResult uint8

// Verdicts.
const (
	Accepted OfferResult = iota
	Full                 // turned away unseen
	Refused              // no process is there to take it
)

// Offer hands it a job, on a new connection or an old one, and returns what has happened until
// then and by that.
func (b *Backend) Offer(now float64, j Job, connect bool) (OfferResult, []Event) {
	b.events = b.events[:0]
	b.advance(now)
	if b.down {
		return Refused, b.events
	}
	if connect {
		b.overhead += b.Kind.Handshake
	}
	if b.crowd(now, j.Work) {
		b.die()
		return Refused, b.events
	}
	if b.draining || j.Slots > b.Kind.Slots || b.Kind.Memory > 0 && j.Memory > b.Kind.Memory || b.overflows(j) {
		return Full, b.events
	}
	b.waiting = append(b.waiting, j)
	if b.moves() {
		b.settle()
	}
	return Accepted, b.events
}

// crowd counts what a cold machine is sent, what it turns away too, and says whether that is more
// than it bears.
func (b *Backend) crowd(now, work float64) bool {
	k := &b.Kind
	c := b.Capacity(now)
	if k.FallMultiple == 0 || c >= 1 {
		b.sent = nil
		return false
	}
	b.sent = append(b.sent, arrival{now, work})
	sum := 0.0
	kept := b.sent[:0]
	for _, a := range b.sent {
		if now-a.at < k.FallWindow {
			kept = append(kept, a)
			sum += a.work
		}
	}
	b.sent = kept
	return sum > k.FallMultiple*c*k.Cores*k.Speed*k.FallWindow+k.FallSlack*work
}

func (b *Backend) die() {
	for i := range b.running {
		b.tell(b.running[i].job.ID, Lost)
	}
	for i := range b.waiting {
		b.tell(b.waiting[i].ID, Lost)
	}
	b.running, b.waiting, b.used, b.memory, b.down = nil, nil, 0, 0, true
}

// Cancel calls a job off; Kind.OnCancel says what that means.
func (b *Backend) Cancel(now float64, id uint64) []Event {
	b.events = b.events[:0]
	b.advance(now)
	if b.Kind.OnCancel == DropNone {
		return b.events
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(j Job) bool { return j.ID == id })
	if i := slices.IndexFunc(b.running, func(r running) bool { return r.job.ID == id }); b.Kind.OnCancel == DropAll && i >= 0 {
		b.free(b.running[i].job)
		b.running = slices.Delete(b.running, i, i+1)
	}
	if b.moves() {
		b.settle()
	}
	return b.events
}

// Faults is what can be wrong with a machine.
type Faults struct {
	SlowFactor     float64 // times slower; 0 and 1 are none
	FailureRate    float64 // of jobs, which fail quickly
	NeighbourShare float64 // part of the machine that a neighbour has
	Frozen         bool    // nothing moves, and nothing is told
	// Pauses beside the kind's own, where not 0; see Kind.
	PauseEvery, Pause float64
}

// SetFaults has these troubles hold from a time on.
func (b *Backend) SetFaults(now float64, t Faults) []Event {
	b.events = b.events[:0]
	b.advance(now)
	b.slow, b.failPart, b.taken, b.frozen = max(t.SlowFactor, 1), t.FailureRate, t.NeighbourShare, t.Frozen
	if t.Pause > 0 {
		b.pauses(t.PauseEvery, t.Pause)
	} else {
		b.pauses(b.Kind.PauseEvery, b.Kind.Pause)
	}
	if b.moves() {
		b.settle()
	}
	return b.events
}

// Drain has it take nothing new from a time on; with back, what waits is handed back.
func (b *Backend) Drain(now float64, back bool) []Event {
	b.events = b.events[:0]
	b.advance(now)
	b.draining = true
	if back {
		for i := range b.waiting {
			b.tell(b.waiting[i].ID, Returned)
		}
		b.waiting = nil
	}
	return b.events
}

// Kill ends its process; all that it has is lost.
func (b *Backend) Kill(now float64) []Event {
	b.events = b.events[:0]
	b.advance(now)
	if !b.down {
		b.die()
	}
	return b.events
}

// Start starts its process again, cold.
func (b *Backend) Start(now float64) {
	b.now, b.started, b.down, b.draining, b.frozen = max(now, b.now), now, false, false, false
	b.sent, b.overhead = nil, 0
	b.pauses(b.Kind.PauseEvery, b.Kind.Pause)
}
