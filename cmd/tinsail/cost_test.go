package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tinsail/internal/standin/platform"
)

// processorTimeOf returns the processor time of a process so far (proc(5): utime and stime, in ticks of 10 ms).
func processorTimeOf(b *testing.B, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(b, err)
	f := strings.Fields(string(text)[strings.LastIndexByte(string(text), ')')+2:])
	var user, system int
	_, err = fmt.Sscan(f[11]+" "+f[12], &user, &system)
	require.NoError(b, err)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// BenchmarkRequest measures the processor time that the real program spends on a request over sockets. To compare two versions, run
// them alternately: make measure-request.
func BenchmarkRequest(b *testing.B) {
	const clients = 8
	h := newDeployment(b, "127.0.0.1:0")
	for _, backend := range h.backends {
		backend.JobDuration = func(string) time.Duration { return 0 }
		backend.Set(platform.Faults{}) // after JobDuration is set, so that the backend's goroutines see it
	}
	p := h.start()
	p.awaitReady()
	before := processorTimeOf(b, p.cmd.Process.Pid)
	b.ResetTimer()
	var all sync.WaitGroup
	for c := range clients {
		all.Go(func() {
			k, err := h.dial()
			if !assert.NoError(b, err) {
				return
			}
			defer k.Close()
			for i := c; i < b.N; i += clients {
				if !assert.NoError(b, k.sendReq(fmt.Sprint("cost-", i))) {
					return
				}
				if _, _, _, err := k.readAnswer(); !assert.NoError(b, err) {
					return
				}
			}
		})
	}
	all.Wait()
	b.StopTimer()
	b.ReportMetric(float64((processorTimeOf(b, p.cmd.Process.Pid)-before).Microseconds())/float64(b.N), "cpu-us/req")
}
