// Package maintain is the driver of package maintenance: it holds the lock, keeps the file, and has
// the core and the pool follow before a call is answered.
package maintain

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/maintenance"
	"tinsail/internal/platform"
)

// Desk lies between every source of backends and the core.
type Desk struct {
	Path     string // of the file; empty for none
	Told     func(balance.ListKind, []core.Entry)
	Withhold func(map[balance.WorkerID]struct{}) // the core's last gate; holds when it returns
	HangUp   func(balance.WorkerID)              // closes idle connections
	Log      zerolog.Logger

	mu    sync.Mutex
	bans  maintenance.Bans
	out   bool
	share func(maintenance.Mark) // tells another process; nil if there is none
}

// ErrUnknown says that no list ever named the backend.
var ErrUnknown = errors.New("no backend of this name was ever listed")

// Load reads the file that a process before this one left, if any. A bad one is told and left aside.
func (d *Desk) Load() (out bool) {
	if d.Path == "" {
		return false
	}
	text, err := os.ReadFile(d.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return false
	}
	var k maintenance.Kept
	if err == nil {
		k, err = maintenance.ReadKept(text)
	}
	if err != nil {
		d.Log.Error().Str("file", d.Path).Err(err).Msg("bans not read")
		return false
	}
	d.mu.Lock()
	d.out = k.Out
	d.mu.Unlock()
	d.Merge(k.Marks)
	return k.Out
}

// Listed takes what a source says, in place of the core.
func (d *Desk) Listed(kind balance.ListKind, list []core.Entry) {
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

func unix() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// Offline bans a backend: when it returns, nothing more begins there. An error other than
// ErrUnknown says that the ban holds here but would not outlive this process.
func (d *Desk) Offline(name string) error { return d.call(name, d.bans.Offline) }

// Online ends a ban; the backend is used at once, if its source says that it is ready.
func (d *Desk) Online(name string) error { return d.call(name, d.bans.Online) }

func (d *Desk) call(name string, f func(float64, string) ([]maintenance.Backend, bool)) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	change, ok := f(unix(), name)
	if !ok {
		return ErrUnknown
	}
	d.follow(change)
	if d.share != nil {
		d.share(d.bans.Mark(name))
	}
	return d.keep()
}

// follow has the core and the pool follow. d.mu is held.
func (d *Desk) follow(change []maintenance.Backend) {
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
func (d *Desk) Merge(marks []maintenance.Mark) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow(d.bans.Merge(marks))
	if err := d.keep(); err != nil {
		d.Log.Error().Err(err).Msg("bans not kept")
	}
}

// Policy takes the names that the fleet's policy bans, in place of those before: when it returns,
// nothing more begins at them.
func (d *Desk) Policy(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow(d.bans.Policy(names))
}

// SetOut notes whether the dispatcher is out of service.
func (d *Desk) SetOut(out bool) error {
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
func (d *Desk) Share(tell func(maintenance.Mark)) []maintenance.Mark {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.share = tell
	return d.bans.Marks()
}

// State is the list as the source has it, and all marks.
func (d *Desk) State() ([]maintenance.Backend, []maintenance.Mark) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bans.Listed(), d.bans.Marks()
}

// Banned lists the banned.
func (d *Desk) Banned() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bans.Banned()
}

// keep writes the file whole and renames it: a reader finds the old one or the new one. d.mu is held.
func (d *Desk) keep() error {
	if d.Path == "" {
		return nil
	}
	text := maintenance.Kept{Out: d.out, Marks: d.bans.Marks()}.Append(nil)
	f, err := os.CreateTemp(filepath.Dir(d.Path), filepath.Base(d.Path)+".*")
	if err != nil {
		return fmt.Errorf("the file of bans: %w", err)
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), d.Path)
	}
	if err != nil {
		os.Remove(f.Name())
		return fmt.Errorf("the file of bans: %w", err)
	}
	return nil
}
