// Package script reads scenarios of the laboratory. A scenario is a Starlark file
// (https://github.com/google/starlark-go) whose calls define dispatchers, backends, traffic and faults. Times are
// in seconds in scripts, except for keys that end in ms, and in milliseconds in the resulting sim.Scenario.
package script

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"tinsail/internal/lab/fleet"
	"tinsail/internal/lab/sim"
)

// Limits of one script: execution steps of the interpreter, and events of the scenario.
const (
	maxSteps  = 5_000_000
	maxEvents = 200_000
)

// Fault is an error in a script, with its position.
type Fault struct {
	File         string
	Line, Column int
	Problem      string
}

func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Problem)
}

type reader struct {
	sc     sim.Scenario
	kinds  map[string]fleet.Kind
	called map[string]bool // calls made so far, of those allowed once
}

// Load reads a script. The caller sets the scenario's seed. The error is a Fault, or an error of the Starlark
// interpreter.
func Load(name string, text []byte) (sim.Scenario, error) {
	r := &reader{kinds: map[string]fleet.Kind{}, called: map[string]bool{}}
	r.sc = sim.Scenario{Length: 30_000, Rate: 100, Work: 250, Spread: 0.4, Aim: 120, Stretch: 2, Deadline: 5000, Retries: 1, Backoff: 50,
		Latency: 0.3, Connect: 0.6}
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	calls := starlark.StringDict{}
	for call, f := range map[string]func(*args) (starlark.Value, error){
		"traffic": r.traffic, "network": r.network, "dispatchers": r.dispatchers, "reports": r.reports, "kind": r.kind,
		"backends": r.backends, "burst": r.burst, "at": r.event, "deploy": r.deploy,
		"job_class": r.class, "site": r.site, "heavy": r.heavy, "stale": r.stale, "restart": r.restart,
		"accord": r.accord, "cut": r.cut, "change": r.change,
		"tenants": r.tenants, "measure": r.measure, "regions": r.regions,
		"quotas": r.quotas, "sever": r.sever, "crash": r.crash, "requota": r.requota,
	} {
		calls[call] = starlark.NewBuiltin(call, func(t *starlark.Thread, b *starlark.Builtin, pos starlark.Tuple, kw []starlark.Tuple) (starlark.Value, error) {
			a := &args{call: b.Name(), pos: pos, kw: map[string]starlark.Value{}}
			for _, k := range kw {
				a.kw[string(k[0].(starlark.String))] = k[1]
			}
			v, err := f(a)
			if err == nil {
				err = a.checkUnused()
			}
			if err != nil {
				callPos := t.CallFrame(1).Pos
				return nil, Fault{callPos.Filename(), int(callPos.Line), int(callPos.Col), err.Error()}
			}
			if v == nil {
				v = starlark.None
			}
			return v, nil
		})
	}
	_, err := starlark.ExecFileOptions(&syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}, thread, name, text, calls)
	var f Fault
	if errors.As(err, &f) {
		return sim.Scenario{}, f
	}
	if err != nil {
		return sim.Scenario{}, err
	}
	if len(r.sc.Backends) == 0 {
		return sim.Scenario{}, Fault{name, 1, 1, "the script calls backends() nowhere"}
	}
	return r.sc, nil
}

// args holds the arguments of a call. Each read removes its argument; arguments that remain at the end are an error.
type args struct {
	call string
	pos  starlark.Tuple
	kw   map[string]starlark.Value
	err  error
}

// fail records the first error of the call.
func (a *args) fail(format string, v ...any) {
	if a.err == nil {
		a.err = fmt.Errorf(a.call+": "+format, v...)
	}
}

func (a *args) checkUnused() error {
	for name := range a.kw {
		a.fail("there is no %s", name)
	}
	if len(a.pos) > 0 {
		a.fail("takes %s less", plural(len(a.pos), "value"))
	}
	return a.err
}

func plural(n int, noun string) string {
	if n == 1 {
		return "one " + noun
	}
	return fmt.Sprint(n, " ", noun, "s")
}

// value removes and returns the argument given by this name, or else the next positional one.
func (a *args) value(name string) (starlark.Value, bool) {
	if v, ok := a.kw[name]; ok {
		delete(a.kw, name)
		return v, true
	}
	if len(a.pos) > 0 {
		v := a.pos[0]
		a.pos = a.pos[1:]
		return v, true
	}
	return nil, false
}

// named removes and returns a keyword argument.
func (a *args) named(name string) (starlark.Value, bool) {
	v, ok := a.kw[name]
	delete(a.kw, name)
	return v, ok
}

