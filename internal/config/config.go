// Package config is the one place where configuration is read, checked and given defaults.
package config

import (
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"tinsail/internal/balance"
	"tinsail/internal/platform"
	"tinsail/internal/wire"
)

// Config is all that a dispatcher is told at its start.
type Config struct {
	Name, Listen, Discovery string
	Cores                   float64
	Memory                  int64 // bytes
	Sockets                 int
	Settings                balance.Settings
	Names                   platform.Names
	ConnIdle                time.Duration // a backend closes an idle connection after this
	Known                   platform.List // as last held, maybe old
}

type file struct {
	Name, Listen, Discovery, Seed string
	Limits                        struct {
		Cores    *float64 `json:"cores"`
		MemoryMB *float64 `json:"memory_mb"`
		Sockets  *int     `json:"sockets"`
	} `json:"limits"`
	Known    jsoniter.RawMessage `json:"known"`
	Settings jsoniter.RawMessage `json:"settings"`
}

// Load reads the file that ROUTER_CONFIG names. The other variables stand in for keys that
// the file lacks.
func Load(env func(string) string) (*Config, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("ROUTER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	return Parse(text, env)
}

// Parse reads a configuration. Keys it does not know are ignored; errors name the key.
func Parse(text []byte, env func(string) string) (*Config, error) {
	var f file
	if err := jsoniter.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c := &Config{Name: or(f.Name, env("ROUTER_NAME")), Listen: or(f.Listen, env("ROUTER_LISTEN")),
		Discovery: or(f.Discovery, env("ROUTER_DISCOVERY")), Cores: 1, Memory: 192 << 20, Sockets: 1024,
		ConnIdle: 10 * time.Second}
	for _, a := range [][2]string{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(a[1]); err != nil {
			return nil, fmt.Errorf("config: %s is %q, want host:port", a[0], a[1])
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("config: seed is %q, want up to 16 hexadecimal digits", f.Seed)
	}
	if v := f.Limits.Cores; v != nil {
		if c.Cores = *v; c.Cores <= 0 {
			return nil, fmt.Errorf("config: limits.cores is %v, want more than 0", *v)
		}
	}
	if v := f.Limits.MemoryMB; v != nil {
		if c.Memory = int64(*v * (1 << 20)); *v < 16 {
			return nil, fmt.Errorf("config: limits.memory_mb is %v, want at least 16", *v)
		}
	}
	if v := f.Limits.Sockets; v != nil {
		if c.Sockets = *v; c.Sockets < 64 {
			return nil, fmt.Errorf("config: limits.sockets is %d, want at least 64", *v)
		}
	}
	if err := c.settings(seed, f.Settings); err != nil {
		return nil, fmt.Errorf("config: settings: %w", err)
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		if c.Known, err = c.Names.ReadList(f.Known); err != nil {
			return nil, fmt.Errorf("config: known: %w", err)
		}
	}
	return c, nil
}

func (c *Config) settings(seed uint64, text []byte) (err error) {
	if len(text) == 0 {
		return fmt.Errorf("missing")
	}
	var names wire.Names
	if c.Settings, names, err = wire.ParseNamed(seed, text); err != nil {
		return err
	}
	if v := names.ConnIdleMs; v != nil {
		if *v <= 0 {
			return fmt.Errorf("Allowed.ConnIdleMs is %v, want more than 0", *v)
		}
		c.ConnIdle = millis(*v)
	}
	if c.Settings.ConnectTimeout <= 0 {
		return fmt.Errorf("Allowed.ConnectTimeoutMs is %v, want more than 0", c.Settings.ConnectTimeout)
	}
	c.Names = platform.Names{Classes: names.Classes, Zones: names.Zones, Kinds: names.Models, Columns: names.Columns}
	for i, name := range names.Classes {
		if name == "" {
			return fmt.Errorf("Classes[%d].Name is empty", i)
		}
		c.Names.Keyed = append(c.Names.Keyed, c.Settings.Classes[i].Effect == balance.Deduped)
		c.Names.Limits = append(c.Names.Limits, millis(c.Settings.Classes[i].Deadline))
	}
	return nil
}

// Fixed names the keys that another configuration changes and that hold from the start of
// the program to its end. What is known of backends is no such key: it is old by then.
func (c *Config) Fixed(other *Config) (keys []string) {
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == other.Name}, {"listen", c.Listen == other.Listen},
		{"limits", c.Cores == other.Cores && c.Memory == other.Memory && c.Sockets == other.Sockets},
		{"settings", c.ConnIdle == other.ConnIdle && reflect.DeepEqual(c.Names, other.Names) && sameSettings(c.Settings, other.Settings)},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// sameSettings leaves the seed aside: it is for a start, and each start has its own.
func sameSettings(a, b balance.Settings) bool {
	a.Seed = b.Seed
	return reflect.DeepEqual(a, b)
}

// Longest is the longest deadline of a class.
func (c *Config) Longest() time.Duration {
	most := time.Duration(0)
	for _, l := range c.Names.Limits {
		most = max(most, l)
	}
	return most
}

func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func or(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
