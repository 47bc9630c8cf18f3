package accordhistory

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const ms = int64(time.Millisecond)

var rules = Rules{ClockTolerance: 20 * time.Millisecond, Lease: 100 * time.Millisecond, SettleTimeout: 300 * time.Millisecond, MaxStartsAfterResume: 1}

// validHistory keeps all rules: version 1 is decided, b refuses a change, change "2a" is decided while a and c have faults, and
// a request breaks because its process was killed.
const validHistory = `
{"t":1,"side":"rig","event":"began","process":"a"}
{"t":1,"side":"rig","event":"began","process":"b"}
{"t":1,"side":"rig","event":"began","process":"c"}
{"t":5,"side":"control","process":"a","event":"checking","version":1,"change":"1a"}
{"t":10,"side":"control","process":"a","event":"decided","version":1,"change":"1a","by":"a"}
{"t":11,"side":"control","process":"b","event":"decided","version":1,"change":"1a","by":"a"}
{"t":12,"side":"control","process":"a","event":"in force","version":1,"change":"1a"}
{"t":12,"side":"control","process":"b","event":"in force","version":1,"change":"1a"}
{"t":12,"side":"control","process":"c","event":"in force","version":1,"change":"1a"}
{"t":13,"side":"rig","event":"over"}
{"t":20,"side":"client","req":"r1","dispatcher":"a","asked":true}
{"t":21,"side":"backend","backend":"w","dispatcher":"a","req":"r1","version":1,"started":true}
{"t":30,"side":"backend","backend":"w","dispatcher":"a","req":"r1","version":1}
{"t":31,"side":"client","req":"r1","status":200}
{"t":40,"side":"control","process":"a","event":"checking","version":2,"change":"1b"}
{"t":41,"side":"control","process":"b","event":"checked","version":2,"change":"1b","why":"an unknown key"}
{"t":42,"side":"control","process":"a","event":"withdrawn","version":2,"change":"1b","why":"an unknown key"}
{"t":42,"side":"control","process":"b","event":"withdrawn","version":2,"change":"1b","why":"an unknown key"}
{"t":400,"side":"rig","event":"fault"}
{"t":400,"side":"rig","event":"cut","process":"c"}
{"t":410,"side":"client","req":"r2","dispatcher":"c","asked":true}
{"t":420,"side":"backend","backend":"w","dispatcher":"c","req":"r2","version":1,"started":true}
{"t":425,"side":"client","req":"r3","dispatcher":"a","asked":true}
{"t":430,"side":"rig","event":"ended","process":"a"}
{"t":431,"side":"client","req":"r3"}
{"t":440,"side":"rig","event":"stopped","process":"c"}
{"t":500,"side":"control","process":"b","event":"checking","version":2,"change":"2a"}
{"t":520,"side":"control","process":"b","event":"decided","version":2,"change":"2a","by":"b"}
{"t":530,"side":"control","process":"b","event":"in force","version":2,"change":"2a"}
{"t":531,"side":"client","req":"r4","dispatcher":"b","asked":true}
{"t":532,"side":"backend","backend":"w","dispatcher":"b","req":"r4","version":2,"started":true}
{"t":533,"side":"client","req":"r4","status":200}
{"t":600,"side":"rig","event":"woken","process":"c"}
{"t":600,"side":"rig","event":"mended","process":"c"}
{"t":601,"side":"control","process":"c","event":"fenced","version":1,"why":"lease over"}
{"t":605,"side":"client","req":"r2","status":502}
{"t":605,"side":"backend","backend":"w","dispatcher":"c","req":"r9","version":1,"started":true}
{"t":610,"side":"rig","event":"began","process":"a"}
{"t":611,"side":"control","process":"a","event":"decided","version":1,"change":"1a","by":"a"}
{"t":612,"side":"control","process":"a","event":"decided","version":2,"change":"2a","by":"b"}
{"t":620,"side":"rig","event":"over"}
{"t":700,"side":"control","process":"c","event":"in force","version":2,"change":"2a"}
{"t":701,"side":"control","process":"a","event":"in force","version":2,"change":"2a"}
{"t":999,"side":"client","req":"r5","dispatcher":"b","asked":true}
{"t":999,"side":"client","req":"r5","status":503}
`

