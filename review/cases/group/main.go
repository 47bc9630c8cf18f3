// Command group plays a dispatcher that reads its backends from the platform's director and from Consul, while
// connections are reset under requests that have begun.
package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"tinsail/internal/standin/consul"
	"tinsail/internal/standin/platform"
	"tinsail/review/rig"
)

const (
	reqs       = 40
	resetEvery = 10 // of the reqs, one in so many has its connection reset once its job has begun
)

func main() {
	rig.Run(os.Args[1], 60*time.Second, play)
}

func play(r *rig.Rig) int {
	director, err := platform.StartDirector()
	rig.Must(err)
	agent, err := consul.Start()
	rig.Must(err)
	groupOf := map[string]int{}
	var backends []*rig.Backend
	var known []platform.Entry
	for i := range 4 {
		b := rig.StartBackend(fmt.Sprintf("s-%d", i), 8)
		backends, groupOf[b.Name] = append(backends, b), i+1
		known = append(known, platform.Entry{Name: b.Name, Address: b.Address, Zone: "dc1", Type: "std-4core", Group: i + 1, Status: "Ready", Weight: 8})
		director.Set(known[i])
		host, port, err := net.SplitHostPort(b.Address)
		rig.Must(err)
		n, err := strconv.Atoi(port)
		rig.Must(err)
		agent.Put(consul.Service{ID: b.Name, Service: "photo-workers", Address: host, Port: n, Meta: map[string]string{"kind": "std-4core", "zone": "dc1", "weight": "8"}})
		r.Logf("backend %s at %s: group %d in the director's list; Consul names it without a group", b.Name, b.Address, i+1)
	}
	settings := rig.PlatformSettings(1, nil, rig.Class{Name: "photo-ingest", Effect: "idempotency_key", Scope: "cell", AimMS: 500, HardLimitMS: 5000, Stretch: 2, RepeatMS: 7500})
	script := fmt.Sprintf("consul(address = [%q], service = \"photo-workers\")\n", agent.Address)
	if os.Getenv("CONSUL") == "0" { // for comparison: the director alone
		script = ""
	}
	p := r.Start(rig.Options{Name: "n0", Discovery: director.Address, Known: known, Settings: settings, Script: script})
	r.Await("n0 is ready", 10*time.Second, func() bool { return rig.Get(p.Listen, "/health/ready") == 200 })
	time.Sleep(500 * time.Millisecond) // both lists are there
	client := rig.NewClient()
	for i := range reqs {
		query := "?ms=30"
		if r.Trouble && i%resetEvery == 0 {
			query += "&reset=1"
		}
		id := rig.NewID("g")
		a := rig.Send(client, p.Listen, rig.Request{ID: id, Class: "photo-ingest", Key: "key-" + id, Query: query, TimeLeft: 5 * time.Second})
		if query != "?ms=30" {
			r.Logf("the connection of %s is reset once its job has run; its client got %d %v", id, a.Status, a.Err)
		}
	}
	runs := map[string][]rig.Job{} // by idempotency key
	for _, b := range backends {
		for _, j := range b.Jobs() {
			runs[j.Key] = append(runs[j.Key], j)
		}
	}
	broken := 0
	for key, jobs := range runs {
		groups := map[int]bool{}
		for _, j := range jobs {
			groups[groupOf[j.Backend]] = true
			if len(jobs) > 1 {
				r.Logf("ran: %s at %s (group %d) at %s, reset %v", key, j.Backend, groupOf[j.Backend], j.Start.Format("15:04:05.000"), j.Reset)
			}
		}
		if len(groups) > 1 {
			broken++
		}
	}
	r.Logf("%d keys, %d of them ran in more than one group", len(runs), broken)
	if broken > 0 {
		r.Logf("broken: a repeat of a req that may have run went to a backend of another group")
		return rig.Broken
	}
	return rig.Held
}
