package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"tinsail/internal/balance"
	"tinsail/internal/config"
	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/guard"
	"tinsail/internal/http2"
	"tinsail/internal/logs"
	"tinsail/internal/network"
	"tinsail/internal/network/admin"
	"tinsail/internal/network/budgets"
	"tinsail/internal/network/fleet/accord"
	"tinsail/internal/network/maintain"
	"tinsail/internal/service"
	"tinsail/internal/settings"
)

// serve runs the dispatcher until it has ended on a signal.
func serve(o options, errs io.Writer) error {
	startedAt := time.Now()
	sig := notifySignals() // first of all, as a signal without a handler ends the program
	log, err := logs.New(errs, o.logLevel, o.logFormat)
	if err != nil {
		return inputError{err}
	}
	cfg, err := config.Load(os.Getenv)
	set, err2 := settings.Load(o.settingsPath)
	if err = errors.Join(err, err2, checkAddresses(cfg, set), checkSources(cfg, set), checkBudgets(set), checkAccord(cfg, set), checkQuotas(cfg, set)); err != nil {
		return inputError{err}
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetGCPercent(200)
	from, err := requestHandover(cfg, log)
	if err != nil {
		return err
	}
	d, err := assemble(cfg, set, log, from)
	if err != nil {
		from.close()
		return err
	}
	d.readiness.startedAt = startedAt
	from.closeFiles() // used listeners have descriptors of their own, and unused ones must not stay open
	d.start()
	e := log.Info().Stringer("listen", d.listener.Addr()).Str("discovery", cfg.Discovery)
	if d.http2Listener != nil {
		e.Stringer("http2", d.http2Listener.Addr())
	}
	if d.door != nil {
		e.Stringer("admin", d.doorListener.Addr())
	}
	e.Msg("serving")
	sig.handle(signalHandlers{
		reload: func() { cfg, set = d.reload(cfg, set, o.settingsPath) },
		stats:  d.logCounters,
		trace:  d.guard.LogTrace,
		drain:  d.drain,
	}, o.countersEvery, d.service.Ended())
	d.stopParts()
	d.logCounters()
	if err := d.handover.endReason(); err != nil {
		return err
	}
	log.Info().Msg("ended on a signal")
	return nil
}

// checkAddresses reports an address that the configuration and the settings both use. Either may be nil.
func checkAddresses(cfg *config.Config, set *settings.Settings) error {
	if cfg == nil || set == nil || set.HTTP2 == nil || strings.HasSuffix(set.HTTP2.Listen, ":0") {
		return nil
	}
	switch at := set.HTTP2.Listen; at {
	case cfg.Listen:
		return settings.Faults{set.Fault("http2.listen", "is "+at+", where HTTP/1.1 listens already")}
	case cfg.Admin:
		return settings.Faults{set.Fault("http2.listen", "is "+at+", where the operators' door is")}
	}
	return nil
}

// dispatcher is a complete dispatcher with its parts wired.
type dispatcher struct {
	cfg          *config.Config
	settings     *settings.Settings // as read at the start
	log          zerolog.Logger
	count        *counters.Set
	guard        *guard.Recorder
	core         *core.Core
	pool         *network.Pool
	director     *network.Director
	clients      *network.Clients
	service      *network.Service
	listener     net.Listener
	bans         *maintain.Manager // nil if there is no door and no accord
	handleList   func(balance.ListKind, []core.Entry)
	door         *admin.Server // the operators' control listener; nil if it is off
	doorListener net.Listener
	handover     *processHandover // nil if there is no door
	readiness    readiness

	sources       *sources       // nil if the director is the only source of backends
	budgets       *fleetBudgets  // nil if the settings declare none
	accord        *accord.Accord // nil if it is off
	quotas        *fleetQuotas   // nil if the settings declare none
	http2         *network.HTTP2 // nil if it is off
	http2Listener net.Listener
}

func http2Limits(h *settings.HTTP2) network.HTTP2Limits {
	return network.HTTP2Limits{MaxStreams: h.MaxStreams, MaxHeaderBytes: h.MaxHeaderBytes, MaxFrameBytes: h.MaxFrameBytes,
		StallTimeout: h.StallTimeout(), DrainTimeout: h.DrainTimeout(), CancelOnReset: h.CancelOnReset()}
}

// assemble creates the parts and opens the listeners. It serves no client yet; start does. from is what another process of this
// dispatcher hands over; its zero value means that there is none.
func assemble(cfg *config.Config, set *settings.Settings, log zerolog.Logger, from handoverData) (*dispatcher, error) {
	d := &dispatcher{cfg: cfg, log: log, count: &counters.Set{}, guard: &guard.Recorder{Log: log}}
	d.readiness.startedAt = time.Now()
	share := network.SplitDescriptors(network.MaxDescriptors(cfg.Sockets) - doorDescriptors(cfg))
	d.pool = &network.Pool{Names: &cfg.Names, Count: d.count, MaxConnections: share.Backends, Dial: hostOS.dial, IdleTimeout: cfg.BackendIdleTimeout * 7 / 10,
		ConnectTimeout: time.Duration(cfg.Settings.ConnectTimeout * float64(time.Millisecond))}
	d.director = &network.Director{Names: &cfg.Names, Count: d.count, Address: cfg.Discovery, Dial: hostOS.dial}
	if d.director.Timings = network.AgentTimings().WithinGrace(time.Duration(cfg.Settings.Rules.DrainGrace * float64(time.Millisecond))); cfg.Settings.Subscribe {
		d.director.Timings = network.PollTimings(time.Duration(cfg.Settings.Rules.AskEvery * float64(time.Millisecond)))
	}
	var err error
	if d.core, err = core.New(cfg.Settings, d.pool, d.director, d.count); err != nil {
		return nil, err
	}
	d.core.Log, d.core.Guard = log, d.guard
	d.core.OffsetWallClock(hostOS.wallClockOffset)
	if d.handleList = d.passListToCore; cfg.Admin != "" || set.Accord != nil {
		d.bans = &maintain.Manager{OnList: d.passListToCore, SetBanned: d.core.SetBanned, CloseIdle: d.pool.CloseIdleByID, Now: d.core.Now, WallClock: hostOS.wallClock, Log: log}
		if cfg.Admin != "" {
			d.bans.Path = statePath(cfg, "bans")
			if hostOS.wrapStore != nil {
				d.bans.Store = hostOS.wrapStore(maintain.File(d.bans.Path))
			}
		}
		d.handleList = d.bans.HandleList
	}
	d.director.OnList, d.director.OnAnswer = d.handleList, d.core.DirectorAnswered
	d.clients = &network.Clients{Names: &cfg.Names, Count: d.count, Core: d.core, MaxSessions: share.Clients, MaxJobSessions: share.JobSessions,
		MaxBufferedBytes: cfg.MemoryBytes / 8, LongestDeadline: cfg.LongestDeadline(), Stats: d.countersText, Log: log, Guard: d.guard}
	if d.listener, err = from.openListener(cfg, "http1", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if set.HTTP2 != nil {
		d.http2 = &network.HTTP2{Clients: d.clients}
		d.http2.SetLimits(http2Limits(set.HTTP2))
		if d.http2Listener, err = from.openListener(cfg, "http2", set.HTTP2.Listen); err != nil {
			d.listener.Close()
			return nil, fmt.Errorf("http2.listen: %w", err)
		}
	}
	if err := d.addSources(set); err != nil {
		d.closeListeners()
		return nil, err
	}
	if err := d.addBudgets(set, from.besideOther()); err != nil {
		d.closeListeners()
		return nil, err
	}
	d.service = network.NewService(d.clients, d.http2)
	d.service.OnStateChange = func(old, now service.State) {
		d.log.Info().Stringer("from", old).Stringer("to", now).Msg("service")
	}
	if err := d.addDoor(); err != nil {
		d.closeListeners()
		return nil, err
	}
	d.resize(cfg.Sockets, cfg.MemoryBytes)
	if cfg.Admin != "" {
		d.addHandover(from)
	}
	d.settings = set
	d.quotas = newFleetQuotas(cfg, set)
	if err := d.addAccord(set, from); err != nil {
		d.closeListeners()
		return nil, err
	}
	if err := d.addQuotas(set, from); err != nil {
		d.accord.Close()
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

// start runs all parts in the background.
func (d *dispatcher) start() {
	if d.bans != nil && d.bans.Load() && d.handover.from.link == nil {
		d.service.TakeOutOfService()
	}
	known := d.cfg.KnownBackends.Entries
	if d.handover != nil && d.handover.from.link != nil {
		known = d.adoptState()
		d.director.RequestFullList()
		d.core.StartOverlapped()
		d.setBudgetPart(budgets.Incoming)
	} else {
		d.director.SetIndex(d.cfg.KnownBackends.Index)
	}
	listUsable := d.startWithList(known)
	go d.core.Run(nil)
	d.startSources(d.settings)
	// With a usable list the decision module makes its first call after a random delay. Without a ready backend the process must
	// not wait for that, nor for changes to a version that may be outdated: it requests the full list at once.
	if !listUsable {
		d.director.RequestFullList()
	}
	if !d.cfg.Settings.Subscribe || !listUsable {
		d.director.Subscribe()
	}
	if d.door != nil {
		go d.door.Serve(d.doorListener)
	}
	if d.handover == nil {
		d.accept()
		return
	}
	d.handover.start(d)
}

// startWithList gives the core the list of backends as last known, if that is of use, and reports whether the decision module has
// a usable list to begin with. With further sources it begins with what those tell: of the lists as last known that is the
// configuration's, which startSources gives to the director's source.
func (d *dispatcher) startWithList(known []core.Entry) (usable bool) {
	if d.sources != nil {
		return usesDirector(d.settings) && hasReadyBackend(d.cfg.KnownBackends.Entries)
	}
	// The decision module derives its capacity from its first list. A list without a ready backend would leave it with capacity
	// for a few jobs until their answers show that there is more.
	usable = hasReadyBackend(known)
	if inherited := d.handover != nil && d.handover.from.link != nil; usable || inherited && len(known) > 0 {
		d.handleList(balance.ListCached, known)
	}
	return usable
}

// accept starts accepting clients.
func (d *dispatcher) accept() {
	go d.clients.Serve(hostOS.wrapListener(d.listener))
	if d.http2 != nil {
		go d.http2.Serve(hostOS.wrapListener(d.http2Listener))
	}
}

// resize sets how many descriptors and how many bytes of memory this process may use: everything that the dispatcher has, or a
// part of it while there are two processes.
func (d *dispatcher) resize(sockets int, memory int64) {
	share, all := network.SplitDescriptors(network.MaxDescriptors(sockets)-doorDescriptors(d.cfg)), network.SplitDescriptors(network.MaxDescriptors(d.cfg.Sockets)-doorDescriptors(d.cfg))
	share.JobSessions = min(all.JobSessions, share.Clients)
	d.clients.Resize(share)
	d.pool.Resize(share.Backends)
	debug.SetMemoryLimit(memory * 3 / 4)
}

// drain begins the shutdown; d.service reports when it is over.
func (d *dispatcher) drain() {
	d.service.BeginShutdown() // first: health checks must fail at once, and the time until the kill runs, however long the Consul agent takes
	if d.sources != nil && d.sources.registration != nil {
		d.sources.registration.EnterMaintenance()
	}
}

// stopParts closes the parts that still run when all requests are answered.
func (d *dispatcher) stopParts() {
	if d.handover != nil {
		d.handover.server.Close()
	}
	if d.sources != nil && d.sources.registration != nil {
		d.sources.registration.Deregister()
	}
	if d.quotas != nil { // all requests are answered: the units that it holds are returned
		d.quotas.limiter.Load().Close()
	}
	if d.accord != nil {
		d.accord.Close()
	}
	if d.budgets != nil {
		d.budgets.close()
	}
}

// closeListeners closes the listeners. Open connections continue.
func (d *dispatcher) closeListeners() {
	d.listener.Close()
	for _, l := range []net.Listener{d.http2Listener, d.doorListener} {
		if l != nil {
			l.Close()
		}
	}
}

var counterNames = counters.Names{Endings: core.Endings(), HTTP2Abuse: http2.AllAbuses(), LocalFaults: network.LocalFaults()}

// countersText returns all counters as text, one per line: the answer to GET /counters.
func (d *dispatcher) countersText() string {
	var b strings.Builder
	d.count.Print(&b, counterNames)
	d.eachCheck(func(name string, n int64) { fmt.Fprintf(&b, "counter %s %d\n", name, n) })
	d.eachPartCounter(func(name string, n int64) { fmt.Fprintf(&b, "counter %s %d\n", name, n) })
	return b.String()
}

// logCounters logs the counters. Those of the core, the network and the guard are left out while they are 0.
func (d *dispatcher) logCounters() {
	e := d.log.Info()
	d.count.Each(counterNames, func(name string, n int64) {
		if n != 0 {
			e.Int64(name, n)
		}
	})
	d.eachCheck(func(name string, n int64) {
		if n != 0 {
			e.Int64(name, n)
		}
	})
	d.eachPartCounter(func(name string, n int64) { e.Int64(name, n) })
	e.Msg("counters")
}

// eachCheck calls f for the violations of each rule that is checked at run time, and for each reason of closes, retries and
// refusals.
func (d *dispatcher) eachCheck(f func(name string, n int64)) {
	for _, rule := range guard.Rules() {
		f("invariant_violations_"+rule.String(), d.guard.Violations(rule))
	}
	d.guard.Each(f)
}

// eachPartCounter calls f for each counter of the optional parts that are on.
func (d *dispatcher) eachPartCounter(f func(name string, n int64)) {
	if d.sources != nil {
		d.sources.count.Each(f)
	}
	if d.budgets != nil {
		d.budgets.each(f)
	}
	if d.accord != nil {
		d.accord.Each(f)
	}
	if d.quotas != nil {
		d.quotas.limiter.Load().Each(f)
	}
	if d.door != nil {
		d.door.Count.Each(f)
		f("banned", int64(len(d.bans.Banned())))
		d.bans.Each(f)
		f("service_state", int64(d.service.State()))
		d.handover.each(f)
	}
}

// reload reads configuration and settings again and returns those in force from now on. The director's address and the settings
// that can change at run time apply at once; all other changes apply from the next start. A faulty file must not stop a program
// that serves: it changes nothing.
func (d *dispatcher) reload(cfg *config.Config, set *settings.Settings, path string) (*config.Config, *settings.Settings) {
	next, err := config.Load(os.Getenv)
	nextSet, err2 := settings.Load(path)
	if err = errors.Join(err, err2, checkAddresses(next, nextSet), checkSources(next, nextSet), checkBudgets(nextSet), checkAccord(next, nextSet), checkQuotas(next, nextSet)); err != nil {
		d.count.ReloadsBad.Add(1)
		d.log.Error().Err(err).Msg("not reloaded")
		return cfg, set
	}
	d.count.Reloads.Add(1)
	d.director.Redirect(next.Discovery)
	now, later := set.Changes(nextSet)
	if d.http2 != nil && nextSet.HTTP2 != nil {
		d.http2.SetLimits(http2Limits(nextSet.HTTP2))
	}
	d.reloadSources(set, nextSet)
	if err := d.reloadBudgets(set, nextSet); err != nil {
		d.log.Error().Err(err).Msg("budgets not reloaded")
	}
	d.reloadAccord(set, nextSet)
	later = append(cfg.ChangedFixedKeys(next), later...)
	d.log.Info().Str("discovery", next.Discovery).Strs("changed", now).Strs("next_start", later).Msg("reloaded")
	return next, nextSet
}
