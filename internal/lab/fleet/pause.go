package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
)

// pause is how a machine stands still now and then: its collector runs, say, or its host is late.
type pause struct {
	every, length float64
	chance        *rand.Rand // of its own, made at the first pause that may come
	on            bool
	at            float64 // when the one that is on ends, or the next begins; +Inf if none does
}

// moves says whether jobs get on.
func (b *Backend) moves() bool { return !b.down && !b.frozen && !b.pause.on }

// pauses sets how often and for how long it stands still from now on. What has been set already goes on as it is: looking
// at a machine must not move its pauses.
func (b *Backend) pauses(every, length float64) {
	p := &b.pause
	if p.every == every && p.length == length && p.at != 0 {
		return
	}
	p.every, p.length, p.on, p.at = every, length, false, math.Inf(1)
	if every <= 0 || length <= 0 {
		return
	}
	if p.chance == nil {
		p.chance = rand.New(rand.NewPCG(b.chance.Uint64(), 0))
	}
	p.at = b.now + p.every*p.chance.ExpFloat64()
}

// turn begins a pause that is due, or ends it.
func (b *Backend) turn() {
	p := &b.pause
	if b.now < p.at {
		return
	}
	if p.on = !p.on; p.on {
		p.at = b.now + p.length
	} else {
		p.at = b.now + p.every*p.chance.ExpFloat64()
	}
}

// NextSendTime is when what it has to say at a time goes out: at the end of a pause.
func (b *Backend) NextSendTime(now float64) float64 {
	if b.pause.on {
		return max(now, b.pause.at)
	}
	return now
}

// Progress is the part of a running job that is done, as of the last event or Advance; 0 if it does not run.
func (b *Backend) Progress(id uint64) float64 {
	i := slices.IndexFunc(b.running, func(r running) bool { return r.job.ID == id })
	if i < 0 || b.running[i].target <= b.running[i].begun {
		return 0
	}
	r := &b.running[i]
	return min((b.service-r.begun)/(r.target-r.begun), 1)
}
