package budget

// planHistory holds the plans that were in force in this process before the current one, newest last. Other
// dispatchers may still apply one of them, and no message says when the last one has stopped. So if a change moves
// units from the reserves to the pool or back, the part that grows keeps its smaller size until the next start of the
// process. If both grow or both shrink, as with a changed Total, nothing is held back except what rounding moves.
type planHistory []Plan

// maxPastPlans limits the history. A plan that was replaced so many changes ago is assumed to be applied by no
// dispatcher any more.
const maxPastPlans = 16

// add appends a plan that was replaced.
func (h planHistory) add(p Plan) planHistory {
	if h = append(h, p); len(h) > maxPastPlans {
		h = h[1:]
	}
	return h
}

// pool returns how much a keeper with the plan p may lend. For each earlier plan, the pool and the larger reserves of
// the two plans together stay within the larger of the two totals.
func (h planHistory) pool(p Plan) int {
	pool := p.Pool()
	for _, old := range h {
		pool = min(pool, max(old.Total, p.Total)-max(old.MaxDispatchers*old.Reserve(), p.MaxDispatchers*p.Reserve()))
	}
	return max(pool, 0)
}

// reserve returns how much a holder with the plan p may spend without a lease. For each earlier plan, all reserves
// and the larger pool of the two plans, which the keeper may still be lending, together stay within the larger of the
// two totals.
func (h planHistory) reserve(p Plan) int {
	reserve := p.Reserve()
	for _, old := range h {
		reserve = min(reserve, (max(old.Total, p.Total)-max(old.Pool(), p.Pool()))/max(old.MaxDispatchers, p.MaxDispatchers))
	}
	return max(reserve, 0)
}
