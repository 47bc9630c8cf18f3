package core

import "sync/atomic"

// maxSubmissions is how many requests may wait for the core's goroutine. It handles so many in some tens of milliseconds.
const maxSubmissions = 1024

// submissionQueue counts the requests that wait for the core's goroutine. Clients that send requests faster than it handles them,
// and leave as fast, would otherwise fill the memory, and the requests of others would wait behind theirs. While the queue is full,
// sessions wait in the order in which they came, and read nothing more from their clients.
type submissionQueue struct {
	running atomic.Bool   // Run handles events: without it nobody may wait
	places  chan struct{} // holds one element for each request that waits
	stopped chan struct{} // closed as Run ends
}

func newSubmissionQueue() submissionQueue {
	return submissionQueue{places: make(chan struct{}, maxSubmissions), stopped: make(chan struct{})}
}

func (q *submissionQueue) open() { q.running.Store(true) }

func (q *submissionQueue) close() {
	q.running.Store(false)
	close(q.stopped)
}

// enter takes a place in the queue, and waits for one if there is none. It reports whether leave has to be called.
func (q *submissionQueue) enter() bool {
	if !q.running.Load() {
		return false
	}
	select {
	case q.places <- struct{}{}:
		return true
	case <-q.stopped:
		return false
	}
}

// leave gives a place back.
func (q *submissionQueue) leave() { <-q.places }
