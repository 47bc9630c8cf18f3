package core

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
)

// fakeVersions is a Versions whose state the test sets.
type fakeVersions struct {
	version      uint64
	serving      bool
	startVersion uint64 // version whose attempts may start
	waiting      int
}

func (p *fakeVersions) Admit() (uint64, time.Duration, bool) {
	if p.serving {
		p.waiting++
	}
	return p.version, time.Second, p.serving
}
func (p *fakeVersions) Started(uint64)         { p.waiting-- }
func (p *fakeVersions) MayStart(v uint64) bool { return v == p.startVersion }
func (p *fakeVersions) Serves() bool           { return p.serving }

// A core whose fleet admits nothing refuses requests with a suggested delay and keeps no state for them. Otherwise each request
// gets the version in force, and its attempts start only under that version. When the version ends, a request of which
// nothing has started is refused, and one that has started fails.
func TestReqsKeepTheirVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, balance.Ready)
		p := &fakeVersions{version: 7}
		b.core.Versions = p
		submit := func(id string) {
			b.core.Submit(balance.Request{Slots: 1}, &Job{ID: id}, time.Now(), 2*time.Second, b)
			b.core.step()
		}
		submit("a")
		assert.Equal(t, []Answer{{Kind: Refusal, RetryAfter: time.Second, JobReleased: true}}, b.answers)
		assert.Zero(t, b.core.OpenReqs())

		p.serving, p.startVersion = true, 7
		submit("a") // the refused request did not reserve its ID
		require.Len(t, b.sent, 1)
		assert.EqualValues(t, 7, b.sent[0].Version())
		assert.Equal(t, 1, p.waiting)
		assert.True(t, b.sent[0].MayStart())
		assert.Zero(t, p.waiting, "it has started")

		submit("b")
		require.Len(t, b.sent, 2)
		p.serving, p.startVersion = false, 0 // the version is no longer in force
		assert.False(t, b.sent[1].MayStart())
		b.sent[1].Ended(Unsent, "", nil)
		b.core.step()
		require.Len(t, b.answers, 2)
		assert.Equal(t, Refusal, b.answers[1].Kind, "no attempt of it had started")
		b.sent[0].Ended(Broken, "", nil)
		b.core.step()
		require.Len(t, b.answers, 3)
		assert.Equal(t, Failure, b.answers[2].Kind, "an attempt of it may have run")

		p.serving, p.startVersion = true, 7
		submit("c")
		require.Len(t, b.sent, 3)
		assert.True(t, b.sent[2].MayStart())
		p.serving, p.startVersion = false, 0
		b.sent[2].Ended(Returned, "", nil)
		for range 3 { // the module dispatches again, at once or after a delay; that attempt ends as Unsent
			b.core.step()
			time.Sleep(time.Second)
		}
		require.Len(t, b.answers, 4)
		assert.Equal(t, Refusal, b.answers[3].Kind, "it was sent but never ran")
		assert.Zero(t, p.waiting)
		assert.Zero(t, b.core.OpenReqs())
		assert.Empty(t, b.core.reqs)
	})
}
