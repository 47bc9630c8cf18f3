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

// siteFiles are two made-up sites that share no figure with the usual ones, in the platform's own form.
var siteFiles = []string{"testdata/short.json", "testdata/long.json"}

func parseSite(t *testing.T, file string) (*Config, []byte) {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	c, err := Parse(text, noEnv)
	require.NoError(t, err)
	return c, text
}

// TestSitesAreParsed: what the two sites' settings tell is what the program goes by.
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
	assert.Zero(t, c.Settings.MaxPause, "clients are not told a pause here")
}

// unusedKeys are the keys that nothing goes by, each with why.
var unusedKeys = map[string]string{
	"Allowed.CpuUsPerRequest": "a limit of the simulator's, 0 at all sites",
	"Allowed.CpuUsPerS":       "open: nothing is shed for it",
	"Allowed.MaxStreams":      "a connection carries one req, which any number allows",
	"Allowed.MostHeld":        "the platform keeps to it before we see a req",
	"Allowed.PeerMessages":    "the platform's messages have none for peers",
	"Classes.Stream":          "no answer is streamed to clients",
	"Clients.MarksRetry":      "a mark is read where it stands",
	"Layer":                   "one tier",
	"ServiceType":             "jobs",
	"Tiers":                   "one tier",
}

// otherWord is another value of a word that the settings may hold.
var otherWord = map[string]string{"pushed": "on_request", "on_request": "pushed", "none": "nominal", "live": "none", "request": "work",
	"work": "request", "probe": "answers", "backfill": "priority", "fifo": "priority"}

// visitLeaves visits each single value under v. set puts another in its place.
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

// TestEachValueIsUsed changes each value of the settings, one at a time: what is read changes with it, or is refused,
// unless the key is known as one that nothing goes by. A figure that is taken for granted is found by this.
func TestEachValueIsUsed(t *testing.T) {
	counted := map[string]bool{}
	for _, file := range siteFiles {
		plain, text := parseSite(t, file)
		var top map[string]any
		require.NoError(t, json.Unmarshal(text, &top))
		visitLeaves(top["settings"], "", nil, func(key string, v any, set func(any)) {
			switch was := v.(type) {
			case bool:
				set(!was)
			case float64:
				set(was + 1)
			case string:
				if to, ok := otherWord[was]; ok && key != "Report.How" {
					set(to)
				} else if key == "Report.How" {
					set("answers")
				} else {
					set(was + "x")
				}
			}
			changed, err := json.Marshal(top)
			set(v)
			require.NoError(t, err)
			got, err := Parse(changed, noEnv)
			counted[key] = counted[key] || err != nil || !reflect.DeepEqual(plain.Settings, got.Settings) ||
				!reflect.DeepEqual(plain.Names, got.Names) || plain.BackendIdleTimeout != got.BackendIdleTimeout
		})
	}
	require.Greater(t, len(counted), 50)
	for key, counts := range counted {
		_, known := unusedKeys[key]
		assert.NotEqual(t, known, counts, "%s: nothing goes by it: %v", key, known)
	}
	for key := range unusedKeys {
		assert.Contains(t, counted, key, "stands in no site's settings")
	}
}

// TestClassesFollowSettings: which reqs are taken follows from the settings: each class by its name, with a key where its
// effect wants one, without where not, and with its own time where the client names none.
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
			assert.ErrorContains(t, err, "404", "no class of another site is known")
		}
	}
}

// TestTenantByAccountField: a req counts in the share of the tenant that it names; one that names none, or none that the settings
// know, in nobody's. Where there are no tenants the field says nothing.
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
