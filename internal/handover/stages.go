package handover

import (
	"fmt"
	"time"
)

// Timeouts of a hand-over. The platform gives a new process 6 s to report that it serves.
const (
	HelloTimeout         = time.Second     // from the connection to the complete hello
	StateTimeout         = 2 * time.Second // from the hello to the old process's state
	StopAcceptingTimeout = time.Second     // for the old process to stop accepting
	ReadyTimeout         = 8 * time.Second // from its hello until the new process accepts
)

// Stage is how far a hand-over has got, as seen by either process.
type Stage uint8

// Stages.
const (
	Idle       Stage = iota // no other process is known
	Connected               // old: a new process has the state; new: it has the state and does not serve yet
	Ready                   // new: it accepts, and the old process may still accept too
	HandedOver              // old: it no longer accepts; new: it alone accepts
	GivenUp                 // new: the old process serves on, and this one ends
)

var stageNames = [...]string{"alone", "connected", "ready", "handed", "given up"}

func (s Stage) String() string { return stageNames[s] }

// OldProcess is the state of the process that serves. The zero value is idle.
type OldProcess struct{ stage Stage }

// Stage returns the current stage.
func (o *OldProcess) Stage() Stage { return o.stage }

// HandleHello handles the hello of a new process. It returns why the hand-over is refused, or an
// empty text if it is accepted: then the caller reduces this process's own limits and sends the
// state.
func (o *OldProcess) HandleHello(h, own Hello) (refused string, busy bool) {
	switch {
	case h.Version != own.Version:
		return fmt.Sprintf("version %d is not spoken here, but %d", h.Version, own.Version), false
	case h.Name != own.Name || h.Listen != own.Listen:
		return fmt.Sprintf("this is %s at %s, not %s at %s", own.Name, own.Listen, h.Name, h.Listen), false
	case o.stage != Idle:
		return "a hand-over is under way already", true
	}
	o.stage = Connected
	return "", false
}

// HandleReady handles the message that the new process accepts. It reports whether this process is
// to stop accepting.
func (o *OldProcess) HandleReady() bool {
	if o.stage != Connected {
		return false
	}
	o.stage = HandedOver
	return true
}

// HandleDisconnect records that the new process is gone or was given up: all descriptors and memory
// are this process's again. It reports whether this process is to accept again.
func (o *OldProcess) HandleDisconnect() (accept bool) {
	accept = o.stage == HandedOver
	o.stage = Idle
	return accept
}

// NewProcess is the state of a process that takes over. The zero value is idle.
type NewProcess struct {
	stage      Stage
	readySince time.Time // when Ready was reached
}

// Stage returns the current stage.
func (n *NewProcess) Stage() Stage { return n.stage }

// HandleState handles the old process's state. It returns why the state cannot be used, or an empty
// text.
func (n *NewProcess) HandleState(s *State, descriptors int) (problem string) {
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

// StartServing records that this process has a list and accepts. It reports whether the old process
// is to be informed.
func (n *NewProcess) StartServing(now time.Time) bool {
	if n.stage != Connected {
		return false
	}
	n.stage, n.readySince = Ready, now
	return true
}

// HandleStopAccepting handles the message that the old process no longer accepts.
func (n *NewProcess) HandleStopAccepting() {
	if n.stage == Ready {
		n.stage = HandedOver
	}
}

// HandleDisconnect records that the old process is gone: all descriptors and memory are this
// process's, unless the old one serves on.
func (n *NewProcess) HandleDisconnect() {
	if n.stage != GivenUp {
		n.stage = Idle
	}
}

// HandleGivenUp records that the old process serves on without this one. It reports whether this process is to end: false if the old
// process is gone already, or was told of before.
func (n *NewProcess) HandleGivenUp() (ends bool) {
	if n.stage == Idle || n.stage == GivenUp {
		return false
	}
	n.stage = GivenUp
	return true
}

// MayReportServing reports whether this process may state that it serves for the dispatcher: the
// old process has stopped accepting, is gone, or has not confirmed within StopAcceptingTimeout. In
// the last case both processes accept, which loses nothing.
func (n *NewProcess) MayReportServing(now time.Time) bool {
	return n.stage == Idle || n.stage == HandedOver || n.stage == Ready && now.Sub(n.readySince) >= StopAcceptingTimeout
}

// SplitDescriptors divides the descriptors when a new process connects. The old process, which
// holds used of them, keeps the first number and then closes idle connections; the new process gets
// the rest, at least a quarter of the limit.
func SplitDescriptors(limit, used, spare int) (keep, give int) {
	keep = min(max(limit/2, used+spare), limit-limit/4)
	return keep, limit - keep
}
