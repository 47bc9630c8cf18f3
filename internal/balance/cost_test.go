package balance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// costSizes are the fleet sizes for which the cost is measured: two small sites, a large one and the largest there is.
var costSizes = []int{15, 22, 200, 4000}

// newCostDispatcher makes one of three dispatchers for n ready workers. If cold is set, one worker in ten is cold.
func newCostDispatcher(t testing.TB, n int, cold bool, now Millis) (*Dispatcher, []Worker) {
	s := testSettings()
	s.Instances, s.Metrics, s.Tenants = 3, []Metric{MetricFreeSlots}, []Tenant{{Share: 0.5, QuotaPerS: 1e6}, {Share: 0.5, QuotaPerS: 1e6}}
	d, err := New(s, noActions{})
	require.NoError(t, err)
	list := fleet(n)
	for i := range list {
		if cold && i%10 == 0 {
			list[i].Started = now - 100
		}
	}
	d.Workers(now, ListFull, list)
	return d, list
}

// lastAttempt returns the worker and the number of a request's last attempt, or -1 if there is none.
func lastAttempt(d *Dispatcher, id RequestID) (WorkerID, int) {
	r := d.requests[id]
	if r == nil || len(r.attempts) == 0 {
		return 0, -1
	}
	k := len(r.attempts) - 1
	return d.workers[r.attempts[k].workerIndex].ID, k
}

// runRequest handles the arrival and start of request i and the answer of request i-40, so that 40 are in flight. Called
// every 10 ms, it is a rate of 100 requests per second.
func runRequest(d *Dispatcher, now Millis, i int, key uint64, report []float32) {
	d.Arrive(now, Request{ID: RequestID(i), Class: i % 5, Tenant: i % 2, Key: key, Deadline: now + 9000, Slots: 1})
	if to, k := lastAttempt(d, RequestID(i)); k >= 0 {
		d.Progressed(now+2, Progress{ID: RequestID(i), Attempt: k, Worker: to, Started: true})
	}
	if to, k := lastAttempt(d, RequestID(i-40)); k >= 0 {
		d.AttemptEnded(now+4, Outcome{ID: RequestID(i - 40), Attempt: k, Worker: to, Took: 200 + float64(i%7), Closed: true, Report: report})
	}
}

// BenchmarkReq measures all decisions on a request: arrival with dispatch, start, answer. A busy dispatcher handles 100 per
// second.
func BenchmarkReq(b *testing.B) {
	forEachSize(b, func(b *testing.B, n int, cold bool) {
		for _, keyed := range []bool{false, true} {
			b.Run(fmt.Sprintf("keyed=%v", keyed), func(b *testing.B) {
				now, report := 1.7e12, []float32{2}
				d, _ := newCostDispatcher(b, n, cold, now)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					key := uint64(0)
					if keyed {
						key = uint64(1 + i%1000)
					}
					if i%500 == 0 && cold { // keeps the same tenth cold
						b.StopTimer()
						d, _ = newCostDispatcher(b, n, cold, now)
						b.StartTimer()
					}
					runRequest(d, now, i, key, report)
					now += 10
				}
			})
		}
	})
}

// forEachSize runs a benchmark at all sizes, with all workers warm and with a tenth of them cold.
func forEachSize(b *testing.B, f func(*testing.B, int, bool)) {
	for _, n := range costSizes {
		for _, cold := range []bool{false, true} {
			b.Run(fmt.Sprintf("backends=%d/cold=%v", n, cold), func(b *testing.B) { f(b, n, cold) })
		}
	}
}

