package budget

// Ask is a holder's request for a share of the pool, and its renewal.
type Ask struct {
	Peer   string // the dispatcher's name, the same after a restart
	Epoch  uint64 // new with each start of the holder, so that answers to an earlier life are not believed
	Seq    uint64 // of this ask in its epoch, rising
	Wanted int    // units it would use; the keeper gives no more
}

// Grant is the keeper's answer to one ask: Units of the pool until the lease ends. It repeats the
// ask's Epoch and Seq, by which the holder knows when it sent the ask.
type Grant struct {
	Peer       string
	Epoch, Seq uint64
	Units      int
	Total      int // the total of the keeper's plan: a holder on another plan does not believe it
}

// grantRecord is one grant as the keeper counts it: units until a time of its own clock.
type grantRecord struct {
	units int
	until Time
}

// maxGrantsPerPeer bounds what is kept of one peer's grants that have not ended. A peer that asks for
// ever less faster than its leases end gets the last amount again rather than a further entry.
const maxGrantsPerPeer = 8

// Keeper lends the pool of one budget under leases. It is the only authority of the pool, named
// by the settings, never elected: two keepers would lend the same units. Memory is bounded by
// Plan.Most peers of mostGrants grants each; asks from further peers are given nothing.
type Keeper struct {
	plan       Plan
	history    planHistory
	quietUntil Time                     // lends nothing before this: its earlier life's leases may stand
	grants     map[string][]grantRecord // grants not yet ended, units falling as their ends rise
}

// NewKeeper starts a keeper at now of its own clock. It lends nothing for Plan.Quiet.
func NewKeeper(p Plan, now Time) (*Keeper, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	return &Keeper{plan: p, quietUntil: now.Add(p.QuietPeriod()), grants: map[string][]grantRecord{}}, nil
}

// unitsInUse is what a peer may be using: the most of its grants that have not ended.
func unitsInUse(grants []grantRecord, now Time) int {
	most := 0
	for _, g := range grants {
		if g.until > now {
			most = max(most, g.units)
		}
	}
	return most
}

// prune forgets grants that have ended, and peers with none left, and says what the peers other
// than one may be using: one pass over the table for each ask.
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

// HandleAsk answers an ask at now of the keeper's clock. The asker gets at most its fair part of the
// pool among the peers that hold a lease, and no more than is free beside what the others hold:
// a newcomer takes only from free or ended shares. What a peer held before stays counted until
// that lease ends, since it may still be used on the strength of an answer on its way.
func (k *Keeper) HandleAsk(now Time, a Ask) Grant {
	g := Grant{Peer: a.Peer, Epoch: a.Epoch, Seq: a.Seq, Total: k.plan.Total}
	others := k.prune(now, a.Peer)
	mine, known := k.grants[a.Peer]
	if now < k.quietUntil || !known && len(k.grants) >= k.plan.MaxDispatchers || a.Wanted <= 0 {
		return g
	}
	n := len(k.grants)
	if !known {
		n++
	}
	pool := k.history.pool(k.plan)
	units := min(a.Wanted, pool/n, pool-others)
	if len(mine) >= maxGrantsPerPeer && units < mine[len(mine)-1].units {
		units = mine[len(mine)-1].units // no further entry: the last amount again
	}
	units = max(units, 0)
	kept := mine[:0]
	for _, old := range mine { // a longer grant of as many units covers an earlier one
		if old.units > units {
			kept = append(kept, old)
		}
	}
	k.grants[a.Peer] = append(kept, grantRecord{units, now.Add(k.plan.Lease)})
	g.Units = units
	return g
}

// Lent is what all peers may be using at now: never more than the pool.
func (k *Keeper) Lent(now Time) int {
	sum := 0
	for _, grants := range k.grants {
		sum += unitsInUse(grants, now)
	}
	return sum
}

// Replan puts a changed plan in force, from a reload. Grants already made stay counted until they
// end, so a smaller pool is lent out only as far as what they leave; the quiet time is not begun
// again, since the keeper still knows what it lent. Of units that the change moves from the reserves
// to the pool nothing is lent before the keeper's next start: a dispatcher that has not read the plan
// spends its old reserve still.
func (k *Keeper) Replan(p Plan) error {
	if err := p.Check(); err != nil {
		return err
	}
	if p != k.plan {
		k.history, k.plan = k.history.add(k.plan), p
	}
	return nil
}
