// Package live plays a scenario in real time on loopback sockets. The real dispatchers run between simulated clients,
// backends and a director; the backends follow the same model as in virtual time, so that the results of the two can be
// compared.
package live

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"tinsail/internal/lab/fleet"
)

// backend is a simulated backend on a socket. It speaks the platform's protocol and follows the model of package fleet.
type backend struct {
	name    string
	address string
	clock   func() float64           // ms since the start of the run
	work    func(key string) float64 // work of the job with a key, in ms on one core of the reference machine

	mu           sync.Mutex
	model        *fleet.Backend
	reporter     *fleet.Reporter
	random       *rand.Rand
	jobs         map[uint64]chan fleet.EventKind // events of the open jobs, by id
	lastJob      uint64
	timer        *time.Timer // fires at the model's next event
	server       *http.Server
	receivedJobs int
}

// newConnKey is the context key of a *bool that is true until the first job of a connection.
type newConnKey struct{}

// listen serves at the backend's address, or at a free one if it has none yet.
func (b *backend) listen() error {
	address := b.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.address = l.Addr().String()
	s := &http.Server{Handler: http.HandlerFunc(b.serve), ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		isNew := true
		return context.WithValue(ctx, newConnKey{}, &isNew)
	}}
	b.mu.Lock()
	b.server = s
	b.mu.Unlock()
	go func() { _ = s.Serve(l) }() // until Close
	return nil
}

// update changes the model and delivers the resulting events.
func (b *backend) update(change func(now float64) []fleet.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deliver(change(b.clock()))
}

// deliver passes events to their jobs and sets the timer for the model's next event. The caller holds b.mu.
func (b *backend) deliver(events []fleet.Event) {
	for _, e := range events {
		if job := b.jobs[e.Job]; job != nil {
			job <- e.Kind // never blocks: the buffer holds all events that a job can have
		}
	}
	next := b.model.NextEvent()
	if b.timer != nil {
		b.timer.Stop()
	}
	if math.IsInf(next, 1) {
		return
	}
	wait := time.Duration(max(next-b.clock(), 0) * float64(time.Millisecond))
	b.timer = time.AfterFunc(wait, func() { b.update(b.model.Advance) })
}

// kill simulates the end of the backend's process: open connections break, and new ones are refused.
func (b *backend) kill() {
	b.mu.Lock()
	s := b.server
	b.mu.Unlock()
	if s != nil {
		s.Close()
	}
	b.update(b.model.Kill)
}

// start starts the backend again, cold.
func (b *backend) start() error {
	b.update(func(now float64) []fleet.Event { b.model.Start(now); return nil })
	return b.listen()
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id, key := r.Header.Get("X-Correlation-Id"), r.Header.Get("Idempotency-Key")
	if _, err := io.Copy(io.Discard, r.Body); err != nil || r.Method != http.MethodPost || id == "" {
		http.NotFound(w, r)
		return
	}
	newConn, _ := r.Context().Value(newConnKey{}).(*bool)
	b.mu.Lock()
	b.lastJob++
	job, events := b.lastJob, make(chan fleet.EventKind, 4)
	b.jobs[job] = events
	b.receivedJobs++
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, key)
	result, list := b.model.Offer(b.clock(), fleet.Job{ID: job, Key: hash.Sum64(), Work: b.work(key), Slots: 1}, newConn != nil && *newConn)
	if newConn != nil {
		*newConn = false
	}
	b.deliver(list)
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.jobs, job)
		b.mu.Unlock()
	}()
	switch result {
	case fleet.Full:
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fleet.Refused:
		panic(http.ErrAbortHandler)
	}
	b.answer(w, r, id, job, events)
}

// answer sends the events of a job to the dispatcher, one line each, until the job ends or the dispatcher closes the
// connection, which cancels the job.
func (b *backend) answer(w http.ResponseWriter, r *http.Request, id string, job uint64, events <-chan fleet.EventKind) {
	controller := http.NewResponseController(w)
	writeLine := func(fields string) {
		fmt.Fprintf(w, `{"id":%q,"from":%q,%s}`+"\n", id, b.name, fields)
		_ = controller.Flush() // if the dispatcher has closed the connection, the request's context says so
	}
	for {
		select {
		case <-r.Context().Done():
			b.update(func(now float64) []fleet.Event { return b.model.Cancel(now, job) })
			return
		case event := <-events:
			switch event {
			case fleet.Started:
				writeLine(`"state":"started"`)
				continue
			case fleet.Done:
				writeLine(`"state":"done","result":"small"` + b.loadField())
			case fleet.Failed:
				writeLine(`"state":"failed"` + b.loadField())
			case fleet.Returned:
				w.Header().Set("X-Unprocessed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			case fleet.Lost:
				panic(http.ErrAbortHandler)
			}
			return
		}
	}
}

// loadField returns the load field of an answer, with a leading comma, or an empty string if the backend reports no load.
func (b *backend) loadField() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v, ok := b.reporter.Report(b.clock(), b.model.FreeSlots(), b.random); ok {
		return fmt.Sprintf(`,"load":{"x0":%.3f}`, v)
	}
	return ""
}
