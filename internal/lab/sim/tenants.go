package sim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tinsail/internal/balance"
	"tinsail/internal/lab/fleet"
)

// Tenant is a customer that keeps a number of jobs wanted: as one ends, its next req comes.
type Tenant struct {
	Name  string
	Quota int // jobs that may run for it at once over the fleet
	Wants int // jobs that it wants running at once
	// At is how many dispatchers all its reqs come to, drawn by its name; 0 for all.
	At    int
	Class string
	Think float64 // between an end and the next req, on average, ms
}

// Window is the part of a run that shares are measured over, ms; Ramp is how long the first reqs of tenants are spread over.
type Window struct{ From, To, Ramp float64 }

// TenantResult is what a tenant got. Means are over the window.
type TenantResult struct {
	Name         string
	Quota, Wants int
	Running      float64 // jobs that ran at backends, on average
	Urgent       float64 // of them, of urgent classes
	Most         int     // jobs not of urgent classes that ran at once, at most, at any time
	Starts       int
	due          float64
	InFlight     float64 // with quotas: units in use by reqs not of urgent classes
}

// Due is what the tenant should have had running, on average where its quota changed.
func (t *TenantResult) Due() float64 { return t.due }

// Part is the part of its due that it got.
func (t *TenantResult) Part() float64 { return (t.Running - t.Urgent) / max(t.Due(), 1) }

// TenantsResult is what all tenants got.
type TenantsResult struct {
	Each    []TenantResult
	Slots   float64                 // of all backends
	Running float64                 // on average
	Urgent  *hdrhistogram.Histogram // of reqs of urgent classes: from the first try to the job's begin, us
	Other   *hdrhistogram.Histogram
	Never   int // urgent reqs in the window that never began
}

// Use is the part of what was there and wanted that was in use. Quotas bound what is wanted.
func (t *TenantsResult) Use() float64 {
	due, running := 0.0, 0.0
	for i := range t.Each {
		due, running = due+t.Each[i].Due(), running+t.Each[i].Running-t.Each[i].Urgent
	}
	return running / max(min(due, t.Slots), 1)
}

// Least is the smallest part that any tenant got whose wants are within its quota.
func (t *TenantsResult) Least() float64 {
	least := math.Inf(1)
	for i := range t.Each {
		if t.Each[i].Wants <= t.Each[i].Quota {
			least = min(least, t.Each[i].Part())
		}
	}
	return least
}

// Over is the largest number of times over its quota that any tenant had running at a moment.
func (t *TenantsResult) Over() float64 {
	over := 0.0
	for i := range t.Each {
		over = max(over, float64(t.Each[i].Most)/float64(max(t.Each[i].Quota, 1)))
	}
	return over
}

// runs counts the jobs that run for each tenant, as the backends have them.
type runs struct {
	w      *world
	since  []float64
	now    []int
	urgent []int
	sum    []float64 // of ms times jobs, in the window
	sumU   []float64
	jobs   map[uint64]*client
	chance *rand.Rand
	total  int // of the tenants' quotas
}

func (sc *Scenario) checkTenants() error {
	classes := sc.classes()
	names := map[string]bool{}
	for i := range sc.Tenants {
		t := &sc.Tenants[i]
		switch {
		case t.Name == "" || names[t.Name]:
			return fmt.Errorf("tenant %q stands there twice, or has no name", t.Name)
		case t.Quota < 1 || t.Wants < 0 || t.Wants > mostBackends:
			return fmt.Errorf("tenant %q: a quota of %d and %d wanted", t.Name, t.Quota, t.Wants)
		case classAt(classes, t.Class) < 0:
			return fmt.Errorf("tenant %q: reqs of class %q, which is none", t.Name, t.Class)
		}
		names[t.Name] = true
	}
	if len(sc.Tenants) > 0 && !(sc.Window.To > sc.Window.From && sc.Window.To <= sc.Length) {
		return fmt.Errorf("shares measured from %v to %v ms of %v", sc.Window.From, sc.Window.To, sc.Length)
	}
	return nil
}

