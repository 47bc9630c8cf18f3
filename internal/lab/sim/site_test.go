package sim

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/lab/defaults"
	"tinsail/internal/lab/fleet"
)

// twoBackendScenario has two backends of two slots and one class of jobs of 200 ms that arrive at the given times.
func twoBackendScenario(c Class, times ...float64) Scenario {
	c.Name, c.Share, c.Work, c.Aim, c.Stretch, c.Deadline, c.Worth = "c", 1, 200, 120, 2, 5000, 1
	sc := Scenario{Seed: 1, Length: 10_000, ArrivalTimes: times, Work: 200, Deadline: 5000, Latency: 0.1, Connect: 0.1, Classes: []Class{c}}
	for _, name := range []string{"a", "b"} {
		sc.Backends = append(sc.Backends, Backend{Name: name, Kind: fleet.Kind{Name: "k", Cores: 2, Slots: 2, Speed: 1, QueueLimit: 4}})
	}
	return sc
}

func nonIdempotentClass() Class { return Class{Effect: balance.Unsafe} }

// A job of two slots occupies a whole backend of two slots: one backend runs two such jobs one after the other.
func TestTwoSlotJobs(t *testing.T) {
	for share, longest := range map[float64]float64{0: 201, 1: 401} {
		c := nonIdempotentClass()
		c.TwoSlotShare = share
		sc := twoBackendScenario(c, 0, 1)
		sc.Backends = sc.Backends[:1]
		r := runChecked(t, sc)
		assert.Equal(t, 2, r.Served)
		assert.InDelta(t, longest, float64(r.Latency.Max())/1000, 3, "slots %v", share+1)
	}
}

// doubleSender sends each req to both backends.
type doubleSender struct{ singleBackendPolicy }

func (p *doubleSender) Arrive(_ balance.Millis, q balance.Request) {
	p.actions.Dispatch(q.ID, workerID("a"), 0)
	p.actions.Dispatch(q.ID, workerID("b"), 0)
}

// A non-idempotent req that runs twice is counted and is a violation; a safe one may run twice.
func TestJobRunsTwice(t *testing.T) {
	for effect, want := range map[balance.Effect]int{balance.Unsafe: 1, balance.Safe: 0} {
		sc := twoBackendScenario(Class{Effect: effect}, 5)
		r, err := RunWithPolicy(sc, defaults.Settings(), func(s balance.Settings, a balance.Actions) (balance.Events, error) {
			d, err := balance.New(s, a)
			return &doubleSender{singleBackendPolicy{d, a, 0}}, err
		})
		require.NoError(t, err)
		assert.Equal(t, []int{want, want}, []int{r.RanTwice, r.ViolationCount}, effect)
	}
}

// The reqs of a killed dispatcher are lost: a non-idempotent one is not retried although its job runs on, a safe one is.
// Clients that arrive while the dispatcher is down reach nobody and may retry. The new process starts with the last list
// and then receives what has changed.
func TestRestart(t *testing.T) {
	for _, c := range []struct {
		effect    balance.Effect
		notInTime map[string]int
	}{{balance.Unsafe, map[string]int{"lost begun": 1, "unreachable": 1}}, {balance.Safe, map[string]int{"late": 2}}} {
		sc := twoBackendScenario(Class{Effect: c.effect}, 0, 400, 3000, 3001, 3002)
		sc.Retries, sc.Backoff = 1, 2000 // the retry comes after the dispatcher is back
		if c.effect == balance.Unsafe {
			sc.Retries = 0
		}
		sc.Restarts = []Restart{{At: 50, Downtime: 800, FrontDelay: 2500}}
		sc.Events = []Event{{At: 100, Backend: "a", Action: "unlist", NotifyDelay: 100}}
		r := runChecked(t, sc)
		assert.Equal(t, c.notInTime, r.Classes[0].NotInTime)
		assert.Equal(t, 3, r.InTime)
		assert.LessOrEqual(t, r.AttemptsByBackend["a"], 1, "only reqs from before the change")
		assert.Equal(t, r, runChecked(t, sc))
	}
}

// callRecorder records the calls that a dispatcher's decision module receives.
type callRecorder struct {
	balance.Events
	settings      balance.Settings
	progress      []float64
	workEstimates []float64
	listTimes     []float64
	listKinds     []balance.ListKind
	listSizes     []int
	lastWeight    float64
}

func (e *callRecorder) Progressed(now balance.Millis, p balance.Progress) {
	if !p.Started {
		e.progress = append(e.progress, p.Done)
	}
	e.Events.Progressed(now, p)
}

func (e *callRecorder) Arrive(now balance.Millis, q balance.Request) {
	e.workEstimates = append(e.workEstimates, q.Work)
	e.Events.Arrive(now, q)
}

func (e *callRecorder) Workers(now balance.Millis, kind balance.ListKind, list []balance.Worker) {
	e.listTimes = append(e.listTimes, now-float64(origin.UnixMilli()))
	e.listKinds, e.listSizes, e.lastWeight = append(e.listKinds, kind), append(e.listSizes, len(list)), list[0].Weight
	e.Events.Workers(now, kind, list)
}

