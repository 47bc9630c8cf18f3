// Case 10: an upgrade after a round of maintenance over all photo workers ends with two processes that both serve.
package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tinsail/internal/standin/platform"
	"tinsail/review/kit2"
)

const (
	banned       = 40                     // taken offline right after the upgrade
	grace        = 550 * time.Millisecond // of the settings, and 50 ms on sockets
	photoWorkers = 600                    // the pages have up to 3,200
)

func main() { kit2.Run(115*time.Second, play) }

func play(c *kit2.Case) {
	director, err := platform.StartDirector()
	c.Must(err)
	c.Cleanup(director.Close)
	var workers []*kit2.Worker
	for i := range photoWorkers {
		w := c.StartWorker(fmt.Sprintf("s-%08x", i), 20*time.Millisecond, 100)
		workers = append(workers, w)
		director.Set(w.Entry("Ready", i/4))
	}
	listen, temp := c.FreeAddress(), c.Folder("tmp")
	class := kit2.Class{Name: "photo", Effect: "non_idempotent", AimMs: 120, HardLimitMs: 3000}
	config := c.Write("config.json", kit2.Config{Name: "n0", Listen: listen, Discovery: director.Address, Classes: []kit2.Class{class}}.Text())
	adminOld, adminNew := c.FreeAddress(), c.FreeAddress()
	old := c.Start("old", config, "", temp, adminOld)
	if !c.AwaitYes(old, adminOld, 10*time.Second) {
		c.Cannot("the first process did not become ready")
	}
	if c.Trouble {
		c.Note("every photo worker in turn is taken offline and online again")
		for _, w := range workers {
			for _, call := range []string{"offline", "online"} {
				if status, text := c.Call(old, adminOld, "POST", "/control/photo-workers/"+w.Name+"/"+call); status != 200 {
					c.Cannot("%s %s got %d %s", w.Name, call, status, text)
				}
			}
		}
	}
	var ended atomic.Bool
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() { client(c, i, listen, &ended) })
	}
	defer clients.Wait()
	defer ended.Store(true)
	time.Sleep(time.Second)

	next := c.Start("new", config, "", temp, adminNew)
	if !c.AwaitYes(next, adminNew, 20*time.Second) {
		c.Cannot("the second process did not say yes")
	}
	oldStatus, oldText := c.Call(old, adminOld, "GET", "/control/ready")
	old.Signal(syscall.SIGTERM) // as the page on upgrades has it: after the new process's yes
	if oldStatus == 200 {
		c.Break("the new process said yes (no other process serves in its place), and the old one says it still serves: %s", strings.TrimSpace(oldText))
	}
	// The operators take those offline that are in use.
	jobs := map[*kit2.Worker]int{}
	for _, w := range workers {
		jobs[w] = w.Jobs()
	}
	sort.Slice(workers, func(i, j int) bool { return jobs[workers[i]] > jobs[workers[j]] })
	var yes []time.Time
	for _, w := range workers[:banned] {
		if status, text := c.Call(next, adminNew, "POST", "/control/photo-workers/"+w.Name+"/offline"); status != 200 {
			c.Cannot("%s offline got %d %s", w.Name, status, text)
		}
		yes = append(yes, time.Now())
	}
	time.Sleep(3 * time.Second)
	c.NoteRuns(workers)
	late := 0
	for i, w := range workers[:banned] {
		for id, at := range w.Starts() {
			if after := at.Sub(yes[i]); after > grace {
				c.Note("%s got %s %v after the yes to offline", w.Name, id, after)
				late++
			}
		}
	}
	if late > 0 {
		c.Break("%d photo workers were taken offline with a yes, and got %d jobs more than %v later", banned, late, grace)
	}
}

// client sends one job after another on a kept connection.
func client(c *kit2.Case, number int, listen string, ended *atomic.Bool) {
	k := &kit2.Client{Address: listen}
	defer k.Close()
	for i := 0; !ended.Load(); i++ {
		id := fmt.Sprintf("c%d-%d-%d", number, i, os.Getpid())
		status, _, err := k.Do("photo", id, "", "", "x", 2*time.Second)
		c.Note("client %d: %s: %d %v", number, id, status, err)
		time.Sleep(40 * time.Millisecond)
	}
}
