// Command quota plays a fleet of three dispatchers with a quota whose longest run is lowered, and whose region's
// lender is then killed and started again.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"tinsail/internal/standin/platform"
	"tinsail/review/rig"
)

const (
	quota      = 4
	longRunMS  = 20000 // run_ms of the first policy
	shortRunMS = 6000  // run_ms of the second one
	longJobMS  = 16000
	shortJobMS = 1500
)

func main() {
	rig.Run(os.Args[1], 110*time.Second, play)
}

func play(r *rig.Rig) int {
	director, err := platform.StartDirector()
	rig.Must(err)
	var backends []*rig.Backend
	var known []platform.Entry
	for i := range 3 {
		b := rig.StartBackend(fmt.Sprintf("s-%d", i), 0)
		backends = append(backends, b)
		known = append(known, platform.Entry{Name: b.Name, Address: b.Address, Zone: "dc1", Type: "std-4core", Group: i, Status: "Ready", Weight: 8})
		director.Set(known[i])
	}
	settings := rig.PlatformSettings(3, []string{"atelier"}, rig.Class{Name: "photo-ingest", Effect: "non_idempotent", AimMS: 500, HardLimitMS: 5000, Stretch: 2})
	var voters []string
	for i := range 3 {
		voters = append(voters, fmt.Sprintf("%q", fmt.Sprintf("n%d=%s", i, rig.FreeAddress())))
	}
	script := func(name string, run int) string {
		return fmt.Sprintf("policy(quotas = {\"atelier\": %d}, run_ms = %d)\naccord(voters = [%s], lease_ms = 900, data = %q, when_cut = \"keep\")\n"+
			"quotas(region = \"east\", lenders = [\"east=n0\"], lease_ms = 1000, region_lease_ms = 4000)\n",
			quota, run, strings.Join(voters, ", "), filepath.Join(r.Dir, "data-"+name))
	}
	options := func(i, run int) rig.Options {
		name := fmt.Sprintf("n%d", i)
		return rig.Options{Name: name, Discovery: director.Address, Known: known, Settings: settings, Script: script(name, run)}
	}
	var fleet []*rig.Process
	for i := range 3 {
		fleet = append(fleet, r.Start(options(i, longRunMS)))
	}
	for _, p := range fleet {
		r.Await(p.Name+" is ready", 20*time.Second, func() bool { return rig.Get(p.Listen, "/health/ready") == 200 })
	}
	client := rig.NewClient()
	running := func() (now, long int) {
		for _, b := range backends {
			for _, j := range b.Jobs() {
				if !j.End.IsZero() {
					continue
				}
				if now++; strings.HasPrefix(j.ID, "long") {
					long++
				}
			}
		}
		return now, long
	}
	var done sync.WaitGroup
	send := func(to *rig.Process, prefix string, ms int, left time.Duration) {
		done.Add(1)
		go func() {
			defer done.Done()
			id := rig.NewID(prefix)
			a := rig.Send(client, to.Listen, rig.Request{ID: id, Class: "photo-ingest", Account: "atelier", Query: fmt.Sprintf("?ms=%d", ms), TimeLeft: left})
			r.Logf("client: %s at %s answered %d %v", id, to.Name, a.Status, a.Err)
		}()
	}
	for range quota {
		send(fleet[0], "long", longJobMS, 18*time.Second)
	}
	r.Await(fmt.Sprintf("%d jobs of the team run, all that its quota allows", quota), 10*time.Second, func() bool { n, _ := running(); return n == quota })

	if os.Getenv("KEEP_POLICY") != "1" {
		for i := range 3 {
			rig.Must(os.WriteFile(r.ScriptPath(fmt.Sprintf("n%d", i)), []byte(script(fmt.Sprintf("n%d", i), shortRunMS)), 0o600))
		}
		fleet[1].Signal(syscall.SIGHUP)
		for _, p := range fleet {
			r.Await(fmt.Sprintf("%s has the policy with run_ms = %d in force", p.Name, shortRunMS), 20*time.Second, func() bool {
				return inForce(p.LogText(), 2)
			})
		}
	}
	time.Sleep(2 * time.Second)
	if r.Trouble {
		fleet[0].Kill()
		r.Logf("n0 killed: the lender of the region and a dispatcher; what it had at backends runs on there")
		o := options(0, shortRunMS)
		o.Listen = fleet[0].Listen
		fleet[0] = r.Start(o)
		r.Await("n0 is ready again", 20*time.Second, func() bool { return rig.Get(fleet[0].Listen, "/health/ready") == 200 })
	}
	most, mostLong := 0, 0
	next := time.Now()
	for end := time.Now().Add(22 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		n, long := running()
		if n > most {
			most, mostLong = n, long
			r.Logf("backends: %d jobs of the team run, %d of them the first ones; the quota is %d", n, long, quota)
		}
		if time.Now().After(next) && time.Now().Before(end.Add(-4*time.Second)) {
			next = next.Add(500 * time.Millisecond)
			send(fleet[1], "short", shortJobMS, 4*time.Second)
			send(fleet[2], "short", shortJobMS, 4*time.Second)
		}
	}
	done.Wait()
	for _, b := range backends {
		for _, j := range b.Jobs() {
			r.Logf("ran: %s at %s by policy version %s from %s to %s", j.ID, j.Backend, j.Version, j.Start.Format("15:04:05.000"), j.End.Format("15:04:05.000"))
		}
	}
	r.Logf("most at once: %d (of them %d of the first ones), quota %d", most, mostLong, quota)
	if n, at := mostAtOnce(backends); n > quota {
		r.Logf("broken: %d reqs of the team ran at %s, %d at most are allowed", n, at.Format("15:04:05.000"), quota)
		return rig.Broken
	}
	return rig.Held
}

// mostAtOnce returns how many different reqs ran at one moment, and when. A job counts from 50 ms after its start to
// 50 ms before its end, so that messages on their way make no difference.
func mostAtOnce(backends []*rig.Backend) (most int, when time.Time) {
	var jobs []rig.Job
	for _, b := range backends {
		for _, j := range b.Jobs() {
			if j.End.IsZero() {
				j.End = time.Now()
			}
			j.Start, j.End = j.Start.Add(50*time.Millisecond), j.End.Add(-50*time.Millisecond)
			jobs = append(jobs, j)
		}
	}
	for _, at := range jobs {
		ids := map[string]bool{}
		for _, j := range jobs {
			if !at.Start.Before(j.Start) && at.Start.Before(j.End) {
				ids[j.ID] = true
			}
		}
		if len(ids) > most {
			most, when = len(ids), at.Start
		}
	}
	return most, when
}

// inForce reports whether a log has the line that a version is in force.
func inForce(log string, version int) bool {
	for _, line := range strings.Split(log, "\n") {
		if strings.Contains(line, "accord: in force") && strings.Contains(line, fmt.Sprintf(`"version":%d`, version)) {
			return true
		}
	}
	return false
}
