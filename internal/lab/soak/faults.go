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

// inject injects one fault from its start to its end. It ignores client faults, which the clients themselves show.
func (p *play) inject(f Fault) {
	time.Sleep(time.Until(p.startedAt.Add(f.Start)))
	n := p.nodes[f.Target%len(p.nodes)]
	b := p.backends[f.Target%len(p.backends)]
	switch f.Kind {
	case Sigterm, Sigkill, ClockSkew:
		p.restart(n, f)
	case HandOver:
		p.handOver(n)
	case Reload:
		for range 3 {
			n.currentProcess().signal(syscall.SIGHUP)
			time.Sleep(f.Duration / 10)
		}
	case Pause:
		for range 3 {
			n.currentProcess().signal(syscall.SIGSTOP)
			time.Sleep(pauseLength)
			n.currentProcess().signal(syscall.SIGCONT)
			time.Sleep(pauseLength)
		}
	case DescriptorLimit:
		p.limitDescriptors(n.currentProcess(), f.Duration)
	case WatchStall:
		for _, n := range p.nodes {
			n.currentProcess().directorListener.SilenceOpenCalls()
		}
	case DirectorDown:
		p.director.SetDown(true)
		time.Sleep(f.Duration)
		p.director.SetDown(false)
	case DrainBackend:
		p.drainBackend(b, f)
	case RefuseConnections:
		p.setRelayRule(b, faultnet.Rule{Refuse: true}, f.Duration)
	case Blackhole:
		p.setRelayRule(b, faultnet.Rule{Blackhole: true}, f.Duration)
		b.relay.Reset() // data that was dropped is never delivered later
	case NetworkDelay:
		p.setRelayRule(b, faultnet.Rule{Delay: 15 * time.Millisecond}, f.Duration)
	case ResetConnections:
		for range 5 {
			b.relay.Reset()
			time.Sleep(f.Duration / 5)
		}
	case HangJobs:
		for _, b := range p.backends[:2] {
			b.Set(platform.Faults{HoldJobs: true})
		}
		time.Sleep(f.Duration)
		for _, b := range p.backends[:2] {
			b.Set(platform.Faults{})
		}
	case ResetMidJob:
		p.setBackendFaults(b, platform.Faults{Reset: platform.ResetPoint(1 + f.Target%3)}, f.Duration)
	case RejectJobs:
		p.setBackendFaults(b, platform.Faults{Refuse: true}, f.Duration)
	case FailJobs:
		p.setBackendFaults(b, platform.Faults{FailShare: 0.5}, f.Duration)
	case CloseAfterAnswer:
		p.setBackendFaults(b, platform.Faults{CloseEach: true}, f.Duration)
	case SyscallErrors:
		p.setShimFault(n, []string{"EMFILE", "ENFILE", "ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH", "ECONNABORTED"}[f.Target%6], shortageDuration)
	case ShortIO:
		p.setShimFault(n, "short", f.Duration)
	case StorageErrors:
		p.banDuringStorageFault(n, b, []string{"ENOSPC", "EIO"}[f.Target%2], f.Duration)
	}
}

// pauseLength is the delay that the documentation allows between reading the clock and a write.
const pauseLength = 150 * time.Millisecond

// setRelayRule applies a rule to the relay of a backend for a time.
func (p *play) setRelayRule(b *backend, rule faultnet.Rule, duration time.Duration) {
	b.relay.Set(rule)
	time.Sleep(duration)
	b.relay.Set(faultnet.NoFaults)
}

// setBackendFaults makes a backend show faults for a time.
func (p *play) setBackendFaults(b *backend, f platform.Faults, duration time.Duration) {
	b.Set(f)
	time.Sleep(duration)
	b.Set(platform.Faults{})
}

// setShimFault makes the shim of a node's current process inject a fault for a time.
func (p *play) setShimFault(n *node, fault string, duration time.Duration) {
	name := n.currentProcess().shimFile
	_ = os.WriteFile(name, []byte(fault), 0o600)
	time.Sleep(duration)
	_ = os.WriteFile(name, nil, 0o600)
}

// shortageDuration is how long a system call or a resource limit fails in a process.
const shortageDuration = 400 * time.Millisecond

