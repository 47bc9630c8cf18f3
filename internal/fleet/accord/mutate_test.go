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

// accordWorld is seven dispatchers and three voters that talk by the real codec, each with a clock at an edge of the
// drift or within it. The majority log is a model: entries are bytes as the codec writes them, stored by a voter as
// they came; one that two of three have is decided; who has the longest log leads next. A voter that cannot read an
// entry is dead for good, as internal/network/fleet/accord has it.
type accordWorld struct {
	day     *accordDay
	rnd     *rand.Rand
	voters  []*voterNode
	lessees []*lesseeNode
	term    uint64
	leader  *voterNode // nil between two terms
	electAt time.Duration
	lostAt  time.Duration // when the first leader was deposed

	decided  map[uint64]string // the oracle's: what a majority stored
	proposed map[string]bool
	bad      error
}

// accordDay is what happens and when, in real time; what is 0 never does.
type accordDay struct {
	changes []proposalAt
	depose  time.Duration // the leader loses its majority then,
	decides bool          // or as it gives the second version to the log,
	stored  bool          // ... which then reaches the others
	cuts    time.Duration // n5, or those named, are cut off from here, or with the leader,
	off     string
	mends   time.Duration // for so long
	travel  time.Duration // the longest that a message travels: 12 ms if 0
	want    []string      // what may be in force in the end
	from    time.Duration
	faults  time.Duration
}

type proposalAt struct {
	at   time.Duration
	node string
	body string
}

type accordClock struct{ rate, offset float64 }

func (c accordClock) at(real time.Duration) accord.Time {
	return accord.Time(c.offset + float64(real)*c.rate)
}

type voterNode struct {
	name   string
	clock  accordClock
	keeper *accord.Leader // while it leads
	state  accord.State
	log    [][]byte
	sentAt time.Duration
	apart  bool // no other voter hears it
	dead   bool
}

type lesseeNode struct {
	*accord.Participant
	name   string
	clock  accordClock
	to     int // the voter that it asks
	heard  time.Duration
	pause  time.Duration // asks nothing before
	made   int           // proposals
	wait   int           // reqs taken that have not begun
	newest uint64
}

const accordTick = 10 * time.Millisecond

var accordPlan = accord.LeaseConfig{Lease: 300 * time.Millisecond, Drift: 0.05}

func (d *accordDay) setup(name string) mutate.Setup {
	p := accordPlan
	late := 2*p.Lease/3 + accordTick
	named := 60*time.Millisecond + p.QuietPeriod() + 5*p.Lease + p.Drain() // docs/design/accord.md, after faults end
	return mutate.Setup{Name: "accord " + name, Seed: 1, Build: d.build, Tick: accordTick, From: d.from, Faults: d.faults, Late: late,
		Length: d.faults + late + time.Duration(float64(named)/(1-p.Drift)) + 2*accordTick, Steps: 20_000}
}

func (d *accordDay) build(seed uint64) mutate.World {
	w := &accordWorld{day: d, rnd: rand.New(rand.NewPCG(seed, 0)), decided: map[uint64]string{}, proposed: map[string]bool{}}
	clock := func() accordClock {
		return accordClock{1 + accordPlan.Drift*float64(w.rnd.IntN(3)-1), 1e12 * w.rnd.Float64()}
	}
	for i := range 3 {
		w.voters = append(w.voters, &voterNode{name: fmt.Sprintf("v%d", i), clock: clock()})
	}
	for i := range 7 {
		l := &lesseeNode{name: fmt.Sprintf("n%d", i), clock: clock()}
		var err error
		if l.Participant, err = accord.NewParticipant(accordPlan, l.name, 1000+uint64(i)); err != nil {
			panic(err)
		}
		w.lessees = append(w.lessees, l)
	}
	w.elect(0, w.voters[0])
	return w
}

func (w *accordWorld) Nodes() []string {
	return []string{"v0", "v1", "v2", "n0", "n1", "n2", "n3", "n4", "n5", "n6"}
}

func (w *accordWorld) fail(format string, a ...any) {
	if w.bad == nil {
		w.bad = fmt.Errorf(format, a...)
	}
}

// elect begins a term. Whatever the new leader has in its log is decided by its barrier, and replaces what
// others have.
func (w *accordWorld) elect(now time.Duration, v *voterNode) {
	v.state = accord.State{}
	for _, p := range v.log {
		if d, err := wire.DecodeDecision(p); err == nil {
			w.decide(d)
			v.state.Apply(d)
		}
	}
	w.term++
	k, err := accord.NewLeader(accordPlan, w.term, v.clock.at(now), v.state)
	if err != nil {
		panic(err)
	}
	w.leader, w.electAt, v.keeper = v, 0, k
	for _, o := range w.voters {
		if !o.apart && !o.dead {
			o.log = slices.Clone(v.log)
		}
	}
}

