package quota

import (
	"container/heap"
	"container/list"
)

// Limiter decides which requests of one dispatcher start. Within an account urgent requests go first, and otherwise the
// oldest first. It counts the requests in flight of all accounts, also of those without a quota, which may get one later.
type Limiter struct {
	quotas          map[string]bool
	reqs            map[uint64]*req
	queues          map[string]*accountQueue
	urgent          *list.List // waiting urgent requests of all accounts, oldest first
	waiting         deadlineHeap
	waitingAccounts map[string]bool // accounts with waiting requests
	reported        map[string]bool // accounts whose usage was reported and must be reported as 0 once they lose their quota
	changed         map[string]bool // accounts whose usage may have changed since it was reported
}

// accountQueue is the requests of one account.
type accountQueue struct {
	used          int        // units in use
	urgent, other *list.List // waiting *req, oldest first
}

// req is a request that waits or is in flight.
type req struct {
	id                  uint64
	account             string
	urgent              bool
	deadline            Time
	charged             string // the account of its unit, once it has started
	started             bool
	inAccount, inUrgent *list.Element // its elements in the lists of accountQueue and in Limiter.urgent
	heapIndex           int           // its index in Limiter.waiting
}

// NewLimiter creates a limiter for which no account has a quota.
func NewLimiter() *Limiter {
	return &Limiter{quotas: map[string]bool{}, reqs: map[uint64]*req{}, queues: map[string]*accountQueue{}, urgent: list.New(),
		waitingAccounts: map[string]bool{}, reported: map[string]bool{}, changed: map[string]bool{}}
}

// SetQuotas sets which accounts have a quota; ReserveAccount is one of them if there is an urgent reserve. When an account
// gets a quota, its requests in flight count as used units. When it loses its quota, its waiting requests start at the next
// call of Admit.
func (l *Limiter) SetQuotas(now Time, accounts []string) {
	clear(l.quotas)
	for _, a := range accounts {
		l.quotas[a] = true
		l.changed[a] = true
	}
	for a := range l.reported {
		l.changed[a] = true
	}
}

// queue returns the requests of an account, and adds the account if it is new.
func (l *Limiter) queue(account string) *accountQueue {
	q := l.queues[account]
	if q == nil {
		q = &accountQueue{urgent: list.New(), other: list.New()}
		l.queues[account] = q
	}
	return q
}

// Acquire asks for a unit for a request with a unique id. It returns true if the request may start at once because its
// account has no quota. Otherwise the request waits for Admit to start it, at most until the given time.
func (l *Limiter) Acquire(now Time, id uint64, account string, urgent bool, until Time) (starts bool) {
	if account == ReserveAccount { // a request without an account has no quota; the empty name is the reserve's
		return true
	}
	if l.reqs[id] != nil {
		return false
	}
	r := &req{id: id, account: account, urgent: urgent, deadline: until}
	l.reqs[id] = r
	if !l.quotas[account] {
		l.start(r, account)
		return true
	}
	q := l.queue(account)
	l.waitingAccounts[account] = true
	if l.changed[account] = true; !urgent {
		r.inAccount = q.other.PushBack(r)
	} else {
		r.inAccount, r.inUrgent = q.urgent.PushBack(r), l.urgent.PushBack(r)
		l.changed[ReserveAccount] = true
	}
	heap.Push(&l.waiting, r)
	return false
}

// start records that a request starts with a unit of the account charged.
func (l *Limiter) start(r *req, charged string) {
	r.started, r.charged = true, charged
	l.queue(charged).used++
	l.changed[charged] = true
}

// dequeue removes a request from all lists of waiting requests.
func (l *Limiter) dequeue(r *req) {
	q := l.queue(r.account)
	if l.changed[r.account] = true; r.urgent {
		q.urgent.Remove(r.inAccount)
		l.urgent.Remove(r.inUrgent)
		l.changed[ReserveAccount] = true
	} else {
		q.other.Remove(r.inAccount)
	}
	heap.Remove(&l.waiting, r.heapIndex)
	if q.urgent.Len()+q.other.Len() == 0 {
		delete(l.waitingAccounts, r.account)
	}
}

