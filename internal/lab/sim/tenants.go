package sim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tinsail/internal/balance"
	"tinsail/internal/lab/fleet"
)

// Tenant is a customer with a standing demand for jobs: when one of its reqs ends, the next one follows.
type Tenant struct {
	Name   string
	Quota  int // how many of its jobs may run at once in the whole fleet
	Demand int // how many jobs it tries to keep running
	// DispatcherCount limits its reqs to that many dispatchers, chosen by the hash of its name. 0 means all.
	DispatcherCount int
	Class           string
	ThinkTime       float64 // mean delay between the end of a req and the next req, ms
}

// Window is the part of a run in which tenants' shares are measured. The tenants' first reqs are spread over the time
// Ramp at the start of the run. Times are milliseconds.
type Window struct{ From, To, Ramp float64 }

// TenantResult is what a run measured for a tenant. Means are over the window.
type TenantResult struct {
	Name          string
	Quota, Demand int
	Running       float64 // mean number of jobs running at backends
	RunningUrgent float64 // of these, jobs of urgent classes
	MaxRunning    int     // maximum number of jobs running at once at any time, without urgent ones
	Starts        int     // reqs that came in the window whose job started
	entitlement   float64 // see Entitlement
	InFlight      float64 // only with quotas: mean number of units used by reqs that are not urgent
}

// Entitlement returns how many jobs the tenant should have had running: the smaller of its demand and its quota, on
// average over the window where the quota changed.
func (t *TenantResult) Entitlement() float64 { return t.entitlement }

// EntitlementShare returns the share of its entitlement that the tenant got, without urgent jobs.
func (t *TenantResult) EntitlementShare() float64 {
	return (t.Running - t.RunningUrgent) / max(t.Entitlement(), 1)
}

// TenantsResult is what a run measured for all tenants.
type TenantsResult struct {
	ByTenant           []TenantResult
	Slots              float64                 // total of all backends
	Running            float64                 // mean number of running jobs
	UrgentStartDelay   *hdrhistogram.Histogram // of reqs of urgent classes, from the first try to the start of the job, us
	OtherStartDelay    *hdrhistogram.Histogram // the same of all other reqs
	UrgentNeverStarted int                     // urgent reqs in the window whose job never started
}

// Utilization returns the jobs running, without urgent ones, as a share of what could run: the sum of all
// entitlements, or all slots if there are fewer.
func (t *TenantsResult) Utilization() float64 {
	entitled, running := 0.0, 0.0
	for i := range t.ByTenant {
		entitled, running = entitled+t.ByTenant[i].Entitlement(), running+t.ByTenant[i].Running-t.ByTenant[i].RunningUrgent
	}
	return running / max(min(entitled, t.Slots), 1)
}

// WorstShare returns the smallest EntitlementShare of the tenants whose demand is within their quota.
func (t *TenantsResult) WorstShare() float64 {
	worst := math.Inf(1)
	for i := range t.ByTenant {
		if t.ByTenant[i].Demand <= t.ByTenant[i].Quota {
			worst = min(worst, t.ByTenant[i].EntitlementShare())
		}
	}
	return worst
}

// MaxOverQuota returns the largest number of jobs, without urgent ones, that any tenant had running at once, in
// multiples of its quota.
func (t *TenantsResult) MaxOverQuota() float64 {
	over := 0.0
	for i := range t.ByTenant {
		over = max(over, float64(t.ByTenant[i].MaxRunning)/float64(max(t.ByTenant[i].Quota, 1)))
	}
	return over
}

// tenantJobs creates the tenants' reqs and counts the jobs that run for each tenant at the backends. Slices are
// indexed by tenant.
type tenantJobs struct {
	world         *world
	changedAt     []float64
	running       []int
	runningUrgent []int
	runningSum    []float64          // running jobs summed over the window, in jobs times ms
	urgentSum     []float64          // the same for urgent jobs
	jobs          map[uint64]*client // running jobs, by id
	random        *rand.Rand
	totalQuota    int // sum of the quotas of all tenants
}

func (sc *Scenario) checkTenants() error {
	classes := sc.classes()
	names := map[string]bool{}
	for i := range sc.Tenants {
		t := &sc.Tenants[i]
		switch {
		case t.Name == "" || names[t.Name]:
			return fmt.Errorf("tenant name %q is empty or not unique", t.Name)
		case t.Quota < 1 || t.Demand < 0 || t.Demand > maxBackends:
			return fmt.Errorf("tenant %q: invalid quota %d or demand %d", t.Name, t.Quota, t.Demand)
		case classIndex(classes, t.Class) < 0:
			return fmt.Errorf("tenant %q: class %q does not exist", t.Name, t.Class)
		}
		names[t.Name] = true
	}
	if len(sc.Tenants) > 0 && !(sc.Window.To > sc.Window.From && sc.Window.To <= sc.Length) {
		return fmt.Errorf("measurement window from %v to %v ms is empty or exceeds the run of %v ms", sc.Window.From, sc.Window.To, sc.Length)
	}
	return nil
}

