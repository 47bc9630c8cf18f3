package balance

import (
	"testing"
)

func TestHeldRequestsAreAnsweredInTime(t *testing.T) {
	d, rec := startDispatcher(t, testSettings(), nil)
	d.Arrive(10, newRequest(1, 1))
	wakes := rec.take("wake")
	if len(wakes) == 0 {
		t.Fatal("a held request set no timer")
	}
	now := 10 + wakes[0].in
	if now > 9000 {
		t.Fatalf("the timer falls at %v, after the deadline at 9000", now)
	}
	d.Wake(now, wakes[0].token)
	if a := rec.take("refuse"); len(a) != 1 {
		t.Errorf("got %d refusals at %v, want 1", len(a), now)
	}
	d.Arrive(now, withDeadline(newRequest(2, 1), 30000))
	rec.actions = rec.actions[:0]
	d.Workers(now+10, ListFull, fleet(1))
	if a := rec.take("dispatch"); len(a) != 1 {
		t.Errorf("got %d dispatches when a worker came, want 1", len(a))
	}
	if len(d.held) != 0 {
		t.Errorf("%d requests are still held", len(d.held))
	}
}

func TestRefusalsCarryAPause(t *testing.T) {
	for maxPause, want := range map[Millis]Millis{0: 0, 100: 100, 9000: 400} {
		s := testSettings()
		s.MaxPause = maxPause
		d, rec := startDispatcher(t, s, nil)
		d.Arrive(10, newRequest(1, 0))
		d.Wake(9000, 1<<8|holdTimer)
		if a := rec.take("refuse"); len(a) != 1 || a[0].in != want {
			t.Errorf("clients obey up to %v: refusals %v, want one with a pause of %v", maxPause, a, want)
		}
	}
}

func TestDeadlineTimeOutIsAnswered(t *testing.T) {
	d, rec := startDispatcher(t, testSettings(), fleet(3))
	w := dispatchedTo(d, rec, 10, newRequest(1, 1))
	d.AttemptEnded(9000, Outcome{ID: 1, Worker: w, Result: TimedOut, Took: 8990})
	if a := rec.take("fail"); len(a) != 1 {
		t.Errorf("got %d failures after the time-out at the deadline, want 1", len(a))
	}
	if len(d.requests) != 0 {
		t.Errorf("%d requests are still in the table", len(d.requests))
	}
}

func TestNothingAfterClosing(t *testing.T) {
	d, rec := startDispatcher(t, testSettings(), fleet(3))
	w := dispatchedTo(d, rec, 10, newRequest(1, 0))
	d.Abandoned(20, 1)
	d.AttemptEnded(30, Outcome{ID: 1, Worker: w, Result: Error, Closed: true})
	d.Wake(40, 1<<8)
	if a := rec.take("dispatch"); len(a) != 0 {
		t.Errorf("%d dispatches after the client left", len(a))
	}
	d.AttemptEnded(50, Outcome{ID: 1, Worker: w, Result: Error}) // late and unknown: ignored
	d.Abandoned(60, 1)
}

// TestLimitAllowsForRandomArrivals: at a dispatcher with a small part of the slots, random variation of arrivals must not
// lead to refusals, nor must waits that make no job late for which a late answer still earns.
func TestLimitAllowsForRandomArrivals(t *testing.T) {
	s := testSettings()
	s.Instances = 240
	s.Classes[1].LateWorth, s.Classes[1].Stretch = 0.5, 2
	d, rec := startDispatcher(t, s, fleet(600)) // ten slots are this dispatcher's part
	for n := 1; n <= 9; n++ {                   // a class may always use at least six tenths
		if dispatchedTo(d, rec, 2, withDeadline(newRequest(n, 1), 1e6)) == 0 {
			t.Fatalf("request %d was held, want nine in flight at once", n)
		}
	}
	before := d.slotLimit
	for n := 1; n <= 9; n++ { // waits below half the aim plus half of twice a running time, 600 ms
		d.Progressed(590, Progress{ID: RequestID(n), Started: true})
	}
	if d.slotLimit < before {
		t.Errorf("short waits lowered the limit from %v to %v", before, d.slotLimit)
	}
	before = d.slotLimit
	dispatchedTo(d, rec, 600, withDeadline(newRequest(10, 0), 1e6))
	d.Progressed(850, Progress{ID: 10, Started: true}) // a late answer earns nothing in this class: half the aim is 200 ms
	if d.slotLimit >= before {
		t.Errorf("a long wait left the limit at %v", d.slotLimit)
	}
}

