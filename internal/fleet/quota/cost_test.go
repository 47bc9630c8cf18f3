package quota

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkAsk is what an ask costs a region's lender, its answer's taking included: a hundred dispatchers, each with
// some of 310 teams in flight; at rest, and where each ask tells of a req that began or ended.
func BenchmarkAsk(b *testing.B) {
	const disps, teams = 100, 310
	for _, each := range []int{10, 30, 100} {
		for _, changes := range []bool{false, true} {
			b.Run(fmt.Sprintf("lines=%d/changes=%v", each, changes), func(b *testing.B) {
				l, err := NewLender(shortPlan, 7, 0, Options{Starts: true})
				require.NoError(b, err)
				for t := range teams {
					l.Capacity(0, fmt.Sprint("team", t), 10)
				}
				var holders []*Holder
				for i := range disps {
					h, err := NewHolder(shortPlan, fmt.Sprint("d", i), 1, false)
					require.NoError(b, err)
					for t := range each {
						h.Need(fmt.Sprint("team", (i*7+t)%teams), 0, 1)
					}
					holders = append(holders, h)
				}
				now, n := Time(0), 0
				ask := func(h *Holder) {
					a, due := h.Due(now)
					if !due {
						return
					}
					n++
					if answer, ok := l.Take(now, a); ok {
						h.Answered(now, answer)
					}
				}
				for range 5 {
					for _, h := range holders {
						h.Linked()
						ask(h)
					}
					now += second / 2
				}
				n = 0
				i := 0
				for b.Loop() {
					h := holders[i%disps]
					if changes {
						h.Need(fmt.Sprint("team", (i%disps*7+i%each)%teams), i/disps%2, 1+i/disps%2)
					}
					h.Linked()
					ask(h)
					for _, name := range l.Nudges() {
						_ = name
					}
					l.Notes()
					now += second / 100
					i++
				}
				require.Positive(b, n)
			})
		}
	}
}
