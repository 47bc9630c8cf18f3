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
		fmt.Fprintf(f, "root young %v now %v ends %v\n", l.young, w.root.at(w.now)-l.born, l.ends()-l.born)
		l.dump()
	}
	for _, r := range w.regions {
		fmt.Fprintf(f, "region %s holder %s: fresh %v seq %d flying %v asap %v until %v stale %v\n", r.name, "", r.r.holder.fresh, r.r.holder.seq, r.r.holder.flying, r.r.holder.asap, r.r.holder.until-r.at(w.now), r.r.holder.stale)
		for a, k := range r.r.holder.at {
			fmt.Fprintf(f, "   %s %+v\n", a, *k)
		}
		fmt.Fprintf(f, "  young %v lit %v past %v\n", r.r.lender.young, r.r.lender.lit, r.r.lender.past)
		r.r.lender.dump()
	}
	for _, n := range w.disps {
		fmt.Fprintf(f, "disp %s region %d seq %d flying %v asap %v until %v\n", n.name, n.region, n.h.seq, n.h.flying, n.h.asap, n.h.until-n.at(w.now))
		for a, k := range n.h.at {
			fmt.Fprintf(f, "   %s %+v\n", a, *k)
		}
	}
	fmt.Fprintf(f, "running %v\n", w.truth.running)
}

func (l *Lender) dump() {
	for n, a := range l.accounts {
		fmt.Fprintf(os.Stderr, "  account %q cap %d counted %d past %d base %d first %d short %v targets %v\n", n, a.capacity, a.counted, a.past, a.base, a.first, l.short[n], a.targets)
		for c, ln := range a.lines {
			fmt.Fprintf(os.Stderr, "     %s %+v units %d floor %d lapsed %v unsure %v reported %v\n", c, ln.AccountReport, ln.units, ln.floor, l.children[c].lapsed, l.children[c].unsure, l.children[c].reported)
		}
	}
}
