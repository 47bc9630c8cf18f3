package measure

import (
	"fmt"
	"time"

	"tinsail/internal/lab/capacity"
	"tinsail/internal/standin/platform"
)

// IdleConfig says how dispatchers without load are measured: all of a part at once, side by side, over one window, so that a part takes
// one window whatever its sizes; each has a discovery service of its own.
type IdleConfig struct {
	Repeats int
	Settle  time.Duration // what a start leaves to do is over by then
	Window  time.Duration // of processor time, bytes and messages
}

// weight is how many slots a worker of the letter's size has: 9,100 reqs over 580 of them.
const weight = 16

// entries are n ready backends, at an address where nobody listens: without load nobody calls.
func entries(n int) (list []platform.Entry) {
	for i := range n {
		list = append(list, platform.Entry{Name: fmt.Sprintf("worker-%04d.region-1.example", i), Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250+1), Zone: "here", Type: "fast",
			Group: i % 100, Status: "Ready", Weight: weight, SinceMS: 1})
	}
	return list
}

// director is a discovery service whose bytes are counted.
type director struct {
	*platform.Director
	*traffic
}

func startDirector(n int) (*director, error) {
	t, err := listenCounted()
	if err != nil {
		return nil, err
	}
	d := &director{platform.NewDirector(t), t}
	for _, e := range entries(n) {
		d.Set(e)
	}
	return d, nil
}

// Close ends it.
func (d *director) Close() { d.Director.Close() }

// spent is what a process and its discovery have used up to a moment.
type spent struct {
	at        time.Time
	cpu       time.Duration
	in, out   float64 // bytes of discovery's streams, from the dispatcher and to it
	calls     float64
	rss, anon float64
}

type idle struct {
	x       float64
	process *dispatcher
	from    *director
	first   spent
}

func (i *idle) look() (s spent, err error) {
	s.at = time.Now()
	if s.cpu, err = i.process.cpu(); err != nil {
		return s, err
	}
	s.in, s.out = float64(i.from.in.Load()), float64(i.from.out.Load())
	s.calls = float64(len(i.from.MainListener().Calls()))
	s.rss, s.anon, err = i.process.memory()
	return s, err
}

// size is one point of an idle slope.
type size struct {
	x       float64
	workers int
	changes float64 // of the list, a second
	tenants int
	pushed  bool
}

// idleSlopes measures all sizes, as often as repeats say, in one window. name is before each slope's name.
func idleSlopes(p Program, o IdleConfig, name, against, note string, sizes []size) (rows []capacity.Row, err error) {
	var all []*idle
	stop := make(chan struct{})
	defer func() {
		close(stop)
		for _, i := range all {
			i.process.kill()
			i.from.Close()
		}
	}()
	for _, s := range sizes {
		for range o.Repeats {
			from, err := startDirector(s.workers)
			if err != nil {
				return nil, err
			}
			process, err := p.start(setup{discovery: from.Address, sockets: 1024, memoryMB: 192, dispatchers: 300, tenants: s.tenants, pushed: s.pushed})
			if err != nil {
				from.Close()
				return nil, err
			}
			all = append(all, &idle{x: s.x, process: process, from: from})
			if _, err := process.untilReady(); err != nil {
				return nil, err
			}
			if s.changes > 0 {
				go change(from, s.workers, s.changes, stop)
			}
		}
	}
	time.Sleep(o.Settle)
	for _, i := range all {
		if i.first, err = i.look(); err != nil {
			return nil, err
		}
	}
	time.Sleep(o.Window)
	for _, i := range all {
		last, err := i.look()
		if err != nil {
			return nil, err
		}
		took := last.at.Sub(i.first.at).Seconds()
		row := func(what, unit string, y float64) {
			rows = append(rows, capacity.Row{Slope: name + "-" + what, Unit: unit, Against: against, X: i.x, Y: y, Method: capacity.Real, Note: note})
		}
		row("cpu", "% of a core", 100*(last.cpu-i.first.cpu).Seconds()/took)
		row("rss", "MB", last.rss)
		row("anon", "MB", last.anon)
		row("bytes-in", "bytes a second", (last.out-i.first.out)/took)
		row("bytes-out", "bytes a second", (last.in-i.first.in)/took)
		row("calls", "calls a second", (last.calls-i.first.calls)/took)
	}
	return rows, nil
}

// change has backends drain and come back by turns, so many changes a second, until it is stopped.
func change(d *director, n int, rate float64, stop <-chan struct{}) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	list := entries(n)
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		e := list[k/2%n]
		if k%2 == 0 {
			e.Status = "Terminating"
		}
		d.Set(e)
	}
}

// ListSizes is a dispatcher's control without load against the number of backends in its list.
func ListSizes(p Program, o IdleConfig, workers ...int) ([]capacity.Row, error) {
	var sizes []size
	for _, n := range workers {
		sizes = append(sizes, size{x: float64(n), workers: n})
	}
	return idleSlopes(p, o, "list", "backends", "idle; discovery answers on request", sizes)
}

// ListSizesPushed is List where discovery is an agent beside the dispatcher, which is asked more often.
func ListSizesPushed(p Program, o IdleConfig, workers ...int) ([]capacity.Row, error) {
	var sizes []size
	for _, n := range workers {
		sizes = append(sizes, size{x: float64(n), workers: n, pushed: true})
	}
	return idleSlopes(p, o, "agent", "backends", "idle; discovery is an agent beside it", sizes)
}

// ListChangeRates is a dispatcher's control against changes of its list a second.
func ListChangeRates(p Program, o IdleConfig, workers int, rates ...float64) ([]capacity.Row, error) {
	var sizes []size
	for _, r := range rates {
		sizes = append(sizes, size{x: r, workers: workers, changes: r})
	}
	return idleSlopes(p, o, "changes", "changes a second", fmt.Sprintf("%d backends; one drains or comes back", workers), sizes)
}

// TenantCounts is a dispatcher's control against the tenants in its configuration.
func TenantCounts(p Program, o IdleConfig, workers int, tenants ...int) ([]capacity.Row, error) {
	var sizes []size
	for _, n := range tenants {
		sizes = append(sizes, size{x: float64(n), workers: workers, tenants: n})
	}
	return idleSlopes(p, o, "tenants", "tenants", fmt.Sprintf("%d backends; idle", workers), sizes)
}
