package kit2

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"tinsail/internal/standin/platform"
)

// Worker is a photo worker that answers each job with a result of a size. It records when each attempt began, by its id, and
// which results it has sent.
type Worker struct {
	Name, Address string
	Duration      time.Duration
	ResultBytes   int

	mu    sync.Mutex
	began map[string][]time.Time
	done  map[string]time.Time
}

// idleTimeout is the settings' ConnIdleMs: a photo worker closes a connection that has been idle for so long.
const idleTimeout = 10 * time.Second

// NoteRuns records every attempt that began at the workers, and when the result of its job was sent.
func (c *Case) NoteRuns(workers []*Worker) {
	for _, w := range workers {
		w.mu.Lock()
		for id, times := range w.began {
			for _, at := range times {
				done := "not to its end"
				if t := w.done[id]; !t.IsZero() {
					done = fmt.Sprintf("result sent at %.3f", t.Sub(c.start).Seconds())
				}
				c.Note("%s ran %s: began at %.3f, %s", w.Name, id, at.Sub(c.start).Seconds(), done)
			}
		}
		w.mu.Unlock()
	}
}

// StartWorker starts a worker on a free port.
func (c *Case) StartWorker(name string, duration time.Duration, resultBytes int) *Worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	w := &Worker{Name: name, Address: l.Addr().String(), Duration: duration, ResultBytes: resultBytes, began: map[string][]time.Time{}, done: map[string]time.Time{}}
	server := &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: idleTimeout}
	go func() { _ = server.Serve(l) }()
	c.Cleanup(func() { server.Close() })
	return w
}

// Entry returns the worker's entry of a list.
func (w *Worker) Entry(status string, group int) platform.Entry {
	return platform.Entry{Name: w.Name, Address: w.Address, Zone: "here", Type: "fast", Group: group, Status: status, Weight: 16}
}

// Starts returns when the last attempt of each id began.
func (w *Worker) Starts() map[string]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := map[string]time.Time{}
	for id, times := range w.began {
		all[id] = times[len(times)-1]
	}
	return all
}

// Done returns when the result of an id was sent; zero: never.
func (w *Worker) Done(id string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[id]
}

func (w *Worker) serve(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Correlation-Id")
	if r.Method != "POST" || id == "" {
		http.NotFound(out, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.mu.Lock()
	w.began[id] = append(w.began[id], time.Now())
	w.mu.Unlock()
	line := func(rest string) {
		fmt.Fprintf(out, `{"id":%q,"from":%q,%s}`+"\n", id, w.Name, rest)
		_ = http.NewResponseController(out).Flush()
	}
	line(`"state":"started"`)
	select {
	case <-time.After(w.Duration):
	case <-r.Context().Done():
		return
	}
	w.mu.Lock()
	w.done[id] = time.Now()
	w.mu.Unlock()
	line(fmt.Sprintf(`"state":"done","result":%q`, Result(id, w.ResultBytes)))
}

// Result is the result of an id.
func Result(id string, bytes int) string {
	return id + strings.Repeat(".", max(bytes-len(id), 0))
}

// Jobs returns how many jobs ran to their end.
func (w *Worker) Jobs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.done)
}
