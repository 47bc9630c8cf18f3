package quota

import "time"

// Linked tells that a link to the lender was made anew: an ask in flight on the one before is lost, and one is due at
// once. Nothing is given back for it.
func (h *Holder) Linked() { h.flying, h.asap = false, true }

// Linked tells that a link to the root was made anew.
func (r *Region) Linked() { r.holder.Linked() }

// Run tells that reqs may run for so long from now on. A shorter time than before changes nothing in this life of the
// lender: what began by the longer one may still run.
func (l *Lender) Run(now Time, run time.Duration) {
	if run > l.plan.Run {
		l.plan.Run, l.scan = run, min(l.scan, now)
	}
}

// Run tells the region's lender how long reqs may run.
func (r *Region) Run(now Time, run time.Duration) { r.lender.Run(now, run) }
