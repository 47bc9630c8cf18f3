package balance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestKeptAreFresh compares what is kept with the same made anew, after each event of random courses.
func TestKeptAreFresh(t *testing.T) {
	for _, fleet := range []int{15, 64, 65, 300} {
		for variant := range 6 {
			p := newCourse(t, fleet, variant)
			for range 1500 {
				p.event()
				p.fresh(t)
			}
		}
	}
}

func (p *course) fresh(t *testing.T) {
	d := p.d
	for class := range d.set.Classes {
		for _, over := range []bool{false, true} {
			r := &request{Request: Request{Class: class}, over: over}
			require.Equal(t, d.value(r), d.valueOf(r))
		}
	}
}
