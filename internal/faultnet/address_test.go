package faultnet

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFreeAddressIsNotGivenAway checks that an address can be listened on although many sockets were given ports by the
// kernel since it was chosen.
func TestFreeAddressIsNotGivenAway(t *testing.T) {
	address, err := FreeAddress()
	require.NoError(t, err)
	for range 200 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		assert.NotEqual(t, address, l.Addr().String())
		assert.GreaterOrEqual(t, l.Addr().(*net.TCPAddr).Port, firstFreePort+freePortCount, "the kernel's range overlaps that of FreeAddress")
	}
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	l.Close()
}
