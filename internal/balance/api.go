// Package balance makes the decisions of a dispatcher that pushes jobs to
// workers. It extends Join-the-Fastest-of-the-Shortest-Queues (JFSQ): a job goes
// to the capable worker with the fewest of this dispatcher's own slots in flight,
// then to the faster worker, then to chance.
//
// This file is the whole interface: settings, domain types, events and actions.
// Events are methods on a Dispatcher that take the clock; actions go to the
// Actions that the caller supplied. The package starts no goroutine, takes no
// lock and reads no clock: a Dispatcher is driven by one caller at a time.
package balance

// Millis is a time or a duration in milliseconds. The clock that events carry may
// start anywhere but never goes back.
type Millis = float64

// MaxProcessPause is for how long a process may be held up between reading its clock and writing (the standing test, "More than these
// days"): what is decided must still be right so much later.
const MaxProcessPause Millis = 150

// EffectiveRepeatWindow is how long after an attempt another may be decided on, of a class whose repeats are dropped for a window: a
// tenth of it, and HoldUp at the least, is for what lies between the decision and the arrival at a worker.
func EffectiveRepeatWindow(window Millis) Millis { return min(0.9*window, window-MaxProcessPause) }

// WorkerID names a worker for as long as its machine lives, across restarts.
type WorkerID uint64

// RequestID names a request; it is never reused.
type RequestID uint32

// Effect says what a repeat of a request does.
type Effect uint8

// Effects, from harmless to never.
const (
	Safe    Effect = iota // may be repeated at will
	Deduped               // carries a key: a group of workers drops its repeats for a while
	Unsafe                // must never run twice
)

// Scope is the group of workers that share knowledge of the keys they have seen.
type Scope uint8

// Scopes of deduplication.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Metric is one value of a worker's load report.
type Metric uint8

// Metrics a report may hold; MetricOther is carried but not understood.
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

// WeightMeaning says what Worker.Weight stands for.
type WeightMeaning uint8

// Meanings of a weight.
const (
	WeightNone WeightMeaning = iota // always 1
	WeightSize                      // registered size, exact or approximate
	WeightLive                      // size divided by one plus the requests held per core
)

// Class describes one class of request.
type Class struct {
	Worth        float64
	LateWorth    float64 // share of Worth for an answer after the aim
	Aim          Millis  // an answer within Aim plus Stretch times its own work earns all
	Stretch      float64
	Deadline     Millis // the client's whole patience
	Effect       Effect
	Scope        Scope
	RepeatWindow Millis // how long the group of Scope remembers a key
	Kind         int    // the only kind of worker that runs it, or -1
	Priority     int
}

// Tenant describes one customer of the service.
type Tenant struct {
	Share     float64 // of the service
	QuotaPerS float64 // requests a second, over all dispatchers
}

// Prices are what things cost, in parts of the service's whole worth.
type Prices struct {
	CrossZone, Waste, LateFail, Probe, Connection, Handshake float64
}

// Rules hold the figures of the four rules that are never broken.
type Rules struct {
	AnswerSlack   Millis  // how far past its deadline a final answer still counts
	AskEvery      Millis  // an unsubscribed dispatcher counts as told after this long
	FallMultiple  float64 // a cold worker sent more than this times its capacity ...
	FallWindow    Millis  // ... for this long falls over
	StartCapacity float64 // the part of its capacity a worker starts with, at least
	WarmAfter     Millis  // it is warm after this long, at the latest
	DrainGrace    Millis  // sends to a draining or gone worker end within this
}

// Mix says how the result is put together of the whole and of its worst parts.
type Mix struct{ Whole, WorstWindow, WorstClass, WorstTenant float64 }

