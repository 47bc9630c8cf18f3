package quota

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simulation is a fleet in simulated time: a root that is elected anew, regions and dispatchers. Each node has a clock of
// its own within the drift. Messages are lost, duplicated and delayed, and connections are cut. Requests arrive at the
// dispatchers and run at backends that know nothing of units. Only the simulation knows real time.
type simulation struct {
	setup       setup
	rand        *rand.Rand
	now         time.Duration
	pending     eventHeap
	lastSeq     uint64
	term        uint64
	root        *rootNode // nil while there is no leader
	regions     []*regionNode
	dispatchers []*dispatcherNode
	incarnation uint64
	quotas      map[string]int
	reserve     int
	lastID      uint64
	oracle      *oracle
	sent        int            // messages
	messages    map[string]int // sent, by the kinds of sender and receiver
	verbose     func(string, ...any)
	leastUse    float64 // the lowest share of a quota in use after the faults ended
	queueDepth  int     // waiting requests of an account if saturated; 0: two more than its quota
	saturated   bool    // more requests than units wait at each dispatcher, and all run as long as they may
}

// setup holds the parameters of a simulation.
type setup struct {
	up, down      LeaseConfig
	quotas        map[string]int
	reserve       int
	regions       int
	dispatchers   int
	seed          uint64
	exactClocks   bool          // clocks run without drift
	nearDelay     time.Duration // maximum one-way delay between a dispatcher and its region's lender
	farDelay      time.Duration // maximum one-way delay between regions
	fixedDelay    bool          // each message takes the maximum delay, none is lost
	lossRate      float64       // share of messages that are lost
	duplicateRate float64       // share of messages that arrive twice
	lateRate      float64       // share of messages that take up to maxLate
	maxLate       time.Duration
	defect        defects       // built in on purpose
	tick          time.Duration // 0: 20 ms
	firstRoot     bool          // the first root and the first regions' lenders skip recovery
}

// defects are faults of the code under test that are built in on purpose.
type defects struct {
	acceptOldResponses, useWholeLease, ignoreRunning, skipRecovery, twoLenders bool
}

// clock is the monotonic clock of a node.
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
	replaced *regionNode // with defects.twoLenders: the previous incarnation, still running
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
	unanswered   map[uint64]string // as the caller counts: requests that were neither started nor refused, with their accounts
	unansweredOf map[string]int    // their number by account
}

// event is something that happens at a time.
type event struct {
	at   time.Duration
	seq  uint64
	from string
	to   string
	do   func()
}

// eventHeap is the pending events, earliest first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
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

// clock draws a clock within the drift, often at its edges.
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

// accounts returns the accounts that have a quota, and the reserve if there is one.
func (sim *simulation) accounts() (out []string) {
	for a := range sim.quotas {
		out = append(out, a)
	}
	if sim.reserve > 0 {
		out = append(out, ReserveAccount)
	}
	return out
}

// electRoot starts a new root. It knows from the log which quotas were in force recently.
func (sim *simulation) electRoot(first bool) {
	sim.term++
	n := &rootNode{term: sim.term, clock: sim.clock(sim.setup.up.Drift)}
	var known []string
	for _, r := range sim.regions {
		known = append(known, r.name)
	}
	cfg := sim.setup.up
	if sim.setup.defect.ignoreRunning {
		cfg.MaxRunTime = 0
	}
	var err error
	n.lender, err = NewLender(cfg, sim.term, n.at(sim.now), LenderOptions{Preallocate: true, Children: known,
		SkipRecovery: first || sim.setup.defect.skipRecovery})
	must(err)
	for a := range sim.setup.quotas {
		n.lender.AssumeLent(n.at(sim.now), []Allocation{{a, sim.oracle.largestQuota(a, sim.now, sim.oracle.effectiveWithin())}})
		n.lender.SetCapacity(n.at(sim.now), a, sim.quotas[a])
	}
	sim.root = n
	for _, r := range sim.regions {
		if sim.setup.fixedDelay || sim.rand.IntN(2) == 0 { // the region notices that its connection is new
			r.lender.HandleReconnect()
		}
	}
}

// startRegionLender starts a new incarnation of a region's lender.
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

// startDispatcher starts a new incarnation of a dispatcher.
func (sim *simulation) startDispatcher(i int) {
	n := sim.dispatchers[i]
	sim.incarnation++
	n.clock, n.inbox, n.stalled, n.draining = sim.clock(sim.setup.down.Drift), nil, false, false
	cfg := sim.setup.down
	if sim.setup.defect.useWholeLease {
		cfg.Drift = 0
	}
	var err error
	n.holder, err = NewHolder(cfg, n.name, sim.incarnation, false)
	must(err)
	n.limiter, n.unanswered, n.unansweredOf = NewLimiter(), map[uint64]string{}, map[string]int{}
	n.limiter.SetQuotas(n.at(sim.now), sim.accounts())
}

// nodeKind returns d for a dispatcher, r for a region and R for the root.
func nodeKind(node string) string {
	if node == "root" {
		return "R"
	}
	return node[:1]
}

