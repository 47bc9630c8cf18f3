package report

import (
	"bytes"
	"context"
	"image/png"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/lab/experiment"
	"tinsail/internal/lab/fleet"
	"tinsail/internal/lab/sim"
)

func compareSmallFleet(t *testing.T) *experiment.Report {
	set := balance.Settings{Instances: 1, Zones: 1, Kinds: 1, MaxAttempts: 5, TellsStart: true, ConnectTimeout: 120, Tick: 2,
		Rules:   balance.Rules{AnswerSlack: 8, AskEvery: 10000, FallMultiple: 3, FallWindow: 2000, StartCapacity: 0.31, WarmAfter: 9000, DrainGrace: 500},
		Classes: []balance.Class{{Worth: 1, Aim: 120, Stretch: 2, Deadline: 5000, Kind: -1}}}
	k := fleet.Kind{Name: "std", Cores: 2, Speed: 1, Slots: 2, QueueLimit: 20}
	sc := sim.Scenario{Length: 3000, Rate: 20, Work: 100, Aim: 120, Deadline: 5000, Backends: []sim.Backend{{Name: "a", Kind: k}, {Name: "b", Kind: k}}}
	r, err := experiment.Compare(context.Background(), sc, experiment.Variant{Name: "module", Settings: set, Policy: sim.Module},
		experiment.Variant{Name: "<random>", Settings: set, Policy: experiment.Random}, experiment.Options{MaxSeeds: 3, MinSeeds: 3, StopWidth: -1})
	require.NoError(t, err)
	return &r
}

// TestReport: the page refers to no other file and escapes names, and each plot is a valid image.
func TestReport(t *testing.T) {
	r := compareSmallFleet(t)
	var page bytes.Buffer
	require.NoError(t, HTML(&page, "a & b", r))
	text := page.String()
	assert.Contains(t, text, "a &amp; b")
	assert.Contains(t, text, "&lt;random&gt;")
	assert.Equal(t, 5, strings.Count(text, `src="data:image/svg&#43;xml;base64,`)+strings.Count(text, `src="data:image/svg+xml;base64,`))
	assert.NotContains(t, text, "http")
	images, names, err := Images(r, "png")
	require.NoError(t, err)
	assert.Equal(t, []string{"service", "latency", "load", "answers", "difference"}, names)
	for _, n := range names {
		_, err := png.Decode(bytes.NewReader(images[n]))
		assert.NoError(t, err, n)
	}
	var run bytes.Buffer
	Run(&run, &r.Pairs[0].A)
	assert.Contains(t, run.String(), "rules              kept")
}

func TestVerdict(t *testing.T) {
	for want, r := range map[string]experiment.Report{
		"B serves more":         {ValidPairs: 9, Diff: experiment.Estimate{Low: 0.01, High: 0.02}},
		"B serves less":         {ValidPairs: 9, Diff: experiment.Estimate{Low: -0.02, High: -0.01}},
		"no difference is seen": {ValidPairs: 9, Diff: experiment.Estimate{Low: -0.01, High: 0.01}},
		"nothing can be said: too few seeds without a broken rule": {ValidPairs: 1},
	} {
		assert.Equal(t, want, Verdict(&r))
	}
}
