package quota

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// world is a root that moves, regions and dispatchers, each with a clock of its own within the drift, on links that lose,
// double, delay and cut; reqs come to the dispatchers and run at backends that know nothing of units. Real time is the
// world's alone.
type world struct {
	setup   setup
	rnd     *rand.Rand
	now     time.Duration
	events  events
	seq     uint64
	term    uint64
	root    *rootNode // nil between two leaders
	regions []*regionNode
	disps   []*dispNode
	life    uint64
	quotas  map[string]int
	reserve int
	ids     uint64
	truth   *oracle
	sent    int // messages
	trips   map[string]int
	verbose func(string, ...any)
	used    float64 // the least part of a quota in use after the faults
	deep    int     // reqs that wait of an account where it is crowded; 0: two more than its quota
	crowded bool    // more reqs than units wait everywhere, and all run as long as they may
}

type setup struct {
	up, down LeaseConfig
	quotas   map[string]int
	reserve  int
	regions  int
	disps    int
	seed     uint64
	exact    bool          // clocks run true
	near     time.Duration // one way between a dispatcher and its region's lender, at most
	far      time.Duration // between regions
	steady   bool          // each message takes the most, none is lost
	loses    float64       // part of the messages lost
	doubles  float64
	lates    float64 // part that takes up to late
	late     time.Duration
	flaw     flaw
	tick     time.Duration // 0: 20 ms
	first    bool          // the root knows that it is the first
}

// flaw is a fault put into the world on purpose.
type flaw struct {
	older, wholeLease, noTail, noLegacy, twoLives bool
}

type clock struct {
	rate   float64
	offset int64
}

func (c clock) at(real time.Duration) Time { return Time(c.offset + int64(float64(real)*c.rate)) }

type rootNode struct {
	l    *Lender
	term uint64
	clock
}

type regionNode struct {
	name string
	r    *RegionLender
	clock
	cut     bool // from the root
	stalled bool
	inbox   []event
	old     *regionNode // with flaw.twoLives: the life before, still there
}

type dispNode struct {
	name   string
	region int
	h      *Holder
	d      *Limiter
	clock
	cut      bool
	stalled  bool
	draining bool
	inbox    []event
	waits    map[uint64]string // the far side's: reqs with no verdict yet
	waiting  map[string]int    // of them, by account
}

