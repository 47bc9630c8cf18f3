package kit2

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"tinsail/internal/standin/platform"
)

// Class is a class of a small deployment.
type Class struct {
	Name, Effect, Scope string
	AimMs, HardLimitMs  int
	WindowMs            int
}

// Config is the configuration of one dispatcher of a small deployment.
type Config struct {
	Name, Listen, Discovery string
	Classes                 []Class
	Balancers               int
	Zones                   []string
	Known                   []platform.Entry // the list as last known; may be empty
	Teams                   []string         // tenants
	Mode                    string           // RegistryMode; empty: on_request
}

// Text returns the configuration file.
func (f Config) Text() string {
	classes := []map[string]any{}
	for _, c := range f.Classes {
		classes = append(classes, map[string]any{"Name": c.Name, "Effect": c.Effect, "DedupScope": c.Scope, "AimMs": c.AimMs, "AimStretch": 2,
			"HardLimitMs": c.HardLimitMs, "RepeatWindowMs": c.WindowMs, "Worth": 1})
	}
	parties := []map[string]any{}
	for _, t := range f.Teams {
		parties = append(parties, map[string]any{"Name": t, "Share": 0.3, "QuotaPerS": 1e6})
	}
	mode, zones := f.Mode, f.Zones
	if mode == "" {
		mode = "on_request"
	}
	if zones == nil {
		zones = []string{"here"}
	}
	conf := map[string]any{"name": f.Name, "listen": f.Listen, "discovery": f.Discovery, "seed": fmt.Sprintf("%x", seeds.Add(1)*0x9e3779b9),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{
			"Allowed": map[string]any{"Cancel": true, "ConnIdleMs": 10000, "ConnectTimeoutMs": 120, "MaxAttempts": 5, "MaxRetryAfterMs": 2000,
				"MayDuplicate": true, "Probes": false, "RetryAfter": true},
			"Balancers": max(f.Balancers, 1), "Classes": classes, "FamilyInfo": map[string]any{"TellsStart": true}, "GranularityMs": 2,
			"Models": []string{"fast", "std"}, "Parties": parties, "RegistryMode": mode, "Weights": "nominal", "Zones": zones,
			"Obligations": map[string]any{"AnswerSlackMs": 8, "AskEveryMs": 10000, "FallMs": 2000, "FallMultiple": 3, "StartCapacity": 0.31,
				"StopSendingWithinMs": 500, "WarmAfterMs": 9000},
			"Report": map[string]any{"Columns": []string{"x0", "busy_reqs"}, "How": "answers"}}}
	if len(f.Known) > 0 {
		conf["known"] = map[string]any{"index": 1, "snapshot": true, "endpoints": f.Known}
	}
	text, err := json.MarshalIndent(conf, "", " ")
	if err != nil {
		panic(err)
	}
	return string(text)
}

var seeds atomic.Int64

func init() { seeds.Store(time.Now().UnixNano() & 0xffff) }
