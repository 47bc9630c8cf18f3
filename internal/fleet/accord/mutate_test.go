package accord_test

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/accord/wire"
	"tinsail/internal/mutate"
)

// accordFleet is seven dispatchers and three voters that exchange messages in the real encoding. Each has its own
// clock, with a rate at an edge of the drift or in the middle. The majority log is a model: entries are the encoded
// bytes, and a voter stores them as they arrive. An entry is decided once two of three voters have it. The voter with
// the longest log becomes the next leader. A voter that cannot decode an entry fails for good, as in
// internal/network/fleet/accord.
type accordFleet struct {
	scenario     *accordScenario
	rnd          *rand.Rand
	voters       []*voterNode
	participants []*participantNode
	term         uint64
	leader       *voterNode // nil between two terms
	electAt      time.Duration
	lostAt       time.Duration // when the first leader was deposed, 0 before

	decided   map[uint64]string // by version: what a majority stored
	proposed  map[string]bool
	violation error
}

// accordScenario says what happens in a run and when, in real time. What is 0 does not happen.
type accordScenario struct {
	changes          []scheduledProposal
	deposeAt         time.Duration // the leader loses its majority at this time,
	deposeOnDecision bool          // or when it submits the second version to the log,
	entryReplicated  bool          // and that entry reaches the other voters nevertheless
	cutAt            time.Duration // cutNodes are cut off from this time on; if 0, from the loss of the leader on
	cutNodes         string        // n5 if empty
	cutFor           time.Duration // how long they stay cut off
	maxDelay         time.Duration // maximum transit time of a message; 12 ms if 0
	wantBodies       []string      // policies that may be in force in the end
	faultsFrom       time.Duration
	faultsUntil      time.Duration
}

type scheduledProposal struct {
	at   time.Duration
	node string
	body string
}

type accordClock struct{ rate, offset float64 }

func (c accordClock) at(real time.Duration) accord.Time {
	return accord.Time(c.offset + float64(real)*c.rate)
}

type voterNode struct {
	name     string
	clock    accordClock
	leading  *accord.Leader // nil while it does not lead
	state    accord.State
	log      [][]byte
	sentAt   time.Duration
	isolated bool // it has no connection to the other voters
	failed   bool
}

type participantNode struct {
	*accord.Participant
	name          string
	clock         accordClock
	voter         int // index of the voter that it sends requests to
	lastHeard     time.Duration
	pausedUntil   time.Duration // sends no request before
	proposals     int           // how many it has made
	waiting       int           // requests accepted that have not started
	newestVersion uint64
}

const accordTick = 10 * time.Millisecond

var accordConfig = accord.LeaseConfig{Lease: 300 * time.Millisecond, Drift: 0.05}

func (s *accordScenario) setup(name string) mutate.Setup {
	config := accordConfig
	late := 2*config.Lease/3 + accordTick
	settle := 60*time.Millisecond + config.QuietPeriod() + 5*config.Lease + config.Drain() // the time after faults of docs/design/accord.md
	return mutate.Setup{Name: "accord " + name, Seed: 1, Build: s.build, TickInterval: accordTick, FaultsFrom: s.faultsFrom, FaultsUntil: s.faultsUntil, ExtraDelay: late,
		Duration: s.faultsUntil + late + time.Duration(float64(settle)/(1-config.Drift)) + 2*accordTick, MaxEvents: 20_000}
}

func (s *accordScenario) build(seed uint64) mutate.System {
	f := &accordFleet{scenario: s, rnd: rand.New(rand.NewPCG(seed, 0)), decided: map[uint64]string{}, proposed: map[string]bool{}}
	clock := func() accordClock {
		return accordClock{1 + accordConfig.Drift*float64(f.rnd.IntN(3)-1), 1e12 * f.rnd.Float64()}
	}
	for i := range 3 {
		f.voters = append(f.voters, &voterNode{name: fmt.Sprintf("v%d", i), clock: clock()})
	}
	for i := range 7 {
		p := &participantNode{name: fmt.Sprintf("n%d", i), clock: clock()}
		var err error
		if p.Participant, err = accord.NewParticipant(accordConfig, p.name, 1000+uint64(i)); err != nil {
			panic(err)
		}
		f.participants = append(f.participants, p)
	}
	f.elect(0, f.voters[0])
	return f
}

