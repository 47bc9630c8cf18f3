package config

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/platform"
)

// siteFiles are configurations of two invented sites, in the platform's form. They share no number with the usual
// sites.
var siteFiles = []string{"testdata/short.json", "testdata/long.json"}

func parseSite(t *testing.T, file string) (*Config, []byte) {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	c, err := Parse(text, noEnv)
	require.NoError(t, err)
	return c, text
}

// TestSitesAreParsed: the values of the two sites' settings arrive in the parsed configuration.
func TestSitesAreParsed(t *testing.T) {
	c, _ := parseSite(t, "testdata/short.json")
	assert.Equal(t, 900*time.Millisecond, c.LongestDeadline())
	assert.Equal(t, 2*time.Second, c.BackendIdleTimeout)
	assert.Equal(t, []bool{false, true, false, true}, c.Names.RequiresKey)
	assert.Equal(t, balance.Class{Worth: 2, Aim: 100, Stretch: 2, Deadline: 600, Effect: balance.Deduped, Scope: balance.ScopeZone,
		RepeatWindow: 1500, Kind: -1, Priority: 1}, c.Settings.Classes[1])
	assert.Equal(t, balance.Unsafe, c.Settings.Classes[2].Effect)
	assert.Equal(t, balance.ScopeAll, c.Settings.Classes[3].Scope)
	assert.False(t, c.Settings.Subscribe || c.Settings.MayCancel || c.Settings.MayDuplicate || c.Settings.MayProbe)
	assert.Equal(t, balance.Rules{AnswerSlack: 12, FallMultiple: 5, FallWindow: 1200, StartCapacity: 0.35, WarmAfter: 6000, DrainGrace: 900}, c.Settings.Rules)
	assert.Len(t, c.Settings.Tenants, 2)

	c, _ = parseSite(t, "testdata/long.json")
	assert.Equal(t, 40*time.Second, c.LongestDeadline())
	assert.Equal(t, 20*time.Second, c.BackendIdleTimeout)
	assert.Equal(t, []bool{true, false}, c.Names.RequiresKey)
	assert.Equal(t, balance.Millis(20_000), c.Settings.Classes[0].RepeatWindow)
	assert.True(t, c.Settings.Subscribe && c.Settings.MayCancel && c.Settings.MayDuplicate && c.Settings.WorthByWork)
	assert.Zero(t, c.Settings.MaxPause, "this site sends clients no retry delay")
}

// unusedKeys are the keys of the settings that the program does not use, each with the reason.
var unusedKeys = map[string]string{
	"Allowed.CpuUsPerRequest": "a limit of the simulator, 0 at all sites",
	"Allowed.CpuUsPerS":       "not implemented: no request is shed for it",
	"Allowed.MaxStreams":      "a connection carries one request, which any value allows",
	"Allowed.MostHeld":        "the platform enforces it before a request arrives",
	"Allowed.PeerMessages":    "the platform has no messages between peers",
	"Classes.Stream":          "no answer is streamed to clients",
	"Clients.MarksRetry":      "the mark is read from each request that has it",
	"Layer":                   "there is one tier only",
	"ServiceType":             "always jobs",
	"Tiers":                   "there is one tier only",
}

// otherWord maps a word of the settings to another valid word for the same key.
var otherWord = map[string]string{"pushed": "on_request", "on_request": "pushed", "none": "nominal", "live": "none", "request": "work",
	"work": "request", "probe": "answers", "backfill": "priority", "fifo": "priority"}

// visitLeaves calls visit for each scalar value under v. The set passed to visit replaces the value.
func visitLeaves(v any, key string, set func(any), visit func(key string, v any, set func(any))) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			visitLeaves(x, strings.TrimPrefix(key+"."+k, "."), func(y any) { v[k] = y }, visit)
		}
	case []any:
		for i, x := range v {
			visitLeaves(x, key, func(y any) { v[i] = y }, visit)
		}
	default:
		visit(key, v, set)
	}
}

