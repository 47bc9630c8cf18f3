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
	SetBanned func(map[balance.WorkerID]struct{}) // has the core send nothing to these backends; in force when it returns
	CloseIdle func(balance.WorkerID)              // closes the idle connections to a backend
	Now       func() float64                      // the core's clock, in Unix ms; nil for the wall clock
	WallClock func() time.Time                    // nil for the system's clock
	Log       zerolog.Logger

	mu           sync.Mutex
	bans         maintenance.Bans
	outOfService bool
	sendMark     func(maintenance.Mark) // sends a mark to another process; nil if there is none

	unsaved    bool // the store does not hold the bans that are in force here
	failures   int64
	retryDelay time.Duration
	retryTimer *time.Timer
}

// ErrUnknown is returned for a backend that was in no list so far.
var ErrUnknown = errors.New("no backend of this name was ever listed")

// Load reads the bans that an earlier process stored, if any: the newest generation that is valid. Invalid ones are logged
// and ignored. It returns whether the dispatcher was out of service.
func (m *Manager) Load() (out bool) {
	s := m.store()
	if s == nil {
		return false
	}
	texts, err := s.Read()
	var stored maintenance.SavedState
	found := false
	for _, text := range texts {
		var bad error
		if stored, bad = maintenance.ReadState(text); bad == nil {
			found = true
			break
		}
		err = errors.Join(err, bad)
	}
	if err != nil {
		m.Log.Error().Str("file", m.Path).Bool("older_used", found).Err(err).Msg("bans not read")
	}
	if !found {
		return false
	}
	m.mu.Lock()
	m.outOfService = stored.OutOfService
	m.mu.Unlock()
	m.Merge(stored.Marks)
	return stored.OutOfService
}

// HandleList handles a list of a source, in place of the core, and passes it on with the bans applied.
func (m *Manager) HandleList(kind balance.ListKind, list []core.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	in := make([]maintenance.Backend, len(list))
	for i := range list {
		in[i] = maintenance.Backend(list[i])
	}
	m.OnList(kind, entries(m.bans.ApplyList(kind, in)))
}

func entries(list []maintenance.Backend) []core.Entry {
	out := make([]core.Entry, len(list))
	for i := range list {
		out[i] = core.Entry(list[i])
	}
	return out
}

// now is the time of operators' calls and of starts of backends, by the core's clock, which no step of the wall clock moves.
func (m *Manager) now() float64 {
	if m.Now == nil {
		return m.wall()
	}
	return m.Now()
}

// wall reads the system's wall clock, in Unix ms. It is used only for what another process reads, in a message or the file.
func (m *Manager) wall() float64 {
	read := time.Now
	if m.WallClock != nil {
		read = m.WallClock
	}
	return float64(read().UnixMicro()) / 1000
}

// toWallClock converts the times of marks from the core's clock to the wall clock, by which another process of this
// machine reads them.
func (m *Manager) toWallClock(marks []maintenance.Mark) []maintenance.Mark {
	return maintenance.ConvertClock(marks, m.now(), m.wall())
}

// toCoreClock converts the times of marks from the wall clock to the core's clock.
func (m *Manager) toCoreClock(marks []maintenance.Mark) []maintenance.Mark {
	return maintenance.ConvertClock(marks, m.wall(), m.now())
}

// Offline bans a backend. When it returns, no further attempt is started there. An error other than
// ErrUnknown means that the ban is in force in this process, but was not stored for the next one.
func (m *Manager) Offline(name string) error { return m.changeBan(name, m.bans.Offline) }

// Online ends a ban. The backend is used again at once if its source lists it as ready.
func (m *Manager) Online(name string) error { return m.changeBan(name, m.bans.Online) }

func (m *Manager) changeBan(name string, f func(float64, string) ([]maintenance.Backend, bool)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	change, ok := f(m.now(), name)
	if !ok {
		return ErrUnknown
	}
	m.apply(change)
	if m.sendMark != nil {
		m.sendMark(m.toWallClock([]maintenance.Mark{m.bans.Mark(name)})[0])
	}
	return m.save()
}

