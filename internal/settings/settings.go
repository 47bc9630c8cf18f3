// Package settings reads the settings script, which holds the settings that the platform does not provide.
//
// The script is Starlark, reduced to a language of declarations: calls with named values, each call at
// most once, such as
//
//	http2(listen = "127.0.0.1:8082", max_streams = 128)
//
// Variables, arithmetic on numeric literals, conditions, comprehensions over lists of the script and load
// of files in the same directory are allowed. schema.json is the only definition of the calls, their keys,
// valid values and defaults; validation, defaults and the reference in docs are derived from it.
package settings

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// Settings is the result of a script. A part that the script does not call is nil, and disabled.
type Settings struct {
	HTTP2       *HTTP2       `json:"http2"`
	Consul      *Consul      `json:"consul"`
	Backends    *Backends    `json:"backends"`
	MemberRules *MemberRules `json:"member_rules"`
	Budgets     *Budgets     `json:"budgets"`
	Policy      *Policy      `json:"policy"`
	Accord      *Accord      `json:"accord"`
	Quotas      *Quotas      `json:"quotas"`

	positions map[string]Fault // position of each call and key, as a Fault without a problem
}

// Fault returns a fault, with its position, for a key or a call that the user of the settings found invalid.
func (s *Settings) Fault(key, problem string) Fault {
	f, ok := s.positions[key]
	if !ok {
		call, _, _ := strings.Cut(key, ".")
		f = s.positions[call]
	}
	f.Key, f.Problem = key, problem
	return f
}

// Budgets sets fleet-wide budgets; schema.json describes each value.
type Budgets struct {
	Connections int     `json:"connections"`
	Most        int     `json:"most"`
	Reserve     float64 `json:"reserve"`
	Keeper      string  `json:"keeper"`
	KeeperAt    string  `json:"keeper_at"`
	LeaseMs     int     `json:"lease_ms"`
	Drift       float64 `json:"drift"`
}

// Policy is the policy that the fleet agrees on; schema.json describes each value.
type Policy struct {
	Connections    int      `json:"connections"`
	MaxDispatchers int      `json:"most"`
	Reserve        float64  `json:"reserve"`
	Bans           []string `json:"bans"`

	Quotas        map[string]int `json:"quotas"`
	UrgentReserve int            `json:"urgent_reserve"`
	UrgentClasses []string       `json:"urgent_classes"`
	RunMS         int            `json:"run_ms"`
}

// Quotas sets how the policy's quotas are lent; schema.json describes each value.
type Quotas struct {
	Region        string   `json:"region"`
	Lenders       []string `json:"lenders"`
	LeaseMS       int      `json:"lease_ms"`
	RegionLeaseMS int      `json:"region_lease_ms"`
}

// Accord sets how the fleet agrees on a policy version; schema.json describes each value.
type Accord struct {
	Voters  []string `json:"voters"`
	Listen  string   `json:"listen"`
	LeaseMS int      `json:"lease_ms"`
	Drift   float64  `json:"drift"`
	WhenCut string   `json:"when_cut"`
	Data    string   `json:"data"`
}

// ContinueWhenCut reports whether a dispatcher that is cut off from the fleet continues with the version it knows.
func (a *Accord) ContinueWhenCut() bool { return a.WhenCut == "keep" }

// HTTP2 sets the HTTP/2 front, a listener with its protocol; schema.json describes each value.
type HTTP2 struct {
	Listen         string `json:"listen"`
	MaxStreams     int    `json:"max_streams"`
	MaxHeaderBytes int    `json:"max_header_bytes"`
	MaxFrameBytes  int    `json:"max_frame_bytes"`
	OnReset        string `json:"on_reset"`
	StallMS        int    `json:"stall_ms"`
	DrainMS        int    `json:"drain_ms"`
}

