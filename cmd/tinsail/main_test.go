package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/config"
	"tinsail/internal/counters"
	"tinsail/internal/network"
	"tinsail/internal/settings"
)

// TestSignalsDuringShutdown: operators' signals end the program only through a shutdown, and none is lost while one runs. The
// test sends real signals to its own process.
func TestSignalsDuringShutdown(t *testing.T) {
	h, draining, drained, returned := notifySignals(), make(chan struct{}), make(chan struct{}), make(chan struct{})
	done := make(chan string)
	go func() {
		h.handle(signalHandlers{
			reload: func() { done <- "reloaded" },
			stats:  func() { done <- "counted" },
			drain:  func() { close(draining) },
		}, 0, drained)
		close(returned)
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
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM)) // a second SIGTERM must not call drain again
	expect(syscall.SIGUSR1, "counted")
	close(drained)
	<-returned
}

// TestReloadDoesNotDelaySignals: a reload that does not return delays no other signal, and reload signals that arrive meanwhile
// cause one further reload.
func TestReloadDoesNotDelaySignals(t *testing.T) {
	h := signalChannels{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	reloading, finish, draining, counted, returned := make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan struct{})
	ended := make(chan struct{})
	go func() {
		h.handle(signalHandlers{
			reload: func() { reloading <- struct{}{}; <-finish },
			stats:  func() { counted <- struct{}{} },
			drain:  func() { close(draining) },
		}, 0, ended)
		close(returned)
	}()
	h.reload <- syscall.SIGHUP
	<-reloading
	h.reload <- syscall.SIGHUP // pending until the first reload returns
	h.stats <- syscall.SIGUSR1
	<-counted
	h.end <- syscall.SIGTERM
	<-draining
	finish <- struct{}{}
	<-reloading
	finish <- struct{}{}
	close(ended)
	<-returned
}

