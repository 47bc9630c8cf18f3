// Package maintain is the driver of package maintenance, the bans of backends: it holds the lock, stores the bans in a
// file, and applies each change to the core and the pool before the operator's call is answered.
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

// Manager sits between the sources of backends and the core, and applies the bans to the lists of the sources.
type Manager struct {
	Path      string // of the file; empty for none
	Store     Store  // used in place of a file at Path, if set
	OnList    func(balance.ListKind, []core.Entry)
	Withhold  func(map[balance.WorkerID]struct{}) // has the core send nothing to these backends; in force when it returns
	CloseIdle func(balance.WorkerID)              // closes the idle connections to a backend
	Now       func() float64                      // the core's clock, in Unix ms; nil for the wall clock
	WallClock func() time.Time                    // nil for the system's clock
	Log       zerolog.Logger

	mu    sync.Mutex
	bans  maintenance.Bans
	out   bool
	share func(maintenance.Mark) // sends a mark to another process; nil if there is none

	unkept   bool // the store does not hold the bans that are in force here
	failures int64
	pause    time.Duration
	retry    *time.Timer
}

// ErrUnknown is returned for a backend that was in no list so far.
var ErrUnknown = errors.New("no backend of this name was ever listed")

// Load reads the bans that an earlier process stored, if any: the newest generation that is valid. Invalid ones are logged
// and ignored. It returns whether the dispatcher was out of service.
func (d *Manager) Load() (out bool) {
	s := d.store()
	if s == nil {
		return false
	}
	texts, err := s.Read()
	var k maintenance.SavedState
	found := false
	for _, text := range texts {
		var bad error
		if k, bad = maintenance.ReadState(text); bad == nil {
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
	d.out = k.OutOfService
	d.mu.Unlock()
	d.Merge(k.Marks)
	return k.OutOfService
}

// Listed handles a list of a source, in place of the core, and passes it on with the bans applied.
func (d *Manager) Listed(kind balance.ListKind, list []core.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	in := make([]maintenance.Backend, len(list))
	for i := range list {
		in[i] = maintenance.Backend(list[i])
	}
	d.OnList(kind, entries(d.bans.ApplyList(kind, in)))
}

func entries(list []maintenance.Backend) []core.Entry {
	out := make([]core.Entry, len(list))
	for i := range list {
		out[i] = core.Entry(list[i])
	}
	return out
}

// now is the time of operators' calls and of starts of backends, by the core's clock, which no step of the wall clock moves.
func (d *Manager) now() float64 {
	if d.Now == nil {
		return d.wall()
	}
	return d.Now()
}

// wall reads the system's wall clock, in Unix ms. It is used only for what another process reads, in a message or the file.
func (d *Manager) wall() float64 {
	read := time.Now
	if d.WallClock != nil {
		read = d.WallClock
	}
	return float64(read().UnixMicro()) / 1000
}

// toWallClock converts the times of marks from the core's clock to the wall clock, by which another process of this
// machine reads them.
func (d *Manager) outward(marks []maintenance.Mark) []maintenance.Mark {
	return maintenance.ConvertClock(marks, d.now(), d.wall())
}

// toCoreClock converts the times of marks from the wall clock to the core's clock.
func (d *Manager) inward(marks []maintenance.Mark) []maintenance.Mark {
	return maintenance.ConvertClock(marks, d.wall(), d.now())
}

// Offline bans a backend. When it returns, no further attempt is started there. An error other than
// ErrUnknown means that the ban is in force in this process, but was not stored for the next one.
func (d *Manager) Offline(name string) error { return d.call(name, d.bans.Offline) }

// Online ends a ban. The backend is used again at once if its source lists it as ready.
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

// apply applies the bans and the changed states of backends to the core and the pool. d.mu is held.
func (d *Manager) follow(change []maintenance.Backend) {
	held := map[balance.WorkerID]struct{}{}
	for _, name := range d.bans.AllBanned() {
		held[balance.WorkerID(platform.Hash(name))] = struct{}{}
	}
	d.Withhold(held)
	for id := range held {
		d.CloseIdle(id)
	}
	if len(change) > 0 {
		d.OnList(balance.ListDelta, entries(change))
	}
}

// Merge adds marks that come from another process or a file.
func (d *Manager) Merge(marks []maintenance.Mark) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow(d.bans.Merge(d.inward(marks)))
	if err := d.keep(); err != nil {
		d.Log.Error().Err(err).Msg("bans not stored")
	}
}

// SetPolicyBans replaces the bans that come from the fleet's policy. When it returns, no further attempt is started at
// the named backends.
func (d *Manager) SetPolicyBans(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow(d.bans.SetPolicyBans(names))
}

// SetOutOfService stores whether the dispatcher is out of service.
func (d *Manager) SetOutOfService(out bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.out == out {
		return nil
	}
	d.out = out
	return d.keep()
}

// ShareWith makes every later change go to another process too, by send, which must not block for
// long; nil ends that. It returns all marks so far.
func (d *Manager) ShareWith(tell func(maintenance.Mark)) []maintenance.Mark {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.share = tell
	return d.outward(d.bans.Marks())
}

// State returns the list as the source has it, and all marks.
func (d *Manager) State() ([]maintenance.Backend, []maintenance.Mark) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bans.SourceList(), d.outward(d.bans.Marks())
}

// Banned returns the names of the banned backends.
func (d *Manager) Banned() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bans.OperatorBanned()
}

// save writes all marks to the store. A failed write is retried until it succeeds. d.mu is held.
func (d *Manager) keep() error {
	s := d.store()
	if s == nil {
		return nil
	}
	err := s.Write(maintenance.SavedState{OutOfService: d.out, Marks: d.outward(d.bans.Marks())}.Append(nil))
	if err == nil {
		d.unkept, d.pause = false, 0
		return nil
	}
	d.failures++
	d.pause = min(max(2*d.pause, leastKeepPause), mostKeepPause)
	if !d.unkept {
		d.unkept = true
		d.Log.Error().Err(err).Msg("bans not stored, will be retried")
	}
	if d.retry == nil {
		d.retry = time.AfterFunc(d.pause, d.keepAgain)
	} else {
		d.retry.Reset(d.pause)
	}
	return err
}

// Delays between the retries of a failed write, doubled from the first to the last.
const (
	leastKeepPause = 100 * time.Millisecond
	mostKeepPause  = 2 * time.Second
)

func (d *Manager) keepAgain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unkept && d.keep() == nil {
		d.Log.Info().Msg("bans stored")
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

// Each calls f for each counter of the store.
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