type event struct {
	at   time.Duration
	seq  uint64
	from string
	to   string
	do   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newWorld(s setup) *world {
	w := &world{setup: s, rnd: rand.New(rand.NewPCG(s.seed, 1)), quotas: map[string]int{}, reserve: s.reserve,
		life: 100, used: 1, trips: map[string]int{}, verbose: func(string, ...any) {}}
	w.truth = newOracle(w)
	for a, q := range s.quotas {
		w.quotas[a] = q
		w.truth.quota(a, q)
	}
	for i := range s.regions {
		w.regions = append(w.regions, &regionNode{name: fmt.Sprintf("r%d", i)})
		w.newRegion(i)
	}
	for i := range s.disps {
		w.disps = append(w.disps, &dispNode{name: fmt.Sprintf("d%02d", i), region: i % s.regions})
		w.newDisp(i)
	}
	w.elect(s.first)
	return w
}

func (w *world) clock(drift float64) clock {
	c := clock{rate: 1 + drift*float64(w.rnd.IntN(3)-1), offset: w.rnd.Int64N(2e12) - 1e12}
	if w.setup.exact {
		c.rate = 1
	} else if w.rnd.IntN(3) == 0 {
		c.rate = 1 + drift*(2*w.rnd.Float64()-1)
	}
	return c
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// accounts that have a quota, and the reserve.
func (w *world) accounts() (out []string) {
	for a := range w.quotas {
		out = append(out, a)
	}
	if w.reserve > 0 {
		out = append(out, ReserveAccount)
	}
	return out
}

// elect makes a new leader, who knows the quotas that were in force of late from the log.
func (w *world) elect(first bool) {
	w.term++
	n := &rootNode{term: w.term, clock: w.clock(w.setup.up.Drift)}
	var known []string
	for _, r := range w.regions {
		known = append(known, r.name)
	}
	p := w.setup.up
	if w.setup.flaw.noTail {
		p.MaxRunTime = 0
	}
	var err error
	n.l, err = NewLender(p, w.term, n.at(w.now), LenderOptions{Preallocate: true, Children: known, SkipRecovery: first || w.setup.flaw.noLegacy})
	must(err)
	for a := range w.setup.quotas {
		n.l.AssumeLent(n.at(w.now), []Allocation{{a, w.truth.largest(a, w.now, w.truth.runs())}})
		n.l.SetCapacity(n.at(w.now), a, w.quotas[a])
	}
	w.root = n
	for _, r := range w.regions {
		if w.setup.steady || w.rnd.IntN(2) == 0 { // a link to the new leader is seen to be new
			r.r.HandleReconnect()
		}
	}
}

func (w *world) newRegion(i int) {
	r := w.regions[i]
	w.life++
	if w.setup.flaw.twoLives && r.r != nil {
		old := *r
		old.old = nil
		r.old = &old
	}
	r.clock, r.inbox, r.stalled = w.clock(w.setup.up.Drift), nil, false
	down := w.setup.down
	if w.setup.flaw.noTail {
		down.MaxRunTime = 0
	}
	var err error
	up := w.setup.up
	if w.setup.flaw.wholeLease {
		up.Drift = 0
	}
	r.r, err = NewRegionLender(up, down, r.name, w.life, r.at(w.now))
	must(err)
	if w.setup.flaw.noLegacy || w.setup.first && w.now == 0 {
		r.r.SkipRecovery(r.at(w.now))
	}
	r.r.SetReserve(r.at(w.now), w.reserve)
}

func (w *world) newDisp(i int) {
	n := w.disps[i]
	w.life++
	n.clock, n.inbox, n.stalled, n.draining = w.clock(w.setup.down.Drift), nil, false, false
	p := w.setup.down
	if w.setup.flaw.wholeLease {
		p.Drift = 0
	}
	var err error
	n.h, err = NewHolder(p, n.name, w.life, false)
	must(err)
	n.d, n.waits, n.waiting = NewLimiter(), map[uint64]string{}, map[string]int{}
	n.d.SetQuotas(n.at(w.now), w.accounts())
}

// kind is d for a dispatcher, r for a region and R for the root.
func kind(node string) string {
	if node == "root" {
		return "R"
	}
	return node[:1]
}

// post sends something that happens at the far end.
func (w *world) post(from, to string, most time.Duration, do func()) {
	w.sent++
	w.trips[kind(from)+kind(to)]++
	s := w.setup
	if !s.steady && w.rnd.Float64() < s.loses {
		return
	}
	times := 1
	if !s.steady && w.rnd.Float64() < s.doubles {
		times = 2
	}
	for range times {
		delay := most
		if !s.steady {
			if delay = time.Duration(w.rnd.Int64N(int64(most) + 1)); w.rnd.Float64() < s.lates {
				delay = time.Duration(w.rnd.Int64N(int64(s.late) + 1))
			}
		}
		w.after(delay, from, to, do)
	}
}

func (w *world) after(d time.Duration, from, to string, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, from, to, do})
}

// advance lets time pass; every node has its turn at least each tick.
func (w *world) advance(d time.Duration) {
	tick := cmp.Or(w.setup.tick, 20*time.Millisecond)
	end := w.now + d
	for w.now < end {
		next := min(end, (w.now/tick+1)*tick)
		for len(w.events) > 0 && w.events[0].at <= next {
			e := heap.Pop(&w.events).(event)
			w.now = max(w.now, e.at)
			e.do()
		}
		w.now = next
		w.tick()
	}
}

func (w *world) tick() {
	w.truth.time(w.now)
	if w.crowded {
		w.crowd()
	}
	if w.root != nil {
		w.root.l.Tick(w.root.at(w.now))
		w.rootNudges()
	}
	for i, r := range w.regions {
		if r.r.NextTick() <= r.at(w.now) {
			w.regionTurn(i, r)
		}
		if r.old != nil {
			w.regionTurn(i, r.old)
		}
	}
	for _, n := range w.disps {
		if !n.stalled && (n.h.NextRequestTime() <= n.at(w.now) || n.d.NextTimeout() <= n.at(w.now)) {
			w.dispTurn(n)
		}
	}
}

func (w *world) rootNudges() {
	for _, name := range w.root.l.TakePolls() {
		i := slices.IndexFunc(w.regions, func(r *regionNode) bool { return r.name == name })
		if r := w.regions[i]; !r.cut {
			w.post("root", r.name, w.setup.far, func() {
				w.regionGets(i, func(r *regionNode) { r.r.HandlePoll() })
			})
		}
	}
	w.root.l.TakeEvents()
}

// regionGets hands something to a region's lender, now or when it wakes.
func (w *world) regionGets(i int, do func(*regionNode)) {
	r := w.regions[i]
	if r.stalled {
		r.inbox = append(r.inbox, event{do: func() { do(r) }})
		return
	}
	do(r)
	w.regionTurn(i, r)
	if r.old != nil {
		do(r.old)
		w.regionTurn(i, r.old)
	}
}

