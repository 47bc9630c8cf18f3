package balance

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCacheMatchesRecomputation compares cached values with newly computed ones, after random events.
func TestCacheMatchesRecomputation(t *testing.T) {
	hopeless, barred := 0, 0
	for _, fleet := range []int{2, 15, 64, 65, 300} {
		for variant := range 6 {
			p := newEventGenerator(t, fleet, variant)
			for i := range 1500 {
				if p.deliverEvent(); i%20 == 0 {
					w := &p.workers[i%fleet]
					w.Kind = 1 - w.Kind
					p.dispatcher.Workers(p.now, ListDelta, []Worker{*w})
					p.takeActions()
					p.compareCache(t)
				}
			}
			hopeless, barred = hopeless+p.unplaceable, barred+p.blocked
		}
	}
	require.Greater(t, hopeless, 100)
	require.Greater(t, barred, 100)
}

func (p *eventGenerator) compareCache(t *testing.T) {
	d := p.dispatcher
	for class := range d.cfg.Classes {
		for _, over := range []bool{false, true} {
			r := &request{Request: Request{Class: class}, overShare: over}
			require.Equal(t, d.relativeValue(r), d.cachedValue(r))
		}
	}
	total := 0.0
	for _, i := range d.ready {
		total += d.speed(p.now, &d.workers[i])
	}
	require.InDelta(t, total, d.totalSpeed(p.now), total*1e-9)
	links, reach := linksPerKey/max(total, 1e-9), 1.0
	if total > 0 {
		reach = d.maxLinkHash(&request{}, links)
	}
	for at, i := range d.ready {
		w := &d.workers[i]
		require.Equal(t, filterOf(w), d.filters[at])
		require.LessOrEqual(t, min(1, links*d.speed(p.now, w)), reach)
	}
	for _, r := range d.requests { // a blocked request may be sent to no worker
		if d.blockedEverywhere(r) {
			p.blocked++
			for _, i := range d.ready {
				require.False(t, d.maySend(p.now, r, &d.workers[i]))
			}
		}
	}
	d.startColdWindow(p.now)
	old := d.rng
	for class := range d.cfg.Classes { // unplaceable gives the result and makes the draws of pick
		for _, key := range []uint64{0, 7, 900} {
			r := &request{Request: Request{Class: class, Key: key}}
			d.rng = rand.New(rand.NewPCG(1, 2))
			index := d.pick(p.now, r)
			after := d.rng.Uint64()
			d.rng = rand.New(rand.NewPCG(1, 2))
			clear(d.noneEligible)
			for range 2 { // computed, then cached
				if hopeless := d.unplaceable(p.now, r); hopeless {
					p.unplaceable++
					require.Equal(t, int32(-1), index)
					require.Equal(t, after, d.rng.Uint64())
					d.rng = rand.New(rand.NewPCG(1, 2))
				} else if len(d.ready) <= sampleSize {
					require.NotEqual(t, int32(-1), index)
				}
			}
		}
	}
	d.rng = old
}

// TestBlockedEverywhereMatchesMaySend: a request is blocked everywhere exactly if it may not be sent again even to the same
// worker at once.
func TestBlockedEverywhereMatchesMaySend(t *testing.T) {
	for _, dup := range []bool{false, true} {
		s := testSettings()
		s.MayDuplicate = dup
		d, _ := startDispatcher(t, s, fleet(1))
		w := &d.workers[0]
		for class := range s.Classes[:5] {
			for _, a := range []attempt{{}, {inFlight: true}, {neverRan: true}} {
				a.keys, a.sentAt = w.keys, 10
				r := &request{Request: Request{Class: class}, attempts: []attempt{a}}
				require.Equal(t, !d.maySend(11, r, w), d.blockedEverywhere(r), "class %d, %+v", class, a)
			}
		}
	}
}