// historyWith returns validHistory less the lines that contain without, if it isn't empty, plus more. Texts give t in milliseconds.
func historyWith(t *testing.T, without string, more ...string) []Line {
	var texts []string
	for _, text := range append(strings.Split(strings.TrimSpace(validHistory), "\n"), more...) {
		if without == "" || !strings.Contains(text, without) {
			texts = append(texts, text)
		}
	}
	lines, err := Read(strings.NewReader(strings.Join(texts, "\n")))
	require.NoError(t, err)
	for i := range lines {
		lines[i].Time *= ms
	}
	return lines
}

// TestCheckFindsEachViolation checks that validHistory has no violation, and that each fault breaks its own rule and no other.
func TestCheckFindsEachViolation(t *testing.T) {
	assert.Empty(t, Check(historyWith(t, ""), rules))
	for name, c := range map[string]struct {
		want    Rule
		without string
		more    []string
	}{
		"a start under the old version after one under the new": {OneVersionAtOnce, "", []string{`{"t":560,"side":"backend","dispatcher":"b","req":"x","version":1,"started":true}`}},
		"a start under the new version before the last under the old": {OneVersionAtOnce, "", []string{`{"t":399,"side":"backend","dispatcher":"b","req":"x","version":2,"started":true}`,
			`{"t":398,"side":"control","process":"b","event":"decided","version":2,"change":"2a","by":"b"}`}},
		"a second start after a resumption":           {OneVersionAtOnce, "", []string{`{"t":606,"side":"backend","dispatcher":"c","req":"x","version":1,"started":true}`}},
		"a start long after a resumption":             {OneVersionAtOnce, "", []string{`{"t":650,"side":"backend","dispatcher":"c","req":"x","version":1,"started":true}`}},
		"two versions of a request":                   {OneVersionPerReq, "", []string{`{"t":25,"side":"backend","dispatcher":"a","req":"r1","version":2}`}},
		"a start with no version":                     {OneVersionPerReq, "", []string{`{"t":25,"side":"backend","dispatcher":"a","req":"x"}`}},
		"used before it was decided":                  {DecidedBeforeUse, "", []string{`{"t":481,"side":"backend","dispatcher":"b","req":"x","version":2,"started":true}`}},
		"used but never decided":                      {DecidedBeforeUse, "", []string{`{"t":990,"side":"backend","dispatcher":"b","req":"x","version":3,"started":true}`}},
		"two changes decided as one version":          {OneChangePerVersion, "", []string{`{"t":525,"side":"control","process":"c","event":"decided","version":2,"change":"2c","by":"b"}`}},
		"two proposers of one version":                {OneChangePerVersion, "", []string{`{"t":525,"side":"control","process":"c","event":"decided","version":2,"change":"2a","by":"c"}`}},
		"one change, two versions":                    {OneChangePerVersion, "", []string{`{"t":525,"side":"control","process":"b","event":"decided","version":3,"change":"2a","by":"b"}`, `{"t":800,"side":"control","process":"a","event":"in force","version":3,"change":"2a"}`, `{"t":800,"side":"control","process":"b","event":"in force","version":3,"change":"2a"}`, `{"t":800,"side":"control","process":"c","event":"in force","version":3,"change":"2a"}`}},
		"another change in force as the version":      {OneChangePerVersion, "", []string{`{"t":760,"side":"control","process":"c","event":"in force","version":2,"change":"2c"}`}},
		"decided and withdrawn":                       {OneResultPerChange, "", []string{`{"t":525,"side":"control","process":"c","event":"withdrawn","version":2,"change":"2a"}`}},
		"decided although one refused":                {RefusedNotDecided, "", []string{`{"t":510,"side":"control","process":"c","event":"checked","version":2,"change":"2a","why":"no"}`}},
		"a version decreases":                         {VersionsIncrease, "", []string{`{"t":800,"side":"control","process":"b","event":"in force","version":1,"change":"1a"}`, `{"t":801,"side":"control","process":"b","event":"in force","version":2,"change":"2a"}`}},
		"a version is skipped":                        {VersionsIncrease, `"version":2,"change":"2a"`, []string{`{"t":525,"side":"control","process":"b","event":"decided","version":3,"change":"2a"}`}},
		"a request without an answer":                 {NoReqLost, `"req":"r4","status"`, nil},
		"a request with two answers":                  {NoReqLost, "", []string{`{"t":35,"side":"client","req":"r1","status":200}`}},
		"a broken request whose process did not end":  {NoReqLost, "", []string{`{"t":35,"side":"client","req":"x","dispatcher":"b","asked":true}`, `{"t":36,"side":"client","req":"x"}`}},
		"an answer to no request":                     {NoReqLost, "", []string{`{"t":36,"side":"client","req":"x","status":200}`}},
		"a process stays behind":                      {SettlesAfterFaults, `"t":701`, nil},
		"a process is late":                           {SettlesAfterFaults, `"t":701`, []string{`{"t":930,"side":"control","process":"a","event":"in force","version":2,"change":"2a"}`}},
		"a process does not accept again":             {SettlesAfterFaults, "", []string{`{"t":702,"side":"control","process":"b","event":"fenced","version":2,"why":"lease over"}`}},
		"a change without a result":                   {SettlesAfterFaults, "", []string{`{"t":605,"side":"control","process":"b","event":"checking","version":3,"change":"2d"}`}},
		"a process is behind before the first faults": {SettlesAfterFaults, `"t":12,"side":"control","process":"b"`, nil},
		"a start after the cut":                       {StopsWhenCut, "", []string{`{"t":530,"side":"backend","dispatcher":"c","req":"r2","version":1,"started":true}`}},
	} {
		got := Check(historyWith(t, c.without, c.more...), rules)
		if assert.NotEmpty(t, got, name) {
			assert.True(t, slices.ContainsFunc(got, func(v Violation) bool { return v.Rule == c.want }), "%s: want %q of %v", name, c.want, got)
		}
		for _, v := range got {
			allowed := v.Rule == c.want || c.without != "" && c.want == VersionsIncrease || name == "a start after the cut" && v.Rule == OneVersionAtOnce
			assert.True(t, allowed, "%s: %v", name, v)
		}
	}
}

