package quota

import "time"

// HandleReconnect states that there is a new connection to the lender. A lease request in flight on the previous one is
// lost, and a new one is due at once. The holder returns no units because of it.
func (h *Holder) HandleReconnect() { h.inFlight, h.requestDue = false, true }

// HandleReconnect states that there is a new connection to the root.
func (r *RegionLender) HandleReconnect() { r.holder.HandleReconnect() }

// SetMaxRunTime sets how long requests may be in flight from now on. A shorter time than before is ignored in this
// incarnation of the lender, because requests that started under the longer one may still be in flight.
func (l *Lender) SetMaxRunTime(now Time, limit time.Duration) {
	if limit > l.cfg.MaxRunTime {
		l.cfg.MaxRunTime, l.nextExpiry = limit, min(l.nextExpiry, now)
	}
}

// SetMaxRunTime sets how long requests of the region's dispatchers may be in flight.
func (r *RegionLender) SetMaxRunTime(now Time, limit time.Duration) {
	r.lender.SetMaxRunTime(now, limit)
}
