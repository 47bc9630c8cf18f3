package quota

// Desk says which reqs of one dispatcher begin.
type Desk struct{}

// NewDesk makes a desk at which no account has a quota.
func NewDesk() *Desk { return &Desk{} }

// SetQuotas puts in force which accounts have a quota; Urgent among them where there is a reserve.
func (d *Desk) SetQuotas(now Time, accounts []string) {}

// Take asks room for a req: true, and it begins now; false, and it waits, until at most.
func (d *Desk) Take(now Time, id uint64, account string, urgent bool, until Time) (begins bool) {
	return true
}

// Leave tells that a req is over, or gone while it waited. One that is not known is no error.
func (d *Desk) Leave(id uint64) {}

// Turn says which of those waiting begin now, by the units that units tells, and which are out of patience: those are
// forgotten.
func (d *Desk) Turn(now Time, units func(account string) int) (begin, refuse []uint64) {
	return nil, nil
}

// Needs tells what is used and wanted of each account that has a quota, and once of each that lost it.
func (d *Desk) Needs(tell func(account string, used, want int)) {}

// Next is when the patience of a waiting req is over first; Never for none.
func (d *Desk) Next() Time { return Never }
