package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// timingCheck records which checks a run of a test skipped because the machine was too slow. Until judgeUntil no deadline and no
// wait of the program for bytes can have passed. Later an answer of another status may be due to a slow machine, so the run skips
// that check. A nil timingCheck belongs to a run in which nothing depends on time.
type timingCheck struct {
	judgeUntil time.Time
	mu         sync.Mutex
	skipped    []string
}

// allow sets for how long from now on the run's answers must have the expected status.
func (p *timingCheck) allow(d time.Duration) { p.judgeUntil = time.Now().Add(d) }

// expired reports whether that time has passed.
func (p *timingCheck) expired() bool { return p != nil && time.Now().After(p.judgeUntil) }

// skip records a check that was skipped.
func (p *timingCheck) skip(format string, a ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.skipped = append(p.skipped, fmt.Sprintf(format, a...))
}

// maxRounds limits how often a test is run until a run of it has skipped no check.
const maxRounds = 3

// repeatUntilComplete repeats a test until a run has skipped no check or has failed, at most maxRounds times. It reports whether
// there was such a run.
func repeatUntilComplete(run func(i int, p *timingCheck) (passed bool)) bool {
	for i := range maxRounds {
		p := &timingCheck{}
		if !run(i+1, p) || len(p.skipped) == 0 {
			return true
		}
	}
	return false
}

// runTimed repeats a test until a run has skipped no check. It fails if a run fails, and if every run has skipped a check.
func runTimed(t *testing.T, run func(t *testing.T, p *timingCheck)) {
	if !repeatUntilComplete(func(i int, p *timingCheck) bool {
		return t.Run(fmt.Sprint("play ", i), func(t *testing.T) {
			run(t, p)
			for _, what := range p.skipped {
				t.Log("check skipped, as the machine was too slow: ", what)
			}
		})
	}) {
		t.Errorf("each of %d runs skipped a check, as the machine was too slow: the program was not checked completely", maxRounds)
	}
}

// TestTimedRunIsRepeated: a run that skipped a check is repeated, and a test whose runs all skipped one does not pass.
func TestTimedRunIsRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		slow, fails, runs int // the first slow runs skip a check; run number fails fails
		complete          bool
	}{
		"at once":         {runs: 1, complete: true},
		"the third time":  {slow: 2, runs: 3, complete: true},
		"never":           {slow: 3, runs: 3},
		"fails and skips": {slow: 3, fails: 2, runs: 2, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			lastRun := 0
			got := repeatUntilComplete(func(i int, p *timingCheck) bool {
				if lastRun = i; i <= c.slow {
					p.skip("run %d", i)
				}
				return i != c.fails
			})
			assert.Equal(t, c.complete, got)
			assert.Equal(t, c.runs, lastRun)
		})
	}
	var none *timingCheck
	assert.False(t, none.expired())
	p := &timingCheck{}
	p.allow(time.Hour)
	assert.False(t, p.expired())
	p.allow(-time.Hour)
	assert.True(t, p.expired())
}
