package measure

import (
	"fmt"
	"sync"
	"time"

	"tinsail/internal/lab/capacity"
	"tinsail/internal/standin/platform"
)

// settled is how long after it was ready a process is watched for what a start costs its discovery.
const settled = 500 * time.Millisecond

// restarts starts n processes at once, the list being known to each from a file where known is set, and waits until all are ready.
// The figures are those of each (ms until ready by its own log), and of all together.
func restarts(p Program, n, workers int, known bool) (ms []float64, calls, in, out float64, err error) {
	from, err := startDirector(workers)
	if err != nil {
		return nil, 0, 0, 0, err
	}
	defer from.Close()
	s := dispatcherConfig{discovery: from.Address, sockets: 1024, memoryMB: 192, dispatchers: 300}
	if known {
		s.knownBackends = []platform.Entry{}
		s.knownBackends = append(s.knownBackends, readyBackends(workers)...)
	}
	ms = make([]float64, n)
	errs := make([]error, n)
	all := make([]*dispatcher, n)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			s := s
			s.selfIndex = i
			if all[i], errs[i] = p.start(s); errs[i] == nil {
				ms[i], errs[i] = all[i].untilReady()
			}
		})
	}
	wait.Wait()
	time.Sleep(settled)
	calls, in, out = float64(len(from.MainListener().Calls())), float64(from.bytesToDispatcher.Load()), float64(from.bytesFromDispatcher.Load())
	for i := range all {
		if all[i] != nil {
			all[i].kill()
		}
		if errs[i] != nil {
			err = errs[i]
		}
	}
	return ms, calls, in, out, err
}

// RestartOne is a restart of one dispatcher against the size of the list: ms until it is ready, and what discovery is asked and sends.
// Where the list was known only the time and the calls are told.
// timed says whether the machine is quiet enough for times; where not only counts are returned.
func RestartOne(p Program, repeats int, timed bool, workers ...int) (rows []capacity.Row, err error) {
	for _, n := range workers {
		for range repeats {
			for _, known := range []bool{false, true} {
				name, note := "restart", "nothing known; until 0.5 s after it was ready"
				if known {
					name, note = "restart-known", "the list known from its configuration, and old; until 0.5 s after it was ready"
				}
				ms, calls, in, out, err := restarts(p, 1, n, known)
				if err != nil {
					return nil, err
				}
				row := func(what, unit string, y float64) {
					rows = append(rows, capacity.Row{Slope: name + "-" + what, Unit: unit, Against: "backends", X: float64(n), Y: y, Method: capacity.Real, Note: note})
				}
				if timed {
					row("ms", "ms", ms[0])
				}
				row("calls", "calls", calls)
				if !known { // it asks later, at a time drawn by chance
					row("bytes-in", "bytes", in)
					row("bytes-out", "bytes", out)
				}
			}
		}
	}
	return rows, nil
}

// RestartAll is a restart of several dispatchers at one moment, all of one discovery service.
func RestartAll(p Program, repeats int, timed bool, workers int, dispatchers ...int) (rows []capacity.Row, err error) {
	for _, n := range dispatchers {
		for range repeats {
			ms, calls, in, out, err := restarts(p, n, workers, false)
			if err != nil {
				return nil, err
			}
			row := func(what, unit string, y float64) {
				rows = append(rows, capacity.Row{Slope: "restart-all-" + what, Unit: unit, Against: "dispatchers at once", X: float64(n), Y: y, Method: capacity.Real, Note: fmt.Sprintf("%d backends", workers)})
			}
			if timed {
				most := 0.0
				for _, v := range ms {
					most = max(most, v)
				}
				row("ms", "ms until the last", most)
			}
			row("calls", "calls", calls)
			row("bytes-in", "bytes", in)
			row("bytes-out", "bytes", out)
		}
	}
	return rows, nil
}
