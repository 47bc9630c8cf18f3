package core

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against an ID that runs a second time within seconds, as others' requests that never ran have pushed it out of memory
// (2026-12-06-id-runs-twice).
func TestIDThatRanOutlivesManyThatDidNot(t *testing.T) {
	var s ids
	now := time.Now()
	assert.True(t, s.claim("ran", now))
	s.release("ran", true, now)
	for i := range 10 * maxNeverSentIDs {
		assert.True(t, s.claim(strconv.Itoa(i), now))
		s.release(strconv.Itoa(i), false, now)
	}
	assert.False(t, s.claim("ran", now.Add(idRetention-1)))
	assert.True(t, s.claim("ran", now.Add(idRetention)))
}
