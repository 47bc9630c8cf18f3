// Package maintain is the driver of package maintenance: it holds the lock, keeps the file, and has
// the core and the pool follow before a call is answered.
package maintain

import (
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/maintenance"
	"tinsail/internal/platform"
)

// Manager lies between every source of backends and the core.
type Manager struct {
	Path     string // of the file; empty for none
	Store    Store  // in place of a file at Path
	Told     func(balance.ListKind, []core.Entry)
	Withhold func(map[balance.WorkerID]struct{}) // the core's last gate; holds when it returns
	HangUp   func(balance.WorkerID)              // closes idle connections
	Now      func() float64                      // the core's clock, in Unix ms; nil for the wall clock
	Wall     func() time.Time                    // nil for the system's
	Log      zerolog.Logger

	mu    sync.Mutex
	bans  maintenance.Bans
	out   bool
	share func(maintenance.Mark) // tells another process; nil if there is none

	unkept   bool // the store does not hold what holds here
	failures int64
	pause    time.Duration
	retry    *time.Timer
}

// ErrUnknown says that no list ever named the backend.
var ErrUnknown = errors.New("no backend of this name was ever listed")

// Load reads what a process before this one left, if any: the newest generation that is whole. Others are told and left aside.
func (d *Manager) Load() (out bool) {
	s := d.store()
	if s == nil {
		return false
	}
	texts, err := s.Read()
	var k maintenance.Kept
	found := false
	for _, text := range texts {
		var bad error
		if k, bad = maintenance.ReadKept(text); bad == nil {
			found = true
			break
		}
		err = errors.Join(err, bad)
	}
	if err != nil {
		d.Log.Error().Str("file", d.Path).Bool("older_used", found).Err(err).Msg("bans not read")
	}
	if !found {
		return false
	}
	d.mu.Lock()
	d.out = k.Out
	d.mu.Unlock()
	d.Merge(k.Marks)
	return k.Out
}

// Listed takes what a source says, in place of the core.
func (d *Manager) Listed(kind balance.ListKind, list []core.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	in := make([]maintenance.Backend, len(list))
	for i := range list {
		in[i] = maintenance.Backend(list[i])
	}
	d.Told(kind, entries(d.bans.List(kind, in)))
}

func entries(list []maintenance.Backend) []core.Entry {
	out := make([]core.Entry, len(list))
	for i := range list {
		out[i] = core.Entry(list[i])
	}
	return out
}

// now is the time of calls and of starts: the core's clock, which no step of the wall clock moves.
func (d *Manager) now() float64 {
	if d.Now == nil {
		return d.wall()
	}
	return d.Now()
}

// wall is the system's wall clock, in Unix ms. Only what crosses to another process, by a message or the file, is told by it.
func (d *Manager) wall() float64 {
	read := time.Now
	if d.Wall != nil {
		read = d.Wall
	}
	return float64(read().UnixMicro()) / 1000
}

// outward are marks as another process of this machine takes them, by the wall clock; inward is the other way.
func (d *Manager) outward(marks []maintenance.Mark) []maintenance.Mark {
	return maintenance.Moved(marks, d.now(), d.wall())
}

func (d *Manager) inward(marks []maintenance.Mark) []maintenance.Mark {
	return maintenance.Moved(marks, d.wall(), d.now())
}

// Offline bans a backend: when it returns, nothing more begins there. An error other than
// ErrUnknown says that the ban holds here but would not outlive this process.
func (d *Manager) Offline(name string) error { return d.call(name, d.bans.Offline) }

// Online ends a ban; the backend is used at once, if its source says that it is ready.
func (d *Manager) Online(name string) error { return d.call(name, d.bans.Online) }

func (d *Manager) call(name string, f func(float64, string) ([]maintenance.Backend, bool)) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	change, ok := f(d.now(), name)
	if !ok {
		return ErrUnknown
	}
	d.follow(change)
	if d.share != nil {
		d.share(d.outward([]maintenance.Mark{d.bans.Mark(name)})[0])
	}
	return d.keep()
}

// follow has the core and the pool follow. d.mu is held.
func (d *Manager) follow(change []maintenance.Backend) {
	held := map[balance.WorkerID]struct{}{}
	for _, name := range d.bans.Withheld() {
		held[balance.WorkerID(platform.Hash(name))] = struct{}{}
	}
	d.Withhold(held)
	for id := range held {
		d.HangUp(id)
	}
	if len(change) > 0 {
		d.Told(balance.ListDelta, entries(change))
	}
}

// Merge takes marks from another process or a file.
func (d *Manager) Merge(marks []maintenance.Mark) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow(d.bans.Merge(d.inward(marks)))
	if err := d.keep(); err != nil {
		d.Log.Error().Err(err).Msg("bans not kept")
	}
}

// Policy takes the names that the fleet's policy bans, in place of those before: when it returns,
// nothing more begins at them.
func (d *Manager) Policy(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow(d.bans.Policy(names))
}

// SetOut notes whether the dispatcher is out of service.
func (d *Manager) SetOut(out bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.out == out {
		return nil
	}
	d.out = out
	return d.keep()
}

// Share has every call told to another process too, from now on, by tell, which must not block for
// long; nil for no more. It returns all marks so far.
func (d *Manager) Share(tell func(maintenance.Mark)) []maintenance.Mark {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.share = tell
	return d.outward(d.bans.Marks())
}

// State is the list as the source has it, and all marks.
func (d *Manager) State() ([]maintenance.Backend, []maintenance.Mark) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bans.Listed(), d.outward(d.bans.Marks())
}

// Banned lists the banned.
func (d *Manager) Banned() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bans.Banned()
}

// keep has the store hold all marks. What could not be kept is owed still: it is tried again until it is. d.mu is held.
func (d *Manager) keep() error {
	s := d.store()
	if s == nil {
		return nil
	}
	err := s.Write(maintenance.Kept{Out: d.out, Marks: d.outward(d.bans.Marks())}.Append(nil))
	if err == nil {
		d.unkept, d.pause = false, 0
		return nil
	}
	d.failures++
	d.pause = min(max(2*d.pause, leastKeepPause), mostKeepPause)
	if !d.unkept {
		d.unkept = true
		d.Log.Error().Err(err).Msg("bans not kept, will be tried again")
	}
	if d.retry == nil {
		d.retry = time.AfterFunc(d.pause, d.keepAgain)
	} else {
		d.retry.Reset(d.pause)
	}
	return err
}

// Pauses between tries to keep what could not be kept, doubled from the first to the last.
const (
	leastKeepPause = 100 * time.Millisecond
	mostKeepPause  = 2 * time.Second
)

func (d *Manager) keepAgain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unkept && d.keep() == nil {
		d.Log.Info().Msg("bans kept")
	}
}

func (d *Manager) store() Store {
	switch {
	case d.Store != nil:
		return d.Store
	case d.Path != "":
		return fileStore{d.Path}
	}
	return nil
}

// Each calls f for the counters of what outlives the process.
func (d *Manager) Each(f func(name string, n int64)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	unkept := int64(0)
	if d.unkept {
		unkept = 1
	}
	f("bans_unkept", unkept)
	f("bans_keep_failures", d.failures)
}
