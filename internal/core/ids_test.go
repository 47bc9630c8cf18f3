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
	assert.True(t, s.claim(keyOf("ran"), now))
	s.release(keyOf("ran"), true, now)
	for i := range 10 * maxNeverSentIDs {
		assert.True(t, s.claim(keyOf(strconv.Itoa(i)), now))
		s.release(keyOf(strconv.Itoa(i)), false, now)
	}
	assert.False(t, s.claim(keyOf("ran"), now.Add(idRetention-1)))
	assert.True(t, s.claim(keyOf("ran"), now.Add(idRetention)))
}

// An ID that is shared is refused by the other process from its claim until some time after its end, and by the one that shares it
// as before.
func TestSharedIDs(t *testing.T) {
	var one, other ids
	now := time.Now()
	assert.True(t, one.claim(keyOf("open"), now))
	assert.True(t, one.claim(keyOf("over"), now))
	one.release(keyOf("over"), true, now)
	other.reserve(one.shareWith(func(key IDKey) { other.reserve([]IDKey{key}, now) }, now), now)
	assert.True(t, one.claim(keyOf("later"), now))
	for _, id := range []string{"open", "over", "later"} {
		assert.False(t, other.claim(keyOf(id), now), id)
		assert.False(t, one.claim(keyOf(id), now), id)
	}
	now = now.Add(idRetention - time.Second)
	one.release(keyOf("open"), true, now) // shared again
	now = now.Add(2 * time.Second)
	assert.False(t, other.claim(keyOf("open"), now), "its request was over a moment ago")
	assert.True(t, other.claim(keyOf("over"), now))
	one.shareWith(nil, now)
	assert.True(t, one.claim(keyOf("alone"), now))
	assert.True(t, other.claim(keyOf("alone"), now))
}

// Guards against ids of the other process of an upgrade that push out what ran here (2026-12-06-id-runs-twice).
func TestSharedIDsPushOutNoneOfThisProcess(t *testing.T) {
	var s ids
	now := time.Now()
	assert.True(t, s.claim(keyOf("ran"), now))
	s.release(keyOf("ran"), true, now)
	keys := make([]IDKey, maxBegunIDs+1)
	for i := range keys {
		keys[i] = keyOf(strconv.Itoa(i))
	}
	s.reserve(keys, now)
	assert.False(t, s.claim(keyOf("ran"), now))
	assert.True(t, s.claim(keyOf("0"), now), "the oldest beyond the limit")
	assert.False(t, s.claim(keyOf("1"), now))
	assert.Equal(t, maxBegunIDs, len(s.shared))
}
