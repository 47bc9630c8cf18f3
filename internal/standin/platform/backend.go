package platform

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tinsail/internal/standin/history"
)

// Faults are the faults that a backend shows, until Set replaces them.
type Faults struct {
	Fail   bool // each job fails as soon as it has started
	Refuse bool // each job is refused with 503 before it starts
	// RefuseAfter is the delay before a job is refused.
	RefuseAfter     time.Duration
	BreakConnection bool // the connection is closed once the job has started
	HoldJobs        bool // jobs that have started don't end while this is set
	// FailShare is the share of jobs, 0 to 1, that fail as soon as they have started. A hash of the id selects them.
	FailShare float64
	// CloseEach closes each connection after its answer (Connection: close), so that each job
	// needs a new connection.
	CloseEach bool
	// Reset is the moment of a job at which its connection is reset.
	Reset ResetPoint
}

// Event is an event of an attempt, reported to Backend.OnAttempt.
type Event string

// Events of an attempt.
const (
	Started Event = "start"
	Ended   Event = "end"
	Aborted Event = "aborted"
)

// ResetPoint is a moment of a job at which its connection can be reset.
type ResetPoint uint8

// Moments of a job.
const (
	NoReset        ResetPoint = iota
	BeforeLastByte            // before the request's last byte is read; certain only with a body larger than the read buffer
	BeforeStart               // after the last byte, before "started" is sent
	AfterStart                // after "started" is sent
)

// Backend runs jobs. A job waits for a free slot, reports that it has started, takes the time that
// JobDuration returns and gets a result made from its id. A job whose idempotency key has run here before
// gets the earlier result, so its effect happens once; a job that runs at the same time as another of its
// key takes its own time first.
type Backend struct {
	Name, Address string
	// JobDuration returns how long the job of an id runs.
	JobDuration func(id string) time.Duration
	// OnAttempt, if set, is called when an attempt's header has arrived and when the attempt ends: before the last
	// part of its answer is sent, or, as Aborted, when its connection is found to be gone. Set it before the first job.
	OnAttempt func(at time.Time, id string, event Event)

	server        *http.Server
	slots         chan struct{}
	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{}     // closed and replaced when faults change
	runsByKey     map[string]int    // how often the effect of a key happened
	results       map[string]string // by idempotency key
	counts        Counts
	lastJob       time.Time   // when the header of the latest job arrived
	connTimes     []time.Time // when each connection was accepted; the first maxRecorded
	attempts      []*history.Attempt
	starts        []AttemptStart // the first maxRecorded
}

// AttemptStart is an attempt whose header has arrived, with the names that the header carries.
type AttemptStart struct {
	At              time.Time
	Dispatcher, Req string
	Version         string // policy version; empty if the header has none
}

// AttemptStarts returns the attempts in the order in which their headers arrived.
func (b *Backend) AttemptStarts() []AttemptStart {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]AttemptStart(nil), b.starts...)
}

// maxRecorded limits the connections, and the attempts, that a backend records.
const maxRecorded = 1 << 20

// Attempts returns the backend's record of each attempt, in the order in which they were recorded: when their
// headers arrived or, for one that broke off within its header, when its connection ended.
func (b *Backend) Attempts() []history.Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]history.Attempt, len(b.attempts))
	for i, a := range b.attempts {
		all[i] = *a
	}
	return all
}

// recordAttempt adds an attempt to the record; later changes to it go through update.
func (b *Backend) recordAttempt(a *history.Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.Backend = b.Name; len(b.attempts) < maxRecorded {
		b.attempts = append(b.attempts, a)
	}
}

// update calls change under the lock, which guards the recorded attempts.
func (b *Backend) update(change func()) {
	b.mu.Lock()
	change()
	b.mu.Unlock()
}

// ConnectionTimes returns when connections were accepted, oldest first.
func (b *Backend) ConnectionTimes() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.connTimes...)
}

// hashToUnit maps an id to a number from 0 up to 1 by a hash.
func hashToUnit(id string) float64 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return float64(h.Sum32()>>8) / (1 << 24)
}

// LastJobTime returns when the header of the latest job arrived.
func (b *Backend) LastJobTime() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastJob
}

// Counts are the numbers of jobs received in full, started, done, and abandoned by the dispatcher before their end.
type Counts struct{ Jobs, Started, Done, Cancelled int }

// StartBackend starts a backend with the given number of slots on a free port of 127.0.0.1.
func StartBackend(name string, slots int, jobDuration func(id string) time.Duration) (*Backend, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	return NewBackend(l, name, slots, jobDuration), nil
}

// NewBackend starts a backend on the listener, which Close closes.
func NewBackend(l net.Listener, name string, slots int, jobDuration func(id string) time.Duration) *Backend {
	b := &Backend{Name: name, Address: l.Addr().String(), JobDuration: jobDuration, slots: make(chan struct{}, slots), faultsChanged: make(chan struct{}),
		runsByKey: map[string]int{}, results: map[string]string{}}
	b.server = serve(&recordingListener{l, b}, &http.Server{Handler: http.HandlerFunc(b.serve), ConnContext: withConn,
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				b.mu.Lock()
				if len(b.connTimes) < maxRecorded {
					b.connTimes = append(b.connTimes, time.Now())
				}
				b.mu.Unlock()
			}
		}})
	return b
}

