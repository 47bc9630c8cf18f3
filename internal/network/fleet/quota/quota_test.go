package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/faultnet"
)

// TestQuotaAcrossRestartsAndChanges checks nine dispatchers in three regions. Two teams have quotas and more demand than
// that, a third has no quota. All units of a quota must be in use and never more, while a region's lender and then the leader
// restart, and while a quota is lowered below the running requests and raised again. The team without a quota is not limited.
func TestQuotaAcrossRestartsAndChanges(t *testing.T) {
	f := newFixture(t, 9, 4*time.Second, `{"run_ms":300,"quotas":{"a":12,"b":5}}`)
	a, b, free := f.team("a"), f.team("b"), f.team("free")
	a.limit.Store(12)
	b.limit.Store(5)
	for i := range 9 {
		f.startClient(i, "a", false, 15*time.Millisecond)
		f.startClient(i, "a", false, 5*time.Millisecond)
		f.startClient(i, "b", false, 10*time.Millisecond)
		f.startClient(i, "free", false, 5*time.Millisecond)
	}
	f.awaitPolicy(1)
	full := func() bool { return a.running.Load() == 12 && b.running.Load() == 5 }
	f.waitFor("all units in use", full)
	was := f.startedBy(anyMember)
	f.waitFor("requests start", func() bool { return f.startedBy(anyMember) > was+500 })

	other := (f.leader() + 1) % 3 // runs a region's lender and does not lead
	f.close(other)
	f.start(other)
	f.waitFor("all units in use after a lender's restart", full)

	old := f.leader()
	f.close(old)
	f.start(old)
	f.waitFor("all units in use after the leader's restart", full)

	require.NoError(t, f.member(7).accord.Propose([]byte(`{"run_ms":300,"quotas":{"a":4,"b":5}}`)))
	f.awaitPolicy(2)
	f.waitFor("the lowered quota is kept and in use", func() bool { return f.rootOutstanding("a") <= 4 && a.running.Load() > 0 })
	a.limit.Store(4)
	was = f.startedBy(anyMember)
	f.waitFor("requests start", func() bool { return f.startedBy(anyMember) > was+500 })
	a.limit.Store(20)
	require.NoError(t, f.member(8).accord.Propose([]byte(`{"run_ms":300,"quotas":{"a":16,"b":5}}`)))
	f.waitFor("all units of the raised quota in use", func() bool { return a.running.Load() == 16 })
	f.closeAll()
	assert.Positive(t, free.maxRunning.Load())
	assert.True(t, f.log.contains(`"message":"quota: lends"`))
	f.assertNoViolations()
}

// TestRegionCutOffKeepsUnitsUntilLeaseEnds checks that a region that is cut off continues with the units that it holds, as do
// the others. When its lease has expired, it stops, and its units are lent to the others. A quota that is lowered meanwhile
// is kept everywhere once the region is reconnected.
func TestRegionCutOffKeepsUnitsUntilLeaseEnds(t *testing.T) {
	f := newFixture(t, 9, 6*time.Second, `{"run_ms":300,"quotas":{"a":12}}`)
	a := f.team("a")
	a.limit.Store(12)
	for i := range 9 {
		for range 4 {
			f.startClient(i, "a", false, 15*time.Millisecond)
		}
	}
	f.waitFor("all units in use", func() bool { return a.running.Load() == 12 })

	f.setRule(faultnet.Rule{Blackhole: true}, crossesBorder(2))
	was, others := f.startedBy(inRegion(2)), f.startedBy(anyMember)-f.startedBy(inRegion(2))
	f.waitFor("requests start in the cut-off region and in the others", func() bool {
		return f.startedBy(inRegion(2)) > was+60 && f.startedBy(anyMember)-f.startedBy(inRegion(2)) > others+60
	})
	f.waitFor("the region stops, and its units are lent to the others", func() bool {
		before := f.startedBy(inRegion(2))
		return a.running.Load() == 12 && f.startedBy(inRegion(2)) == before && f.selectMembers(inRegion(2)).held() == 0
	})
	require.NoError(t, f.member(6).accord.Propose([]byte(`{"run_ms":300,"quotas":{"a":6}}`)))
	f.setRule(faultnet.NoFaults, crossesBorder(2))
	f.awaitPolicy(2)
	f.waitFor("the lowered quota is kept and in use", func() bool { return f.rootOutstanding("a") <= 6 && a.running.Load() > 0 })
	a.limit.Store(6)
	was = f.startedBy(inRegion(2))
	f.waitFor("requests start in the reconnected region", func() bool { return f.startedBy(inRegion(2)) > was+60 })
	f.waitFor("all units in use", func() bool { return a.running.Load() == 6 })
	f.closeAll()
	f.assertNoViolations()
}

