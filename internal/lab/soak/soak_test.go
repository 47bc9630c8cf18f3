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

// TestPlan: a seed's schedule is the same however many are planned, every pair of kinds overlaps in at least three of 200 seeds, each
// group has troubles of different kinds, and the program as shipped is asked for nothing that needs the shim.
func TestPlan(t *testing.T) {
	plan := Plan(200)
	assert.Equal(t, plan[:20], Plan(20))
	var pairs PairCounts
	sizes, shipped := map[int]int{}, 0
	for i, s := range plan {
		assert.EqualValues(t, i+1, s.Seed)
		pairs.Add(s)
		sizes[s.Processes]++
		require.Len(t, s.Faults, groups*perGroup)
		for g := range groups {
			in := map[FaultKind]bool{}
			for _, x := range s.Faults[g*perGroup : (g+1)*perGroup] {
				in[x.Kind] = true
				assert.False(t, x.Kind.needsShim() && !s.Shim)
			}
			assert.Len(t, in, perGroup)
		}
		if !s.Shim {
			shipped++
		}
	}
	assert.GreaterOrEqual(t, pairs.Min(), 3)
	assert.GreaterOrEqual(t, shipped, 40)
	assert.GreaterOrEqual(t, sizes[24], 20)
	assert.GreaterOrEqual(t, sizes[1], 40)
	assert.GreaterOrEqual(t, int(kinds), 16)
}

// build makes the program, as it is shipped or with a build tag.
func build(t *testing.T, name string, args ...string) string {
	out := filepath.Join(t.TempDir(), name)
	cmd := exec.Command("go", append(append([]string{"build", "-buildvcs=false", "-o", out}, args...), "tinsail/cmd/tinsail")...)
	text, err := cmd.CombinedOutput()
	require.NoError(t, err, string(text))
	return out
}

// untimed are those of a result's findings that no slow machine can bring about: rules without a time, and crashes. make soak judges all.
func untimed(r *Result) (out []string) {
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

// TestUntimed: the small form passes over nothing that is without a time.
func TestUntimed(t *testing.T) {
	r := &Result{Breaches: []string{"told: x", "twice: y", "lost: z"}, InvariantViolations: []string{"time_told: a", "close_owed: b", "panic: c"},
		Failures: []string{"n1 ended by itself: exit status 2", "n0 did not end within 3s"}}
	assert.Equal(t, []string{"twice: y", "close_owed: b", "panic: c", "n1 ended by itself: exit status 2"}, untimed(r))
}

// TestSmallSoak plays a seed of one process, one of three and one with the program as shipped, and wants nothing broken that does not
// hang on time: the machine may be busy with other tests.
func TestSmallSoak(t *testing.T) {
	with := Binaries{Shipped: build(t, "tinsail"), Shim: build(t, "tinsail-shim", "-tags", "shim")}
	plan := Plan(4)
	for _, seed := range []int{1, 3, 4} {
		r, err := Play(plan[seed-1], with)
		require.NoError(t, err)
		assert.Positive(t, r.Judged)
		assert.Empty(t, untimed(r), "seed %d: %+v", seed, r.Schedule)
		t.Logf("seed %d: %d requests judged, %d excused", seed, r.Judged, r.Excused)
	}
}
