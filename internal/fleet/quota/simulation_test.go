package quota

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simulation is a root that moves, regions and dispatchers, each with a clock of its own within the drift, on links that lose,
// double, delay and cut; reqs come to the dispatchers and run at backends that know nothing of units. Real time is the
// simulation's alone.
type simulation struct {
	setup       setup
	rand        *rand.Rand
	now         time.Duration
	pending     eventHeap
	lastSeq     uint64
	term        uint64
	root        *rootNode // nil between two leaders
	regions     []*regionNode
	dispatchers []*dispatcherNode
	incarnation uint64
	quotas      map[string]int
	reserve     int
	lastID      uint64
	oracle      *oracle
	sent        int // messages
	messages    map[string]int
	verbose     func(string, ...any)
	leastUse    float64 // the least part of a quota in use after the faults
	queueDepth  int     // reqs that wait of an account where it is crowded; 0: two more than its quota
	saturated   bool    // more reqs than units wait everywhere, and all run as long as they may
}

type setup struct {
	up, down      LeaseConfig
	quotas        map[string]int
	reserve       int
	regions       int
	dispatchers   int
	seed          uint64
	exactClocks   bool          // clocks run true
	nearDelay     time.Duration // one way between a dispatcher and its region's lender, at most
	farDelay      time.Duration // between regions
	fixedDelay    bool          // each message takes the most, none is lost
	lossRate      float64       // part of the messages lost
	duplicateRate float64
	lateRate      float64 // part that takes up to late
	maxLate       time.Duration
	defect        defects
	tick          time.Duration // 0: 20 ms
	firstRoot     bool          // the root knows that it is the first
}

// defects is a fault put into the world on purpose.
type defects struct {
	acceptOldResponses, useWholeLease, ignoreRunning, skipRecovery, twoLenders bool
}

type clock struct {
	rate   float64
	offset int64
}

func (c clock) at(real time.Duration) Time { return Time(c.offset + int64(float64(real)*c.rate)) }

type rootNode struct {
	lender *Lender
	term   uint64
	clock
}

type regionNode struct {
	name   string
	lender *RegionLender
	clock
	cut      bool // from the root
	stalled  bool
	inbox    []event
	replaced *regionNode // with flaw.twoLives: the life before, still there
}

type dispatcherNode struct {
	name    string
	region  int
	holder  *Holder
	limiter *Limiter
	clock
	cut          bool
	stalled      bool
	draining     bool
	inbox        []event
	unanswered   map[uint64]string // the far side's: reqs with no verdict yet
	unansweredOf map[string]int    // of them, by account
}