// TestEachValueIsUsed changes each value of the settings, one at a time. The parsed configuration must change or the
// value must be refused, unless the key is in unusedKeys. This finds values that the program assumes instead of
// reading them.
func TestEachValueIsUsed(t *testing.T) {
	used := map[string]bool{}
	for _, file := range siteFiles {
		original, text := parseSite(t, file)
		var top map[string]any
		require.NoError(t, json.Unmarshal(text, &top))
		visitLeaves(top["settings"], "", nil, func(key string, v any, set func(any)) {
			switch old := v.(type) {
			case bool:
				set(!old)
			case float64:
				set(old + 1)
			case string:
				if to, ok := otherWord[old]; ok && key != "Report.How" {
					set(to)
				} else if key == "Report.How" {
					set("answers")
				} else {
					set(old + "x")
				}
			}
			changed, err := json.Marshal(top)
			set(v)
			require.NoError(t, err)
			got, err := Parse(changed, noEnv)
			used[key] = used[key] || err != nil || !reflect.DeepEqual(original.Settings, got.Settings) ||
				!reflect.DeepEqual(original.Names, got.Names) || original.BackendIdleTimeout != got.BackendIdleTimeout
		})
	}
	require.Greater(t, len(used), 50)
	for key, isUsed := range used {
		_, listed := unusedKeys[key]
		assert.NotEqual(t, listed, isUsed, "%s: listed as unused: %v", key, listed)
	}
	for key := range unusedKeys {
		assert.Contains(t, used, key, "no site's settings have this key")
	}
}

// TestClassesFollowSettings: the settings decide which requests are accepted: each class by its name, with an
// idempotency key where its effect requires one, and with the class's deadline if the client sends none.
func TestClassesFollowSettings(t *testing.T) {
	for _, file := range siteFiles {
		c, _ := parseSite(t, file)
		for i, name := range c.Names.Classes {
			for _, key := range []string{"", "k1"} {
				q := &platform.Request{Method: "POST", Target: "/" + name}
				q.Fields.Add(platform.CorrelationID, "r1")
				q.Fields.Add(platform.ServiceClass, name)
				if key != "" {
					q.Fields.Add(platform.IdempotencyKey, key)
				}
				w, err := c.Names.ReadJobRequest(q)
				if key == "" && c.Settings.Classes[i].Effect == balance.Deduped {
					assert.ErrorContains(t, err, "400: no Idempotency-Key", name)
					continue
				}
				require.NoError(t, err, name)
				assert.Equal(t, i, w.Request.Class)
				assert.Equal(t, key, w.IdempotencyKey)
				assert.Equal(t, millis(c.Settings.Classes[i].Deadline), w.TimeLeft, name)
			}
		}
		for _, name := range []string{"photo-ingest", "ingest", "render"} {
			q := &platform.Request{Method: "POST", Target: "/" + name}
			q.Fields.Add(platform.CorrelationID, "r1")
			_, err := c.Names.ReadJobRequest(q)
			assert.ErrorContains(t, err, "404", "classes of another site are unknown")
		}
	}
}

// TestTenantByAccountField: a request counts for the tenant that its X-Account field names. Without a field, or with
// a tenant that the settings do not have, it counts for none. Without tenants in the settings the field is ignored.
func TestTenantByAccountField(t *testing.T) {
	short, _ := parseSite(t, "testdata/short.json")
	long, _ := parseSite(t, "testdata/long.json")
	for _, c := range []struct {
		cfg    *Config
		fields []string
		want   int
	}{
		{short, []string{"harbour"}, 0}, {short, []string{"market"}, 1}, {short, []string{"Market"}, 2}, {short, nil, 2},
		{long, []string{"market"}, 0}, {long, nil, 0},
	} {
		name := c.cfg.Names.Classes[0]
		q := &platform.Request{Method: "POST", Target: "/" + name}
		q.Fields.Add(platform.CorrelationID, "r1")
		q.Fields.Add(platform.IdempotencyKey, "k1")
		for _, f := range c.fields {
			q.Fields.Add(platform.Account, f)
		}
		w, err := c.cfg.Names.ReadJobRequest(q)
		require.NoError(t, err)
		assert.Equal(t, c.want, w.Request.Tenant, "%v among %v", c.fields, c.cfg.Names.Tenants)
	}
}