// number removes and returns a keyword argument that is a number from lower to upper.
func (a *args) number(name string, defaultValue, lower, upper float64) float64 {
	v, ok := a.named(name)
	if !ok {
		return defaultValue
	}
	return a.bounded(name, v, lower, upper)
}

func (a *args) bounded(name string, v starlark.Value, lower, upper float64) float64 {
	f, ok := starlark.AsFloat(v)
	if !ok || math.IsNaN(f) || f < lower || f > upper {
		a.fail("%s is %s, want a number from %v to %v", name, v, lower, upper)
		return lower // the recorded error ends the script only after the call has returned
	}
	return f
}

func (a *args) seconds(name string, defaultMS float64) float64 {
	return 1000 * a.number(name, defaultMS/1000, 0, 86_400)
}

func (a *args) text(name string) string {
	v, ok := a.value(name)
	s, isText := starlark.AsString(v)
	if !ok || !isText || s == "" {
		a.fail("%s is missing or no text", name)
	}
	return s
}

// names removes and returns an argument that is one name or a list of names.
func (a *args) names(name string) []string {
	v, ok := a.value(name)
	if s, isText := starlark.AsString(v); ok && isText {
		return []string{s}
	}
	list, isList := v.(starlark.Iterable)
	if !ok || !isList {
		a.fail("%s is missing, or neither a name nor a list of names", name)
		return nil
	}
	var out []string
	for x := range starlark.Elements(list) {
		s, isText := starlark.AsString(x)
		if !isText {
			a.fail("%s holds %s, want names", name, x)
		}
		out = append(out, s)
	}
	return out
}

func (r *reader) once(a *args) {
	if r.called[a.call] {
		a.fail("is called a second time")
	}
	r.called[a.call] = true
}

func (r *reader) traffic(a *args) (starlark.Value, error) {
	r.once(a)
	s := &r.sc
	s.Length = a.seconds("length", s.Length)
	s.Rate = a.number("rate", s.Rate, 0.01, 1e6)
	s.Work = a.number("work_ms", s.Work, 0.001, 1e6)
	s.Spread = a.number("spread", s.Spread, 0, 3)
	s.Aim = a.number("aim_ms", s.Aim, 0, 1e6)
	s.Stretch = a.number("stretch", s.Stretch, 0.001, 100)
	s.Deadline = a.number("deadline_ms", s.Deadline, 1, 1e6)
	s.Retries = int(a.number("retries", float64(s.Retries), 0, 100))
	s.Backoff = a.number("backoff_ms", s.Backoff, 0, 1e6)
	return nil, nil
}

func (r *reader) network(a *args) (starlark.Value, error) {
	r.once(a)
	r.sc.Latency = a.number("latency_ms", r.sc.Latency, 0, 1e5)
	r.sc.Connect = a.number("connect_ms", r.sc.Connect, 0, 1e5)
	return nil, nil
}

func (r *reader) dispatchers(a *args) (starlark.Value, error) {
	r.once(a)
	v, ok := a.value("count")
	if !ok {
		a.fail("count is missing")
		return nil, nil
	}
	r.sc.Dispatchers = int(a.bounded("count", v, 1, 1000))
	return nil, nil
}

func (r *reader) reports(a *args) (starlark.Value, error) {
	r.once(a)
	r.sc.Report = fleet.ReportConfig{Period: a.number("period_ms", 900, 1, 1e6), Delay: a.number("delay_ms", 300, 0, 1e6), Noise: a.number("noise", 0.04, 0, 1)}
	return nil, nil
}

func (r *reader) kind(a *args) (starlark.Value, error) {
	name := a.text("name")
	if _, known := r.kinds[name]; known {
		a.fail("%s is there already", name)
	}
	k := fleet.Kind{Name: name, Cores: a.number("cores", 4, 0.1, 1024), Speed: a.number("speed", 1, 0.001, 1000)}
	k.Slots = a.number("slots", k.Cores, 1, 4096)
	k.QueueLimit = int(a.number("queue", 40, 0, 1e6))
	k.ColdCapacity = a.number("cold_from", 0.4, 0.001, 1)
	k.WarmUpTime = a.seconds("cold", 6000)
	k.ThrashThreshold = a.number("thrash_at", 10, 0, 1e4)
	k.ThrashSlowdown = a.number("thrash", 0.5, 0, 100)
	k.Handshake = a.number("handshake_ms", 3, 0, 1e4)
	k.FallMultiple = a.number("fall_multiple", 3, 0, 1e4)
	k.FallWindow = a.seconds("fall_window", 2000)
	k.FallSlack = a.number("fall_slack", 3, 0, 1e6)
	k.RepeatWindow = a.seconds("repeat_window", 7500)
	k.PauseEvery = a.seconds("pause_every", 0)
	k.Pause = a.number("pause_ms", 0, 0, 1e6)
	k.OnCancel = oneOf(a, "cancel", "queued", map[string]fleet.OnCancel{"queued": fleet.DropWaiting, "none": fleet.DropNone, "all": fleet.DropAll})
	r.kinds[name] = k
	return starlark.String(name), nil
}

