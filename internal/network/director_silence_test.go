package network

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
	"tinsail/internal/standin/history"
	standin "tinsail/internal/standin/platform"
)

// TestDrainsDuringSilence: a watch falls silent, at any moment of its long poll and of the next one, while
// drains are published. Each arrives within half a second after it counts as published, whether lists
// are polled or pushed to an agent.
func TestDrainsDuringSilence(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		t.Run(fmt.Sprintf("pushed %v", pushed), func(t *testing.T) {
			worst, when, bad := -time.Hour, time.Duration(0), 0
			for after := time.Duration(0); after <= 9*time.Second; after += 150 * time.Millisecond {
				runDirector(t, pushed, func(w *directorFixture) {
					time.Sleep(after)
					synctest.Wait()
					w.seat.SilenceOpenCalls()
					var made []standin.Change
					for i, pause := range []time.Duration{10 * time.Millisecond, 3 * time.Second, 2900 * time.Millisecond, time.Second} {
						time.Sleep(pause)
						made = append(made, w.setStatus(i, "Terminating"))
					}
					time.Sleep(9 * time.Second)
					for _, c := range made {
						l := w.lateness(c)
						if l > 0 {
							bad++
						}
						if l > worst {
							worst, when = l, after
						}
					}
				})
			}
			t.Logf("worst %v, where the watch fell silent %v after its start; %d changes late", worst, when, bad)
			assert.LessOrEqual(t, worst, time.Duration(0), "later than half a second after a change counted as published, by this much")
		})
	}
}

// TestAgentOutage: an agent is silent or refuses connections for a while, and then has a list that changed twice. The
// newest change arrives within half a second after it counts as published, and the number of calls in the outage is
// limited, though the settings name no interval of asking.
func TestAgentOutage(t *testing.T) {
	const maxCallRate = 20 // per second: one in 50 ms
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprintf("refused %v", refused), func(t *testing.T) {
			worst, when, peak := -time.Hour, "", 0
			for _, length := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, 8 * time.Second, 15 * time.Second} {
				for after := time.Duration(0); after < 4500*time.Millisecond; after += 450 * time.Millisecond {
					runDirector(t, true, func(w *directorFixture) {
						time.Sleep(after)
						synctest.Wait()
						w.setOutage(true, refused)
						time.Sleep(length / 2)
						w.setStatus(0, "Terminating")
						last := w.setStatus(1, "Terminating")
						time.Sleep(length / 2)
						w.setOutage(false, refused)
						time.Sleep(9 * time.Second)
						if l := w.lateness(last); l > worst {
							worst, when = l, fmt.Sprintf("%v into the watch, for %v", after, length)
						}
						peak = max(peak, w.peakRate())
					})
				}
			}
			t.Logf("worst %v, in an outage %s; most connections or calls in a second %d", worst, when, peak)
			assert.LessOrEqual(t, worst, time.Duration(0), "later than half a second after a change counted as published, by this much")
			assert.LessOrEqual(t, peak, maxCallRate, "connections or calls to the agent in a second")
		})
	}
}

// peakRate returns the largest number of connections or calls in one second of the clock.
func (w *directorFixture) peakRate() (peak int) {
	calls := map[int64]int{}
	for _, c := range w.seat.Calls() {
		calls[c.At.Unix()]++
		peak = max(peak, calls[c.At.Unix()])
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.dials {
		peak = max(peak, n)
	}
	return peak
}

// TestNoSendToDrainedBackend: clients keep a dispatcher busy while its watch falls silent and drains are
// published. According to the backends, no new attempt is sent to one of them later than half a second
// after its drain counts as published, and each request gets exactly one answer.
func TestNoSendToDrainedBackend(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for after := 200 * time.Millisecond; after < 4500*time.Millisecond; after += 2100 * time.Millisecond {
			withSite(t, pushed, balance.Deduped, func(s *site) {
				all := s.load(2, 40*time.Millisecond, 14*time.Second)
				time.Sleep(after)
				s.seat.SilenceOpenCalls()
				time.Sleep(10 * time.Millisecond)
				drains := []standin.Change{s.director.Set(s.backends[0].Entry("", "", 1, "Terminating"))}
				time.Sleep(3 * time.Second)
				drains = append(drains, s.director.Set(s.backends[1].Entry("", "", 1, "Terminating")))
				all.Wait()
				for _, c := range drains {
					s.history.AddDrains(history.Drain{Dispatcher: "n", Backend: c.Name, PublishedAt: s.seat.PublishedAt(c, s.terms)})
				}
				b := s.judge()
				assert.Empty(t, b[:min(len(b), 3)], "pushed %v, silent after %v: %d breaches", pushed, after, len(b))
			})
		}
	}
}
