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

// TestAccordHistoryAtRandom plays faults drawn by a seed, each at a drawn stage of a change, sometimes two
// at a time; the history is judged as a whole. TINSAIL_ROUNDS and TINSAIL_SEED play more of them, or others.
func TestAccordHistoryAtRandom(t *testing.T) {
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
	draw := rand.New(rand.NewPCG(uint64(seed), 0))
	c := startTrial(t)
	stages := []string{"proposed", "checking", "checked", "preparing", "ready", "deciding", "decided", "in force"}
	for range number("TINSAIL_ROUNDS", 3) {
		stage, proposer := stages[draw.IntN(len(stages))], draw.IntN(trialOf)
		var told string
		var does, ends []func()
		hit := map[int]bool{}
		for range 1 + draw.IntN(3) {
			i := draw.IntN(trialOf)
			if draw.IntN(3) == 0 {
				i = c.leader()
			}
			if i == proposer || hit[i] || i < 3 && (hit[0] || hit[1] || hit[2]) { // a majority of the voters stays
				continue
			}
			hit[i] = true
			switch draw.IntN(4) {
			case 0:
				told += fmt.Sprintf(" kill n%d", i)
				does, ends = append(does, func() { c.kill(i) }), append(ends, func() { c.start(i) })
			case 1:
				told += fmt.Sprintf(" stop n%d", i)
				does, ends = append(does, func() { c.pause(i) }), append(ends, func() { c.wake(i) })
			case 2:
				told += fmt.Sprintf(" cut n%d", i)
				does, ends = append(does, func() { c.cut(i) }), append(ends, func() { c.mend(i) })
			case 3:
				told += fmt.Sprintf(" delay n%d", i)
				does = append(does, func() { c.rule(i, faultnet.Rule{Delay: 2 * rigLease}) })
				ends = append(ends, func() { c.mend(i) })
			}
		}
		c.play(fmt.Sprintf("n%d at %s:%s", proposer, stage, told), 1, func() {
			c.at(stage, proposer, func() {
				for _, f := range does {
					f()
				}
			})
			var skip []int
			for i := range hit {
				skip = append(skip, i)
			}
			c.but(skip...)
			for _, f := range ends {
				f()
			}
		})
	}
	t.Logf("seed %d", seed)
	c.tell(history.Over, "")
	c.judge()
}
