package sim

import (
	"fmt"
	"iter"
	"math"
	"time"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/lab/fleet"
	"tinsail/internal/lab/judge"
)

// Arrival is a first req: when it comes, and its work.
type Arrival struct{ At, Work float64 }

// Arrivals are a scenario's first reqs, in the order of their times; they wait for no answer, so that the same
// seed has the same ones in virtual time and on sockets.
func (sc *Scenario) Arrivals() iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		chance := fleet.Chance(sc.Seed, "arrivals")
		if sc.Times != nil { // a recording's
			for _, at := range sc.Times {
				work := sc.Work * math.Exp(sc.Spread*chance.NormFloat64()-sc.Spread*sc.Spread/2)
				if at >= sc.Length || !yield(Arrival{at, work}) {
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
			work := sc.Work * math.Exp(sc.Spread*chance.NormFloat64()-sc.Spread*sc.Spread/2)
			if at >= sc.Length || !yield(Arrival{at, work}) {
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
		(&client{w: w, key: fmt.Sprint("k", w.res.First), work: a.Work, begun: w.now}).ask()
		w.arrive()
	})
}

// client is one first req with its retries.
type client struct {
	w     *world
	key   string
	work  float64
	begun float64
	tries int
	side  *side
	id    string // of the try
}

func (w *world) second(at float64) *Second {
	i := int(at / 1000)
	for len(w.res.Seconds) <= i {
		w.res.Seconds = append(w.res.Seconds, Second{})
	}
	return &w.res.Seconds[i]
}

func (c *client) ask() {
	w := c.w
	c.tries++
	w.open++
	if c.tries == 1 {
		w.second(w.now).Asked++
	}
	c.side = w.sides[0]
	if n := len(w.sides); n > 1 {
		c.side = w.sides[w.front.IntN(n)]
	}
	c.id = fmt.Sprint(c.key, "-", c.tries)
	w.note(judge.Event{What: judge.Asked, Node: c.side.at, Req: c.id, Key: c.key, Deadline: w.now + w.sc.Deadline, Work: c.work})
	w.tries[c.id] = c
	job := &core.Job{Method: "POST", Target: "/photo", ID: c.id, IdempotencyKey: c.key}
	left := time.Duration(w.sc.Deadline * float64(time.Millisecond))
	c.side.core.Take(balance.Request{Key: hashOf(c.key), Slots: 1, Retry: c.tries > 1}, job, w.time(), left, c)
	c.side.touch()
}

var verdicts = [...]judge.Verdict{core.ResultOf: judge.Served, core.Refusal: judge.Refused, core.Failure: judge.Failed}

// Answer takes the final answer. That there is no second is the judge's to see.
func (c *client) Answer(a core.Answer) {
	w := c.w
	w.open--
	w.res.Answers++
	w.note(judge.Event{What: judge.Answered, Node: c.side.at, Req: c.id, Verdict: verdicts[a.Verdict]})
	s := w.second(w.now)
	switch a.Verdict {
	case core.ResultOf:
		s.Served++
	case core.Refusal:
		s.Refused++
	default:
		s.Failed++
	}
	if a.Verdict == core.ResultOf {
		w.res.Served++
		good := w.now-c.begun <= w.sc.Aim+w.sc.Stretch*c.work
		if good {
			w.res.InTime++
			w.second(c.begun).InTime++
		}
		w.service.Add(c.begun, good)
		_ = w.res.Latency.RecordValue(int64((w.now-c.begun)*1000) + 1) // in its bounds: it is over by the last deadline
		return
	}
	if c.tries <= w.sc.Retries {
		pause := max(w.sc.Backoff*(0.5+w.clients.Float64()), float64(a.Pause)/float64(time.Millisecond))
		w.at(w.now+pause, c.ask)
		return
	}
	w.service.Add(c.begun, false)
	if a.Verdict == core.Refusal {
		w.res.Refused++
	} else {
		w.res.Failed++
	}
}