// apply applies the bans and the changed states of backends to the core and the pool. m.mu is held.
func (m *Manager) apply(change []maintenance.Backend) {
	banned := map[balance.WorkerID]struct{}{}
	for _, name := range m.bans.AllBanned() {
		banned[balance.WorkerID(platform.Hash(name))] = struct{}{}
	}
	m.SetBanned(banned)
	for id := range banned {
		m.CloseIdle(id)
	}
	if len(change) > 0 {
		m.OnList(balance.ListDelta, entries(change))
	}
}

// Merge adds marks that come from another process or a file.
func (m *Manager) Merge(marks []maintenance.Mark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.apply(m.bans.Merge(m.toCoreClock(marks)))
	if err := m.save(); err != nil {
		m.Log.Error().Err(err).Msg("bans not stored")
	}
}

// MergeUpdate adds a mark that another process sends after its state. One that is known already costs no write: as two processes
// meet, each sends all its marks.
func (m *Manager) MergeUpdate(mark maintenance.Mark) {
	m.mu.Lock()
	isNewer := m.bans.IsNewer(mark)
	m.mu.Unlock()
	if isNewer {
		m.Merge([]maintenance.Mark{mark})
	}
}

// SetPolicyBans replaces the bans that come from the fleet's policy. When it returns, no further attempt is started at
// the named backends.
func (m *Manager) SetPolicyBans(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.apply(m.bans.SetPolicyBans(names))
}

// SetOutOfService stores whether the dispatcher is out of service.
func (m *Manager) SetOutOfService(out bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.outOfService == out {
		return nil
	}
	m.outOfService = out
	return m.save()
}

// ShareWith makes every later change go to another process too, by send, which must not block;
// nil ends that. It returns all marks so far.
func (m *Manager) ShareWith(send func(maintenance.Mark)) []maintenance.Mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sendMark = send
	return m.toWallClock(m.bans.Marks())
}

// State returns the list as the source has it, and all marks.
func (m *Manager) State() ([]maintenance.Backend, []maintenance.Mark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bans.SourceList(), m.toWallClock(m.bans.Marks())
}

// Banned returns the names of the banned backends.
func (m *Manager) Banned() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bans.OperatorBanned()
}

// save writes all marks to the store. A failed write is retried until it succeeds. m.mu is held.
func (m *Manager) save() error {
	s := m.store()
	if s == nil {
		return nil
	}
	err := s.Write(maintenance.SavedState{OutOfService: m.outOfService, Marks: m.toWallClock(m.bans.Marks())}.Append(nil))
	if err == nil {
		m.unsaved, m.retryDelay = false, 0
		return nil
	}
	m.failures++
	m.retryDelay = min(max(2*m.retryDelay, minSaveDelay), maxSaveDelay)
	if !m.unsaved {
		m.unsaved = true
		m.Log.Error().Err(err).Msg("bans not stored, will be retried")
	}
	if m.retryTimer == nil {
		m.retryTimer = time.AfterFunc(m.retryDelay, m.retrySave)
	} else {
		m.retryTimer.Reset(m.retryDelay)
	}
	return err
}

// Delays between the retries of a failed write, doubled from the first to the last.
const (
	minSaveDelay = 100 * time.Millisecond
	maxSaveDelay = 2 * time.Second
)

func (m *Manager) retrySave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unsaved && m.save() == nil {
		m.Log.Info().Msg("bans stored")
	}
}

func (m *Manager) store() Store {
	switch {
	case m.Store != nil:
		return m.Store
	case m.Path != "":
		return fileStore{m.Path}
	}
	return nil
}

// Each calls f for each counter of the store.
func (m *Manager) Each(f func(name string, n int64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	unsaved := int64(0)
	if m.unsaved {
		unsaved = 1
	}
	f("bans_unkept", unsaved)
	f("bans_keep_failures", m.failures)
}