// TestLimitRisesFastWithUnknownSizes: where sizes are not known, the limit starts far too low. It rises by one for each
// job until the first long wait, and slowly from then on.
func TestLimitRisesFastWithUnknownSizes(t *testing.T) {
	for _, c := range []struct {
		weight  WeightMeaning
		minRise float64
	}{{WeightNone, 15}, {WeightSize, 1}} {
		s := testSettings()
		s.Weight = c.weight
		d, _ := startDispatcher(t, s, fleet(60))
		rise := func() float64 {
			before := d.slotLimit
			for n := 0; n < 16; n++ {
				d.busySlots = d.slotLimit
				d.learnOtherSlots(10, &d.workers[n], 0, false)
			}
			return d.slotLimit - before
		}
		if got := rise(); got < c.minRise || got > c.minRise+2 {
			t.Errorf("weight %d: 16 free jobs raised the limit by %v, want about %v", c.weight, got, c.minRise)
		}
		d.learnOtherSlots(20, &d.workers[0], 9, true)
		if got := rise(); got > 3 {
			t.Errorf("weight %d: after a long wait 16 free jobs raised the limit by %v, want 2", c.weight, got)
		}
	}
}

// TestWorkBeyondSharesDoesNotRaiseTheLimit: work beyond shares may fill six tenths of the limit and a little more. Where
// there are shares, that alone must not raise the limit, or a burst of one tenant would raise the limit for itself.
func TestWorkBeyondSharesDoesNotRaiseTheLimit(t *testing.T) {
	for _, c := range []struct {
		tenants []Tenant
		used    float64
		rises   bool
	}{{nil, 0.65, true}, {[]Tenant{{1, 100}}, 0.65, false}, {[]Tenant{{1, 100}}, 0.8, true}, {nil, 0.5, false}} {
		s := testSettings()
		s.Tenants, s.Weight = c.tenants, WeightSize
		d, _ := startDispatcher(t, s, fleet(60))
		before := d.slotLimit
		d.busySlots = c.used * before
		d.learnOtherSlots(10, &d.workers[0], 0, false)
		if d.slotLimit > before != c.rises {
			t.Errorf("%d tenants, %v of the limit in use: it went from %v to %v", len(c.tenants), c.used, before, d.slotLimit)
		}
	}
}

// TestBurstDoesNotRaiseItsOwnShare: the traffic by which a quota is scaled must not include the burst itself, or tenants
// within their shares pay for it.
func TestBurstDoesNotRaiseItsOwnShare(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Share: 0.5, QuotaPerS: 20}, {Share: 0.5, QuotaPerS: 20}}
	d, _ := startDispatcher(t, s, fleet(6))
	over := [2]int{}
	for i := 0; i < 2000; i++ {
		r := &request{Request: newRequest(i, 0)}
		if i%9 == 0 {
			r.Tenant = 1
		}
		if d.recordArrival(float64(10+i*6), r); r.overShare && i > 500 {
			over[r.Tenant]++
		}
	}
	if share := float64(over[0]) / 1333; share < 0.8 || over[1] > 17 {
		t.Errorf("%.2f of a burst and %d of 167 requests within their share count as beyond the share", share, over[1])
	}
}

func TestOverShareIsRefusedFirst(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Share: 0.5, QuotaPerS: 20}, {Share: 0.5, QuotaPerS: 20}}
	d, rec := startDispatcher(t, s, fleet(6))
	refused, asked := [2]int{}, [2]int{}
	out := []action{}
	for i := 0; i < 2000; i++ {
		now, q := float64(10+i*5), newRequest(i, 1)
		q.Deadline = now + 9000
		if i%10 == 0 {
			q.Tenant = 1
		}
		asked[q.Tenant]++
		rec.actions = rec.actions[:0]
		d.Arrive(now, q)
		for _, a := range rec.actions {
			switch a.verb {
			case "refuse":
				refused[q.Tenant]++
			case "dispatch":
				out = append(out, a)
			}
		}
		if len(out) > 20 { // 20 slots at a time; each job that ends reports overload
			d.AttemptEnded(now, Outcome{ID: out[0].id, Worker: out[0].worker, Took: 100, Closed: true})
			d.learnOtherSlots(now, &d.workers[0], 4, true)
			out = out[1:]
		}
	}
	over, within := float64(refused[0])/float64(asked[0]), float64(refused[1])/float64(asked[1])
	if over < 0.2 || within > over/4 {
		t.Errorf("refused %.2f of a tenant at nine times its share, %.2f of one within it", over, within)
	}
}
