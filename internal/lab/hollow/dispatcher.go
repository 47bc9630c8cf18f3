// Package hollow runs a fleet that is too large for one machine as separate processes. A hollow dispatcher is a
// dispatcher without a data path: it runs the real control plane (the accord's member with its lease and its holder of
// a budget, the watch of the director's list, their codecs, all on real sockets) and serves no reqs. One process holds
// hundreds of them and hundreds of workers, next to real dispatcher processes; relays count the traffic between them.
// The package reimplements nothing that it simulates. TestHollowIsReal checks that a hollow dispatcher causes the same
// load on the voters as a real one.
package hollow

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tinsail/internal/balance"
	"tinsail/internal/budget"
	"tinsail/internal/config"
	"tinsail/internal/core"
	"tinsail/internal/counters"
	leases "tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/policy"
	"tinsail/internal/network"
	"tinsail/internal/network/fleet/accord"
	"tinsail/internal/settings"
)

// Dispatcher is a hollow dispatcher: the control plane of a dispatcher without its data path.
type Dispatcher struct {
	Accord      *accord.Accord // nil if the settings script has no accord(...)
	Counters    counters.Set
	ListEntries atomic.Int64 // entries received in the director's lists and updates

	budgets        *settings.Budgets
	maxDispatchers int
	stop           chan struct{}
}

// parseMu serializes the evaluation of settings scripts, because a script's memory limit counts the whole process.
var parseMu sync.Mutex

// StartDispatcher starts a hollow dispatcher with the configuration and the settings script of a real one. Of the
// script it applies accord(...), budgets(...) and policy(...). log receives the accord's log lines and may be nil. The
// caller must call Close.
func StartDispatcher(configuration, script []byte, log io.Writer) (*Dispatcher, error) {
	cfg, err := config.Parse(configuration, func(string) string { return "" })
	if err != nil {
		return nil, err
	}
	parseMu.Lock()
	scriptSettings, err := settings.Parse("hollow.star", func(string) ([]byte, error) { return script, nil })
	parseMu.Unlock()
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{budgets: scriptSettings.Budgets, maxDispatchers: cfg.Settings.Instances, stop: make(chan struct{})}
	if scriptSettings.Accord != nil {
		if err := d.startAccord(cfg, scriptSettings, log); err != nil {
			return nil, err
		}
	}
	watch := &network.Director{Names: &cfg.Names, Count: &d.Counters, Address: cfg.Discovery, Dial: network.DialTCP, Stop: d.stop,
		OnList:  func(_ balance.ListKind, list []core.Entry) { d.ListEntries.Add(int64(len(list))) },
		Timings: network.AgentTimings().WithinGrace(time.Duration(cfg.Settings.Rules.DrainGrace * float64(time.Millisecond)))}
	if cfg.Settings.Subscribe {
		watch.Timings = network.PollTimings(time.Duration(cfg.Settings.Rules.AskEvery * float64(time.Millisecond)))
	}
	watch.RequestFullList()
	watch.Subscribe()
	return d, nil
}

// Close stops the watch of the director's list and the accord's member.
func (d *Dispatcher) Close() {
	close(d.stop)
	if d.Accord != nil {
		d.Accord.Close()
	}
}

// startAccord starts the dispatcher's member of the accord, as cmd/tinsail does. If the dispatcher is a voter, it keeps
// the voter's log too; it then differs from a real voter only in sharing this process, so the resources that a voter
// uses are measured only on separate processes.
func (d *Dispatcher) startAccord(cfg *config.Config, scriptSettings *settings.Settings, log io.Writer) error {
	accordSettings := scriptSettings.Accord
	voters, err := accord.ParseVoters(accordSettings.Voters)
	if err != nil {
		return err
	}
	logger := zerolog.Nop()
	if log != nil {
		logger = zerolog.New(log)
	}
	checkPolicy := func(body []byte) error { _, err := policy.Read(body); return err }
	memberConfig := accord.Config{Leases: leases.LeaseConfig{Lease: time.Duration(accordSettings.LeaseMS) * time.Millisecond, Drift: accordSettings.Drift, ContinueWhenCut: accordSettings.ContinueWhenCut()},
		Name: cfg.Name, Epoch: uint64(time.Now().UnixNano()), Voters: voters, CheckPolicy: checkPolicy,
		ApplyPolicy: func(_ uint64, body []byte) error { return checkPolicy(body) }, Log: logger, Listen: accordSettings.Listen, DataDir: accordSettings.Data}
	if scriptSettings.Policy != nil {
		memberConfig.InitialPolicy = policy.Policy(*scriptSettings.Policy).Append(nil)
	}
	if d.budgets != nil {
		memberConfig.BudgetPlan = d.budgetPlan
	}
	d.Accord, err = accord.New(memberConfig)
	return err
}

// budgetPlan returns the plan of the connection budget in an encoded policy, and false if the policy has none.
func (d *Dispatcher) budgetPlan(body []byte) (budget.Plan, bool) {
	p, err := policy.Read(body)
	if err != nil || p.Connections == 0 {
		return budget.Plan{}, false
	}
	maxDispatchers := p.MaxDispatchers
	if maxDispatchers == 0 {
		maxDispatchers = d.maxDispatchers
	}
	return budget.Plan{Name: "connections", Total: p.Connections, MaxDispatchers: maxDispatchers, ReserveShare: p.Reserve,
		Lease: time.Duration(d.budgets.LeaseMs) * time.Millisecond, Drift: d.budgets.Drift}, true
}
