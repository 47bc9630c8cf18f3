package measure

import (
	"fmt"
	"math"
	"runtime"

	"time"

	"tinsail/internal/balance"
	"tinsail/internal/lab/capacity"
)

// dispatchers is how many the module is told that there are.
const dispatchers = 300

// ModuleConfig says how the decision module is measured by itself: as one of many dispatchers.
type ModuleConfig struct {
	Workers, InFlight, Teams int
	Rounds                   int // reqs that are timed, from arrival to answer
	Repeats                  int
	IncludeTimes             bool
}

// sent notes where the reqs that are in flight went, and nothing else: ids come in turn, so that a ring holds them.
type sent struct {
	to []balance.WorkerID
}

func (s *sent) of(id balance.RequestID) *balance.WorkerID { return &s.to[int(id)%len(s.to)] }

func (s *sent) Dispatch(id balance.RequestID, to balance.WorkerID, _ balance.Millis) { *s.of(id) = to }
func (s *sent) Refuse(balance.RequestID, balance.Millis)                             {}
func (s *sent) Fail(balance.RequestID)                                               {}
func (s *sent) Cancel(balance.RequestID, int)                                        {}
func (s *sent) Probe(balance.WorkerID)                                               {}
func (s *sent) CloseIdle(balance.WorkerID)                                           {}
func (s *sent) Wake(balance.Millis, uint64)                                          {}
func (s *sent) Subscribe()                                                           {}
func (s *sent) Log(string)                                                           {}

func (m ModuleConfig) settings() balance.Settings {
	s := balance.Settings{Seed: 1, Self: 0, Instances: dispatchers, Zones: 1, Kinds: 2, Weight: balance.WeightSize, Metrics: []balance.Metric{balance.MetricFreeSlots}, ReportInAnswer: true, TellsStart: true,
		Subscribe: true, MaxAttempts: 3, MayCancel: true, MaxPause: 2000, ConnectTimeout: 120, Tick: 2,
		Rules:   balance.Rules{AnswerSlack: 8, AskEvery: 10000, FallMultiple: 3, FallWindow: 2000, StartCapacity: 0.31, WarmAfter: 9000, DrainGrace: 500},
		Classes: []balance.Class{{Worth: 1, Aim: 1e8, Stretch: 2, Deadline: 1e9, Effect: balance.Deduped, Scope: balance.ScopeCell, RepeatWindow: 7500, Kind: -1}}}
	for range m.Teams {
		s.Tenants = append(s.Tenants, balance.Tenant{Share: 1 / float64(m.Teams), QuotaPerS: 1e6})
	}
	return s
}

func (m ModuleConfig) list() (list []balance.Worker) {
	// Slots for what would be in flight at all dispatchers, and a margin: who has none left refuses, which is another decision.
	size := math.Ceil(2*dispatchers*float64(m.InFlight)/float64(m.Workers)) + slotsPerBackend
	for i := range m.Workers {
		list = append(list, balance.Worker{ID: balance.WorkerID(i + 1), Kind: i % 2, Cell: i % 100, State: balance.Ready, Weight: size})
	}
	return list
}

// moduleRun is one repeat: the time and the bytes newly allocated a req, and the bytes that stay held.
type moduleRun struct {
	ns, bytes, held float64
}

// run brings InFlight reqs in flight, then has Rounds more come while as many end. One req is its arrival with the choice, its
// start and its answer.
func (m ModuleConfig) run() (r moduleRun, err error) {
	s := &sent{to: make([]balance.WorkerID, m.InFlight+2)} // before what is held is counted
	var before, filled, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d, err := balance.New(m.settings(), s)
	if err != nil {
		return r, err
	}
	now := 1.7e12
	d.Workers(now, balance.ListFull, m.list())
	next := 0
	teams := max(m.Teams, 1)
	arrive := func() error {
		next++
		id := balance.RequestID(next)
		*s.of(id) = 0
		d.Arrive(now, balance.Request{ID: id, Tenant: next % teams, Deadline: now + 1e9, Slots: 1})
		to := *s.of(id)
		if to == 0 {
			return fmt.Errorf("req %d of %d was not sent", next, m.InFlight)
		}
		d.Progressed(now+2, balance.Progress{ID: id, Worker: to, Started: true})
		return nil
	}
	for range m.InFlight {
		if err := arrive(); err != nil {
			return r, err
		}
		now++
	}
	runtime.GC()
	runtime.ReadMemStats(&filled)
	r.held = float64(filled.HeapAlloc) - float64(before.HeapAlloc)
	report := []float32{2}
	oldest := 1
	one := func() error {
		if err := arrive(); err != nil {
			return err
		}
		id := balance.RequestID(oldest)
		oldest++
		d.AttemptEnded(now+4, balance.Outcome{ID: id, Worker: *s.of(id), Took: 200, Closed: true, Report: report})
		now += 10
		return nil
	}
	for range m.Rounds / 10 { // what grows to its size first
		if err := one(); err != nil {
			return r, err
		}
	}
	runtime.ReadMemStats(&filled)
	begun := time.Now()
	for range m.Rounds {
		if err := one(); err != nil {
			return r, err
		}
	}
	took := time.Since(begun)
	runtime.ReadMemStats(&after)
	r.ns = float64(took.Nanoseconds()) / float64(m.Rounds)
	r.bytes = float64(after.TotalAlloc-filled.TotalAlloc) / float64(m.Rounds)
	runtime.KeepAlive(d)
	return r, nil
}

// rows measures at one size of one kind.
func (m ModuleConfig) rows(name, against string, x int) (rows []capacity.Row, err error) {
	note := fmt.Sprintf("%d backends, %d reqs in flight, %d teams; arrival, start and answer of one req", m.Workers, m.InFlight, m.Teams)
	for range m.Repeats {
		r, err := m.run()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", note, err)
		}
		row := func(what, unit string, y float64) {
			rows = append(rows, capacity.Row{Slope: name + "-" + what, Unit: unit, Against: against, X: float64(x), Y: y, Method: capacity.InProcess, Note: note})
		}
		if m.IncludeTimes {
			row("us", "us a req", r.ns/1000)
		}
		row("allocated", "bytes allocated a req", math.Round(r.bytes))
		row("held", "KB held", r.held/1024)
	}
	return rows, nil
}

// ModuleSlopes are the module's time and memory against workers, reqs in flight and teams, each with the others as m says.
func ModuleSlopes(m ModuleConfig, workers, flights, teams []int) (rows []capacity.Row, err error) {
	add := func(m ModuleConfig, name, against string, x int) {
		if err != nil {
			return
		}
		var more []capacity.Row
		more, err = m.rows(name, against, x)
		rows = append(rows, more...)
	}
	for _, n := range workers {
		of := m
		of.Workers = n
		add(of, "module-workers", "backends", n)
	}
	for _, n := range flights {
		of := m
		of.InFlight = n
		add(of, "module-flight", "reqs in flight", n)
	}
	for _, n := range teams {
		of := m
		of.Teams = n
		add(of, "module-teams", "teams", n)
	}
	return rows, err
}
