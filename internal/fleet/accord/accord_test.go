package accord

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// cases is how many schedules a run plays: few in the usual run, ACCORD_CASES for a long one.
func cases(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("ACCORD_CASES")); err == nil {
		return n
	}
	return usual
}

// TestOneVersionAtATime: whatever is lost, late, told twice, stalled, cut, crashed, elected or
// refused, no two dispatchers may take or start by two versions at one moment, no change ends in
// two ways, and once the faults end all are on the version decided last.
func TestOneVersionAtATime(t *testing.T) {
	total, decided := 0, 0
	for range cases(300) / 100 {
		rapid.Check(t, func(t *rapid.T) {
			p := LeaseConfig{Lease: time.Second, Drift: rapid.SampledFrom([]float64{0, 0.001, 0.05}).Draw(t, "drift")}
			n := rapid.IntRange(2, 9).Draw(t, "dispatchers")
			p.ContinueWhenCut = rapid.IntRange(0, 9).Draw(t, "keep") == 0 // then all but the exclusion holds
			w, bad := schedule(p, n, rapid.IntRange(5, 60).Draw(t, "steps"), rapid.Uint64().Draw(t, "seed"))
			require.Empty(t, bad)
			total++
			decided += int(w.state.Version)
		})
	}
	t.Logf("%d schedules, %d versions decided", total, decided)
	assert.Greater(t, decided, total, "versions were decided: more than the first of each schedule")
}

// TestThreeHundred: the same at the size of the largest fleet.
func TestThreeHundred(t *testing.T) {
	for seed := range uint64(cases(200) / 200) {
		w, bad := schedule(LeaseConfig{Lease: time.Second, Drift: 0.01}, 300, 12, seed)
		require.Empty(t, bad, "seed %d", seed)
		require.Positive(t, w.served)
	}
}

// TestProposeToInForce: with no fault, at 9, 20 and 300 dispatchers, a change is in force everywhere
// within the bound of the note: the drain, seven round trips and the checks, and the beats by which
// this world moves. The time is printed.
func TestProposeToInForce(t *testing.T) {
	p := LeaseConfig{Lease: 3 * time.Second, Drift: 0.001}
	for _, n := range []int{9, 20, 300} {
		w := newWorld(p, n, 7)
		w.mend()
		w.propose(w.all[0], "first")
		w.run(4 * p.Lease)
		require.Empty(t, w.settled())
		w.propose(w.all[1], "second")
		start := w.now
		for w.settled() != "" || w.state.Version != 2 {
			w.run(time.Millisecond)
			require.Empty(t, w.bad)
			require.Less(t, w.now-start, int64(2*p.Lease), "%d dispatchers: %s", n, w.settled())
		}
		took := time.Duration(w.now - start)
		t.Logf("%d dispatchers: proposed to in force everywhere in %v", n, took)
		assert.Less(t, took, p.Drain()+p.RenewInterval()/4+200*time.Millisecond)
	}
}

// pair is a keeper past its quiet time and a lessee, by one clock, with version 1 in force.
func pair(t *testing.T, p LeaseConfig) (*Leader, *Participant, Time) {
	var s State
	require.True(t, s.Apply(Decision{Change: 1, Proposal: ProposalBit | 1, Version: 1, Body: []byte("one")}))
	k, err := NewLeader(p, 1, 0, s)
	require.NoError(t, err)
	l, err := NewParticipant(p, "a", 1)
	require.NoError(t, err)
	now := Time(p.QuietPeriod())
	exchange(t, k, l, now)
	for _, c := range l.TakeChecks() {
		l.ReportCheck(now, c, nil)
	}
	exchange(t, k, l, now)
	require.True(t, l.Serving())
	return k, l, now
}

func exchange(t *testing.T, k *Leader, l *Participant, now Time) LeaseResponse {
	l.RequestNow()
	a, ok := l.NextRequest(now)
	require.True(t, ok)
	answer := k.Handle(now, a)
	l.HandleResponse(now, answer)
	return answer
}

// TestLesseeStopsFirst: with the slowest lessee and the fastest keeper, the last moment of a lease
// at the lessee is before its end at the keeper, in real time, also when the answer is late.
func TestLesseeStopsFirst(t *testing.T) {
	p := LeaseConfig{Lease: time.Second, Drift: 0.05}
	for _, late := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second} {
		slow, fast := 1-p.Drift, 1+p.Drift
		startReal := float64(p.UsableLease()) / slow
		endReal := float64(late) + float64(p.Lease)/fast
		assert.LessOrEqual(t, startReal, endReal+1)
	}
	assert.GreaterOrEqual(t, float64(p.QuietPeriod())/(1+p.Drift), float64(p.UsableLease())/(1-p.Drift), "and the quiet time covers it")
}

