package main

import (
	"bytes"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"tinsail/internal/guard"
)

// gauges names the counters that hold a level, a maximum or a state instead of a count that only grows. A counter that is missing
// here is exported to Prometheus as a counter; for a level, a rate of it would be wrong.
var gauges = map[string]bool{
	"budget_connections_share": true, "budget_connections_fleet": true, "budget_connections_lent": true,
	"banned": true, "bans_unkept": true, "service_state": true, "door_slowest_us": true, "handover_ready_ms": true,
	"handover_stage": true, "ready_after_ms": true,
	"accord_version": true, "accord_ready": true, "accord_leads": true, "accord_leases": true, "accord_decided_ms": true,
	"quota_held": true, "quota_in_use": true, "quota_waiting": true, "quota_lent": true, "quota_lent_root": true,
}

// metrics returns the current value of every counter in Prometheus' text exposition format (version 0.0.4), each named tinsail_
// and the counter's name. It is the answer to GET /metrics at the operators' control listener.
func (d *dispatcher) metrics() (string, error) {
	reg := prometheus.NewPedanticRegistry()
	if err := reg.Register(counterCollector{d}); err != nil {
		return "", err
	}
	families, err := reg.Gather()
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	enc := expfmt.NewEncoder(&b, expfmt.NewFormat(expfmt.TypeTextPlain))
	for _, f := range families {
		if err := enc.Encode(f); err != nil {
			return "", err
		}
	}
	return strings.TrimSuffix(b.String(), "\n"), nil
}

// counterCollector reads the dispatcher's counters at each gathering; it stores no copy.
type counterCollector struct{ dispatcher *dispatcher }

// Describe sends nothing, as the settings decide which counters there are. In client_golang's terms this is an unchecked collector.
func (counterCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends all counters and the counts of invariant violations.
func (c counterCollector) Collect(out chan<- prometheus.Metric) {
	each := func(name string, n int64) {
		kind, help := prometheus.CounterValue, "tinsail counter "+name+" (docs/operators)"
		if gauges[name] {
			kind = prometheus.GaugeValue
		}
		desc := prometheus.NewDesc("tinsail_"+name, help, nil, nil)
		out <- prometheus.MustNewConstMetric(desc, kind, float64(n))
	}
	violations := prometheus.NewDesc("tinsail_invariant_violations", "rules that were found broken at run time (docs/operators/invariants.md)", []string{"rule"}, nil)
	for _, rule := range guard.Rules() {
		out <- prometheus.MustNewConstMetric(violations, prometheus.CounterValue, float64(c.dispatcher.guard.Violations(rule)), rule.String())
	}
	c.dispatcher.count.Each(counterNames, each)
	c.dispatcher.guard.Each(each)
	c.dispatcher.eachPartCounter(each)
}
