// Package accord carries the accord between dispatchers (docs/design/accord.md). It is a thin driver:
// package fleet/accord decides, fleet/accord/wire frames, hashicorp/raft keeps the majority log, and
// this package reads the clock, the sockets and the disk.
//
// A Member is each dispatcher's side: one link to the leader, the gate that the core asks for each
// req. A Voter is, beside that, one of the few that keep the log; one listen address serves the log's
// streams and the members' links. Off unless the settings name voters; never on where the platform
// forbids talk between dispatchers.
package accord

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tinsail/internal/budget"
	"tinsail/internal/fleet/accord"
)

// Peer is a voter: its dispatcher's name and where it listens.
type Peer struct{ Name, Address string }

// ParseVoters reads "name=host:port" texts. There must be 1, 3 or 5, no name and no address twice.
func ParseVoters(texts []string) ([]Peer, error) {
	if n := len(texts); n != 1 && n != 3 && n != 5 {
		return nil, fmt.Errorf("%d voters, want 3 or 5 (1 for a trial)", n)
	}
	var out []Peer
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, text := range texts {
		name, address, ok := strings.Cut(text, "=")
		if _, _, err := net.SplitHostPort(address); !ok || name == "" || len(name) > accord.MaxName || err != nil {
			return nil, fmt.Errorf("%q is not name=host:port", text)
		}
		if names[name] || addresses[address] {
			return nil, fmt.Errorf("%q names a voter or an address twice", text)
		}
		names[name], addresses[address] = true, true
		out = append(out, Peer{name, address})
	}
	return out, nil
}

// Config is what a dispatcher takes part with. All fields are read at the start alone.
type Config struct {
	Leases  accord.LeaseConfig
	Name    string // this dispatcher's, unique in the fleet
	Epoch   uint64 // new with each start of the process
	Voters  []Peer
	Listen  string // of a voter; empty for its address among Voters
	DataDir string // a voter's folder, which must outlive the process; made if it is not there

	InitialPolicy []byte                                  // a voter's own policy, proposed where none was ever decided; may be nil
	CheckPolicy   func(body []byte) error                 // whether this binary and configuration can take a policy
	ApplyPolicy   func(version uint64, body []byte) error // puts a policy in force; no req is taken before it returns
	// BudgetPlan is the plan of the budget that a policy has, if it has one; nil where the leader keeps none.
	BudgetPlan func(body []byte) (budget.Plan, bool)
	Log        zerolog.Logger
}

// self is this dispatcher among the voters, if it is one.
func (c *Config) self() (Peer, bool) {
	for _, p := range c.Voters {
		if p.Name == c.Name {
			return p, true
		}
	}
	return Peer{}, false
}

// Clock is the process's own monotonic clock, from its making.
type clock struct{ start time.Time }

func (c clock) now() accord.Time { return accord.Time(time.Since(c.start)) }

// Counters are the accord's counters.
type Counters struct {
	Changes, Withdrawn atomic.Int64 // that took force here; that were heard to be nowhere
	Refused            atomic.Int64 // changes that this dispatcher refused
	RefusedReqs        atomic.Int64 // reqs answered 503 since no version is known to hold
	UnleasedReqs       atomic.Int64 // reqs taken on no lease (when_cut keep)
	Stops              atomic.Int64 // times that this dispatcher stopped taking
	BadMessages        atomic.Int64 // messages that could not be read
	ActivationMS       atomic.Int64 // from decided to in force here, of the last change; voters alone
}

// Accord is a dispatcher's part in the accord.
type Accord struct {
	Counters Counters
	cfg      Config
	clock    clock
	voter    *voter // nil where it is none
	member   *member
}

