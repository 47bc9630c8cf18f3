package core

import (
	"sync/atomic"

	"tinsail/internal/balance"
)

// Backend is a server that runs jobs. All fields but its state are fixed: a backend whose address changes is replaced
// by a new Backend in the core's list.
type Backend struct {
	ID            balance.WorkerID
	Name          string
	Address       string
	ready         atomic.Bool
	notReadySince atomic.Int64 // stamp (see clock.toStamp) of when it stopped being ready; 0 while it is ready or if it never was
	core          *Core        // nil in tests that use a Backend without a core
}

// Banned reports whether operators have taken the backend out of use.
func (b *Backend) Banned() bool { return b.core != nil && b.core.isBanned(b.ID) }

// setReady records whether requests may be sent to the backend.
func (b *Backend) setReady(ready bool) {
	was := b.ready.Swap(ready)
	switch {
	case ready:
		b.notReadySince.Store(0)
	case was && b.core != nil:
		b.notReadySince.Store(b.core.clock.toStamp(b.core.clock.read()))
	}
}

// Entry is one backend of the director's list.
type Entry struct {
	balance.Worker
	Name, Address string
	// LocalStart says that Started is a time on this core's clock (see Now) and not a time from the list.
	LocalStart bool
}

// HandleList delivers a list of backends, or reports that fetching it failed.
func (c *Core) HandleList(kind balance.ListKind, list []Entry) {
	c.post(func() { c.updateList(kind, list) })
}

func (c *Core) updateList(kind balance.ListKind, list []Entry) {
	workers := make([]balance.Worker, len(list))
	named := make(map[balance.WorkerID]bool, len(list))
	now := c.clock.read()
	silence := c.watchSilence(kind, now)
	for i := range list {
		e := &list[i]
		workers[i], named[e.ID] = e.Worker, true
		if e.State != balance.Gone && !e.LocalStart {
			workers[i].Started = c.startTimes.adjust(e.ID, e.Started, c.clock.millis(now), silence)
		}
		b := c.listed[e.ID]
		if b != nil && (b.Address != e.Address || e.State == balance.Gone) {
			c.removeBackend(b)
			b = nil
		}
		if e.State == balance.Gone {
			continue
		}
		if b == nil {
			b = &Backend{ID: e.ID, Name: e.Name, Address: e.Address, core: c}
			c.listed[e.ID] = b
		}
		b.setReady(e.State == balance.Ready)
	}
	if kind == balance.ListFull || kind == balance.ListCached {
		for id, b := range c.listed {
			if !named[id] {
				c.removeBackend(b)
			}
		}
	}
	ready := int32(0)
	for _, b := range c.listed {
		if b.ready.Load() {
			ready++
		}
	}
	c.readyCount.Store(ready)
	c.hasList.Store(c.hasList.Load() || len(c.listed) > 0)
	c.module.Workers(c.clock.now(), kind, workers)
}

func (c *Core) removeBackend(b *Backend) {
	b.setReady(false)
	c.startTimes.forget(b.ID)
	delete(c.listed, b.ID)
	c.backends.CloseIdle(b)
}

// SetBanned names the backends at which no attempt may start from now on, whatever their listed state. It takes effect before
// it returns, ahead of events that the core has not handled yet. The core keeps no reference to the map.
func (c *Core) SetBanned(ids map[balance.WorkerID]struct{}) {
	since := make(map[balance.WorkerID]int64, len(ids))
	now := c.clock.toStamp(c.clock.read())
	for id := range ids {
		since[id] = now
		if before := c.bannedSince(id); before != 0 {
			since[id] = before
		}
	}
	c.banned.Store(&since)
}

func (c *Core) isBanned(id balance.WorkerID) bool { return c.bannedSince(id) != 0 }

// bannedSince returns the stamp of when a backend was banned, 0 if it is not banned.
func (c *Core) bannedSince(id balance.WorkerID) int64 {
	ids := c.banned.Load()
	if ids == nil {
		return 0
	}
	return (*ids)[id]
}