// BenchmarkDecision measures each event by itself. Undoing the event is not timed where that costs as much as the event.
func BenchmarkDecision(b *testing.B) {
	forEachSize(b, func(b *testing.B, n int, cold bool) {
		now := 1.7e12
		arrive := func(key uint64) func(*testing.B) {
			return func(b *testing.B) {
				d, _ := newCostDispatcher(b, n, cold, now)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					q := Request{ID: RequestID(i), Key: key * uint64(1+i%1000), Deadline: now + 9000, Slots: 1}
					d.Arrive(now, q)
					b.StopTimer()
					if to, k := lastAttempt(d, q.ID); k >= 0 {
						d.AttemptEnded(now, Outcome{ID: q.ID, Attempt: k, Worker: to, Took: 200, Closed: true})
					}
					d.refillColdBudgets(now)
					b.StartTimer()
				}
			}
		}
		b.Run("arrive", arrive(0))
		b.Run("arriveKeyed", arrive(1))
		b.Run("progressed", func(b *testing.B) {
			d, _ := newCostDispatcher(b, n, cold, now)
			d.Arrive(now, Request{ID: 1, Deadline: now + 9000, Slots: 1})
			to, k := lastAttempt(d, 1)
			require.Zero(b, k)
			b.ReportAllocs()
			for b.Loop() {
				d.Progressed(now+2, Progress{ID: 1, Worker: to, Started: true})
			}
		})
		b.Run("answer", func(b *testing.B) {
			d, _ := newCostDispatcher(b, n, cold, now)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				q := Request{ID: RequestID(i), Deadline: now + 9000, Slots: 1}
				d.Arrive(now, q)
				to, k := lastAttempt(d, q.ID)
				d.refillColdBudgets(now)
				b.StartTimer()
				d.AttemptEnded(now, Outcome{ID: q.ID, Attempt: k, Worker: to, Took: 200, Closed: true, Report: []float32{2}})
			}
		})
		b.Run("delta", func(b *testing.B) {
			d, list := newCostDispatcher(b, n, cold, now)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				list[i/2%n].State = []State{Draining, Ready}[i%2]
				d.Workers(now, ListDelta, list[i/2%n:i/2%n+1])
			}
		})
		b.Run("fullList", func(b *testing.B) {
			d, list := newCostDispatcher(b, n, cold, now)
			b.ReportAllocs()
			for b.Loop() {
				d.Workers(now, ListFull, list)
			}
		})
		for _, held := range []int{50, 500} {
			b.Run(fmt.Sprintf("noRoom%d", held), func(b *testing.B) { benchHeld(b, n, cold, held, true) })
			b.Run(fmt.Sprintf("noneFits%d", held), func(b *testing.B) { benchHeld(b, n, cold, held, false) })
		}
	})
}

// benchHeld measures serveHeld with the limit used up (full), or with capacity but no worker of the required kind.
func benchHeld(b *testing.B, n int, cold bool, held int, full bool) {
	now := 1.7e12
	d, list := newCostDispatcher(b, n, cold, now)
	for i := range list {
		if list[i].Kind = 0; full {
			list[i].Kind = i % 2
		}
	}
	d.Workers(now, ListFull, list)
	if full {
		d.slotLimit, d.busySlots = 10, 100
	}
	for i := range held {
		class := 5
		if full {
			class = i % 6
		}
		d.Arrive(now, Request{ID: RequestID(i), Class: class, Tenant: i % 2, Key: uint64(i % 3), Deadline: now + 9000, Slots: 1})
	}
	require.Len(b, d.held, held)
	b.ReportAllocs()
	for b.Loop() {
		d.serveHeld(now)
	}
	require.Len(b, d.held, held)
}

// refillColdBudgets starts a window again, so that a benchmark does not use up the budgets of the cold workers.
func (d *Dispatcher) refillColdBudgets(now Millis) {
	for i := range d.workers {
		if d.workers[i].coldBudget < 1 && d.capacityShare(now, &d.workers[i]) < 1 {
			d.coldWindow = -1
			d.startColdWindow(now)
			return
		}
	}
}

// BenchmarkWorst measures an arrival where few shortcuts apply: all workers start one after another; all are in backoff after
// failures, which are then ignored; none runs the request's class; or an attempt of a request that must not run twice failed.
func BenchmarkWorst(b *testing.B) {
	for _, n := range costSizes {
		for _, name := range []string{"allStarting", "allResting", "noneFits", "unsafeFailed"} {
			b.Run(fmt.Sprintf("backends=%d/%s", n, name), func(b *testing.B) {
				now, class := 1.7e12, 0
				d, list := newCostDispatcher(b, n, false, now)
				for i := range list {
					switch name {
					case "allStarting":
						list[i].Started = now - 9990 + 10000*float64(i)/float64(n)
					case "noneFits":
						list[i].Kind, class = 0, 5
					case "unsafeFailed":
						class = 1
					}
				}
				d.Workers(now, ListFull, list)
				for i := range d.workers {
					if name == "allResting" {
						d.workers[i].avoidUntil = now + 1e9
					}
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now += 0.01
					q := Request{ID: RequestID(i), Class: class, Key: uint64(1 + i%1000), Deadline: now + 9000, Slots: 1}
					d.Arrive(now, q)
					if to, k := lastAttempt(d, q.ID); k >= 0 {
						o := Outcome{ID: q.ID, Attempt: k, Worker: to, Took: 200, Closed: class == 0}
						if class > 0 {
							o.Result = Error
						}
						d.AttemptEnded(now, o)
						if name == "unsafeFailed" {
							d.workers[d.workerIndex[to]].avoidUntil, d.workers[d.workerIndex[to]].backoffLevel = 0, 0
						}
					}
					d.Abandoned(now, q.ID)
					if len(d.held) > 0 {
						d.held = d.held[:0]
					}
				}
			})
		}
	}
}
