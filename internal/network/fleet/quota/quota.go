// Package quota carries the units of quotas between dispatchers (docs/design/quota.md). It is a thin driver: package
// fleet/quota decides, fleet/quota/wire frames, the accord says who leads, and this package reads the clock and the
// sockets.
//
// A dispatcher's desk is at each of them, with one link to its region's lender. A region's lender is at the voter
// named for it, with one link to the voter that leads. The root is at every voter and lends while that one leads. Links
// come to the voters' listen addresses, which the accord's port shares out.
package quota

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tinsail/internal/fleet/policy"
	"tinsail/internal/fleet/quota"
	"tinsail/internal/network/fleet/accord"
)

// Lender says at which voter a region's lender is, and where that voter listens.
type Lender struct{ Region, Voter, Address string }

// Config is what a dispatcher takes part with. All fields are read at the start alone.
type Config struct {
	Name        string // this dispatcher's, unique in the fleet
	Epoch       uint64 // new and higher with each start of the process
	Region      string // this dispatcher's
	Lenders     []Lender
	Leases      quota.LeaseConfig // between a region's lender and its dispatchers
	RegionLease time.Duration     // between the root and the regions; the rest of the plan is the same
	Log         zerolog.Logger
}

// regionLeases is the plan between the root and the regions.
func (c *Config) regionLeases() quota.LeaseConfig {
	p := c.Leases
	p.Lease = c.RegionLease
	return p
}

// lenderRegion says for which region this dispatcher is named as the lender; empty for none.
func (c *Config) lenderRegion() string {
	for _, l := range c.Lenders {
		if l.Voter == c.Name {
			return l.Region
		}
	}
	return ""
}

// Bounds.
const (
	minRequestInterval     = 2 * time.Millisecond   // between two asks of a holder, however often it is short
	maxTickInterval        = 100 * time.Millisecond // between two looks at the time
	maxQueuedMessages      = 32                     // messages that wait for a link; one that does not take them is closed
	maxRequestsPerSecond   = 1000                   // asks a second on a link, twice what paceLeast lets a holder send; more close it
	maxUnconfirmedRequests = 1024                   // asks that wait for the root's confirmation; one beyond is dropped, and asked again
)

// tickInterval is how often the time is looked at where nothing happens.
func (c *Config) tickInterval() time.Duration {
	return min(max(c.Leases.Lease/100, minRequestInterval), maxTickInterval)
}

// Counters are the quotas' counters.
type Counters struct {
	Waited, Refused  atomic.Int64 // reqs that did not begin at once; that had no room in time
	PollsReceived    atomic.Int64 // nudges heard: units were called back from here
	Recalls          atomic.Int64 // calls of this process's lenders for units
	RequestsSent     atomic.Int64 // sent to lenders
	RequestsReceived atomic.Int64 // asks that this process's lenders took in
	Redirects        atomic.Int64 // asks for a lender that is not here
	BadMessages      atomic.Int64 // messages that could not be read, or were not a holder's
	Overloads        atomic.Int64 // links closed since more came than is read, or less was taken than was sent
}

// Quota is a dispatcher's part in the quotas.
type Quota struct {
	Counters   Counters
	cfg        Config
	origin     time.Time
	dispatcher *dispatcher
	voter      *voter // nil where it is no voter
}

// now is the process's own monotonic clock, from its making.
func (q *Quota) now() quota.Time { return quota.Time(time.Since(q.origin)) }

// toTime is the time of a reading of that clock.
func (q *Quota) toTime(t quota.Time) time.Time { return q.origin.Add(time.Duration(t)) }

// fromTime is the reading fromTime that clock at a time.
func (q *Quota) fromTime(t time.Time) quota.Time { return quota.Time(t.Sub(q.origin)) }

// New starts a dispatcher's part. Close ends it, before the accord is closed.
func New(cfg Config, a *accord.Accord) (*Quota, error) {
	if a == nil {
		return nil, errors.New("quota: no accord")
	}
	if err := cfg.regionLeases().Check(); err != nil {
		return nil, fmt.Errorf("of regions: %w", err)
	}
	if cfg.RegionLease < cfg.Leases.Lease {
		return nil, errors.New("quota: a region's lease is shorter than a dispatcher's")
	}
	to := ""
	for _, l := range cfg.Lenders {
		if l.Region == cfg.Region {
			to = l.Address
		}
	}
	if to == "" {
		return nil, fmt.Errorf("quota: no lender is named for region %q", cfg.Region)
	}
	if cfg.lenderRegion() != "" && !a.IsVoter() {
		return nil, fmt.Errorf("quota: %s is a lender and no voter", cfg.Name)
	}
	q := &Quota{cfg: cfg, origin: time.Now()}
	var err error
	if a.IsVoter() {
		if q.voter, err = newVoter(q, a); err != nil {
			return nil, err
		}
	}
	if q.dispatcher, err = newDispatcher(q, to); err != nil {
		q.Close()
		return nil, err
	}
	return q, nil
}

// Close ends this dispatcher's part; what waits is not told. It is called once.
func (q *Quota) Close() {
	if q.dispatcher != nil {
		q.dispatcher.close()
	}
	if q.voter != nil {
		q.voter.close()
	}
}

// ApplyPolicy puts a policy's quotas in force at this dispatcher.
func (q *Quota) ApplyPolicy(p policy.Policy) { q.dispatcher.applyPolicy(p) }

// Acquire asks for room for a req of an account, until a time at most. ready is called once, unless leave was called
// first; from any goroutine, perhaps before Acquire returns. from is the time by which the room counts: the req is over
// by the policy's run after it. Where there is no room by until, ok is false and pause is advice to its client. leave
// tells that the req is over, or does not wait any more; it may be called more than once.
func (q *Quota) Acquire(account string, urgent bool, until time.Time, ready func(from time.Time, pause time.Duration, ok bool)) (leave func()) {
	return q.dispatcher.acquire(account, urgent, until, ready)
}

// Each calls f for the counters and levels of the quotas.
func (q *Quota) Each(f func(name string, n int64)) {
	held, used, waiting := q.dispatcher.gauges()
	f("quota_held", held)
	f("quota_in_use", used)
	f("quota_waiting", waiting)
	f("quota_waited", q.Counters.Waited.Load())
	f("quota_refused", q.Counters.Refused.Load())
	f("quota_nudged", q.Counters.PollsReceived.Load())
	f("quota_asks", q.Counters.RequestsSent.Load())
	f("quota_bad_messages", q.Counters.BadMessages.Load())
	if q.voter == nil {
		return
	}
	region, root := q.voter.outstanding()
	f("quota_lent", region)
	f("quota_lent_root", root)
	f("quota_called_back", q.Counters.Recalls.Load())
	f("quota_asks_taken", q.Counters.RequestsReceived.Load())
	f("quota_asks_away", q.Counters.Redirects.Load())
	f("quota_floods", q.Counters.Overloads.Load())
}

// logEvents logs the steps of a lender, and counts those that the counters logEvents. level is its region, empty for the root.
func (q *Quota) logEvents(level string, notes []quota.Event) {
	for _, n := range notes {
		if n.Step == "called back" {
			q.Counters.Recalls.Add(1)
		}
		e := q.cfg.Log.Info().Str("process", q.cfg.Name).Str("lender", lenderLabel(level))
		if n.Account != "" {
			e.Str("account", n.Account)
		}
		if n.Child != "" {
			e.Str("child", n.Child)
		}
		e.Int("units", n.Units).Msg("quota: " + n.Step)
	}
}

func lenderLabel(level string) string {
	if level == "" {
		return "root"
	}
	return level
}
