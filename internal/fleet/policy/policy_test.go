package policy

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEqualPoliciesHaveEqualBytes(t *testing.T) {
	a := Policy{Connections: 600, Reserve: 0.2, Bans: []string{"w2", "w1", "w2"}}
	b := Policy{Connections: 600, Reserve: 0.2, Bans: []string{"w1", "w2"}}
	assert.Equal(t, a.Append(nil), b.Append(nil))
	got, err := Read(a.Append(nil))
	require.NoError(t, err)
	assert.Equal(t, b, got)
	assert.Equal(t, []string{"w2", "w1", "w2"}, a.Bans, "the caller's list must not change")
}

// TestPolicyWithoutQuotasKeepsOldBytes: a policy without quotas has the same bytes as before quotas were introduced,
// as logs and leases contain them.
func TestPolicyWithoutQuotasKeepsOldBytes(t *testing.T) {
	old := `{"connections":600,"most":0,"reserve":0.2,"bans":["w1"]}`
	assert.Equal(t, old, string(Policy{Connections: 600, Reserve: 0.2, Bans: []string{"w1"}}.Append(nil)))
	assert.Equal(t, old, string(Policy{Connections: 600, Reserve: 0.2, Bans: []string{"w1"}, Quotas: map[string]int{}, UrgentClasses: []string{}}.Append(nil)))
	p, err := Read([]byte(old))
	require.NoError(t, err)
	assert.Empty(t, p.Quotas)
}

func TestQuotaFields(t *testing.T) {
	a := Policy{Quotas: map[string]int{"b": 30, "a": 0}, UrgentReserve: 4, UrgentClasses: []string{"y", "x", "y"}, RunMS: 6000}
	b := Policy{Quotas: map[string]int{"a": 0, "b": 30}, UrgentReserve: 4, UrgentClasses: []string{"x", "y"}, RunMS: 6000}
	assert.Equal(t, a.Append(nil), b.Append(nil))
	assert.Equal(t, `{"connections":0,"most":0,"reserve":0,"bans":[],"quotas":{"a":0,"b":30},"urgent_reserve":4,"urgent_classes":["x","y"],"run_ms":6000}`,
		string(a.Append(nil)))
	got, err := Read(a.Append(nil))
	require.NoError(t, err)
	b.Bans = []string{}
	assert.Equal(t, b, got)
	assert.Equal(t, []string{"y", "x", "y"}, a.UrgentClasses, "the caller's list must not change")
	assert.NoError(t, Policy{RunMS: 6000, UrgentClasses: []string{"x"}}.Check(), "run_ms and classes alone are valid and have no effect")

	many := map[string]int{}
	for i := range MaxQuotas + 1 {
		many[fmt.Sprint(i)] = 1
	}
	assert.ErrorContains(t, Policy{Quotas: many, RunMS: 6000}.Check(), "policy.quotas names 1025 teams")
	assert.ErrorContains(t, Policy{Quotas: map[string]int{strings.Repeat("a", MaxName+1): 1}, RunMS: 6000}.Check(), "a name of 129 bytes")
	assert.ErrorContains(t, Policy{UrgentClasses: make([]string, MaxUrgentClasses+1)}.Check(), "policy.urgent_classes names 65")
}

func TestInvalidPoliciesAreRefused(t *testing.T) {
	for text, says := range map[string]string{
		`{"connections":1,"slices":2}`:          "unknown field",
		`{"connections":1}{}`:                   "after its end",
		`{"connections":-1}`:                    "policy.connections",
		`{"most":100001}`:                       "policy.most",
		`{"reserve":1.5}`:                       "policy.reserve",
		`{"bans":[""]}`:                         "policy.bans",
		``:                                      "cannot be read",
		`{"quotas":{"a":1}}`:                    "policy.run_ms is not set",
		`{"quotas":{"":1},"run_ms":100}`:        "policy.quotas has a name of 0 bytes",
		`{"quotas":{"a":-1},"run_ms":100}`:      `policy.quotas gives "a" -1`,
		`{"quotas":{"a":1000001},"run_ms":100}`: `policy.quotas gives "a" 1000001`,
		`{"quotas":{"a":0.5},"run_ms":100}`:     "cannot be read",
		`{"quotas":{"a":1},"run_ms":99}`:        "policy.run_ms is 99",
		`{"run_ms":-1}`:                         "policy.run_ms is -1",
		`{"run_ms":604800001}`:                  "policy.run_ms is 604800001",
		`{"urgent_reserve":1}`:                  "policy.quotas is not",
		`{"urgent_reserve":-1}`:                 "policy.urgent_reserve is -1",
		`{"quotas":{"a":1},"run_ms":100,"urgent_reserve":1}`:                           "policy.urgent_classes is not set",
		`{"quotas":{"a":1},"run_ms":100,"urgent_reserve":1,"urgent_classes":["x",""]}`: "policy.urgent_classes has a name of 0 bytes",
		`{"connections":"1"}`: "cannot be read",
	} {
		_, err := Read([]byte(text))
		assert.ErrorContains(t, err, says, text)
	}
}
