package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/counters"
)

// This machine's wall clock may be ahead of the list's or behind it when the process starts, by seconds or an hour. The start
// of a backend reported as new by a live watch is then off by no more than the watch's silence. If the clocks agree, a
// start is taken as listed.
func TestStartTimesWithWrongClock(t *testing.T) {
	const hour = 3_600_000.0
	for name, ahead := range map[string]float64{"agrees": 0, "seconds ahead": 5000, "an hour ahead": hour, "seconds behind": -5000, "an hour behind": -hour} {
		s := newStartTimes()
		now := 1e12
		listedStart := func(age float64) float64 { return now - ahead - age } // start time by the list's clock
		adjusted := s.adjust(1, listedStart(30), now, 500)
		assert.InDelta(t, now, adjusted, 31, "%s: the first start seen", name)
		assert.LessOrEqual(t, adjusted, now, name)
		now += 20_000
		listed := listedStart(1500)
		adjusted = s.adjust(2, listed, now, 2500)
		assert.InDelta(t, now-1500, adjusted, 1501, "%s: reported 1.5 s late", name)
		assert.LessOrEqual(t, adjusted, now, "%s: no start lies in the future", name)
		if ahead >= 0 {
			assert.InDelta(t, now-1500, adjusted, 31, "%s: the first start revealed the clocks' difference", name)
		}
		now += 1000
		assert.Equal(t, adjusted, s.adjust(2, listed, now, -1), "%s: reported again, by any list", name)
	}
}

// One backend's own clock is an hour behind. A live watch reports it as new, so it counts as started now and is cold.
func TestStartTimeFromWrongBackendClock(t *testing.T) {
	s := newStartTimes()
	s.adjust(1, 1e12-20, 1e12, 100)
	assert.Equal(t, 1e12+50, s.adjust(2, 1e12-3_600_000, 1e12+50, 100))
	assert.Equal(t, 1e12-3_600_000, s.adjust(3, 1e12-3_600_000, 1e12+50, -1), "a first list may hold old starts")
	assert.Zero(t, s.adjust(4, 0, 1e12, 100), "long ago")
	s.forget(2)
	assert.NotContains(t, s.byID, balance.WorkerID(2))
}

// startRecorder is a policy that records the start times it receives.
type startRecorder struct {
	noopPolicy
	last map[balance.WorkerID]float64
}

func (h startRecorder) Workers(_ balance.Millis, _ balance.ListKind, list []balance.Worker) {
	for _, w := range list {
		h.last[w.ID] = w.Started
	}
}

// The core bounds start times from a watch after an earlier answer of the director, keeps those of a first list, and keeps
// local ones.
func TestStartTimesFromList(t *testing.T) {
	now := time.UnixMilli(1e12)
	h := startRecorder{last: map[balance.WorkerID]float64{}}
	b := &fixture{}
	c, err := NewWith(func() time.Time { return now }, func(balance.Settings, balance.Actions) (balance.Events, error) { return h, nil },
		balance.Settings{}, b, b, &counters.Set{})
	require.NoError(t, err)
	list := func(kind balance.ListKind, id balance.WorkerID, started float64, local bool) float64 {
		c.HandleList(kind, []Entry{{Worker: balance.Worker{ID: id, State: balance.Ready, Started: started}, LocalStart: local}})
		c.DirectorAnswered()
		c.Step()
		return h.last[id]
	}
	old := 1e12 - 3_600_000
	assert.Equal(t, old, list(balance.ListCached, 1, old, false))
	assert.Equal(t, 1e12, list(balance.ListDelta, 2, old, false), "new to a watch that answered a moment before")
	assert.Equal(t, old, list(balance.ListDelta, 3, old, true))
	assert.Equal(t, 1e12, list(balance.ListFull, 4, 1e12+3_600_000, false))
	assert.Equal(t, c.Now(), 1e12)
}
