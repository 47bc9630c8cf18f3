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

// Binaries are the binaries that plays start.
type Binaries struct {
	Shipped string // as it is shipped
	Shim    string // built with the tag shim
}

// Result is what came of a play.
type Result struct {
	Schedule            Schedule
	Judged              int64    // requests with a whole answer
	Excused             int64    // requests on a process that was killed
	Breaches            []string // of the rules, by the far sides
	InvariantViolations []string // invariants that the program itself found broken, and its panics
	Failures            []string // of the play: processes that did not end or start, clients left waiting
}

// Failed says whether anything was broken.
func (r *Result) Failed() bool {
	return len(r.Breaches)+len(r.InvariantViolations)+len(r.Failures) > 0
}

// play is a play that is going on.
type play struct {
	*fleet
	begun   time.Time
	history history.History
	judged  atomic.Int64
	excused atomic.Int64

	mu     sync.Mutex
	drains []drained
	broken []string
}

// drained is a drain that was played.
type drained struct {
	backend string
	change  platform.Change
	back    time.Time
}

func (p *play) fault(form string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(p.broken, fmt.Sprintf(form, args...))
}

// machine is what the far sides may note too late on a busy machine. Where a play holds processes up, what the page grants for
// that comes on top.
const machine = 60 * time.Millisecond

func (s *Schedule) slack() time.Duration {
	for _, t := range s.Faults {
		if t.Kind == Pause {
			return machine + holdUp
		}
	}
	return machine
}

// Play plays a schedule and judges it. The folder is removed.
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
	p := &play{fleet: f, begun: time.Now()}
	var clients, troubles sync.WaitGroup
	for _, n := range f.nodes {
		for i := range clientsPerNode + 1 {
			c := &client{play: p, n: n, name: fmt.Sprintf("s%d-%s-c%d", s.Seed, n.name(), i), rng: rand.New(rand.NewPCG(s.Seed, uint64(n.number*100+i)))}
			if i < clientsPerNode {
				clients.Go(c.run)
			} else {
				clients.Go(c.streams)
			}
		}
	}
	for _, t := range s.Faults {
		troubles.Go(func() { p.apply(t) })
	}
	clients.Wait()
	troubles.Wait()
	p.end()
	return p.judge(), nil
}

// end ends all processes as an operator does.
func (p *play) end() {
	var all sync.WaitGroup
	for _, n := range p.nodes {
		l := n.now()
		l.signal(syscall.SIGTERM)
		all.Go(func() {
			select {
			case <-l.over:
			case <-time.After(p.killAfter()):
				p.fault("%s did not end within %v of the last SIGTERM", n.name(), p.killAfter())
				l.signal(syscall.SIGKILL)
				<-l.over
			}
		})
	}
	all.Wait()
}

// stopSending is the settings' StopSendingWithinMs.
const stopSending = 500 * time.Millisecond

func (p *play) judge() *Result {
	r := &Result{Schedule: p.Schedule, Judged: p.judged.Load(), Excused: p.excused.Load(), Failures: p.broken}
	for _, b := range p.backends {
		p.history.AddAttempts(b.Attempts()...)
	}
	for _, d := range p.drains {
		for _, n := range p.nodes {
			if from := n.told(d.change); !from.IsZero() {
				p.history.AddDrains(history.Drain{Dispatcher: n.name(), Backend: d.backend, PublishedAt: from, ReadyAgainAt: d.back})
			}
		}
	}
	for _, b := range p.history.Check(history.FullRules(stopSending, p.slack())) {
		r.Breaches = append(r.Breaches, b.String())
	}
	for _, n := range p.nodes {
		for _, l := range n.lives {
			l.mu.Lock()
			for _, text := range l.violated {
				if p.slack() == machine || !isTimed(text) {
					r.InvariantViolations = append(r.InvariantViolations, text)
				}
			}
			if l.killed.IsZero() && l.exit != nil {
				r.Failures = append(r.Failures, fmt.Sprintf("%s ended by itself: %v", n.name(), l.exit))
			}
			l.mu.Unlock()
		}
	}
	sort.Strings(r.Breaches)
	return r
}

// timedRules are the program's own checks that a process which was held up between its clock and its write breaks by that alone.
var timedRules = []string{"begin_client_gone", "begin_drained", "repeat_window", "time_told", "answer_late"}

func isTimed(violation string) bool {
	rule, _, _ := strings.Cut(violation, ":")
	return slices.Contains(timedRules, rule)
}

// told is when a change counts as told to the node: to the last of its processes that were there.
func (n *node) told(c platform.Change) (last time.Time) {
	for _, l := range n.lives {
		if !l.ended.IsZero() && l.ended.Before(c.ChangedAt) {
			continue
		}
		at := l.seat.PublishedAt(c, platform.ProcessInfo{StartedAt: l.began, PollInterval: 8 * time.Second})
		if at.IsZero() {
			return time.Time{}
		}
		if at.After(last) {
			last = at
		}
	}
	return last
}

// Shrink leaves out troubles as long as the play still fails, and returns the least schedule that did, with its result.
func Shrink(r *Result, with Binaries) *Result {
	for i := 0; i < len(r.Schedule.Faults); {
		less := r.Schedule
		less.Faults = append(append([]Fault(nil), less.Faults[:i]...), less.Faults[i+1:]...)
		again, err := Play(less, with)
		if err == nil && again.Failed() {
			r = again
			continue
		}
		i++
	}
	return r
}
