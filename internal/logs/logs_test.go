package logs

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLines checks that a line is one JSON object with its event and fields, and that the level
// filters lines.
func TestLines(t *testing.T) {
	var b bytes.Buffer
	l, err := New(&b, "info", Auto)
	require.NoError(t, err)
	l.Debug().Msg("unseen")
	l.Info().Str("address", "127.0.0.1:1").Msg("listening")
	var line map[string]any
	require.NoError(t, json.Unmarshal(b.Bytes(), &line))
	assert.Equal(t, []any{"listening", "info", "127.0.0.1:1"}, []any{line["event"], line["level"], line["address"]})
	b.Reset()
	l, err = New(&b, "info", Text)
	require.NoError(t, err)
	l.Warn().Int("n", 3).Msg("odd")
	assert.Contains(t, b.String(), "WRN odd n=3")
	for _, bad := range [][2]string{{"loud", JSON}, {"", JSON}, {"info", "xml"}} {
		_, err = New(&b, bad[0], bad[1])
		assert.ErrorContains(t, err, "want")
	}
}

// TestRateLimit checks that only the first of a thousand lines of one event are written, that another
// event is not affected, and that the next line after a while states how many were dropped.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		l, err := New(&b, "info", JSON)
		require.NoError(t, err)
		for range 1000 {
			l.Info().Msg("refused")
		}
		assert.Equal(t, burstLines, strings.Count(b.String(), "refused"))
		l.Info().Msg("other")
		assert.Equal(t, 1, strings.Count(b.String(), "other"))
		time.Sleep(time.Second)
		b.Reset()
		l.Info().Msg("refused")
		assert.Contains(t, b.String(), `"left_out":950`)
	})
}