// Consul sets Consul as a source of backends; schema.json describes each value.
type Consul struct {
	Address       []string `json:"address"`
	Service       string   `json:"service"`
	Tags          []string `json:"tags"`
	Filter        string   `json:"filter"`
	Scheme        string   `json:"scheme"`
	DC            string   `json:"dc"`
	Namespace     string   `json:"namespace"`
	Partition     string   `json:"partition"`
	TokenFile     string   `json:"token_file"`
	TokenEnv      string   `json:"token_env"`
	CAFile        string   `json:"ca_file"`
	CertFile      string   `json:"cert_file"`
	KeyFile       string   `json:"key_file"`
	Stale         bool     `json:"stale"`
	MaxStaleMS    int      `json:"max_stale_ms"`
	WaitMS        int      `json:"wait_ms"`
	TimeoutMS     int      `json:"timeout_ms"`
	MaxBodyKB     int      `json:"max_body_kb"`
	MaxEntries    int      `json:"max_entries"`
	CallsPerS     int      `json:"calls_per_s"`
	KindMeta      string   `json:"kind_meta"`
	ZoneMeta      string   `json:"zone_meta"`
	GroupMeta     string   `json:"group_meta"`
	WeightMeta    string   `json:"weight_meta"`
	StartedMeta   string   `json:"started_meta"`
	Register      string   `json:"register"`
	RegisterCheck string   `json:"register_check"`
	RegisterTTLMS int      `json:"register_ttl_ms"`
}

// Backends sets the other sources of backends; schema.json describes each value.
type Backends struct {
	Director     bool     `json:"director"`
	Static       []string `json:"static"`
	StaticWeight int      `json:"static_weight"`
}

// MemberRules sets when the data of a catalogue is considered wrong; schema.json describes each value.
type MemberRules struct {
	DoubtMS       int  `json:"doubt_ms"`
	HoldMS        int  `json:"hold_ms"`
	PanicPercent  int  `json:"panic_percent"`
	PanicWindowMS int  `json:"panic_window_ms"`
	PanicHoldMS   int  `json:"panic_hold_ms"`
	Flaps         int  `json:"flaps"`
	FlapWindowMS  int  `json:"flap_window_ms"`
	SettleMS      int  `json:"settle_ms"`
	WarningDrains bool `json:"warning_drains"`
}

// DefaultHTTP2 returns the settings of an HTTP/2 front at an address, with the schema's defaults.
func DefaultHTTP2(listen string) *HTTP2 {
	s, err := Parse("defaults", func(string) ([]byte, error) { return []byte("http2(listen = \"127.0.0.1:1\")"), nil })
	if err != nil { // the schema lacks a default: every test would fail
		panic(err)
	}
	s.HTTP2.Listen = listen
	return s.HTTP2
}

// CancelOnReset reports whether a reset of a stream cancels the request's attempts at backends.
func (h *HTTP2) CancelOnReset() bool { return h.OnReset == "stop" }

// StallTimeout returns how long an answer waits for its client.
func (h *HTTP2) StallTimeout() time.Duration { return time.Duration(h.StallMS) * time.Millisecond }

// DrainTimeout returns how long the first GOAWAY may stay unacknowledged.
func (h *HTTP2) DrainTimeout() time.Duration { return time.Duration(h.DrainMS) * time.Millisecond }

// Fault is one error in a script. Line and Column count from 1 and are 0 if the fault concerns the whole
// file. Key is the call, or the call and its key separated by a dot.
type Fault struct {
	File         string
	Line, Column int
	Key          string
	Problem      string
}

func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	b.WriteString(": ")
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Problem)
	return b.String()
}

// Faults are all errors found, in the order of their positions. It is the error type of Load and Parse.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// maxFileBytes bounds the size of each file of a script, and maxFiles the number of files it may load.
const (
	maxFileBytes = 256 << 10
	maxFiles     = 16
)

