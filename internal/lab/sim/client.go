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

// Arrival is a first req: when it comes, and what it is.
type Arrival struct {
	At, Work     float64
	Class        int
	Slots        float64
	WorkEstimate float64 // of the work, as its client tells; 0 for none
}

// Arrivals are a scenario's first reqs, in the order of their times; they wait for no answer, so that the same
// seed has the same ones in virtual time and on sockets.
func (sc *Scenario) Arrivals() iter.Seq[Arrival] {
	classes := sc.classes()
	return func(yield func(Arrival) bool) {
		chance, more := fleet.RandomStream(sc.Seed, "arrivals"), fleet.RandomStream(sc.Seed, "classes")
		if sc.ArrivalTimes != nil { // a recording's
			for _, at := range sc.ArrivalTimes {
				if at >= sc.Length || !yield(sc.draw(at, chance.NormFloat64(), classes, more)) {
					return
				}
			}
			return
		}
		for at := 0.0; ; {
			times := 1.0
			for _, b := range sc.Bursts {
				if at >= b.From && at < b.To {
					times *= b.RateFactor
				}
			}
			at += chance.ExpFloat64() * 1000 / (sc.Rate * times)
			z := chance.NormFloat64()
			if at >= sc.Length || !yield(sc.draw(at, z, classes, more)) {
				return
			}
		}
	}
}

// arrive has the next first req come.
func (w *world) arrive() {
	a, ok := w.next()
	if !ok {
		return
	}
	w.schedule(a.At, func() {
		w.result.Reqs++
		c := &client{world: w, n: w.result.Reqs, key: fmt.Sprint("k", w.result.Reqs), Arrival: a, arrivedAt: w.now}
		if w.tenants != nil {
			c.tenant = w.tenants.drawTenant()
		}
		c.region = w.drawRegion()
		c.ask()
		w.arrive()
	})
}

// client is one first req with its retries.
type client struct {
	Arrival
	world      *world
	n          int
	key        string
	arrivedAt  float64
	tries      int
	dispatcher *dispatcher
	id         string     // of the try
	trips      []*attempt // of the try
	starts     int        // how often a job of its began, in all tries

	tenant, region int
	standing       bool // part of its tenant's standing demand
}

func (w *world) second(at float64) *SecondCounts {
	i := int(at / 1000)
	for len(w.result.Seconds) <= i {
		w.result.Seconds = append(w.result.Seconds, SecondCounts{})
	}
	return &w.result.Seconds[i]
}

func (c *client) class() *Class { return &c.world.classes[c.Class] }

// until is when its patience ends: that of a class is for all tries, that of a scenario without classes for each.
func (c *client) until() float64 {
	if len(c.world.scenario.Classes) == 0 {
		return c.world.now + c.class().Deadline
	}
	return c.arrivedAt + c.class().Deadline
}

func (c *client) ask() {
	w := c.world
	c.tries++
	c.trips = c.trips[:0]
	if c.tries == 1 {
		w.second(w.now).Arrived++
		r := &w.result.Classes[c.Class]
		r.Reqs++
		r.TotalWorth += c.worth()
	}
	fronts := c.reachable(w.routedDispatchers())
	if len(fronts) == 0 {
		c.unreachable()
		return
	}
	c.dispatcher = fronts[0]
	if n := len(fronts); n > 1 {
		c.dispatcher = fronts[w.front.IntN(n)]
	}
	if c.dispatcher.dead {
		c.unreachable()
		return
	}
	if w.leader != nil && w.cutOff(c.dispatcher.index) {
		w.result.Accord.ReceivedWhileCut++
	}
	w.unanswered++
	c.dispatcher.asked[c] = struct{}{}
	c.id = fmt.Sprint(c.key, "-", c.tries)
	deadline := c.until()
	w.note(judge.Event{Kind: judge.ReqReceived, Node: c.dispatcher.index, Req: c.id, Key: c.key, Deadline: deadline, Work: c.Work, Effect: effects[c.class().Effect]})
	w.tries[c.id] = c
	job := &core.Job{Method: "POST", Target: "/photo", ID: c.id}
	q := balance.Request{Class: c.Class, Tenant: c.tenant, Slots: c.Slots, Work: c.WorkEstimate, Retry: c.tries > 1}
	if c.class().Effect == balance.Deduped {
		job.IdempotencyKey = c.key
	}
	if len(w.scenario.Classes) == 0 { // where classes are told, reqs concern nothing that could be told again
		q.Key = hashOf(c.key)
	}
	left := time.Duration((deadline - w.now) * float64(time.Millisecond))
	c.dispatcher.core.Submit(q, job, w.time(), left, c)
	c.dispatcher.markDirty()
}

