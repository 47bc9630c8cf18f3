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
	Name   string
	Quota  int // jobs that may run for it at once over the fleet
	Demand int // jobs that it wants running at once
	// DispatcherCount is how many dispatchers all its reqs come to, drawn by its name; 0 for all.
	DispatcherCount int
	Class           string
	ThinkTime       float64 // between an end and the next req, on average, ms
}

// Window is the part of a run that shares are measured over, ms; Ramp is how long the first reqs of tenants are spread over.
type Window struct{ From, To, Ramp float64 }

// TenantResult is what a tenant got. Means are over the window.
type TenantResult struct {
	Name          string
	Quota, Demand int
	Running       float64 // jobs that ran at backends, on average
	RunningUrgent float64 // of them, of urgent classes
	MaxRunning    int     // jobs not of urgent classes that ran at once, at most, at any time
	Starts        int
	entitlement   float64
	InFlight      float64 // with quotas: units in use by reqs not of urgent classes
}

// Entitlement is what the tenant should have had running, on average where its quota changed.
func (t *TenantResult) Entitlement() float64 { return t.entitlement }

// EntitlementShare is the part of its due that it got.
func (t *TenantResult) EntitlementShare() float64 {
	return (t.Running - t.RunningUrgent) / max(t.Entitlement(), 1)
}

// TenantsResult is what all tenants got.
type TenantsResult struct {
	ByTenant           []TenantResult
	Slots              float64                 // of all backends
	Running            float64                 // on average
	UrgentStartDelay   *hdrhistogram.Histogram // of reqs of urgent classes: from the first try to the job's begin, us
	OtherStartDelay    *hdrhistogram.Histogram
	UrgentNeverStarted int // urgent reqs in the window that never began
}

// Utilization is the part of what was there and wanted that was in use. Quotas bound what is wanted.
func (t *TenantsResult) Utilization() float64 {
	due, running := 0.0, 0.0
	for i := range t.ByTenant {
		due, running = due+t.ByTenant[i].Entitlement(), running+t.ByTenant[i].Running-t.ByTenant[i].RunningUrgent
	}
	return running / max(min(due, t.Slots), 1)
}

// WorstShare is the smallest part that any tenant got whose wants are within its quota.
func (t *TenantsResult) WorstShare() float64 {
	least := math.Inf(1)
	for i := range t.ByTenant {
		if t.ByTenant[i].Demand <= t.ByTenant[i].Quota {
			least = min(least, t.ByTenant[i].EntitlementShare())
		}
	}
	return least
}

// MaxOverQuota is the largest number of times over its quota that any tenant had running at a moment.
func (t *TenantsResult) MaxOverQuota() float64 {
	over := 0.0
	for i := range t.ByTenant {
		over = max(over, float64(t.ByTenant[i].MaxRunning)/float64(max(t.ByTenant[i].Quota, 1)))
	}
	return over
}

// tenantJobs counts the jobs that run for each tenant, as the backends have them.
type tenantJobs struct {
	w             *world
	changedAt     []float64
	running       []int
	runningUrgent []int
	sum           []float64 // of ms times jobs, in the window
	urgentSum     []float64
	jobs          map[uint64]*client
	random        *rand.Rand
	totalQuota    int // of the tenants' quotas
}

func (sc *Scenario) checkTenants() error {
	classes := sc.classes()
	names := map[string]bool{}
	for i := range sc.Tenants {
		t := &sc.Tenants[i]
		switch {
		case t.Name == "" || names[t.Name]:
			return fmt.Errorf("tenant %q stands there twice, or has no name", t.Name)
		case t.Quota < 1 || t.Demand < 0 || t.Demand > mostBackends:
			return fmt.Errorf("tenant %q: a quota of %d and %d wanted", t.Name, t.Quota, t.Demand)
		case classIndex(classes, t.Class) < 0:
			return fmt.Errorf("tenant %q: reqs of class %q, which is none", t.Name, t.Class)
		}
		names[t.Name] = true
	}
	if len(sc.Tenants) > 0 && !(sc.Window.To > sc.Window.From && sc.Window.To <= sc.Length) {
		return fmt.Errorf("shares measured from %v to %v ms of %v", sc.Window.From, sc.Window.To, sc.Length)
	}
	return nil
}

func classIndex(classes []Class, name string) int {
	for i := range classes {
		if classes[i].Name == name {
			return i
		}
	}
	return -1
}

func newTenantJobs(w *world) *tenantJobs {
	n := len(w.sc.Tenants)
	r := &tenantJobs{w: w, changedAt: make([]float64, n), running: make([]int, n), runningUrgent: make([]int, n), sum: make([]float64, n), urgentSum: make([]float64, n),
		jobs: map[uint64]*client{}, random: fleet.RandomStream(w.sc.Seed, "tenants")}
	for _, t := range w.sc.Tenants {
		w.res.Tenants.ByTenant = append(w.res.Tenants.ByTenant, TenantResult{Name: t.Name, Quota: t.Quota, Demand: t.Demand})
		r.totalQuota += t.Quota
	}
	for _, b := range w.sc.Backends {
		w.res.Tenants.Slots += b.Kind.Slots
	}
	w.res.Tenants.UrgentStartDelay = hdrhistogram.New(1, 100_000_000_000, 3)
	w.res.Tenants.OtherStartDelay = hdrhistogram.New(1, 100_000_000_000, 3)
	return r
}

// startDemand has the tenants' first reqs come, in an order that is drawn; works are cut by chance, as if they had run before.
func (r *tenantJobs) startDemand() {
	w := r.w
	for i := range w.sc.Tenants {
		for range w.sc.Tenants[i].Demand {
			w.at(w.sc.Window.Ramp*r.random.Float64(), func() { r.submit(i, r.random.Float64()) })
		}
	}
}

