package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/door"
	"tinsail/internal/maintenance"
)

// Guards against an upgrade that leaves two processes that serve, after operators' calls on so many backends that one update for
// each does not fit into the buffer of the link between them (2026-12-06-two-processes-serve).
func TestUpgradeAfterManyCalls(t *testing.T) {
	h := newDeployment(t, "127.0.0.1:0")
	var calls maintenance.SavedState // as a process keeps them for the next one
	for i := range 1000 {
		calls.Marks = append(calls.Marks, maintenance.Mark{Name: fmt.Sprintf("s-%08x", i), At: 1})
	}
	require.NoError(t, os.WriteFile(strings.TrimSuffix(h.socketPath(), "sock")+"bans", calls.Append(nil), 0o600))
	old := h.start()
	old.awaitReady()
	next := h.start()
	next.awaitReady()
	require.False(t, old.call(door.Ready, ""), "the old process says that it serves as well")
	require.True(t, next.call(door.Offline, "b0"))
	old.awaitBanned(t, "b0")
	require.True(t, old.call(door.Offline, "b1"))
	next.awaitBanned(t, "b0", "b1")
	old.terminate(t)
	next.awaitEvent(t, "hand-over: the old process is gone")
	assert.Equal(t, 200, h.sendJob())
	next.terminate(t)
}
