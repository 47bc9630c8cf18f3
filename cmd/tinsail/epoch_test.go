package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEpochGrowsAcrossIncarnations: each incarnation's number is higher than the one before, even if the wall clock was stepped back
// by an hour between them. With a missing folder or a damaged file the number is the wall clock's.
func TestEpochGrowsAcrossIncarnations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "epoch")
	wall := time.Unix(1_700_000_000, 0)
	first, err := nextEpoch(path, wall)
	require.NoError(t, err)
	assert.EqualValues(t, wall.UnixNano(), first)
	second, err := nextEpoch(path, wall.Add(-time.Hour))
	require.NoError(t, err)
	assert.Equal(t, first+1, second)
	third, err := nextEpoch(path, wall.Add(time.Second))
	require.NoError(t, err)
	assert.EqualValues(t, wall.Add(time.Second).UnixNano(), third)
	require.NoError(t, os.WriteFile(path, []byte("damaged"), 0o600))
	fourth, err := nextEpoch(path, wall)
	assert.Error(t, err)
	assert.EqualValues(t, wall.UnixNano(), fourth)
	fifth, err := nextEpoch(path, wall)
	assert.NoError(t, err, "the damaged file was replaced")
	assert.Equal(t, fourth+1, fifth)
	_, err = nextEpoch(filepath.Join(path, "no folder"), wall)
	assert.Error(t, err)
}
