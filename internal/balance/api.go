// Package balance makes the decisions of a dispatcher that pushes jobs to
// workers. It extends Join-the-Fastest-of-the-Shortest-Queues (JFSQ): a job goes
// to the capable worker on which this dispatcher has the fewest slots in flight.
// Ties go to the faster worker, then to a random draw.
//
// This file holds the whole interface: settings, domain types, events and actions.
// Events are methods of Dispatcher that take the current time; decisions are
// reported to the Actions that the caller supplied. The package starts no
// goroutine, takes no lock and reads no clock. A Dispatcher must be called by one
// goroutine at a time.
package balance

// Millis is a point in time or a duration, in milliseconds. The clock passed with
// events may start at any value but must not go backwards.
type Millis = float64

// MaxProcessPause is the longest time for which a process may be paused between reading its clock and
// writing to a connection. A decision must still be valid that much later. The figure is that of the
// platform's acceptance test.
const MaxProcessPause Millis = 150

// EffectiveRepeatWindow is how long after an attempt another one may be decided on, for a class whose
// repeats are dropped during window. A tenth of the window, and at least MaxProcessPause, is left for the
// time between the decision and the arrival at a worker.
func EffectiveRepeatWindow(window Millis) Millis { return min(0.9*window, window-MaxProcessPause) }

// WorkerID identifies a worker for the lifetime of its machine, across process restarts.
type WorkerID uint64

// RequestID identifies a request; it is never reused.
type RequestID uint32

// Effect is what running a request more than once does.
type Effect uint8

// Effects, from freely repeatable to never repeatable.
const (
	Safe    Effect = iota // may be repeated at will
	Deduped               // carries a key by which a group of workers drops repeats for a limited time
	Unsafe                // must never run twice
)

// Scope is the group of workers that share their record of the keys they have seen.
type Scope uint8

// Scopes of deduplication.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Metric is one value of a worker's load report.
type Metric uint8

// Metrics that a report may hold. MetricOther stands for a column that is not interpreted.
const (
	MetricOther Metric = iota
	MetricInFlight
	MetricWaiting
	MetricUtilisation
	MetricServiceMs
	MetricServedPerS
	MetricErrorsPerS
	MetricFreeSlots
	MetricFreeMemory
)

// WeightMeaning is what Worker.Weight stands for.
type WeightMeaning uint8

// Meanings of a weight.
const (
	WeightNone WeightMeaning = iota // always 1: sizes are not known
	WeightSize                      // registered size, exact or approximate
	WeightLive                      // size divided by one plus the requests held per core
)

// Class describes one class of requests. Its Aim is the target latency: an answer within the aim earns
// the whole Worth, a later one within the deadline earns the share LateWorth of it.
type Class struct {
	Worth        float64 // value of an answer within the aim
	LateWorth    float64 // share of Worth that an answer after the aim still earns
	Aim          Millis  // target latency, to which Stretch times the request's own work is added
	Stretch      float64
	Deadline     Millis // after this long the client gives up
	Effect       Effect
	Scope        Scope
	RepeatWindow Millis // how long the group of Scope remembers a key
	Kind         int    // the only kind of worker that runs the class, or -1 for any
	Priority     int
}

// Tenant describes one customer of the service.
type Tenant struct {
	Share     float64 // of the service
	QuotaPerS float64 // requests per second, over all dispatchers
}

// Prices are the costs of actions and failures, as fractions of the service's total worth.
type Prices struct {
	CrossZone, Waste, LateFail, Probe, Connection, Handshake float64
}

// Rules holds the limits of the four rules that a dispatcher must never break.
type Rules struct {
	AnswerSlack   Millis  // how long after its deadline a final answer still counts
	AskEvery      Millis  // without a subscription, a list change counts as known after this long
	FallMultiple  float64 // a cold worker fails if it is sent more than this multiple of its capacity ...
	FallWindow    Millis  // ... during a window of this length
	StartCapacity float64 // least share of its full capacity that a worker has when it starts
	WarmAfter     Millis  // a worker has its full capacity after this long at the latest
	DrainGrace    Millis  // sending to a draining or gone worker must end within this time
}

// Mix holds the weights by which the overall result combines that of all traffic (Whole) and those of the worst
// time window, class and tenant.
type Mix struct{ Whole, WorstWindow, WorstClass, WorstTenant float64 }

