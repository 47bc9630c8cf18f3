package measure

import (
	"fmt"
	"time"

	"tinsail/internal/lab/capacity"
	"tinsail/internal/standin/platform"
)

// IdleConfig configures the measurement of dispatchers without load. All dispatchers of a part run side by side and are
// measured over one window, so a part takes one window for any number of sizes. Each dispatcher has its own discovery
// service.
type IdleConfig struct {
	Repeats int           // dispatchers per size
	Settle  time.Duration // time for the work after a start to finish
	Window  time.Duration // over which processor time, bytes and calls are counted
}

// slotsPerBackend is the number of slots of a backend at full size: 9,100 reqs over 580 backends.
const slotsPerBackend = 16

// readyBackends returns list entries of n ready backends. Nothing listens at their addresses; without load none is
// called.
func readyBackends(n int) (list []platform.Entry) {
	for i := range n {
		list = append(list, platform.Entry{Name: fmt.Sprintf("worker-%04d.region-1.example", i), Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250+1), Zone: "here", Type: "fast",
			Group: i % 100, Status: "Ready", Weight: slotsPerBackend, SinceMS: 1})
	}
	return list
}

// countingDirector is a simulated director that counts the bytes of its connections.
type countingDirector struct {
	*platform.Director
	*countingListener
}

// startDirector starts a director with a list of n ready backends.
func startDirector(n int) (*countingDirector, error) {
	listener, err := newCountingListener()
	if err != nil {
		return nil, err
	}
	d := &countingDirector{platform.NewDirector(listener), listener}
	for _, entry := range readyBackends(n) {
		d.Set(entry)
	}
	return d, nil
}

// Close stops the director.
func (d *countingDirector) Close() { d.Director.Close() }

// usage holds the cumulative counts of a dispatcher and its director, and its memory, at one moment.
type usage struct {
	at                                     time.Time
	cpu                                    time.Duration
	bytesFromDispatcher, bytesToDispatcher float64 // of the connections to the director
	calls                                  float64 // to the director
	rssMB, anonMB                          float64
}

// idleDispatcher is a dispatcher without load at the size x of the measured quantity.
type idleDispatcher struct {
	x        float64
	process  *dispatcher
	director *countingDirector
	start    usage // at the start of the window
}

// usage reads the current usage.
func (i *idleDispatcher) usage() (u usage, err error) {
	u.at = time.Now()
	if u.cpu, err = i.process.cpu(); err != nil {
		return u, err
	}
	u.bytesFromDispatcher, u.bytesToDispatcher = float64(i.director.bytesFromDispatcher.Load()), float64(i.director.bytesToDispatcher.Load())
	u.calls = float64(len(i.director.MainListener().Calls()))
	u.rssMB, u.anonMB, err = i.process.memory()
	return u, err
}

// idlePoint describes the dispatchers of one size of a slope.
type idlePoint struct {
	x                float64
	backends         int
	changesPerSecond float64 // of the list
	tenants          int
	pushed           bool
}

// idleSlopes measures all points, with c.Repeats dispatchers each, in one window. Slope names start with name.
func idleSlopes(p Program, c IdleConfig, name, against, note string, points []idlePoint) (rows []capacity.Row, err error) {
	var all []*idleDispatcher
	stop := make(chan struct{})
	defer func() {
		close(stop)
		for _, i := range all {
			i.process.kill()
			i.director.Close()
		}
	}()
	for _, point := range points {
		for range c.Repeats {
			director, err := startDirector(point.backends)
			if err != nil {
				return nil, err
			}
			process, err := p.start(dispatcherConfig{discovery: director.Address, sockets: 1024, memoryMB: 192, dispatchers: 300, tenants: point.tenants, pushed: point.pushed})
			if err != nil {
				director.Close()
				return nil, err
			}
			all = append(all, &idleDispatcher{x: point.x, process: process, director: director})
			if _, err := process.untilReady(); err != nil {
				return nil, err
			}
			if point.changesPerSecond > 0 {
				go changeList(director, point.backends, point.changesPerSecond, stop)
			}
		}
	}
	time.Sleep(c.Settle)
	for _, i := range all {
		if i.start, err = i.usage(); err != nil {
			return nil, err
		}
	}
	time.Sleep(c.Window)
	for _, i := range all {
		end, err := i.usage()
		if err != nil {
			return nil, err
		}
		seconds := end.at.Sub(i.start.at).Seconds()
		row := func(measure, unit string, y float64) {
			rows = append(rows, capacity.Row{Slope: name + "-" + measure, Unit: unit, Against: against, X: i.x, Y: y, Method: capacity.Real, Note: note})
		}
		row("cpu", "% of a core", 100*(end.cpu-i.start.cpu).Seconds()/seconds)
		row("rss", "MB", end.rssMB)
		row("anon", "MB", end.anonMB)
		row("bytes-in", "bytes a second", (end.bytesToDispatcher-i.start.bytesToDispatcher)/seconds)
		row("bytes-out", "bytes a second", (end.bytesFromDispatcher-i.start.bytesFromDispatcher)/seconds)
		row("calls", "calls a second", (end.calls-i.start.calls)/seconds)
	}
	return rows, nil
}

// changeList changes the director's list changesPerSecond times a second until stop is closed: one backend after
// another drains and becomes ready again.
func changeList(d *countingDirector, n int, changesPerSecond float64, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / changesPerSecond))
	defer ticker.Stop()
	list := readyBackends(n)
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		entry := list[k/2%n]
		if k%2 == 0 {
			entry.Status = "Terminating"
		}
		d.Set(entry)
	}
}

// ListSizes measures idle dispatchers against the number of backends in the list. Discovery answers on request.
func ListSizes(p Program, c IdleConfig, backends ...int) ([]capacity.Row, error) {
	var points []idlePoint
	for _, n := range backends {
		points = append(points, idlePoint{x: float64(n), backends: n})
	}
	return idleSlopes(p, c, "list", "backends", "idle; discovery answers on request", points)
}

// ListSizesPushed is ListSizes with discovery by an agent on the same host, which the dispatcher asks more often.
func ListSizesPushed(p Program, c IdleConfig, backends ...int) ([]capacity.Row, error) {
	var points []idlePoint
	for _, n := range backends {
		points = append(points, idlePoint{x: float64(n), backends: n, pushed: true})
	}
	return idleSlopes(p, c, "agent", "backends", "idle; discovery is an agent beside it", points)
}

// ListChangeRates measures idle dispatchers against the number of list changes a second.
func ListChangeRates(p Program, c IdleConfig, backends int, rates ...float64) ([]capacity.Row, error) {
	var points []idlePoint
	for _, rate := range rates {
		points = append(points, idlePoint{x: rate, backends: backends, changesPerSecond: rate})
	}
	return idleSlopes(p, c, "changes", "changes a second", fmt.Sprintf("%d backends; one drains or comes back", backends), points)
}

// TenantCounts measures idle dispatchers against the number of tenants in the configuration.
func TenantCounts(p Program, c IdleConfig, backends int, tenants ...int) ([]capacity.Row, error) {
	var points []idlePoint
	for _, n := range tenants {
		points = append(points, idlePoint{x: float64(n), backends: backends, tenants: n})
	}
	return idleSlopes(p, c, "tenants", "tenants", fmt.Sprintf("%d backends; idle", backends), points)
}