func (f *accordFleet) Nodes() []string {
	return []string{"v0", "v1", "v2", "n0", "n1", "n2", "n3", "n4", "n5", "n6"}
}

func (f *accordFleet) fail(format string, a ...any) {
	if f.violation == nil {
		f.violation = fmt.Errorf(format, a...)
	}
}

// elect begins a term. What the new leader has in its log is decided by its barrier, and replaces the logs of the
// others.
func (f *accordFleet) elect(now time.Duration, v *voterNode) {
	v.state = accord.State{}
	for _, entry := range v.log {
		if d, err := wire.DecodeDecision(entry); err == nil {
			f.recordDecision(d)
			v.state.Apply(d)
		}
	}
	f.term++
	leader, err := accord.NewLeader(accordConfig, f.term, v.clock.at(now), v.state)
	if err != nil {
		panic(err)
	}
	f.leader, f.electAt, v.leading = v, 0, leader
	for _, o := range f.voters {
		if !o.isolated && !o.failed {
			o.log = slices.Clone(v.log)
		}
	}
}

// recordDecision records a decided entry. It checks that no version is decided twice and that the policy was
// proposed.
func (f *accordFleet) recordDecision(d accord.Decision) {
	was, ok := f.decided[d.Version]
	switch {
	case ok && was != string(d.Body):
		f.fail("version %d is decided as %q and as %q", d.Version, was, d.Body)
	case !f.proposed[string(d.Body)]:
		f.fail("version %d is %q, which no dispatcher proposed", d.Version, d.Body)
	}
	f.decided[d.Version] = string(d.Body)
}

// deposeLeader takes the majority away from the leader, which learns of it only when it confirms its term.
func (f *accordFleet) deposeLeader(now time.Duration) {
	f.leader.leading, f.leader.isolated = nil, true
	f.leader, f.lostAt, f.electAt = nil, now, now+50*time.Millisecond
}

func (f *accordFleet) isCutOff(now time.Duration, name string) bool {
	start := f.scenario.cutAt
	if start == 0 {
		start = f.lostAt
	}
	return strings.Contains(cmp.Or(f.scenario.cutNodes, "n5"), name) && start > 0 && now >= start && now < start+f.scenario.cutFor
}

func (f *accordFleet) message(now time.Duration, from, to string, b []byte) []mutate.Message {
	if f.isCutOff(now, from) || f.isCutOff(now, to) {
		return nil
	}
	return []mutate.Message{{From: from, To: to, Bytes: b, Delay: time.Millisecond + time.Duration(f.rnd.Int64N(int64(cmp.Or(f.scenario.maxDelay, 12*time.Millisecond))))}}
}

func (f *accordFleet) Tick(now time.Duration, node string) []mutate.Message {
	if node[0] == 'v' {
		return f.tickVoter(now, f.voters[node[1]-'0'])
	}
	return f.stepParticipant(now, f.participants[node[1]-'0'], true)
}

func (f *accordFleet) tickVoter(now time.Duration, v *voterNode) (out []mutate.Message) {
	if v.name == "v0" { // the events of the whole fleet, once a tick
		if f.scenario.deposeAt > 0 && now >= f.scenario.deposeAt && f.lostAt == 0 {
			f.deposeLeader(now)
		}
		if f.lostAt > 0 && v.isolated && now >= f.lostAt+accordConfig.Lease {
			if v.isolated = false; f.leader != nil {
				v.log = slices.Clone(f.leader.log)
			}
		}
		if f.electAt > 0 && now >= f.electAt {
			var candidates []*voterNode
			for _, o := range f.voters {
				if !o.isolated && !o.failed {
					candidates = append(candidates, o)
				}
			}
			slices.SortStableFunc(candidates, func(a, b *voterNode) int { return len(b.log) - len(a.log) })
			if len(candidates) >= 2 {
				f.elect(now, candidates[0])
			}
		}
	}
	if v != f.leader {
		return nil
	}
	v.leading.Tick(v.clock.at(now))
	out = f.runLeader(now, v)
	if v == f.leader && now >= v.sentAt+30*time.Millisecond {
		out = append(out, f.replicate(now, v)...)
	}
	return out
}

