package quota

import (
	"container/heap"
	"container/list"
)

// Limiter says which reqs of one dispatcher begin: of an account first in, first out, urgent ones first. It counts what is
// in flight of all accounts, also of those without a quota, which may gain one.
type Limiter struct {
	quotas          map[string]bool
	reqs            map[uint64]*req
	queues          map[string]*accountQueue
	urgent          *list.List // urgent reqs that wait, of all accounts, oldest first
	waiting         deadlineHeap
	waitingAccounts map[string]bool // accounts of which some wait
	reported        map[string]bool // accounts whose needs were told and may have to be taken back
	changed         map[string]bool
}

// accountQueue is one account at the desk.
type accountQueue struct {
	used          int
	urgent, other *list.List // *req that wait
}

// req is one that waits or is in flight.
type req struct {
	id                  uint64
	account             string
	urgent              bool
	deadline            Time
	charged             string // the account of its unit, once it began
	started             bool
	inAccount, inUrgent *list.Element // its places in tab's list and in Desk.urgent
	heapIndex           int           // its place in waiting
}

// NewLimiter makes a desk at which no account has a quota.
func NewLimiter() *Limiter {
	return &Limiter{quotas: map[string]bool{}, reqs: map[uint64]*req{}, queues: map[string]*accountQueue{}, urgent: list.New(),
		waitingAccounts: map[string]bool{}, reported: map[string]bool{}, changed: map[string]bool{}}
}

// SetQuotas puts in force which accounts have a quota; Urgent among them where there is a reserve. What is in flight of an
// account that gains one counts as used. What waits of one that loses its quota begins at the next Turn.
func (d *Limiter) SetQuotas(now Time, accounts []string) {
	clear(d.quotas)
	for _, a := range accounts {
		d.quotas[a] = true
		d.changed[a] = true
	}
	for a := range d.reported {
		d.changed[a] = true
	}
}

func (d *Limiter) queue(account string) *accountQueue {
	t := d.queues[account]
	if t == nil {
		t = &accountQueue{urgent: list.New(), other: list.New()}
		d.queues[account] = t
	}
	return t
}

// Acquire asks room for a req whose id no other has: true, and it begins now, since its account has no quota; false, and it
// waits until at most the time given. The next Turn may begin it.
func (d *Limiter) Acquire(now Time, id uint64, account string, urgent bool, until Time) (begins bool) {
	if account == ReserveAccount { // reqs that name no account have no quota: this name is the reserve's
		return true
	}
	if d.reqs[id] != nil {
		return false
	}
	r := &req{id: id, account: account, urgent: urgent, deadline: until}
	d.reqs[id] = r
	if !d.quotas[account] {
		d.start(r, account)
		return true
	}
	t := d.queue(account)
	d.waitingAccounts[account] = true
	if d.changed[account] = true; !urgent {
		r.inAccount = t.other.PushBack(r)
	} else {
		r.inAccount, r.inUrgent = t.urgent.PushBack(r), d.urgent.PushBack(r)
		d.changed[ReserveAccount] = true
	}
	heap.Push(&d.waiting, r)
	return false
}

func (d *Limiter) start(r *req, charged string) {
	r.started, r.charged = true, charged
	d.queue(charged).used++
	d.changed[charged] = true
}

// dequeue takes a req out of all that wait.
func (d *Limiter) dequeue(r *req) {
	t := d.queue(r.account)
	if d.changed[r.account] = true; r.urgent {
		t.urgent.Remove(r.inAccount)
		d.urgent.Remove(r.inUrgent)
		d.changed[ReserveAccount] = true
	} else {
		t.other.Remove(r.inAccount)
	}
	heap.Remove(&d.waiting, r.heapIndex)
	if t.urgent.Len()+t.other.Len() == 0 {
		delete(d.waitingAccounts, r.account)
	}
}

// Release tells that a req is over, or gone while it waited. One that is not known is no error.
func (d *Limiter) Release(id uint64) {
	r := d.reqs[id]
	if r == nil {
		return
	}
	if delete(d.reqs, id); r.started {
		d.queue(r.charged).used--
		d.changed[r.charged] = true
		d.dropIfEmpty(r.charged)
		return
	}
	d.dequeue(r)
	d.dropIfEmpty(r.account)
}

