package quota

// Linked tells that a link to the lender was made anew: an ask in flight on the one before is lost, and one is due at
// once. Nothing is given back for it.
func (h *Holder) Linked() { h.flying, h.asap = false, true }

// Linked tells that a link to the root was made anew.
func (r *Region) Linked() { r.holder.Linked() }
