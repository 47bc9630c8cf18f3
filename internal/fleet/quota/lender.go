package quota

// Lender lends units to its children: the root to regions, a region to dispatchers.
type Lender struct{}

// NewLender starts a life of a lender, which knows nothing of what earlier lives lent. life is not 0 and differs from
// that of each earlier life.
func NewLender(p Plan, life uint64, now Time, o Options) (*Lender, error) {
	return &Lender{}, p.Check()
}

// Capacity sets what may be lent of an account.
func (l *Lender) Capacity(now Time, account string, units int) {}

// Cover sets until when this lender may itself begin, where it lends what a parent lent it; Never for the root.
func (l *Lender) Cover(until Time) {}

// Inherit tells what earlier lives of a middle lender may have lent.
func (l *Lender) Inherit(now Time, shares []Share) {}

// Take answers an ask; false: nothing is to be sent.
func (l *Lender) Take(now Time, a Ask) (Answer, bool) { return Answer{}, false }

// Nudges are the children that should ask now, once each.
func (l *Lender) Nudges() []string { return nil }

// Want is what the children use and want of an account, by their asks.
func (l *Lender) Want(account string) (used, want int) { return 0, 0 }

// Accounts are those that the lender knows, in order.
func (l *Lender) Accounts() []string { return nil }

// Tick lets time pass: leases end.
func (l *Lender) Tick(now Time) {}

// Next is when Tick has something to do.
func (l *Lender) Next() Time { return Never }

// Lent is what may be in use of an account: what children hold or use, and what ended or earlier lives may.
func (l *Lender) Lent(now Time, account string) int { return 0 }

// Notes hands out what is to be logged.
func (l *Lender) Notes() []Note { return nil }