// Release reports that a request has ended, or that it no longer waits. An unknown id is ignored.
func (l *Limiter) Release(id uint64) {
	r := l.reqs[id]
	if r == nil {
		return
	}
	if delete(l.reqs, id); r.started {
		l.queue(r.charged).used--
		l.changed[r.charged] = true
		l.dropIfEmpty(r.charged)
		return
	}
	l.dequeue(r)
	l.dropIfEmpty(r.account)
}

// dropIfEmpty forgets an account without requests.
func (l *Limiter) dropIfEmpty(account string) {
	if q := l.queues[account]; q != nil && q.used == 0 && q.urgent.Len()+q.other.Len() == 0 {
		delete(l.queues, account)
	}
}

// Admit returns the waiting requests that start now, limited by the units that the callback returns for an account, and
// those whose deadline has passed. The latter are forgotten and were never started. An urgent request takes a unit of its
// own account if there is one, otherwise one of the reserve.
func (l *Limiter) Admit(now Time, units func(account string) int) (started, expired []uint64) {
	for len(l.waiting) > 0 && l.waiting[0].deadline <= now {
		r := l.waiting[0]
		l.dequeue(r)
		delete(l.reqs, r.id)
		l.dropIfEmpty(r.account)
		expired = append(expired, r.id)
	}
	start := func(r *req, charged string) {
		l.dequeue(r)
		l.start(r, charged)
		l.dropIfEmpty(r.account)
		started = append(started, r.id)
	}
	for _, account := range sortedKeys(l.waitingAccounts) {
		q, free := l.queues[account], MaxUnits
		if l.quotas[account] {
			free = units(account) - l.queues[account].used
		}
		for ; free > 0 && q.urgent.Len()+q.other.Len() > 0; free-- {
			first := q.urgent.Front()
			if first == nil {
				first = q.other.Front()
			}
			start(first.Value.(*req), account)
		}
	}
	if l.quotas[ReserveAccount] && l.urgent.Len() > 0 {
		for free := units(ReserveAccount) - l.used(ReserveAccount); free > 0 && l.urgent.Len() > 0; free-- {
			start(l.urgent.Front().Value.(*req), ReserveAccount)
		}
	}
	return started, expired
}

// used returns the units of an account in use.
func (l *Limiter) used(account string) int {
	if q := l.queues[account]; q != nil {
		return q.used
	}
	return 0
}

// TakeUsageChanges reports the used units and the demand of each account with a quota for which they may have changed since
// the last call. An account that lost its quota is reported once with 0 and 0; a removed reserve is reported so only when
// no request uses it any more. The demand for the reserve includes one unit in advance.
func (l *Limiter) TakeUsageChanges(report func(account string, used, demand int)) {
	for account := range l.changed {
		delete(l.changed, account)
		if !l.quotas[account] {
			if used := l.used(account); account == ReserveAccount && used > 0 { // still counted if the reserve is set again
				l.reported[account] = true
				report(account, used, used)
			} else if l.reported[account] {
				delete(l.reported, account)
				report(account, 0, 0)
			}
			continue
		}
		l.reported[account] = true
		used := l.used(account)
		demand := used
		if q := l.queues[account]; q != nil {
			demand += q.urgent.Len() + q.other.Len()
		}
		if account == ReserveAccount {
			demand = used + l.urgent.Len() + 1
		}
		report(account, used, demand)
	}
}

// ChargedAccount returns the account whose unit a request in flight uses: its own or ReserveAccount. ok is false if the
// request is not in flight.
func (l *Limiter) ChargedAccount(id uint64) (account string, ok bool) {
	r := l.reqs[id]
	if r == nil || !r.started {
		return "", false
	}
	return r.charged, true
}

// NextTimeout returns the earliest deadline of a waiting request, or Never if none waits.
func (l *Limiter) NextTimeout() Time {
	if len(l.waiting) == 0 {
		return Never
	}
	return l.waiting[0].deadline
}

// deadlineHeap is the waiting requests, earliest deadline first.
type deadlineHeap []*req

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	x.(*req).heapIndex = len(*h)
	*h = append(*h, x.(*req))
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
