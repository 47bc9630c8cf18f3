package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
)

// pause models short stops of a whole machine, such as garbage collection or a host that does not schedule it.
type pause struct {
	meanInterval, duration float64
	random                 *rand.Rand // a stream of its own, created when pauses are first configured
	active                 bool
	nextChange             float64 // end of the active pause, or start of the next; +Inf for none
}

// makesProgress reports whether running jobs advance.
func (b *Backend) makesProgress() bool { return !b.down && !b.frozen && !b.pause.active }

// setPauses configures how often and for how long the machine pauses from now on. A call with the values that
// are already set changes nothing, so that setting other faults does not shift the pauses.
func (b *Backend) setPauses(meanInterval, duration float64) {
	p := &b.pause
	if p.meanInterval == meanInterval && p.duration == duration && p.nextChange != 0 {
		return
	}
	p.meanInterval, p.duration, p.active, p.nextChange = meanInterval, duration, false, math.Inf(1)
	if meanInterval <= 0 || duration <= 0 {
		return
	}
	if p.random == nil {
		p.random = rand.New(rand.NewPCG(b.random.Uint64(), 0))
	}
	p.nextChange = b.now + p.meanInterval*p.random.ExpFloat64()
}

// switchPause starts or ends a pause if that is due.
func (b *Backend) switchPause() {
	p := &b.pause
	if b.now < p.nextChange {
		return
	}
	if p.active = !p.active; p.active {
		p.nextChange = b.now + p.duration
	} else {
		p.nextChange = b.now + p.meanInterval*p.random.ExpFloat64()
	}
}

// NextSendTime returns when a message that is ready at the time now is sent: at once, or at the end of the
// active pause.
func (b *Backend) NextSendTime(now float64) float64 {
	if b.pause.active {
		return max(now, b.pause.nextChange)
	}
	return now
}

// Progress returns the completed fraction of a running job, as of the last event or Advance. It is 0 for a job
// that is not running.
func (b *Backend) Progress(id uint64) float64 {
	i := slices.IndexFunc(b.running, func(r running) bool { return r.job.ID == id })
	if i < 0 || b.running[i].endService <= b.running[i].startService {
		return 0
	}
	r := &b.running[i]
	return min((b.slotService-r.startService)/(r.endService-r.startService), 1)
}