// send sends a message whose arrival is do. It may be lost, duplicated or late.
func (sim *simulation) send(from, to string, maxDelay time.Duration, do func()) {
	sim.sent++
	sim.messages[nodeKind(from)+nodeKind(to)]++
	s := sim.setup
	if !s.fixedDelay && sim.rand.Float64() < s.lossRate {
		return
	}
	copies := 1
	if !s.fixedDelay && sim.rand.Float64() < s.duplicateRate {
		copies = 2
	}
	for range copies {
		delay := maxDelay
		if !s.fixedDelay {
			if delay = time.Duration(sim.rand.Int64N(int64(maxDelay) + 1)); sim.rand.Float64() < s.lateRate {
				delay = time.Duration(sim.rand.Int64N(int64(s.maxLate) + 1))
			}
		}
		sim.schedule(delay, from, to, do)
	}
}

// schedule adds an event that happens after d.
func (sim *simulation) schedule(d time.Duration, from, to string, do func()) {
	sim.lastSeq++
	heap.Push(&sim.pending, event{sim.now + d, sim.lastSeq, from, to, do})
}

// advance moves the simulation on by d. Every node is stepped in each tick.
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

// tick lets every node do what is due.
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

// sendRootPolls sends the root's polls.
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

// deliverToRegion delivers a message to a region's lender, now or when it is no longer stalled.
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

// stepRegion does what the driver of a region's lender does.
func (sim *simulation) stepRegion(i int, r *regionNode) {
	if r.stalled || r.lender == nil {
		return
	}
	now := r.at(sim.now)
	r.lender.Tick(now)
	if request, due := r.lender.NextRequest(now); due && !r.cut {
		sim.send(r.name, "root", sim.setup.farDelay, func() { sim.handleAtRoot(i, r, request) })
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

// handleAtRoot delivers a request to the current root. The response is sent only when a majority has confirmed that the root
// still leads.
func (sim *simulation) handleAtRoot(i int, from *regionNode, request LeaseRequest) {
	root := sim.root
	if root == nil {
		return
	}
	response, ok := root.lender.Handle(root.at(sim.now), request)
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
			sim.deliverToRegion(i, func(r *regionNode) { r.lender.HandleResponse(r.at(sim.now), response) })
		})
	})
}

// deliverToDispatcher delivers a message to a dispatcher, now or when it is no longer stalled.
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
		started, expired := n.limiter.Admit(now, func(account string) int { return n.holder.Units(now, account) })
		for _, id := range expired {
			sim.recordOutcome(n, id)
		}
		for _, id := range started {
			sim.startReq(n, id)
		}
	}
	n.limiter.TakeUsageChanges(n.holder.SetUsage)
	if request, due := n.holder.NextRequest(now); due {
		sim.sendRequest(n, request)
	}
}

// sendRequest sends a dispatcher's request to its region's lender.
func (sim *simulation) sendRequest(n *dispatcherNode, request LeaseRequest) {
	if n.cut {
		return
	}
	i := n.region
	sim.send(n.name, sim.regions[i].name, sim.setup.nearDelay, func() {
		sim.deliverToRegion(i, func(r *regionNode) {
			response, ok := r.lender.Handle(r.at(sim.now), request)
			if !ok || n.cut {
				return
			}
			sim.send(r.name, n.name, sim.setup.nearDelay, func() {
				sim.deliverToDispatcher(n, func() {
					if sim.setup.defect.acceptOldResponses && n.holder.epoch == response.Epoch {
						response.Seq = n.holder.seq
					}
					n.holder.HandleResponse(n.at(sim.now), response)
				})
			})
		})
	})
}

// recordOutcome records that a request was started or refused, which must happen once.
func (sim *simulation) recordOutcome(n *dispatcherNode, id uint64) {
	if _, waiting := n.unanswered[id]; !waiting {
		sim.oracle.fail("request %d of %s was started or refused twice, or is unknown", id, n.name)
	}
	n.unansweredOf[n.unanswered[id]]--
	delete(n.unanswered, id)
}

// submit lets a request arrive at a dispatcher, where it waits for at most timeout; 0 is no limit.
func (sim *simulation) submit(n *dispatcherNode, account string, urgent bool, timeout time.Duration) uint64 {
	if n.stalled || n.draining {
		return 0
	}
	sim.lastID++
	id := sim.lastID
	n.unanswered[id] = account
	n.unansweredOf[account]++
	deadline := Never
	if timeout > 0 {
		deadline = n.at(sim.now).Add(timeout)
	}
	if n.limiter.Acquire(n.at(sim.now), id, account, urgent, deadline) {
		sim.startReq(n, id)
	}
	sim.stepDispatcher(n)
	return id
}

// startReq sends a request to a backend. It runs there for at most MaxRunTime by the dispatcher's clock, whatever happens to
// the dispatcher.
func (sim *simulation) startReq(n *dispatcherNode, id uint64) {
	account := n.unanswered[id]
	sim.recordOutcome(n, id)
	charged, _ := n.limiter.ChargedAccount(id)
	maxRun := int64(float64(sim.setup.down.MaxRunTime)/n.rate) - 1
	duration := time.Duration(maxRun)
	if !sim.setup.fixedDelay && !sim.saturated && sim.rand.IntN(3) > 0 {
		duration = time.Duration(sim.rand.Int64N(maxRun + 1))
	}
	sim.oracle.start(account, charged, sim.regions[n.region].name)
	h := n.holder
	sim.schedule(duration, n.name, "backend", func() {
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
