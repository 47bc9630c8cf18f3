package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSamePolicySameBytes(t *testing.T) {
	a := Policy{Connections: 600, Reserve: 0.2, Bans: []string{"w2", "w1", "w2"}}
	b := Policy{Connections: 600, Reserve: 0.2, Bans: []string{"w1", "w2"}}
	assert.Equal(t, a.Append(nil), b.Append(nil))
	got, err := Read(a.Append(nil))
	require.NoError(t, err)
	assert.Equal(t, b, got)
	assert.Equal(t, []string{"w2", "w1", "w2"}, a.Bans, "the caller's list stays as it was")
}

func TestStrict(t *testing.T) {
	for text, says := range map[string]string{
		`{"connections":1,"slices":2}`: "unknown field",
		`{"connections":1}{}`:          "after its end",
		`{"connections":-1}`:           "policy.connections",
		`{"most":100001}`:              "policy.most",
		`{"reserve":1.5}`:              "policy.reserve",
		`{"bans":[""]}`:                "policy.bans",
		``:                             "cannot be read",
		`{"connections":"1"}`:          "cannot be read",
	} {
		_, err := Read([]byte(text))
		assert.ErrorContains(t, err, says, text)
	}
}