// decide notes an entry that is in force for ever.
func (w *accordWorld) decide(d accord.Decision) {
	was, ok := w.decided[d.Version]
	switch {
	case ok && was != string(d.Body):
		w.fail("version %d is decided as %q and as %q", d.Version, was, d.Body)
	case !w.proposed[string(d.Body)]:
		w.fail("version %d is %q, which nobody proposed", d.Version, d.Body)
	}
	w.decided[d.Version] = string(d.Body)
}

// depose takes the leader's majority; it does not hear of it but by asking.
func (w *accordWorld) depose(now time.Duration) {
	w.leader.keeper, w.leader.apart = nil, true
	w.leader, w.lostAt, w.electAt = nil, now, now+50*time.Millisecond
}

func (w *accordWorld) cut(now time.Duration, name string) bool {
	from := w.day.cuts
	if from == 0 {
		from = w.lostAt
	}
	return strings.Contains(cmp.Or(w.day.off, "n5"), name) && from > 0 && now >= from && now < from+w.day.mends
}

func (w *accordWorld) message(now time.Duration, from, to string, b []byte) []mutate.Message {
	if w.cut(now, from) || w.cut(now, to) {
		return nil
	}
	return []mutate.Message{{From: from, To: to, Bytes: b, Delay: time.Millisecond + time.Duration(w.rnd.Int64N(int64(cmp.Or(w.day.travel, 12*time.Millisecond))))}}
}

func (w *accordWorld) Tick(now time.Duration, node string) []mutate.Message {
	if node[0] == 'v' {
		return w.tickVoter(now, w.voters[node[1]-'0'])
	}
	return w.turn(now, w.lessees[node[1]-'0'], true)
}

func (w *accordWorld) tickVoter(now time.Duration, v *voterNode) (out []mutate.Message) {
	if v.name == "v0" { // the world's own turn
		if w.day.depose > 0 && now >= w.day.depose && w.lostAt == 0 {
			w.depose(now)
		}
		if w.lostAt > 0 && v.apart && now >= w.lostAt+accordPlan.Lease {
			if v.apart = false; w.leader != nil {
				v.log = slices.Clone(w.leader.log)
			}
		}
		if w.electAt > 0 && now >= w.electAt {
			var can []*voterNode
			for _, o := range w.voters {
				if !o.apart && !o.dead {
					can = append(can, o)
				}
			}
			slices.SortStableFunc(can, func(a, b *voterNode) int { return len(b.log) - len(a.log) })
			if len(can) >= 2 {
				w.elect(now, can[0])
			}
		}
	}
	if v != w.leader {
		return nil
	}
	v.keeper.Tick(v.clock.at(now))
	out = w.lead(now, v)
	if v == w.leader && now >= v.sentAt+30*time.Millisecond {
		out = append(out, w.replicate(now, v)...)
	}
	return out
}

// replicate sends the next entry to each voter that lacks one.
func (w *accordWorld) replicate(now time.Duration, v *voterNode) (out []mutate.Message) {
	v.sentAt = now
	for _, o := range w.voters {
		if len(o.log) < len(v.log) && !o.dead && !o.apart {
			out = append(out, w.message(now, v.name, o.name, v.log[len(o.log)])...)
		}
	}
	return out
}

// lead does what the keeper asks for.
func (w *accordWorld) lead(now time.Duration, v *voterNode) (out []mutate.Message) {
	if d, ok := v.keeper.TakeDecision(); ok {
		v.log = append(v.log, wire.EncodeDecision(d))
		lose := w.day.decides && d.Version == 2 && w.lostAt == 0
		if !lose || w.day.stored {
			out = w.replicate(now, v)
		}
		if lose {
			w.depose(now)
			return out
		}
	}
	if v.keeper.TakePoll() {
		for _, l := range w.lessees {
			if w.voters[l.to] == v {
				out = append(out, w.message(now, v.name, l.name, wire.EncodePoll())...)
			}
		}
	}
	v.keeper.TakeEvents()
	return out
}

