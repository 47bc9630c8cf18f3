// Package defaults holds the default settings that the laboratory gives the decision module.
package defaults

import "tinsail/internal/balance"

// Settings returns the settings of a site like the demo's. It has one class with idempotency keys, whose target
// latency is 120 ms plus twice a job's own running time. Repeats are dropped within a cell of backends for 7.5 s, and
// cold backends are warm within 9 s.
func Settings() balance.Settings {
	return balance.Settings{Instances: 1, Zones: 1, Kinds: 1, MaxAttempts: 5, MayDuplicate: true, MayCancel: true, TellsStart: true,
		MaxPause: 2000, ConnectTimeout: 120, Tick: 2, Weight: balance.WeightSize,
		Rules:   balance.Rules{AnswerSlack: 8, AskEvery: 10000, FallMultiple: 3, FallWindow: 2000, StartCapacity: 0.31, WarmAfter: 9000, DrainGrace: 500},
		Classes: []balance.Class{{Worth: 1, Aim: 120, Stretch: 2, Deadline: 5000, Kind: -1, Effect: balance.Deduped, Scope: balance.ScopeCell, RepeatWindow: 7500}}}
}
