package main

import (
	"time"

	"tinsail/internal/lab/capacity"
	"tinsail/internal/lab/capacity/measure"
	hollow "tinsail/internal/lab/hollow/measure"
)

// maxRealDispatchers limits the dispatchers that run as processes, so that a part stays under 250 processes and 12 GiB.
const maxRealDispatchers = 160

// steady configures a fleet in which nothing changes; changing configures one whose policy changes.
var (
	steady   = hollow.Runner{MaxReal: maxRealDispatchers, Workers: 30, Lease: 3 * time.Second, Settle: 2 * time.Second, Window: 8 * time.Second, Repeats: 2}
	changing = hollow.Runner{MaxReal: 6, Workers: 6, Lease: 3 * time.Second, BannedNames: hollow.TeamCount, Repeats: 5}
)

// milliseconds converts numbers of milliseconds to durations.
func milliseconds(values ...int) (durations []time.Duration) {
	for _, value := range values {
		durations = append(durations, time.Duration(value)*time.Millisecond)
	}
	return durations
}

// accordParts maps the names of the parts that measure the accord to their measurements.
var accordParts = map[string]func(measure.Program) ([]capacity.Row, error){
	"accord": func(p measure.Program) ([]capacity.Row, error) {
		return withProgram(steady, p).SteadyByFleetSize(9, 20, 40, 80, 160, 300)
	},
	"accord-bare": func(p measure.Program) ([]capacity.Row, error) {
		return withProgram(steady, p).WithoutAccordByFleetSize(3, 6, 9, 12)
	},
	"accord-lease": func(p measure.Program) ([]capacity.Row, error) {
		return withProgram(steady, p).SteadyByLease(20, milliseconds(1000, 1500, 3000, 9000)...)
	},
	"accord-lag": func(p measure.Program) ([]capacity.Row, error) {
		return withProgram(steady, p).SteadyByLatency(40, milliseconds(0, 5, 25, 75, 150)...)
	},
	"rounds": func(p measure.Program) ([]capacity.Row, error) {
		return withProgram(steady, p).LeadershipRoundsByFleetSize(3, 9, 20, 40, 80, 160, 300)
	},
	"rounds-lag": func(p measure.Program) ([]capacity.Row, error) {
		r := withProgram(steady, p)
		r.RegionLatency = 25 * time.Millisecond
		return r.LeadershipRoundsByFleetSize(9, 20, 40, 80, 160, 300)
	},
	"recovery": func(p measure.Program) ([]capacity.Row, error) {
		r := withProgram(steady, p)
		r.Workers, r.BannedNames, r.MaxReal, r.Window = 580, hollow.TeamCount, 20, 3*time.Second
		return r.RestartsByFleetSize(9, 20, 40, 80)
	},
	"recovery-all": func(p measure.Program) ([]capacity.Row, error) {
		r := withProgram(steady, p)
		r.Workers, r.BannedNames, r.MaxReal = 580, hollow.TeamCount, 40
		return r.FleetRestartByFleetSize(9, 20, 40, 80)
	},
	"change": func(p measure.Program) ([]capacity.Row, error) {
		return withProgram(changing, p).ChangeByFleetSize(9, 20, 40, 80, 160, 300)
	},
	"change-size": func(p measure.Program) ([]capacity.Row, error) {
		return withProgram(changing, p).ChangeByPolicySize(20, 1, 77, 155, 310, 620)
	},
	"change-lag": func(p measure.Program) ([]capacity.Row, error) {
		return withProgram(changing, p).ChangeByLatency(20, milliseconds(0, 5, 25, 75, 150)...)
	},
	"change-down": func(p measure.Program) ([]capacity.Row, error) {
		return withProgram(changing, p).ChangeAfterKillByLease(20, milliseconds(600, 1000, 2000, 3000)...)
	},
}

// withProgram returns r with the program and environment of its dispatcher processes.
func withProgram(r hollow.Runner, p measure.Program) hollow.Runner {
	r.Program, r.Env = p.Args, p.Env
	return r
}
