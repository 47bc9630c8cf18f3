// Package quota lends the units of quotas between dispatchers over the network (docs/design/quota.md). It is a thin driver:
// package fleet/quota decides, fleet/quota/wire encodes messages, the accord says which voter leads, and this package reads
// the clock and the sockets.
//
// Each dispatcher limits its own requests and has one connection to its region's lender. A region's lender runs at the voter
// that is configured for it and has one connection to the leading voter. Each voter runs the root, which lends only while
// that voter leads. Connections arrive at the voters' listen addresses; the accord listens there and passes them on.
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

// Lender states which voter runs a region's lender, and where that voter listens.
type Lender struct{ Region, Voter, Address string }

// Config configures a dispatcher's part in the quotas. It is read only by New.
type Config struct {
	Name        string // of this dispatcher, unique in the fleet
	Epoch       uint64 // higher at each start of the process
	Region      string // of this dispatcher
	Lenders     []Lender
	Leases      quota.LeaseConfig // between a region's lender and its dispatchers
	RegionLease time.Duration     // between the root and the regions; Drift and MaxRunTime are those of Leases
	Log         zerolog.Logger
}

// regionLeases returns the lease configuration between the root and the regions.
func (c *Config) regionLeases() quota.LeaseConfig {
	leases := c.Leases
	leases.Lease = c.RegionLease
	return leases
}

// lenderRegion returns the region whose lender this dispatcher runs, or "" if it runs none.
func (c *Config) lenderRegion() string {
	for _, l := range c.Lenders {
		if l.Voter == c.Name {
			return l.Region
		}
	}
	return ""
}

// Limits and intervals. A connection that exceeds maxQueuedMessages or maxRequestsPerSecond is closed.
const (
	minRequestInterval     = 2 * time.Millisecond   // between two requests of a holder, however often it lacks units
	maxTickInterval        = 100 * time.Millisecond // between two checks of the time
	maxQueuedMessages      = 32                     // messages queued for one connection
	maxRequestsPerSecond   = 1000                   // on one connection, twice what minRequestInterval lets a holder send
	maxUnconfirmedRequests = 1024                   // requests that wait for the root to confirm that it leads; others are dropped
)

// tickInterval is the time between two checks of the time if nothing else happens.
func (c *Config) tickInterval() time.Duration {
	return min(max(c.Leases.Lease/100, minRequestInterval), maxTickInterval)
}

// Counters counts events since the start. Each gives them their metric names.
type Counters struct {
	Waited, Refused  atomic.Int64 // requests that did not start at once; requests that got no unit by their deadline
	PollsReceived    atomic.Int64 // polls from lenders, which ask for a lease request now to recall units or to grant some
	Recalls          atomic.Int64 // recalls of units by this process's lenders
	RequestsSent     atomic.Int64 // lease requests sent to lenders
	RequestsReceived atomic.Int64 // lease requests that this voter read, for any lender
	Redirects        atomic.Int64 // lease requests answered with a redirect, because their lender is not here
	BadMessages      atomic.Int64 // messages that could not be decoded, or were not allowed on their connection
	Overloads        atomic.Int64 // connections closed because the holder sent too many requests or did not read its messages
}

// Quota is a dispatcher's part in the quotas.
type Quota struct {
	Counters   Counters
	cfg        Config
	origin     time.Time // the origin of quota.Time
	dispatcher *dispatcher
	voter      *voter // nil if this dispatcher is no voter
}

// now returns the reading of the process's monotonic clock, which starts at 0 when q is created.
func (q *Quota) now() quota.Time { return quota.Time(time.Since(q.origin)) }

// toTime converts a reading of that clock to a time.
func (q *Quota) toTime(t quota.Time) time.Time { return q.origin.Add(time.Duration(t)) }

// fromTime converts a time to a reading of that clock.
func (q *Quota) fromTime(t time.Time) quota.Time { return quota.Time(t.Sub(q.origin)) }

// New starts a dispatcher's part in the quotas. Close must be called before the accord is closed.
func New(cfg Config, a *accord.Accord) (*Quota, error) {
	if a == nil {
		return nil, errors.New("quota: accord is missing")
	}
	if err := cfg.regionLeases().Check(); err != nil {
		return nil, fmt.Errorf("lease configuration of regions: %w", err)
	}
	if cfg.RegionLease < cfg.Leases.Lease {
		return nil, errors.New("quota: region lease is shorter than the dispatchers' lease")
	}
	address := ""
	for _, l := range cfg.Lenders {
		if l.Region == cfg.Region {
			address = l.Address
		}
	}
	if address == "" {
		return nil, fmt.Errorf("quota: no lender is configured for region %q", cfg.Region)
	}
	if cfg.lenderRegion() != "" && !a.IsVoter() {
		return nil, fmt.Errorf("quota: %s is configured as a lender but is no voter", cfg.Name)
	}
	q := &Quota{cfg: cfg, origin: time.Now()}
	var err error
	if a.IsVoter() {
		if q.voter, err = newVoter(q, a); err != nil {
			return nil, err
		}
	}
	if q.dispatcher, err = newDispatcher(q, address); err != nil {
		q.Close()
		return nil, err
	}
	return q, nil
}

// Close ends this dispatcher's part. The callbacks of waiting requests are not called. It must be called only once.
func (q *Quota) Close() {
	if q.dispatcher != nil {
		q.dispatcher.close()
	}
	if q.voter != nil {
		q.voter.close()
	}
}

// ApplyPolicy applies a policy's quotas at this dispatcher.
func (q *Quota) ApplyPolicy(p policy.Policy) { q.dispatcher.applyPolicy(p) }

// Acquire asks for a unit for a request of an account. ready is called once, unless release was called first. It may be
// called from any goroutine, also before Acquire returns. If ok, the unit is held from the time from, and the caller must
// end the request within the policy's maximum run time after it. If no unit is free by until, ok is false and retryAfter is
// the delay suggested to the client. release states that the request has ended or no longer waits; it may be called more
// than once.
func (q *Quota) Acquire(account string, urgent bool, until time.Time,
	ready func(from time.Time, retryAfter time.Duration, ok bool)) (release func()) {
	return q.dispatcher.acquire(account, urgent, until, ready)
}

// Each calls f with each counter and gauge of the quotas.
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

// logEvents logs the events of a lender and counts its recalls. lenderName is its region, or "" for the root.
func (q *Quota) logEvents(lenderName string, events []quota.Event) {
	for _, event := range events {
		if event.Step == "called back" {
			q.Counters.Recalls.Add(1)
		}
		line := q.cfg.Log.Info().Str("process", q.cfg.Name).Str("lender", lenderLabel(lenderName))
		if event.Account != "" {
			line.Str("account", event.Account)
		}
		if event.Child != "" {
			line.Str("child", event.Child)
		}
		line.Int("units", event.Units).Msg("quota: " + event.Step)
	}
}

func lenderLabel(lenderName string) string {
	if lenderName == "" {
		return "root"
	}
	return lenderName
}