func (d *Limiter) dropIfEmpty(account string) {
	if t := d.queues[account]; t != nil && t.used == 0 && t.urgent.Len()+t.other.Len() == 0 {
		delete(d.queues, account)
	}
}

// Admit says which of those waiting begin now, by the units that units tells, and which are out of patience: those are
// forgotten, nothing of them was begun. An urgent one takes a unit of its own account first, then one of the reserve.
func (d *Limiter) Admit(now Time, units func(account string) int) (begin, refuse []uint64) {
	for len(d.waiting) > 0 && d.waiting[0].deadline <= now {
		r := d.waiting[0]
		d.dequeue(r)
		delete(d.reqs, r.id)
		d.dropIfEmpty(r.account)
		refuse = append(refuse, r.id)
	}
	start := func(r *req, charged string) {
		d.dequeue(r)
		d.start(r, charged)
		d.dropIfEmpty(r.account)
		begin = append(begin, r.id)
	}
	for _, account := range sortedKeys(d.waitingAccounts) {
		t, room := d.queues[account], MaxUnits
		if d.quotas[account] {
			room = units(account) - d.queues[account].used
		}
		for ; room > 0 && t.urgent.Len()+t.other.Len() > 0; room-- {
			first := t.urgent.Front()
			if first == nil {
				first = t.other.Front()
			}
			start(first.Value.(*req), account)
		}
	}
	if d.quotas[ReserveAccount] && d.urgent.Len() > 0 {
		for room := units(ReserveAccount) - d.used(ReserveAccount); room > 0 && d.urgent.Len() > 0; room-- {
			start(d.urgent.Front().Value.(*req), ReserveAccount)
		}
	}
	return begin, refuse
}

func (d *Limiter) used(account string) int {
	if t := d.queues[account]; t != nil {
		return t.used
	}
	return 0
}

// TakeUsageChanges tells what is used and wanted of each account with a quota of which that may have changed since it was told
// last, and once 0 and 0 of each that lost its quota; of a reserve that is no more, once nothing runs by it. Of the reserve one unit is wanted ahead of need.
func (d *Limiter) TakeUsageChanges(tell func(account string, used, want int)) {
	for account := range d.changed {
		delete(d.changed, account)
		if !d.quotas[account] {
			if used := d.used(account); account == ReserveAccount && used > 0 { // a reserve that comes back finds them counted
				d.reported[account] = true
				tell(account, used, used)
			} else if d.reported[account] {
				delete(d.reported, account)
				tell(account, 0, 0)
			}
			continue
		}
		d.reported[account] = true
		used := d.used(account)
		want := used
		if t := d.queues[account]; t != nil {
			want += t.urgent.Len() + t.other.Len()
		}
		if account == ReserveAccount {
			want = used + d.urgent.Len() + 1
		}
		tell(account, used, want)
	}
}

// ChargedAccount is the account whose unit a req in flight has: its own, or Urgent; false where it has none.
func (d *Limiter) ChargedAccount(id uint64) (account string, ok bool) {
	r := d.reqs[id]
	if r == nil || !r.started {
		return "", false
	}
	return r.charged, true
}

// NextTimeout is when the patience of a waiting req is over first; Never for none.
func (d *Limiter) NextTimeout() Time {
	if len(d.waiting) == 0 {
		return Never
	}
	return d.waiting[0].deadline
}

// deadlineHeap is the reqs that wait, the first to be refused first.
type deadlineHeap []*req

func (p deadlineHeap) Len() int           { return len(p) }
func (p deadlineHeap) Less(i, j int) bool { return p[i].deadline < p[j].deadline }
func (p deadlineHeap) Swap(i, j int) {
	p[i], p[j] = p[j], p[i]
	p[i].heapIndex, p[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (p *deadlineHeap) Push(x any) {
	x.(*req).heapIndex = len(*p)
	*p = append(*p, x.(*req))
}

// Pop implements heap.Interface.
func (p *deadlineHeap) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}
