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
	At, Work float64
	Class    int
	Slots    float64
	Guess    float64 // of the work, as its client tells; 0 for none
}

// Arrivals are a scenario's first reqs, in the order of their times; they wait for no answer, so that the same
// seed has the same ones in virtual time and on sockets.
func (sc *Scenario) Arrivals() iter.Seq[Arrival] {
	classes := sc.classes()
	return func(yield func(Arrival) bool) {
		chance, more := fleet.RandomStream(sc.Seed, "arrivals"), fleet.RandomStream(sc.Seed, "classes")
		if sc.Times != nil { // a recording's
			for _, at := range sc.Times {
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
					times *= b.Times
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
	w.at(a.At, func() {
		w.res.First++
		c := &client{w: w, n: w.res.First, key: fmt.Sprint("k", w.res.First), Arrival: a, begun: w.now}
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
	w     *world
	n     int
	key   string
	begun float64
	tries int
	side  *side
	id    string  // of the try
	trips []*trip // of the try
	ran   int     // how often a job of its began, in all tries

	tenant, region int
	stands         bool // part of its tenant's standing demand
}

func (w *world) second(at float64) *Second {
	i := int(at / 1000)
	for len(w.res.Seconds) <= i {
		w.res.Seconds = append(w.res.Seconds, Second{})
	}
	return &w.res.Seconds[i]
}

func (c *client) class() *Class { return &c.w.classes[c.Class] }

// until is when its patience ends: that of a class is for all tries, that of a scenario without classes for each.
func (c *client) until() float64 {
	if len(c.w.sc.Classes) == 0 {
		return c.w.now + c.class().Deadline
	}
	return c.begun + c.class().Deadline
}

func (c *client) ask() {
	w := c.w
	c.tries++
	c.trips = c.trips[:0]
	if c.tries == 1 {
		w.second(w.now).Asked++
		r := &w.res.Classes[c.Class]
		r.First++
		r.Asked += c.worth()
	}
	fronts := c.reachable(w.fronts())
	if len(fronts) == 0 {
		c.unreachable()
		return
	}
	c.side = fronts[0]
	if n := len(fronts); n > 1 {
		c.side = fronts[w.front.IntN(n)]
	}
	if c.side.dead {
		c.unreachable()
		return
	}
	if w.leader != nil && w.cutOff(c.side.at) {
		w.res.Accord.ReceivedWhileCut++
	}
	w.open++
	c.side.asked[c] = struct{}{}
	c.id = fmt.Sprint(c.key, "-", c.tries)
	deadline := c.until()
	w.note(judge.Event{Kind: judge.ReqReceived, Node: c.side.at, Req: c.id, Key: c.key, Deadline: deadline, Work: c.Work, Effect: effects[c.class().Effect]})
	w.tries[c.id] = c
	job := &core.Job{Method: "POST", Target: "/photo", ID: c.id}
	q := balance.Request{Class: c.Class, Tenant: c.tenant, Slots: c.Slots, Work: c.Guess, Retry: c.tries > 1}
	if c.class().Effect == balance.Deduped {
		job.IdempotencyKey = c.key
	}
	if len(w.sc.Classes) == 0 { // where classes are told, reqs concern nothing that could be told again
		q.Key = hashOf(c.key)
	}
	left := time.Duration((deadline - w.now) * float64(time.Millisecond))
	c.side.core.Submit(q, job, w.time(), left, c)
	c.side.touch()
}

// worth is what the req counts, relative to others of its class.
func (c *client) worth() float64 {
	if c.w.sc.Site.ByWork {
		return c.Work
	}
	return 1
}

var verdicts = [...]judge.AnswerKind{core.Result: judge.Served, core.Refusal: judge.Refused, core.Failure: judge.Failed}

// Answer takes the final answer. That there is no second is the judge's to see.
func (c *client) Answer(a core.Answer) {
	w := c.w
	delete(c.side.asked, c)
	w.open--
	w.res.Answers++
	w.note(judge.Event{Kind: judge.ReqAnswered, Node: c.side.at, Req: c.id, AnswerKind: verdicts[a.Kind]})
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
		w.res.Served++
		w.second(c.begun).Kept++
		good := w.now-c.begun <= c.class().Aim+c.class().Stretch*c.Work
		if good {
			w.res.InTime++
			w.second(c.begun).InTime++
		}
		c.over(good, "late")
		_ = w.res.Latency.RecordValue(int64((w.now-c.begun)*1000) + 1) // in its bounds: it is over by the last deadline
		return
	}
	// Clients of classes come back after a failure only where a repeat harms nobody.
	again := a.Kind == core.Refusal || len(w.sc.Classes) == 0 || c.class().Effect == balance.Safe
	c.ended([...]string{core.Refusal: "refused ", core.Failure: "failed "}[a.Kind]+c.where(), a.Kind, again, float64(a.RetryAfter)/float64(time.Millisecond))
}

// ended ends a try that was not served: another follows, or the first req is over.
func (c *client) ended(how string, v core.AnswerKind, again bool, least float64) {
	w := c.w
	if again && c.tries <= w.sc.Retries {
		pause := max(w.sc.Backoff*(0.5+w.clients.Float64()), least)
		if len(w.sc.Classes) == 0 || w.now+pause < c.begun+c.class().Deadline {
			w.open++ // it is not over
			w.at(w.now+pause, func() { w.open--; c.ask() })
			return
		}
	}
	c.over(false, how)
	if v == core.Refusal {
		w.res.Refused++
	} else {
		w.res.Failed++
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
	w, r := c.w, &c.w.res.Classes[c.Class]
	if w.tenants != nil {
		if c.class().Urgent && c.ran == 0 && w.tenants.inWindow(c.begun) {
			w.res.Tenants.UrgentNeverStarted++
		}
		defer w.tenants.scheduleNext(c)
	}
	w.service.AddWeighted(c.begun, c.worth()*c.class().Worth, good)
	if good {
		r.InTime++
		r.Good += c.worth()
		return
	}
	r.Wrong[how]++
	// Nobody decided on what was late, lost or reached no dispatcher.
	decided := strings.HasPrefix(how, "refused") || strings.HasPrefix(how, "failed")
	if aim := c.begun + c.class().Aim + c.class().Stretch*c.Work; decided && c.never() && w.now+c.Work <= aim {
		r.Early++
	}
}
