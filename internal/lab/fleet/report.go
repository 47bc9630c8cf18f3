package fleet

import "math/rand/v2"

// ReportConfig is how a backend tells its free slots in its answers. The zero value is: not at all.
type ReportConfig struct {
	Period float64 // a figure is refreshed no sooner, ms
	Delay  float64 // and told so much later
	Noise  float64 // as a part of the figure, one standard deviation
}

// Reporter is what one backend tells: a figure that is looked at now and then, told later, and a little
// wrong. Make it with the slots that are free at first.
type Reporter struct {
	ReportConfig
	told, seen       float64
	toldAt, lookedAt float64
}

// NewReporter makes one.
func NewReporter(r ReportConfig, free float64) *Reporter {
	return &Reporter{ReportConfig: r, told: free, seen: free}
}

// Report is the figure in an answer at a time, with so many slots free; ok is false if none is told.
func (r *Reporter) Report(now, free float64, chance *rand.Rand) (figure float64, ok bool) {
	if r.Period <= 0 {
		return 0, false
	}
	if now >= r.toldAt {
		r.told = r.seen
	}
	if now-r.lookedAt >= r.Period {
		r.lookedAt, r.seen, r.toldAt = now, free, now+r.Delay
	}
	return max(0, r.told*(1+r.Noise*chance.NormFloat64())), true
}
