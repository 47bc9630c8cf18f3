package sim

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/lab/defaults"
	"tinsail/internal/lab/fleet"
)

// bench has two backends of two slots and one class of jobs of 200 ms, that come at these times.
func bench(c Class, times ...float64) Scenario {
	c.Name, c.Share, c.Work, c.Aim, c.Stretch, c.Deadline, c.Worth = "c", 1, 200, 120, 2, 5000, 1
	sc := Scenario{Seed: 1, Length: 10_000, ArrivalTimes: times, Work: 200, Deadline: 5000, Latency: 0.1, Connect: 0.1, Classes: []Class{c}}
	for _, name := range []string{"a", "b"} {
		sc.Backends = append(sc.Backends, Backend{Name: name, Kind: fleet.Kind{Name: "k", Cores: 2, Slots: 2, Speed: 1, QueueLimit: 4}})
	}
	return sc
}

func unsafe() Class { return Class{Effect: balance.Unsafe} }

// TestWide: a job of two slots has a backend of two for itself, and its one backend serves two one after the other.
func TestWide(t *testing.T) {
	for wide, most := range map[float64]float64{0: 201, 1: 401} {
		c := unsafe()
		c.TwoSlotShare = wide
		sc := bench(c, 0, 1)
		sc.Backends = sc.Backends[:1]
		r := runChecked(t, sc)
		assert.Equal(t, 2, r.Served)
		assert.InDelta(t, most, float64(r.Latency.Max())/1000, 3, "slots %v", wide+1)
	}
}

// twice sends each req to both backends.
type twice struct{ first }

func (p *twice) Arrive(_ balance.Millis, q balance.Request) {
	p.act.Dispatch(q.ID, idOf("a"), 0)
	p.act.Dispatch(q.ID, idOf("b"), 0)
}

// TestTwice: a req that must run once and runs twice is counted, and the judge says so; a safe one may.
func TestTwice(t *testing.T) {
	for effect, want := range map[balance.Effect]int{balance.Unsafe: 1, balance.Safe: 0} {
		sc := bench(Class{Effect: effect}, 5)
		r, err := RunWithPolicy(sc, defaults.Settings(), func(s balance.Settings, a balance.Actions) (balance.Events, error) {
			d, err := balance.New(s, a)
			return &twice{first{d, a, 0}}, err
		})
		require.NoError(t, err)
		assert.Equal(t, []int{want, want}, []int{r.RanTwice, r.ViolationCount}, effect)
	}
}

// TestRestart: what a dispatcher held is lost with it: one that must run once is not asked for again though its job runs on, a
// safe one is. Who comes while it is down reaches nobody, and may come again. It comes back with its last list, and is told what changed.
func TestRestart(t *testing.T) {
	for _, c := range []struct {
		effect balance.Effect
		wrong  map[string]int
	}{{balance.Unsafe, map[string]int{"lost begun": 1, "unreachable": 1}}, {balance.Safe, map[string]int{"late": 2}}} {
		sc := bench(Class{Effect: c.effect}, 0, 400, 3000, 3001, 3002)
		sc.Retries, sc.Backoff = 1, 2000 // a second try comes once it is back
		if c.effect == balance.Unsafe {
			sc.Retries = 0
		}
		sc.Restarts = []Restart{{At: 50, Downtime: 800, FrontDelay: 2500}}
		sc.Events = []Event{{At: 100, Backend: "a", Action: "unlist", NotifyDelay: 100}}
		r := runChecked(t, sc)
		assert.Equal(t, c.wrong, r.Classes[0].NotInTime)
		assert.Equal(t, 3, r.InTime)
		assert.LessOrEqual(t, r.JobsByBackend["a"], 1, "only what came before the change")
		assert.Equal(t, r, runChecked(t, sc))
	}
}

// ear hears what a dispatcher is told.
type ear struct {
	balance.Events
	set    balance.Settings
	shares []float64
	work   []float64
	lists  []float64
	kinds  []balance.ListKind
	sizes  []int
	weight float64
}

func (e *ear) Progressed(now balance.Millis, p balance.Progress) {
	if !p.Started {
		e.shares = append(e.shares, p.Done)
	}
	e.Events.Progressed(now, p)
}

func (e *ear) Arrive(now balance.Millis, q balance.Request) {
	e.work = append(e.work, q.Work)
	e.Events.Arrive(now, q)
}

func (e *ear) Workers(now balance.Millis, kind balance.ListKind, list []balance.Worker) {
	e.lists = append(e.lists, now-float64(origin.UnixMilli()))
	e.kinds, e.sizes, e.weight = append(e.kinds, kind), append(e.sizes, len(list)), list[0].Weight
	e.Events.Workers(now, kind, list)
}

func (e *ear) play(t *testing.T, sc Scenario) Result {
	r, err := RunWithPolicy(sc, defaults.Settings(), func(s balance.Settings, a balance.Actions) (balance.Events, error) {
		d, err := balance.New(s, a)
		e.Events, e.set = d, s
		return e, err
	})
	require.NoError(t, err)
	return r
}

// TestLastList: a dispatcher that was killed has the list that it was told last, then what was told meanwhile.
func TestLastList(t *testing.T) {
	sc := bench(unsafe(), 0, 2000)
	sc.Restarts = []Restart{{At: 50, Downtime: 800, FrontDelay: 100}}
	sc.Events = []Event{{At: 100, Backend: "a", Action: "unlist"}}
	e := &ear{}
	e.play(t, sc)
	assert.Equal(t, []balance.ListKind{balance.ListFull, balance.ListCached, balance.ListFull}, e.kinds)
	assert.Equal(t, []int{2, 2, 1}, e.sizes)
}

// TestTold: shares of running jobs, guesses of their work, and changes that a stale list holds back, in order.
func TestTold(t *testing.T) {
	sc := bench(unsafe(), 0)
	sc.Classes[0].Work = 2500
	sc.Site = Site{ProgressEvery: 1000, EstimateSpread: 0.5, Unweighted: true, WorthByWork: true, Mix: balance.Mix{Whole: 0.5, WorstClass: 0.5}}
	sc.ListDelays = []ListDelay{{From: 900, To: 1100, Delay: 500}}
	sc.Events = []Event{{At: 1000, Backend: "b", Action: "drain", NotifyDelay: 100}, {At: 1200, Backend: "b", Action: "list", NotifyDelay: 100}}
	e := &ear{}
	r := e.play(t, sc)
	assert.Equal(t, 1.0, e.weight, "no sizes are told")
	require.Len(t, e.shares, 2)
	assert.InDelta(t, 1000/e2(r), e.shares[0], 0.01)
	assert.InDelta(t, 2*e.shares[0], e.shares[1], 0.01)
	assert.Equal(t, []float64{0, 1600, 1600}, e.lists)
	assert.NotZero(t, e.work[0])
	assert.NotEqual(t, r.Classes[0].TotalWorth, e.work[0], "a guess is rough")
	assert.Equal(t, []any{balance.WeightNone, true, 1000.0, sc.Site.Mix}, []any{e.set.Weight, e.set.WorthByWork, e.set.ProgressEvery, e.set.Mix})
	assert.Equal(t, 1.0, r.Service())
}

// e2 is how long the one job of a run took, ms.
func e2(r Result) float64 { return float64(r.Latency.Max()) / 1000 }

// TestHeavy: part of a class's reqs cost more for a while, and the rest of the arrivals stays as it is.
func TestHeavy(t *testing.T) {
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