// classIndex returns the index of the class with this name, or -1.
func classIndex(classes []Class, name string) int {
	for i := range classes {
		if classes[i].Name == name {
			return i
		}
	}
	return -1
}

func newTenantJobs(w *world) *tenantJobs {
	n := len(w.scenario.Tenants)
	j := &tenantJobs{world: w, changedAt: make([]float64, n), running: make([]int, n), runningUrgent: make([]int, n), runningSum: make([]float64, n), urgentSum: make([]float64, n),
		jobs: map[uint64]*client{}, random: fleet.RandomStream(w.scenario.Seed, "tenants")}
	for _, t := range w.scenario.Tenants {
		w.result.Tenants.ByTenant = append(w.result.Tenants.ByTenant, TenantResult{Name: t.Name, Quota: t.Quota, Demand: t.Demand})
		j.totalQuota += t.Quota
	}
	for _, b := range w.scenario.Backends {
		w.result.Tenants.Slots += b.Kind.Slots
	}
	w.result.Tenants.UrgentStartDelay = hdrhistogram.New(1, 100_000_000_000, 3)
	w.result.Tenants.OtherStartDelay = hdrhistogram.New(1, 100_000_000_000, 3)
	return j
}

// startDemand schedules the tenants' first reqs at random times. Their work is shortened at random, as if the jobs
// had been running before.
func (j *tenantJobs) startDemand() {
	w := j.world
	for i := range w.scenario.Tenants {
		for range w.scenario.Tenants[i].Demand {
			w.schedule(w.scenario.Window.Ramp*j.random.Float64(), func() { j.submit(i, j.random.Float64()) })
		}
	}
}

// submit creates a req of a tenant and sends it. workShare scales the work of its job.
func (j *tenantJobs) submit(tenant int, workShare float64) {
	w := j.world
	class := classIndex(w.classes, w.scenario.Tenants[tenant].Class)
	c := &w.classes[class]
	w.result.Reqs++
	z := j.random.NormFloat64()
	arrival := Arrival{At: w.now, Slots: 1, Class: class, Work: workShare * c.Work * math.Exp(c.Spread*z-c.Spread*c.Spread/2)}
	cl := &client{world: w, number: w.result.Reqs, key: fmt.Sprint("k", w.result.Reqs), Arrival: arrival, arrivedAt: w.now, tenant: tenant, region: w.drawRegion(), standing: true}
	cl.startTry()
}

// drawRegion returns a random region for a client; 0 if there are no regions.
func (w *world) drawRegion() int {
	if n := len(w.scenario.Regions); n > 0 {
		return w.regionRand.IntN(n)
	}
	return 0
}

// drawTenant returns a random tenant, weighted by quota, for a req that is not part of a standing demand.
func (j *tenantJobs) drawTenant() int {
	rest := j.random.IntN(max(j.totalQuota, 1))
	for i := range j.world.scenario.Tenants {
		if rest -= j.world.scenario.Tenants[i].Quota; rest < 0 {
			return i
		}
	}
	return 0
}

// scheduleNext schedules the next req of a standing demand after one has ended.
func (j *tenantJobs) scheduleNext(c *client) {
	w := j.world
	if at := w.now + j.random.ExpFloat64()*w.scenario.Tenants[c.tenant].ThinkTime; c.standing && at < w.scenario.Length {
		w.schedule(at, func() { j.submit(c.tenant, 1) })
	}
}

// handleStart counts a job that starts at a backend.
func (j *tenantJobs) handleStart(job uint64, c *client) {
	t := &j.world.result.Tenants
	if _, known := j.jobs[job]; known {
		return
	}
	j.jobs[job] = c
	j.accumulate(c.tenant)
	j.running[c.tenant]++
	urgent := c.class().Urgent
	if urgent {
		j.runningUrgent[c.tenant]++
	}
	if q := j.world.quotas; q != nil {
		q.backendChecker.HandleStart(j.world.now, t.ByTenant[c.tenant].Name, urgent)
	}
	result := &t.ByTenant[c.tenant]
	result.MaxRunning = max(result.MaxRunning, j.running[c.tenant]-j.runningUrgent[c.tenant])
	if c.starts > 1 || !j.inWindow(c.arrivedAt) {
		return
	}
	result.Starts++
	delays := t.OtherStartDelay
	if urgent {
		delays = t.UrgentStartDelay
	}
	_ = delays.RecordValue(int64((j.world.now-c.arrivedAt)*1000) + 1) // cannot fail: no client waits longer than a day, and the maximum is higher
}

