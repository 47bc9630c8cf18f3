package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestOpenLoopWithRetries checks that requests are sent while others are still open, that retries count for their
// first request, and that each try has its own X-Correlation-Id.
func TestOpenLoopWithRetries(t *testing.T) {
	var mu sync.Mutex
	seen, hold := map[string]int{}, make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		id := r.Header.Get("X-Correlation-Id")
		seen[id]++
		if len(seen) >= 5 { // the first request is answered only after all others have arrived
			select {
			case <-hold:
			default:
				close(hold)
			}
		}
		mu.Unlock()
		assert.Equal(t, "/photo/"+r.Header.Get("Idempotency-Key"), r.URL.Path)
		switch id {
		case "k0-1":
			<-hold
		case "k1-1", "k2-1", "k2-2":
			w.Header().Set("Retry-After", "0.001")
			w.WriteHeader(503)
		case "k3-1":
			panic(http.ErrAbortHandler)
		case "k3-2":
			assert.Equal(t, "1", r.Header.Get("X-Repeat"))
			w.WriteHeader(502)
		}
	}))
	defer s.Close()
	// If a reused connection breaks, net/http sends the request again by itself. On a new connection it doesn't, and the
	// break counts as a try without an answer.
	s.Config.SetKeepAlivesEnabled(false)
	var reqs []Req
	for i := range 5 {
		reqs = append(reqs, Req{Key: fmt.Sprint("k", i)})
	}
	served := 0
	r, err := Run(context.Background(), reqs, Options{Targets: []string{strings.TrimPrefix(s.URL, "http://")}, Class: "photo", Deadline: time.Minute, Retries: 1,
		Done: func(_ string, _, _ time.Duration, status int) {
			if status == 200 {
				served++
			}
		}})
	require.NoError(t, err)
	assert.Equal(t, []int{5, 3, 1, 1, 0}, []int{r.FirstReqs, r.Served, r.Refused, r.Failed, r.Open})
	assert.Equal(t, 3, served)
	assert.Equal(t, 8, r.Tries)
	assert.Equal(t, 1, r.Unanswered)
	assert.EqualValues(t, 3, r.Latency.TotalCount())
	assert.EqualValues(t, 5, r.SendDelay.TotalCount())
	for id, n := range seen {
		assert.Equal(t, 1, n, id)
	}
}

// TestLimits checks that only loopback targets are accepted, that the number of requests is limited, and that a run
// ends with its context.
func TestLimits(t *testing.T) {
	for _, target := range []string{"10.0.0.1:80", "example.org:80", "127.0.0.1", ""} {
		_, err := Run(context.Background(), []Req{{}}, Options{Targets: []string{target}})
		assert.ErrorContains(t, err, "want a loopback address")
	}
	_, err := Run(context.Background(), nil, Options{})
	assert.ErrorContains(t, err, "no target")
	_, err = Run(context.Background(), make([]Req, maxReqs+1), Options{Targets: []string{"127.0.0.1:1"}})
	assert.ErrorContains(t, err, "at most")
	ctx, stop := context.WithCancel(context.Background())
	stop()
	r, err := Run(ctx, []Req{{At: time.Hour}}, Options{Targets: []string{"127.0.0.1:1"}})
	assert.ErrorIs(t, err, context.Canceled)
	assert.Zero(t, r.FirstReqs)
}