// TestTwoProposals: the second of two is refused by name, and the first goes on.
func TestTwoProposals(t *testing.T) {
	k, l, now := pair(t, LeaseConfig{Lease: time.Second})
	k.Handle(now, LeaseRequest{Peer: "b", Epoch: 1, Seq: 1, Version: 1, Proposal: ProposalBit | 7, BaseVersion: 1, Body: []byte("two")})
	require.NoError(t, l.Propose(ProposalBit|8, []byte("other")))
	a := exchange(t, k, l, now)
	assert.Equal(t, Outcome{ID: ProposalBit | 8, Result: Withdrawn, Peer: "a", Reason: "another change is under way, proposed by b"}, a.ProposalOutcome)
	assert.False(t, l.ProposalPending())
	assert.EqualValues(t, 2, a.NextVersion)
}

// TestInForceNamesItsChange: the log's line by which operators follow a change to its end names it, as all its other lines do.
func TestInForceNamesItsChange(t *testing.T) {
	k, l, now := pair(t, LeaseConfig{Lease: time.Second})
	l.TakeEvents()
	require.NoError(t, l.Propose(ProposalBit|7, []byte("two")))
	for range 6 {
		exchange(t, k, l, now)
		for _, c := range l.TakeChecks() {
			l.ReportCheck(now, c, nil)
		}
		l.Tick(now, 0)
		k.Tick(now)
		if d, ok := k.TakeDecision(); ok {
			s := k.state
			require.True(t, s.Apply(d))
			k.Applied(now, s)
		}
	}
	changes := map[string]uint64{}
	for _, n := range l.TakeEvents() {
		changes[n.Step] = n.Change
	}
	require.Contains(t, changes, "in force")
	assert.NotZero(t, changes["in force"])
	assert.Equal(t, changes["checked"], changes["in force"])
}

// TestRefusal: one dispatcher that cannot take the draft has it withdrawn everywhere, by name.
func TestRefusal(t *testing.T) {
	k, l, now := pair(t, LeaseConfig{Lease: time.Second})
	a := k.Handle(now, LeaseRequest{Peer: "b", Epoch: 1, Seq: 1, Version: 1, Proposal: ProposalBit | 7, BaseVersion: 1, Body: []byte("two")})
	require.Equal(t, Checking, a.Stage)
	k.Handle(now, LeaseRequest{Peer: "b", Epoch: 1, Seq: 2, Version: 1, Change: a.Change, Ack: Refused, Reason: "unknown key x"})
	exchange(t, k, l, now)
	a = exchange(t, k, l, now)
	assert.Equal(t, Idle, a.Stage)
	assert.Equal(t, Withdrawn, a.ChangeOutcome.Result)
	assert.Equal(t, "b", a.ChangeOutcome.Peer)
	assert.Equal(t, "unknown key x", a.ChangeOutcome.Reason)
	_, submitted := k.TakeDecision()
	assert.False(t, submitted)
}

// TestKeepGoesOn: under keep a cut-off dispatcher takes by the version it knew, and the gate says from
// when on that counts as lapsed; under stop it takes nothing.
func TestKeepGoesOn(t *testing.T) {
	for _, keep := range []bool{false, true} {
		p := LeaseConfig{Lease: time.Second, ContinueWhenCut: keep}
		_, l, now := pair(t, p)
		later := now.Add(2 * p.Lease)
		l.Tick(later, 0)
		assert.Equal(t, keep, later < l.Admission().AcceptUntil)
		assert.Equal(t, keep, l.Admission().UnleasedFrom <= later)
	}
}

// TestKeepAfterItWasTold: a keep dispatcher that was told to stop and then cut off takes up the old
// version one lease later.
func TestKeepAfterItWasTold(t *testing.T) {
	p := LeaseConfig{Lease: time.Second, ContinueWhenCut: true}
	_, l, now := pair(t, p)
	l.RequestNow()
	a, _ := l.NextRequest(now)
	l.HandleResponse(now, LeaseResponse{Peer: "a", Epoch: 1, Seq: a.Seq, IsLeader: true, Version: 1, Change: 9, Stage: Preparing, NextVersion: 2})
	l.Tick(now, 0)
	assert.False(t, l.Serving())
	l.Tick(now.Add(p.Lease/2), 0)
	assert.False(t, l.Serving())
	l.Tick(now.Add(p.Lease), 0)
	assert.True(t, l.Serving())
}

// TestStateDecidesOnce: an entry that does not follow, or of a proposal decided before, changes nothing.
func TestStateDecidesOnce(t *testing.T) {
	var s State
	require.True(t, s.Apply(Decision{Change: 1, Proposal: 5, Version: 1, Body: []byte("a")}))
	was := s
	assert.False(t, s.Apply(Decision{Change: 2, Proposal: 6, Version: 1, Body: []byte("b")}))
	assert.False(t, s.Apply(Decision{Change: 3, Proposal: 7, Version: 3}))
	assert.False(t, s.Apply(Decision{Change: 4, Proposal: 5, Version: 2}))
	assert.Equal(t, was, s)
	for v := uint64(2); v < 40; v++ {
		require.True(t, s.Apply(Decision{Change: v, Proposal: 5 + v, Version: v}))
	}
	assert.Len(t, s.Recent, keptDone)
}

