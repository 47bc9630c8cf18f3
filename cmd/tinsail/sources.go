package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/hashicorp/consul/api"

	"tinsail/internal/balance"
	"tinsail/internal/config"
	"tinsail/internal/consul"
	"tinsail/internal/membership"
	"tinsail/internal/network/members"
	"tinsail/internal/settings"
)

// sources are the sources of backends if the settings name others than the platform's director.
type sources struct {
	list         *members.List
	director     members.Source
	consul       members.Source
	static       members.Source
	stopWatch    context.CancelFunc // stops the watch that runs; nil if none does
	watchEnded   chan struct{}      // closed when it has ended
	count        consul.Counts
	registration *consul.Registration // this dispatcher's own entry in Consul; nil if there is none
}

// Ranks of the sources. If several name a backend, the one of the highest rank describes it.
const (
	staticRank = iota + 1
	directorRank
	consulRank
)

func millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// consulRules returns the membership rules of the Consul catalogue.
func consulRules(set *settings.MemberRules) membership.Rules {
	if set == nil {
		return membership.Defaults("consul", consulRank)
	}
	return membership.Rules{Name: "consul", Rank: consulRank, Doubt: millis(set.DoubtMS), Hold: millis(set.HoldMS),
		Panic: float64(set.PanicPercent) / 100, PanicWindow: millis(set.PanicWindowMS), PanicHold: millis(set.PanicHoldMS),
		Flaps: set.Flaps, FlapWindow: millis(set.FlapWindowMS), Settle: millis(set.SettleMS), WarningDrains: set.WarningDrains}
}

// usesDirector reports whether the platform's director is a source.
func usesDirector(set *settings.Settings) bool { return set.Backends == nil || set.Backends.Director }

// directorRules returns the membership rules of the platform's director: its list applies at once.
func directorRules(set *settings.Settings) membership.Rules {
	return membership.Rules{Name: "director", Rank: directorRank, Disabled: !usesDirector(set)}
}

// addSources creates the merged list of backends if the settings name further sources. Otherwise the director's list goes straight
// to the core.
func (d *dispatcher) addSources(set *settings.Settings) error {
	if set.Consul == nil && set.Backends == nil {
		return nil
	}
	s := &sources{list: members.New(d.handleList, membership.Rules{Name: "static", Rank: staticRank},
		directorRules(set), consulRules(set.MemberRules))}
	s.static, s.director, s.consul = s.list.Source(0), s.list.Source(1), s.list.Source(2)
	d.sources = s
	d.director.OnList = s.director.DirectorList
	if !usesDirector(set) {
		d.director.Disable()
	}
	d.clients.Members = s.membersJSON
	if set.Consul != nil && set.Consul.Register != "" {
		s.registration = &consul.Registration{Config: consulConfig(set.Consul), Name: set.Consul.Register, ID: set.Consul.Register + "-" + d.cfg.Name,
			Address: d.listener.Addr().String(), TTL: millis(set.Consul.RegisterTTLMS), HTTPCheck: set.Consul.RegisterCheck == "http", Log: d.log}
		if err := s.registration.Init(); err != nil {
			return inputError{err}
		}
	}
	_, err := newWatch(d, set.Consul)
	return err
}

// consulConfig returns the client's configuration. The token comes from the file or environment variable that the settings name;
// it is never stored in the settings themselves.
func consulConfig(c *settings.Consul) consul.Config {
	out := consul.Config{Addresses: c.Address, Scheme: c.Scheme, Service: c.Service, Tags: c.Tags, Filter: c.Filter,
		Datacenter: c.DC, Namespace: c.Namespace, Partition: c.Partition, TokenFile: c.TokenFile,
		TLS:        api.TLSConfig{CAFile: c.CAFile, CertFile: c.CertFile, KeyFile: c.KeyFile},
		AllowStale: c.Stale, MaxStaleness: millis(c.MaxStaleMS), WaitTime: millis(c.WaitMS), Timeout: millis(c.TimeoutMS),
		MaxBodyBytes: int64(c.MaxBodyKB) << 10, CallsPerSecond: float64(c.CallsPerS), MaxEntries: c.MaxEntries}
	if c.TokenFile == "" && c.TokenEnv != "" {
		out.Token = os.Getenv(c.TokenEnv)
	}
	return out
}

// newWatch returns a watch of the Consul catalogue with the settings c; nil if c is nil.
func newWatch(d *dispatcher, c *settings.Consul) (*consul.Watch, error) {
	if c == nil {
		return nil, nil
	}
	w := &consul.Watch{Config: consulConfig(c), Sink: d.sources.consul, Counts: &d.sources.count, Log: d.log,
		Meta: consul.MetaMapping{Kind: c.KindMeta, Zone: c.ZoneMeta, Group: c.GroupMeta, Weight: c.WeightMeta, Started: c.StartedMeta,
			Kinds: d.cfg.Names.Kinds, Zones: d.cfg.Names.Zones}}
	if err := w.Init(); err != nil {
		return nil, inputError{err}
	}
	return w, nil
}

