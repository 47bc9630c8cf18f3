package soak

import (
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPlan checks that the schedule of a seed does not depend on how many seeds are planned, that each pair of kinds
// overlaps at least three times in 200 seeds, that the faults of a group are of different kinds, and that no schedule for
// the shipped dispatcher has a fault that needs the shim.
func TestPlan(t *testing.T) {
	plan := Plan(200)
	assert.Equal(t, plan[:20], Plan(20))
	var pairs PairCounts
	seedsByProcesses, shipped := map[int]int{}, 0
	for i, s := range plan {
		assert.EqualValues(t, i+1, s.Seed)
		pairs.Add(s)
		seedsByProcesses[s.Processes]++
		require.Len(t, s.Faults, groups*faultsPerGroup)
		for group := range groups {
			kindsInGroup := map[FaultKind]bool{}
			for _, f := range s.Faults[group*faultsPerGroup : (group+1)*faultsPerGroup] {
				kindsInGroup[f.Kind] = true
				assert.False(t, f.Kind.needsShim() && !s.Shim)
			}
			assert.Len(t, kindsInGroup, faultsPerGroup)
		}
		if !s.Shim {
			shipped++
		}
	}
	assert.GreaterOrEqual(t, pairs.Min(), 3)
	assert.GreaterOrEqual(t, shipped, 40)
	assert.GreaterOrEqual(t, seedsByProcesses[24], 20)
	assert.GreaterOrEqual(t, seedsByProcesses[1], 40)
	assert.GreaterOrEqual(t, int(kindCount), 16)
}

// buildDispatcher builds the dispatcher with additional arguments of go build, such as a build tag, and returns its path.
func buildDispatcher(t *testing.T, name string, args ...string) string {
	out := filepath.Join(t.TempDir(), name)
	cmd := exec.Command("go", append(append([]string{"build", "-buildvcs=false", "-o", out}, args...), "tinsail/cmd/tinsail")...)
	text, err := cmd.CombinedOutput()
	require.NoError(t, err, string(text))
	return out
}

// timeIndependentFindings returns the findings of a result that a slow machine can't cause: breaches of rules without a time
// limit, and crashes. make soak checks all findings.
func timeIndependentFindings(r *Result) (out []string) {
	for _, text := range r.Breaches {
		rule, _, _ := strings.Cut(text, ":")
		if slices.Contains([]string{"twice", "answers", "forged", "refusal"}, rule) {
			out = append(out, text)
		}
	}
	for _, text := range r.InvariantViolations {
		if !isTimed(text) {
			out = append(out, text)
		}
	}
	for _, text := range r.Failures {
		if strings.Contains(text, "ended by itself") {
			out = append(out, text)
		}
	}
	return out
}

// TestTimeIndependentFindings checks that timeIndependentFindings keeps every finding that doesn't depend on time.
func TestTimeIndependentFindings(t *testing.T) {
	r := &Result{Breaches: []string{"told: x", "twice: y", "lost: z"}, InvariantViolations: []string{"time_told: a", "close_owed: b", "panic: c"},
		Failures: []string{"n1 ended by itself: exit status 2", "n0 did not end within 3s"}}
	assert.Equal(t, []string{"twice: y", "close_owed: b", "panic: c", "n1 ended by itself: exit status 2"}, timeIndependentFindings(r))
}

// TestSmallSoak plays a seed with three dispatchers, one with one dispatcher, and one with the shipped dispatcher. It
// accepts findings that depend on time, as the machine may be busy with other tests.
func TestSmallSoak(t *testing.T) {
	with := Binaries{Shipped: buildDispatcher(t, "tinsail"), Shim: buildDispatcher(t, "tinsail-shim", "-tags", "shim")}
	plan := Plan(4)
	for _, seed := range []int{1, 3, 4} {
		r, err := Play(plan[seed-1], with)
		require.NoError(t, err)
		assert.Positive(t, r.Judged)
		assert.Empty(t, timeIndependentFindings(r), "seed %d: %+v", seed, r.Schedule)
		t.Logf("seed %d: %d requests judged, %d excused", seed, r.Judged, r.Excused)
	}
}
