package sim

import (
	"fmt"
	"iter"
	"strings"
	"time"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/lab/fleet"
	"tinsail/internal/lab/judge"
)

// Arrival is a req as it first arrives, before any retry: the time and its properties.
type Arrival struct {
	At, Work     float64
	Class        int
	Slots        float64
	WorkEstimate float64 // the client's estimate of the work; 0 for none
}

// Arrivals yields the scenario's reqs, without retries, in time order. They do not depend on answers, so that the same
// seed yields the same reqs in virtual time and on sockets.
func (sc *Scenario) Arrivals() iter.Seq[Arrival] {
	classes := sc.classes()
	return func(yield func(Arrival) bool) {
		arrivalRand, classRand := fleet.RandomStream(sc.Seed, "arrivals"), fleet.RandomStream(sc.Seed, "classes")
		if sc.ArrivalTimes != nil { // taken from a recording
			for _, at := range sc.ArrivalTimes {
				if at >= sc.Length || !yield(sc.drawArrival(at, arrivalRand.NormFloat64(), classes, classRand)) {
					return
				}
			}
			return
		}
		for at := 0.0; ; {
			factor := 1.0
			for _, b := range sc.Bursts {
				if at >= b.From && at < b.To {
					factor *= b.RateFactor
				}
			}
			at += arrivalRand.ExpFloat64() * 1000 / (sc.Rate * factor)
			z := arrivalRand.NormFloat64()
			if at >= sc.Length || !yield(sc.drawArrival(at, z, classes, classRand)) {
				return
			}
		}
	}
}

// scheduleArrival schedules the arrival of the next req.
func (w *world) scheduleArrival() {
	a, ok := w.nextArrival()
	if !ok {
		return
	}
	w.schedule(a.At, func() {
		w.result.Reqs++
		c := &client{world: w, number: w.result.Reqs, key: fmt.Sprint("k", w.result.Reqs), Arrival: a, arrivedAt: w.now}
		if w.tenants != nil {
			c.tenant = w.tenants.drawTenant()
		}
		c.region = w.drawRegion()
		c.startTry()
		w.scheduleArrival()
	})
}

// client is one req with its retries.
type client struct {
	Arrival
	world      *world
	number     int
	key        string
	arrivedAt  float64
	tryCount   int
	dispatcher *dispatcher
	tryID      string     // of the current try
	attempts   []*attempt // of the current try
	starts     int        // how often a backend started its job, over all tries

	tenant, region int
	standing       bool // part of its tenant's standing demand
}

func (w *world) secondCounts(at float64) *SecondCounts {
	i := int(at / 1000)
	for len(w.result.Seconds) <= i {
		w.result.Seconds = append(w.result.Seconds, SecondCounts{})
	}
	return &w.result.Seconds[i]
}

func (c *client) class() *Class { return &c.world.classes[c.Class] }

// deadline returns when the client stops waiting. The deadline of a class is for all tries together, that of a scenario
// without classes for each try.
func (c *client) deadline() float64 {
	if len(c.world.scenario.Classes) == 0 {
		return c.world.now + c.class().Deadline
	}
	return c.arrivedAt + c.class().Deadline
}

func (c *client) startTry() {
	w := c.world
	c.tryCount++
	c.attempts = c.attempts[:0]
	if c.tryCount == 1 {
		w.secondCounts(w.now).Arrived++
		class := &w.result.Classes[c.Class]
		class.Reqs++
		class.TotalWorth += c.worth()
	}
	targets := c.reachable(w.routedDispatchers())
	if len(targets) == 0 {
		c.unreachable()
		return
	}
	c.dispatcher = targets[0]
	if n := len(targets); n > 1 {
		c.dispatcher = targets[w.frontRand.IntN(n)]
	}
	if c.dispatcher.dead {
		c.unreachable()
		return
	}
	if w.leader != nil && w.cutOff(c.dispatcher.index) {
		w.result.Accord.ReceivedWhileCut++
	}
	w.unanswered++
	c.dispatcher.waiting[c] = struct{}{}
	c.tryID = fmt.Sprint(c.key, "-", c.tryCount)
	deadline := c.deadline()
	w.record(judge.Event{Kind: judge.ReqReceived, Node: c.dispatcher.index, Req: c.tryID, Key: c.key, Deadline: deadline, Work: c.Work, Effect: judgeEffects[c.class().Effect]})
	w.clientsByTry[c.tryID] = c
	job := &core.Job{Method: "POST", Target: "/photo", ID: c.tryID}
	request := balance.Request{Class: c.Class, Tenant: c.tenant, Slots: c.Slots, Work: c.WorkEstimate, Retry: c.tryCount > 1}
	if c.class().Effect == balance.Deduped {
		job.IdempotencyKey = c.key
	}
	if len(w.scenario.Classes) == 0 { // a scenario with classes has no keys: its reqs concern nothing that recurs
		request.Key = hashText(c.key)
	}
	timeLeft := time.Duration((deadline - w.now) * float64(time.Millisecond))
	c.dispatcher.core.Submit(request, job, w.wallClock(), timeLeft, c)
	c.dispatcher.markDirty()
}