// startSources starts the watches of all sources.
func (d *dispatcher) startSources(set *settings.Settings) {
	s := d.sources
	if s == nil {
		return
	}
	if usesDirector(set) {
		s.director.DirectorList(balance.ListCached, d.cfg.KnownBackends.Entries)
	}
	s.static.ReplaceAll(staticBackends(set.Backends))
	d.watchConsul(set.Consul)
	if d.handover == nil || d.handover.from.link == nil { // otherwise takeOverRoles starts it
		d.startRegistration()
	}
}

// startRegistration registers this dispatcher in Consul, if the settings want that.
func (d *dispatcher) startRegistration() {
	if d.sources != nil && d.sources.registration != nil {
		d.sources.registration.Start()
	}
}

// releaseRegistration leaves this dispatcher's entry in Consul to its other process.
func (d *dispatcher) releaseRegistration() {
	if d.sources != nil && d.sources.registration != nil {
		d.sources.registration.Release()
	}
}

// watchConsul replaces the watch of the Consul catalogue by one with the settings c. The known backends stay: a change of agents
// removes none.
func (d *dispatcher) watchConsul(c *settings.Consul) {
	s := d.sources
	if s.stopWatch != nil {
		s.stopWatch()
		<-s.watchEnded
		s.stopWatch = nil
	}
	w, err := newWatch(d, c)
	if err != nil || w == nil { // the settings were checked before, so there is no error to report
		return
	}
	var ctx context.Context
	ctx, s.stopWatch = context.WithCancel(context.Background())
	s.watchEnded = make(chan struct{})
	go func(ended chan struct{}) {
		w.Run(ctx)
		close(ended)
	}(s.watchEnded)
}

// reloadSources applies the changed settings of the sources that can change at run time.
func (d *dispatcher) reloadSources(old, next *settings.Settings) {
	if d.sources == nil {
		return
	}
	d.sources.static.ReplaceAll(staticBackends(next.Backends))
	d.sources.consul.SetRules(consulRules(next.MemberRules))
	if usesDirector(next) {
		d.director.Enable()
	}
	d.sources.director.SetRules(directorRules(next))
	if next.Consul != nil && old.Consul != nil && !reflect.DeepEqual(old.Consul, next.Consul) {
		d.watchConsul(next.Consul)
	}
}

// staticBackends returns the backends that the settings list themselves, as name=address texts.
func staticBackends(b *settings.Backends) (list []membership.Backend) {
	if b == nil {
		return nil
	}
	for _, text := range b.Static {
		name, address, _ := strings.Cut(text, "=")
		list = append(list, membership.Backend{Name: name, Address: address, Weight: float64(b.StaticWeight),
			Kind: membership.Unknown, Zone: membership.Unknown, Group: membership.Unknown, Started: membership.Unknown})
	}
	return list
}

// membersView is the JSON that `tinsail members` reads.
type membersView struct {
	Sources []sourceView `json:"sources"`
	Members []memberView `json:"members"`
}

type sourceView struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	AgeMS    int64  `json:"age_ms"`
	Backends int    `json:"backends"`
	Down     int    `json:"down"`
}

type memberView struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	State   string  `json:"state"`
	Source  string  `json:"source"`
	AgeMS   int64   `json:"age_ms"`
	Weight  float64 `json:"weight"`
	Reason  string  `json:"reason"`
}

// membersJSON returns the merged list of backends and the state of each source as JSON.
func (s *sources) membersJSON() string {
	list, from := s.list.Members()
	var v membersView
	for _, x := range from {
		state := "told nothing yet"
		switch {
		case x.Expired:
			state = "silent for too long: not believed"
		case x.Silent:
			state = "silent: believed as it was"
		case x.Panicking:
			state = "doubted: too many fell at once"
		case x.HasList:
			state = "answers"
		}
		age := int64(0)
		if x.HasList {
			age = x.Age.Milliseconds()
		}
		v.Sources = append(v.Sources, sourceView{x.Name, state, age, x.Backends, x.Down})
	}
	v.Members = []memberView{}
	for _, m := range list {
		v.Members = append(v.Members, memberView{m.Name, m.Address, m.State.String(), m.Source, m.Age.Milliseconds(), m.Weight, m.Reason})
	}
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprintf(`{"error":%q}`, err)
	}
	return string(text)
}

// checkSources checks the sources' settings where the schema cannot: a missing token or certificate, or no source at all.
func checkSources(cfg *config.Config, set *settings.Settings) error {
	if cfg == nil || set == nil {
		return nil
	}
	var faults settings.Faults
	if c := set.Consul; c != nil {
		if c.TokenFile != "" {
			if _, err := os.ReadFile(c.TokenFile); err != nil {
				faults = append(faults, set.Fault("consul.token_file", err.Error()))
			}
		} else if c.TokenEnv != "" && os.Getenv(c.TokenEnv) == "" {
			faults = append(faults, set.Fault("consul.token_env", "is "+c.TokenEnv+", which is not set"))
		}
		w := &consul.Watch{Config: consulConfig(c)}
		if err := w.Init(); len(faults) == 0 && err != nil {
			faults = append(faults, set.Fault("consul", err.Error()))
		}
	}
	if b := set.Backends; b != nil && !b.Director && len(b.Static) == 0 && set.Consul == nil {
		faults = append(faults, set.Fault("backends.director", "is False, and no other source of backends is set"))
	}
	if faults == nil {
		return nil
	}
	return faults
}
