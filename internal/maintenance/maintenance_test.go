package maintenance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tinsail/internal/balance"
)

func backend(name string, state balance.State, started float64) Backend {
	return Backend{Name: name, Address: name + ":1", Worker: balance.Worker{ID: balance.WorkerID(len(name)), State: state, Started: started, Weight: 4}}
}

func TestBan(t *testing.T) {
	var b Bans
	_, ok := b.Offline(1, "a")
	assert.False(t, ok, "never listed")
	b.ApplyList(balance.ListCached, []Backend{backend("a", balance.Ready, 5)})
	change, ok := b.Offline(1000, "a")
	require.True(t, ok)
	assert.Equal(t, []Backend{backend("a", balance.Draining, 5)}, change)
	change, ok = b.Offline(1001, "a")
	assert.True(t, ok)
	assert.Empty(t, change, "a repeated call changes nothing")
	assert.Equal(t, []string{"a"}, b.OperatorBanned())
	moved := backend("a", balance.Ready, 5)
	moved.Address = "elsewhere:1"
	want := moved
	want.State = balance.Draining
	assert.Equal(t, []Backend{want}, b.ApplyList(balance.ListDelta, []Backend{moved}))
	assert.Equal(t, []Backend{}, b.ApplyList(balance.ListFull, nil))
	assert.Equal(t, []Backend{want}, b.ApplyList(balance.ListFull, []Backend{moved}), "dropped and listed again")
	change, ok = b.Online(9000, "a")
	require.True(t, ok)
	moved.Started, moved.LocalStart = 9000, true
	assert.Equal(t, []Backend{moved}, change, "restarted meanwhile: cold, even if the list still has the old start")
	again := moved
	again.Started, again.LocalStart = 5, false
	assert.Equal(t, []Backend{moved}, b.ApplyList(balance.ListDelta, []Backend{again}))
	again.Started = 8000
	assert.Equal(t, []Backend{again}, b.ApplyList(balance.ListDelta, []Backend{again}), "the list has a newer start")
	change, ok = b.Online(9001, "a")
	assert.True(t, ok)
	assert.Empty(t, change)
}

// A start that was listed during the ban is kept when the ban ends.
func TestStartListedDuringBan(t *testing.T) {
	var b Bans
	b.ApplyList(balance.ListFull, []Backend{backend("a", balance.Ready, 5)})
	b.Offline(1000, "a")
	b.ApplyList(balance.ListDelta, []Backend{backend("a", balance.Ready, 3000)})
	change, _ := b.Online(9000, "a")
	assert.Equal(t, []Backend{backend("a", balance.Ready, 3000)}, change)
}

// A backend that is gone can be banned, and is banned when it comes back. Online doesn't make a draining or gone backend
// ready.
func TestBanOfGoneBackend(t *testing.T) {
	var b Bans
	b.ApplyList(balance.ListFull, []Backend{backend("a", balance.Ready, 5), backend("bb", balance.Draining, 6)})
	assert.Equal(t, balance.Gone, b.ApplyList(balance.ListDelta, []Backend{{Name: "a", Worker: balance.Worker{ID: 1}}})[0].State)
	change, ok := b.Offline(1000, "a")
	assert.True(t, ok)
	assert.Empty(t, change)
	assert.Equal(t, balance.Draining, b.ApplyList(balance.ListDelta, []Backend{backend("a", balance.Ready, 5)})[0].State)
	b.Offline(1000, "bb")
	change, _ = b.Online(2000, "bb")
	assert.Equal(t, balance.Draining, change[0].State)
}

// The number of remembered names that are gone is bounded, and bans are not forgotten.
func TestGoneNamesAreBounded(t *testing.T) {
	var b Bans
	b.ApplyList(balance.ListDelta, []Backend{backend("kept", balance.Ready, 0)})
	b.Offline(1, "kept")
	for i := range 2 * maxGone {
		b.ApplyList(balance.ListFull, []Backend{backend(fmt.Sprint("x", i), balance.Ready, 0)})
	}
	assert.Len(t, b.all, maxGone+1)
	assert.Equal(t, []string{"kept"}, b.OperatorBanned())
}

