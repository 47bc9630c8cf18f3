package quota

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkHandle measures what a lease request costs a region's lender, including the handling of the response by the
// holder. A hundred dispatchers each have requests of some of 310 teams in flight. Either nothing changes, or each lease
// request reports a request that started or ended.
func BenchmarkHandle(b *testing.B) {
	const dispatchers, teams = 100, 310
	for _, each := range []int{10, 30, 100} {
		for _, changes := range []bool{false, true} {
			b.Run(fmt.Sprintf("lines=%d/changes=%v", each, changes), func(b *testing.B) {
				l, err := NewLender(shortLease, 7, 0, LenderOptions{SkipRecovery: true})
				require.NoError(b, err)
				for t := range teams {
					l.SetCapacity(0, fmt.Sprint("team", t), 10)
				}
				var holders []*Holder
				for i := range dispatchers {
					h, err := NewHolder(shortLease, fmt.Sprint("d", i), 1, false)
					require.NoError(b, err)
					for t := range each {
						h.SetUsage(fmt.Sprint("team", (i*7+t)%teams), 0, 1)
					}
					holders = append(holders, h)
				}
				now, n := Time(0), 0
				send := func(h *Holder) {
					request, due := h.NextRequest(now)
					if !due {
						return
					}
					n++
					if response, ok := l.Handle(now, request); ok {
						h.HandleResponse(now, response)
					}
				}
				for range 5 {
					for _, h := range holders {
						h.HandleReconnect()
						send(h)
					}
					now += second / 2
				}
				n = 0
				i := 0
				for b.Loop() {
					h := holders[i%dispatchers]
					if changes {
						h.SetUsage(fmt.Sprint("team", (i%dispatchers*7+i%each)%teams), i/dispatchers%2, 1+i/dispatchers%2)
					}
					h.HandleReconnect()
					send(h)
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