func (e *callRecorder) run(t *testing.T, sc Scenario) Result {
	r, err := RunWithPolicy(sc, defaults.Settings(), func(s balance.Settings, a balance.Actions) (balance.Events, error) {
		d, err := balance.New(s, a)
		e.Events, e.settings = d, s
		return e, err
	})
	require.NoError(t, err)
	return r
}

// A restarted dispatcher starts with the last list that it received, then receives the changes made meanwhile.
func TestRestartStartsWithLastList(t *testing.T) {
	sc := twoBackendScenario(nonIdempotentClass(), 0, 2000)
	sc.Restarts = []Restart{{At: 50, Downtime: 800, FrontDelay: 100}}
	sc.Events = []Event{{At: 100, Backend: "a", Action: "unlist"}}
	e := &callRecorder{}
	e.run(t, sc)
	assert.Equal(t, []balance.ListKind{balance.ListFull, balance.ListCached, balance.ListFull}, e.listKinds)
	assert.Equal(t, []int{2, 2, 1}, e.listSizes)
}

// The decision module receives the progress of running jobs, estimates of their work, and list changes that a list delay
// holds back, in order. The scenario's site settings reach it.
func TestModuleInputs(t *testing.T) {
	sc := twoBackendScenario(nonIdempotentClass(), 0)
	sc.Classes[0].Work = 2500
	sc.Site = Site{ProgressEvery: 1000, EstimateSpread: 0.5, Unweighted: true, WorthByWork: true, Mix: balance.Mix{Whole: 0.5, WorstClass: 0.5}}
	sc.ListDelays = []ListDelay{{From: 900, To: 1100, Delay: 500}}
	sc.Events = []Event{{At: 1000, Backend: "b", Action: "drain", NotifyDelay: 100}, {At: 1200, Backend: "b", Action: "list", NotifyDelay: 100}}
	e := &callRecorder{}
	r := e.run(t, sc)
	assert.Equal(t, 1.0, e.lastWeight, "the list has no weights")
	require.Len(t, e.progress, 2)
	assert.InDelta(t, 1000/jobTime(r), e.progress[0], 0.01)
	assert.InDelta(t, 2*e.progress[0], e.progress[1], 0.01)
	assert.Equal(t, []float64{0, 1600, 1600}, e.listTimes)
	assert.NotZero(t, e.workEstimates[0])
	assert.NotEqual(t, r.Classes[0].TotalWorth, e.workEstimates[0], "the estimate differs from the work")
	assert.Equal(t, []any{balance.WeightNone, true, 1000.0, sc.Site.Mix}, []any{e.settings.Weight, e.settings.WorthByWork, e.settings.ProgressEvery, e.settings.Mix})
	assert.Equal(t, 1.0, r.Service())
}

// jobTime returns how long the only job of a run took, in ms.
func jobTime(r Result) float64 { return float64(r.Latency.Max()) / 1000 }

// A heavy period multiplies the work of a share of one class's reqs and leaves the other arrivals as they are. Scenarios
// with unknown or repeated names or a deadline of 0 are rejected.
func TestHeavyPeriod(t *testing.T) {
	sc := eightBackendScenario(5)
	sc.Classes = []Class{{Name: "x", Share: 3, Work: 100, Deadline: 5000}, {Name: "y", Share: 1, Work: 100, Deadline: 5000, TwoSlotShare: 0.5}}
	sc.HeavyPeriods = []HeavyPeriod{{From: 5000, To: 10_000, Class: "y", Share: 0.5, WorkFactor: 10}}
	heavy, ys, wide, n := 0, 0, 0, 0
	for a := range sc.Arrivals() {
		n++
		if a.Work > 500 {
			assert.True(t, a.Class == 1 && a.At >= 5000 && a.At < 10_000)
			heavy++
		}
		if a.Class == 1 {
			ys++
		}
		if a.Slots == 2 {
			wide++
		}
	}
	assert.InDelta(t, 0.25, float64(ys)/float64(n), 0.03)
	assert.InDelta(t, 0.5, float64(wide)/float64(ys), 0.1)
	assert.InDelta(t, 0.5*0.25*500, float64(heavy), 20)
	for _, bad := range []func(*Scenario){
		func(s *Scenario) { s.HeavyPeriods[0].Class = "z" },
		func(s *Scenario) { s.Classes[1].Name = "x" },
		func(s *Scenario) { s.Classes[1].Deadline = 0 },
		func(s *Scenario) { s.Restarts = []Restart{{Dispatcher: 1}} },
	} {
		sc := eightBackendScenario(5)
		sc.Classes = []Class{{Name: "x", Share: 3, Work: 100, Deadline: 5000}, {Name: "y", Share: 1, Work: 100, Deadline: 5000}}
		sc.HeavyPeriods = []HeavyPeriod{{Class: "y"}}
		bad(&sc)
		_, err := Run(sc, defaults.Settings())
		assert.Error(t, err)
	}
}