// worth returns what the req counts, relative to others of its class.
func (c *client) worth() float64 {
	if c.world.scenario.Site.WorthByWork {
		return c.Work
	}
	return 1
}

var answerKinds = [...]judge.AnswerKind{core.Result: judge.Served, core.Refusal: judge.Refused, core.Failure: judge.Failed}

// Answer handles the final answer. The checker finds any second answer to the same try.
func (c *client) Answer(a core.Answer) {
	w := c.world
	delete(c.dispatcher.waiting, c)
	w.unanswered--
	w.result.Answers++
	w.record(judge.Event{Kind: judge.ReqAnswered, Node: c.dispatcher.index, Req: c.tryID, AnswerKind: answerKinds[a.Kind]})
	second := w.secondCounts(w.now)
	switch a.Kind {
	case core.Result:
		second.Served++
	case core.Refusal:
		second.Refused++
	default:
		second.Failed++
	}
	if a.Kind == core.Result {
		w.result.Served++
		w.secondCounts(c.arrivedAt).EventuallyServed++
		inTime := w.now-c.arrivedAt <= c.class().Aim+c.class().Stretch*c.Work
		if inTime {
			w.result.InTime++
			w.secondCounts(c.arrivedAt).InTime++
		}
		c.finish(inTime, "late")
		_ = w.result.Latency.RecordValue(int64((w.now-c.arrivedAt)*1000) + 1) // within the histogram's range: the answer comes by the last deadline
		return
	}
	// In a scenario with classes, clients retry after a failure only if a repeat does no harm.
	mayRetry := a.Kind == core.Refusal || len(w.scenario.Classes) == 0 || c.class().Effect == balance.Safe
	c.endTry([...]string{core.Refusal: "refused ", core.Failure: "failed "}[a.Kind]+c.stage(), a.Kind, mayRetry, float64(a.RetryAfter)/float64(time.Millisecond))
}

// endTry ends a try that was not served: a retry follows, or the req is finished.
func (c *client) endTry(outcome string, kind core.AnswerKind, mayRetry bool, minPause float64) {
	w := c.world
	if mayRetry && c.tryCount <= w.scenario.Retries {
		pause := max(w.scenario.Backoff*(0.5+w.retryRand.Float64()), minPause)
		if len(w.scenario.Classes) == 0 || w.now+pause < c.arrivedAt+c.class().Deadline {
			w.unanswered++ // the req stays open until its retry
			w.schedule(w.now+pause, func() { w.unanswered--; c.startTry() })
			return
		}
	}
	c.finish(false, outcome)
	if kind == core.Refusal {
		w.result.Refused++
	} else {
		w.result.Failed++
	}
}

// stage returns how far the try had come: what a dispatcher could know (no attempt, or all proven not to have run), and
// what it could not (whether a job had started).
func (c *client) stage() string {
	switch {
	case len(c.attempts) == 0:
		return "held"
	case c.neverRan():
		return "turned away"
	}
	for _, a := range c.attempts {
		if a.started {
			return "begun"
		}
	}
	return "waiting"
}

// neverRan reports whether no attempt of the try can have run, as far as the dispatcher was told.
func (c *client) neverRan() bool {
	for _, a := range c.attempts {
		if !a.neverRan {
			return false
		}
	}
	return true
}

// finish records the outcome of the req.
func (c *client) finish(inTime bool, outcome string) {
	w, class := c.world, &c.world.result.Classes[c.Class]
	if w.tenants != nil {
		if c.class().Urgent && c.starts == 0 && w.tenants.inWindow(c.arrivedAt) {
			w.result.Tenants.UrgentNeverStarted++
		}
		defer w.tenants.scheduleNext(c)
	}
	w.serviceLevel.AddWeighted(c.arrivedAt, c.worth()*c.class().Worth, inTime)
	if inTime {
		class.InTime++
		class.InTimeWorth += c.worth()
		return
	}
	class.NotInTime[outcome]++
	// No dispatcher decided to give up reqs that were late, lost or unreachable.
	decided := strings.HasPrefix(outcome, "refused") || strings.HasPrefix(outcome, "failed")
	if due := c.arrivedAt + c.class().Aim + c.class().Stretch*c.Work; decided && c.neverRan() && w.now+c.Work <= due {
		class.GivenUpEarly++
	}
}
