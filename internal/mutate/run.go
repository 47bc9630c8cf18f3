package mutate

import (
	"bytes"
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Run does runs without a mutation until two in a row are identical, which shows that the system is
// deterministic. Then it does one run for each mutation, or for a sample of them.
func (s Setup) Run() Report {
	start := time.Now()
	rep := Report{Name: s.Name, Seed: s.Seed, ByKind: map[string]int{}, Excluded: map[string]int{}}
	log, nodes, fail := s.baseline()
	if fail != nil {
		rep.Failed, rep.Failures = 1, []Failure{*fail}
		return rep
	}
	mutations := s.planMutations(log, nodes, &rep)
	rep.Possible = len(mutations)
	mutations = s.sample(mutations)
	failures := make([]*Failure, len(mutations))
	s.forEach(len(mutations), func(i int) { failures[i] = s.runMutation(mutations[i]) })
	for i, m := range mutations {
		rep.Runs++
		rep.ByKind[m.Kind.String()]++
		if f := failures[i]; f != nil {
			if rep.Failed++; len(rep.Failures) < 10 {
				rep.Failures = append(rep.Failures, *f)
			}
		}
	}
	rep.Elapsed = time.Since(start)
	return rep
}

// RunOne runs one mutation. It returns the trace in any case, and the failure if there is one.
func (s Setup) RunOne(m Mutation) (lines []string, fail *Failure) {
	log, nodes, fail := s.baseline()
	if fail != nil {
		return fail.Trace, fail
	}
	var rep Report
	for _, c := range s.planMutations(log, nodes, &rep) {
		if c.Mutation == m {
			t := &trace{}
			var err error
			var r *run
			s.wrapRun(func() { r, err = s.simulate(&c, t) })
			if err != nil {
				fail = &Failure{Setup: s.Name, Seed: s.Seed, Mutation: &m, At: r.now, Err: err, Trace: t.lines()}
			}
			return t.lines(), fail
		}
	}
	return nil, &Failure{Setup: s.Name, Seed: s.Seed, Mutation: &m, Err: fmt.Errorf("the run has no such mutation, or it is excluded")}
}

// wrapRun calls run, through Setup.WrapRun if it is set.
func (s *Setup) wrapRun(run func()) {
	if s.WrapRun != nil {
		s.WrapRun(run)
	} else {
		run()
	}
}

// maxBaselineRuns limits the runs without a mutation, of which two in a row must send the same messages.
// Real goroutines on a fake clock (a whole dispatcher on in-memory connections) are scheduled in any
// order at one instant, so on a busy machine the messages of two runs occasionally differ.
const maxBaselineRuns = 24

// baseline does runs without a mutation until two in a row send the same messages, and returns these.
func (s *Setup) baseline() (log []sentMessage, nodes []string, fail *Failure) {
	for i := range maxBaselineRuns {
		t := &trace{}
		var r *run
		var err error
		s.wrapRun(func() { r, err = s.simulate(nil, t) })
		if err != nil {
			return nil, nil, &Failure{Setup: s.Name, Seed: s.Seed, At: r.now, Err: err, Trace: t.lines()}
		}
		if i > 0 && slices.EqualFunc(log, r.sentLog, sentMessage.equal) {
			return log, nodes, nil
		}
		log, nodes = r.sentLog, r.system.Nodes()
	}
	return nil, nil, &Failure{Setup: s.Name, Seed: s.Seed, Err: fmt.Errorf("runs with the same seed differ: the system is not deterministic")}
}

func (s sentMessage) equal(o sentMessage) bool {
	return s.link() == o.link() && s.sentAt == o.sentAt && s.due == o.due && bytes.Equal(s.Bytes, o.Bytes)
}

// runMutation runs a mutation. If it fails, it is run again to record the trace.
func (s *Setup) runMutation(c plannedMutation) *Failure {
	var r *run
	var err error
	s.wrapRun(func() { r, err = s.simulate(&c, nil) })
	if err == nil {
		return nil
	}
	t := &trace{}
	f := &Failure{Setup: s.Name, Seed: s.Seed, Mutation: &c.Mutation, At: r.now, Err: err}
	var rerunErr error
	s.wrapRun(func() { _, rerunErr = s.simulate(&c, t) })
	if f.Trace = t.lines(); rerunErr == nil || firstLine(rerunErr) != firstLine(err) {
		f.Trace = append(f.Trace, fmt.Sprintf("the rerun returned a different result: %v", rerunErr))
	}
	return f
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// forEach calls do with 0 to n-1, concurrently unless Setup.WrapRun is set.
func (s *Setup) forEach(n int, do func(i int)) {
	if s.WrapRun != nil {
		for i := range n {
			do(i)
		}
		return
	}
	var next atomic.Int64
	var done sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), n) {
		done.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				do(i)
			}
		})
	}
	done.Wait()
}