// replicate sends to each voter the next entry that it lacks.
func (f *accordFleet) replicate(now time.Duration, v *voterNode) (out []mutate.Message) {
	v.sentAt = now
	for _, o := range f.voters {
		if len(o.log) < len(v.log) && !o.failed && !o.isolated {
			out = append(out, f.message(now, v.name, o.name, v.log[len(o.log)])...)
		}
	}
	return out
}

// runLeader carries out what the leader asks for.
func (f *accordFleet) runLeader(now time.Duration, v *voterNode) (out []mutate.Message) {
	if d, ok := v.leading.TakeDecision(); ok {
		v.log = append(v.log, wire.EncodeDecision(d))
		lose := f.scenario.deposeOnDecision && d.Version == 2 && f.lostAt == 0
		if !lose || f.scenario.entryReplicated {
			out = f.replicate(now, v)
		}
		if lose {
			f.deposeLeader(now)
			return out
		}
	}
	if v.leading.TakePoll() {
		for _, p := range f.participants {
			if f.voters[p.voter] == v {
				out = append(out, f.message(now, v.name, p.name, wire.EncodePoll())...)
			}
		}
	}
	v.leading.TakeEvents()
	return out
}

// stepParticipant does what a dispatcher's driver does (internal/network/fleet/accord).
func (f *accordFleet) stepParticipant(now time.Duration, p *participantNode, tick bool) (out []mutate.Message) {
	t := p.clock.at(now)
	if tick {
		switch {
		case p.waiting > 0 && f.rnd.IntN(3) == 0:
			p.waiting--
		case t < p.Admission().AcceptUntil && f.rnd.IntN(4) == 0:
			p.waiting++
		}
		f.propose(now, p)
		if now >= p.lastHeard+accordConfig.Lease/2 {
			p.voter, p.lastHeard = (p.voter+1)%3, now
			p.RequestNow()
		}
	}
	p.Tick(t, p.waiting)
	for _, c := range p.TakeChecks() {
		var err error
		if p.name == "n6" && strings.HasPrefix(string(c.Body), "odd") {
			err = errors.New("an unknown key")
		}
		p.ReportCheck(t, c, err)
	}
	if v, body, ok := p.TakeActivation(); ok && f.decided[v] != string(body) {
		f.fail("%s activates version %d as %q, which is decided as %q", p.name, v, body, f.decided[v])
	}
	p.TakeEvents()
	if now < p.pausedUntil {
		return nil
	}
	if r, due := p.NextRequest(t); due {
		out = f.message(now, p.name, f.voters[p.voter].name, wire.EncodeLeaseRequest(r))
	}
	return out
}

// propose makes the next of a dispatcher's scheduled proposals once its time has come and no other is pending.
func (f *accordFleet) propose(now time.Duration, p *participantNode) {
	n := 0
	for i, change := range f.scenario.changes {
		if change.node != p.name {
			continue
		}
		if n++; n > p.proposals && now >= change.at && !p.ProposalPending() {
			p.proposals++
			f.proposed[change.body] = true
			if err := p.Propose(accord.ProposalBit|uint64(i+1)<<32|f.rnd.Uint64N(1<<32), []byte(change.body)); err != nil {
				panic(err)
			}
		}
	}
}