// turn does what a dispatcher's driver does (internal/network/fleet/accord).
func (w *accordWorld) turn(now time.Duration, l *lesseeNode, tick bool) (out []mutate.Message) {
	t := l.clock.at(now)
	if tick {
		switch {
		case l.wait > 0 && w.rnd.IntN(3) == 0:
			l.wait--
		case t < l.Admission().AcceptUntil && w.rnd.IntN(4) == 0:
			l.wait++
		}
		w.propose(now, l)
		if now >= l.heard+accordPlan.Lease/2 {
			l.to, l.heard = (l.to+1)%3, now
			l.RequestNow()
		}
	}
	l.Tick(t, l.wait)
	for _, c := range l.TakeChecks() {
		var err error
		if l.name == "n6" && strings.HasPrefix(string(c.Body), "odd") {
			err = errors.New("an unknown key")
		}
		l.ReportCheck(t, c, err)
	}
	if v, body, ok := l.TakeActivation(); ok && w.decided[v] != string(body) {
		w.fail("%s puts version %d in force as %q, which is decided as %q", l.name, v, body, w.decided[v])
	}
	l.TakeEvents()
	if now < l.pause {
		return nil
	}
	if a, due := l.NextRequest(t); due {
		out = w.message(now, l.name, w.voters[l.to].name, wire.EncodeLeaseRequest(a))
	}
	return out
}

// propose has a dispatcher propose what the day has, when it has no other under way.
func (w *accordWorld) propose(now time.Duration, l *lesseeNode) {
	n := 0
	for i, p := range w.day.changes {
		if p.node != l.name {
			continue
		}
		if n++; n > l.made && now >= p.at && !l.ProposalPending() {
			l.made++
			w.proposed[p.body] = true
			if err := l.Propose(accord.ProposalBit|uint64(i+1)<<32|w.rnd.Uint64N(1<<32), []byte(p.body)); err != nil {
				panic(err)
			}
		}
	}
}

func (w *accordWorld) Deliver(now time.Duration, m mutate.Message) []mutate.Message {
	if m.To[0] == 'v' {
		v := w.voters[m.To[1]-'0']
		if m.From[0] == 'v' {
			return w.store(now, v, m)
		}
		return w.asked(now, v, m)
	}
	l := w.lessees[m.To[1]-'0']
	msg, err := wire.Decode(m.Bytes)
	if err != nil {
		return nil
	}
	switch {
	case msg.Poll:
		l.RequestNow()
	case msg.LeaseResponse == nil || !msg.LeaseResponse.IsLeader && m.From != w.voters[l.to].name:
		return nil
	case !msg.LeaseResponse.IsLeader:
		l.heard = now
		if next := slices.IndexFunc(w.voters, func(v *voterNode) bool { return v.name == msg.LeaseResponse.Leader }); next >= 0 {
			l.to = next
		} else {
			l.to, l.pause = (l.to+1)%3, now+20*time.Millisecond
		}
		l.RequestNow()
	default: // of a link given up as well: a process that was stopped reads what waits before it looks at its clock
		l.heard = now
		l.HandleResponse(l.clock.at(now), *msg.LeaseResponse)
	}
	return w.turn(now, l, false)
}

// store is a voter that gets an entry. What is no entry at all is not taken for one: raft's streams are apart.
func (w *accordWorld) store(now time.Duration, v *voterNode, m mutate.Message) []mutate.Message {
	if _, err := wire.Decode(m.Bytes); err == nil {
		return nil
	}
	from := w.voters[m.From[1]-'0']
	if v.dead || v.apart || v == w.leader || w.leader != nil && from != w.leader || len(v.log) >= len(from.log) ||
		slices.ContainsFunc(v.log, func(p []byte) bool { return bytes.Equal(p, m.Bytes) }) {
		return nil
	}
	v.log = append(v.log, m.Bytes)
	if _, err := wire.DecodeDecision(m.Bytes); err != nil {
		v.dead = true
	}
	if from != w.leader || len(v.log) <= int(w.leader.state.Version) {
		return nil
	}
	d, err := wire.DecodeDecision(from.log[len(v.log)-1])
	if err != nil {
		panic(err)
	}
	w.decide(d)
	from.state.Apply(d)
	from.keeper.Applied(from.clock.at(now), from.state)
	return w.lead(now, from)
}

// asked is a voter that gets an ask: only one that a majority hears speaks as the leader.
func (w *accordWorld) asked(now time.Duration, v *voterNode, m mutate.Message) []mutate.Message {
	msg, err := wire.Decode(m.Bytes)
	if err != nil || msg.LeaseRequest == nil || v.dead {
		return nil
	}
	if v != w.leader {
		a := accord.LeaseResponse{Peer: msg.LeaseRequest.Peer, Epoch: msg.LeaseRequest.Epoch, Seq: msg.LeaseRequest.Seq}
		if w.leader != nil && !v.apart {
			a.Leader = w.leader.name
		}
		return w.message(now, v.name, m.From, wire.EncodeLeaseResponse(a))
	}
	a := v.keeper.Handle(v.clock.at(now), *msg.LeaseRequest)
	out := w.message(now, v.name, m.From, wire.EncodeLeaseResponse(a))
	return append(out, w.lead(now, v)...)
}

