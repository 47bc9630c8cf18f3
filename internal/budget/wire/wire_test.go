package wire

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/budget"
)

func TestRoundTrip(t *testing.T) {
	a := budget.Ask{Peer: "n17", Epoch: 9034128871, Seq: 42, Want: 600}
	m, err := Read(AppendAsk(nil, "connections", a))
	require.NoError(t, err)
	assert.Equal(t, Message{Budget: "connections", Ask: &a}, m)
	g := budget.Grant{Peer: "n17", Epoch: 9034128871, Seq: 42, Units: 25, Of: 800}
	m, err = Read(AppendGrant(nil, "connections", g))
	require.NoError(t, err)
	assert.Equal(t, Message{Budget: "connections", Grant: &g}, m)
}

func TestFaultsNameTheField(t *testing.T) {
	for text, field := range map[string]string{
		"TSB1 ask c n1 1 2 3":                                 "fields",
		"TSB2 ask c n1 1 2 3 0":                               "version",
		"TSB1 lend c n1 1 2 3 0":                              "kind",
		"TSB1 ask c n/1 1 2 3 0":                              "peer",
		"TSB1 ask " + strings.Repeat("c", 65) + " n1 1 2 3 0": "budget",
		"TSB1 ask c n1 -1 2 3 0":                              "epoch",
		"TSB1 ask c n1 1 x 3 0":                               "seq",
		"TSB1 ask c n1 1 2 -3 0":                              "units",
		"TSB1 grant c n1 1 2 1000001 0":                       "units",
		"TSB1 grant c n1 1 2 1 -8":                            "total",
		strings.Repeat("x", MaxMessage+1):                     "bytes",
	} {
		_, err := Read([]byte(text))
		assert.ErrorIs(t, err, ErrMessage, text)
		assert.ErrorContains(t, err, field, text)
	}
}

// FuzzRead: nothing a peer sends panics the reader, and what it reads is written back the same.
func FuzzRead(f *testing.F) {
	f.Add([]byte("TSB1 ask connections n17 9034128871 42 600 0\n"))
	f.Add([]byte("TSB1 grant c n 0 0 0 0"))
	f.Add([]byte("TSB1 grant c n 18446744073709551615 18446744073709551615 1000000 1000000"))
	f.Fuzz(func(t *testing.T, p []byte) {
		m, err := Read(p)
		if err != nil {
			return
		}
		var again []byte
		if m.Ask != nil {
			again = AppendAsk(nil, m.Budget, *m.Ask)
		} else {
			again = AppendGrant(nil, m.Budget, *m.Grant)
		}
		m2, err := Read(again)
		require.NoError(t, err)
		assert.Equal(t, m, m2)
	})
}
