package measure

import (
	"fmt"
	"sync"
	"time"

	"tinsail/internal/lab/capacity"
	"tinsail/internal/standin/platform"
)

// observeAfterReady is how long discovery traffic is counted after all processes are ready, so that it includes all
// that a start causes.
const observeAfterReady = 500 * time.Millisecond

// startTogether starts n processes at once and waits until all are ready. If known is set, the configuration of each
// contains the list. It returns the time of each until ready in ms, by its own log, and the calls and bytes of all
// together.
func startTogether(p Program, n, backends int, known bool) (ms []float64, calls, bytesIn, bytesOut float64, err error) {
	director, err := startDirector(backends)
	if err != nil {
		return nil, 0, 0, 0, err
	}
	defer director.Close()
	config := dispatcherConfig{discovery: director.Address, sockets: 1024, memoryMB: 192, dispatchers: 300}
	if known {
		config.knownBackends = []platform.Entry{}
		config.knownBackends = append(config.knownBackends, readyBackends(backends)...)
	}
	ms = make([]float64, n)
	errs := make([]error, n)
	all := make([]*dispatcher, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			config := config
			config.selfIndex = i
			if all[i], errs[i] = p.start(config); errs[i] == nil {
				ms[i], errs[i] = all[i].untilReady()
			}
		})
	}
	wg.Wait()
	time.Sleep(observeAfterReady)
	calls, bytesIn, bytesOut = float64(len(director.MainListener().Calls())), float64(director.bytesToDispatcher.Load()), float64(director.bytesFromDispatcher.Load())
	for i := range all {
		if all[i] != nil {
			all[i].kill()
		}
		if errs[i] != nil {
			err = errs[i]
		}
	}
	return ms, calls, bytesIn, bytesOut, err
}

// RestartOne measures the restart of one dispatcher against the number of backends in the list: the time until it is
// ready in ms, and its calls and bytes of discovery. With a known list only the time and the calls are returned. Times
// are returned only if includeTimes is set, which requires a quiet machine.
func RestartOne(p Program, repeats int, includeTimes bool, backends ...int) (rows []capacity.Row, err error) {
	for _, n := range backends {
		for range repeats {
			for _, known := range []bool{false, true} {
				name, note := "restart", "nothing known; until 0.5 s after it was ready"
				if known {
					name, note = "restart-known", "the list known from its configuration, and old; until 0.5 s after it was ready"
				}
				ms, calls, bytesIn, bytesOut, err := startTogether(p, 1, n, known)
				if err != nil {
					return nil, err
				}
				row := func(measure, unit string, y float64) {
					rows = append(rows, capacity.Row{Slope: name + "-" + measure, Unit: unit, Against: "backends", X: float64(n), Y: y, Method: capacity.Real, Note: note})
				}
				if includeTimes {
					row("ms", "ms", ms[0])
				}
				row("calls", "calls", calls)
				if !known { // with a known list it requests the list later, at a random time
					row("bytes-in", "bytes", bytesIn)
					row("bytes-out", "bytes", bytesOut)
				}
			}
		}
	}
	return rows, nil
}

// RestartAll measures the restart of several dispatchers at once that share one discovery service. Times are returned
// only if includeTimes is set, which requires a quiet machine.
func RestartAll(p Program, repeats int, includeTimes bool, backends int, dispatchers ...int) (rows []capacity.Row, err error) {
	for _, n := range dispatchers {
		for range repeats {
			ms, calls, bytesIn, bytesOut, err := startTogether(p, n, backends, false)
			if err != nil {
				return nil, err
			}
			row := func(measure, unit string, y float64) {
				rows = append(rows, capacity.Row{Slope: "restart-all-" + measure, Unit: unit, Against: "dispatchers at once", X: float64(n), Y: y, Method: capacity.Real, Note: fmt.Sprintf("%d backends", backends)})
			}
			if includeTimes {
				last := 0.0
				for _, readyAfter := range ms {
					last = max(last, readyAfter)
				}
				row("ms", "ms until the last", last)
			}
			row("calls", "calls", calls)
			row("bytes-in", "bytes", bytesIn)
			row("bytes-out", "bytes", bytesOut)
		}
	}
	return rows, nil
}