// TestWholeQuotaMovesBetweenDispatchers checks a team whose requests all arrive at one dispatcher, and then all at one of
// another region. Each time that dispatcher must get the whole quota, and the units without demand are recalled.
func TestWholeQuotaMovesBetweenDispatchers(t *testing.T) {
	f := newFixture(t, 6, 4*time.Second, `{"run_ms":300,"quotas":{"a":6}}`)
	a := f.team("a")
	a.limit.Store(6)
	f.awaitPolicy(1)
	for _, at := range []int{3, 4, 0} {
		var releases []func()
		for range 6 {
			granted := make(chan bool, 1)
			releases = append(releases, f.member(at).quota.Acquire("a", false, time.Now().Add(20*time.Second),
				func(_ time.Time, _ time.Duration, ok bool) {
					if ok {
						a.requestStarted()
					}
					granted <- ok
				}))
			require.True(t, <-granted, "dispatcher %d", at)
		}
		for _, release := range releases {
			a.running.Add(-1)
			release()
		}
	}
	polls := int64(0)
	for _, m := range f.selectMembers(anyMember) {
		polls += m.quota.Counters.PollsReceived.Load()
	}
	assert.Positive(t, polls)
	assert.True(t, f.log.contains(`"message":"quota: called back"`))
	f.assertNoViolations()
}

// TestUrgentReserveOfEachRegion checks a team whose quota is fully in use. An urgent request starts with a unit of its
// region's reserve, and a second one in that region waits until the first has ended.
func TestUrgentReserveOfEachRegion(t *testing.T) {
	f := newFixture(t, 6, 4*time.Second, `{"run_ms":300,"quotas":{"a":3},"urgent_reserve":1,"urgent_classes":["express"]}`)
	f.awaitPolicy(1)
	acquire := func(i int, urgent bool) (chan bool, func()) {
		granted := make(chan bool, 1)
		release := f.member(i).quota.Acquire("a", urgent, time.Now().Add(20*time.Second),
			func(_ time.Time, _ time.Duration, ok bool) { granted <- ok })
		return granted, release
	}
	for range 3 {
		granted, release := acquire(3, false)
		assert.True(t, <-granted)
		defer release()
	}
	granted, release := acquire(3, true)
	assert.True(t, <-granted, "the request uses the reserve of its region")
	other, releaseOther := acquire(4, true)
	assert.True(t, <-other, "another region has a reserve of its own")
	defer releaseOther()
	next, releaseNext := acquire(3, true)
	defer releaseNext()
	f.waitFor("the region's lender knows that the reserve is in use",
		func() bool { return f.member(0).quota.voter.region.outstanding() >= 1 })
	select {
	case <-next:
		t.Error("a request started beyond the reserve")
	default:
	}
	release()
	assert.True(t, <-next)
	f.assertNoViolations()
}

// TestClosedDispatcherReturnsUnits checks that a dispatcher that is closed returns its units at once. Otherwise they could
// be lent to others only after its lease and the maximum run time.
func TestClosedDispatcherReturnsUnits(t *testing.T) {
	f := newFixture(t, 6, 4*time.Second, `{"run_ms":300,"quotas":{"a":3}}`)
	f.awaitPolicy(1)
	granted := make(chan bool, 3)
	for range 3 {
		release := f.member(3).quota.Acquire("a", false, time.Now().Add(20*time.Second),
			func(_ time.Time, _ time.Duration, ok bool) { granted <- ok })
		assert.True(t, <-granted)
		release()
	}
	f.close(3)
	f.waitFor("all units are returned", func() bool { return f.member(0).quota.voter.region.outstanding() == 0 })
}

// TestWaitEndsAtDeadlineOrRelease checks that a request that gets no unit by its deadline is refused with a suggested delay,
// and that the callback of a released request is not called.
func TestWaitEndsAtDeadlineOrRelease(t *testing.T) {
	f := newFixture(t, 3, 4*time.Second, `{"run_ms":300,"quotas":{"a":1}}`)
	f.awaitPolicy(1)
	q := f.member(0).quota
	first, second := make(chan bool, 1), make(chan bool, 1)
	release := q.Acquire("a", false, time.Now().Add(20*time.Second), func(from time.Time, _ time.Duration, ok bool) {
		assert.False(t, from.IsZero())
		first <- ok
	})
	assert.True(t, <-first)
	releaseWaiting := q.Acquire("a", false, time.Now().Add(20*time.Second),
		func(time.Time, time.Duration, bool) { t.Error("callback of a released request was called") })
	releaseWaiting()
	q.Acquire("a", false, time.Now().Add(50*time.Millisecond), func(_ time.Time, retryAfter time.Duration, ok bool) {
		assert.Positive(t, retryAfter)
		second <- ok
	})
	assert.False(t, <-second)
	release()
	release()
	assert.EqualValues(t, 1, q.Counters.Refused.Load())
	assert.EqualValues(t, 2, q.Counters.Waited.Load()-waitsOfFirstReq(q), "requests that waited, without the first")
	counters := map[string]int64{}
	q.Each(func(name string, n int64) { counters[name] = n })
	assert.EqualValues(t, 0, counters["quota_waiting"])
}

// waitsOfFirstReq returns 1 if the first request of TestWaitEndsAtDeadlineOrRelease waited, and 0 if the lease was there before
// it.
func waitsOfFirstReq(q *Quota) int64 { return q.Counters.Waited.Load() - 2 }