func classAt(classes []Class, name string) int {
	for i := range classes {
		if classes[i].Name == name {
			return i
		}
	}
	return -1
}

func newRuns(w *world) *runs {
	n := len(w.sc.Tenants)
	r := &runs{w: w, since: make([]float64, n), now: make([]int, n), urgent: make([]int, n), sum: make([]float64, n), sumU: make([]float64, n),
		jobs: map[uint64]*client{}, chance: fleet.RandomStream(w.sc.Seed, "tenants")}
	for _, t := range w.sc.Tenants {
		w.res.Tenants.Each = append(w.res.Tenants.Each, TenantResult{Name: t.Name, Quota: t.Quota, Wants: t.Wants})
		r.total += t.Quota
	}
	for _, b := range w.sc.Backends {
		w.res.Tenants.Slots += b.Kind.Slots
	}
	w.res.Tenants.Urgent = hdrhistogram.New(1, 100_000_000_000, 3)
	w.res.Tenants.Other = hdrhistogram.New(1, 100_000_000_000, 3)
	return r
}

// stand has the tenants' first reqs come, in an order that is drawn; works are cut by chance, as if they had run before.
func (r *runs) stand() {
	w := r.w
	for i := range w.sc.Tenants {
		for range w.sc.Tenants[i].Wants {
			w.at(w.sc.Window.Ramp*r.chance.Float64(), func() { r.ask(i, r.chance.Float64()) })
		}
	}
}

// ask has a tenant's next req come.
func (r *runs) ask(tenant int, part float64) {
	w := r.w
	class := classAt(w.classes, w.sc.Tenants[tenant].Class)
	c := &w.classes[class]
	w.res.First++
	z := r.chance.NormFloat64()
	a := Arrival{At: w.now, Slots: 1, Class: class, Work: part * c.Work * math.Exp(c.Spread*z-c.Spread*c.Spread/2)}
	cl := &client{w: w, n: w.res.First, key: fmt.Sprint("k", w.res.First), Arrival: a, begun: w.now, tenant: tenant, region: w.region(), stands: true}
	cl.ask()
}

// region draws the region that a client is in.
func (w *world) region() int {
	if n := len(w.sc.Regions); n > 0 {
		return w.where.IntN(n)
	}
	return 0
}

// draw gives a req of no tenant's standing demand a tenant, by quota.
func (r *runs) draw() int {
	at := r.chance.IntN(max(r.total, 1))
	for i := range r.w.sc.Tenants {
		if at -= r.w.sc.Tenants[i].Quota; at < 0 {
			return i
		}
	}
	return 0
}

// again has the next req of a standing demand come, after one is over.
func (r *runs) again(c *client) {
	w := r.w
	if at := w.now + r.chance.ExpFloat64()*w.sc.Tenants[c.tenant].Think; c.stands && at < w.sc.Length {
		w.at(at, func() { r.ask(c.tenant, 1) })
	}
}

// began counts a job that begins at a backend.
func (r *runs) began(job uint64, c *client) {
	t := &r.w.res.Tenants
	if _, known := r.jobs[job]; known {
		return
	}
	r.jobs[job] = c
	r.pass(c.tenant)
	r.now[c.tenant]++
	urgent := c.class().Urgent
	if urgent {
		r.urgent[c.tenant]++
	}
	if q := r.w.quotas; q != nil {
		q.at.HandleStart(r.w.now, t.Each[c.tenant].Name, urgent)
	}
	e := &t.Each[c.tenant]
	e.Most = max(e.Most, r.now[c.tenant]-r.urgent[c.tenant])
	if c.ran > 1 || !r.inside(c.begun) {
		return
	}
	e.Starts++
	h := t.Other
	if urgent {
		h = t.Urgent
	}
	_ = h.RecordValue(int64((r.w.now-c.begun)*1000) + 1) // in its bounds: a client has no more patience than a day
}

func (r *runs) inside(at float64) bool { return at >= r.w.sc.Window.From && at < r.w.sc.Window.To }