func TestPlanCheck(t *testing.T) {
	assert.NoError(t, LeaseConfig{Lease: time.Second, Drift: 0.001}.Check())
	assert.ErrorContains(t, LeaseConfig{Lease: time.Millisecond}.Check(), "lease")
	assert.ErrorContains(t, LeaseConfig{Lease: time.Second, Drift: 0.2}.Check(), "drift")
}

// TestKeeperBelievesNoOldAsk: an ask that was overtaken gets no lease and says nothing.
func TestKeeperBelievesNoOldAsk(t *testing.T) {
	k, _, now := pair(t, LeaseConfig{Lease: time.Second})
	a := k.Handle(now, LeaseRequest{Peer: "b", Epoch: 1, Seq: 5, Version: 1, Proposal: ProposalBit | 7, BaseVersion: 1, Body: []byte("two")})
	require.True(t, a.Granted)
	old := k.Handle(now, LeaseRequest{Peer: "b", Epoch: 1, Seq: 4, Version: 1, Change: a.Change, Ack: Refused})
	assert.False(t, old.Granted)
	assert.Equal(t, Checking, old.Stage, "an overtaken refusal refuses nothing")
}

// TestStanceIsOnOneChange: what a lessee said of an earlier change accepts nothing now.
func TestStanceIsOnOneChange(t *testing.T) {
	k, _, now := pair(t, LeaseConfig{Lease: time.Second})
	a := k.Handle(now, LeaseRequest{Peer: "a", Epoch: 1, Seq: 9, Version: 1, Proposal: ProposalBit | 7, BaseVersion: 1, Body: []byte("two")})
	a = k.Handle(now, LeaseRequest{Peer: "a", Epoch: 1, Seq: 10, Version: 1, Change: a.Change + 1, Ack: Accepted})
	assert.Equal(t, Checking, a.Stage)
	a = k.Handle(now, LeaseRequest{Peer: "a", Epoch: 1, Seq: 11, Version: 1, Change: a.Change, Ack: Accepted})
	assert.Equal(t, Preparing, a.Stage)
}

// TestProposalNamesItsBase: one made against another version than the one in force is nowhere.
func TestProposalNamesItsBase(t *testing.T) {
	k, _, now := pair(t, LeaseConfig{Lease: time.Second})
	a := k.Handle(now, LeaseRequest{Peer: "b", Epoch: 1, Seq: 1, Version: 1, Proposal: ProposalBit | 7, BaseVersion: 0, Body: []byte("two")})
	assert.Equal(t, Withdrawn, a.ProposalOutcome.Result)
	assert.Contains(t, a.ProposalOutcome.Reason, "made against version 0")
}

// TestOvertakenGrantIsNotBelieved: ask 3 overtakes ask 2 on the way there and is granted; ask 2 is
// answered "preparing"; the grant of ask 3 comes last of all, and must not open the gate again. An
// answer that knows only an older version is not believed either.
func TestOvertakenGrantIsNotBelieved(t *testing.T) {
	_, l, now := pair(t, LeaseConfig{Lease: time.Second})
	l.RequestNow()
	a2, _ := l.NextRequest(now)
	l.RequestNow()
	a3, _ := l.NextRequest(now)
	say := LeaseResponse{Peer: "a", Epoch: 1, IsLeader: true, Version: 1}
	stop := say
	stop.Seq, stop.Change, stop.Stage, stop.NextVersion = a2.Seq, 9, Preparing, 2
	old := stop
	old.Version = 0
	l.HandleResponse(now, old)
	assert.True(t, l.Serving())
	l.HandleResponse(now, stop)
	l.Tick(now, 0)
	require.False(t, l.Serving())
	grant := say
	grant.Seq, grant.Granted = a3.Seq, true
	l.HandleResponse(now, grant)
	assert.False(t, l.Serving())
}

// TestAnswersThatAreNotForThisAsk: an answer to another life, or told twice, opens nothing; one that
// tells of a newer version closes what was open.
func TestAnswersThatAreNotForThisAsk(t *testing.T) {
	p := LeaseConfig{Lease: time.Second}
	_, l, now := pair(t, p)
	g := l.Admission()
	assert.Equal(t, g.StartUntil, g.AcceptUntil.Add(p.Drain()), "what is taken last has the drain to begin in")
	now = now.Add(p.RenewInterval())
	a, ok := l.NextRequest(now)
	require.True(t, ok)
	other := LeaseResponse{Peer: "a", Epoch: 2, Seq: a.Seq, IsLeader: true, Version: 1, Granted: true}
	l.HandleResponse(now, other)
	assert.Equal(t, g, l.Admission(), "for another life")
	mine := other
	mine.Epoch, mine.Granted = 1, false
	l.HandleResponse(now, mine)
	mine.Granted = true
	l.HandleResponse(now, mine)
	assert.Equal(t, g, l.Admission(), "told twice, and differently")
	l.RequestNow()
	a, _ = l.NextRequest(now)
	l.HandleResponse(now, LeaseResponse{Peer: "a", Epoch: 1, Seq: a.Seq, IsLeader: true, Version: 2, Body: []byte("two")})
	assert.False(t, l.Serving(), "a newer version is decided")
}