// Load reads the script at a path. Its load statements reach only files of the same directory. An empty
// path means no script: everything is disabled. The error is of type Faults.
func Load(path string) (*Settings, error) {
	if path == "" {
		return &Settings{}, nil
	}
	root, err := os.OpenRoot(filepath.Dir(path))
	if err != nil {
		return nil, Faults{{File: path, Problem: err.Error()}}
	}
	defer root.Close()
	return Parse(filepath.Base(path), func(name string) ([]byte, error) {
		f, err := root.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		if info, err := f.Stat(); err != nil || !info.Mode().IsRegular() { // reading a pipe would block
			return nil, fmt.Errorf("%s is no regular file", name)
		}
		text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
		if err == nil && len(text) > maxFileBytes {
			err = fmt.Errorf("%s has more than %d bytes", name, maxFileBytes)
		}
		return text, err
	})
}

// Parse runs the script with a name; read returns the text of a file. The error is of type Faults.
func Parse(name string, read func(name string) ([]byte, error)) (*Settings, error) {
	s := script{read: read, calls: map[string]*call{}, loadedFiles: map[string]*loadedFile{}}
	if err := s.run(name); err != nil {
		return nil, s.faultsOf(name, err)
	}
	doc := map[string]any{}
	for call, c := range s.calls {
		doc[call] = c.values
	}
	if err := schema().Validate(doc); err != nil {
		return nil, s.schemaFaults(err)
	}
	for call, c := range s.calls {
		for key, p := range properties(call) {
			if _, set := c.values[key]; !set && p.Default != nil {
				c.values[key] = p.Default
			}
		}
	}
	text, err := json.Marshal(doc)
	if err != nil {
		return nil, Faults{{File: name, Problem: err.Error()}}
	}
	out := &Settings{positions: map[string]Fault{}}
	for call, c := range s.calls {
		out.positions[call] = c.fault(call, "", "")
		for key := range c.keys {
			out.positions[call+"."+key] = c.fault(call, key, "")
		}
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields() // the schema and the structs must have the same keys
	if err := d.Decode(out); err != nil {
		return nil, Faults{{File: name, Problem: err.Error()}}
	}
	return out, nil
}

// Changes names the keys that differ in other: those that take effect at once or for new connections, and those
// that take effect at the next start of the program.
func (s *Settings) Changes(other *Settings) (now, later []string) {
	for _, call := range calls() {
		if call == "policy" { // shared by the fleet: a change is a proposal, and the accord logs its outcome
			continue
		}
		a, b := s.callValues(call), other.callValues(call)
		if a == nil && b == nil {
			continue
		}
		if a == nil || b == nil { // listeners are opened and closed only at the start
			later = append(later, call)
			continue
		}
		for _, key := range keys(call) {
			if reflect.DeepEqual(a[key], b[key]) {
				continue
			}
			if properties(call)[key].Holds == "next start" {
				later = append(later, call+"."+key)
			} else {
				now = append(now, call+"."+key)
			}
		}
	}
	return now, later
}

// callValues returns a call's values by key, or nil if the script did not make the call.
func (s *Settings) callValues(call string) map[string]any {
	text, err := json.Marshal(s)
	if err != nil {
		return nil
	}
	var all map[string]map[string]any
	if json.Unmarshal(text, &all) != nil {
		return nil
	}
	return all[call]
}

//go:embed schema.json
var schemaText []byte

// property is the schema's definition of a key, or of a call.
type property struct {
	Description string              `json:"description"`
	Type        string              `json:"type"`
	Default     any                 `json:"default"`
	Wanted      string              `json:"x-wanted"`
	Holds       string              `json:"x-holds"`
	Required    []string            `json:"required"`
	Properties  map[string]property `json:"properties"`
}

// root is the schema decoded for the reference and the defaults.
var root = sync.OnceValue(func() (p property) {
	if err := json.Unmarshal(schemaText, &p); err != nil {
		panic(err)
	}
	return p
})

// schema is the schema compiled for validation, at the first use: a start without a script, which a restart
// waits for, does not spend the time. The schema is embedded in the program, so an error in it would fail every
// test.
var schema = sync.OnceValue(func() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("settings.json", doc); err != nil {
		panic(err)
	}
	return c.MustCompile("settings.json")
})

func calls() []string { return sortedKeys(root().Properties) }

