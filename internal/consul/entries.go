package consul

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"

	"github.com/hashicorp/consul/api"

	"tinsail/internal/membership"
)

// MetaMapping names the keys of an instance's metadata that hold what Consul has no field for. Kinds and Zones
// list the names whose index is a backend's kind or zone. What the metadata doesn't tell is membership.Unknown, as is
// a name that is not listed.
type MetaMapping struct {
	Kind, Zone, Group, Weight, Started string // keys of Service.Meta; empty if there is none
	Kinds, Zones                       []string
}

// isUnreadable reports whether a call failed because its answer could not be decoded.
func isUnreadable(err error) bool {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &kind) || errors.Is(err, io.ErrUnexpectedEOF)
}

// backends converts an answer into backends. An invalid entry is refused, logged and counted; the other entries
// are used.
func (w *Watch) backends(list []*api.ServiceEntry) []membership.Backend {
	if n := w.Config.MaxEntries; n > 0 && len(list) > n {
		w.Counts.EntriesRefused.Add(int64(len(list) - n))
		w.Log.Warn().Int("entries", len(list)).Int("most", n).Msg("consul list too long")
		list = list[:n]
	}
	out := make([]membership.Backend, 0, len(list))
	seen := make(map[string]int, len(list))
	index := make([]uint64, 0, len(list))
	for _, e := range list {
		b, reason := w.Meta.backend(e)
		if reason != "" {
			w.Counts.EntriesRefused.Add(1)
			id := ""
			if e != nil && e.Service != nil {
				id = e.Service.ID
			}
			w.Log.Warn().Str("id", strconv.QuoteToASCII(id)).Str("why", reason).Msg("consul entry refused")
			continue
		}
		if at, ok := seen[b.Name]; ok { // agents disagree, or the instance moved to another node: the newer entry is used
			w.Counts.Duplicates.Add(1)
			if e.Service.ModifyIndex > index[at] {
				out[at], index[at] = b, e.Service.ModifyIndex
			}
			continue
		}
		seen[b.Name] = len(out)
		out, index = append(out, b), append(index, e.Service.ModifyIndex)
	}
	return out
}

// maxNameBytes bounds an instance's id and its host.
const maxNameBytes = 256

// backend converts one entry. If reason is not empty, the entry is invalid.
func (f *MetaMapping) backend(e *api.ServiceEntry) (b membership.Backend, reason string) {
	if e == nil || e.Service == nil {
		return b, "no service"
	}
	s := e.Service
	if b.Name = s.ID; b.Name == "" || len(b.Name) > maxNameBytes || !printable(b.Name) {
		return b, "invalid id"
	}
	host := s.Address
	if host == "" && e.Node != nil {
		host = e.Node.Address
	}
	if host == "" || len(host) > maxNameBytes || !printable(host) {
		return b, "no address"
	}
	if s.Port < 1 || s.Port > 65535 {
		return b, "invalid port"
	}
	b.Address = net.JoinHostPort(host, strconv.Itoa(s.Port))
	b.Health = worstHealth(e.Checks)
	if b.Weight = float64(s.Weights.Passing); b.Health == membership.Warning {
		b.Weight = float64(s.Weights.Warning)
	}
	if b.Weight < 0 {
		b.Weight = 0
	}
	number := func(key string, to *float64) bool {
		text := s.Meta[key]
		if key == "" || text == "" {
			return true
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
		*to = v
		return true
	}
	group := float64(membership.Unknown)
	b.Started = membership.Unknown
	if !number(f.Weight, &b.Weight) || !number(f.Started, &b.Started) || !number(f.Group, &group) || group > math.MaxInt32 || group != math.Trunc(group) {
		return b, "invalid number in its metadata"
	}
	b.Group = int(group)
	b.Kind = indexOf(f.Kinds, s.Meta[f.Kind])
	b.Zone = indexOf(f.Zones, s.Meta[f.Zone])
	return b, ""
}

// indexOf returns the index of a name, or membership.Unknown.
func indexOf(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return membership.Unknown
}

// worstHealth returns the worst state of an instance's checks. Maintenance mode is a check recognized by its id: an
// operator requests that the instance gets no new requests.
func worstHealth(checks api.HealthChecks) membership.Health {
	worst := membership.Passing
	for _, c := range checks {
		h := membership.Critical
		switch {
		case c.CheckID == api.NodeMaint || strings.HasPrefix(c.CheckID, api.ServiceMaintPrefix):
			return membership.Drain
		case c.Status == api.HealthPassing:
			h = membership.Passing
		case c.Status == api.HealthWarning:
			h = membership.Warning
		}
		worst = max(worst, h)
	}
	return worst
}

func printable(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}
