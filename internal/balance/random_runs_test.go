package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// checker observes events and actions and checks the rules as they are specified. It keeps its own records and shares
// no code with the package.
type checker struct {
	settings Settings
	now      Millis
	requests map[RequestID]*checkedRequest
	states   map[WorkerID]State
	workers  map[WorkerID]Worker
	faults   []string
}

type checkedRequest struct {
	request  Request
	answered int
	closed   bool
	attempts []checkedAttempt
}

type checkedAttempt struct {
	to     WorkerID
	sentAt Millis
	result Result
	done   bool
}

func (a checkedAttempt) mayHaveRun() bool {
	return !a.done || a.result != Full && a.result != ConnectFailed && a.result != NotSent
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("at %v: ", c.now)+fmt.Sprintf(format, args...))
}

func (c *checker) action(a action) {
	r := c.requests[a.id]
	switch a.verb {
	case "dispatch":
		c.dispatch(r, a)
	case "refuse", "fail":
		if r.closed {
			c.fault("request %d answered after closing", a.id)
		}
		if a.verb == "refuse" {
			c.refuse(r)
		}
		r.answered++
		r.closed = true
	}
}

func (c *checker) dispatch(r *checkedRequest, a action) {
	class, to := c.settings.Classes[r.request.Class], c.workers[a.worker]
	if r.closed {
		c.fault("request %d dispatched after closing", a.id)
	}
	if c.states[a.worker] != Ready {
		c.fault("request %d sent to worker %d in state %d", a.id, a.worker, c.states[a.worker])
	}
	if class.Kind >= 0 && class.Kind != to.Kind {
		c.fault("request %d sent to the wrong kind", a.id)
	}
	if len(r.attempts) >= c.settings.MaxAttempts {
		c.fault("request %d: too many attempts", a.id)
	}
	for _, b := range r.attempts {
		if !b.mayHaveRun() || class.Effect == Safe {
			continue
		}
		from := c.workers[b.to]
		if class.Effect == Unsafe || c.now-b.sentAt > class.RepeatWindow ||
			class.Scope == ScopeZone && from.Zone != to.Zone || class.Scope == ScopeCell && from.Cell != to.Cell {
			c.fault("request %d may run twice", a.id)
		}
	}
	r.attempts = append(r.attempts, checkedAttempt{to: a.worker, sentAt: c.now})
}

func (c *checker) refuse(r *checkedRequest) {
	class := c.settings.Classes[r.request.Class]
	for _, b := range r.attempts {
		if b.mayHaveRun() && (class.Effect == Unsafe || class.Effect == Deduped && class.Scope != ScopeAll) {
			c.fault("request %d refused though it may have run", r.request.ID)
		}
	}
}

// timer is a Wake event that was requested.
type timer struct {
	at    Millis
	token uint64
}