func (w *world) regionTurn(i int, r *regionNode) {
	if r.stalled || r.r == nil {
		return
	}
	now := r.at(w.now)
	r.r.Tick(now)
	if a, due := r.r.NextRequest(now); due && !r.cut {
		w.post(r.name, "root", w.setup.far, func() { w.rootGets(i, r, a) })
	}
	for _, name := range r.r.TakePolls() {
		for _, n := range w.disps {
			if n.name == name && !n.cut {
				w.post(r.name, name, w.setup.near, func() {
					w.dispGets(n, func() { n.h.HandlePoll() })
				})
			}
		}
	}
	r.r.TakeEvents()
}

// rootGets is an ask at whoever leads then; what it says is sent once a majority has confirmed that it leads still.
func (w *world) rootGets(i int, from *regionNode, a LeaseRequest) {
	root := w.root
	if root == nil {
		return
	}
	answer, ok := root.l.Handle(root.at(w.now), a)
	w.rootNudges()
	if !ok {
		return
	}
	confirm := w.setup.far * 2
	if !w.setup.steady {
		confirm = time.Duration(w.rnd.Int64N(int64(confirm) + 1))
	}
	w.after(confirm, "root", "root", func() {
		if w.root != root || from.cut {
			return
		}
		w.post("root", from.name, w.setup.far, func() {
			w.regionGets(i, func(r *regionNode) { r.r.HandleResponse(r.at(w.now), answer) })
		})
	})
}

func (w *world) dispGets(n *dispNode, do func()) {
	if n.stalled {
		n.inbox = append(n.inbox, event{do: do})
		return
	}
	do()
	w.dispTurn(n)
}

// dispTurn does what the driver of a dispatcher does.
func (w *world) dispTurn(n *dispNode) {
	if n.stalled {
		return
	}
	now := n.at(w.now)
	if !n.draining {
		begin, refuse := n.d.Admit(now, func(a string) int { return n.h.Units(now, a) })
		for _, id := range refuse {
			w.verdict(n, id)
		}
		for _, id := range begin {
			w.begin(n, id)
		}
	}
	n.d.TakeUsageChanges(n.h.SetUsage)
	if a, due := n.h.NextRequest(now); due {
		w.ask(n, a)
	}
}

func (w *world) ask(n *dispNode, a LeaseRequest) {
	if n.cut {
		return
	}
	i := n.region
	w.post(n.name, w.regions[i].name, w.setup.near, func() {
		w.regionGets(i, func(r *regionNode) {
			answer, ok := r.r.Handle(r.at(w.now), a)
			if !ok || n.cut {
				return
			}
			w.post(r.name, n.name, w.setup.near, func() {
				w.dispGets(n, func() {
					if w.setup.flaw.older && n.h.epoch == answer.Epoch {
						answer.Seq = n.h.seq
					}
					n.h.HandleResponse(n.at(w.now), answer)
				})
			})
		})
	})
}

func (w *world) verdict(n *dispNode, id uint64) {
	if _, waits := n.waits[id]; !waits {
		w.truth.fail("req %d of %s got a second verdict, or came from nowhere", id, n.name)
	}
	n.waiting[n.waits[id]]--
	delete(n.waits, id)
}

// take is a req that comes to a dispatcher.
func (w *world) take(n *dispNode, account string, urgent bool, patience time.Duration) uint64 {
	if n.stalled || n.draining {
		return 0
	}
	w.ids++
	id := w.ids
	n.waits[id] = account
	n.waiting[account]++
	until := Never
	if patience > 0 {
		until = n.at(w.now).Add(patience)
	}
	if n.d.Acquire(n.at(w.now), id, account, urgent, until) {
		w.begin(n, id)
	}
	w.dispTurn(n)
	return id
}

// begin sends a req to a backend, where it runs for at most Run of the dispatcher's clock, whatever becomes of the
// dispatcher.
func (w *world) begin(n *dispNode, id uint64) {
	account := n.waits[id]
	w.verdict(n, id)
	charged, _ := n.d.ChargedAccount(id)
	most := int64(float64(w.setup.down.MaxRunTime)/n.rate) - 1
	runs := time.Duration(most)
	if !w.setup.steady && !w.crowded && w.rnd.IntN(3) > 0 {
		runs = time.Duration(w.rnd.Int64N(most + 1))
	}
	w.truth.begin(account, charged, w.regions[n.region].name)
	h := n.h
	w.after(runs, n.name, "backend", func() {
		w.truth.end(account, charged, w.regions[n.region].name)
		if n.h == h {
			w.dispGets(n, func() {
				if n.h == h {
					n.d.Release(id)
				}
			})
		}
	})
}
