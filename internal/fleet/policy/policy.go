// Package policy defines the policy that the fleet agrees on (docs/design/accord.md): the content of a version, as a
// struct and as bytes. It makes no decisions and does no I/O.
package policy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
)

// Limits that protect against a policy that is too large.
const (
	MaxConnections     = 1_000_000 // connections per second; no budget is larger
	MaxDispatcherCount = 100_000   // dispatchers
	MaxBans            = 1000
	MaxName            = 128 // bytes of a backend's, a team's or a class's name

	MaxQuotas        = 1024        // teams; each has an entry in the table of every lender and dispatcher
	MaxInFlight      = 1_000_000   // requests in flight; no quota and no reserve is larger
	MinRunMS         = 100         // a shorter limit would end nearly every request early
	MaxRunMS         = 604_800_000 // a week; what a dispatcher held stays counted for this long if it falls silent
	MaxUrgentClasses = 64          // urgent classes
)

// Policy is the content of one version. Its values hold for the whole fleet, not for one dispatcher.
type Policy struct {
	Connections    int      `json:"connections"` // new connections to backends per second; 0: as each dispatcher's own settings script says
	MaxDispatchers int      `json:"most"`        // maximum number of dispatchers at once; 0: the count in the configuration
	Reserve        float64  `json:"reserve"`     // fraction of the connections held as reserves
	Bans           []string `json:"bans"`        // backends that get no requests, sorted

	// The fields below are omitted if empty, so that a policy without quotas has the same bytes as before quotas were
	// introduced (docs/design/quota.md).
	Quotas        map[string]int `json:"quotas,omitempty"`         // limit of requests in flight over the whole fleet, by team; other teams have no limit
	UrgentReserve int            `json:"urgent_reserve,omitempty"` // requests in flight per region beyond the quotas, for urgent classes only
	UrgentClasses []string       `json:"urgent_classes,omitempty"` // sorted
	RunMS         int            `json:"run_ms,omitempty"`         // ms; no request is in flight for longer, whatever deadline its client set
}

// Append appends the encoded policy to b. Policies that mean the same have the same bytes.
func (p Policy) Append(b []byte) []byte {
	p.Bans = slices.Compact(slices.Sorted(slices.Values(p.Bans)))
	if p.Bans == nil {
		p.Bans = []string{}
	}
	p.UrgentClasses = slices.Compact(slices.Sorted(slices.Values(p.UrgentClasses)))
	text, err := json.Marshal(p)
	if err != nil { // a number that JSON cannot represent, such as NaN; Check refuses it
		return append(b, "{}"...)
	}
	return append(b, text...)
}

// Read decodes and checks a policy. A key that this binary does not know is an error: if it were ignored, this
// dispatcher would apply another policy than the others.
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

// Check returns an error that names the value that is out of range.
func (p Policy) Check() error {
	switch {
	case p.Connections < 0 || p.Connections > MaxConnections:
		return fmt.Errorf("policy.connections is %d, want 0 to %d", p.Connections, MaxConnections)
	case p.MaxDispatchers < 0 || p.MaxDispatchers > MaxDispatcherCount:
		return fmt.Errorf("policy.most is %d, want 0 to %d", p.MaxDispatchers, MaxDispatcherCount)
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
	return p.checkQuotas()
}

func (p Policy) checkQuotas() error {
	switch {
	case len(p.Quotas) > MaxQuotas:
		return fmt.Errorf("policy.quotas names %d teams, at most %d", len(p.Quotas), MaxQuotas)
	case p.UrgentReserve < 0 || p.UrgentReserve > MaxInFlight:
		return fmt.Errorf("policy.urgent_reserve is %d, want 0 to %d", p.UrgentReserve, MaxInFlight)
	case p.RunMS != 0 && (p.RunMS < MinRunMS || p.RunMS > MaxRunMS):
		return fmt.Errorf("policy.run_ms is %d, want %d to %d", p.RunMS, MinRunMS, MaxRunMS)
	case len(p.UrgentClasses) > MaxUrgentClasses:
		return fmt.Errorf("policy.urgent_classes names %d classes, at most %d", len(p.UrgentClasses), MaxUrgentClasses)
	case len(p.Quotas) == 0 && p.UrgentReserve > 0:
		return errors.New("policy.urgent_reserve is set, and policy.quotas is not: nothing would need it")
	case len(p.Quotas) > 0 && p.RunMS == 0:
		return errors.New("policy.run_ms is not set, where policy.quotas is: nobody could know when what a lost dispatcher ran is over")
	case p.UrgentReserve > 0 && len(p.UrgentClasses) == 0:
		return errors.New("policy.urgent_classes is not set, where policy.urgent_reserve is: no req could draw on it")
	}
	for _, name := range slices.Sorted(maps.Keys(p.Quotas)) {
		if name == "" || len(name) > MaxName {
			return fmt.Errorf("policy.quotas has a name of %d bytes, want 1 to %d", len(name), MaxName)
		}
		if n := p.Quotas[name]; n < 0 || n > MaxInFlight {
			return fmt.Errorf("policy.quotas gives %q %d, want 0 to %d", name, n, MaxInFlight)
		}
	}
	for _, name := range p.UrgentClasses {
		if name == "" || len(name) > MaxName {
			return fmt.Errorf("policy.urgent_classes has a name of %d bytes, want 1 to %d", len(name), MaxName)
		}
	}
	return nil
}