// worth is what the req counts, relative to others of its class.
func (c *client) worth() float64 {
	if c.world.scenario.Site.WorthByWork {
		return c.Work
	}
	return 1
}

var verdicts = [...]judge.AnswerKind{core.Result: judge.Served, core.Refusal: judge.Refused, core.Failure: judge.Failed}

// Answer takes the final answer. That there is no second is the judge's to see.
func (c *client) Answer(a core.Answer) {
	w := c.world
	delete(c.dispatcher.asked, c)
	w.unanswered--
	w.result.Answers++
	w.note(judge.Event{Kind: judge.ReqAnswered, Node: c.dispatcher.index, Req: c.id, AnswerKind: verdicts[a.Kind]})
	s := w.second(w.now)
	switch a.Kind {
	case core.Result:
		s.Served++
	case core.Refusal:
		s.Refused++
	default:
		s.Failed++
	}
	if a.Kind == core.Result {
		w.result.Served++
		w.second(c.arrivedAt).EventuallyServed++
		good := w.now-c.arrivedAt <= c.class().Aim+c.class().Stretch*c.Work
		if good {
			w.result.InTime++
			w.second(c.arrivedAt).InTime++
		}
		c.over(good, "late")
		_ = w.result.Latency.RecordValue(int64((w.now-c.arrivedAt)*1000) + 1) // in its bounds: it is over by the last deadline
		return
	}
	// Clients of classes come back after a failure only where a repeat harms nobody.
	again := a.Kind == core.Refusal || len(w.scenario.Classes) == 0 || c.class().Effect == balance.Safe
	c.ended([...]string{core.Refusal: "refused ", core.Failure: "failed "}[a.Kind]+c.where(), a.Kind, again, float64(a.RetryAfter)/float64(time.Millisecond))
}

// ended ends a try that was not served: another follows, or the first req is over.
func (c *client) ended(how string, v core.AnswerKind, again bool, least float64) {
	w := c.world
	if again && c.tries <= w.scenario.Retries {
		pause := max(w.scenario.Backoff*(0.5+w.clients.Float64()), least)
		if len(w.scenario.Classes) == 0 || w.now+pause < c.arrivedAt+c.class().Deadline {
			w.unanswered++ // it is not over
			w.schedule(w.now+pause, func() { w.unanswered--; c.ask() })
			return
		}
	}
	c.over(false, how)
	if v == core.Refusal {
		w.result.Refused++
	} else {
		w.result.Failed++
	}
}

// where says how far a try had come: what a dispatcher could know (no attempt, or all proven not to have run), and
// what it could not (whether a job had begun).
func (c *client) where() string {
	switch {
	case len(c.trips) == 0:
		return "held"
	case c.never():
		return "turned away"
	}
	for _, t := range c.trips {
		if t.began {
			return "begun"
		}
	}
	return "waiting"
}

// never says that no attempt of the try may have run, as far as anybody was told.
func (c *client) never() bool {
	for _, t := range c.trips {
		if !t.never {
			return false
		}
	}
	return true
}

// over ends a first req.
func (c *client) over(good bool, how string) {
	w, r := c.world, &c.world.result.Classes[c.Class]
	if w.tenants != nil {
		if c.class().Urgent && c.starts == 0 && w.tenants.inWindow(c.arrivedAt) {
			w.result.Tenants.UrgentNeverStarted++
		}
		defer w.tenants.scheduleNext(c)
	}
	w.service.AddWeighted(c.arrivedAt, c.worth()*c.class().Worth, good)
	if good {
		r.InTime++
		r.InTimeWorth += c.worth()
		return
	}
	r.NotInTime[how]++
	// Nobody decided on what was late, lost or reached no dispatcher.
	decided := strings.HasPrefix(how, "refused") || strings.HasPrefix(how, "failed")
	if aim := c.arrivedAt + c.class().Aim + c.class().Stretch*c.Work; decided && c.never() && w.now+c.Work <= aim {
		r.GivenUpEarly++
	}
}
