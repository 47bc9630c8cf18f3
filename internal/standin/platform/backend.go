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

// Faults are what a backend does wrong, from when they are set until they are set again.
type Faults struct {
	Fail   bool // every job fails at once
	Refuse bool // every job is turned away unstarted
	// RefuseAfter is how long each job that is turned away waits for that.
	RefuseAfter     time.Duration
	BreakConnection bool // the connection breaks once the job has started
	HoldJobs        bool // a job that has started does not end until Hold is taken back
	// FailShare is the part of jobs, 0 to 1 by their ids, that fail as soon as they have started.
	FailShare float64
	// CloseEach ends each connection after its answer (Connection: close), so that every job
	// needs a new one.
	CloseEach bool
	// Reset is where in a job its connection is reset.
	Reset ResetPoint
}

// Event is what Backend.Told hears of an attempt.
type Event string

// Events.
const (
	Started Event = "start"
	Ended   Event = "end"
	Aborted Event = "aborted"
)

// ResetPoint is a moment in the course of a job.
type ResetPoint uint8

// Points at which a connection can be reset.
const (
	NoReset        ResetPoint = iota
	BeforeLastByte            // before the req's last byte was read, which a body beyond a buffer's size makes sure of
	BeforeStart               // after its last byte, before "started" is told
	AfterStart                // after "started" was told
)

// Backend runs jobs: a job waits for one of its slots, tells that it has started, runs for as
// long as Work says and gives a result made of its id. A repeat of a key that ran here, or
// runs, waits for that run and gets its result: the job's effect happens once.
type Backend struct {
	Name, Address string
	JobDuration   func(id string) time.Duration
	// OnAttempt, set before the first job where it is wanted, hears of each attempt: when its head is whole, and its end:
	// before the last of its answer is sent, or, aborted, when it is found that its connection is gone.
	OnAttempt func(at time.Time, id string, event Event)

	server *http.Server
	slots  chan struct{}
	mu     sync.Mutex
	faults Faults
	change chan struct{}     // closed when faults change
	ran    map[string]int    // how often a key's effect happened
	result map[string]string // by key
	counts Counts
	last   time.Time   // that a job's head came
	conns  []time.Time // when each connection came, the first mostConns
	seen   []*history.Attempt
	starts []AttemptStart // of attempts, the first mostConns
}

// AttemptStart is an attempt whose head is whole here, as it names itself.
type AttemptStart struct {
	At              time.Time
	Dispatcher, Req string
	Version         string // empty: it names none
}

// AttemptStarts are the attempts that came, in the order in which their heads were whole.
func (b *Backend) AttemptStarts() []AttemptStart {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]AttemptStart(nil), b.starts...)
}

// mostConns bounds what a backend remembers of its connections, and of its attempts.
const mostConns = 1 << 20

// Attempts are what it saw of each attempt, in the order in which their heads came.
func (b *Backend) Attempts() []history.Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]history.Attempt, len(b.seen))
	for i, a := range b.seen {
		all[i] = *a
	}
	return all
}

// note remembers an attempt; now changes it under the lock.
func (b *Backend) note(a *history.Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.Backend = b.Name; len(b.seen) < mostConns {
		b.seen = append(b.seen, a)
	}
}

func (b *Backend) now(change func()) {
	b.mu.Lock()
	change()
	b.mu.Unlock()
}

// ConnectionTimes are the times at which connections came, oldest first.
func (b *Backend) ConnectionTimes() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.conns...)
}

// part spreads ids over 0 to 1.
func part(id string) float64 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return float64(h.Sum32()>>8) / (1 << 24)
}

// LastJobTime is when the head of the last job came.
func (b *Backend) LastJobTime() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// Counts are what a backend has seen.
type Counts struct{ Jobs, Started, Done, Cancelled int }

// StartBackend listens on a free port of 127.0.0.1, with so many slots.
func StartBackend(name string, slots int, work func(id string) time.Duration) (*Backend, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	return NewBackend(l, name, slots, work), nil
}

// NewBackend answers on a listener, which Close closes.
func NewBackend(l net.Listener, name string, slots int, work func(id string) time.Duration) *Backend {
	b := &Backend{Name: name, Address: l.Addr().String(), JobDuration: work, slots: make(chan struct{}, slots), change: make(chan struct{}),
		ran: map[string]int{}, result: map[string]string{}}
	b.server = serve(&tapped{l, b}, &http.Server{Handler: http.HandlerFunc(b.serve), ConnContext: withTap,
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				b.mu.Lock()
				if len(b.conns) < mostConns {
					b.conns = append(b.conns, time.Now())
				}
				b.mu.Unlock()
			}
		}})
	return b
}

