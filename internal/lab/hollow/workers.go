package hollow

import (
	"fmt"
	"sync"
	"time"

	"tinsail/internal/standin/platform"
)

// AcceleratorCount is how many a fleet of workers has: 1,100 at 580, and in that proportion at others.
func AcceleratorCount(workers int) int { return workers * 1100 / 580 }

// Workers are hollow workers in one process: each a listener that answers and a line of the director's list, with
// its accelerators as its slots.
type Workers struct {
	director   *platform.Director
	mu         sync.Mutex
	backends   []*platform.Backend
	slotCounts []int
	toggles    int // that were told
}

// StartWorkers starts workers and lists them. Close ends them.
func StartWorkers(d *platform.Director, n int) (*Workers, error) {
	w := &Workers{director: d}
	total := AcceleratorCount(n)
	for i := range n {
		slots := total*(i+1)/n - total*i/n
		b, err := platform.StartBackend(fmt.Sprintf("w-%03d", i), slots, func(string) time.Duration { return 20 * time.Millisecond })
		if err != nil {
			w.Close()
			return nil, err
		}
		w.backends, w.slotCounts = append(w.backends, b), append(w.slotCounts, slots)
		d.Set(b.Entry("fast", "here", i, "Ready"))
	}
	return w, nil
}

// Backends are the backends that stand for them.
func (w *Workers) Backends() []*platform.Backend { return w.backends }

// SlotCount are the accelerators of all.
func (w *Workers) SlotCount() (n int) {
	for _, s := range w.slotCounts {
		n += s
	}
	return n
}

// ToggleNextStatus has the next worker in turn drain, or be ready again: one line of news.
func (w *Workers) ToggleNextStatus() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.backends) == 0 {
		return
	}
	i := w.toggles / 2 % len(w.backends)
	status := "Terminating"
	if w.toggles%2 == 1 {
		status = "Ready"
	}
	w.toggles++
	w.director.Set(w.backends[i].Entry("fast", "here", i, status))
}

// Close ends them.
func (w *Workers) Close() {
	for _, b := range w.backends {
		b.Close()
	}
}