// New starts a dispatcher's part. Close ends it.
func New(cfg Config) (*Accord, error) {
	if err := cfg.Leases.Check(); err != nil {
		return nil, err
	}
	if cfg.CheckPolicy == nil || cfg.ApplyPolicy == nil {
		return nil, errors.New("accord: no check or no enter")
	}
	a := &Accord{cfg: cfg, clock: clock{time.Now()}}
	if me, ok := cfg.self(); ok {
		var err error
		if a.voter, err = newVoter(a, me); err != nil {
			return nil, err
		}
	}
	l, err := accord.NewParticipant(cfg.Leases, cfg.Name, cfg.Epoch)
	if err != nil {
		a.Close()
		return nil, err
	}
	a.member = newMember(a, l)
	return a, nil
}

// Close ends this dispatcher's part; what it has taken is its own affair. It is called once.
func (a *Accord) Close() {
	if a.member != nil {
		a.member.close()
	}
	if a.voter != nil {
		a.voter.close()
	}
}

// Propose proposes a policy as the one after the version in force here. What became of it is in the log.
func (a *Accord) Propose(body []byte) error { return a.member.propose(body) }

// RetryCheck has a version in force that this dispatcher could not take checked again.
func (a *Accord) RetryCheck() { a.member.retryCheck() }

// Current is the version that this dispatcher holds and its policy.
func (a *Accord) Current() (uint64, []byte) { return a.member.current() }

// WithdrawnProposal is the policy that this dispatcher proposed last, where that was withdrawn; else nil.
func (a *Accord) WithdrawnProposal() []byte {
	a.member.mu.Lock()
	defer a.member.mu.Unlock()
	return a.member.participant.WithdrawnProposal()
}

// NotAcceptingReason says why no req is taken, where none is.
func (a *Accord) NotAcceptingReason() string {
	a.member.mu.Lock()
	defer a.member.mu.Unlock()
	return a.member.participant.NotAcceptingReason()
}

// Each calls f for the counters and levels of the accord.
func (a *Accord) Each(f func(name string, n int64)) {
	v, _ := a.Current()
	f("accord_version", int64(v))
	f("accord_ready", boolGauge(a.Serves()))
	f("accord_changes", a.Counters.Changes.Load())
	f("accord_withdrawn", a.Counters.Withdrawn.Load())
	f("accord_refused", a.Counters.Refused.Load())
	f("accord_fences", a.Counters.Stops.Load())
	f("accord_fenced_reqs", a.Counters.RefusedReqs.Load())
	f("accord_taken_lapsed", a.Counters.UnleasedReqs.Load())
	f("accord_bad_messages", a.Counters.BadMessages.Load())
	if a.voter != nil {
		leads, leases := a.voter.leadership()
		f("accord_leads", boolGauge(leads))
		f("accord_leases", int64(leases))
		f("accord_decided_ms", a.Counters.ActivationMS.Load())
	}
}

func boolGauge(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

// logEvents logs the steps of a change, and counts those that the counters logEvents.
func (a *Accord) logEvents(notes []accord.Event) {
	for _, n := range notes {
		e := a.cfg.Log.Info().Str("process", a.cfg.Name).Uint64("version", n.Version).Str("change", fmt.Sprintf("%x", n.Change))
		if n.Proposer != "" {
			e.Str("by", n.Proposer)
		}
		if n.Peer != "" {
			e.Str("who", n.Peer)
		}
		if n.Reason != "" {
			e.Str("why", n.Reason)
		}
		switch n.Step {
		case "proposed":
			e.Uint64("base", n.BaseVersion)
		case "checked":
			e.Bool("accepted", n.Accepted)
			if !n.Accepted {
				a.Counters.Refused.Add(1)
			}
		case "ready":
			e.Int64("waited_ms", n.Elapsed.Milliseconds())
		case "deciding":
			e.Int("lapsed", n.ExpiredLeases)
		case "in force":
			a.Counters.Changes.Add(1)
			if a.voter != nil {
				if took, ok := a.voter.sinceDecided(n.Version); ok {
					a.Counters.ActivationMS.Store(took.Milliseconds())
					e.Int64("decided_ms", took.Milliseconds())
				}
			}
		case "withdrawn":
			a.Counters.Withdrawn.Add(1)
		case "fenced":
			a.Counters.Stops.Add(1)
		}
		e.Msg("accord: " + n.Step)
	}
}