// submit has a tenant's next req come.
func (r *tenantJobs) submit(tenant int, part float64) {
	w := r.w
	class := classIndex(w.classes, w.sc.Tenants[tenant].Class)
	c := &w.classes[class]
	w.res.First++
	z := r.random.NormFloat64()
	a := Arrival{At: w.now, Slots: 1, Class: class, Work: part * c.Work * math.Exp(c.Spread*z-c.Spread*c.Spread/2)}
	cl := &client{w: w, n: w.res.First, key: fmt.Sprint("k", w.res.First), Arrival: a, begun: w.now, tenant: tenant, region: w.drawRegion(), stands: true}
	cl.ask()
}

// drawRegion draws the drawRegion that a client is in.
func (w *world) drawRegion() int {
	if n := len(w.sc.Regions); n > 0 {
		return w.where.IntN(n)
	}
	return 0
}

// drawTenant gives a req of no tenant's standing demand a tenant, by quota.
func (r *tenantJobs) drawTenant() int {
	at := r.random.IntN(max(r.totalQuota, 1))
	for i := range r.w.sc.Tenants {
		if at -= r.w.sc.Tenants[i].Quota; at < 0 {
			return i
		}
	}
	return 0
}

// scheduleNext has the next req of a standing demand come, after one is over.
func (r *tenantJobs) scheduleNext(c *client) {
	w := r.w
	if at := w.now + r.random.ExpFloat64()*w.sc.Tenants[c.tenant].ThinkTime; c.stands && at < w.sc.Length {
		w.at(at, func() { r.submit(c.tenant, 1) })
	}
}

// handleStart counts a job that begins at a backend.
func (r *tenantJobs) handleStart(job uint64, c *client) {
	t := &r.w.res.Tenants
	if _, known := r.jobs[job]; known {
		return
	}
	r.jobs[job] = c
	r.accumulate(c.tenant)
	r.running[c.tenant]++
	urgent := c.class().Urgent
	if urgent {
		r.runningUrgent[c.tenant]++
	}
	if q := r.w.quotas; q != nil {
		q.backendChecker.HandleStart(r.w.now, t.ByTenant[c.tenant].Name, urgent)
	}
	e := &t.ByTenant[c.tenant]
	e.MaxRunning = max(e.MaxRunning, r.running[c.tenant]-r.runningUrgent[c.tenant])
	if c.ran > 1 || !r.inWindow(c.begun) {
		return
	}
	e.Starts++
	h := t.OtherStartDelay
	if urgent {
		h = t.UrgentStartDelay
	}
	_ = h.RecordValue(int64((r.w.now-c.begun)*1000) + 1) // in its bounds: a client has no more patience than a day
}

func (r *tenantJobs) inWindow(at float64) bool {
	return at >= r.w.sc.Window.From && at < r.w.sc.Window.To
}

// handleEnd counts a job that runs no more, however that came.
func (r *tenantJobs) handleEnd(job uint64) {
	c := r.jobs[job]
	if c == nil {
		return
	}
	delete(r.jobs, job)
	r.accumulate(c.tenant)
	r.running[c.tenant]--
	if c.class().Urgent {
		r.runningUrgent[c.tenant]--
	}
	if q := r.w.quotas; q != nil {
		q.backendChecker.HandleEnd(r.w.res.Tenants.ByTenant[c.tenant].Name, c.class().Urgent)
	}
}

// accumulate adds what ran for a tenant since it last changed.
func (r *tenantJobs) accumulate(tenant int) {
	win := &r.w.sc.Window
	if d := min(r.w.now, win.To) - max(r.changedAt[tenant], win.From); d > 0 {
		r.sum[tenant] += d * float64(r.running[tenant])
		r.urgentSum[tenant] += d * float64(r.runningUrgent[tenant])
	}
	r.changedAt[tenant] = r.w.now
}

func (r *tenantJobs) finish() {
	win, t := &r.w.sc.Window, &r.w.res.Tenants
	for i := range t.ByTenant {
		r.accumulate(i)
		t.ByTenant[i].entitlement = r.entitlement(i)
		t.ByTenant[i].Running, t.ByTenant[i].RunningUrgent = r.sum[i]/(win.To-win.From), r.urgentSum[i]/(win.To-win.From)
		t.Running += t.ByTenant[i].Running
	}
}

// entitlement is what a tenant should have had running over the window, by its quotas.
func (r *tenantJobs) entitlement(i int) float64 {
	win, t := &r.w.sc.Window, &r.w.sc.Tenants[i]
	at, units, sum := win.From, t.Quota, 0.0
	until := func(to float64) {
		if to = min(to, win.To); to > at {
			sum += (to - at) * float64(min(units, t.Demand))
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

// moduleTenants are the module's: shares by the jobs that a quota lets begin in a second.
func (sc *Scenario) moduleTenants() []balance.Tenant {
	classes := sc.classes()
	total := 0
	for _, t := range sc.Tenants {
		total += t.Quota
	}
	out := make([]balance.Tenant, len(sc.Tenants))
	for i, t := range sc.Tenants {
		out[i] = balance.Tenant{Share: float64(t.Quota) / float64(total), QuotaPerS: float64(t.Quota) * 1000 / classes[classIndex(classes, t.Class)].Work}
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

// reachable are the dispatchers that a client's reqs come to, of those that the front sends to.
func (c *client) reachable(fronts []*side) []*side {
	w := c.w
	at := 0
	if w.tenants != nil {
		at = w.sc.Tenants[c.tenant].DispatcherCount
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
