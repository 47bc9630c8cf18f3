package wire

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/budget"
)

func TestRoundTrip(t *testing.T) {
	r := budget.LeaseRequest{Peer: "n17", Epoch: 9034128871, Seq: 42, Wanted: 600}
	m, err := Decode(AppendLeaseRequest(nil, "connections", r))
	require.NoError(t, err)
	assert.Equal(t, Message{Budget: "connections", LeaseRequest: &r}, m)
	g := budget.Grant{Peer: "n17", Epoch: 9034128871, Seq: 42, Units: 25, Total: 800}
	m, err = Decode(AppendGrant(nil, "connections", g))
	require.NoError(t, err)
	assert.Equal(t, Message{Budget: "connections", Grant: &g}, m)
}

func TestErrorsNameTheField(t *testing.T) {
	for text, field := range map[string]string{
		"TSB2 ask c n1 1 2 3":                                 "fields",
		"TSB1 ask c n1 1 2 3 0":                               "version",
		"TSB2 lend c n1 1 2 3 0":                              "kind",
		"TSB2 ask c n/1 1 2 3 0":                              "peer",
		"TSB2 ask " + strings.Repeat("c", 65) + " n1 1 2 3 0": "budget",
		"TSB2 ask c n1 -1 2 3 0":                              "epoch",
		"TSB2 ask c n1 1 x 3 0":                               "seq",
		"TSB2 ask c n1 1 2 -3 0":                              "units",
		"TSB2 grant c n1 1 2 1000001 0":                       "units",
		"TSB2 grant c n1 1 2 1 -8":                            "total",
		strings.Repeat("x", MaxMessage+1):                     "bytes",
	} {
		_, err := Decode(appendChecksum([]byte(text+" "), 0))
		assert.ErrorIs(t, err, ErrMessage, text)
		assert.ErrorContains(t, err, field, text)
	}
}

// TestCorruptedMessageRefused checks that a message is refused if any one byte is changed to any other value, or if it
// is truncated anywhere.
func TestCorruptedMessageRefused(t *testing.T) {
	good := AppendGrant(nil, "connections", budget.Grant{Peer: "n17", Epoch: 9034128871, Seq: 42, Units: 25, Total: 800})
	for i := range good {
		_, err := Decode(good[:i])
		assert.ErrorIs(t, err, ErrMessage, "truncated to %d bytes", i)
		for x := 1; x < 256; x++ {
			b := bytes.Clone(good)
			b[i] ^= byte(x)
			if _, err := Decode(b); err == nil {
				t.Fatalf("%q was decoded", b)
			}
		}
	}
}

// FuzzRead checks that no input makes Decode panic, and that a message that it decodes is the same after it was encoded
// and decoded again.
func FuzzRead(f *testing.F) {
	f.Add(appendChecksum([]byte("TSB2 ask connections n17 9034128871 42 600 0 "), 0))
	f.Add(appendChecksum([]byte("TSB2 grant c n 0 0 0 0 "), 0))
	f.Add(appendChecksum([]byte("TSB2 grant c n 18446744073709551615 18446744073709551615 1000000 1000000 "), 0))
	f.Fuzz(func(t *testing.T, p []byte) {
		m, err := Decode(p)
		if err != nil {
			return
		}
		var again []byte
		if m.LeaseRequest != nil {
			again = AppendLeaseRequest(nil, m.Budget, *m.LeaseRequest)
		} else {
			again = AppendGrant(nil, m.Budget, *m.Grant)
		}
		m2, err := Decode(again)
		require.NoError(t, err)
		assert.Equal(t, m, m2)
	})
}
