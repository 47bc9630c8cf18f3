package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func feed(m interface {
	Space() []byte
	Filled(int)
}, s string) {
	for len(s) > 0 {
		n := copy(m.Space(), s)
		m.Filled(n)
		s = s[n:]
	}
}

// TestNextReqBehindTheLast: the bytes of the next req lie behind those of the one that is
// being answered. Giving up the one must keep the other.
func TestNextReqBehindTheLast(t *testing.T) {
	var m Requests
	feed(&m, "POST /c HTTP/1.1\r\nContent-Length: 3\r\n\r\none")
	q, err := m.Next()
	require.NoError(t, err)
	feed(&m, "POST /c HTTP/1.1\r\nContent-Length: 3\r\n\r\ntwo")
	assert.Equal(t, "one", string(q.Body))
	m.Done(true)
	q, err = m.Next()
	require.NoError(t, err)
	assert.Equal(t, "two", string(q.Body))
}
