// Package config reads the dispatcher's configuration in the platform's JSON form, checks it and sets the defaults.
package config

import (
	"fmt"
	"math"
	"net"
	"os"
	"reflect"
	"strconv"
	"time"

	"tinsail/internal/balance"
	"tinsail/internal/platform"
	"tinsail/internal/wire"
)

// Config is the configuration that a dispatcher gets from the platform at its start.
type Config struct {
	Name, Listen, Discovery string
	Admin                   string // address of the operators' control listener (the door); empty: none
	Cores                   float64
	MemoryBytes             int64 // bytes
	Sockets                 int
	Settings                balance.Settings
	Names                   platform.Names
	BackendIdleTimeout      time.Duration // time after which a backend closes an idle connection
	KnownBackends           platform.List // last known list of backends, which may be outdated
}

// Load reads the file that ROUTER_CONFIG names. Other environment variables provide keys that the file lacks.
// The error is of type Faults.
func Load(env func(string) string) (*Config, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return nil, Faults{{Key: "ROUTER_CONFIG", Problem: "is not set"}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{Key: "ROUTER_CONFIG", Problem: err.Error()}}
	}
	return Parse(text, env)
}

// Parse reads a configuration. Unknown keys are ignored. The error is of type Faults and names every invalid key.
func Parse(text []byte, env func(string) string) (*Config, error) {
	r := reader{text: text}
	top := r.object("", text)
	limits := r.object("limits", top["limits"])
	c := &Config{Name: firstNonEmpty(r.stringValue("name", top), env("ROUTER_NAME")), Listen: firstNonEmpty(r.stringValue("listen", top), env("ROUTER_LISTEN")),
		Discovery: firstNonEmpty(r.stringValue("discovery", top), env("ROUTER_DISCOVERY")), Admin: firstNonEmpty(r.stringValue("admin", top), env("ROUTER_ADMIN")), Cores: 1, MemoryBytes: 192 << 20, Sockets: 1024,
		BackendIdleTimeout: 10 * time.Second}
	for _, a := range [][2]string{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(a[1]); err != nil {
			r.fault(a[0], "is %q, want host:port", a[1])
		}
	}
	r.admin(c)
	seedText := r.stringValue("seed", top)
	seed, err := strconv.ParseUint(seedText, 16, 64)
	if err != nil {
		r.fault("seed", "is %q, want up to 16 hexadecimal digits", seedText)
	}
	if v, ok := r.number("limits.cores", limits["cores"]); ok {
		if c.Cores = v; v <= 0 {
			r.fault("limits.cores", "is %v, want more than 0", v)
		}
	}
	if v, ok := r.number("limits.memory_mb", limits["memory_mb"]); ok {
		if c.MemoryBytes = int64(v * (1 << 20)); v < 16 {
			r.fault("limits.memory_mb", "is %v, want at least 16", v)
		}
	}
	if v, ok := r.number("limits.sockets", limits["sockets"]); ok {
		if c.Sockets = int(v); v < 64 || v != math.Trunc(v) {
			r.fault("limits.sockets", "is %v, want a whole number, at least 64", v)
		}
	}
	c.settings(&r, seed, top["settings"])
	if known := top["known"]; len(known) > 0 && string(known) != "null" {
		if c.KnownBackends, err = c.Names.ReadList(known); err != nil {
			r.fault("known", "is %v", err)
		}
	}
	if r.faults != nil {
		return nil, r.faults
	}
	return c, nil
}

// admin checks the address of the operators' control listener. It must not be the address for clients, who could
// call the operators' functions there.
func (r *reader) admin(c *Config) {
	if c.Admin == "" {
		return
	}
	_, port, err := net.SplitHostPort(c.Admin)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil {
		r.fault("admin", "is %q, want host:port", c.Admin)
	} else if c.Admin == c.Listen && n != 0 {
		r.fault("admin", "is %q, where clients connect already", c.Admin)
	}
}

// settings reads the platform's settings object and checks what the other packages require of it.
func (c *Config) settings(r *reader, seed uint64, text []byte) {
	if len(text) == 0 {
		r.fault("settings", "is missing")
		return
	}
	var names wire.Names
	var err error
	if c.Settings, names, err = wire.ParseNamed(seed, text); err != nil {
		r.settingsFaults(err)
		return
	}
	if v := names.ConnIdleMs; v != nil {
		if *v <= 0 {
			r.fault("settings.Allowed.ConnIdleMs", "is %v, want more than 0", *v)
		}
		c.BackendIdleTimeout = millis(*v)
	}
	if c.Settings.ConnectTimeout <= 0 {
		r.fault("settings.Allowed.ConnectTimeoutMs", "is %v, want more than 0", c.Settings.ConnectTimeout)
	}
	c.Names = platform.Names{Classes: names.Classes, Tenants: names.Tenants, Zones: names.Zones, Kinds: names.Models, Columns: names.Columns}
	for i, name := range names.Classes {
		at := fmt.Sprintf("settings.Classes[%d].", i)
		if name == "" {
			r.fault(at+"Name", "is empty")
		}
		if v := c.Settings.Classes[i].Aim; v <= 0 {
			r.fault(at+"AimMs", "is %v, want more than 0", v)
		}
		if v := c.Settings.Classes[i].Deadline; v <= 0 {
			r.fault(at+"HardLimitMs", "is %v, want more than 0", v)
		}
		c.Names.RequiresKey = append(c.Names.RequiresKey, c.Settings.Classes[i].Effect == balance.Deduped)
		c.Names.Deadlines = append(c.Names.Deadlines, millis(c.Settings.Classes[i].Deadline))
	}
	if r.faults != nil {
		return
	}
	if _, err := balance.New(c.Settings, noActions{}); err != nil { // further checks of package balance
		r.fault("settings", "%v", err)
	}
}

// noActions satisfies balance.Actions where New requires it. None of its methods is called.
type noActions struct{ balance.Actions }

// ChangedFixedKeys names the keys that differ in another configuration and that cannot change without a restart.
// The known list of backends is not among them: it only serves the start.
func (c *Config) ChangedFixedKeys(other *Config) (keys []string) {
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == other.Name}, {"listen", c.Listen == other.Listen}, {"admin", c.Admin == other.Admin},
		{"limits", c.Cores == other.Cores && c.MemoryBytes == other.MemoryBytes && c.Sockets == other.Sockets},
		{"settings", c.BackendIdleTimeout == other.BackendIdleTimeout && reflect.DeepEqual(c.Names, other.Names) && sameSettings(c.Settings, other.Settings)},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// sameSettings compares settings without the seed, which differs at each start.
func sameSettings(a, b balance.Settings) bool {
	a.Seed = b.Seed
	return reflect.DeepEqual(a, b)
}

// LongestDeadline returns the longest deadline of all classes.
func (c *Config) LongestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, l := range c.Names.Deadlines {
		longest = max(longest, l)
	}
	return longest
}

func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