// In any order of lists, calls and hand-overs, no banned backend is passed on as ready. After all bans the result is what the
// source reports, except for later starts.
func TestAnyOrder(t *testing.T) {
	names := []string{"a", "bb", "ccc"}
	rapid.Check(t, func(t *rapid.T) {
		b := &Bans{}
		now, shown, source, banned := 1000.0, map[string]Backend{}, map[string]Backend{}, map[string]bool{}
		apply := func(list []Backend) {
			for _, x := range list {
				if shown[x.Name] = x; x.State == balance.Gone {
					delete(shown, x.Name)
				}
			}
		}
		draw := func() (list []Backend) {
			for _, n := range names {
				if rapid.Bool().Draw(t, "named") {
					list = append(list, backend(n, []balance.State{balance.Ready, balance.Draining, balance.Gone}[rapid.IntRange(0, 2).Draw(t, "state")],
						float64(rapid.IntRange(0, 3).Draw(t, "start"))*now/3))
				}
			}
			return list
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 5000).Draw(t, "wait"))
			name := names[rapid.IntRange(0, 2).Draw(t, "name")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				list := draw()
				for _, x := range list {
					if source[x.Name] = x; x.State == balance.Gone {
						delete(source, x.Name)
					}
				}
				apply(b.ApplyList(balance.ListDelta, list))
			case 1:
				list := draw()
				clear(source)
				for _, x := range list {
					if x.State != balance.Gone {
						source[x.Name] = x
					}
				}
				clear(shown)
				apply(b.ApplyList(balance.ListFull, list))
			case 2:
				known := b.Known(name)
				change, ok := b.Offline(now, name)
				assert.Equal(t, known, ok)
				banned[name] = ok
				apply(change)
			case 3:
				change, _ := b.Online(now, name)
				banned[name] = false
				apply(change)
			case 4: // a new process, with the old one's marks and list
				next := &Bans{}
				next.Merge(b.Marks())
				list := []Backend{}
				for _, x := range source {
					list = append(list, x)
				}
				clear(shown)
				apply(next.ApplyList(balance.ListFull, list))
				for _, n := range names { // backends that are gone and have no mark are unknown to it
					if !next.Known(n) {
						banned[n] = false
					}
				}
				b = next
			}
			for n, x := range shown {
				if banned[n] && x.State == balance.Ready {
					t.Fatalf("%s is banned and shown as ready", n)
				}
			}
		}
		for _, n := range names {
			change, _ := b.Online(now, n)
			apply(change)
		}
		require.Len(t, shown, len(source))
		for n, x := range source {
			got := shown[n]
			assert.GreaterOrEqual(t, got.Started, x.Started)
			got.Started, got.LocalStart = x.Started, false
			assert.Equal(t, x, got)
		}
	})
}

func TestMerge(t *testing.T) {
	var old, next Bans
	old.ApplyList(balance.ListFull, []Backend{backend("a", balance.Ready, 5)})
	next.ApplyList(balance.ListFull, []Backend{backend("a", balance.Ready, 5)})
	old.Offline(1000, "a")
	assert.Equal(t, balance.Draining, next.Merge(old.Marks())[0].State)
	stale := next.Marks()
	next.Online(500, "a") // the clock went back: the later call wins nevertheless
	assert.Empty(t, next.Merge(stale))
	assert.Empty(t, next.OperatorBanned())
	assert.Equal(t, balance.Ready, old.Merge(next.Marks())[0].State)
	assert.Empty(t, old.Merge([]Mark{{Name: "", At: 9e9, Banned: true}, {Name: "x", Banned: true}}))
}

// The number of marks whose names were never listed is bounded; a name that is listed later no longer counts.
func TestUnlistedMarksAreBounded(t *testing.T) {
	var b Bans
	for i := range maxUnlisted + 10 {
		b.Merge([]Mark{{Name: fmt.Sprint("x", i), At: 1, Banned: true}})
	}
	assert.Len(t, b.all, maxUnlisted)
	b.ApplyList(balance.ListDelta, []Backend{backend("x3", balance.Ready, 0), backend("listed", balance.Ready, 0)})
	b.Merge([]Mark{{Name: "late", At: 1, Banned: true}, {Name: "later", At: 1, Banned: true}, {Name: "listed", At: 1, Banned: true}})
	assert.True(t, b.Mark("x3").Banned && b.Mark("late").Banned && b.Mark("listed").Banned)
	assert.Zero(t, b.Mark("later"))
}

func TestSavedState(t *testing.T) {
	k := SavedState{OutOfService: true, Marks: []Mark{{Name: "a", Banned: true, At: 1.5}}}
	text := k.Append(nil)
	got, err := ReadState(text)
	require.NoError(t, err)
	assert.Equal(t, k, got)
	for i := range text { // any truncation or change is detected
		_, err := ReadState(text[:i])
		assert.Error(t, err)
		bad := append([]byte{}, text...)
		bad[i] ^= 1
		_, err = ReadState(bad)
		assert.Error(t, err)
	}
	_, err = ReadState([]byte("tinsail-maintenance 2 00000000\n{}"))
	assert.ErrorContains(t, err, "another version")
}
