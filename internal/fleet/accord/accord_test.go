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

// scheduleCount returns how many schedules a run plays: few in the usual run, or as many as ACCORD_CASES sets.
func scheduleCount(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("ACCORD_CASES")); err == nil {
		return n
	}
	return usual
}

// TestOneVersionAtATime: no two dispatchers may accept or start requests under two versions at one moment, no change
// has two results, and once all faults have ended every dispatcher has the version decided last. The schedules
// contain lost, late and repeated messages, stalls, cut-offs, crashes, elections and refused changes.
func TestOneVersionAtATime(t *testing.T) {
	total, decided := 0, 0
	for range scheduleCount(300) / 100 {
		rapid.Check(t, func(t *rapid.T) {
			config := LeaseConfig{Lease: time.Second, Drift: rapid.SampledFrom([]float64{0, 0.001, 0.05}).Draw(t, "drift")}
			n := rapid.IntRange(2, 9).Draw(t, "dispatchers")
			config.ContinueWhenCut = rapid.IntRange(0, 9).Draw(t, "keep") == 0 // then all holds but the mutual exclusion of versions
			s, violation := runSchedule(config, n, rapid.IntRange(5, 60).Draw(t, "steps"), rapid.Uint64().Draw(t, "seed"))
			require.Empty(t, violation)
			total++
			decided += int(s.state.Version)
		})
	}
	t.Logf("%d schedules, %d versions decided", total, decided)
	assert.Greater(t, decided, total, "schedules must decide more than their first version")
}

// TestThreeHundred checks the same with as many dispatchers as the largest fleet has.
func TestThreeHundred(t *testing.T) {
	for seed := range uint64(scheduleCount(200) / 200) {
		s, violation := runSchedule(LeaseConfig{Lease: time.Second, Drift: 0.01}, 300, 12, seed)
		require.Empty(t, violation, "seed %d", seed)
		require.Positive(t, s.servingSeen)
	}
}

// TestProposeToInForce: without faults, with 9, 20 and 300 dispatchers, a change is in force everywhere within the
// bound of docs/design/accord.md: the drain, seven round trips and the checks, plus the steps of this simulation. The
// time is logged.
func TestProposeToInForce(t *testing.T) {
	config := LeaseConfig{Lease: 3 * time.Second, Drift: 0.001}
	for _, n := range []int{9, 20, 300} {
		s := newSimulation(config, n, 7)
		s.endFaults()
		s.propose(s.dispatchers[0], "first")
		s.run(4 * config.Lease)
		require.Empty(t, s.unsettled())
		s.propose(s.dispatchers[1], "second")
		start := s.now
		for s.unsettled() != "" || s.state.Version != 2 {
			s.run(time.Millisecond)
			require.Empty(t, s.violation)
			require.Less(t, s.now-start, int64(2*config.Lease), "%d dispatchers: %s", n, s.unsettled())
		}
		took := time.Duration(s.now - start)
		t.Logf("%d dispatchers: proposed to in force everywhere in %v", n, took)
		assert.Less(t, took, config.Drain()+config.RenewInterval()/4+200*time.Millisecond)
	}
}

// newPair returns a leader past its quiet period and a participant with the same clock. Version 1 is in force.
func newPair(t *testing.T, config LeaseConfig) (*Leader, *Participant, Time) {
	var s State
	require.True(t, s.Apply(Decision{Change: 1, Proposal: ProposalBit | 1, Version: 1, Body: []byte("one")}))
	l, err := NewLeader(config, 1, 0, s)
	require.NoError(t, err)
	p, err := NewParticipant(config, "a", 1)
	require.NoError(t, err)
	now := Time(config.QuietPeriod())
	exchange(t, l, p, now)
	for _, c := range p.TakeChecks() {
		p.ReportCheck(now, c, nil)
	}
	exchange(t, l, p, now)
	require.True(t, p.Serving())
	return l, p, now
}

func exchange(t *testing.T, l *Leader, p *Participant, now Time) LeaseResponse {
	p.RequestNow()
	r, ok := p.NextRequest(now)
	require.True(t, ok)
	response := l.Handle(now, r)
	p.HandleResponse(now, response)
	return response
}

// TestLeaseEndsAtParticipantFirst: with the slowest participant clock and the fastest leader clock, a lease ends at
// the participant before it ends at the leader, in real time, also if the response is late.
func TestLeaseEndsAtParticipantFirst(t *testing.T) {
	config := LeaseConfig{Lease: time.Second, Drift: 0.05}
	for _, late := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second} {
		slow, fast := 1-config.Drift, 1+config.Drift
		startReal := float64(config.UsableLease()) / slow
		endReal := float64(late) + float64(config.Lease)/fast
		assert.LessOrEqual(t, startReal, endReal+1)
	}
	assert.GreaterOrEqual(t, float64(config.QuietPeriod())/(1+config.Drift), float64(config.UsableLease())/(1-config.Drift), "the quiet period must cover a lease of an earlier leader")
}