// Settings is the complete configuration of a Dispatcher.
type Settings struct {
	Seed      uint64
	Self      int // index of this dispatcher among Instances
	Instances int
	Zone      int // of this dispatcher
	Zones     int
	Kinds     int
	Classes   []Class
	Tenants   []Tenant
	Prices    Prices
	Rules     Rules
	Mix       Mix

	Weight         WeightMeaning
	Metrics        []Metric // columns of a load report
	ReportInAnswer bool     // load reports come with the outcomes of attempts, not only with probes
	TellsStart     bool     // workers report when a job starts
	ProgressEvery  Millis   // interval at which workers report progress; 0 if never
	ByPriority     bool     // a worker serves its queue by class priority
	Subscribe      bool     // the list of workers comes only on request
	WorthByWork    bool     // a request's worth grows with its work
	OverShareWorth float64  // factor on the worth of a request beyond its tenant's share

	MaxAttempts    int
	MayDuplicate   bool // two attempts of a request may be in flight together
	MayCancel      bool
	MayProbe       bool
	MaxPause       Millis // longest pause before a retry that clients obey; 0 if they are sent none
	ConnectTimeout Millis
	Tick           Millis // shortest time between events
}

// State is a worker's state as reported by discovery.
type State uint8

// States of a worker.
const (
	Gone State = iota
	Ready
	Draining
)

// Unknown is the cell or zone of a worker for which none was named. Such a worker shares keys with no other: a request that
// may have run there is not repeated elsewhere where the scope of its class is the cell or the zone.
const Unknown = -1

// Worker is one entry of the list of workers.
type Worker struct {
	ID      WorkerID
	Started Millis // when its process started; 0 if long ago
	Kind    int
	Cell    int // Unknown if none was named
	Zone    int // Unknown if none was named; work is then placed as in the first zone
	State   State
	Weight  float64
}

// ListKind is what a list of workers contains.
type ListKind uint8

// Kinds of list.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // all entries; a worker that is not listed is gone
	ListCached                 // all entries of the last known list, possibly stale
	ListFailed                 // no entries: the request for the list failed
)

// Request is a job that a client asks for.
type Request struct {
	ID       RequestID
	Class    int
	Tenant   int
	Key      uint64 // 0 if none
	Deadline Millis // a point in time, not a duration
	Work     Millis // expected work, 0 if not known
	Slots    float64
	Memory   float64
	Retry    bool // the client marked the request as a retry
}

// Result is the way in which an attempt ended.
type Result uint8

// Results of an attempt. Full, ConnectFailed and NotSent prove that it never ran.
const (
	OK Result = iota
	Error
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

// Outcome describes how one attempt ended.
type Outcome struct {
	ID      RequestID
	Attempt int
	Worker  WorkerID
	Result  Result
	Took    Millis
	Closed  bool      // the request needs no further answer
	Report  []float32 // load report in the order of Settings.Metrics; empty if none
}

// Progress is a progress report of an attempt in flight.
type Progress struct {
	ID      RequestID
	Attempt int
	Worker  WorkerID
	Started bool    // the job has just started; otherwise Done is set
	Done    float64 // fraction of the job that is done
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Worker WorkerID
	Result Result
	Took   Millis
	Report []float32
}

// Actions receives the decisions of a Dispatcher, in order, during an event.
type Actions interface {
	// Dispatch sends an attempt to a worker. The attempts of a request are numbered from 0 in the
	// order in which they are sent. An attempt times out after within, or at the request's deadline
	// if within is 0.
	Dispatch(id RequestID, to WorkerID, within Millis)
	// Refuse sends the final answer that the client may safely try again, best after pause.
	Refuse(id RequestID, pause Millis)
	// Fail sends a final answer that does not say whether trying again is safe.
	Fail(id RequestID)
	// Cancel stops waiting for an attempt.
	Cancel(id RequestID, attempt int)
	// Probe asks a worker for its load report.
	Probe(to WorkerID)
	// CloseIdle closes the idle connections to a worker.
	CloseIdle(to WorkerID)
	// Wake requests a Wake event with this token after the duration in.
	Wake(in Millis, token uint64)
	// Subscribe requests the list of workers and all later changes of it.
	Subscribe()
	// Log writes a log line for operators.
	Log(line string)
}

// Events are the events that a Dispatcher handles. They are never delivered concurrently.
type Events interface {
	// Workers delivers the list of workers or a change of it.
	Workers(now Millis, kind ListKind, list []Worker)
	// Arrive delivers a new request, which must get exactly one final answer.
	Arrive(now Millis, r Request)
	// Abandoned reports that a request is closed and needs no answer any more.
	Abandoned(now Millis, id RequestID)
	// AttemptEnded reports how an attempt ended; it is called once for each Dispatch.
	AttemptEnded(now Millis, o Outcome)
	// Progressed delivers a progress report of an attempt in flight.
	Progressed(now Millis, p Progress)
	// Probed delivers the result of a probe.
	Probed(now Millis, p ProbeResult)
	// Wake reports that a timer set by Actions.Wake has expired.
	Wake(now Millis, token uint64)
}

var _ Events = (*Dispatcher)(nil)