// Entry is the backend's line in a list.
func (b *Backend) Entry(kind, zone string, group int, status string) Entry {
	return Entry{Name: b.Name, Address: b.Address, Zone: zone, Type: kind, Group: group, Status: status, Weight: float64(cap(b.slots))}
}

// Set has the backend fail in these ways from now on.
func (b *Backend) Set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.change)
	b.change = make(chan struct{})
}

// Counts tells what the backend has seen so far.
func (b *Backend) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// RunsByKey tells how often the effect of each key happened here.
func (b *Backend) RunsByKey() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]int, len(b.ran))
	for k, n := range b.ran {
		all[k] = n
	}
	return all
}

// Close ends the backend and breaks its connections.
func (b *Backend) Close() { b.server.Close() }

func (b *Backend) load() string {
	return fmt.Sprintf(`{"x0":%d,"busy_reqs":%d}`, cap(b.slots)-len(b.slots), len(b.slots))
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != "POST" {
		tapOf(r).whole()
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

func (b *Backend) state() (Faults, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults, b.change
}

func (b *Backend) faulty() Faults { f, _ := b.state(); return f }

func (b *Backend) add(f func(*Counts)) {
	b.mu.Lock()
	f(&b.counts)
	b.mu.Unlock()
}

// told is how long the dispatcher waits, as it says; negative where it does not say.
func told(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
	if err != nil {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}

// tell tells that an attempt has come, and gives what tells its end, which is told once.
func (b *Backend) tell(id string) (end func(Event)) {
	if b.OnAttempt == nil || id == "" {
		return func(Event) {}
	}
	b.OnAttempt(time.Now(), id, Started)
	var once sync.Once
	return func(e Event) { once.Do(func() { b.OnAttempt(time.Now(), id, e) }) }
}

func (b *Backend) job(w http.ResponseWriter, r *http.Request) {
	id, key := r.Header.Get("X-Correlation-Id"), r.Header.Get("Idempotency-Key")
	b.mu.Lock()
	b.last = time.Now()
	if len(b.starts) < mostConns {
		b.starts = append(b.starts, AttemptStart{b.last, r.Header.Get("X-Dispatcher"), id, r.Header.Get("X-Policy-Version")})
	}
	b.mu.Unlock()
	end := b.tell(id)
	defer end(Aborted)
	tap, f := tapOf(r), b.faulty()
	a := &history.Attempt{ID: id, First: tap.begin(), Told: told(r)}
	b.note(a)
	if f.Reset == BeforeLastByte {
		tap.reset()
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || id == "" {
		http.NotFound(w, r)
		return
	}
	tap.whole()
	b.now(func() { a.Last = time.Now() })
	b.add(func(c *Counts) { c.Jobs++ })
	if f.Reset == BeforeStart {
		tap.reset()
		panic(http.ErrAbortHandler)
	}
	if f.CloseEach {
		w.Header().Set("Connection", "close")
	}
	if f.Refuse {
		select {
		case <-time.After(f.RefuseAfter):
		case <-r.Context().Done():
			return
		}
		b.now(func() { a.Never = true })
		end(Ended)
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done(): // called off while it waited: it never ran
		b.add(func(c *Counts) { c.Cancelled++ })
		return
	}
	defer func() { <-b.slots }()
	b.add(func(c *Counts) { c.Started++ })
	line := func(rest string) {
		fmt.Fprintf(w, `{"id":%q,"from":%q,%s}`+"\n", id, b.Name, rest)
		_ = http.NewResponseController(w).Flush()
	}
	line(`"state":"started"`)
	if f.Reset == AfterStart {
		tap.reset()
		panic(http.ErrAbortHandler)
	}
	if f.Fail || f.FailShare > 0 && part(id) < f.FailShare {
		end(Ended)
		line(`"state":"failed"`)
		return
	}
	if f.BreakConnection {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(b.JobDuration(id)):
	case <-r.Context().Done():
		b.add(func(c *Counts) { c.Cancelled++ })
		return
	}
	for f, change := b.state(); f.HoldJobs; f, change = b.state() {
		select {
		case <-change:
		case <-r.Context().Done():
			b.add(func(c *Counts) { c.Cancelled++ })
			return
		}
	}
	b.mu.Lock()
	result, again := b.result[key]
	if key == "" || !again {
		result = "small " + id
		b.result[key] = result
		b.ran[key]++
	}
	b.counts.Done++
	a.Result = result
	b.mu.Unlock()
	end(Ended)
	line(fmt.Sprintf(`"state":"done","result":%q,"load":%s`, result, b.load()))
}
