package main

import (
	"crypto/sha256"
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/door"
	"tinsail/internal/handover"
	"tinsail/internal/maintenance"
	"tinsail/internal/network/handoff"
	"tinsail/internal/standin/platform"
)

// sendOnce sends a job of this id on a connection of its own and returns the status of the answer.
func (h *deployment) sendOnce(id string) int {
	c, err := h.dial()
	require.NoError(h.t, err)
	defer c.Close()
	require.NoError(h.t, c.sendReq(id))
	status, _, _, err := c.readAnswer()
	require.NoError(h.t, err)
	return status
}

// Guards against an id that runs at both processes of an upgrade, as the new one does not know what the old one runs or ran
// (2026-12-06-id-runs-twice).
func TestIDAcrossUpgrade(t *testing.T) {
	h := newDeployment(t, "127.0.0.1:0")
	old := h.start()
	old.awaitReady()
	require.Equal(t, 200, h.sendOnce("over"))
	for _, b := range h.backends {
		b.Set(platform.Faults{HoldJobs: true})
	}
	before := h.jobCount()
	left, err := h.dial()
	require.NoError(t, err)
	require.NoError(t, left.sendReq("runs"))
	waitFor(t, "the job runs", func() bool { return h.jobCount() > before })
	left.Close() // its client has gone, and the job goes on
	next := h.start()
	next.awaitReady()
	require.False(t, old.call(door.Ready, ""))
	assert.Equal(t, 409, h.sendOnce("over"))
	assert.Equal(t, 409, h.sendOnce("runs"))
	for _, b := range h.backends {
		b.Set(platform.Faults{})
	}
	assert.Equal(t, 200, h.sendOnce("fresh"))
	old.terminate(t)
	assert.Equal(t, 409, h.sendOnce("runs"))
	assert.Equal(t, 409, h.sendOnce("fresh"))
	next.terminate(t)
}

// The old process refuses the ids of the new one too.
func TestIDOfNewProcess(t *testing.T) {
	h := newDeployment(t, "127.0.0.1:0")
	old := h.start()
	old.awaitReady()
	link, _, files, err := handoff.Join(h.socketPath(), h.hello())
	require.NoError(t, err)
	for _, f := range files {
		f.Close()
	}
	defer link.Close()
	key := sha256.Sum256([]byte("theirs"))
	require.NoError(t, link.Send(handover.StatusUpdate{IDs: handover.IDKeys{binary.BigEndian.Uint64(key[:])}}))
	require.NoError(t, link.Send(handover.StatusUpdate{Mark: &maintenance.Mark{Name: "b2", Banned: true, At: 1}}))
	old.awaitBanned(t, "b2") // the update before it is handled as well
	assert.Equal(t, 409, h.sendOnce("theirs"))
	assert.Equal(t, 200, h.sendOnce("ours"))
	old.terminate(t)
}
