package wire

import (
	"fmt"

	jsoniter "github.com/json-iterator/go"

	"olivebarrow"
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
	Parties        []struct{ QuotaPerS, Share float64 }
	Prices         olivebarrow.Prices
	RegistryMode   string
	Report         struct {
		Columns []string
		How     string
	}
	ResultMix olivebarrow.Mix
	Weights   string
	WorthBy   string
}

var metrics = map[string]olivebarrow.Metric{
	"busy_reqs": olivebarrow.MetricInFlight,
	"pending":   olivebarrow.MetricWaiting,
	"cpu_share": olivebarrow.MetricUtilisation,
	"svc_ms":    olivebarrow.MetricServiceMs,
	"served_ps": olivebarrow.MetricServedPerS,
	"failed_ps": olivebarrow.MetricErrorsPerS,
	"x0":        olivebarrow.MetricFreeSlots,
	"x1":        olivebarrow.MetricFreeMemory,
}

var effects = map[string]olivebarrow.Effect{
	"read_like":       olivebarrow.Safe,
	"idempotency_key": olivebarrow.Deduped,
	"non_idempotent":  olivebarrow.Unsafe,
}

var scopes = map[string]olivebarrow.Scope{
	"all":  olivebarrow.ScopeAll,
	"zone": olivebarrow.ScopeZone,
	"cell": olivebarrow.ScopeCell,
}

var weightMeanings = map[string]olivebarrow.WeightMeaning{
	"none":    olivebarrow.WeightNone,
	"nominal": olivebarrow.WeightSize,
	"rough":   olivebarrow.WeightSize,
	"live":    olivebarrow.WeightLive,
}

// Names is what the settings hold for those who speak with names, on sockets, and the module
// does not need.
type Names struct {
	Classes, Zones, Models, Columns []string
	ConnIdleMs                      *float64 // nil if not told
}

// ParseSettings reads an instance's settings. Keys it does not know are ignored.
func ParseSettings(seed uint64, text []byte) (olivebarrow.Settings, error) {
	s, _, err := ParseNamed(seed, text)
	return s, err
}

// ParseNamed reads an instance's settings with their names.
func ParseNamed(seed uint64, text []byte) (olivebarrow.Settings, Names, error) {
	var j settingsJSON
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(text, &j); err != nil {
		return olivebarrow.Settings{}, Names{}, fmt.Errorf("reading the settings: %w", err)
	}
	names := Names{Zones: j.Zones, Models: j.Models, Columns: j.Report.Columns, ConnIdleMs: j.Allowed.ConnIdleMs}
	s := olivebarrow.Settings{
		Seed: seed, Self: j.Me, Instances: max(1, j.Balancers), Zone: j.MyZone,
		Zones: max(1, len(j.Zones)), Kinds: max(1, len(j.Models)), Prices: j.Prices, Mix: j.ResultMix,
		Weight: weightMeanings[j.Weights], ReportInAnswer: j.Report.How == "answers",
		TellsStart: j.FamilyInfo.TellsStart, ProgressEvery: j.FamilyInfo.ProgressMs,
		ByPriority: j.FamilyInfo.QueueOrder == "priority", Subscribe: j.RegistryMode == "on_request",
		WorthByWork: j.WorthBy == "work", OverShareWorth: j.OverShareWorth,
		MaxAttempts: j.Allowed.MaxAttempts, MayDuplicate: j.Allowed.MayDuplicate,
		MayCancel: j.Allowed.Cancel, MayProbe: j.Allowed.Probes,
		ConnectTimeout: j.Allowed.ConnectTimeoutMs, Tick: j.GranularityMs,
		Rules: olivebarrow.Rules{
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
		s.Tenants = append(s.Tenants, olivebarrow.Tenant{Share: t.Share, QuotaPerS: t.QuotaPerS})
	}
	for i, c := range j.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return s, names, fmt.Errorf("class %d: unknown effect %q", i, c.Effect)
		}
		scope, ok := scopes[c.DedupScope]
		if !ok && effect == olivebarrow.Deduped {
			return s, names, fmt.Errorf("class %d: unknown dedup scope %q", i, c.DedupScope)
		}
		names.Classes = append(names.Classes, c.Name)
		s.Classes = append(s.Classes, olivebarrow.Class{
			Worth: c.Worth, LateWorth: c.LateShare, Aim: c.AimMs, Deadline: c.HardLimitMs,
			Effect: effect, Scope: scope, RepeatWindow: c.RepeatWindowMs,
			Stretch:  c.AimStretch + at(j.FamilyInfo.ClassStretch, i, 0),
			Kind:     at(j.FamilyInfo.ClassKind, i, -1),
			Priority: at(j.FamilyInfo.ClassPriority, i, 0),
		})
	}
	return s, names, nil
}

// at is the i-th value of a list, or def where the list is shorter.
func at[T any](list []T, i int, def T) T {
	if i < len(list) {
		return list[i]
	}
	return def
}