func (r *reader) backends(a *args) (starlark.Value, error) {
	prefix := a.text("prefix")
	v, ok := a.value("count")
	if !ok {
		a.fail("count is missing")
		return nil, nil
	}
	count := int(a.bounded("count", v, 1, 100_000))
	kind := a.text("kind")
	k, known := r.kinds[kind]
	if !known {
		a.fail("kind is %q, which no kind() has made", kind)
	}
	pod := int(a.number("pod", 5, 1, 1e6))
	cold, vary := a.number("cold", 0, 0, 1) == 1, a.number("vary", 0, 0, 2)
	if a.err != nil {
		return nil, nil
	}
	var names []starlark.Value
	for range count {
		name := fmt.Sprint(prefix, len(names)+1)
		r.sc.Backends = append(r.sc.Backends, sim.Backend{Name: name, Kind: k, Pod: len(r.sc.Backends) / pod, Cold: cold, SpeedSpread: vary})
		names = append(names, starlark.String(name))
	}
	return starlark.NewList(names), nil
}

func (r *reader) burst(a *args) (starlark.Value, error) {
	from := a.seconds("start", 0)
	r.sc.Bursts = append(r.sc.Bursts, sim.Burst{From: from, To: from + a.seconds("length", 5000), RateFactor: a.number("times", 2, 0.01, 1000)})
	return nil, nil
}

func (r *reader) add(a *args, e sim.Event) {
	if len(r.sc.Events) >= maxEvents {
		a.fail("more than %d events", maxEvents)
		return
	}
	r.sc.Events = append(r.sc.Events, e)
}

// event handles at(seconds, backends, action, ...). The action is one of sim.EventActions, or one of slow, errors, neighbour,
// pauses, freeze and well, which set the backends' faults; well clears them.
func (r *reader) event(a *args) (starlark.Value, error) {
	v, ok := a.value("time")
	if !ok {
		a.fail("time is missing")
		return nil, nil
	}
	at, names, do := 1000*a.bounded("time", v, 0, 86_400), a.names("backends"), a.text("do")
	e := sim.Event{At: at, Action: do}
	switch do {
	case "slow":
		e.Action, e.Faults.SlowFactor = "trouble", a.number("times", 5, 1, 1e4)
	case "errors":
		e.Action, e.Faults.FailureRate = "trouble", a.number("part", 0.5, 0, 1)
	case "neighbour":
		e.Action, e.Faults.NeighbourShare = "trouble", a.number("part", 0.5, 0, 0.99)
	case "freeze":
		e.Action, e.Faults.Frozen = "trouble", true
	case "pauses":
		e.Action, e.Faults.PauseEvery, e.Faults.Pause = "trouble", a.seconds("every", 3000), a.number("ms", 150, 0.001, 1e6)
	case "well":
		e.Action = "trouble"
	case "drain", "list", "unlist":
		e.NotifyDelay = a.seconds("heard", 0)
	case "kill", "start", "ban", "lift":
	default:
		a.fail("do is %q, want slow, errors, neighbour, pauses, freeze, well or one of %s", do, strings.Join(sim.EventActions, ", "))
	}
	for _, e.Backend = range names {
		r.add(a, e)
	}
	return nil, nil
}

// deploy restarts backends in batches: each is drained, killed, started 500 ms later, and listed again.
func (r *reader) deploy(a *args) (starlark.Value, error) {
	names := a.names("backends")
	start, batch := a.seconds("start", 0), int(a.number("batch", 1, 1, 1e5))
	every, drain, heard := a.seconds("every", 3000), a.seconds("drain", 3000), a.seconds("heard", 500)
	if a.err != nil {
		return nil, nil
	}
	for i, name := range names {
		at := start + float64(i/batch)*every
		r.add(a, sim.Event{At: at, Backend: name, Action: "drain", NotifyDelay: heard})
		r.add(a, sim.Event{At: at + drain, Backend: name, Action: "kill"})
		r.add(a, sim.Event{At: at + drain + 500, Backend: name, Action: "start"})
		r.add(a, sim.Event{At: at + drain + 500, Backend: name, Action: "list", NotifyDelay: heard})
	}
	return nil, nil
}