// planMutations returns every mutation of the run's messages that isn't excluded, and counts messages
// and excluded mutations in rep.
func (s *Setup) planMutations(log []sentMessage, nodes []string, rep *Report) (out []plannedMutation) {
	kinds := s.Kinds
	if kinds == nil {
		kinds = DatagramKinds
	}
	faultsUntil := s.FaultsUntil
	if faultsUntil == 0 {
		faultsUntil = s.Duration
	}
	earlier := map[[2]string][]int{} // indexes of the link's messages so far
	next := make([]int, len(log))    // index of the link's next message, or -1
	last := map[[2]string]int{}
	for i, m := range log {
		next[i] = -1
		if j, ok := last[m.link()]; ok {
			next[j] = i
		}
		last[m.link()] = i
	}
	for i, m := range log {
		if m.sentAt > faultsUntil {
			break
		}
		if m.sentAt < s.FaultsFrom {
			earlier[m.link()] = append(earlier[m.link()], i)
			continue
		}
		rep.Messages++
		for _, k := range kinds {
			for variant, c := range s.planVariants(k, log, i, next[i], earlier[m.link()], nodes) {
				c.Mutation = Mutation{i, k, variant}
				if s.Exclude != nil && len(c.replacements) > 0 && k != Duplicated {
					if reason := s.Exclude(c.Mutation, m.Message, c.replacements[0]); reason != "" {
						if rep.Excluded != nil {
							rep.Excluded[reason]++
						}
						continue
					}
				}
				out = append(out, c)
			}
		}
		earlier[m.link()] = append(earlier[m.link()], i)
	}
	return out
}

// planVariants returns the mutations of one kind of message i. next is the index of the link's next
// message or -1, earlier are those of its earlier ones. The random choices depend only on the seed, the
// message and the kind, so that a mutation is the same whichever others are run.
func (s *Setup) planVariants(k Kind, log []sentMessage, i, next int, earlier []int, nodes []string) (out []plannedMutation) {
	m := log[i].Message
	rnd := rand.New(rand.NewPCG(s.Seed, uint64(i)<<8|uint64(k)))
	maxVariants := cmp.Or(s.MaxVariants, 3)
	replacedBy := func(b []byte) plannedMutation { return plannedMutation{replacements: []Message{{m.From, m.To, b, 0}}} }
	switch k {
	case Lost:
		return []plannedMutation{{}}
	case Duplicated:
		return []plannedMutation{{replacements: []Message{m, m}}}
	case Delayed:
		out = []plannedMutation{{replacements: []Message{m}, delayedUntil: log[i].due + s.ExtraDelay}}
		if next >= 0 {
			out = append(out, plannedMutation{replacements: []Message{m}, delayedUntil: max(log[next].due+1, log[i].due+s.ExtraDelay/4)})
		}
	case Reordered:
		if next >= 0 {
			return []plannedMutation{{replacements: []Message{m}}}
		}
	case Corrupted:
		var digits []int // replaced by other digits, which a text parser is most likely to accept
		for i, c := range m.Bytes {
			if c >= '0' && c <= '9' {
				digits = append(digits, i)
			}
		}
		for d := range min(maxVariants, len(m.Bytes)) {
			b := bytes.Clone(m.Bytes)
			if at := 0; d%2 == 0 && len(digits) > 0 {
				at = digits[rnd.IntN(len(digits))]
				b[at] = '0' + (b[at]-'0'+byte(1+rnd.IntN(9)))%10
			} else {
				at = rnd.IntN(len(b))
				b[at] ^= byte(1 + rnd.IntN(255))
			}
			out = append(out, replacedBy(b))
		}
	case Truncated:
		for _, at := range pickIndexes(rnd, len(m.Bytes), maxVariants) {
			out = append(out, replacedBy(bytes.Clone(m.Bytes[:at])))
		}
	case Replayed:
		for _, j := range pickIndexes(rnd, len(earlier), maxVariants) {
			if b := log[earlier[j]].Bytes; !bytes.Equal(b, m.Bytes) {
				out = append(out, replacedBy(bytes.Clone(b)))
			}
		}
	case Misrouted:
		for _, j := range pickIndexes(rnd, len(nodes), maxVariants+1) {
			if nodes[j] != m.To && len(out) < maxVariants {
				c := plannedMutation{replacements: []Message{{m.From, nodes[j], m.Bytes, 0}}}
				if len(out)%2 == 1 {
					c.replacements = append(c.replacements, m)
				}
				out = append(out, c)
			}
		}
	case Split:
		n := s.MaxSplits
		if n < 0 {
			n = len(m.Bytes)
		}
		for _, at := range pickIndexes(rnd, max(len(m.Bytes)-1, 0), n) {
			out = append(out, plannedMutation{replacements: []Message{{m.From, m.To, m.Bytes[:at+1], 0}, {m.From, m.To, m.Bytes[at+1:], 0}}})
		}
	}
	return out
}