// Settings are all a dispatcher is told at its start.
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
	ReportInAnswer bool     // reports ride on answers, not only on probes
	TellsStart     bool     // workers say when a job starts
	ProgressEvery  Millis   // workers report progress this often; 0 if never
	ByPriority     bool     // a worker's queue is served by class priority
	Subscribe      bool     // the list of workers comes only when asked for
	WorthByWork    bool     // a request's worth grows with its work
	OverShareWorth float64  // worth of a request beyond its tenant's share

	MaxAttempts    int
	MayDuplicate   bool // two attempts of a request may be out together
	MayCancel      bool
	MayProbe       bool
	MaxPause       Millis // clients obey a pause up to this; 0 if they are not told
	ConnectTimeout Millis
	Tick           Millis // shortest time between events
}

// State is what discovery says of a worker.
type State uint8

// States of a worker.
const (
	Gone State = iota
	Ready
	Draining
)

// Worker is one line of the list of workers.
type Worker struct {
	ID      WorkerID
	Started Millis // when its process started; 0 if long past
	Kind    int
	Cell    int
	Zone    int
	State   State
	Weight  float64
}

// ListKind says what a list of workers holds.
type ListKind uint8

// Kinds of list.
const (
	ListDelta  ListKind = iota // only what changed
	ListFull                   // everything; a worker not named is gone
	ListCached                 // everything as last held, perhaps stale
	ListFailed                 // a call for the list failed; no entries
)

// Request is a job a client asks for.
type Request struct {
	ID       RequestID
	Class    int
	Tenant   int
	Key      uint64 // 0 if none
	Deadline Millis // on the clock
	Work     Millis // expected work, 0 if not known
	Slots    float64
	Memory   float64
	Retry    bool // the client says it has asked before
}

// Result is how an attempt ended.
type Result uint8

// Results. Full, ConnectFailed and NotSent prove that the attempt never ran.
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

// Outcome tells how one attempt ended.
type Outcome struct {
	ID      RequestID
	Attempt int
	Worker  WorkerID
	Result  Result
	Took    Millis
	Closed  bool      // the request needs no further answer
	Report  []float32 // in the order of Settings.Metrics; empty if none
}

// Progress is news of an attempt in flight.
type Progress struct {
	ID      RequestID
	Attempt int
	Worker  WorkerID
	Started bool    // the job has just started; otherwise Done is set
	Done    float64 // part of the job that is done
}

// ProbeResult is what a probe found.
type ProbeResult struct {
	Worker WorkerID
	Result Result
	Took   Millis
	Report []float32
}

// Actions receives what the dispatcher decides, in order, during an event.
type Actions interface {
	// Dispatch sends an attempt; attempts of a request count from 0 in the order
	// sent. It times out after within, or with the client's patience if 0.
	Dispatch(id RequestID, to WorkerID, within Millis)
	// Refuse answers that trying again is harmless, best after pause.
	Refuse(id RequestID, pause Millis)
	// Fail answers without any promise.
	Fail(id RequestID)
	// Cancel stops waiting for an attempt.
	Cancel(id RequestID, attempt int)
	// Probe asks a worker for its load report.
	Probe(to WorkerID)
	// CloseIdle closes the idle connections to a worker.
	CloseIdle(to WorkerID)
	// Wake asks for a Wake event with this token, after in.
	Wake(in Millis, token uint64)
	// Subscribe asks for the list of workers and its changes from now on.
	Subscribe()
	// Log writes a line for the people on call.
	Log(line string)
}

// Events is what a Dispatcher listens to. It is never called concurrently.
type Events interface {
	// Workers brings news of the list of workers.
	Workers(now Millis, kind ListKind, list []Worker)
	// Arrive hands over a request; one final answer is owed from now on.
	Arrive(now Millis, r Request)
	// Abandoned tells that a request is closed and nothing is owed any more.
	Abandoned(now Millis, id RequestID)
	// AttemptEnded tells how an attempt ended; there is one for each Dispatch.
	AttemptEnded(now Millis, o Outcome)
	// Progressed brings news of an attempt in flight.
	Progressed(now Millis, p Progress)
	// Probed brings the result of a probe.
	Probed(now Millis, p ProbeResult)
	// Wake is the timer that Actions.Wake asked for.
	Wake(now Millis, token uint64)
}

var _ Events = (*Dispatcher)(nil)
