// Package slices decides which part of which device a demand gets, and holds what must never bend
// (docs/design/slices.md): no device oversold, isolation both ways, no id placed twice. It does no I/O and
// reads no clock: events and a time go in, actions come out. It is not safe for use by several goroutines.
package slices

import (
	"errors"
	"fmt"
	"time"
)

// Amount is a part of a device, or the whole of it.
type Amount struct {
	Parts  int // processor, thousandths of a device
	Memory int // MiB
}

func (a Amount) plus(b Amount) Amount   { return Amount{a.Parts + b.Parts, a.Memory + b.Memory} }
func (a Amount) minus(b Amount) Amount  { return Amount{a.Parts - b.Parts, a.Memory - b.Memory} }
func (a Amount) contains(b Amount) bool { return a.Parts >= b.Parts && a.Memory >= b.Memory }
func (a Amount) max(b Amount) Amount    { return Amount{max(a.Parts, b.Parts), max(a.Memory, b.Memory)} }

// Bounds of what is read from others, each against a message that says too much.
const (
	MaxParts     = 1_000_000
	MaxMemory    = 1 << 30
	MaxProfiles  = 32
	MaxNameBytes = 128 // bytes of an id, a tenant, a device
)

// Isolation is who may sit beside a slice on its device. Two sit together only if each accepts the other.
type Isolation uint8

// The levels, from those that accept most.
const (
	SharedWithAny    Isolation = iota // accepts anyone
	SharedWithTenant                  // accepts its own tenant only
	Partitioned                       // a fixed slice with walls: accepts anyone, needs a device with profiles
	Exclusive                         // accepts nobody
)

// acceptsNeighbour says whether a slice of level i minds the other's beside it.
func (i Isolation) acceptsNeighbour(sameTenant bool) bool {
	return i != Exclusive && (i != SharedWithTenant || sameTenant)
}

// Device is what a backend says that it carries. Profiles (ascending by preference of the operator is not
// needed: the smallest that covers a demand is taken) empty: it is cut freely, and has no walls.
type Device struct {
	Name, Backend, Zone string
	Size                Amount
	Profiles            []Amount
}

// Check names what is out of range.
func (d Device) Check() error {
	switch {
	case d.Name == "" || len(d.Name) > MaxNameBytes:
		return fmt.Errorf("a device's name has %d bytes, want 1 to %d", len(d.Name), MaxNameBytes)
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

// Demand is one wish for a part of one device. A Whole one gets all of its device, whatever its size.
type Demand struct {
	ID        string
	Size      Amount
	Isolation Isolation
	Tenant    string
	Zone      string        // "": any
	Lifetime  time.Duration // from its placement; the owner ends it then
	Priority  int           // larger first
	Movable   bool          // may be ended here and begun elsewhere; only recorded as yet
}

// Limits are the fleet's, from its policy. A lower one never ends what runs.
type Limits struct {
	MaxTenants     int           // most tenants on a device
	MaxSlices      int           // most slices on a device
	ReservedMemory int           // MiB of each device that nobody gets
	MaxWaiting     int           // most demands that wait
	MaxPassedOver  int           // passes after which a device is kept for a demand
	MaxLifetime    time.Duration // longest lifetime of a demand
	RetainEnded    time.Duration // for how long an ended id is known
	MaxKnownIDs    int           // most ids known at once: waiting, placed and ended
}

// Check names the limit that is out of range.
func (l Limits) Check() error {
	switch {
	case l.MaxTenants < 1 || l.MaxSlices < 1:
		return errors.New("tenants and slices a device are at least 1")
	case l.ReservedMemory < 0 || l.MaxWaiting < 0:
		return errors.New("memory kept free and demands that wait are at least 0")
	case l.MaxPassedOver < 1:
		return errors.New("passes are at least 1")
	case l.MaxLifetime <= 0 || l.RetainEnded <= 0 || l.MaxKnownIDs < 1:
		return errors.New("lifetime, remember and known are above 0")
	}
	return nil
}

// FencingToken fences a device's messages: the term of its owner's lease, and a count of statements in it. A
// backend refuses a begin with a stamp below the highest that it has seen for the device.
type FencingToken struct{ Term, Sequence uint64 }

// Before orders stamps.
func (s FencingToken) Before(o FencingToken) bool {
	return s.Term < o.Term || s.Term == o.Term && s.Sequence < o.Sequence
}

// ActionKind is what an action asks of the caller.
type ActionKind uint8

// The steps. Start and Stop are repeated (Unconfirmed) until the backend has answered; the caller writes
// the placement to disk before it sends Start.
const (
	Start      ActionKind = iota + 1 // to the backend: begin this slice
	Stop                             // to the backend: end this slice (also one that it never began)
	QueryState                       // to the backend: say what the device holds, and refuse lower stamps
	Placed                           // to the demander: it sits on Device
	Pending                          // to the demander: it waits, Why
	Refused                          // to the demander: it never will be placed as things are, Why names the limit
	Ended                            // to the demander: its id is over
	Lost                             // to the demander: its device is gone, or holds it no more
)

// Action is one step for the caller. Try tells two placements of one id from each other.
type Action struct {
	Kind               ActionKind
	ID, Device, Reason string
	PlacementID        uint64
	Token              FencingToken
	Demand             Demand // of Begin
	Amount             Amount // of Begin and Placed: what it counts as
}

// HeldSlice is one slice as a backend, or a durable record, has it.
type HeldSlice struct {
	ID, Tenant  string
	PlacementID uint64
	Isolation   Isolation
	Amount      Amount
	ExpiresAt   time.Duration // of a durable record: the end of its lifetime; 0: not known
	Stopping    bool          // of a durable record: its end was asked for
}