// TestSecondProposalIsWithdrawn: the second of two proposals is withdrawn with a reason that names the first
// proposer, and the first goes on.
func TestSecondProposalIsWithdrawn(t *testing.T) {
	l, p, now := newPair(t, LeaseConfig{Lease: time.Second})
	l.Handle(now, LeaseRequest{Peer: "b", Epoch: 1, Seq: 1, Version: 1, Proposal: ProposalBit | 7, BaseVersion: 1, Body: []byte("two")})
	require.NoError(t, p.Propose(ProposalBit|8, []byte("other")))
	a := exchange(t, l, p, now)
	assert.Equal(t, Outcome{ID: ProposalBit | 8, Result: Withdrawn, Peer: "a", Reason: "another change is under way, proposed by b"}, a.ProposalOutcome)
	assert.False(t, p.ProposalPending())
	assert.EqualValues(t, 2, a.NextVersion)
}

// TestInForceEventNamesItsChange: the log line "in force" carries the change's id as all its other lines do, so that
// operators can follow a change to its end.
func TestInForceEventNamesItsChange(t *testing.T) {
	l, p, now := newPair(t, LeaseConfig{Lease: time.Second})
	p.TakeEvents()
	require.NoError(t, p.Propose(ProposalBit|7, []byte("two")))
	for range 6 {
		exchange(t, l, p, now)
		for _, c := range p.TakeChecks() {
			p.ReportCheck(now, c, nil)
		}
		p.Tick(now, 0)
		l.Tick(now)
		if d, ok := l.TakeDecision(); ok {
			s := l.state
			require.True(t, s.Apply(d))
			l.Applied(now, s)
		}
	}
	changes := map[string]uint64{}
	for _, n := range p.TakeEvents() {
		changes[n.Step] = n.Change
	}
	require.Contains(t, changes, "in force")
	assert.NotZero(t, changes["in force"])
	assert.Equal(t, changes["checked"], changes["in force"])
}

// TestRefusalWithdrawsChange: one dispatcher that refuses the next version has the change withdrawn everywhere, with
// its name and reason.
func TestRefusalWithdrawsChange(t *testing.T) {
	l, p, now := newPair(t, LeaseConfig{Lease: time.Second})
	a := l.Handle(now, LeaseRequest{Peer: "b", Epoch: 1, Seq: 1, Version: 1, Proposal: ProposalBit | 7, BaseVersion: 1, Body: []byte("two")})
	require.Equal(t, Checking, a.Stage)
	l.Handle(now, LeaseRequest{Peer: "b", Epoch: 1, Seq: 2, Version: 1, Change: a.Change, Ack: Refused, Reason: "unknown key x"})
	exchange(t, l, p, now)
	a = exchange(t, l, p, now)
	assert.Equal(t, Idle, a.Stage)
	assert.Equal(t, Withdrawn, a.ChangeOutcome.Result)
	assert.Equal(t, "b", a.ChangeOutcome.Peer)
	assert.Equal(t, "unknown key x", a.ChangeOutcome.Reason)
	_, submitted := l.TakeDecision()
	assert.False(t, submitted)
}

// TestContinueWhenCut: with ContinueWhenCut a dispatcher without contact to the leader accepts requests under the
// version it knew, and the admission says from when on that happens without a lease. Without it the dispatcher
// accepts none.
func TestContinueWhenCut(t *testing.T) {
	for _, keep := range []bool{false, true} {
		config := LeaseConfig{Lease: time.Second, ContinueWhenCut: keep}
		_, p, now := newPair(t, config)
		later := now.Add(2 * config.Lease)
		p.Tick(later, 0)
		assert.Equal(t, keep, later < p.Admission().AcceptUntil)
		assert.Equal(t, keep, p.Admission().UnleasedFrom <= later)
	}
}

// TestContinueWhenCutAfterPreparing: with ContinueWhenCut a dispatcher that was asked to stop and then lost contact
// accepts requests under the old version one lease later.
func TestContinueWhenCutAfterPreparing(t *testing.T) {
	config := LeaseConfig{Lease: time.Second, ContinueWhenCut: true}
	_, p, now := newPair(t, config)
	p.RequestNow()
	a, _ := p.NextRequest(now)
	p.HandleResponse(now, LeaseResponse{Peer: "a", Epoch: 1, Seq: a.Seq, IsLeader: true, Version: 1, Change: 9, Stage: Preparing, NextVersion: 2})
	p.Tick(now, 0)
	assert.False(t, p.Serving())
	p.Tick(now.Add(config.Lease/2), 0)
	assert.False(t, p.Serving())
	p.Tick(now.Add(config.Lease), 0)
	assert.True(t, p.Serving())
}

// TestStateDecidesOnce: an entry is ignored if its version is not the next one or its proposal was decided before.
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
	assert.Len(t, s.Recent, maxRecent)
}

func TestLeaseConfigCheck(t *testing.T) {
	assert.NoError(t, LeaseConfig{Lease: time.Second, Drift: 0.001}.Check())
	assert.ErrorContains(t, LeaseConfig{Lease: time.Millisecond}.Check(), "lease")
	assert.ErrorContains(t, LeaseConfig{Lease: time.Second, Drift: 0.2}.Check(), "drift")
}

