package budget

// planHistory is the plans that were in force in this process before the one now, newest last. Others may
// go by them still, and nobody tells when the last does not: so where a change moves units from the
// reserves to the pool or back, the side that grows stays small until its next start. Where both
// grow, or both shrink, as with a changed Total, nothing is held back but what rounding moves.
type planHistory []Plan

// maxPastPlans bounds what is kept: a plan so many changes ago is taken to be read by all.
const maxPastPlans = 16

func (e planHistory) add(p Plan) planHistory {
	if e = append(e, p); len(e) > maxPastPlans {
		e = e[1:]
	}
	return e
}

// pool is what a keeper on plan p lends: beside it the largest reserves of p or an earlier plan fit
// into the larger of the two totals.
func (e planHistory) pool(p Plan) int {
	pool := p.Pool()
	for _, o := range e {
		pool = min(pool, max(o.Total, p.Total)-max(o.MaxDispatchers*o.Reserve(), p.MaxDispatchers*p.Reserve()))
	}
	return max(pool, 0)
}

// reserve is what a holder on plan p spends unasked: all reserves fit beside the larger pool of p or
// an earlier plan, which the keeper may still be lending.
func (e planHistory) reserve(p Plan) int {
	r := p.Reserve()
	for _, o := range e {
		r = min(r, (max(o.Total, p.Total)-max(o.Pool(), p.Pool()))/max(o.MaxDispatchers, p.MaxDispatchers))
	}
	return max(r, 0)
}