// pickIndexes returns up to limit random numbers below n in ascending order, always including n-1.
func pickIndexes(rnd *rand.Rand, n, limit int) []int {
	all := rnd.Perm(n)
	if len(all) <= limit {
		slices.Sort(all)
		return all
	}
	all = all[:limit]
	if limit > 0 && !slices.Contains(all, n-1) {
		all[0] = n - 1
	}
	slices.Sort(all)
	return all
}

// sample returns at most MaxRuns of the mutations, chosen at random, equally many of each kind as far
// as there are enough.
func (s *Setup) sample(all []plannedMutation) []plannedMutation {
	if s.MaxRuns <= 0 || len(all) <= s.MaxRuns {
		return all
	}
	rnd := rand.New(rand.NewPCG(s.Seed, 1<<63))
	var byKind [kinds][]plannedMutation
	for _, c := range all {
		byKind[c.Kind] = append(byKind[c.Kind], c)
	}
	for _, list := range byKind {
		rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	var out []plannedMutation
	for len(out) < s.MaxRuns {
		for k := range byKind {
			if len(byKind[k]) > 0 && len(out) < s.MaxRuns {
				out, byKind[k] = append(out, byKind[k][0]), byKind[k][1:]
			}
		}
	}
	slices.SortStableFunc(out, func(a, b plannedMutation) int { return a.Message - b.Message })
	return out
}

// Test runs s, as changed by the environment (see the package comment), and reports each failure to t.
func Test(t *testing.T, s Setup) Report {
	t.Helper()
	if v := os.Getenv("MUTATE_SEED"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			t.Fatalf("MUTATE_SEED: %v", err)
		}
		s.Seed = n
	}
	switch v := os.Getenv("MUTATE_PLAYS"); v {
	case "":
	case "all":
		s.MaxRuns = 0
		if s.MaxSplits > 0 {
			s.MaxSplits = -1
		}
	default:
		n, err := strconv.Atoi(v)
		if err != nil {
			t.Fatalf("MUTATE_PLAYS: %v", err)
		}
		s.MaxRuns = n
	}
	if v := os.Getenv("MUTATE_ONLY"); v != "" {
		m, err := ParseMutation(v)
		if err != nil {
			t.Fatalf("MUTATE_ONLY: %v", err)
		}
		trace, fail := s.RunOne(m)
		t.Log(strings.Join(trace, "\n"))
		if fail != nil {
			t.Error(fail.Error())
		}
		return Report{Name: s.Name, Seed: s.Seed, Runs: 1}
	}
	rep := s.Run()
	t.Log(rep)
	for _, f := range rep.Failures {
		t.Error(f.Error())
	}
	return rep
}
