package wire

import (
	"fmt"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"tinsail/internal/balance"
)

type settingsJSON struct {
	Allowed struct {
		Cancel, MayDuplicate, Probes, RetryAfter bool
		ConnectTimeoutMs, MaxRetryAfterMs        float64
		ConnIdleMs                               *float64
		MaxAttempts                              int
	}
	Balancers int
	Classes   []struct {
		AimMs, HardLimitMs, LateShare, RepeatWindowMs, Worth, AimStretch float64
		DedupScope, Effect, Name                                         string
	}
	FamilyInfo struct {
		ClassKind, ClassPriority []int
		ClassStretch             []float64
		ProgressMs               float64
		QueueOrder               string
		TellsStart               bool
	}
	GranularityMs float64
	Me, MyZone    int
	Models, Zones []string
	Obligations   struct {
		AnswerSlackMs, AskEveryMs, FallMs, FallMultiple, StartCapacity float64
		StopSendingWithinMs, WarmAfterMs                               float64
	}
	OverShareWorth float64
	Parties        []struct {
		Name             string
		QuotaPerS, Share float64
	}
	Prices       balance.Prices
	RegistryMode string
	Report       struct {
		Columns []string
		How     string
	}
	ResultMix balance.Mix
	Weights   string
	WorthBy   string
}

var metrics = map[string]balance.Metric{
	"busy_reqs": balance.MetricInFlight,
	"pending":   balance.MetricWaiting,
	"cpu_share": balance.MetricUtilisation,
	"svc_ms":    balance.MetricServiceMs,
	"served_ps": balance.MetricServedPerS,
	"failed_ps": balance.MetricErrorsPerS,
	"x0":        balance.MetricFreeSlots,
	"x1":        balance.MetricFreeMemory,
}

var effects = map[string]balance.Effect{
	"read_like":       balance.Safe,
	"idempotency_key": balance.Deduped,
	"non_idempotent":  balance.Unsafe,
}

var scopes = map[string]balance.Scope{
	"all":  balance.ScopeAll,
	"zone": balance.ScopeZone,
	"cell": balance.ScopeCell,
}

var weightMeanings = map[string]balance.WeightMeaning{
	"none":    balance.WeightNone,
	"nominal": balance.WeightSize,
	"rough":   balance.WeightSize,
	"live":    balance.WeightLive,
}

// Names holds the names from the settings. Those who exchange names over connections need them;
// package balance works with indexes only.
type Names struct {
	Classes, Tenants, Zones, Models, Columns []string
	ConnIdleMs                               *float64 // nil if absent
}

// Fault is an invalid value in the settings. Key is its path within them.
type Fault struct{ Key, Problem string }

// Faults are all invalid values that were found, as an error of ParseNamed.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Key + " " + f[i].Problem
	}
	return strings.Join(lines, "; ")
}

// ParseSettings parses an instance's settings. Unknown keys are ignored.
func ParseSettings(seed uint64, text []byte) (balance.Settings, error) {
	s, _, err := ParseNamed(seed, text)
	return s, err
}

// ParseNamed parses an instance's settings together with their names.
func ParseNamed(seed uint64, text []byte) (balance.Settings, Names, error) {
	var j settingsJSON
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(text, &j); err != nil {
		return balance.Settings{}, Names{}, fmt.Errorf("reading the settings: %w", err)
	}
	names := Names{Zones: j.Zones, Models: j.Models, Columns: j.Report.Columns, ConnIdleMs: j.Allowed.ConnIdleMs}
	s := balance.Settings{
		Seed: seed, Self: j.Me, Instances: max(1, j.Balancers), Zone: j.MyZone,
		Zones: max(1, len(j.Zones)), Kinds: max(1, len(j.Models)), Prices: j.Prices, Mix: j.ResultMix,
		Weight: weightMeanings[j.Weights], ReportInAnswer: j.Report.How == "answers",
		TellsStart: j.FamilyInfo.TellsStart, ProgressEvery: j.FamilyInfo.ProgressMs,
		ByPriority: j.FamilyInfo.QueueOrder == "priority", Subscribe: j.RegistryMode == "on_request",
		WorthByWork: j.WorthBy == "work", OverShareWorth: j.OverShareWorth,
		MaxAttempts: j.Allowed.MaxAttempts, MayDuplicate: j.Allowed.MayDuplicate,
		MayCancel: j.Allowed.Cancel, MayProbe: j.Allowed.Probes,
		ConnectTimeout: j.Allowed.ConnectTimeoutMs, Tick: j.GranularityMs,
		Rules: balance.Rules{
			AnswerSlack: j.Obligations.AnswerSlackMs, AskEvery: j.Obligations.AskEveryMs,
			FallMultiple: j.Obligations.FallMultiple, FallWindow: j.Obligations.FallMs,
			StartCapacity: j.Obligations.StartCapacity, WarmAfter: j.Obligations.WarmAfterMs,
			DrainGrace: j.Obligations.StopSendingWithinMs,
		},
	}
	if j.Allowed.RetryAfter {
		s.MaxPause = j.Allowed.MaxRetryAfterMs
	}
	for _, c := range j.Report.Columns {
		s.Metrics = append(s.Metrics, metrics[c])
	}
	for _, t := range j.Parties {
		names.Tenants = append(names.Tenants, t.Name)
		s.Tenants = append(s.Tenants, balance.Tenant{Share: t.Share, QuotaPerS: t.QuotaPerS})
	}
	var faults Faults
	for i, c := range j.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			faults = append(faults, Fault{fmt.Sprintf("Classes[%d].Effect", i), fmt.Sprintf("is %q, want read_like, idempotency_key or non_idempotent", c.Effect)})
		}
		scope, ok := scopes[c.DedupScope]
		if !ok && effect == balance.Deduped {
			faults = append(faults, Fault{fmt.Sprintf("Classes[%d].DedupScope", i), fmt.Sprintf("is %q, want all, zone or cell", c.DedupScope)})
		}
		names.Classes = append(names.Classes, c.Name)
		s.Classes = append(s.Classes, balance.Class{
			Worth: c.Worth, LateWorth: c.LateShare, Aim: c.AimMs, Deadline: c.HardLimitMs,
			Effect: effect, Scope: scope, RepeatWindow: c.RepeatWindowMs,
			Stretch:  c.AimStretch + valueAt(j.FamilyInfo.ClassStretch, i, 0),
			Kind:     valueAt(j.FamilyInfo.ClassKind, i, -1),
			Priority: valueAt(j.FamilyInfo.ClassPriority, i, 0),
		})
	}
	if faults != nil {
		return s, names, faults
	}
	return s, names, nil
}

// valueAt returns the i-th value of a list, or def if the list is shorter.
func valueAt[T any](list []T, i int, def T) T {
	if i < len(list) {
		return list[i]
	}
	return def
}