// TestContinueWhenCut checks that under "keep" a dispatcher that is cut off may continue with the old version, and that the
// other rules still apply.
func TestContinueWhenCut(t *testing.T) {
	keep := rules
	keep.ContinueWhenCut = true
	lateStart := `{"t":590,"side":"backend","dispatcher":"c","req":"x","version":1,"started":true}`
	assert.Len(t, Check(historyWith(t, "", lateStart), rules), 2)
	assert.Empty(t, Check(historyWith(t, "", lateStart), keep))
	assert.NotEmpty(t, Check(historyWith(t, `"t":701`, lateStart), keep))
}

// TestRead checks that encoded lines are read back the same, and that malformed lines are errors.
func TestRead(t *testing.T) {
	var b bytes.Buffer
	want := historyWith(t, "")
	for _, l := range want {
		require.NoError(t, json.NewEncoder(&b).Encode(l))
	}
	got, err := Read(&b)
	require.NoError(t, err)
	assert.Equal(t, want, got)
	for _, bad := range []string{`{"t":1,"side":"moon"}`, `{"side":"rig"}`, `{"t":1,`, `[]`} {
		_, err := Read(strings.NewReader(bad))
		assert.Error(t, err, bad)
	}
}

// TestChangeOnlyTheLeaderKnewNeedsNoResult checks that a change needs no result if only its leader knew of it, and that leader
// was killed or no longer leads. A change that another process checked does need one.
func TestChangeOnlyTheLeaderKnewNeedsNoResult(t *testing.T) {
	checking := `{"t":402,"side":"control","process":"a","event":"checking","version":2,"change":"1c"}`
	assert.Empty(t, Check(historyWith(t, "", checking), rules))
	got := Check(historyWith(t, "", checking, `{"t":403,"side":"control","process":"b","event":"checked","version":2,"change":"1c"}`), rules)
	require.Len(t, got, 1)
	assert.Equal(t, SettlesAfterFaults, got[0].Rule)
	unfinished := `{"t":605,"side":"control","process":"b","event":"checking","version":3,"change":"2d"}`
	assert.NotEmpty(t, Check(historyWith(t, "", unfinished), rules))
	assert.Empty(t, Check(historyWith(t, "", unfinished, `{"t":606,"side":"control","process":"b","event":"leads no more"}`), rules))
}

// TestUnsettled checks that the processes that are behind are named.
func TestUnsettled(t *testing.T) {
	assert.Empty(t, Unsettled(historyWith(t, "")))
	assert.Equal(t, []string{"a"}, Unsettled(historyWith(t, `"t":701`)))
}