// ended counts a job that runs no more, however that came.
func (r *runs) ended(job uint64) {
	c := r.jobs[job]
	if c == nil {
		return
	}
	delete(r.jobs, job)
	r.pass(c.tenant)
	r.now[c.tenant]--
	if c.class().Urgent {
		r.urgent[c.tenant]--
	}
	if q := r.w.quotas; q != nil {
		q.at.HandleEnd(r.w.res.Tenants.Each[c.tenant].Name, c.class().Urgent)
	}
}

// pass adds what ran for a tenant since it last changed.
func (r *runs) pass(tenant int) {
	win := &r.w.sc.Window
	if d := min(r.w.now, win.To) - max(r.since[tenant], win.From); d > 0 {
		r.sum[tenant] += d * float64(r.now[tenant])
		r.sumU[tenant] += d * float64(r.urgent[tenant])
	}
	r.since[tenant] = r.w.now
}

func (r *runs) finish() {
	win, t := &r.w.sc.Window, &r.w.res.Tenants
	for i := range t.Each {
		r.pass(i)
		t.Each[i].due = r.due(i)
		t.Each[i].Running, t.Each[i].Urgent = r.sum[i]/(win.To-win.From), r.sumU[i]/(win.To-win.From)
		t.Running += t.Each[i].Running
	}
}

// due is what a tenant should have had running over the window, by its quotas.
func (r *runs) due(i int) float64 {
	win, t := &r.w.sc.Window, &r.w.sc.Tenants[i]
	at, units, sum := win.From, t.Quota, 0.0
	until := func(to float64) {
		if to = min(to, win.To); to > at {
			sum += (to - at) * float64(min(units, t.Wants))
			at = to
		}
	}
	for _, c := range r.w.sc.QuotaChanges { // in the order of their times
		if c.Tenant == t.Name {
			until(c.At)
			units = c.Quota
		}
	}
	until(win.To)
	return sum / (win.To - win.From)
}

// tenants are the module's: shares by the jobs that a quota lets begin in a second.
func (sc *Scenario) tenants() []balance.Tenant {
	classes := sc.classes()
	total := 0
	for _, t := range sc.Tenants {
		total += t.Quota
	}
	out := make([]balance.Tenant, len(sc.Tenants))
	for i, t := range sc.Tenants {
		out[i] = balance.Tenant{Share: float64(t.Quota) / float64(total), QuotaPerS: float64(t.Quota) * 1000 / classes[classAt(classes, t.Class)].Work}
	}
	return out
}

// Region is a part of the fleet: its dispatchers stand side by side, clients in it come to them alone.
type Region struct {
	Name        string
	Dispatchers []int
}

// RegionOf is where a dispatcher stands; 0 where there are no regions.
func (sc *Scenario) RegionOf(node int) int {
	for i := range sc.Regions {
		d := sc.Regions[i].Dispatchers
		if node >= d[0] && node <= d[len(d)-1] {
			return i
		}
	}
	return 0
}

// near are the dispatchers that a client's reqs come to, of those that the front sends to.
func (c *client) near(fronts []*side) []*side {
	w := c.w
	at := 0
	if w.runs != nil {
		at = w.sc.Tenants[c.tenant].At
	}
	if at == 0 && len(w.sc.Regions) < 2 {
		return fronts
	}
	n := len(w.sides)
	mine := func(s *side) bool {
		if at > 0 {
			first := int(hashOf(w.sc.Tenants[c.tenant].Name) % uint64(n))
			for i := range at { // spread over regions
				if (first+i*n/at)%n == s.at {
					return true
				}
			}
			return false
		}
		return w.sc.RegionOf(s.at) == c.region
	}
	var out []*side
	for _, s := range fronts {
		if mine(s) {
			out = append(out, s)
		}
	}
	for i := 0; len(out) == 0 && i < n; i++ { // none is ready: the front knows no better
		if s := w.sides[i]; s.fronted && mine(s) {
			out = append(out, s)
		}
	}
	return out
}
