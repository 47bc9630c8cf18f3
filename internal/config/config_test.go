package config

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:8081","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964","later":1,
 "limits":{"cores":0.4,"memory_mb":100,"sockets":512},
 "known":{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.3:1","zone":"z","type":"b","status":"Ready","weight":4}]},
 "settings":{"Allowed":{"ConnIdleMs":8000.0,"ConnectTimeoutMs":120.0,"MaxAttempts":5},"Classes":[{"AimMs":120,
 "HardLimitMs":5000.0,"Effect":"read_like","Name":"ingest"}],"Models":["a","b"],"Zones":["z"],"Report":{"Columns":["failed_ps","x0"]}}}`

func noEnv(string) string { return "" }

func TestParse(t *testing.T) {
	c, err := Parse([]byte(validConfig), noEnv)
	require.NoError(t, err)
	assert.Equal(t, "n3", c.Name)
	assert.Equal(t, uint64(0x8c1f30d27a5be964), c.Settings.Seed)
	assert.Equal(t, 0.4, c.Cores)
	assert.Equal(t, int64(100<<20), c.MemoryBytes)
	assert.Equal(t, 512, c.Sockets)
	assert.Equal(t, 8*time.Second, c.BackendIdleTimeout)
	assert.Equal(t, 5*time.Second, c.LongestDeadline())
	assert.Equal(t, uint64(41), c.KnownBackends.Index)
	assert.Equal(t, 1, c.KnownBackends.Entries[0].Kind)
	assert.Equal(t, balance.Ready, c.KnownBackends.Entries[0].State)
	assert.Equal(t, []string{"failed_ps", "x0"}, c.Names.Columns)
}

func TestDefaults(t *testing.T) {
	text := strings.Replace(validConfig, `"limits":{"cores":0.4,"memory_mb":100,"sockets":512},`, "", 1)
	text = strings.Replace(text, `"listen":"127.0.0.1:8081",`, "", 1)
	text = strings.Replace(text, `"ConnIdleMs":8000.0,`, "", 1)
	c, err := Parse([]byte(text), func(key string) string {
		return map[string]string{"ROUTER_LISTEN": "127.0.0.9:1", "ROUTER_ADMIN": "127.0.0.9:2"}[key]
	})
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.9:2", c.Admin)
	assert.Equal(t, "127.0.0.9:1", c.Listen)
	assert.Equal(t, []any{1.0, int64(192 << 20), 1024, 10 * time.Second}, []any{c.Cores, c.MemoryBytes, c.Sockets, c.BackendIdleTimeout})
}

// TestFaultsNameTheKey: each message names the key that is wrong, so that a reader knows what to correct.
func TestFaultsNameTheKey(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"listen":"127.0.0.1:8081"`, `"listen":"here"`, "listen"},
		{`"discovery":"127.0.0.2:8500",`, ``, "discovery"},
		{`"8c1f30d27a5be964"`, `"tea"`, "seed"},
		{`"cores":0.4`, `"cores":0`, "line 2: limits.cores is 0, want more than 0"},
		{`"memory_mb":100`, `"memory_mb":1`, "limits.memory_mb"},
		{`"sockets":512`, `"sockets":3`, "limits.sockets"},
		{`"index":41,`, ``, "line 3: known"},
		{`"ConnIdleMs":8000.0`, `"ConnIdleMs":0`, "Allowed.ConnIdleMs"},
		{`"ConnectTimeoutMs":120.0`, `"ConnectTimeoutMs":0`, "Allowed.ConnectTimeoutMs"},
		{`"Name":"ingest"`, `"Name":""`, "Classes[0].Name"},
		{`"read_like"`, `"odd"`, "line 5: settings.Classes[0].Effect is \"odd\""},
		{`"settings":`, `"other":`, "settings"},
		{`"name":"n3"`, `"name":3`, "line 1: name is 3, want a text"},
		{`"name":"n3"`, `"admin":"here","name":"n3"`, `line 1: admin is "here", want host:port`},
		{`"name":"n3"`, `"admin":"127.0.0.1:x","name":"n3"`, `admin is "127.0.0.1:x", want host:port`},
		{`"name":"n3"`, `"admin":"127.0.0.1:8081","name":"n3"`, `admin is "127.0.0.1:8081", where clients connect already`},
	} {
		_, err := Parse([]byte(strings.Replace(validConfig, c.from, c.to, 1)), noEnv)
		assert.ErrorContains(t, err, c.want)
	}
	bad := strings.NewReplacer(`"cores":0.4`, `"cores":"x"`, `"sockets":512`, `"sockets":3`, `"read_like"`, `"odd"`).Replace(validConfig)
	_, err := Parse([]byte(bad), noEnv)
	assert.Len(t, err, 3, "all faults are reported at once")
	_, err = Parse([]byte("{"), noEnv)
	assert.ErrorContains(t, err, "config line 1")
	_, err = Load(noEnv)
	assert.ErrorContains(t, err, "ROUTER_CONFIG")
}

// TestChangedFixedKeys: exactly the changed keys that need a restart are named.
func TestChangedFixedKeys(t *testing.T) {
	c, err := Parse([]byte(validConfig), noEnv)
	require.NoError(t, err)
	for _, f := range []struct {
		from, to string
		want     []string
	}{
		{`127.0.0.2:8500`, `127.0.0.4:8500`, nil},
		{`8c1f30d27a5be964`, `1`, nil},
		{`"index":41`, `"index":42`, nil},
		{`"n3"`, `"n4"`, []string{"name"}},
		{`"n3"`, `"n3","admin":"127.0.0.1:9"`, []string{"admin"}},
		{`127.0.0.1:8081`, `127.0.0.1:8082`, []string{"listen"}},
		{`"sockets":512`, `"sockets":256`, []string{"limits"}},
		{`"MaxAttempts":5`, `"MaxAttempts":4`, []string{"settings"}},
		{`"ConnIdleMs":8000.0`, `"ConnIdleMs":9000.0`, []string{"settings"}},
	} {
		other, err := Parse([]byte(strings.Replace(validConfig, f.from, f.to, 1)), noEnv)
		require.NoError(t, err)
		assert.Equal(t, f.want, c.ChangedFixedKeys(other), f.to)
	}
}
