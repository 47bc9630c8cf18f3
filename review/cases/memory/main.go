// Command memory plays one dispatcher under its usual traffic and a jump of it, with bodies of the longest length, and
// does what the platform does: it kills the dispatcher when it holds more memory than its limit.
package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tinsail/internal/standin/platform"
	"tinsail/review/rig"
)

const (
	memoryMB   = 96
	usualRate  = 170 // reqs a second
	jump       = 2.5
	jumpFrom   = 6 * time.Second
	jumpFor    = 8500 * time.Millisecond
	length     = 20 * time.Second
	bodyLength = 64000
	jobMS      = 180
	slots      = 4 // of a backend
)

func main() {
	rig.Run(os.Args[1], 110*time.Second, play)
}

// anonMB returns the memory of a process that no file backs, in MiB.
func anonMB(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			n, _ := strconv.Atoi(f[1])
			return float64(n) / 1024
		}
	}
	return 0
}

func play(r *rig.Rig) int {
	director, err := platform.StartDirector()
	rig.Must(err)
	var known []platform.Entry
	for i := range 20 {
		b := rig.StartBackend(fmt.Sprintf("s-%02d", i), slots)
		known = append(known, platform.Entry{Name: b.Name, Address: b.Address, Zone: "dc1", Type: "std-4core", Group: i / 3, Status: "Ready", Weight: slots})
		director.Set(known[i])
	}
	settings := rig.PlatformSettings(1, nil, rig.Class{Name: "photo-ingest", Effect: "idempotency_key", Scope: "cell", AimMS: 120, HardLimitMS: 5000, Stretch: 2, RepeatMS: 7500})
	p := r.Start(rig.Options{Name: "n0", Discovery: director.Address, Known: known, Settings: settings, MemoryMB: memoryMB})
	r.Await("n0 is ready", 10*time.Second, func() bool { return rig.Get(p.Listen, "/health/ready") == 200 })

	var mu sync.Mutex
	sent, open, most, killedAt := 0, 0, 0.0, time.Time{}
	outcomes := map[string]int{}
	begun := time.Now()
	watching := make(chan struct{})
	go func() { // the platform's limit on memory
		defer close(watching)
		next := time.Now()
		for time.Since(begun) < length {
			mb := anonMB(p.PID())
			mu.Lock()
			most = max(most, mb)
			if time.Now().After(next) {
				next = next.Add(time.Second)
				r.Logf("memory %.0f MB of %d, %d sent, %d open, %v", mb, memoryMB, sent, open, outcomes)
			}
			if mb > memoryMB {
				killedAt = time.Now()
				r.Logf("n0 holds %.0f MB, its limit is %d: killed by the platform, with %d reqs open", mb, memoryMB, open)
				mu.Unlock()
				p.Signal(syscall.SIGKILL)
				return
			}
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
		}
	}()
	client := rig.NewClient()
	body := make([]byte, bodyLength)
	var clients sync.WaitGroup
	due := 0.0
	for last := time.Now(); time.Since(begun) < length; time.Sleep(time.Millisecond) {
		rate := float64(usualRate)
		if t := time.Since(begun); r.Trouble && t >= jumpFrom && t < jumpFrom+jumpFor {
			rate *= jump
		}
		now := time.Now()
		due += now.Sub(last).Seconds() * rate
		for last = now; due >= 1; due-- {
			mu.Lock()
			over := !killedAt.IsZero()
			if !over {
				sent++
				open++
			}
			mu.Unlock()
			if over {
				continue
			}
			clients.Go(func() {
				id := rig.NewID("p")
				a := rig.Send(client, p.Listen, rig.Request{ID: id, Class: "photo-ingest", Key: id, Query: fmt.Sprintf("?ms=%d", jobMS), TimeLeft: 5 * time.Second, Body: body})
				mu.Lock()
				defer mu.Unlock()
				open--
				if a.Err != nil {
					outcomes["lost"]++
				} else {
					outcomes[strconv.Itoa(a.Status)]++
				}
			})
		}
	}
	clients.Wait()
	<-watching
	mu.Lock()
	defer mu.Unlock()
	r.Logf("sent %d, ended %v, most memory %.0f MB of %d", sent, outcomes, most, memoryMB)
	if !killedAt.IsZero() {
		r.Logf("broken: over its memory limit, killed; %d reqs that it had taken got no answer", outcomes["lost"])
		return rig.Broken
	}
	if p.Ended() {
		r.Logf("broken: the dispatcher ended by itself")
		return rig.Broken
	}
	return rig.Held
}
