// Command keeper plays the upgrade of the dispatcher that keeps the fleet's budgets: a second process beside the first.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"tinsail/internal/standin/platform"
	"tinsail/review/rig"
)

const sayYesWithin = 6 * time.Second // the page's time for the new process

func main() {
	rig.Run(os.Args[1], 60*time.Second, play)
}

func play(r *rig.Rig) int {
	director, err := platform.StartDirector()
	rig.Must(err)
	var known []platform.Entry
	for i := range 4 {
		b := rig.StartBackend(fmt.Sprintf("s-%d", i), 4)
		known = append(known, platform.Entry{Name: b.Name, Address: b.Address, Zone: "dc1", Type: "std-4core", Group: i + 1, Status: "Ready", Weight: 4})
		director.Set(known[i])
	}
	settings := rig.PlatformSettings(2, nil, rig.Class{Name: "photo-ingest", Effect: "idempotency_key", Scope: "cell", AimMS: 120, HardLimitMS: 5000, Stretch: 2, RepeatMS: 7500})
	script := fmt.Sprintf("budgets(connections = 600, most = 4, keeper = \"n0\", keeper_at = %q)\n", rig.FreeAddress())
	if os.Getenv("BUDGETS") == "0" { // for comparison: the same upgrade without budgets
		script = ""
	}
	options := func(name, listen string) rig.Options {
		return rig.Options{Name: name, Listen: listen, Discovery: director.Address, Known: known, Settings: settings, Script: script, Admin: rig.FreeAddress()}
	}
	old, other := r.Start(options("n0", "")), r.Start(options("n1", ""))
	for _, p := range []*rig.Process{old, other} {
		r.Await(p.Name+" says yes at its door", 10*time.Second, func() bool { return rig.Get(p.Admin, "/control/ready") == 200 })
	}
	client, stop := rig.NewClient(), make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; i < 2000; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			to := []*rig.Process{old, other}[i%2]
			clients.Go(func() {
				id := rig.NewID("k")
				rig.Send(client, to.Listen, rig.Request{ID: id, Class: "photo-ingest", Key: id, Query: "?ms=180", TimeLeft: 5 * time.Second})
			})
		}
	})
	time.Sleep(time.Second)
	result := rig.Held
	if r.Trouble {
		next := r.Start(options("n0", old.Listen))
		yes, begun := false, time.Now()
		for !yes && !next.Ended() && time.Since(begun) < sayYesWithin {
			time.Sleep(20 * time.Millisecond)
			yes = rig.Get(next.Admin, "/control/ready") == 200
		}
		r.Logf("new process after %v: says yes %v, ended %v", time.Since(begun).Round(time.Millisecond), yes, next.Ended())
		if !yes || next.Ended() {
			r.Logf("its output: %s", next.LogText())
			r.Logf("broken: the new process of an upgrade ended, or said no yes within %v", sayYesWithin)
			result = rig.Broken
		} else {
			old.Signal(syscall.SIGTERM)
			time.Sleep(4 * time.Second)
		}
	} else {
		time.Sleep(2 * time.Second)
	}
	close(stop)
	clients.Wait()
	if other.Ended() || !r.Trouble && old.Ended() {
		r.Logf("broken: a process ended by itself")
		return rig.Broken
	}
	return result
}
