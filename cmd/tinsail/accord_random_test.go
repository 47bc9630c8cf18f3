package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"tinsail/internal/faultnet"
	history "tinsail/internal/standin/accordhistory"
)

// TestAccordHistoryRandomFaults runs faults drawn from a seed, each at a drawn stage of a change, some of them
// two or three at a time; the whole history is checked. TINSAIL_ROUNDS sets their number and TINSAIL_SEED the
// seed.
func TestAccordHistoryRandomFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a dozen processes")
	}
	number := func(name string, otherwise int) int {
		text := os.Getenv(name)
		if text == "" {
			return otherwise
		}
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		return n
	}
	seed := number("TINSAIL_SEED", 28)
	random := rand.New(rand.NewPCG(uint64(seed), 0))
	c := startFaultTrial(t)
	stages := []string{"proposed", "checking", "checked", "preparing", "ready", "deciding", "decided", "in force"}
	for range number("TINSAIL_ROUNDS", 3) {
		stage, proposer := stages[random.IntN(len(stages))], random.IntN(trialSize)
		var description string
		var begin, undo []func()
		affected := map[int]bool{}
		for range 1 + random.IntN(3) {
			i := random.IntN(trialSize)
			if random.IntN(3) == 0 {
				i = c.leader()
			}
			if i == proposer || affected[i] || i < 3 && (affected[0] || affected[1] || affected[2]) { // a majority of the voters stays up
				continue
			}
			affected[i] = true
			switch random.IntN(4) {
			case 0:
				description += fmt.Sprintf(" kill n%d", i)
				begin, undo = append(begin, func() { c.kill(i) }), append(undo, func() { c.start(i) })
			case 1:
				description += fmt.Sprintf(" stop n%d", i)
				begin, undo = append(begin, func() { c.pause(i) }), append(undo, func() { c.resume(i) })
			case 2:
				description += fmt.Sprintf(" cut n%d", i)
				begin, undo = append(begin, func() { c.disconnect(i) }), append(undo, func() { c.reconnect(i) })
			case 3:
				description += fmt.Sprintf(" delay n%d", i)
				begin = append(begin, func() { c.setRule(i, faultnet.Rule{Delay: 2 * accordLease}) })
				undo = append(undo, func() { c.reconnect(i) })
			}
		}
		c.runCase(fmt.Sprintf("n%d at %s:%s", proposer, stage, description), 1, func() {
			c.proposeAndActAt(stage, proposer, func() {
				for _, f := range begin {
					f()
				}
			})
			var skip []int
			for i := range affected {
				skip = append(skip, i)
			}
			c.awaitAllBut(skip...)
			for _, f := range undo {
				f()
			}
		})
	}
	t.Logf("seed %d", seed)
	c.recordEvent(history.FaultsEnded, "")
	c.checkHistory()
}