type event struct {
	at   time.Duration
	seq  uint64
	from string
	to   string
	do   func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimulation(s setup) *simulation {
	sim := &simulation{setup: s, rand: rand.New(rand.NewPCG(s.seed, 1)), quotas: map[string]int{}, reserve: s.reserve,
		incarnation: 100, leastUse: 1, messages: map[string]int{}, verbose: func(string, ...any) {}}
	sim.oracle = newOracle(sim)
	for a, q := range s.quotas {
		sim.quotas[a] = q
		sim.oracle.setQuota(a, q)
	}
	for i := range s.regions {
		sim.regions = append(sim.regions, &regionNode{name: fmt.Sprintf("r%d", i)})
		sim.startRegionLender(i)
	}
	for i := range s.dispatchers {
		sim.dispatchers = append(sim.dispatchers, &dispatcherNode{name: fmt.Sprintf("d%02d", i), region: i % s.regions})
		sim.startDispatcher(i)
	}
	sim.electRoot(s.firstRoot)
	return sim
}

func (sim *simulation) clock(drift float64) clock {
	c := clock{rate: 1 + drift*float64(sim.rand.IntN(3)-1), offset: sim.rand.Int64N(2e12) - 1e12}
	if sim.setup.exactClocks {
		c.rate = 1
	} else if sim.rand.IntN(3) == 0 {
		c.rate = 1 + drift*(2*sim.rand.Float64()-1)
	}
	return c
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// accounts that have a quota, and the reserve.
func (sim *simulation) accounts() (out []string) {
	for a := range sim.quotas {
		out = append(out, a)
	}
	if sim.reserve > 0 {
		out = append(out, ReserveAccount)
	}
	return out
}

// electRoot makes a new leader, who knows the quotas that were in force of late from the log.
func (sim *simulation) electRoot(first bool) {
	sim.term++
	n := &rootNode{term: sim.term, clock: sim.clock(sim.setup.up.Drift)}
	var known []string
	for _, r := range sim.regions {
		known = append(known, r.name)
	}
	p := sim.setup.up
	if sim.setup.defect.ignoreRunning {
		p.MaxRunTime = 0
	}
	var err error
	n.lender, err = NewLender(p, sim.term, n.at(sim.now), LenderOptions{Preallocate: true, Children: known, SkipRecovery: first || sim.setup.defect.skipRecovery})
	must(err)
	for a := range sim.setup.quotas {
		n.lender.AssumeLent(n.at(sim.now), []Allocation{{a, sim.oracle.largestQuota(a, sim.now, sim.oracle.effectiveWithin())}})
		n.lender.SetCapacity(n.at(sim.now), a, sim.quotas[a])
	}
	sim.root = n
	for _, r := range sim.regions {
		if sim.setup.fixedDelay || sim.rand.IntN(2) == 0 { // a link to the new leader is seen to be new
			r.lender.HandleReconnect()
		}
	}
}

func (sim *simulation) startRegionLender(i int) {
	r := sim.regions[i]
	sim.incarnation++
	if sim.setup.defect.twoLenders && r.lender != nil {
		old := *r
		old.replaced = nil
		r.replaced = &old
	}
	r.clock, r.inbox, r.stalled = sim.clock(sim.setup.up.Drift), nil, false
	down := sim.setup.down
	if sim.setup.defect.ignoreRunning {
		down.MaxRunTime = 0
	}
	var err error
	up := sim.setup.up
	if sim.setup.defect.useWholeLease {
		up.Drift = 0
	}
	r.lender, err = NewRegionLender(up, down, r.name, sim.incarnation, r.at(sim.now))
	must(err)
	if sim.setup.defect.skipRecovery || sim.setup.firstRoot && sim.now == 0 {
		r.lender.SkipRecovery(r.at(sim.now))
	}
	r.lender.SetReserve(r.at(sim.now), sim.reserve)
}

func (sim *simulation) startDispatcher(i int) {
	n := sim.dispatchers[i]
	sim.incarnation++
	n.clock, n.inbox, n.stalled, n.draining = sim.clock(sim.setup.down.Drift), nil, false, false
	p := sim.setup.down
	if sim.setup.defect.useWholeLease {
		p.Drift = 0
	}
	var err error
	n.holder, err = NewHolder(p, n.name, sim.incarnation, false)
	must(err)
	n.limiter, n.unanswered, n.unansweredOf = NewLimiter(), map[uint64]string{}, map[string]int{}
	n.limiter.SetQuotas(n.at(sim.now), sim.accounts())
}

// nodeKind is d for a dispatcher, r for a region and R for the root.
func nodeKind(node string) string {
	if node == "root" {
		return "R"
	}
	return node[:1]
}

// send sends something that happens at the far end.
func (sim *simulation) send(from, to string, most time.Duration, do func()) {
	sim.sent++
	sim.messages[nodeKind(from)+nodeKind(to)]++
	s := sim.setup
	if !s.fixedDelay && sim.rand.Float64() < s.lossRate {
		return
	}
	times := 1
	if !s.fixedDelay && sim.rand.Float64() < s.duplicateRate {
		times = 2
	}
	for range times {
		delay := most
		if !s.fixedDelay {
			if delay = time.Duration(sim.rand.Int64N(int64(most) + 1)); sim.rand.Float64() < s.lateRate {
				delay = time.Duration(sim.rand.Int64N(int64(s.maxLate) + 1))
			}
		}
		sim.schedule(delay, from, to, do)
	}
}

func (sim *simulation) schedule(d time.Duration, from, to string, do func()) {
	sim.lastSeq++
	heap.Push(&sim.pending, event{sim.now + d, sim.lastSeq, from, to, do})
}

// advance lets time pass; every node has its turn at least each tick.
func (sim *simulation) advance(d time.Duration) {
	tick := cmp.Or(sim.setup.tick, 20*time.Millisecond)
	end := sim.now + d
	for sim.now < end {
		next := min(end, (sim.now/tick+1)*tick)
		for len(sim.pending) > 0 && sim.pending[0].at <= next {
			e := heap.Pop(&sim.pending).(event)
			sim.now = max(sim.now, e.at)
			e.do()
		}
		sim.now = next
		sim.tick()
	}
}

func (sim *simulation) tick() {
	sim.oracle.check(sim.now)
	if sim.saturated {
		sim.saturate()
	}
	if sim.root != nil {
		sim.root.lender.Tick(sim.root.at(sim.now))
		sim.sendRootPolls()
	}
	for i, r := range sim.regions {
		if r.lender.NextTick() <= r.at(sim.now) {
			sim.stepRegion(i, r)
		}
		if r.replaced != nil {
			sim.stepRegion(i, r.replaced)
		}
	}
	for _, n := range sim.dispatchers {
		if !n.stalled && (n.holder.NextRequestTime() <= n.at(sim.now) || n.limiter.NextTimeout() <= n.at(sim.now)) {
			sim.stepDispatcher(n)
		}
	}
}

func (sim *simulation) sendRootPolls() {
	for _, name := range sim.root.lender.TakePolls() {
		i := slices.IndexFunc(sim.regions, func(r *regionNode) bool { return r.name == name })
		if r := sim.regions[i]; !r.cut {
			sim.send("root", r.name, sim.setup.farDelay, func() {
				sim.deliverToRegion(i, func(r *regionNode) { r.lender.HandlePoll() })
			})
		}
	}
	sim.root.lender.TakeEvents()
}

// deliverToRegion hands something to a region's lender, now or when it wakes.
func (sim *simulation) deliverToRegion(i int, do func(*regionNode)) {
	r := sim.regions[i]
	if r.stalled {
		r.inbox = append(r.inbox, event{do: func() { do(r) }})
		return
	}
	do(r)
	sim.stepRegion(i, r)
	if r.replaced != nil {
		do(r.replaced)
		sim.stepRegion(i, r.replaced)
	}
}

func (sim *simulation) stepRegion(i int, r *regionNode) {
	if r.stalled || r.lender == nil {
		return
	}
	now := r.at(sim.now)
	r.lender.Tick(now)
	if a, due := r.lender.NextRequest(now); due && !r.cut {
		sim.send(r.name, "root", sim.setup.farDelay, func() { sim.handleAtRoot(i, r, a) })
	}
	for _, name := range r.lender.TakePolls() {
		for _, n := range sim.dispatchers {
			if n.name == name && !n.cut {
				sim.send(r.name, name, sim.setup.nearDelay, func() {
					sim.deliverToDispatcher(n, func() { n.holder.HandlePoll() })
				})
			}
		}
	}
	r.lender.TakeEvents()
}

// handleAtRoot is an ask at whoever leads then; what it says is sent once a majority has confirmed that it leads still.
func (sim *simulation) handleAtRoot(i int, from *regionNode, a LeaseRequest) {
	root := sim.root
	if root == nil {
		return
	}
	answer, ok := root.lender.Handle(root.at(sim.now), a)
	sim.sendRootPolls()
	if !ok {
		return
	}
	confirm := sim.setup.farDelay * 2
	if !sim.setup.fixedDelay {
		confirm = time.Duration(sim.rand.Int64N(int64(confirm) + 1))
	}
	sim.schedule(confirm, "root", "root", func() {
		if sim.root != root || from.cut {
			return
		}
		sim.send("root", from.name, sim.setup.farDelay, func() {
			sim.deliverToRegion(i, func(r *regionNode) { r.lender.HandleResponse(r.at(sim.now), answer) })
		})
	})
}

func (sim *simulation) deliverToDispatcher(n *dispatcherNode, do func()) {
	if n.stalled {
		n.inbox = append(n.inbox, event{do: do})
		return
	}
	do()
	sim.stepDispatcher(n)
}

// stepDispatcher does what the driver of a dispatcher does.
func (sim *simulation) stepDispatcher(n *dispatcherNode) {
	if n.stalled {
		return
	}
	now := n.at(sim.now)
	if !n.draining {
		begin, refuse := n.limiter.Admit(now, func(a string) int { return n.holder.Units(now, a) })
		for _, id := range refuse {
			sim.recordVerdict(n, id)
		}
		for _, id := range begin {
			sim.startReq(n, id)
		}
	}
	n.limiter.TakeUsageChanges(n.holder.SetUsage)
	if a, due := n.holder.NextRequest(now); due {
		sim.sendRequest(n, a)
	}
}

func (sim *simulation) sendRequest(n *dispatcherNode, a LeaseRequest) {
	if n.cut {
		return
	}
	i := n.region
	sim.send(n.name, sim.regions[i].name, sim.setup.nearDelay, func() {
		sim.deliverToRegion(i, func(r *regionNode) {
			answer, ok := r.lender.Handle(r.at(sim.now), a)
			if !ok || n.cut {
				return
			}
			sim.send(r.name, n.name, sim.setup.nearDelay, func() {
				sim.deliverToDispatcher(n, func() {
					if sim.setup.defect.acceptOldResponses && n.holder.epoch == answer.Epoch {
						answer.Seq = n.holder.seq
					}
					n.holder.HandleResponse(n.at(sim.now), answer)
				})
			})
		})
	})
}

func (sim *simulation) recordVerdict(n *dispatcherNode, id uint64) {
	if _, waits := n.unanswered[id]; !waits {
		sim.oracle.fail("req %d of %s got a second verdict, or came from nowhere", id, n.name)
	}
	n.unansweredOf[n.unanswered[id]]--
	delete(n.unanswered, id)
}

// submit is a req that comes to a dispatcher.
func (sim *simulation) submit(n *dispatcherNode, account string, urgent bool, patience time.Duration) uint64 {
	if n.stalled || n.draining {
		return 0
	}
	sim.lastID++
	id := sim.lastID
	n.unanswered[id] = account
	n.unansweredOf[account]++
	until := Never
	if patience > 0 {
		until = n.at(sim.now).Add(patience)
	}
	if n.limiter.Acquire(n.at(sim.now), id, account, urgent, until) {
		sim.startReq(n, id)
	}
	sim.stepDispatcher(n)
	return id
}

// startReq sends a req to a backend, where it runs for at most Run of the dispatcher's clock, whatever becomes of the
// dispatcher.
func (sim *simulation) startReq(n *dispatcherNode, id uint64) {
	account := n.unanswered[id]
	sim.recordVerdict(n, id)
	charged, _ := n.limiter.ChargedAccount(id)
	most := int64(float64(sim.setup.down.MaxRunTime)/n.rate) - 1
	runs := time.Duration(most)
	if !sim.setup.fixedDelay && !sim.saturated && sim.rand.IntN(3) > 0 {
		runs = time.Duration(sim.rand.Int64N(most + 1))
	}
	sim.oracle.start(account, charged, sim.regions[n.region].name)
	h := n.holder
	sim.schedule(runs, n.name, "backend", func() {
		sim.oracle.end(account, charged, sim.regions[n.region].name)
		if n.holder == h {
			sim.deliverToDispatcher(n, func() {
				if n.holder == h {
					n.limiter.Release(id)
				}
			})
		}
	})
}
