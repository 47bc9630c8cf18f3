package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/config"
	"tinsail/internal/fleet/policy"
	"tinsail/internal/platform"
	"tinsail/internal/settings"
)

// configWithTeams returns a configuration with teams and classes.
func configWithTeams() *config.Config {
	return &config.Config{Name: "a", Names: platform.Names{Tenants: []string{"atelier", "press"}, Classes: []string{"photo", "express"},
		Deadlines: []time.Duration{5 * time.Second, 2 * time.Second}}, Settings: balance.Settings{Rules: balance.Rules{AnswerSlack: 8}}}
}

func parseSettings(t *testing.T, script string) *settings.Settings {
	set, err := settings.Parse("s.star", func(string) ([]byte, error) { return []byte(script), nil })
	require.NoError(t, err, script)
	return set
}

// TestCheckQuotas: faults that the schema cannot express are reported with their key and line.
func TestCheckQuotas(t *testing.T) {
	const voters = "accord(voters = [\"a=127.0.0.1:1\", \"b=127.0.0.1:2\", \"c=127.0.0.1:3\"], data = \"d\")\n"
	const call = "quotas(region = \"east\", lenders = [\"east=a\", \"west=b\"])\n"
	for script, want := range map[string]string{
		"policy(quotas = {\"press\": 3}, run_ms = 6000)\n" + voters + call: "",
		"policy()\n" + voters + call:                                       "", // no quotas yet
		"policy()\n" + voters:                                              "",
		call:                                                               "s.star:1:7: quotas: is set, and accord is not",
		"policy(quotas = {\"press\": 3}, run_ms = 6000)\n" + voters:                                                            "s.star:1:8: policy.quotas: is set, and quotas(...) is not",
		"policy()\n" + voters + "quotas(region = \"east\",\n lenders = [\"east=x\"])":                                          `s.star:4:2: quotas.lenders: "east=x" names no voter`,
		"policy()\n" + voters + "quotas(region = \"east\", lenders = [\"east=a\", \"east=b\"])":                                `quotas.lenders: "east=b" names a region or a voter twice`,
		"policy()\n" + voters + "quotas(region = \"east\", lenders = [\"east=a\", \"west=a\"])":                                `quotas.lenders: "west=a" names a region or a voter twice`,
		"policy()\n" + voters + "quotas(region = \"north\", lenders = [\"east=a\"])":                                           `quotas.region: is "north", which is no region of lenders`,
		"policy()\n" + voters + "quotas(region = \"east\", lenders = [\"east=a\"], lease_ms = 3000, region_lease_ms = 11999)":  "quotas.region_lease_ms: is 11999, want at least 4 times lease_ms",
		"policy(quotas = {\"press\": 3})\n" + voters + call:                                                                    "s.star:1:7: policy.run_ms: is not set, where policy.quotas is",
		"policy(run_ms = 6000,\n quotas = {\"pres\": 3})\n" + voters + call:                                                    `s.star:2:2: policy.quotas: names "pres", which is no tenant`,
		"policy(quotas = {\"press\": 3}, run_ms = 5007)\n" + voters + call:                                                     "policy.run_ms: is 5007, want at least 5008",
		"policy(quotas = {\"press\": 3}, run_ms = 5008)\n" + voters + call:                                                     "",
		"policy(quotas = {\"press\": 3}, run_ms = 6000, urgent_classes = [\"fast\"])\n" + voters + call:                        `policy.urgent_classes: names "fast", which is no class`,
		"policy(quotas = {\"press\": 3}, run_ms = 6000, urgent_reserve = 4)\n" + voters + call:                                 "policy.urgent_classes: is not set, where policy.urgent_reserve is",
		"policy(quotas = {\"press\": 3}, run_ms = 6000, urgent_reserve = 4, urgent_classes = [\"express\"])\n" + voters + call: "",
	} {
		set, cfg := parseSettings(t, script), configWithTeams()
		var faults []string
		for _, err := range []error{checkAccord(cfg, set), checkQuotas(cfg, set)} {
			if err != nil {
				faults = append(faults, err.Error())
			}
		}
		if want == "" {
			assert.Empty(t, faults, script)
		} else {
			assert.Contains(t, strings.Join(faults, "\n"), want, script)
		}
		assert.NotPanics(t, func() { _ = checkQuotas(nil, set); _ = checkQuotas(cfg, nil) }, script)
	}
}