// limitDescriptors twice lowers a process's limit of open files for a while, so that it can open no more.
func (p *play) limitDescriptors(target *process, duration time.Duration) {
	var original unix.Rlimit
	if unix.Prlimit(target.cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &original) != nil {
		return
	}
	for range 2 {
		_ = unix.Prlimit(target.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 8, Max: original.Max}, nil)
		time.Sleep(shortageDuration)
		_ = unix.Prlimit(target.cmd.Process.Pid, unix.RLIMIT_NOFILE, &original, nil)
		time.Sleep(max(duration/2-shortageDuration, 50*time.Millisecond))
	}
}

// drainBackend lists a backend as draining, then as gone, then as ready with a new start time, so that it counts as cold.
func (p *play) drainBackend(b *backend, f Fault) {
	cell := f.Target % 2
	change := p.director.Set(b.entry(cell, "Terminating"))
	time.Sleep(f.Duration)
	p.director.Set(b.entry(cell, "Gone"))
	time.Sleep(100 * time.Millisecond)
	b.startedMS = time.Now().UnixMilli()
	readyAgainAt := time.Now()
	p.director.Set(b.entry(cell, "Ready"))
	p.mu.Lock()
	p.drains = append(p.drains, drain{b.Name, change, readyAgainAt})
	p.mu.Unlock()
}

// restart ends a process with the signal of the fault and starts the next one.
func (p *play) restart(n *node, f Fault) {
	if !n.beginRestart() {
		return
	}
	defer n.endRestart()
	old, signal, wallOffset := n.currentProcess(), syscall.SIGKILL, time.Duration(0)
	if f.Kind == Sigterm {
		signal = syscall.SIGTERM
	}
	if f.Kind == ClockSkew {
		wallOffset = []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}[f.Target%4]
	}
	old.signal(signal)
	select {
	case <-old.exited:
	case <-time.After(p.stopTimeout()):
		p.addFailure("%s did not end within %v of SIGTERM", n.name(), p.stopTimeout())
		old.signal(syscall.SIGKILL)
		<-old.exited
	}
	if _, err := n.start(wallOffset); err != nil {
		p.addFailure("%s", err)
	}
}

// stopTimeout returns how long after SIGTERM the operator sends SIGKILL according to the documentation, plus 1 s for a busy
// machine.
func (p *play) stopTimeout() time.Duration {
	return min(p.Site.Deadline, 3*time.Second) + 700*time.Millisecond + time.Second
}

// handOver starts a second process at the same address, waits up to 6 s until it is ready, and then ends the first one.
func (p *play) handOver(n *node) {
	if !n.beginRestart() {
		return
	}
	defer n.endRestart()
	old := n.currentProcess()
	next, err := n.start(0)
	if err != nil {
		p.addFailure("hand-over: %s", err)
		return
	}
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if answer, err := http.Get("http://" + next.adminAddress + "/control/ready"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == 200 {
				break
			}
		}
	}
	old.signal(syscall.SIGTERM)
	select {
	case <-old.exited:
	case <-time.After(p.stopTimeout() + time.Second):
		p.addFailure("the old process of %s did not end after the hand-over", n.name())
		old.signal(syscall.SIGKILL)
		<-old.exited
	}
}

// banDuringStorageFault bans and unbans a backend by calls at the door while the shim makes writes to the state folder fail.
func (p *play) banDuringStorageFault(n *node, b *backend, fault string, duration time.Duration) {
	target := n.currentProcess()
	_ = os.WriteFile(target.shimFile, []byte(fault), 0o600)
	callDoor := func(verb string) time.Time {
		answer, err := http.Post(fmt.Sprintf("http://%s/control/photo-workers/%s/%s", target.adminAddress, b.Name, verb), "", nil)
		if err != nil {
			return time.Time{}
		}
		answer.Body.Close()
		// 500 says that the ban is in force in this process but could not be stored.
		if answer.StatusCode != http.StatusOK && answer.StatusCode != http.StatusInternalServerError {
			return time.Time{}
		}
		return time.Now()
	}
	bannedAt := callDoor("offline") // in force in this process, whether or not it is stored for the next one
	time.Sleep(duration)
	readyAgainAt := time.Now()
	callDoor("online")
	_ = os.WriteFile(target.shimFile, nil, 0o600)
	if !bannedAt.IsZero() && n.currentProcess() == target {
		p.history.AddDrains(history.Drain{Dispatcher: n.name(), Backend: b.Name, PublishedAt: bannedAt, ReadyAgainAt: readyAgainAt})
	}
}