// Entry returns the backend's entry for the director's list. Its weight is the number of slots.
func (b *Backend) Entry(kind, zone string, group int, status string) Entry {
	return Entry{Name: b.Name, Address: b.Address, Zone: zone, Type: kind, Group: group, Status: status, Weight: float64(cap(b.slots))}
}

// Set replaces the backend's faults.
func (b *Backend) Set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.faultsChanged)
	b.faultsChanged = make(chan struct{})
}

// Counts returns the counts so far.
func (b *Backend) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// RunsByKey returns how often the effect of each idempotency key happened here.
func (b *Backend) RunsByKey() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]int, len(b.runsByKey))
	for k, n := range b.runsByKey {
		all[k] = n
	}
	return all
}

// Close closes the listener and all connections.
func (b *Backend) Close() { b.server.Close() }

// load returns the load that answers and /stats carry: free slots and jobs that hold one.
func (b *Backend) load() string {
	return fmt.Sprintf(`{"x0":%d,"busy_reqs":%d}`, cap(b.slots)-len(b.slots), len(b.slots))
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != "POST" {
		connOf(r).completeReq()
	}
	switch {
	case r.Method == "POST":
		b.job(w, r)
	case r.URL.Path == "/health/live":
	case r.URL.Path == "/stats":
		fmt.Fprint(w, b.load())
	default:
		http.NotFound(w, r)
	}
}

// faultsAndChange returns the faults and a channel that is closed when they are replaced.
func (b *Backend) faultsAndChange() (Faults, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults, b.faultsChanged
}

func (b *Backend) currentFaults() Faults { f, _ := b.faultsAndChange(); return f }

func (b *Backend) updateCounts(f func(*Counts)) {
	b.mu.Lock()
	f(&b.counts)
	b.mu.Unlock()
}

// timeLeft returns the request's X-Time-Left-Ms: how long the dispatcher waits. It is negative if the header is
// missing or invalid.
func timeLeft(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
	if err != nil {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}

// reportAttempt reports an attempt's start to OnAttempt and returns the function that reports its end; only that
// function's first call counts.
func (b *Backend) reportAttempt(id string) (end func(Event)) {
	if b.OnAttempt == nil || id == "" {
		return func(Event) {}
	}
	b.OnAttempt(time.Now(), id, Started)
	var once sync.Once
	return func(e Event) { once.Do(func() { b.OnAttempt(time.Now(), id, e) }) }
}

// job records an attempt and answers it, with the faults that are set when its header arrives; HoldJobs is read again
// when the job's time is over.
func (b *Backend) job(w http.ResponseWriter, r *http.Request) {
	id, key := r.Header.Get("X-Correlation-Id"), r.Header.Get("Idempotency-Key")
	b.mu.Lock()
	b.lastJob = time.Now()
	if len(b.starts) < maxRecorded {
		b.starts = append(b.starts, AttemptStart{b.lastJob, r.Header.Get("X-Dispatcher"), id, r.Header.Get("X-Policy-Version")})
	}
	b.mu.Unlock()
	end := b.reportAttempt(id)
	defer end(Aborted)
	conn, faults := connOf(r), b.currentFaults()
	attempt := &history.Attempt{ID: id, FirstByteAt: conn.startAttempt(), TimeLeft: timeLeft(r)}
	b.recordAttempt(attempt)
	if faults.Reset == BeforeLastByte {
		conn.reset()
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || id == "" {
		http.NotFound(w, r)
		return
	}
	conn.completeReq()
	b.update(func() { attempt.LastByteAt = time.Now() })
	b.updateCounts(func(c *Counts) { c.Jobs++ })
	if faults.Reset == BeforeStart {
		conn.reset()
		panic(http.ErrAbortHandler)
	}
	if faults.CloseEach {
		w.Header().Set("Connection", "close")
	}
	if faults.Refuse {
		select {
		case <-time.After(faults.RefuseAfter):
		case <-r.Context().Done():
			return
		}
		b.update(func() { attempt.NeverRan = true })
		end(Ended)
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done(): // cancelled while it waited for a slot: it never ran
		b.updateCounts(func(c *Counts) { c.Cancelled++ })
		return
	}
	defer func() { <-b.slots }()
	b.updateCounts(func(c *Counts) { c.Started++ })
	line := func(rest string) {
		fmt.Fprintf(w, `{"id":%q,"from":%q,%s}`+"\n", id, b.Name, rest)
		_ = http.NewResponseController(w).Flush()
	}
	line(`"state":"started"`)
	if faults.Reset == AfterStart {
		conn.reset()
		panic(http.ErrAbortHandler)
	}
	if faults.Fail || faults.FailShare > 0 && hashToUnit(id) < faults.FailShare {
		end(Ended)
		line(`"state":"failed"`)
		return
	}
	if faults.BreakConnection {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(b.JobDuration(id)):
	case <-r.Context().Done():
		b.updateCounts(func(c *Counts) { c.Cancelled++ })
		return
	}
	for f, change := b.faultsAndChange(); f.HoldJobs; f, change = b.faultsAndChange() {
		select {
		case <-change:
		case <-r.Context().Done():
			b.updateCounts(func(c *Counts) { c.Cancelled++ })
			return
		}
	}
	b.mu.Lock()
	result, repeated := b.results[key]
	if key == "" || !repeated {
		result = "small " + id
		b.results[key] = result
		b.runsByKey[key]++
	}
	b.counts.Done++
	attempt.Result = result
	b.mu.Unlock()
	end(Ended)
	line(fmt.Sprintf(`"state":"done","result":%q,"load":%s`, result, b.load()))
}
