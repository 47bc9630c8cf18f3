// Package policy is what the fleet agrees on (docs/design/accord.md): the body of a version, as bytes
// and as values. It decides nothing and does no I/O.
package policy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// Limits of a policy, each against a body that sends too much.
const (
	MaxUnits = 1_000_000 // connections a second: no budget is larger
	MaxMost  = 100_000   // dispatchers
	MaxBans  = 1000
	MaxName  = 128 // bytes of a backend's name
)

// Policy is one version's content. Its values are the fleet's, not one dispatcher's.
type Policy struct {
	Connections int      `json:"connections"` // new connections to backends a second; 0: each dispatcher's own script says
	Most        int      `json:"most"`        // most dispatchers at once, 0: the configuration's count
	Reserve     float64  `json:"reserve"`     // part of the whole held as reserves
	Bans        []string `json:"bans"`        // backends that nothing is sent to, in the order of names
}

// Append writes a policy: two that say the same have the same bytes.
func (p Policy) Append(b []byte) []byte {
	p.Bans = slices.Compact(slices.Sorted(slices.Values(p.Bans)))
	if p.Bans == nil {
		p.Bans = []string{}
	}
	text, err := json.Marshal(p)
	if err != nil { // a number that JSON does not have: Check refuses it
		return append(b, "{}"...)
	}
	return append(b, text...)
}

// Read reads a policy strictly: a key that this binary does not know is a fault, since to take up the
// rest would be to decide by another policy than the others.
func Read(body []byte) (Policy, error) {
	var p Policy
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return Policy{}, fmt.Errorf("the policy cannot be read: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Policy{}, errors.New("the policy goes on after its end")
	}
	return p, p.Check()
}

// Check names the value that is out of range.
func (p Policy) Check() error {
	switch {
	case p.Connections < 0 || p.Connections > MaxUnits:
		return fmt.Errorf("policy.connections is %d, want 0 to %d", p.Connections, MaxUnits)
	case p.Most < 0 || p.Most > MaxMost:
		return fmt.Errorf("policy.most is %d, want 0 to %d", p.Most, MaxMost)
	case !(p.Reserve >= 0 && p.Reserve <= 1):
		return fmt.Errorf("policy.reserve is %v, want 0 to 1", p.Reserve)
	case len(p.Bans) > MaxBans:
		return fmt.Errorf("policy.bans names %d backends, at most %d", len(p.Bans), MaxBans)
	}
	for _, name := range p.Bans {
		if name == "" || len(name) > MaxName {
			return fmt.Errorf("policy.bans has a name of %d bytes, want 1 to %d", len(name), MaxName)
		}
	}
	return nil
}