func properties(call string) map[string]property { return root().Properties[call].Properties }

// keys returns a call's keys, the required ones first.
func keys(call string) []string {
	p := root().Properties[call]
	list := sortedKeys(p.Properties)
	slices.SortStableFunc(list, func(a, b string) int {
		return requiredFirst(p, a) - requiredFirst(p, b)
	})
	return list
}

func requiredFirst(p property, key string) int {
	if slices.Contains(p.Required, key) {
		return 0
	}
	return 1
}

func sortedKeys[T any](m map[string]T) []string {
	list := make([]string, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

// schemaFaults converts the errors of the validation into faults with their positions in the script.
func (s *script) schemaFaults(err error) Faults {
	var faults Faults
	var walk func(*jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		if len(e.Causes) > 0 {
			for _, c := range e.Causes {
				walk(c)
			}
			return
		}
		c := s.calls[e.InstanceLocation[0]]
		entry := ""
		if len(e.InstanceLocation) > 2 { // a value in a list: report the whole list; in a dictionary: report the entry
			if m, ok := c.values[e.InstanceLocation[1]].(map[string]any); ok {
				got, _ := json.Marshal(m[e.InstanceLocation[2]])
				entry = fmt.Sprintf("has %q: %s", e.InstanceLocation[2], truncate(got))
			}
			e.InstanceLocation, e.ErrorKind = e.InstanceLocation[:2], nil
		}
		name := e.InstanceLocation[0]
		switch k := e.ErrorKind.(type) {
		case *kind.Required:
			for _, key := range k.Missing {
				faults = append(faults, c.fault(name, key, "is missing, want "+properties(name)[key].Wanted))
			}
		case *kind.AdditionalProperties:
			for _, key := range k.Properties {
				faults = append(faults, c.fault(name, key, "is no key of "+name+", want one of "+strings.Join(keys(name), ", ")))
			}
		default:
			key := ""
			if len(e.InstanceLocation) > 1 {
				key = e.InstanceLocation[1]
			}
			if entry == "" {
				got, _ := json.Marshal(c.values[key])
				entry = "is " + truncate(got)
			}
			if len(faults) > 0 && faults[len(faults)-1].Key == name+"."+key { // one fault per key is enough
				return
			}
			faults = append(faults, c.fault(name, key, entry+", want "+properties(name)[key].Wanted))
		}
	}
	if v, ok := err.(*jsonschema.ValidationError); ok {
		walk(v)
	}
	slices.SortFunc(faults, func(a, b Fault) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return strings.Compare(a.Key, b.Key)
	})
	return faults
}

// truncate shortens a value for an error message.
func truncate(text []byte) string {
	const maxBytes = 200
	if len(text) > maxBytes {
		return strings.ToValidUTF8(string(text[:maxBytes]), "") + "..."
	}
	return string(text)
}

// effectTexts are the reference's texts for the values of x-holds: what a change takes effect for.
var effectTexts = map[string]string{"next start": "the next start", "new connections": "connections from then on", "now": "at once",
	"accord": "the fleet, once it is decided"}

// Reference returns the reference of all settings as Markdown, generated from the schema.
func Reference() string {
	var b strings.Builder
	b.WriteString("# The settings script\n\nWritten from `internal/settings/schema.json` by `tinsail reference`.\n")
	for _, call := range calls() {
		p := root().Properties[call]
		fmt.Fprintf(&b, "\n## %s(...)\n\n%s\n\n| key | wanted | default | a change holds for |\n| --- | --- | --- | --- |\n", call, p.Description)
		for _, key := range keys(call) {
			k := p.Properties[key]
			def := "must be set"
			if k.Default != nil {
				text, _ := json.Marshal(k.Default)
				def = "`" + string(text) + "`"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", key, k.Wanted, def, effectTexts[k.Holds])
		}
		b.WriteString("\n")
		for _, key := range keys(call) {
			fmt.Fprintf(&b, "- `%s`: %s\n", key, p.Properties[key].Description)
		}
	}
	return b.String()
}
