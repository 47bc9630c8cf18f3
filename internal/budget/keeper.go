package budget

// LeaseRequest is a holder's message to the keeper that requests or renews a share of the pool.
type LeaseRequest struct {
	Peer   string // the dispatcher's name, the same after a restart
	Epoch  uint64 // new with each start of the holder, so that it ignores grants for an earlier incarnation
	Seq    uint64 // increases with each request of the epoch
	Wanted int    // units that the holder would use; the keeper grants no more
}

// Grant is the keeper's reply to one lease request: it lends Units of the pool until the lease ends. It repeats the
// request's Epoch and Seq, by which the holder finds the time at which it sent the request.
type Grant struct {
	Peer       string
	Epoch, Seq uint64
	Units      int
	Total      int // the total of the keeper's plan; a holder whose plan has another total ignores the grant
}

// grantRecord is a grant as the keeper counts it.
type grantRecord struct {
	units int
	until Time // end of the lease by the keeper's clock
}

// maxGrantsPerPeer limits the records of one peer's grants that have not ended. A peer may request less each time,
// faster than its leases end. At the limit it is granted the last amount again instead of a smaller one, so that no
// further record is needed.
const maxGrantsPerPeer = 8

// Keeper lends the pool of one budget under leases. There must be only one keeper of a budget at a time, since two
// would lend the same units. This package does not elect it: the settings name it, or it runs at the accord's leader.
// Memory is bounded: at most Plan.MaxDispatchers peers with maxGrantsPerPeer records each; requests from further
// peers are granted nothing. Not safe for concurrent use.
type Keeper struct {
	plan       Plan
	history    planHistory
	quietUntil Time                     // nothing is lent before: leases of an earlier process may still be in use
	grants     map[string][]grantRecord // by peer, those that have not ended, in the order of their ends; a later one has fewer units
}

// NewKeeper starts a keeper. now is a reading of the keeper's clock. It lends nothing for Plan.QuietPeriod.
func NewKeeper(p Plan, now Time) (*Keeper, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	return &Keeper{plan: p, quietUntil: now.Add(p.QuietPeriod()), grants: map[string][]grantRecord{}}, nil
}

// unitsInUse returns what a peer may be using: the maximum of its grants that have not ended.
func unitsInUse(grants []grantRecord, now Time) int {
	units := 0
	for _, g := range grants {
		if g.until > now {
			units = max(units, g.units)
		}
	}
	return units
}

// prune removes the grants that have ended and the peers that have none left. It returns how many units the peers
// other than except may be using. One function does both, so that each lease request needs only one pass over the
// table.
func (k *Keeper) prune(now Time, except string) (others int) {
	for peer, grants := range k.grants {
		kept := grants[:0]
		for _, g := range grants {
			if g.until > now {
				kept = append(kept, g)
			}
		}
		switch {
		case len(kept) == 0:
			delete(k.grants, peer)
		case peer != except:
			others += unitsInUse(kept, now)
			fallthrough
		default:
			k.grants[peer] = kept
		}
	}
	return others
}

// Handle returns the grant for a lease request. now is a reading of the keeper's clock. The peer gets at most an
// equal share of the pool among the peers that hold a lease, and no more than the others leave free: a new peer gets
// only units that are free or whose lease has ended. What a peer was granted before stays counted until that lease
// ends: the peer may still use it, because of a grant that is yet to arrive.
func (k *Keeper) Handle(now Time, r LeaseRequest) Grant {
	g := Grant{Peer: r.Peer, Epoch: r.Epoch, Seq: r.Seq, Total: k.plan.Total}
	others := k.prune(now, r.Peer)
	own, known := k.grants[r.Peer]
	if now < k.quietUntil || !known && len(k.grants) >= k.plan.MaxDispatchers || r.Wanted <= 0 {
		return g
	}
	n := len(k.grants)
	if !known {
		n++
	}
	pool := k.history.pool(k.plan)
	units := min(r.Wanted, pool/n, pool-others)
	if len(own) >= maxGrantsPerPeer && units < own[len(own)-1].units {
		units = own[len(own)-1].units // as no further record may be added
	}
	units = max(units, 0)
	kept := own[:0]
	for _, old := range own { // the new grant ends last: it replaces those of as many units or fewer
		if old.units > units {
			kept = append(kept, old)
		}
	}
	k.grants[r.Peer] = append(kept, grantRecord{units, now.Add(k.plan.Lease)})
	g.Units = units
	return g
}

// Lent returns how many units all peers together may be using now.
func (k *Keeper) Lent(now Time) int {
	sum := 0
	for _, grants := range k.grants {
		sum += unitsInUse(grants, now)
	}
	return sum
}

// Replan puts a changed plan in force after a reload. Earlier grants stay counted until they end, so that of a
// smaller pool only what they leave free is lent. There is no new quiet period, since the keeper knows what it has
// lent. Units that the change moves from the reserves to the pool are not lent before the keeper's next start,
// because a dispatcher that has not applied the plan yet still spends its old reserve.
func (k *Keeper) Replan(p Plan) error {
	if err := p.Check(); err != nil {
		return err
	}
	if p != k.plan {
		k.history, k.plan = k.history.add(k.plan), p
	}
	return nil
}
