// Package fleet models backends without sockets or a clock of its own. The caller passes in jobs and
// the current time and gets back the events of the jobs. The same model serves the simulation in virtual
// time and the simulated backends on sockets. All random numbers come from named streams of one seed, so
// that a run is reproducible whatever other streams draw.
//
// Times are milliseconds on the caller's clock, which must not go back.
package fleet

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
)

// RandomStream returns the random number generator of a name under a seed. It is independent of what
// other streams draw.
func RandomStream(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Kind describes a kind of machine. The zero value of an optional property switches it off.
type Kind struct {
	Name       string
	Cores      float64
	Speed      float64 // work done on one core per millisecond, in milliseconds of the reference machine
	Slots      float64 // total slots of the jobs that run at once
	QueueLimit int     // maximum number of waiting jobs; further jobs are rejected
	Memory     float64

	// A machine that has just started has the fraction ColdCapacity of its capacity. The capacity rises
	// linearly to all of it within WarmUpTime.
	ColdCapacity, WarmUpTime float64
	// With more than ThrashThreshold jobs per core, running or waiting, all jobs slow down. At twice that
	// number they take 1 + ThrashSlowdown times as long.
	ThrashThreshold, ThrashSlowdown float64
	// Handshake is the work of accepting a connection.
	Handshake float64
	// A cold machine crashes when the work sent within FallWindow exceeds FallMultiple times what it can do
	// at its current capacity, plus FallSlack times the work of the last job.
	FallMultiple, FallWindow, FallSlack float64
	// RepeatWindow is how long the key of a completed job is remembered; see DedupGroup.
	RepeatWindow float64
	// The machine pauses for Pause at random intervals of PauseEvery on average.
	PauseEvery, Pause float64
	OnCancel          OnCancel
}

// OnCancel says what a machine does with a cancelled job.
type OnCancel uint8

// Effects of cancelling a job.
const (
	DropWaiting OnCancel = iota // a waiting job is dropped, a running job continues
	DropNone                    // the cancellation is ignored
	DropAll                     // a waiting or running job is dropped
)

// Job is work for a backend.
type Job struct {
	ID       uint64
	Key      uint64  // 0 for none; a key that the DedupGroup remembers is not run again
	Work     float64 // ms on one core of the reference machine
	Slots    float64
	Memory   float64
	Deadline float64 // a job still waiting at this time is dropped; 0 for none
}

// EventKind says what happened to a job.
type EventKind uint8

// Kinds of events.
const (
	Started  EventKind = iota
	Done               // completed, or recognized as the repeat of a completed job
	Failed             // failed early because of a fault of the machine
	Returned           // handed back before it started
	Lost               // the machine crashed or was killed before the job ended
)

var eventNames = [...]string{"started", "done", "failed", "returned", "lost"}

func (k EventKind) String() string { return eventNames[k] }

// Event reports a change of a job's state.
type Event struct {
	At   float64
	Job  uint64
	Kind EventKind
}

// DedupGroup stores when the job of each key was last completed. Several backends share one.
type DedupGroup struct{ lastRun map[uint64]float64 }

// NewDedupGroup returns a group that remembers no key.
func NewDedupGroup() *DedupGroup { return &DedupGroup{lastRun: map[uint64]float64{}} }

func (g *DedupGroup) isRepeat(now float64, key uint64, window float64) bool {
	at, ok := g.lastRun[key]
	return key != 0 && ok && now-at < window
}

type running struct {
	job          Job
	startService float64 // the backend's slotService when the job started
	endService   float64 // the slotService at which the job ends
	willFail     bool
}

// Backend simulates one machine.
type Backend struct {
	Kind  Kind
	Dedup *DedupGroup

	startedAt      float64 // start of its process; long past for a warm machine
	now            float64
	slotService    float64 // work done per slot since the start; all running jobs advance at the same rate
	running        []running
	waiting        []Job
	usedSlots      float64 // by running jobs
	usedMemory     float64
	recent         []arrival // work sent to a cold machine within the last FallWindow
	draining       bool
	down           bool
	frozen         bool
	slowFactor     float64 // factor by which jobs take longer; 1 for none
	failureRate    float64
	neighbourShare float64 // fraction of the machine used by another tenant
	random         *rand.Rand
	events         []Event
	handshakeWork  float64 // work of accepted connections; added to the next job that starts
	pause          pause
}

type arrival struct{ at, work float64 }

// New returns a machine whose process started at the time started, which is minus infinity for a warm machine.
func New(k Kind, dedup *DedupGroup, started, now float64, random *rand.Rand) *Backend {
	b := &Backend{Kind: k, Dedup: dedup, startedAt: started, now: now, slowFactor: 1, random: random}
	b.setPauses(k.PauseEvery, k.Pause)
	return b
}

// Capacity returns the available fraction of the full capacity, from Kind.ColdCapacity to 1.
func (b *Backend) Capacity(now float64) float64 {
	if b.Kind.WarmUpTime <= 0 || now-b.startedAt >= b.Kind.WarmUpTime {
		return 1
	}
	return b.Kind.ColdCapacity + (1-b.Kind.ColdCapacity)*max(now-b.startedAt, 0)/b.Kind.WarmUpTime
}

// StartedAt returns when the process started. It is long past, such as minus infinity, for a warm machine.
func (b *Backend) StartedAt() float64 { return b.startedAt }

// Down reports whether the machine has crashed or was killed.
func (b *Backend) Down() bool { return b.down }

// JobCounts returns the numbers of running and waiting jobs.
func (b *Backend) JobCounts() (run, wait int) { return len(b.running), len(b.waiting) }

// FreeSlots returns the number of slots that no running job uses.
func (b *Backend) FreeSlots() float64 { return max(b.Kind.Slots-b.usedSlots, 0) }

// rate returns the work done per slot and millisecond, without the reduction during warm-up.
func (b *Backend) rate() float64 {
	if !b.makesProgress() || len(b.running) == 0 {
		return 0
	}
	r := b.Kind.Speed / b.slowFactor * (1 - b.neighbourShare)
	if b.usedSlots > b.Kind.Cores {
		r *= b.Kind.Cores / b.usedSlots
	}
	if at := b.Kind.ThrashThreshold * b.Kind.Cores; at > 0 && b.Kind.ThrashSlowdown > 0 {
		if over := (float64(len(b.running)+len(b.waiting)) - at) / at; over > 0 {
			r /= 1 + b.Kind.ThrashSlowdown*over
		}
	}
	return r
}

// serviceBetween returns the work done per slot between two times, with the reduction during warm-up.
func (b *Backend) serviceBetween(from, to float64) float64 {
	warm := b.startedAt + b.Kind.WarmUpTime
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

// timeOfService returns the time at which slotService will have grown by amount.
func (b *Backend) timeOfService(amount float64) float64 {
	r := b.rate()
	if r <= 0 {
		return math.Inf(1)
	}
	from, warm := b.now, b.startedAt+b.Kind.WarmUpTime
	if b.Kind.WarmUpTime > 0 && from < warm {
		inRamp := b.serviceBetween(from, warm)
		if amount <= inRamp {
			// Solve r * (c t + s t²/2) = amount for t, where c is the current capacity and s its slope.
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

// NextEvent returns the time of the next change of state that needs no call. It is +Inf if there is none.
func (b *Backend) NextEvent() float64 {
	if b.down || b.frozen {
		return math.Inf(1)
	}
	if b.pause.active {
		return b.pause.nextChange
	}
	next := b.pause.nextChange
	for i := range b.running {
		next = min(next, b.timeOfService(max(b.running[i].endService-b.slotService, 0)))
	}
	for i := range b.waiting {
		if d := b.waiting[i].Deadline; d > 0 {
			next = min(next, d)
		}
	}
	return next
}

// Advance moves the clock to now and returns the events up to then, in order. The slice is valid until
// the next call of a method that returns events.
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
		b.serveUntil(max(next, b.now))
		b.switchPause()
		if b.makesProgress() {
			b.updateJobs()
		}
	}
	b.serveUntil(now)
}

func (b *Backend) serveUntil(to float64) {
	if to > b.now {
		b.slotService += b.serviceBetween(b.now, to)
		b.now = to
	}
}

func (b *Backend) emit(id uint64, kind EventKind) {
	b.events = append(b.events, Event{b.now, id, kind})
}

// updateJobs ends jobs that are done, drops waiting jobs past their deadline, and starts waiting jobs that
// fit, in queue order.
func (b *Backend) updateJobs() {
	const tolerance = 1e-9 // relative tolerance for rounding errors
	for i := 0; i < len(b.running); {
		r := &b.running[i]
		if r.endService-b.slotService > tolerance*max(1, b.slotService) {
			i++
			continue
		}
		if r.willFail {
			b.emit(r.job.ID, Failed)
		} else {
			if r.job.Key != 0 {
				b.Dedup.lastRun[r.job.Key] = b.now
			}
			b.emit(r.job.ID, Done)
		}
		b.release(r.job)
		b.running = slices.Delete(b.running, i, i+1)
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(j Job) bool { return j.Deadline > 0 && j.Deadline <= b.now })
	for len(b.waiting) > 0 && b.fits(b.waiting[0]) { // the first job blocks the others until it fits
		j := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.start(j)
	}
}

func (b *Backend) fits(j Job) bool {
	return b.usedSlots+j.Slots <= b.Kind.Slots && (b.Kind.Memory == 0 || b.usedMemory+j.Memory <= b.Kind.Memory)
}

// overflows reports whether, with one more job, more jobs than QueueLimit would wait after all jobs that fit
// have started.
func (b *Backend) overflows(j Job) bool {
	used, memory, i := b.usedSlots, b.usedMemory, 0
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

func (b *Backend) release(j Job) {
	b.usedSlots -= j.Slots
	b.usedMemory -= j.Memory
}

func (b *Backend) start(j Job) {
	b.usedSlots += j.Slots
	b.usedMemory += j.Memory
	r := running{job: j, startService: b.slotService, endService: b.slotService + j.Work + b.handshakeWork}
	b.handshakeWork = 0
	if b.Dedup.isRepeat(b.now, j.Key, b.Kind.RepeatWindow) {
		r.endService = b.slotService
	}
	if b.failureRate > 0 && b.random.Float64() < b.failureRate {
		r.willFail, r.endService = true, b.slotService+min(j.Work, 2)
	}
	b.running = append(b.running, r)
	b.emit(j.ID, Started)
}

// OfferResult says whether a backend accepted a job.
type OfferResult uint8

// Results of Offer.
const (
	Accepted OfferResult = iota
	Full                 // rejected without being started
	Refused              // connection refused: the process is down
)

// Offer submits a job; connect says that it comes on a new connection. Offer returns the events up to now
// and those that the job caused.
func (b *Backend) Offer(now float64, j Job, connect bool) (OfferResult, []Event) {
	b.events = b.events[:0]
	b.advance(now)
	if b.down {
		return Refused, b.events
	}
	if connect {
		b.handshakeWork += b.Kind.Handshake
	}
	if b.overloaded(now, j.Work) {
		b.crash()
		return Refused, b.events
	}
	if b.draining || j.Slots > b.Kind.Slots || b.Kind.Memory > 0 && j.Memory > b.Kind.Memory || b.overflows(j) {
		return Full, b.events
	}
	b.waiting = append(b.waiting, j)
	if b.makesProgress() {
		b.updateJobs()
	}
	return Accepted, b.events
}

// overloaded adds up the work sent to a cold machine, rejected jobs included, and reports whether it is
// more than the machine withstands.
func (b *Backend) overloaded(now, work float64) bool {
	k := &b.Kind
	c := b.Capacity(now)
	if k.FallMultiple == 0 || c >= 1 {
		b.recent = nil
		return false
	}
	b.recent = append(b.recent, arrival{now, work})
	sum := 0.0
	kept := b.recent[:0]
	for _, a := range b.recent {
		if now-a.at < k.FallWindow {
			kept = append(kept, a)
			sum += a.work
		}
	}
	b.recent = kept
	return sum > k.FallMultiple*c*k.Cores*k.Speed*k.FallWindow+k.FallSlack*work
}

func (b *Backend) crash() {
	for i := range b.running {
		b.emit(b.running[i].job.ID, Lost)
	}
	for i := range b.waiting {
		b.emit(b.waiting[i].ID, Lost)
	}
	b.running, b.waiting, b.usedSlots, b.usedMemory, b.down = nil, nil, 0, 0, true
}

// Cancel cancels a job, with the effect that Kind.OnCancel defines.
func (b *Backend) Cancel(now float64, id uint64) []Event {
	b.events = b.events[:0]
	b.advance(now)
	if b.Kind.OnCancel == DropNone {
		return b.events
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(j Job) bool { return j.ID == id })
	if i := slices.IndexFunc(b.running, func(r running) bool { return r.job.ID == id }); b.Kind.OnCancel == DropAll && i >= 0 {
		b.release(b.running[i].job)
		b.running = slices.Delete(b.running, i, i+1)
	}
	if b.makesProgress() {
		b.updateJobs()
	}
	return b.events
}

// Faults are the faults that can be injected into a machine.
type Faults struct {
	SlowFactor     float64 // factor by which jobs take longer; 0 and 1 mean none
	FailureRate    float64 // fraction of jobs that fail early
	NeighbourShare float64 // fraction of the machine used by another tenant
	Frozen         bool    // no job makes progress, and there are no events
	// If Pause is not 0, these replace the pauses of Kind.
	PauseEvery, Pause float64
}

// SetFaults replaces the machine's faults from the time now on.
func (b *Backend) SetFaults(now float64, t Faults) []Event {
	b.events = b.events[:0]
	b.advance(now)
	b.slowFactor, b.failureRate, b.neighbourShare, b.frozen = max(t.SlowFactor, 1), t.FailureRate, t.NeighbourShare, t.Frozen
	if t.Pause > 0 {
		b.setPauses(t.PauseEvery, t.Pause)
	} else {
		b.setPauses(b.Kind.PauseEvery, b.Kind.Pause)
	}
	if b.makesProgress() {
		b.updateJobs()
	}
	return b.events
}

// Drain makes the machine reject new jobs from the time now on. If back is set, waiting jobs are handed back.
func (b *Backend) Drain(now float64, back bool) []Event {
	b.events = b.events[:0]
	b.advance(now)
	b.draining = true
	if back {
		for i := range b.waiting {
			b.emit(b.waiting[i].ID, Returned)
		}
		b.waiting = nil
	}
	return b.events
}

// Kill ends the machine's process. All its jobs are lost.
func (b *Backend) Kill(now float64) []Event {
	b.events = b.events[:0]
	b.advance(now)
	if !b.down {
		b.crash()
	}
	return b.events
}

// Start restarts the machine's process, which is then cold.
func (b *Backend) Start(now float64) {
	b.now, b.startedAt, b.down, b.draining, b.frozen = max(now, b.now), now, false, false, false
	b.recent, b.handshakeWork = nil, 0
	b.setPauses(b.Kind.PauseEvery, b.Kind.Pause)
}
