package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// timingCheck is what a play of a test could not judge. Up to a time no wait of the program for bytes, and no deadline, can be over;
// past it an answer of another status may be a slow machine's fault, and then the play has judged less. nil
// is a play in which nothing depends on time.
type timingCheck struct {
	judgeUntil time.Time
	mu         sync.Mutex
	skipped    []string
}

// allow sets how long the play's answers are due in time from now on.
func (p *timingCheck) allow(d time.Duration) { p.judgeUntil = time.Now().Add(d) }

func (p *timingCheck) expired() bool { return p != nil && time.Now().After(p.judgeUntil) }

// skip notes what was not judged.
func (p *timingCheck) skip(format string, a ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.skipped = append(p.skipped, fmt.Sprintf(format, a...))
}

// maxRounds is how often a test is played until a play of it has judged all.
const maxRounds = 3

// repeatUntilComplete plays until a play has judged all or has failed, paceMost times at most, and says whether one has.
func repeatUntilComplete(play func(i int, p *timingCheck) (passed bool)) bool {
	for i := range maxRounds {
		p := &timingCheck{}
		if !play(i+1, p) || len(p.skipped) == 0 {
			return true
		}
	}
	return false
}

// runTimed plays a test until a play has judged all. It fails where a play does, and where none has judged all.
func runTimed(t *testing.T, play func(t *testing.T, p *timingCheck)) {
	if !repeatUntilComplete(func(i int, p *timingCheck) bool {
		return t.Run(fmt.Sprint("play ", i), func(t *testing.T) {
			play(t, p)
			for _, what := range p.skipped {
				t.Log("judged less for want of time: ", what)
			}
		})
	}) {
		t.Errorf("each of %d plays judged less for want of time: nothing is said of the program", maxRounds)
	}
}

// TestTimedRunIsRepeated: a play that judged less is played again, and a test of which none judged all does not pass.
func TestTimedRunIsRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		slow, fails, plays int // the first plays judge less; this one fails
		judged             bool
	}{
		"at once":         {plays: 1, judged: true},
		"the third time":  {slow: 2, plays: 3, judged: true},
		"never":           {slow: 3, plays: 3},
		"fails, and less": {slow: 3, fails: 2, plays: 2, judged: true},
	} {
		t.Run(name, func(t *testing.T) {
			played := 0
			got := repeatUntilComplete(func(i int, p *timingCheck) bool {
				if played = i; i <= c.slow {
					p.skip("play %d", i)
				}
				return i != c.fails
			})
			assert.Equal(t, c.judged, got)
			assert.Equal(t, c.plays, played)
		})
	}
	var never *timingCheck
	assert.False(t, never.expired())
	p := &timingCheck{}
	p.allow(time.Hour)
	assert.False(t, p.expired())
	p.allow(-time.Hour)
	assert.True(t, p.expired())
}
