package hollow

import (
	"fmt"
	"sync"
	"time"

	"tinsail/internal/standin/platform"
)

// AcceleratorCount returns the accelerators of a fleet of workers: 1,100 at 580 workers, and in proportion otherwise.
func AcceleratorCount(workers int) int { return workers * 1100 / 580 }

// Workers are simulated workers in this process. Each is a listener that answers reqs and an entry in the director's
// list; its slots are its accelerators.
type Workers struct {
	director   *platform.Director
	mu         sync.Mutex
	backends   []*platform.Backend
	slotCounts []int
	toggles    int // calls of ToggleNextStatus
}

// StartWorkers starts n workers and adds them to the director's list. The caller must call Close.
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

// Backends returns the backends that simulate the workers.
func (w *Workers) Backends() []*platform.Backend { return w.backends }

// SlotCount returns the accelerators of all workers.
func (w *Workers) SlotCount() (n int) {
	for _, s := range w.slotCounts {
		n += s
	}
	return n
}

// ToggleNextStatus sets the next worker's status to Terminating, or back to Ready: one change in the director's list.
// The workers take turns.
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

// Close closes the workers' listeners.
func (w *Workers) Close() {
	for _, b := range w.backends {
		b.Close()
	}
}
