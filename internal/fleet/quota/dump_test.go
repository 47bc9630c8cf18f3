package quota

import (
	"fmt"
	"os"
)

// dump prints the state of all nodes. It is called if QUOTA_DUMP is set and a schedule fails.
func (sim *simulation) dump() {
	f := os.Stderr
	if sim.root != nil {
		l := sim.root.lender
		fmt.Fprintf(f, "root recovering %v now %v recovery end %v\n", l.recovering,
			sim.root.at(sim.now)-l.startedAt, l.recoveryEnd()-l.startedAt)
		l.dump()
	}
	for _, r := range sim.regions {
		fmt.Fprintf(f, "region %s holder %s: recovering %v seq %d in flight %v due %v lease end %v dirty %v\n", r.name, "",
			r.lender.holder.recovering, r.lender.holder.seq, r.lender.holder.inFlight, r.lender.holder.requestDue,
			r.lender.holder.leaseEnd-r.at(sim.now), r.lender.holder.dirty)
		for a, k := range r.lender.holder.accounts {
			fmt.Fprintf(f, "   %s %+v\n", a, *k)
		}
		fmt.Fprintf(f, "  recovering %v covered %v ended %v\n",
			r.lender.lender.recovering, r.lender.lender.wasCovered, r.lender.lender.ended)
		r.lender.lender.dump()
	}
	for _, n := range sim.dispatchers {
		fmt.Fprintf(f, "dispatcher %s region %d seq %d in flight %v due %v lease end %v\n",
			n.name, n.region, n.holder.seq, n.holder.inFlight, n.holder.requestDue, n.holder.leaseEnd-n.at(sim.now))
		for a, k := range n.holder.accounts {
			fmt.Fprintf(f, "   %s %+v\n", a, *k)
		}
	}
	fmt.Fprintf(f, "running %v\n", sim.oracle.running)
}

// dump prints the accounts and loans of a lender.
func (l *Lender) dump() {
	for n, a := range l.accounts {
		fmt.Fprintf(os.Stderr, "  account %q capacity %d counted %d ended %d assumed %d reported %d unbalanced %v targets %v\n", n,
			a.capacity, a.counted, a.ended, a.assumedLent, a.reported, l.unbalanced[n], a.targets)
		for c, ln := range a.loans {
			fmt.Fprintf(os.Stderr, "     %s %+v granted %d inherited %d expired %v no record %v report complete %v\n",
				c, ln.AccountReport, ln.granted, ln.inherited, l.children[c].expired, l.children[c].noRecord, l.children[c].reportComplete)
		}
	}
}
