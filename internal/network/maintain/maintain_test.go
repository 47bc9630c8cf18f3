package maintain

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/maintenance"
	"tinsail/internal/platform"
)

// recorder stands in for the core and the pool around a Manager, and records the order of its calls.
type recorder struct {
	calls  []string
	banned map[balance.WorkerID]struct{}
	states map[string]balance.State
}

func newManager(path string) (*Manager, *recorder) {
	b := &recorder{states: map[string]balance.State{}}
	return &Manager{Path: path, Log: zerolog.Nop(),
		OnList: func(_ balance.ListKind, list []core.Entry) {
			b.calls = append(b.calls, "list")
			for i := range list {
				b.states[list[i].Name] = list[i].State
			}
		},
		SetBanned: func(ids map[balance.WorkerID]struct{}) { b.calls, b.banned = append(b.calls, "set banned"), ids },
		CloseIdle: func(balance.WorkerID) { b.calls = append(b.calls, "close idle") }}, b
}

func ready(names ...string) (list []core.Entry) {
	for _, n := range names {
		list = append(list, core.Entry{Name: n, Address: n, Worker: balance.Worker{ID: balance.WorkerID(platform.Hash(n)), State: balance.Ready}})
	}
	return list
}

// TestOfflineTakesEffect: when a call returns, the core withholds requests, idle connections are closed, the list was passed
// on, in this order, and the file holds the ban.
func TestOfflineTakesEffect(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bans")
	d, b := newManager(path)
	assert.False(t, d.Load(), "no file yet")
	d.HandleList(balance.ListFull, ready("a", "b"))
	b.calls = nil
	require.NoError(t, d.Offline("a"))
	assert.Equal(t, []string{"set banned", "close idle", "list"}, b.calls)
	assert.Contains(t, b.banned, balance.WorkerID(platform.Hash("a")))
	assert.Equal(t, balance.Draining, b.states["a"])
	require.NoError(t, d.SetOutOfService(true))
	files, err := filepath.Glob(filepath.Join(filepath.Dir(path), "*"))
	require.NoError(t, err)
	assert.Equal(t, []string{path, path + oldSuffix}, files, "two generations, and no incomplete file is left")

	next, b2 := newManager(path)
	assert.True(t, next.Load(), "out of service, as the former process was")
	assert.Contains(t, b2.banned, balance.WorkerID(platform.Hash("a")))
	next.HandleList(balance.ListCached, ready("a", "b"))
	assert.Equal(t, map[string]balance.State{"a": balance.Draining, "b": balance.Ready}, b2.states)
	require.NoError(t, next.Online("a"))
	assert.Empty(t, b2.banned)
	assert.Equal(t, balance.Ready, b2.states["a"])
}

// TestDamagedFile: a file that is damaged, truncated or of another version is not used, and the next call writes a valid
// one.
func TestDamagedFile(t *testing.T) {
	good := maintenance.SavedState{OutOfService: true, Marks: []maintenance.Mark{{Name: "a", Banned: true, At: 1}}}.Append(nil)
	for _, text := range []string{"", "x", string(good[:len(good)-2]), "tinsail-maintenance 9 00000000\n{}", string(good) + " "} {
		path := filepath.Join(t.TempDir(), "bans") // without a former generation
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		d, b := newManager(path)
		assert.False(t, d.Load())
		d.HandleList(balance.ListFull, ready("a"))
		assert.Equal(t, balance.Ready, b.states["a"], text)
		require.NoError(t, d.Offline("a"))
		next, _ := newManager(path)
		next.Load()
		assert.Equal(t, []string{"a"}, next.Banned())
	}
}

// TestShareWithOtherProcess: a call is sent to the other process, and marks that come from there are not sent back.
func TestShareWithOtherProcess(t *testing.T) {
	d, _ := newManager("")
	d.HandleList(balance.ListFull, ready("a", "b"))
	require.NoError(t, d.Offline("b"))
	var sent []maintenance.Mark
	assert.Len(t, d.ShareWith(func(m maintenance.Mark) { sent = append(sent, m) }), 1)
	require.NoError(t, d.Offline("a"))
	require.Len(t, sent, 1)
	assert.Equal(t, "a", sent[0].Name)
	d.Merge([]maintenance.Mark{{Name: "a", At: sent[0].At + 1}})
	assert.Equal(t, []string{"b"}, d.Banned())
	assert.Len(t, sent, 1)
	assert.ErrorIs(t, d.Online("c"), ErrUnknown)
}

// TestBanAcrossWallClockStep: the wall clock is stepped by an hour, forward or back, before or during a ban. After the ban
// the backend counts as started at the end of the ban by the core's clock: in this process, in one that takes over and in
// one that reads the file.
func TestBanAcrossWallClockStep(t *testing.T) {
	const hour = 3_600_000.0
	for _, step := range []float64{hour, -hour} {
		for _, during := range []bool{false, true} {
			wall, mono := 1e12, 1e12
			path := filepath.Join(t.TempDir(), "bans")
			clocked := func(d *Manager, origin float64) {
				d.Now = func() float64 { return mono + origin }
				d.WallClock = func() time.Time { return time.UnixMicro(int64(wall * 1000)) }
			}
			d, b := newManager(path)
			clocked(d, 0)
			started := map[string]float64{}
			onList := d.OnList
			d.OnList = func(kind balance.ListKind, list []core.Entry) {
				onList(kind, list)
				for i := range list {
					started[list[i].Name] = list[i].Started
				}
			}
			d.HandleList(balance.ListFull, ready("a"))
			if !during {
				wall += step
			}
			require.NoError(t, d.Offline("a"))
			mono, wall = mono+5000, wall+5000
			if during {
				wall += step
			}
			require.NoError(t, d.Online("a"))
			assert.Equal(t, balance.Ready, b.states["a"])
			assert.Equal(t, mono, started["a"], "step %v", step)

			mono, wall = mono+2000, wall+2000
			next, _ := newManager(path)
			clocked(next, 777_000) // its process started with another wall clock
			next.OnList = func(_ balance.ListKind, list []core.Entry) {
				for i := range list {
					started[list[i].Name] = list[i].Started
				}
			}
			next.Load()
			next.HandleList(balance.ListCached, ready("a"))
			assert.InDelta(t, mono+777_000-2000, started["a"], 1, "by the file")
			other, _ := newManager("")
			clocked(other, -5000)
			other.OnList = next.OnList
			other.Merge(d.ShareWith(func(maintenance.Mark) {}))
			other.HandleList(balance.ListCached, ready("a"))
			assert.InDelta(t, mono-5000-2000, started["a"], 1, "by a hand-over")
		}
	}
}
