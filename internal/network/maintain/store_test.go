package maintain

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/balance"
	"tinsail/internal/maintenance"
)

// failingStore fails with err until a time.
type failingStore struct {
	err   error
	until time.Time
	tries int
	text  []byte
}

func (s *failingStore) Write(text []byte) error {
	if s.tries++; time.Now().Before(s.until) {
		return s.err
	}
	s.text = text
	return nil
}

func (s *failingStore) Read() ([][]byte, error) { return nil, s.err }

// TestStoreFails: writes fail for a while. The ban is in force, and the call returns an error as the ban is not stored. The
// counter shows this until a retry succeeds, which needs no further call; the number of retries is limited.
func TestStoreFails(t *testing.T) {
	for _, errno := range []error{syscall.ENOSPC, syscall.EIO} {
		synctest.Test(t, func(t *testing.T) {
			d, b := newManager("")
			s := &failingStore{err: errno, until: time.Now().Add(10 * time.Second)}
			d.Store = s
			counts := func() map[string]int64 {
				all := map[string]int64{}
				d.Each(func(name string, n int64) { all[name] = n })
				return all
			}
			d.HandleList(balance.ListFull, ready("a"))
			assert.ErrorIs(t, d.Offline("a"), errno)
			assert.Equal(t, balance.Draining, b.states["a"], "in force in this process")
			assert.EqualValues(t, 1, counts()["bans_unkept"])
			time.Sleep(13 * time.Second)
			synctest.Wait()
			assert.Zero(t, counts()["bans_unkept"])
			assert.LessOrEqual(t, s.tries, 11)
			k, err := maintenance.ReadState(s.text)
			require.NoError(t, err)
			assert.True(t, k.Marks[0].Banned)
			tries := s.tries
			time.Sleep(time.Minute)
			assert.Equal(t, tries, s.tries, "no retry after it was stored")
		})
	}
}

// A mark that is known already costs no write: the two processes of an upgrade send each other all that they hold.
func TestKnownMarksAreNotWritten(t *testing.T) {
	d, _ := newManager("")
	s := &failingStore{}
	d.Store = s
	d.HandleList(balance.ListFull, ready("a", "b"))
	require.NoError(t, d.Offline("a"))
	for _, mark := range d.ShareWith(func(maintenance.Mark) {}) {
		d.MergeUpdate(mark)
	}
	assert.Equal(t, 1, s.tries)
	d.MergeUpdate(maintenance.Mark{Name: "b", Banned: true, At: 1})
	assert.Equal(t, 2, s.tries)
	assert.Equal(t, []string{"a", "b"}, d.Banned())
}

// TestKillDuringWrite: whatever a kill leaves of a write, the next process finds the last valid generation, and the
// incomplete file is removed.
func TestKillDuringWrite(t *testing.T) {
	dead := exec.Command("/bin/true")
	require.NoError(t, dead.Run())
	for name, leave := range map[string]func(path string){
		"before the rename": func(path string) {
			require.NoError(t, os.WriteFile(fmt.Sprintf("%s.%d", path, dead.Process.Pid), []byte("half"), 0o600))
		},
		"a damaged file": func(path string) { require.NoError(t, os.WriteFile(path, []byte("half"), 0o600)) },
		"an empty file":  func(path string) { require.NoError(t, os.WriteFile(path, nil, 0o600)) },
		"no file":        func(path string) { require.NoError(t, os.Remove(path)) },
	} {
		path := filepath.Join(t.TempDir(), "bans")
		d, _ := newManager(path)
		d.HandleList(balance.ListFull, ready("a", "b"))
		require.NoError(t, d.Offline("a"))
		require.NoError(t, d.SetOutOfService(true)) // the former generation holds the ban as well
		leave(path)
		next, b := newManager(path)
		next.Load()
		assert.Equal(t, []string{"a"}, next.Banned(), name)
		next.HandleList(balance.ListFull, ready("a", "b"))
		assert.Equal(t, balance.Draining, b.states["a"], name)
		require.NoError(t, next.Online("a"))
		files, err := filepath.Glob(path + "*")
		require.NoError(t, err)
		assert.ElementsMatch(t, []string{path, path + oldSuffix}, files, name)
	}
}

// TestTwoProcessesWrite: the two processes of a hand-over write at the same time. Neither makes the other fail, and both
// generations are valid afterwards.
func TestTwoProcessesWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bans")
	for _, name := range []string{"a", "b"} { // the incomplete file of another process
		require.NoError(t, os.WriteFile(fmt.Sprintf("%s.%d", path, os.Getpid()+1), []byte("half"), 0o600))
		d, _ := newManager(path)
		d.HandleList(balance.ListFull, ready("a", "b"))
		require.NoError(t, d.Offline(name))
	}
	texts, err := fileStore{path}.Read()
	require.NoError(t, err)
	require.Len(t, texts, 2)
	for _, text := range texts {
		_, err := maintenance.ReadState(text)
		assert.NoError(t, err)
	}
	next := fileStore{path}
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() {
			for range 200 {
				name := fmt.Sprintf("%s.%d", path, rand.Int64())
				assert.NoError(t, next.keepOld(name))
				assert.NoFileExists(t, name, "the next write there must not reach a stored generation")
			}
		})
	}
	both.Wait()
}