// inWindow reports whether a time is in the measurement window.
func (j *tenantJobs) inWindow(at float64) bool {
	return at >= j.world.scenario.Window.From && at < j.world.scenario.Window.To
}

// handleEnd counts a job that no longer runs, whatever the reason.
func (j *tenantJobs) handleEnd(job uint64) {
	c := j.jobs[job]
	if c == nil {
		return
	}
	delete(j.jobs, job)
	j.accumulate(c.tenant)
	j.running[c.tenant]--
	if c.class().Urgent {
		j.runningUrgent[c.tenant]--
	}
	if q := j.world.quotas; q != nil {
		q.backendChecker.HandleEnd(j.world.result.Tenants.ByTenant[c.tenant].Name, c.class().Urgent)
	}
}

// accumulate adds the time since a tenant's counts last changed to its sums over time. It must be called before each
// change.
func (j *tenantJobs) accumulate(tenant int) {
	window := &j.world.scenario.Window
	if elapsed := min(j.world.now, window.To) - max(j.changedAt[tenant], window.From); elapsed > 0 {
		j.runningSum[tenant] += elapsed * float64(j.running[tenant])
		j.urgentSum[tenant] += elapsed * float64(j.runningUrgent[tenant])
	}
	j.changedAt[tenant] = j.world.now
}

// finish computes the results at the end of the run.
func (j *tenantJobs) finish() {
	window, t := &j.world.scenario.Window, &j.world.result.Tenants
	for i := range t.ByTenant {
		j.accumulate(i)
		t.ByTenant[i].entitlement = j.entitlement(i)
		t.ByTenant[i].Running, t.ByTenant[i].RunningUrgent = j.runningSum[i]/(window.To-window.From), j.urgentSum[i]/(window.To-window.From)
		t.Running += t.ByTenant[i].Running
	}
}

// entitlement returns how many jobs a tenant should have had running on average over the window, by its quotas.
func (j *tenantJobs) entitlement(i int) float64 {
	window, t := &j.world.scenario.Window, &j.world.scenario.Tenants[i]
	at, units, sum := window.From, t.Quota, 0.0
	addUntil := func(to float64) {
		if to = min(to, window.To); to > at {
			sum += (to - at) * float64(min(units, t.Demand))
			at = to
		}
	}
	for _, c := range j.world.scenario.QuotaChanges { // checkQuotas has checked that they are in order of time
		if c.Tenant == t.Name {
			addUntil(c.At)
			units = c.Quota
		}
	}
	addUntil(window.To)
	return sum / (window.To - window.From)
}

// moduleTenants returns the tenants' settings for the decision module: each tenant's share of all quotas, and the
// jobs that its quota allows to start in a second.
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

// Region is a part of the fleet. The numbers of its dispatchers are consecutive, and clients in it use only these
// dispatchers.
type Region struct {
	Name        string
	Dispatchers []int
}

// RegionOf returns the index of the region that a dispatcher is in; 0 if there are no regions.
func (sc *Scenario) RegionOf(dispatcher int) int {
	for i := range sc.Regions {
		d := sc.Regions[i].Dispatchers
		if dispatcher >= d[0] && dispatcher <= d[len(d)-1] {
			return i
		}
	}
	return 0
}

// reachable returns the dispatchers that a client's reqs may go to, out of those to which the load balancer in front
// sends: those of its tenant if DispatcherCount limits them, otherwise those of its region.
func (c *client) reachable(fronts []*dispatcher) []*dispatcher {
	w := c.world
	count := 0
	if w.tenants != nil {
		count = w.scenario.Tenants[c.tenant].DispatcherCount
	}
	if count == 0 && len(w.scenario.Regions) < 2 {
		return fronts
	}
	n := len(w.dispatchers)
	allowed := func(s *dispatcher) bool {
		if count > 0 {
			first := int(hashText(w.scenario.Tenants[c.tenant].Name) % uint64(n))
			for i := range count { // spread evenly over all dispatchers, and so over the regions
				if (first+i*n/count)%n == s.index {
					return true
				}
			}
			return false
		}
		return w.scenario.RegionOf(s.index) == c.region
	}
	var out []*dispatcher
	for _, s := range fronts {
		if allowed(s) {
			out = append(out, s)
		}
	}
	for i := 0; len(out) == 0 && i < n; i++ { // no allowed dispatcher is ready: the load balancer sends to all of them
		if s := w.dispatchers[i]; s.routed && allowed(s) {
			out = append(out, s)
		}
	}
	return out
}
