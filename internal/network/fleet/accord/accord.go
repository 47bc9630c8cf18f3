// Package accord is the driver of the accord, the agreement of all dispatchers of the fleet on one
// version of the policy (docs/design/accord.md). Package fleet/accord decides, fleet/accord/wire
// encodes the messages and hashicorp/raft replicates the majority log. This package does the rest:
// it reads the clock and uses the sockets and the disk.
//
// Each dispatcher is a member: it keeps one connection to the leader, from which it requests leases,
// and the core asks it whether a request may be accepted and started. A few dispatchers are also
// voters, which replicate the log. A voter has one listen address for Raft, for the members and for
// the quotas. The accord is off unless the settings name voters, and must stay off on a platform
// that forbids messages between dispatchers.
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

// Peer is a voter: its dispatcher's name and its listen address.
type Peer struct{ Name, Address string }

// ParseVoters parses voters of the form "name=host:port". There must be 1, 3 or 5 of them. Names
// and addresses must be unique.
func ParseVoters(texts []string) ([]Peer, error) {
	if n := len(texts); n != 1 && n != 3 && n != 5 {
		return nil, fmt.Errorf("%d voters, want 3 or 5 (1 for a trial)", n)
	}
	var voters []Peer
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
		voters = append(voters, Peer{name, address})
	}
	return voters, nil
}

// Config configures a dispatcher's part in the accord. It must not be changed after New.
type Config struct {
	Leases  accord.LeaseConfig
	Name    string // the dispatcher's name, unique in the fleet
	Epoch   uint64 // must be new with each start of the process
	Voters  []Peer
	Listen  string // the address on which a voter listens, if it is not its address in Voters
	DataDir string // a voter's directory, which must outlive the process; it is created if it does not exist

	InitialPolicy []byte                                  // proposed by a voter if no policy was ever decided; nil for none
	CheckPolicy   func(body []byte) error                 // returns an error if this binary or configuration cannot apply a policy
	ApplyPolicy   func(version uint64, body []byte) error // puts a policy in force; no request is accepted under it before it returns
	// BudgetPlan returns the plan of the budget that a policy contains, if any. It is nil if the leader lends no budget.
	BudgetPlan func(body []byte) (budget.Plan, bool)
	Log        zerolog.Logger
}

// self returns this dispatcher's entry in Voters, if it is a voter.
func (c *Config) self() (Peer, bool) {
	for _, p := range c.Voters {
		if p.Name == c.Name {
			return p, true
		}
	}
	return Peer{}, false
}

// clock is a monotonic clock that counts from start.
type clock struct{ start time.Time }

func (c clock) now() accord.Time { return accord.Time(time.Since(c.start)) }

// Counters are the accord's counters.
type Counters struct {
	Changes, Withdrawn atomic.Int64 // changes that came into force here; proposals and changes withdrawn, as known here
	Refused            atomic.Int64 // changes that this dispatcher refused
	RefusedReqs        atomic.Int64 // requests answered 503 because no version is known to be in force
	UnleasedReqs       atomic.Int64 // requests accepted without a lease (when_cut keep)
	Stops              atomic.Int64 // times that this dispatcher stopped accepting requests
	BadMessages        atomic.Int64 // messages that could not be decoded or were unexpected
	ActivationMS       atomic.Int64 // of the last change: milliseconds from its decision until it was in force here; voters only
}

// Accord is a dispatcher's part in the accord. It is safe for concurrent use and implements
// core.Versions.
type Accord struct {
	Counters Counters
	cfg      Config
	clock    clock
	voter    *voter // nil if this dispatcher is not a voter
	member   *member
}

// New starts a dispatcher's part in the accord, which runs until Close.
func New(cfg Config) (*Accord, error) {
	if err := cfg.Leases.Check(); err != nil {
		return nil, err
	}
	if cfg.CheckPolicy == nil || cfg.ApplyPolicy == nil {
		return nil, errors.New("accord: CheckPolicy or ApplyPolicy is not set")
	}
	a := &Accord{cfg: cfg, clock: clock{time.Now()}}
	if me, ok := cfg.self(); ok {
		var err error
		if a.voter, err = newVoter(a, me); err != nil {
			return nil, err
		}
	}
	participant, err := accord.NewParticipant(cfg.Leases, cfg.Name, cfg.Epoch)
	if err != nil {
		a.Close()
		return nil, err
	}
	a.member = newMember(a, participant)
	return a, nil
}

// Close ends this dispatcher's part. Requests that were accepted are not affected. It must be
// called only once.
func (a *Accord) Close() {
	if a.member != nil {
		a.member.close()
	}
	if a.voter != nil {
		a.voter.close()
	}
}

// Propose proposes a policy as the successor of the version in force here. The outcome is logged.
func (a *Accord) Propose(body []byte) error { return a.member.propose(body) }

// RetryCheck has the version in force checked again if this dispatcher could not apply it.
func (a *Accord) RetryCheck() { a.member.retryCheck() }

// Current returns the version that this dispatcher has adopted, 0 for none, and its policy.
func (a *Accord) Current() (uint64, []byte) { return a.member.current() }

// WithdrawnProposal returns the policy of this dispatcher's last proposal if it was withdrawn, else nil.
func (a *Accord) WithdrawnProposal() []byte {
	a.member.mu.Lock()
	defer a.member.mu.Unlock()
	return a.member.participant.WithdrawnProposal()
}

// NotAcceptingReason returns why no request is accepted. It means nothing while requests are accepted.
func (a *Accord) NotAcceptingReason() string {
	a.member.mu.Lock()
	defer a.member.mu.Unlock()
	return a.member.participant.NotAcceptingReason()
}

// Each calls f for each counter and gauge of the accord.
func (a *Accord) Each(f func(name string, n int64)) {
	version, _ := a.Current()
	f("accord_version", int64(version))
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

// logEvents logs events, and counts those that have a counter.
func (a *Accord) logEvents(events []accord.Event) {
	for _, event := range events {
		entry := a.cfg.Log.Info().Str("process", a.cfg.Name).Uint64("version", event.Version).Str("change", fmt.Sprintf("%x", event.Change))
		if event.Proposer != "" {
			entry.Str("by", event.Proposer)
		}
		if event.Peer != "" {
			entry.Str("who", event.Peer)
		}
		if event.Reason != "" {
			entry.Str("why", event.Reason)
		}
		switch event.Step {
		case "proposed":
			entry.Uint64("base", event.BaseVersion)
		case "checked":
			entry.Bool("accepted", event.Accepted)
			if !event.Accepted {
				a.Counters.Refused.Add(1)
			}
		case "ready":
			entry.Int64("waited_ms", event.Elapsed.Milliseconds())
		case "deciding":
			entry.Int("lapsed", event.ExpiredLeases)
		case "in force":
			a.Counters.Changes.Add(1)
			if a.voter != nil {
				if took, ok := a.voter.sinceDecided(event.Version); ok {
					a.Counters.ActivationMS.Store(took.Milliseconds())
					entry.Int64("decided_ms", took.Milliseconds())
				}
			}
		case "withdrawn":
			a.Counters.Withdrawn.Add(1)
		case "fenced":
			a.Counters.Stops.Add(1)
		}
		entry.Msg("accord: " + event.Step)
	}
}
