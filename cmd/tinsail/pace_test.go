package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// pace is what a play of a test could not judge. Up to a time no wait of the program for bytes, and no deadline, can be over;
// past it an answer of another status may be a slow machine's fault, and then the play has judged less. nil
// is a play in which nothing depends on time.
type pace struct {
	by   time.Time
	mu   sync.Mutex
	less []string
}

// lasts sets how long the play's answers are due in time from now on.
func (p *pace) lasts(d time.Duration) { p.by = time.Now().Add(d) }

func (p *pace) over() bool { return p != nil && time.Now().After(p.by) }

// misses notes what was not judged.
func (p *pace) misses(format string, a ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.less = append(p.less, fmt.Sprintf(format, a...))
}

// paceMost is how often a test is played until a play of it has judged all.
const paceMost = 3

// playUntilAll plays until a play has judged all or has failed, paceMost times at most, and says whether one has.
func playUntilAll(play func(i int, p *pace) (passed bool)) bool {
	for i := range paceMost {
		p := &pace{}
		if !play(i+1, p) || len(p.less) == 0 {
			return true
		}
	}
	return false
}

// onPace plays a test until a play has judged all. It fails where a play does, and where none has judged all.
func onPace(t *testing.T, play func(t *testing.T, p *pace)) {
	if !playUntilAll(func(i int, p *pace) bool {
		return t.Run(fmt.Sprint("play ", i), func(t *testing.T) {
			play(t, p)
			for _, what := range p.less {
				t.Log("judged less for want of time: ", what)
			}
		})
	}) {
		t.Errorf("each of %d plays judged less for want of time: nothing is said of the program", paceMost)
	}
}

// TestOnPace: a play that judged less is played again, and a test of which none judged all does not pass.
func TestOnPace(t *testing.T) {
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
			got := playUntilAll(func(i int, p *pace) bool {
				if played = i; i <= c.slow {
					p.misses("play %d", i)
				}
				return i != c.fails
			})
			assert.Equal(t, c.judged, got)
			assert.Equal(t, c.plays, played)
		})
	}
	var never *pace
	assert.False(t, never.over())
	p := &pace{}
	p.lasts(time.Hour)
	assert.False(t, p.over())
	p.lasts(-time.Hour)
	assert.True(t, p.over())
}