// randomRun delivers random events from a seed and returns all actions and the checker. alter, if not nil, changes each
// action before it is checked.
func randomRun(t *testing.T, seed uint64, alter func(action) action) ([]action, *checker) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 5))
	s := testSettings()
	s.Instances, s.Seed, s.TellsStart = 1+rng.IntN(20), seed, rng.IntN(2) == 0
	s.Tenants = []Tenant{{Share: 0.6, QuotaPerS: 60}, {Share: 0.4, QuotaPerS: 40}}
	s.MayDuplicate = rng.IntN(4) > 0
	list := fleet(12)
	rec := &recorder{}
	d, err := New(s, rec)
	if err != nil {
		t.Fatal(err)
	}
	c := &checker{settings: s, requests: map[RequestID]*checkedRequest{}, states: map[WorkerID]State{}, workers: map[WorkerID]Worker{}}
	var all []action
	var timers []timer
	var pending []*checkedRequest // requests in order of arrival
	settle := func() {
		acts := append([]action(nil), rec.actions...)
		rec.actions = rec.actions[:0]
		for _, a := range acts {
			if alter != nil {
				a = alter(a)
			}
			all = append(all, a)
			if a.verb == "wake" {
				timers = append(timers, timer{c.now + a.in, a.token})
			} else {
				c.action(a)
			}
		}
	}
	updateList := func(kind ListKind, entries []Worker) {
		for _, w := range entries {
			c.states[w.ID], c.workers[w.ID] = w.State, w
		}
		d.Workers(c.now, kind, entries)
		settle()
	}
	c.now = 5
	updateList(ListCached, list)
	for step := 0; step < 6000; step++ {
		c.now += 5
		for i := 0; i < len(timers); i++ {
			if tm := timers[i]; tm.at <= c.now {
				timers = append(timers[:i], timers[i+1:]...)
				i--
				d.Wake(c.now, tm.token)
				settle()
			}
		}
		if rng.IntN(2) == 0 && step < 4000 {
			q := Request{ID: RequestID(step + 1), Class: rng.IntN(len(s.Classes)), Tenant: rng.IntN(2),
				Deadline: c.now + 200 + rng.Float64()*5000, Slots: float64(1 + rng.IntN(3)), Key: uint64(rng.IntN(3))}
			r := &checkedRequest{request: q}
			c.requests[q.ID], pending = r, append(pending, r)
			d.Arrive(c.now, q)
			settle()
		}
		if rng.IntN(60) == 0 {
			w := &list[rng.IntN(len(list))]
			switch rng.IntN(3) {
			case 0:
				w.State = Draining
			case 1:
				w.State = Gone
			default:
				w.State, w.Started = Ready, c.now
			}
			updateList(ListDelta, []Worker{*w})
		}
		for _, r := range pending {
			for k := range r.attempts {
				a := &r.attempts[k]
				late := c.now >= r.request.Deadline
				if a.done || !late && rng.IntN(80) > 0 {
					continue
				}
				a.done, a.result = true, Result(rng.IntN(8))
				if rng.IntN(2) == 0 {
					a.result = OK
				}
				if late {
					a.result = TimedOut
				}
				if a.result == OK && !r.closed {
					r.answered++
					r.closed = true
				}
				d.AttemptEnded(c.now, Outcome{ID: r.request.ID, Attempt: k, Worker: a.to, Result: a.result,
					Took: c.now - a.sentAt, Closed: r.closed})
				settle()
			}
			if !r.closed && rng.IntN(4000) == 0 { // the client leaves
				r.closed = true
				r.answered++
				d.Abandoned(c.now, r.request.ID)
				settle()
			}
			if !r.closed && c.now > r.request.Deadline+s.Rules.AnswerSlack {
				c.fault("request %d has no answer %v ms after its deadline", r.request.ID, c.now-r.request.Deadline)
				r.closed = true
			}
		}
		for len(pending) > 0 && pending[0].closed && allDone(pending[0]) {
			pending = pending[1:]
		}
	}
	if len(d.requests) > 0 || math.Abs(d.busySlots) > 1e-9 {
		c.fault("%d requests and %v slots are never released", len(d.requests), d.busySlots)
	}
	return all, c
}

func allDone(r *checkedRequest) bool {
	for _, a := range r.attempts {
		if !a.done {
			return false
		}
	}
	return true
}

func TestRulesInRandomRuns(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		acts, c := randomRun(t, seed, nil)
		if len(acts) < 2000 {
			t.Errorf("seed %d: %d actions only", seed, len(acts))
		}
		for i, f := range c.faults {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, f)
			}
		}
	}
}

// TestCheckerFindsBrokenRules alters single actions so that they break a rule, which the checker must find.
func TestCheckerFindsBrokenRules(t *testing.T) {
	oneWorker := func(a action) action { // every dispatch goes to one worker, whatever its state
		if a.verb == "dispatch" {
			a.worker = 1000
		}
		return a
	}
	refuseAll := func(a action) action { // failures become refusals
		if a.verb == "fail" {
			a.verb = "refuse"
		}
		return a
	}
	dropFinal := func(a action) action { // final answers are lost
		if a.verb == "fail" || a.verb == "refuse" {
			a.verb = "log"
		}
		return a
	}
	for name, c := range map[string]struct {
		alter func(action) action
		want  string
	}{"drain": {oneWorker, "in state"}, "refuse": {refuseAll, "refused though"}, "lose": {dropFinal, "no answer"}} {
		var faults []string
		for seed := uint64(1); seed <= 4; seed++ { // not every run drains the one worker
			_, chk := randomRun(t, seed, c.alter)
			faults = append(faults, chk.faults...)
		}
		if !strings.Contains(strings.Join(faults, "\n"), c.want) {
			t.Errorf("%s: the checker did not find %q in %d faults", name, c.want, len(faults))
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	a, _ := randomRun(t, 4, nil)
	b, _ := randomRun(t, 4, nil)
	if !reflect.DeepEqual(a, b) {
		t.Error("two runs with one seed differ")
	}
	c, _ := randomRun(t, 5, nil)
	if reflect.DeepEqual(a, c) {
		t.Error("runs with different seeds are the same")
	}
}
