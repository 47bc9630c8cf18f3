package fleet

import "math/rand/v2"

// ReportConfig configures how a backend reports its free slots in its answers. The zero value reports nothing.
type ReportConfig struct {
	Period float64 // minimum time between two measurements, ms
	Delay  float64 // from a measurement until it is reported, ms
	Noise  float64 // standard deviation of the reported value, relative to the value
}

// Reporter computes the free slots that one backend reports. The value is measured periodically, reported
// with a delay, and subject to noise.
type Reporter struct {
	ReportConfig
	reported, measured   float64
	reportAt, measuredAt float64
}

// NewReporter returns a Reporter that reports free until the first measurement is due.
func NewReporter(r ReportConfig, free float64) *Reporter {
	return &Reporter{ReportConfig: r, reported: free, measured: free}
}

// Report returns the value for an answer at the time now, when free slots are free. ok is false if the
// backend reports nothing.
func (r *Reporter) Report(now, free float64, random *rand.Rand) (value float64, ok bool) {
	if r.Period <= 0 {
		return 0, false
	}
	if now >= r.reportAt {
		r.reported = r.measured
	}
	if now-r.measuredAt >= r.Period {
		r.measuredAt, r.measured, r.reportAt = now, free, now+r.Delay
	}
	return max(0, r.reported*(1+r.Noise*random.NormFloat64())), true
}
