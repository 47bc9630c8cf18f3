package quota

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkHandle is what an ask costs a region's lender, its answer's taking included: a hundred dispatchers, each with
// some of 310 teams in flight; at rest, and where each ask tells of a req that began or ended.
func BenchmarkHandle(b *testing.B) {
	const disps, teams = 100, 310
	for _, each := range []int{10, 30, 100} {
		for _, changes := range []bool{false, true} {
			b.Run(fmt.Sprintf("lines=%d/changes=%v", each, changes), func(b *testing.B) {
				l, err := NewLender(shortLease, 7, 0, LenderOptions{SkipRecovery: true})
				require.NoError(b, err)
				for t := range teams {
					l.SetCapacity(0, fmt.Sprint("team", t), 10)
				}
				var holders []*Holder
				for i := range disps {
					h, err := NewHolder(shortLease, fmt.Sprint("d", i), 1, false)
					require.NoError(b, err)
					for t := range each {
						h.SetUsage(fmt.Sprint("team", (i*7+t)%teams), 0, 1)
					}
					holders = append(holders, h)
				}
				now, n := Time(0), 0
				ask := func(h *Holder) {
					a, due := h.NextRequest(now)
					if !due {
						return
					}
					n++
					if answer, ok := l.Handle(now, a); ok {
						h.HandleResponse(now, answer)
					}
				}
				for range 5 {
					for _, h := range holders {
						h.HandleReconnect()
						ask(h)
					}
					now += second / 2
				}
				n = 0
				i := 0
				for b.Loop() {
					h := holders[i%disps]
					if changes {
						h.SetUsage(fmt.Sprint("team", (i%disps*7+i%each)%teams), i/disps%2, 1+i/disps%2)
					}
					h.HandleReconnect()
					ask(h)
					for _, name := range l.TakePolls() {
						_ = name
					}
					l.TakeEvents()
					now += second / 100
					i++
				}
				require.Positive(b, n)
			})
		}
	}
}
