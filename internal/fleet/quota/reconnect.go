package quota

import "time"

// HandleReconnect tells that a link to the lender was made anew: an ask in flight on the one before is lost, and one is due at
// once. Nothing is given back for it.
func (h *Holder) HandleReconnect() { h.inFlight, h.requestDue = false, true }

// HandleReconnect tells that a link to the root was made anew.
func (r *RegionLender) HandleReconnect() { r.holder.HandleReconnect() }

// SetMaxRunTime tells that reqs may run for so long from now on. A shorter time than before changes nothing in this life of the
// lender: what began by the longer one may still run.
func (l *Lender) SetMaxRunTime(now Time, run time.Duration) {
	if run > l.cfg.MaxRunTime {
		l.cfg.MaxRunTime, l.nextExpiry = run, min(l.nextExpiry, now)
	}
}

// SetMaxRunTime tells the region's lender how long reqs may run.
func (r *RegionLender) SetMaxRunTime(now Time, run time.Duration) { r.lender.SetMaxRunTime(now, run) }
