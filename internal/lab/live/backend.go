// Package live plays a scenario of the laboratory in real time on loopback sockets, with the real program between stand-ins that are driven
// by the same model of a backend as in virtual time. What both make of a scenario can be held against each other.
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

// backend is a photo worker on a socket: its protocol is the platform's, its doings the model's.
type backend struct {
	name    string
	address string
	clock   func() float64           // ms from the start of the run
	work    func(key string) float64 // of a job, on the yardstick

	mu       sync.Mutex
	model    *fleet.Backend
	reporter *fleet.Reporter
	chance   *rand.Rand
	jobs     map[uint64]chan fleet.EventKind
	last     uint64
	timer    *time.Timer
	server   *http.Server
	begun    int
}

type fresh struct{}

// listen serves at its address, a free one the first time.
func (b *backend) listen() error {
	at := b.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	b.address = l.Addr().String()
	s := &http.Server{Handler: http.HandlerFunc(b.serve), ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		first := true
		return context.WithValue(ctx, fresh{}, &first)
	}}
	b.mu.Lock()
	b.server = s
	b.mu.Unlock()
	go func() { _ = s.Serve(l) }() // ends with Close
	return nil
}

// change lets something happen to the model, and passes on what came of it.
func (b *backend) change(f func(now float64) []fleet.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tell(f(b.clock()))
}

// tell passes events on to the jobs they concern, and sets the timer for the next. b.mu is held.
func (b *backend) tell(list []fleet.Event) {
	for _, e := range list {
		if c := b.jobs[e.Job]; c != nil {
			c <- e.Kind // its buffer holds all that can become of a job
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
	b.timer = time.AfterFunc(wait, func() { b.change(b.model.Advance) })
}

// kill ends its process: connections break, and new ones are refused.
func (b *backend) kill() {
	b.mu.Lock()
	s := b.server
	b.mu.Unlock()
	if s != nil {
		s.Close()
	}
	b.change(b.model.Kill)
}

// start starts it again, cold.
func (b *backend) start() error {
	b.change(func(now float64) []fleet.Event { b.model.Start(now); return nil })
	return b.listen()
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id, key := r.Header.Get("X-Correlation-Id"), r.Header.Get("Idempotency-Key")
	if _, err := io.Copy(io.Discard, r.Body); err != nil || r.Method != http.MethodPost || id == "" {
		http.NotFound(w, r)
		return
	}
	connect, _ := r.Context().Value(fresh{}).(*bool)
	b.mu.Lock()
	b.last++
	n, news := b.last, make(chan fleet.EventKind, 4)
	b.jobs[n] = news
	b.begun++
	h := fnv.New64a()
	_, _ = io.WriteString(h, key)
	verdict, list := b.model.Offer(b.clock(), fleet.Job{ID: n, Key: h.Sum64(), Work: b.work(key), Slots: 1}, connect != nil && *connect)
	if connect != nil {
		*connect = false
	}
	b.tell(list)
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.jobs, n)
		b.mu.Unlock()
	}()
	switch verdict {
	case fleet.Full:
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fleet.Refused:
		panic(http.ErrAbortHandler)
	}
	b.follow(w, r, id, n, news)
}

// follow tells what becomes of a job, line by line.
func (b *backend) follow(w http.ResponseWriter, r *http.Request, id string, n uint64, news <-chan fleet.EventKind) {
	flush := http.NewResponseController(w)
	line := func(rest string) {
		fmt.Fprintf(w, `{"id":%q,"from":%q,%s}`+"\n", id, b.name, rest)
		_ = flush.Flush() // a dispatcher that has gone is seen by the context
	}
	for {
		select {
		case <-r.Context().Done():
			b.change(func(now float64) []fleet.Event { return b.model.Cancel(now, n) })
			return
		case what := <-news:
			switch what {
			case fleet.Started:
				line(`"state":"started"`)
				continue
			case fleet.Done:
				line(`"state":"done","result":"small"` + b.load())
			case fleet.Failed:
				line(`"state":"failed"` + b.load())
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

func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v, ok := b.reporter.Report(b.clock(), b.model.FreeSlots(), b.chance); ok {
		return fmt.Sprintf(`,"load":{"x0":%.3f}`, v)
	}
	return ""
}