// TestCountersEvery: with --counters-every the counters are logged exactly once in each period, in fake time. Without it they are
// not logged periodically.
func TestCountersEvery(t *testing.T) {
	for every, want := range map[time.Duration]int{0: 0, time.Second: 3, 400 * time.Millisecond: 8} {
		synctest.Test(t, func(t *testing.T) {
			h := signalChannels{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
			ended, logged := make(chan struct{}), 0
			go func() {
				time.Sleep(3500 * time.Millisecond) // the synctest bubble's clock, not a real wait
				close(ended)
			}()
			h.handle(signalHandlers{reload: func() {}, stats: func() { logged++ }, drain: func() {}}, every, ended)
			assert.Equal(t, want, logged, "every %v", every)
		})
	}
}

// TestReload: a valid configuration redirects the director's watch; a faulty or missing file changes nothing.
func TestReload(t *testing.T) {
	const good = `{"listen":"127.0.0.1:8081","discovery":"127.0.0.2:8500","seed":"1","settings":{
		"Allowed":{"ConnectTimeoutMs":120,"MaxAttempts":5},"Classes":[{"AimMs":120,"HardLimitMs":5000,"Effect":"read_like","Name":"c"}]}}`
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("ROUTER_CONFIG", path)
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(good)
	cfg, err := config.Load(os.Getenv)
	require.NoError(t, err)
	set := &settings.Settings{}
	d := &dispatcher{director: &network.Director{Address: cfg.Discovery}, count: &counters.Set{}}

	write(strings.Replace(good, "127.0.0.2", "127.0.0.3", 1))
	cfg, set = d.reload(cfg, set, "")
	assert.Equal(t, "127.0.0.3:8500", d.director.Address)
	for _, bad := range []string{"{", strings.Replace(good, "127.0.0.2:8500", "nowhere", 1)} {
		write(bad)
		same, _ := d.reload(cfg, set, "")
		assert.Same(t, cfg, same)
		assert.Equal(t, "127.0.0.3:8500", d.director.Address)
	}
	require.NoError(t, os.Remove(path)) // as while the file is being replaced
	same, sameSet := d.reload(cfg, set, "")
	assert.Same(t, cfg, same)
	assert.Same(t, set, sameSet)
	script := filepath.Join(t.TempDir(), "s.star")
	require.NoError(t, os.WriteFile(script, []byte("http2(listen = 3)"), 0o600))
	write(good)
	_, sameSet = d.reload(cfg, set, script)
	assert.Same(t, set, sameSet, "a faulty script")
	assert.Equal(t, int64(1), d.count.Reloads.Load())
	assert.Equal(t, int64(4), d.count.ReloadsBad.Load())
}

// TestCommandLine: faulty flags, configuration and settings are named in the output and reported by the exit code.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	conf := write("c.json", strings.Replace(string(demoConfig), "127.0.0.1:0", "127.0.0.1:7", 1))
	script := write("s.star", "http2(listen = \"127.0.0.1:9\")")
	t.Setenv("ROUTER_CONFIG", conf)
	for _, c := range []struct {
		args string
		code int
		want []string
	}{
		{"check", exitOK, []string{"are well"}},
		{"check --settings " + script, exitOK, []string{"are well"}},
		{"check --settings " + write("bad.star", "\nhttp2(listen = 3,\n max_streams = 0)"), exitInvalidInput,
			[]string{"bad.star:2:7: http2.listen: is 3, want host:port", "bad.star:3:2: http2.max_streams: is 0"}},
		{"check --settings " + write("same.star", "http2(listen = \"127.0.0.1:7\")"), exitInvalidInput, []string{"same.star:1:7: http2.listen: is 127.0.0.1:7, where HTTP/1.1 listens already"}},
		{"check --settings " + filepath.Join(dir, "none.star"), exitInvalidInput, []string{"none.star"}},
		{"check --sets x", exitInvalidInput, []string{"unknown flag: --sets"}},
		{"check it", exitInvalidInput, []string{`takes no "it", see tinsail check --help`}},
		{"serve --log-level loud", exitInvalidInput, []string{"log level is \"loud\", want"}},
		{"serve --log-format xml", exitInvalidInput, []string{"log format is \"xml\", want"}},
		{"demo --reqs 0", exitInvalidInput, []string{"--reqs is 0, want 1 to 100000"}},
		{"lab consul --listen 10.0.0.1:1", exitInvalidInput, []string{"want a loopback address"}},
		{"members", exitInvalidInput, []string{"--at is missing"}},
		{"control ready", exitInvalidInput, []string{`--admin is "", want the host:port`}},
		{"control offline --admin 127.0.0.1:1", exitInvalidInput, []string{"wants one backend's id"}},
		{"control ready it --admin 127.0.0.1:1", exitInvalidInput, []string{`takes no "it"`}},
		{"control in-service --admin 127.0.0.1:1", exitInvalidInput, []string{"no answer"}},
		{"control --help", exitOK, []string{"Exit codes: 0 yes, 1 no", "offline"}},
		{"version", exitOK, []string{"tinsail ", "go1."}},
		{"", exitOK, []string{"Exit codes", "serve", "demo"}},
		{"serve --help", exitOK, []string{"SIGHUP", "Exit codes"}},
		{"completion bash", exitOK, []string{"bash completion"}},
		{"frob", exitInvalidInput, []string{`takes no "frob"`}},
	} {
		var out strings.Builder
		assert.Equal(t, c.code, execute(strings.Fields(c.args), &out, &out), c.args)
		for _, want := range c.want {
			assert.Contains(t, out.String(), want, c.args)
		}
	}
	t.Setenv("ROUTER_CONFIG", write("bad.json", "{\"listen\":\"x\",\n\"seed\":\"y\"}"))
	var out strings.Builder
	assert.Equal(t, exitInvalidInput, execute([]string{"check"}, &out, &out))
	for _, want := range []string{"config line 1: listen is", "config line 2: seed is", "settings is missing"} {
		assert.Contains(t, out.String(), want)
	}
}

// TestDemo: every request of the demo has its answer although one backend fails and one drains.
func TestDemo(t *testing.T) {
	var out strings.Builder
	assert.Equal(t, exitOK, execute([]string{"demo", "--reqs", "300"}, &out, &out), out.String())
	for _, want := range []string{"HTTP/1.1", "backend-2 drains", "99%"} {
		assert.Contains(t, out.String(), want)
	}
}
