package handover

import (
	"fmt"
	"time"
)

// Times of a hand-over. The platform gives a new process 6 s to say that it serves.
const (
	HelloTimeout         = time.Second     // for a hello to be whole, from connecting
	StateTimeout         = 2 * time.Second // for the old process's state, from the hello
	StopAcceptingTimeout = time.Second     // for the old process to have stopped accepting
	ReadyTimeout         = 8 * time.Second // for the new process to accept, from its hello
)

// Stage is where a hand-over stands, at either end.
type Stage uint8

// Stages.
const (
	Idle       Stage = iota // no other process
	Connected               // old: a new process has the state; new: it has it, and does not serve yet
	Ready                   // new: it accepts, and the old one may still
	HandedOver              // old: it accepts no more; new: it alone accepts
)

var stageNames = [...]string{"alone", "connected", "ready", "handed"}

func (s Stage) String() string { return stageNames[s] }

// OldProcess is the end of the process that serves. The zero value is alone.
type OldProcess struct{ stage Stage }

// Stage is where it stands.
func (o *OldProcess) Stage() Stage { return o.stage }

// HandleHello takes a new process's hello. It returns why that is refused, or nothing: then the state
// is to be sent, with less room for this process from before it is sent on.
func (o *OldProcess) HandleHello(h, me Hello) (refused string, busy bool) {
	switch {
	case h.Version != me.Version:
		return fmt.Sprintf("version %d is not spoken here, but %d", h.Version, me.Version), false
	case h.Name != me.Name || h.Listen != me.Listen:
		return fmt.Sprintf("this is %s at %s, not %s at %s", me.Name, me.Listen, h.Name, h.Listen), false
	case o.stage != Idle:
		return "a hand-over is under way already", true
	}
	o.stage = Connected
	return "", false
}

// HandleReady takes the news that the new process accepts. It returns whether this one is to stop.
func (o *OldProcess) HandleReady() bool {
	if o.stage != Connected {
		return false
	}
	o.stage = HandedOver
	return true
}

// HandleDisconnect takes the news that the new process is gone, or was given up: all its room is this one's
// again. It returns whether this one is to accept again.
func (o *OldProcess) HandleDisconnect() (accept bool) {
	accept = o.stage == HandedOver
	o.stage = Idle
	return accept
}

// NewProcess is the end of a process that takes over. The zero value is alone.
type NewProcess struct {
	stage      Stage
	readySince time.Time // of Ready
}

// Stage is where it stands.
func (n *NewProcess) Stage() Stage { return n.stage }

// HandleState takes the old process's state. It returns why it cannot be used, or nothing.
func (n *NewProcess) HandleState(s *State, descriptors int) (bad string) {
	switch {
	case s.Refused != "":
		return "refused: " + s.Refused
	case s.Version != Version:
		return fmt.Sprintf("a state of version %d, want %d", s.Version, Version)
	case len(s.Listeners) == 0 || len(s.Listeners) != descriptors:
		return fmt.Sprintf("%d descriptors for the listeners %q", descriptors, s.Listeners)
	case s.MaxSockets <= 0 || s.MemoryBytes <= 0:
		return "no descriptors or no memory left for this process"
	}
	n.stage = Connected
	return ""
}

// StartServing tells that this process has a list and accepts. It returns whether the old one is to be told.
func (n *NewProcess) StartServing(now time.Time) bool {
	if n.stage != Connected {
		return false
	}
	n.stage, n.readySince = Ready, now
	return true
}

// HandleStopAccepting takes the news that the old process accepts no more.
func (n *NewProcess) HandleStopAccepting() {
	if n.stage == Ready {
		n.stage = HandedOver
	}
}

// HandleDisconnect takes the news that the old process is gone: all room is this one's.
func (n *NewProcess) HandleDisconnect() { n.stage = Idle }

// MayReportServing says whether this process may say that it serves in the dispatcher's name: the old one has
// stopped accepting, is gone, or has not said so in its time. In that last case both accept, which loses nothing.
func (n *NewProcess) MayReportServing(now time.Time) bool {
	return n.stage == Idle || n.stage == HandedOver || n.stage == Ready && now.Sub(n.readySince) >= StopAcceptingTimeout
}

// SplitDescriptors shares descriptors out when a new process comes: how many the old one keeps, which
// holds used of them. The new one has the rest, a quarter at least; the old one then closes what is idle.
func SplitDescriptors(limit, used, spare int) (keep, give int) {
	keep = min(max(limit/2, used+spare), limit-limit/4)
	return keep, limit - keep
}