func (f *accordFleet) Deliver(now time.Duration, m mutate.Message) []mutate.Message {
	if m.To[0] == 'v' {
		v := f.voters[m.To[1]-'0']
		if m.From[0] == 'v' {
			return f.storeEntry(now, v, m)
		}
		return f.handleRequest(now, v, m)
	}
	p := f.participants[m.To[1]-'0']
	msg, err := wire.Decode(m.Bytes)
	if err != nil {
		return nil
	}
	switch {
	case msg.Poll:
		p.RequestNow()
	case msg.LeaseResponse == nil || !msg.LeaseResponse.IsLeader && m.From != f.voters[p.voter].name:
		return nil
	case !msg.LeaseResponse.IsLeader:
		p.lastHeard = now
		if next := slices.IndexFunc(f.voters, func(v *voterNode) bool { return v.name == msg.LeaseResponse.Leader }); next >= 0 {
			p.voter = next
		} else {
			p.voter, p.pausedUntil = (p.voter+1)%3, now+20*time.Millisecond
		}
		p.RequestNow()
	default: // also of a connection that was given up: a process that was suspended reads buffered messages before its clock
		p.lastHeard = now
		p.HandleResponse(p.clock.at(now), *msg.LeaseResponse)
	}
	return f.stepParticipant(now, p, false)
}

// storeEntry is the receipt of a log entry by a voter. Bytes that decode as a message are ignored: in the real
// program raft has its own streams.
func (f *accordFleet) storeEntry(now time.Duration, v *voterNode, m mutate.Message) []mutate.Message {
	if _, err := wire.Decode(m.Bytes); err == nil {
		return nil
	}
	leader := f.voters[m.From[1]-'0']
	if v.failed || v.isolated || v == f.leader || f.leader != nil && leader != f.leader || len(v.log) >= len(leader.log) ||
		slices.ContainsFunc(v.log, func(entry []byte) bool { return bytes.Equal(entry, m.Bytes) }) {
		return nil
	}
	v.log = append(v.log, m.Bytes)
	if _, err := wire.DecodeDecision(m.Bytes); err != nil {
		v.failed = true
	}
	if leader != f.leader || len(v.log) <= int(f.leader.state.Version) {
		return nil
	}
	d, err := wire.DecodeDecision(leader.log[len(v.log)-1])
	if err != nil {
		panic(err)
	}
	f.recordDecision(d)
	leader.state.Apply(d)
	leader.leading.Applied(leader.clock.at(now), leader.state)
	return f.runLeader(now, leader)
}

// handleRequest is the receipt of a lease request by a voter. Only the leader that has a majority answers as leader.
func (f *accordFleet) handleRequest(now time.Duration, v *voterNode, m mutate.Message) []mutate.Message {
	msg, err := wire.Decode(m.Bytes)
	if err != nil || msg.LeaseRequest == nil || v.failed {
		return nil
	}
	if v != f.leader {
		a := accord.LeaseResponse{Peer: msg.LeaseRequest.Peer, Epoch: msg.LeaseRequest.Epoch, Seq: msg.LeaseRequest.Seq}
		if f.leader != nil && !v.isolated {
			a.Leader = f.leader.name
		}
		return f.message(now, v.name, m.From, wire.EncodeLeaseResponse(a))
	}
	a := v.leading.Handle(v.clock.at(now), *msg.LeaseRequest)
	out := f.message(now, v.name, m.From, wire.EncodeLeaseResponse(a))
	return append(out, f.runLeader(now, v)...)
}

// CheckInvariants checks that at one moment all dispatchers accept or start requests under one version, that the adopted
// version of each is a decided one and never an older one than before, and that a version has one policy, which was
// proposed.
func (f *accordFleet) CheckInvariants(now time.Duration) error {
	version, node := uint64(0), ""
	for _, p := range f.participants {
		v, body := p.Current()
		if is, ok := f.decided[v]; v > 0 && (!ok || is != string(body)) {
			return fmt.Errorf("%s has version %d as %q, which is decided as %q", p.name, v, body, is)
		}
		if v < p.newestVersion {
			return fmt.Errorf("%s went from version %d back to %d", p.name, p.newestVersion, v)
		}
		p.newestVersion = v
		a, t := p.Admission(), p.clock.at(now)
		if t >= a.AcceptUntil && t >= a.StartUntil {
			continue
		}
		if version != 0 && version != a.Version {
			return fmt.Errorf("%s accepts or starts under version %d and %s under %d", node, version, p.name, a.Version)
		}
		version, node = a.Version, p.name
	}
	return f.violation
}

