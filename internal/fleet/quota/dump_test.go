package quota

import (
	"fmt"
	"os"
)

// dump writes what everybody knows, where QUOTA_DUMP is set and a schedule fails.
func (w *world) dump() {
	f := os.Stderr
	if w.root != nil {
		l := w.root.l
		fmt.Fprintf(f, "root young %v now %v ends %v\n", l.recovering, w.root.at(w.now)-l.startedAt, l.recoveryEnd()-l.startedAt)
		l.dump()
	}
	for _, r := range w.regions {
		fmt.Fprintf(f, "region %s holder %s: fresh %v seq %d flying %v asap %v until %v stale %v\n", r.name, "", r.r.holder.recovering, r.r.holder.seq, r.r.holder.inFlight, r.r.holder.requestDue, r.r.holder.leaseEnd-r.at(w.now), r.r.holder.dirty)
		for a, k := range r.r.holder.accounts {
			fmt.Fprintf(f, "   %s %+v\n", a, *k)
		}
		fmt.Fprintf(f, "  young %v lit %v past %v\n", r.r.lender.recovering, r.r.lender.wasCovered, r.r.lender.ended)
		r.r.lender.dump()
	}
	for _, n := range w.disps {
		fmt.Fprintf(f, "disp %s region %d seq %d flying %v asap %v until %v\n", n.name, n.region, n.h.seq, n.h.inFlight, n.h.requestDue, n.h.leaseEnd-n.at(w.now))
		for a, k := range n.h.accounts {
			fmt.Fprintf(f, "   %s %+v\n", a, *k)
		}
	}
	fmt.Fprintf(f, "running %v\n", w.truth.running)
}

func (l *Lender) dump() {
	for n, a := range l.accounts {
		fmt.Fprintf(os.Stderr, "  account %q cap %d counted %d past %d base %d first %d short %v targets %v\n", n, a.capacity, a.counted, a.ended, a.assumedLent, a.reported, l.unbalanced[n], a.targets)
		for c, ln := range a.loans {
			fmt.Fprintf(os.Stderr, "     %s %+v units %d floor %d lapsed %v unsure %v reported %v\n", c, ln.AccountReport, ln.granted, ln.inherited, l.children[c].expired, l.children[c].noRecord, l.children[c].reportComplete)
		}
	}
}