// TestPolicySizeLimit: names that make a policy larger than the log accepts are reported by the check, not by a
// proposal that fails.
func TestPolicySizeLimit(t *testing.T) {
	set := parseSettings(t, "policy(run_ms = 6000)\naccord(voters = [\"a=127.0.0.1:1\"], data = \"d\")\nquotas(region = \"east\", lenders = [\"east=a\"])")
	cfg := configWithTeams()
	set.Policy.Quotas = map[string]int{}
	for i := range policy.MaxQuotas {
		name := fmt.Sprintf("%0*d", policy.MaxName, i)
		cfg.Names.Tenants = append(cfg.Names.Tenants, name)
		set.Policy.Quotas[name] = 1
	}
	assert.ErrorContains(t, checkAccord(cfg, set), "at most 65536 fit the accord")
	set.Policy.Quotas = map[string]int{}
	for i := range policy.MaxQuotas {
		set.Policy.Quotas[fmt.Sprintf("team-%026d", i)] = 1_000_000
	}
	assert.NoError(t, checkAccord(cfg, set), "as many with names of 31 bytes fit")
}

// TestPolicyRefusedWithoutQuotas: a dispatcher without quotas(...) refuses a policy that has quotas, so that the
// policy takes force nowhere.
func TestPolicyRefusedWithoutQuotas(t *testing.T) {
	body := func(p policy.Policy) []byte { return p.Append(nil) }
	quotas := policy.Policy{Quotas: map[string]int{"press": 3}, RunMS: 6000}
	d := &dispatcher{cfg: configWithTeams(), settings: &settings.Settings{}}
	assert.NoError(t, d.checkPolicy(body(policy.Policy{})))
	assert.ErrorContains(t, d.checkPolicy(body(quotas)), "this dispatcher has no quotas(...)")
	d.settings.Quotas = &settings.Quotas{}
	assert.NoError(t, d.checkPolicy(body(quotas)))
	quotas.Quotas["other"] = 1
	assert.ErrorContains(t, d.checkPolicy(body(quotas)), `policy.quotas: names "other", which is no tenant`)
	delete(quotas.Quotas, "other")
	quotas.RunMS = 5000
	assert.ErrorContains(t, d.checkPolicy(body(quotas)), "policy.run_ms: is 5000, want at least 5008")
}

// TestFleetQuotasMapNames: the core's numbers of tenants and classes are mapped to the names of the
// configuration. A request of no team is in no quota, and the time that a request is held is bounded also while
// the policy has no quotas.
func TestFleetQuotasMapNames(t *testing.T) {
	assert.Nil(t, newFleetQuotas(configWithTeams(), &settings.Settings{}), "off without quotas(...)")
	f := newFleetQuotas(configWithTeams(), &settings.Settings{Quotas: &settings.Quotas{}})
	assert.Equal(t, 5008*time.Millisecond, f.MaxHold(), "the longest class and the answer slack")
	assert.Nil(t, f.latest, "no policy is in force")
	for _, tenant := range []int{-1, 2} {
		calls := 0
		before := time.Now()
		f.Acquire(tenant, 0, before, func(from time.Time, _ time.Duration, ok bool) {
			calls++
			assert.True(t, ok)
			assert.False(t, from.Before(before))
		})()
		assert.Equal(t, 1, calls)
	}
	f.applyPolicy(policy.Policy{Quotas: map[string]int{"press": 3}, RunMS: 7000, UrgentReserve: 1, UrgentClasses: []string{"express"}})
	assert.Equal(t, 7*time.Second, f.MaxHold())
	assert.Equal(t, []bool{false, true}, *f.urgent.Load())
	assert.Equal(t, 7000, f.latest.RunMS, "handed over when the links start")
	f.applyPolicy(policy.Policy{})
	assert.Equal(t, 5008*time.Millisecond, f.MaxHold())
	assert.Equal(t, []bool{false, false}, *f.urgent.Load())
}
