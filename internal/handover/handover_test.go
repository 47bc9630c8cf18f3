package handover

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var ownHello = Hello{Version: Version, Name: "n", Listen: "127.0.0.1:1"}

// TestOldProcessStages checks which hellos the old process refuses, and when it stops accepting and
// accepts again.
func TestOldProcessStages(t *testing.T) {
	var o OldProcess
	for _, h := range []Hello{{Version: 2, Name: "n", Listen: ownHello.Listen}, {Version: Version, Name: "m", Listen: ownHello.Listen}, {Version: Version, Name: "n"}} {
		refused, busy := o.HandleHello(h, ownHello)
		assert.NotEmpty(t, refused)
		assert.False(t, busy)
	}
	assert.False(t, o.HandleReady(), "no hello was received")
	refused, _ := o.HandleHello(ownHello, ownHello)
	assert.Empty(t, refused)
	refused, busy := o.HandleHello(ownHello, ownHello)
	assert.NotEmpty(t, refused)
	assert.True(t, busy)
	assert.False(t, o.HandleDisconnect(), "it never stopped accepting")
	_, _ = o.HandleHello(ownHello, ownHello)
	assert.True(t, o.HandleReady())
	assert.False(t, o.HandleReady(), "reported twice")
	assert.Equal(t, HandedOver, o.Stage())
	assert.True(t, o.HandleDisconnect(), "it accepts again")
	refused, _ = o.HandleHello(ownHello, ownHello)
	assert.Empty(t, refused)
}

// TestNewProcessStages checks which states the new process refuses, and when it may report that it
// serves.
func TestNewProcessStages(t *testing.T) {
	now := time.Unix(1000, 0)
	good := State{Version: Version, Listeners: []string{"http1"}, MaxSockets: 100, MemoryBytes: 1 << 20}
	for _, f := range []func(*State){
		func(s *State) { s.Version = 7 }, func(s *State) { s.Refused = "no" }, func(s *State) { s.MaxSockets = 0 },
		func(s *State) { s.MemoryBytes = -1 }, func(s *State) { s.Listeners = nil }, func(s *State) { s.Listeners = append(s.Listeners, "x") },
	} {
		bad := good
		f(&bad)
		var n NewProcess
		assert.NotEmpty(t, n.HandleState(&bad, 1))
		assert.Equal(t, Idle, n.Stage())
	}
	var n NewProcess
	assert.True(t, n.MayReportServing(now), "alone")
	assert.False(t, n.StartServing(now), "no other process")
	assert.Empty(t, n.HandleState(&good, 1))
	assert.False(t, n.MayReportServing(now), "the old process serves")
	n.HandleStopAccepting()
	assert.False(t, n.MayReportServing(now), "StopAccepting without a report of serving")
	assert.True(t, n.StartServing(now))
	assert.False(t, n.MayReportServing(now))
	assert.True(t, n.MayReportServing(now.Add(StopAcceptingTimeout)), "the old process has stalled")
	n.HandleStopAccepting()
	assert.True(t, n.MayReportServing(now))
	n.HandleDisconnect()
	assert.Equal(t, Idle, n.Stage())
}

// TestSplitDescriptors checks that both processes together never exceed the limit, and that neither
// gets too few.
func TestSplitDescriptors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(64, 5000).Draw(t, "limit")
		keep, give := SplitDescriptors(limit, rapid.IntRange(0, limit).Draw(t, "used"), 50)
		assert.Equal(t, limit, keep+give)
		assert.GreaterOrEqual(t, give, limit/4)
		assert.GreaterOrEqual(t, keep, limit/2)
	})
}

// TestReader checks that messages are read correctly however their bytes are split, and that
// invalid or too long input is a permanent error.
func TestReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bytes []byte
		var err error
		want := rapid.SliceOfN(rapid.StringN(0, 20, 40), 1, 5).Draw(t, "names")
		for _, name := range want {
			bytes, err = AppendMessage(bytes, Hello{Version: 1, Name: name})
			require.NoError(t, err)
		}
		r := Reader{MaxBytes: MaxHello}
		var got []string
		for len(bytes) > 0 {
			n := rapid.IntRange(1, len(bytes)).Draw(t, "piece")
			r.Fill(bytes[:n])
			bytes = bytes[n:]
			for text, err := r.Next(); text != nil; text, err = r.Next() {
				require.NoError(t, err)
				var h Hello
				require.NoError(t, json.Unmarshal(text, &h))
				got = append(got, h.Name)
			}
		}
		assert.Equal(t, want, got)
	})
	for _, bad := range []string{"X", "THO2", "THO1\xff\xff\xff\xff", "THO1\x00\x00\x10\x01"} {
		r := Reader{MaxBytes: MaxHello}
		r.Fill([]byte(bad))
		_, err := r.Next()
		assert.Error(t, err)
		r.Fill([]byte("THO1\x00\x00\x00\x02{}"))
		_, err = r.Next()
		assert.Error(t, err)
	}
	r := Reader{MaxBytes: MaxHello}
	r.Fill([]byte("THO1\x00\x00"))
	text, err := r.Next()
	assert.NoError(t, err)
	assert.Nil(t, text)
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("THO1\x00\x00\x00\x02{}THO1"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := Reader{MaxBytes: 64}
		r.Fill(b)
		for text, err := r.Next(); text != nil; text, err = r.Next() {
			require.NoError(t, err)
			assert.LessOrEqual(t, len(text), 64)
		}
	})
}

// TestIDKeys checks that keys survive a message, that they stand there as they always did, and that a text that is no whole number of
// them is an error that names the key.
func TestIDKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := StatusUpdate{IDs: rapid.SliceOfN(rapid.Uint64(), 1, 50).Draw(t, "keys")}
		text, err := json.Marshal(want)
		require.NoError(t, err)
		var got StatusUpdate
		require.NoError(t, json.Unmarshal(text, &got))
		assert.Equal(t, want, got)
	})
	text, err := json.Marshal(StatusUpdate{IDs: IDKeys{1, 1 << 63}})
	require.NoError(t, err)
	assert.JSONEq(t, `{"ids":"AAAAAAAAAAGAAAAAAAAAAA=="}`, string(text))
	for _, bad := range []string{`{"ids":"AAAA"}`, `{"ids":"?"}`, `{"ids":7}`} {
		var update StatusUpdate
		assert.ErrorContains(t, json.Unmarshal([]byte(bad), &update), "ids")
	}
}
