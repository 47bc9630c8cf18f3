package measure

import (
	"fmt"
	"math"
	"runtime"

	"time"

	"tinsail/internal/balance"
	"tinsail/internal/lab/capacity"
)

// fleetSize is the number of dispatchers that the module is configured with.
const fleetSize = 300

// ModuleConfig configures a measurement of the decision module called directly, as one of fleetSize dispatchers.
type ModuleConfig struct {
	Workers, InFlight, Teams int
	Rounds                   int // reqs that are measured, from arrival to answer
	Repeats                  int
	IncludeTimes             bool // whether to return times; they are reliable only on a quiet machine
}

// dispatchRecorder records the worker of each req in flight and ignores all other calls of the module. Req ids are
// consecutive, so a ring buffer holds them.
type dispatchRecorder struct {
	workers []balance.WorkerID
}

// workerOf returns the ring entry of a req.
func (r *dispatchRecorder) workerOf(id balance.RequestID) *balance.WorkerID {
	return &r.workers[int(id)%len(r.workers)]
}

func (r *dispatchRecorder) Dispatch(id balance.RequestID, to balance.WorkerID, _ balance.Millis) {
	*r.workerOf(id) = to
}
func (r *dispatchRecorder) Refuse(balance.RequestID, balance.Millis) {}
func (r *dispatchRecorder) Fail(balance.RequestID)                   {}
func (r *dispatchRecorder) Cancel(balance.RequestID, int)            {}
func (r *dispatchRecorder) Probe(balance.WorkerID)                   {}
func (r *dispatchRecorder) CloseIdle(balance.WorkerID)               {}
func (r *dispatchRecorder) Wake(balance.Millis, uint64)              {}
func (r *dispatchRecorder) Subscribe()                               {}
func (r *dispatchRecorder) Log(string)                               {}

// settings returns the module's settings.
func (m ModuleConfig) settings() balance.Settings {
	s := balance.Settings{Seed: 1, Self: 0, Instances: fleetSize, Zones: 1, Kinds: 2, Weight: balance.WeightSize, Metrics: []balance.Metric{balance.MetricFreeSlots}, ReportInAnswer: true, TellsStart: true,
		Subscribe: true, MaxAttempts: 3, MayCancel: true, MaxPause: 2000, ConnectTimeout: 120, Tick: 2,
		Rules:   balance.Rules{AnswerSlack: 8, AskEvery: 10000, FallMultiple: 3, FallWindow: 2000, StartCapacity: 0.31, WarmAfter: 9000, DrainGrace: 500},
		Classes: []balance.Class{{Worth: 1, Aim: 1e8, Stretch: 2, Deadline: 1e9, Effect: balance.Deduped, Scope: balance.ScopeCell, RepeatWindow: 7500, Kind: -1}}}
	for range m.Teams {
		s.Tenants = append(s.Tenants, balance.Tenant{Share: 1 / float64(m.Teams), QuotaPerS: 1e6})
	}
	return s
}

// workerList returns the workers that the module is given.
func (m ModuleConfig) workerList() (list []balance.Worker) {
	// Slots for the reqs in flight at all dispatchers and a margin: without free slots reqs are refused, which is
	// another decision.
	size := math.Ceil(2*fleetSize*float64(m.InFlight)/float64(m.Workers)) + slotsPerBackend
	for i := range m.Workers {
		list = append(list, balance.Worker{ID: balance.WorkerID(i + 1), Kind: i % 2, Cell: i % 100, State: balance.Ready, Weight: size})
	}
	return list
}

// moduleResult is the result of one repeat: time and allocated bytes per req, and the bytes retained with all reqs in
// flight.
type moduleResult struct {
	nanosPerReq, allocatedBytesPerReq, heldBytes float64
}

// measure brings InFlight reqs in flight, then measures Rounds reqs that arrive while as many end. The cost of a req
// covers its arrival with the choice of a worker, its start and its answer.
func (m ModuleConfig) measure() (r moduleResult, err error) {
	recorder := &dispatchRecorder{workers: make([]balance.WorkerID, m.InFlight+2)} // allocated before the retained bytes are counted
	var before, filled, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d, err := balance.New(m.settings(), recorder)
	if err != nil {
		return r, err
	}
	now := 1.7e12
	d.Workers(now, balance.ListFull, m.workerList())
	next := 0
	teams := max(m.Teams, 1)
	arrive := func() error {
		next++
		id := balance.RequestID(next)
		*recorder.workerOf(id) = 0
		d.Arrive(now, balance.Request{ID: id, Tenant: next % teams, Deadline: now + 1e9, Slots: 1})
		to := *recorder.workerOf(id)
		if to == 0 {
			return fmt.Errorf("req %d of %d was not dispatched", next, m.InFlight)
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
	r.heldBytes = float64(filled.HeapAlloc) - float64(before.HeapAlloc)
	report := []float32{2}
	oldest := 1
	arriveAndEnd := func() error {
		if err := arrive(); err != nil {
			return err
		}
		id := balance.RequestID(oldest)
		oldest++
		d.AttemptEnded(now+4, balance.Outcome{ID: id, Worker: *recorder.workerOf(id), Took: 200, Closed: true, Report: report})
		now += 10
		return nil
	}
	for range m.Rounds / 10 { // warm-up: lets data structures grow to their final size
		if err := arriveAndEnd(); err != nil {
			return r, err
		}
	}
	runtime.ReadMemStats(&filled)
	start := time.Now()
	for range m.Rounds {
		if err := arriveAndEnd(); err != nil {
			return r, err
		}
	}
	elapsed := time.Since(start)
	runtime.ReadMemStats(&after)
	r.nanosPerReq = float64(elapsed.Nanoseconds()) / float64(m.Rounds)
	r.allocatedBytesPerReq = float64(after.TotalAlloc-filled.TotalAlloc) / float64(m.Rounds)
	runtime.KeepAlive(d)
	return r, nil
}

// rows measures one size of one slope.
func (m ModuleConfig) rows(name, against string, x int) (rows []capacity.Row, err error) {
	note := fmt.Sprintf("%d backends, %d reqs in flight, %d teams; arrival, start and answer of one req", m.Workers, m.InFlight, m.Teams)
	for range m.Repeats {
		r, err := m.measure()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", note, err)
		}
		row := func(measure, unit string, y float64) {
			rows = append(rows, capacity.Row{Slope: name + "-" + measure, Unit: unit, Against: against, X: float64(x), Y: y, Method: capacity.InProcess, Note: note})
		}
		if m.IncludeTimes {
			row("us", "us a req", r.nanosPerReq/1000)
		}
		row("allocated", "bytes allocated a req", math.Round(r.allocatedBytesPerReq))
		row("held", "KB held", r.heldBytes/1024)
	}
	return rows, nil
}

// ModuleSlopes measures the module's time and memory against the number of workers, of reqs in flight and of teams,
// each with the other two as in m.
func ModuleSlopes(m ModuleConfig, workers, inFlight, teams []int) (rows []capacity.Row, err error) {
	add := func(m ModuleConfig, name, against string, x int) {
		if err != nil {
			return
		}
		var more []capacity.Row
		more, err = m.rows(name, against, x)
		rows = append(rows, more...)
	}
	for _, n := range workers {
		config := m
		config.Workers = n
		add(config, "module-workers", "backends", n)
	}
	for _, n := range inFlight {
		config := m
		config.InFlight = n
		add(config, "module-flight", "reqs in flight", n)
	}
	for _, n := range teams {
		config := m
		config.Teams = n
		add(config, "module-teams", "teams", n)
	}
	return rows, err
}
