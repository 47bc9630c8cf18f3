package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tinsail/internal/standin/history"
	"tinsail/internal/standin/platform"
)

// Binaries are the paths of the dispatcher binaries that plays start.
type Binaries struct {
	Shipped string // as it is shipped
	Shim    string // built with the tag shim
}

// Result is the outcome of a play.
type Result struct {
	Schedule            Schedule
	Judged              int64    // requests with a complete answer
	Excused             int64    // requests that were open when their process was killed
	Breaches            []string // breaches of the rules, as the clients, backends and director observed them
	InvariantViolations []string // invariant violations that the dispatchers logged, and their panics
	Failures            []string // processes that did not start or end as they should, clients left waiting
}

// Failed reports whether the play found any breach, violation or failure.
func (r *Result) Failed() bool {
	return len(r.Breaches)+len(r.InvariantViolations)+len(r.Failures) > 0
}

// play is a play in progress.
type play struct {
	*fleet
	startedAt time.Time
	history   history.History
	judged    atomic.Int64
	excused   atomic.Int64

	mu       sync.Mutex
	drains   []drain
	failures []string
}

// drain is a drain of a backend that the play has injected.
type drain struct {
	backend      string
	change       platform.Change
	readyAgainAt time.Time
}

func (p *play) addFailure(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = append(p.failures, fmt.Sprintf(format, args...))
}

// machineDelay is how late clients and backends may record an event on a busy machine. In a play that pauses processes,
// the delay that the documentation allows for that is added.
const machineDelay = 60 * time.Millisecond

// clockTolerance returns the tolerance of the history's time limits for a play of the schedule.
func (s *Schedule) clockTolerance() time.Duration {
	for _, f := range s.Faults {
		if f.Kind == Pause {
			return machineDelay + pauseLength
		}
	}
	return machineDelay
}

// Play runs a schedule and judges it. Its temporary folder is removed at the end.
func Play(s Schedule, with Binaries) (*Result, error) {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	program := with.Shipped
	if s.Shim {
		program = with.Shim
	}
	f, err := newFleet(s, program, folder)
	if err != nil {
		return nil, err
	}
	defer f.close()
	p := &play{fleet: f, startedAt: time.Now()}
	var clients, faults sync.WaitGroup
	for _, n := range f.nodes {
		for i := range clientsPerNode + 1 {
			c := &client{play: p, node: n, name: fmt.Sprintf("s%d-%s-c%d", s.Seed, n.name(), i), rng: rand.New(rand.NewPCG(s.Seed, uint64(n.number*100+i)))}
			if i < clientsPerNode {
				clients.Go(c.runHTTP1)
			} else {
				clients.Go(c.runHTTP2)
			}
		}
	}
	for _, fault := range s.Faults {
		faults.Go(func() { p.inject(fault) })
	}
	clients.Wait()
	faults.Wait()
	p.stopProcesses()
	return p.judge(), nil
}

// stopProcesses ends all processes as an operator does: by SIGTERM, and by SIGKILL if they don't end in time.
func (p *play) stopProcesses() {
	var all sync.WaitGroup
	for _, n := range p.nodes {
		current := n.currentProcess()
		current.signal(syscall.SIGTERM)
		all.Go(func() {
			select {
			case <-current.exited:
			case <-time.After(p.stopTimeout()):
				p.addFailure("%s did not end within %v of the last SIGTERM", n.name(), p.stopTimeout())
				current.signal(syscall.SIGKILL)
				<-current.exited
			}
		})
	}
	all.Wait()
}

// stopSending is StopSendingWithinMs of the dispatchers' settings.
const stopSending = 500 * time.Millisecond

// judge checks the history against the rules and collects what the dispatchers logged.
func (p *play) judge() *Result {
	r := &Result{Schedule: p.Schedule, Judged: p.judged.Load(), Excused: p.excused.Load(), Failures: p.failures}
	for _, b := range p.backends {
		p.history.AddAttempts(b.Attempts()...)
	}
	for _, d := range p.drains {
		for _, n := range p.nodes {
			if publishedAt := n.publishedAt(d.change); !publishedAt.IsZero() {
				p.history.AddDrains(history.Drain{Dispatcher: n.name(), Backend: d.backend, PublishedAt: publishedAt, ReadyAgainAt: d.readyAgainAt})
			}
		}
	}
	for _, b := range p.history.Check(history.FullRules(stopSending, p.clockTolerance())) {
		r.Breaches = append(r.Breaches, b.String())
	}
	for _, n := range p.nodes {
		for _, process := range n.processes {
			process.mu.Lock()
			for _, text := range process.violations {
				if p.clockTolerance() == machineDelay || !isTimed(text) {
					r.InvariantViolations = append(r.InvariantViolations, text)
				}
			}
			if process.killedAt.IsZero() && process.exitErr != nil {
				r.Failures = append(r.Failures, fmt.Sprintf("%s ended by itself: %v", n.name(), process.exitErr))
			}
			process.mu.Unlock()
		}
	}
	sort.Strings(r.Breaches)
	return r
}

// timedRules are the dispatcher's own invariants that a process also violates if it is paused between reading the clock
// and a write.
var timedRules = []string{"begin_client_gone", "begin_drained", "repeat_window", "time_told", "answer_late"}

// isTimed reports whether a violation is of one of the timedRules.
func isTimed(violation string) bool {
	rule, _, _ := strings.Cut(violation, ":")
	return slices.Contains(timedRules, rule)
}

// publishedAt returns when a change counts as published to all processes of the node that had not exited before it; zero if
// it doesn't count as published to one of them.
func (n *node) publishedAt(c platform.Change) (last time.Time) {
	for _, p := range n.processes {
		if !p.exitedAt.IsZero() && p.exitedAt.Before(c.ChangedAt) {
			continue
		}
		at := p.directorListener.PublishedAt(c, platform.ProcessInfo{StartedAt: p.startedAt, PollInterval: 8 * time.Second})
		if at.IsZero() {
			return time.Time{}
		}
		if at.After(last) {
			last = at
		}
	}
	return last
}

// Shrink leaves out faults one by one as long as the play still fails. It returns the result of the failed play with the
// fewest faults.
func Shrink(r *Result, with Binaries) *Result {
	for i := 0; i < len(r.Schedule.Faults); {
		smaller := r.Schedule
		smaller.Faults = append(append([]Fault(nil), smaller.Faults[:i]...), smaller.Faults[i+1:]...)
		again, err := Play(smaller, with)
		if err == nil && again.Failed() {
			r = again
			continue
		}
		i++
	}
	return r
}
