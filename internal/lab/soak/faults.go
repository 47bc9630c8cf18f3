package soak

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tinsail/internal/faultnet"
	"tinsail/internal/standin/history"
	"tinsail/internal/standin/platform"
)

// apply plays one trouble from its time to its end. Clients' troubles are played by the clients.
func (p *play) apply(t Fault) {
	time.Sleep(time.Until(p.begun.Add(t.Start)))
	n := p.nodes[t.Target%len(p.nodes)]
	b := p.backends[t.Target%len(p.backends)]
	switch t.Kind {
	case Sigterm, Sigkill, ClockSkew:
		p.restart(n, t)
	case HandOver:
		p.handOver(n)
	case Reload:
		for range 3 {
			n.now().signal(syscall.SIGHUP)
			time.Sleep(t.Duration / 10)
		}
	case Pause:
		for range 3 {
			n.now().signal(syscall.SIGSTOP)
			time.Sleep(holdUp)
			n.now().signal(syscall.SIGCONT)
			time.Sleep(holdUp)
		}
	case DescriptorLimit:
		p.shortOfDescriptors(n.now(), t.Duration)
	case WatchStall:
		for _, n := range p.nodes {
			n.now().seat.SilenceOpenCalls()
		}
	case DirectorDown:
		p.director.SetDown(true)
		time.Sleep(t.Duration)
		p.director.SetDown(false)
	case DrainBackend:
		p.drain(b, t)
	case RefuseConnections:
		p.relay(b, faultnet.Rule{Refuse: true}, t.Duration)
	case Blackhole:
		p.relay(b, faultnet.Rule{Blackhole: true}, t.Duration)
		b.relay.Reset() // what was swallowed never comes
	case NetworkDelay:
		p.relay(b, faultnet.Rule{Delay: 15 * time.Millisecond}, t.Duration)
	case ResetConnections:
		for range 5 {
			b.relay.Reset()
			time.Sleep(t.Duration / 5)
		}
	case HangJobs:
		for _, b := range p.backends[:2] {
			b.Set(platform.Faults{HoldJobs: true})
		}
		time.Sleep(t.Duration)
		for _, b := range p.backends[:2] {
			b.Set(platform.Faults{})
		}
	case ResetMidJob:
		p.faults(b, platform.Faults{Reset: platform.ResetPoint(1 + t.Target%3)}, t.Duration)
	case RejectJobs:
		p.faults(b, platform.Faults{Refuse: true}, t.Duration)
	case FailJobs:
		p.faults(b, platform.Faults{FailShare: 0.5}, t.Duration)
	case CloseAfterAnswer:
		p.faults(b, platform.Faults{CloseEach: true}, t.Duration)
	case SyscallErrors:
		p.shim(n, []string{"EMFILE", "ENFILE", "ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH", "ECONNABORTED"}[t.Target%6], shortage)
	case ShortIO:
		p.shim(n, "short", t.Duration)
	case StorageErrors:
		p.ban(n, b, []string{"ENOSPC", "EIO"}[t.Target%2], t.Duration)
	}
}

// holdUp is what the pages grant between a look at the clock and a write.
const holdUp = 150 * time.Millisecond

func (p *play) relay(b *backend, rule faultnet.Rule, lasts time.Duration) {
	b.relay.Set(rule)
	time.Sleep(lasts)
	b.relay.Set(faultnet.NoFaults)
}

func (p *play) faults(b *backend, f platform.Faults, lasts time.Duration) {
	b.Set(f)
	time.Sleep(lasts)
	b.Set(platform.Faults{})
}

func (p *play) shim(n *node, fault string, lasts time.Duration) {
	name := n.now().shim
	_ = os.WriteFile(name, []byte(fault), 0o600)
	time.Sleep(lasts)
	_ = os.WriteFile(name, nil, 0o600)
}

// shortage is how long a process is short of something at the system's border.
const shortage = 400 * time.Millisecond

