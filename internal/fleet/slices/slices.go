// Package slices places demands for a part of a device on the devices of a group. It maintains three
// invariants (docs/design/slices.md): no device is oversold, the isolation of every two slices on a device is
// respected in both directions, and no id is placed twice. The package does no I/O and reads no clock: the
// caller passes events and the current time and carries out the returned actions. It is not safe for
// concurrent use.
package slices

import (
	"errors"
	"fmt"
	"time"
)

// Amount is an amount of a device's resources: a part of the device, or all of it.
type Amount struct {
	Parts  int // of the processor, in thousandths of a device
	Memory int // MiB
}

func (a Amount) plus(b Amount) Amount   { return Amount{a.Parts + b.Parts, a.Memory + b.Memory} }
func (a Amount) minus(b Amount) Amount  { return Amount{a.Parts - b.Parts, a.Memory - b.Memory} }
func (a Amount) contains(b Amount) bool { return a.Parts >= b.Parts && a.Memory >= b.Memory }

// elementwiseMax returns the larger value of each resource.
func (a Amount) elementwiseMax(b Amount) Amount {
	return Amount{max(a.Parts, b.Parts), max(a.Memory, b.Memory)}
}

// Upper bounds on values that other processes send. They protect against malformed messages.
const (
	MaxParts     = 1_000_000
	MaxMemory    = 1 << 30
	MaxProfiles  = 32
	MaxNameBytes = 128 // bytes of an id, a tenant, a device
)

// Isolation says which other slices may share a device with a slice. Two slices share a device only if each
// accepts the other.
type Isolation uint8

// The isolation levels.
const (
	SharedWithAny    Isolation = iota // shares the device with any tenant
	SharedWithTenant                  // shares the device with its own tenant only
	Partitioned                       // hardware partition: shares with any tenant, needs a device with profiles
	Exclusive                         // has the device to itself
)

// acceptsNeighbour reports whether a slice with isolation i may share its device with another slice.
func (i Isolation) acceptsNeighbour(sameTenant bool) bool {
	return i != Exclusive && (i != SharedWithTenant || sameTenant)
}

// Device is a device as its backend reports it. If Profiles is not empty, the device is divided only into
// slices of these sizes, and a demand gets the smallest profile that covers it; their order doesn't matter.
// If Profiles is empty, slices may have any size and have no hardware isolation.
type Device struct {
	Name, Backend, Zone string
	Size                Amount
	Profiles            []Amount
}

// Check returns an error that names the value out of range, if there is one.
func (d Device) Check() error {
	switch {
	case d.Name == "" || len(d.Name) > MaxNameBytes:
		return fmt.Errorf("device name has %d bytes, want 1 to %d", len(d.Name), MaxNameBytes)
	case d.Size.Parts < 1 || d.Size.Parts > MaxParts || d.Size.Memory < 1 || d.Size.Memory > MaxMemory:
		return fmt.Errorf("device %s has %d parts and %d MiB", d.Name, d.Size.Parts, d.Size.Memory)
	case len(d.Profiles) > MaxProfiles:
		return fmt.Errorf("device %s has %d profiles, at most %d", d.Name, len(d.Profiles), MaxProfiles)
	}
	for _, p := range d.Profiles {
		if p.Parts < 1 || p.Memory < 1 || !d.Size.contains(p) {
			return fmt.Errorf("device %s has a profile of %d parts and %d MiB", d.Name, p.Parts, p.Memory)
		}
	}
	return nil
}

// Demand is a request for a part of one device. An Exclusive demand gets all of its device, whatever its Size.
type Demand struct {
	ID        string
	Size      Amount
	Isolation Isolation
	Tenant    string
	Zone      string        // empty: any zone
	Lifetime  time.Duration // counted from the placement; the owner stops the slice when it is over
	Priority  int           // larger first
	Movable   bool          // may be stopped and started on another device; recorded only, not used yet
}

// Limits are set by the fleet's policy. Lowering a limit never stops a running slice.
type Limits struct {
	MaxTenants     int           // on one device
	MaxSlices      int           // on one device
	ReservedMemory int           // MiB of each device that are never allocated
	MaxWaiting     int           // length of the queue
	MaxPassedOver  int           // after being passed over so often, a demand gets a device reserved for it
	MaxLifetime    time.Duration // longest Lifetime that a demand may ask for
	RetainEnded    time.Duration // how long an ended id is remembered
	MaxKnownIDs    int           // waiting, placed and ended ids together
}

// Check returns an error that names the limit out of range, if there is one.
func (l Limits) Check() error {
	switch {
	case l.MaxTenants < 1 || l.MaxSlices < 1:
		return errors.New("tenants and slices per device must be at least 1")
	case l.ReservedMemory < 0 || l.MaxWaiting < 0:
		return errors.New("reserved memory and the number of waiting demands must be at least 0")
	case l.MaxPassedOver < 1:
		return errors.New("the number of times a demand is passed over must be at least 1")
	case l.MaxLifetime <= 0 || l.RetainEnded <= 0 || l.MaxKnownIDs < 1:
		return errors.New("the longest lifetime, the retention of ended ids and the number of known ids must be above 0")
	}
	return nil
}

// FencingToken orders the messages to a device: the term of its owner's lease, and a number that grows with each
// QueryState of that term. A backend refuses a Start whose token is below the highest it has seen for the device.
type FencingToken struct{ Term, Sequence uint64 }

// Before reports whether s is lower than o.
func (s FencingToken) Before(o FencingToken) bool {
	return s.Term < o.Term || s.Term == o.Term && s.Sequence < o.Sequence
}

// ActionKind says what an action asks of the caller.
type ActionKind uint8

// The kinds of action. Start, Stop and QueryState are repeated (see Unconfirmed) until the backend has answered.
// The caller writes the placement to disk before it sends Start.
const (
	Start      ActionKind = iota + 1 // to the backend: start this slice
	Stop                             // to the backend: stop this slice, or never start it
	QueryState                       // to the backend: report the slices on the device, and refuse lower tokens
	Placed                           // to the requester: the slice runs on Device
	Pending                          // to the requester: the slice doesn't run yet, for Reason
	Refused                          // to the requester: no device can hold it, or a limit is reached; Reason names it
	Ended                            // to the requester: the id has ended and is not placed again
	Lost                             // to the requester: the device failed, or no longer holds the slice
)

// Action is one step for the caller to carry out. PlacementID distinguishes two placements of one id.
type Action struct {
	Kind               ActionKind
	ID, Device, Reason string
	PlacementID        uint64
	Token              FencingToken
	Demand             Demand // of Start
	Amount             Amount // of Start and Placed: what the slice is allocated
}

// HeldSlice describes a slice as a backend reports it or as a durable record has it.
type HeldSlice struct {
	ID, Tenant  string
	PlacementID uint64
	Isolation   Isolation
	Amount      Amount
	ExpiresAt   time.Duration // of a durable record: end of the lifetime; 0: not known
	Stopping    bool          // of a durable record: the stop was requested
}
