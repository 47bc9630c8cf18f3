package handoff

import (
	"net"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/handover"
)

// TestSilentCallersDoNotBlockHello: silent connections reach the limit of pending hellos. A process that
// connects after them still gets its answer, a refusal with its reason, instead of being closed.
func TestSilentCallersDoNotBlockHello(t *testing.T) {
	me := handover.Hello{Version: handover.Version, Name: "regina", Listen: "127.0.0.1:1"}
	s := &Server{Path: filepath.Join(t.TempDir(), "h.sock"), Hello: me, Log: zerolog.Nop()}
	require.NoError(t, s.Listen())
	t.Cleanup(s.Close)
	for range maxPendingHellos + 2 {
		c, err := net.Dial("unix", s.Path)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
	}
	other := me
	other.Name = "moose-jaw"
	_, _, files, err := Join(s.Path, other)
	assert.Empty(t, files)
	var refusal *Refusal
	require.ErrorAs(t, err, &refusal, "its hello is answered, with a reason")
	assert.False(t, refusal.Busy)
	assert.Contains(t, refusal.Error(), "moose-jaw")
}