// TestLeaderIgnoresOvertakenRequest: a request that was overtaken by a later one gets no lease, and its
// acknowledgement does not count.
func TestLeaderIgnoresOvertakenRequest(t *testing.T) {
	l, _, now := newPair(t, LeaseConfig{Lease: time.Second})
	a := l.Handle(now, LeaseRequest{Peer: "b", Epoch: 1, Seq: 5, Version: 1, Proposal: ProposalBit | 7, BaseVersion: 1, Body: []byte("two")})
	require.True(t, a.Granted)
	old := l.Handle(now, LeaseRequest{Peer: "b", Epoch: 1, Seq: 4, Version: 1, Change: a.Change, Ack: Refused})
	assert.False(t, old.Granted)
	assert.Equal(t, Checking, old.Stage, "an overtaken refusal must not withdraw the change")
}

// TestAckCountsForItsChangeOnly: a participant's acknowledgement of another change does not accept the current one.
func TestAckCountsForItsChangeOnly(t *testing.T) {
	l, _, now := newPair(t, LeaseConfig{Lease: time.Second})
	a := l.Handle(now, LeaseRequest{Peer: "a", Epoch: 1, Seq: 9, Version: 1, Proposal: ProposalBit | 7, BaseVersion: 1, Body: []byte("two")})
	a = l.Handle(now, LeaseRequest{Peer: "a", Epoch: 1, Seq: 10, Version: 1, Change: a.Change + 1, Ack: Accepted})
	assert.Equal(t, Checking, a.Stage)
	a = l.Handle(now, LeaseRequest{Peer: "a", Epoch: 1, Seq: 11, Version: 1, Change: a.Change, Ack: Accepted})
	assert.Equal(t, Preparing, a.Stage)
}

// TestProposalOnOldBaseIsWithdrawn: a proposal against another version than the one in force is withdrawn.
func TestProposalOnOldBaseIsWithdrawn(t *testing.T) {
	l, _, now := newPair(t, LeaseConfig{Lease: time.Second})
	a := l.Handle(now, LeaseRequest{Peer: "b", Epoch: 1, Seq: 1, Version: 1, Proposal: ProposalBit | 7, BaseVersion: 0, Body: []byte("two")})
	assert.Equal(t, Withdrawn, a.ProposalOutcome.Result)
	assert.Contains(t, a.ProposalOutcome.Reason, "made against version 0")
}

// TestOvertakenGrantIsIgnored: request 3 overtakes request 2 on the way to the leader and is granted a lease; request
// 2 is answered "preparing". The grant of request 3 arrives last and must not let the dispatcher accept requests
// again. A response with an older version is ignored too.
func TestOvertakenGrantIsIgnored(t *testing.T) {
	_, p, now := newPair(t, LeaseConfig{Lease: time.Second})
	p.RequestNow()
	r2, _ := p.NextRequest(now)
	p.RequestNow()
	r3, _ := p.NextRequest(now)
	answer := LeaseResponse{Peer: "a", Epoch: 1, IsLeader: true, Version: 1}
	stop := answer
	stop.Seq, stop.Change, stop.Stage, stop.NextVersion = r2.Seq, 9, Preparing, 2
	old := stop
	old.Version = 0
	p.HandleResponse(now, old)
	assert.True(t, p.Serving())
	p.HandleResponse(now, stop)
	p.Tick(now, 0)
	require.False(t, p.Serving())
	grant := answer
	grant.Seq, grant.Granted = r3.Seq, true
	p.HandleResponse(now, grant)
	assert.False(t, p.Serving())
}

// TestUnexpectedResponsesAreIgnored: a response to another incarnation or a repeated one does not extend the
// admission. One with a newer version ends it.
func TestUnexpectedResponsesAreIgnored(t *testing.T) {
	config := LeaseConfig{Lease: time.Second}
	_, p, now := newPair(t, config)
	before := p.Admission()
	assert.Equal(t, before.StartUntil, before.AcceptUntil.Add(config.Drain()), "a request accepted last has the drain to start in")
	now = now.Add(config.RenewInterval())
	a, ok := p.NextRequest(now)
	require.True(t, ok)
	other := LeaseResponse{Peer: "a", Epoch: 2, Seq: a.Seq, IsLeader: true, Version: 1, Granted: true}
	p.HandleResponse(now, other)
	assert.Equal(t, before, p.Admission(), "for another incarnation")
	mine := other
	mine.Epoch, mine.Granted = 1, false
	p.HandleResponse(now, mine)
	mine.Granted = true
	p.HandleResponse(now, mine)
	assert.Equal(t, before, p.Admission(), "repeated, with another content")
	p.RequestNow()
	a, _ = p.NextRequest(now)
	p.HandleResponse(now, LeaseResponse{Peer: "a", Epoch: 1, Seq: a.Seq, IsLeader: true, Version: 2, Body: []byte("two")})
	assert.False(t, p.Serving(), "a newer version is decided")
}