// shortOfDescriptors leaves a process no further descriptor for a while, twice in all.
func (p *play) shortOfDescriptors(l *life, lasts time.Duration) {
	var old unix.Rlimit
	if unix.Prlimit(l.cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &old) != nil {
		return
	}
	for range 2 {
		_ = unix.Prlimit(l.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 8, Max: old.Max}, nil)
		time.Sleep(shortage)
		_ = unix.Prlimit(l.cmd.Process.Pid, unix.RLIMIT_NOFILE, &old, nil)
		time.Sleep(max(lasts/2-shortage, 50*time.Millisecond))
	}
}

// drain has a backend drain, go and come back cold.
func (p *play) drain(b *backend, t Fault) {
	cell := t.Target % 2
	change := p.director.Set(b.entry(cell, "Terminating"))
	time.Sleep(t.Duration)
	p.director.Set(b.entry(cell, "Gone"))
	time.Sleep(100 * time.Millisecond)
	b.since = time.Now().UnixMilli()
	back := time.Now()
	p.director.Set(b.entry(cell, "Ready"))
	p.mu.Lock()
	p.drains = append(p.drains, drained{b.Name, change, back})
	p.mu.Unlock()
}

// restart ends a process and starts the next one.
func (p *play) restart(n *node, t Fault) {
	if !n.claim() {
		return
	}
	defer n.free()
	old, signal, wall := n.now(), syscall.SIGKILL, time.Duration(0)
	if t.Kind == Sigterm {
		signal = syscall.SIGTERM
	}
	if t.Kind == ClockSkew {
		wall = []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}[t.Target%4]
	}
	old.signal(signal)
	select {
	case <-old.over:
	case <-time.After(p.killAfter()):
		p.fault("%s did not end within %v of SIGTERM", n.name(), p.killAfter())
		old.signal(syscall.SIGKILL)
		<-old.over
	}
	if _, err := n.start(wall); err != nil {
		p.fault("%s", err)
	}
}

// killAfter is when the page's kill comes after SIGTERM, and what a busy machine adds.
func (p *play) killAfter() time.Duration {
	return min(p.Site.Deadline, 3*time.Second) + 700*time.Millisecond + time.Second
}

// handOver starts a second process beside the first, and ends the first one when it says that it serves.
func (p *play) handOver(n *node) {
	if !n.claim() {
		return
	}
	defer n.free()
	old := n.now()
	next, err := n.start(0)
	if err != nil {
		p.fault("hand-over: %s", err)
		return
	}
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if a, err := http.Get("http://" + next.admin + "/control/ready"); err == nil {
			a.Body.Close()
			if a.StatusCode == 200 {
				break
			}
		}
	}
	old.signal(syscall.SIGTERM)
	select {
	case <-old.over:
	case <-time.After(p.killAfter() + time.Second):
		p.fault("%s, which had handed over, did not end", n.name())
		old.signal(syscall.SIGKILL)
		<-old.over
	}
}

// ban has a backend banned and called back while the folder fails.
func (p *play) ban(n *node, b *backend, fault string, lasts time.Duration) {
	l := n.now()
	_ = os.WriteFile(l.shim, []byte(fault), 0o600)
	call := func(op string) time.Time {
		a, err := http.Post(fmt.Sprintf("http://%s/control/photo-workers/%s/%s", l.admin, b.Name, op), "", nil)
		if err != nil {
			return time.Time{}
		}
		a.Body.Close()
		if a.StatusCode != http.StatusOK && a.StatusCode != http.StatusInternalServerError { // which says that it holds in this process
			return time.Time{}
		}
		return time.Now()
	}
	from := call("offline") // whether it would outlive the process or not, it holds in this one
	time.Sleep(lasts)
	back := time.Now()
	call("online")
	_ = os.WriteFile(l.shim, nil, 0o600)
	if !from.IsZero() && n.now() == l {
		p.history.AddDrains(history.Drain{Dispatcher: n.name(), Backend: b.Name, PublishedAt: from, ReadyAgainAt: back})
	}
}
