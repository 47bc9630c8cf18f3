package faultnet

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a relay that returns no reply to a sender any more, once its target's port was closed for a moment.
func TestUDPRepliesAfterTargetWasGone(t *testing.T) {
	address, err := FreeAddress()
	require.NoError(t, err)
	relay, err := ListenUDP(address)
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	sender, err := net.Dial("udp", relay.Addr())
	require.NoError(t, err)
	defer sender.Close()
	const lost = 50 // each is answered "connection refused", which one of the relay's reads or writes reports
	for i := range lost {
		_, err = sender.Write([]byte("lost"))
		require.NoError(t, err)
		relay.AwaitDatagrams(i + 1)
	}
	target, err := net.ListenPacket("udp", address)
	require.NoError(t, err)
	defer target.Close()
	require.NoError(t, target.SetDeadline(time.Now().Add(20*time.Second)))
	require.NoError(t, sender.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = sender.Write([]byte("asked")) // the relay's write may report the last refusal, and not send
	require.NoError(t, err)
	_, err = sender.Write([]byte("asked"))
	require.NoError(t, err)
	buf := make([]byte, 64)
	n, from, err := target.ReadFrom(buf)
	require.NoError(t, err)
	assert.Equal(t, "asked", string(buf[:n]))
	_, err = target.WriteTo([]byte("reply"), from)
	require.NoError(t, err)
	n, err = sender.Read(buf)
	require.NoError(t, err, "the reply does not come back")
	assert.Equal(t, "reply", string(buf[:n]))
}
