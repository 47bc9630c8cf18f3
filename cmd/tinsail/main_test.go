package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/config"
	"tinsail/internal/counters"
	"tinsail/internal/network"
)

// TestSignals: no signal that operators send ends the program but by a shutdown, and none is
// lost while one goes on. The signals are real ones, to this process.
func TestSignals(t *testing.T) {
	h, draining, drained, over := listen(), make(chan struct{}), make(chan struct{}), make(chan struct{})
	done := make(chan string)
	go func() {
		h.mind(minded{
			reload: func() { done <- "reloaded" },
			stats:  func() { done <- "counted" },
			drain:  func() { close(draining); <-drained },
		})
		close(over)
	}()
	expect := func(s syscall.Signal, want string) {
		require.NoError(t, syscall.Kill(os.Getpid(), s))
		assert.Equal(t, want, <-done)
	}
	expect(syscall.SIGHUP, "reloaded")
	expect(syscall.SIGUSR1, "counted")
	expect(syscall.SIGHUP, "reloaded")
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-draining
	expect(syscall.SIGHUP, "reloaded")
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM)) // a second one, which must not close draining again
	expect(syscall.SIGUSR1, "counted")
	close(drained)
	<-over
}

// TestReload: a good file moves the director's watch, a bad one changes nothing.
func TestReload(t *testing.T) {
	const good = `{"listen":"127.0.0.1:8081","discovery":"127.0.0.2:8500","seed":"1","settings":{
		"Allowed":{"ConnectTimeoutMs":120,"MaxAttempts":5},"Classes":[{"AimMs":120,"HardLimitMs":5000,"Effect":"read_like","Name":"c"}]}}`
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("ROUTER_CONFIG", path)
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(good)
	cfg, err := config.Load(os.Getenv)
	require.NoError(t, err)
	d, count := &network.Director{Address: cfg.Discovery}, &counters.Set{}

	write(strings.Replace(good, "127.0.0.2", "127.0.0.3", 1))
	cfg = reload(cfg, d, count)
	assert.Equal(t, "127.0.0.3:8500", d.Address)
	for _, bad := range []string{"{", strings.Replace(good, "127.0.0.2:8500", "nowhere", 1)} {
		write(bad)
		assert.Same(t, cfg, reload(cfg, d, count))
		assert.Equal(t, "127.0.0.3:8500", d.Address)
	}
	require.NoError(t, os.Remove(path)) // as while it is being replaced
	assert.Same(t, cfg, reload(cfg, d, count))
	assert.Equal(t, int64(1), count.Reloads.Load())
	assert.Equal(t, int64(3), count.ReloadsBad.Load())
}