// CheckEndState checks that all dispatchers accept requests under the version decided last, that this is one that the scenario
// allows, and that no change is left.
func (f *accordFleet) CheckEndState(now time.Duration) error {
	last := uint64(len(f.decided))
	if !slices.Contains(f.scenario.wantBodies, f.decided[last]) {
		return fmt.Errorf("decided last is version %d, %q", last, f.decided[last])
	}
	for _, p := range f.participants {
		switch v, _ := p.Current(); {
		case v != last:
			return fmt.Errorf("%s has version %d, and %d is decided", p.name, v, last)
		case p.clock.at(now) >= p.Admission().AcceptUntil:
			return fmt.Errorf("%s accepts no requests: %s", p.name, p.NotAcceptingReason())
		case p.ProposalPending():
			return fmt.Errorf("%s has no outcome of its proposal", p.name)
		}
	}
	if v := f.leader; v == nil || v.leading.NextTick(v.clock.at(now)) != accord.Never {
		return errors.New("there is no leader, or a change is still in progress")
	}
	return nil
}

// TestAccordUnderMutation: whatever happens to any single message, the guarantees hold, and within the time that
// docs/design/accord.md states all dispatchers accept requests under the version decided last.
func TestAccordUnderMutation(t *testing.T) {
	const ms = time.Millisecond
	first := scheduledProposal{10 * ms, "n0", "first"}
	change := scheduledProposal{600 * ms, "n1", "second"}
	for name, scenario := range map[string]accordScenario{
		"first":         {changes: []scheduledProposal{first}, wantBodies: []string{"first"}, faultsFrom: 1, faultsUntil: 420 * ms},
		"change":        {changes: []scheduledProposal{first, change}, wantBodies: []string{"second"}, faultsFrom: 560 * ms, faultsUntil: 750 * ms},
		"refused":       {changes: []scheduledProposal{first, {600 * ms, "n1", "odd"}}, wantBodies: []string{"first"}, faultsFrom: 560 * ms, faultsUntil: 750 * ms},
		"two at once":   {changes: []scheduledProposal{first, change, {600 * ms, "n2", "other"}}, wantBodies: []string{"second", "other"}, faultsFrom: 560 * ms, faultsUntil: 750 * ms},
		"overtaking":    {changes: []scheduledProposal{first, change}, wantBodies: []string{"second"}, maxDelay: 45 * ms, faultsFrom: 560 * ms, faultsUntil: 800 * ms},
		"cut off":       {changes: []scheduledProposal{first, change}, wantBodies: []string{"second"}, cutAt: 590 * ms, cutNodes: "n2 n3 n4 n5 n6", cutFor: 500 * ms, faultsFrom: 540 * ms, faultsUntil: 592 * ms},
		"leader lost":   {changes: []scheduledProposal{first, {660 * ms, "n1", "second"}}, wantBodies: []string{"second"}, deposeAt: 600 * ms, cutFor: 600 * ms, faultsFrom: 480 * ms, faultsUntil: 1300 * ms},
		"ready, stored": {changes: []scheduledProposal{first, change}, wantBodies: []string{"second"}, deposeOnDecision: true, entryReplicated: true, cutFor: 400 * ms, faultsFrom: 560 * ms, faultsUntil: 1000 * ms},
		"ready, gone":   {changes: []scheduledProposal{first, change}, wantBodies: []string{"second"}, deposeOnDecision: true, cutFor: 400 * ms, faultsFrom: 560 * ms, faultsUntil: 1300 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := scenario.setup(name)
			if s.MaxRuns = 12; name == "cut off" { // the scenario in which a late grant does most harm
				s.MaxRuns = 48
			}
			assert.Positive(t, mutate.Test(t, s).Runs)
		})
	}
}