// Check: at one moment all that may take or start, may by one version; what is held is what was decided, and never
// goes back; a number has one body, which somebody proposed.
func (w *accordWorld) Check(now time.Duration) error {
	by, who := uint64(0), ""
	for _, l := range w.lessees {
		v, body := l.Current()
		if is, ok := w.decided[v]; v > 0 && (!ok || is != string(body)) {
			return fmt.Errorf("%s holds version %d as %q, which is decided as %q", l.name, v, body, is)
		}
		if v < l.newest {
			return fmt.Errorf("%s went from version %d back to %d", l.name, l.newest, v)
		}
		l.newest = v
		g, t := l.Admission(), l.clock.at(now)
		if t >= g.AcceptUntil && t >= g.StartUntil {
			continue
		}
		if by != 0 && by != g.Version {
			return fmt.Errorf("%s takes or starts by version %d and %s by %d", who, by, l.name, g.Version)
		}
		by, who = g.Version, l.name
	}
	return w.bad
}

// End: all take by the version decided last, which is one that the day allows, and nothing is under way.
func (w *accordWorld) End(now time.Duration) error {
	last := uint64(len(w.decided))
	if !slices.Contains(w.day.want, w.decided[last]) {
		return fmt.Errorf("decided last is version %d, %q", last, w.decided[last])
	}
	for _, l := range w.lessees {
		switch v, _ := l.Current(); {
		case v != last:
			return fmt.Errorf("%s holds version %d, and %d is decided", l.name, v, last)
		case l.clock.at(now) >= l.Admission().AcceptUntil:
			return fmt.Errorf("%s takes nothing: %s", l.name, l.NotAcceptingReason())
		case l.ProposalPending():
			return fmt.Errorf("%s knows no outcome of its proposal", l.name)
		}
	}
	if v := w.leader; v == nil || v.keeper.NextTick(v.clock.at(now)) != accord.Never {
		return errors.New("no leader, or a change is under way still")
	}
	return nil
}

// TestAccordUnderMutation: whatever happens to any one message, the promises hold, and all take by the version
// decided last within the time that docs/design/accord.md names.
func TestAccordUnderMutation(t *testing.T) {
	const ms = time.Millisecond
	first := proposalAt{10 * ms, "n0", "first"}
	change := proposalAt{600 * ms, "n1", "second"}
	for name, d := range map[string]accordDay{
		"first":         {changes: []proposalAt{first}, want: []string{"first"}, from: 1, faults: 420 * ms},
		"change":        {changes: []proposalAt{first, change}, want: []string{"second"}, from: 560 * ms, faults: 750 * ms},
		"refused":       {changes: []proposalAt{first, {600 * ms, "n1", "odd"}}, want: []string{"first"}, from: 560 * ms, faults: 750 * ms},
		"two at once":   {changes: []proposalAt{first, change, {600 * ms, "n2", "other"}}, want: []string{"second", "other"}, from: 560 * ms, faults: 750 * ms},
		"overtaking":    {changes: []proposalAt{first, change}, want: []string{"second"}, travel: 45 * ms, from: 560 * ms, faults: 800 * ms},
		"cut off":       {changes: []proposalAt{first, change}, want: []string{"second"}, cuts: 590 * ms, off: "n2 n3 n4 n5 n6", mends: 500 * ms, from: 540 * ms, faults: 592 * ms},
		"leader lost":   {changes: []proposalAt{first, {660 * ms, "n1", "second"}}, want: []string{"second"}, depose: 600 * ms, mends: 600 * ms, from: 480 * ms, faults: 1300 * ms},
		"ready, stored": {changes: []proposalAt{first, change}, want: []string{"second"}, decides: true, stored: true, mends: 400 * ms, from: 560 * ms, faults: 1000 * ms},
		"ready, gone":   {changes: []proposalAt{first, change}, want: []string{"second"}, decides: true, mends: 400 * ms, from: 560 * ms, faults: 1300 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := d.setup(name)
			if s.Plays = 12; name == "cut off" { // where a late grant does most
				s.Plays = 48
			}
			assert.Positive(t, mutate.Test(t, s).Played)
		})
	}
}
