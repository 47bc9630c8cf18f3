// Package hollow is the laboratory's stand-in for a fleet that does not fit a machine: hundreds of dispatchers in one
// process, each the real control side of one (the accord's member with its lessee and holder of a budget, the
// watch of the director's list, their codecs, on real sockets) without a data path, and hundreds of workers; beside real
// processes of the program, behind relays that count what passes. It has no logic of its own for what it
// stands for. That it costs the voters what real dispatchers cost is a test (TestHollowIsReal).
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

// Dispatcher is a hollow one.
type Dispatcher struct {
	Accord      *accord.Accord // nil where the settings have none
	Counters    counters.Set
	ListEntries atomic.Int64 // lines of the list that were told

	budgets        *settings.Budgets
	maxDispatchers int
	stop           chan struct{}
}

var parseMu sync.Mutex

// StartDispatcher starts a dispatcher from what a real one reads: its configuration and its settings script. Of the script it
// takes accord(...), budgets(...) and policy(...); log may be nil. Close ends it.
func StartDispatcher(conf, script []byte, log io.Writer) (*Dispatcher, error) {
	cfg, err := config.Parse(conf, func(string) string { return "" })
	if err != nil {
		return nil, err
	}
	parseMu.Lock() // a script's limit of memory is the whole process's
	set, err := settings.Parse("hollow.star", func(string) ([]byte, error) { return script, nil })
	parseMu.Unlock()
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{budgets: set.Budgets, maxDispatchers: cfg.Settings.Instances, stop: make(chan struct{})}
	if set.Accord != nil {
		if err := d.startAccord(cfg, set, log); err != nil {
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

// Close ends it.
func (d *Dispatcher) Close() {
	close(d.stop)
	if d.Accord != nil {
		d.Accord.Close()
	}
}

// startAccord starts its part in the accord, as cmd/tinsail does. A voter keeps its log, too: it is a real one but for
// its process, and what a voter costs a machine is measured on processes alone.
func (d *Dispatcher) startAccord(cfg *config.Config, set *settings.Settings, log io.Writer) error {
	a := set.Accord
	voters, err := accord.ParseVoters(a.Voters)
	if err != nil {
		return err
	}
	logger := zerolog.Nop()
	if log != nil {
		logger = zerolog.New(log)
	}
	check := func(body []byte) error { _, err := policy.Read(body); return err }
	c := accord.Config{Leases: leases.LeaseConfig{Lease: time.Duration(a.LeaseMS) * time.Millisecond, Drift: a.Drift, ContinueWhenCut: a.ContinueWhenCut()},
		Name: cfg.Name, Epoch: uint64(time.Now().UnixNano()), Voters: voters, CheckPolicy: check,
		ApplyPolicy: func(_ uint64, body []byte) error { return check(body) }, Log: logger, Listen: a.Listen, DataDir: a.Data}
	if set.Policy != nil {
		c.InitialPolicy = policy.Policy(*set.Policy).Append(nil)
	}
	if d.budgets != nil {
		c.BudgetPlan = d.budgetPlan
	}
	d.Accord, err = accord.New(c)
	return err
}

// budgetPlan is the budget that a policy has.
func (d *Dispatcher) budgetPlan(body []byte) (budget.Plan, bool) {
	p, err := policy.Read(body)
	if err != nil || p.Connections == 0 {
		return budget.Plan{}, false
	}
	most := p.MaxDispatchers
	if most == 0 {
		most = d.maxDispatchers
	}
	return budget.Plan{Name: "connections", Total: p.Connections, MaxDispatchers: most, ReserveShare: p.Reserve,
		Lease: time.Duration(d.budgets.LeaseMs) * time.Millisecond, Drift: d.budgets.Drift}, true
}
