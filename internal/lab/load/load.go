// Package load sends requests to dispatchers over HTTP/1.1 as clients do. It is open-loop: a request is sent at its
// scheduled time whatever became of earlier ones, so that a slow dispatcher does not hide its latency by slowing
// down its clients. The generator also measures its own delay in sending. It sends to loopback addresses only.
package load

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Req is a first request (one that is no retry), to be sent At after the start of the run.
type Req struct {
	At  time.Duration
	Key string // idempotency key, shared by all tries; each try has its own X-Correlation-Id
}

// Options configure a run and how its clients behave.
type Options struct {
	Targets  []string // host:port of dispatchers; each try goes to a random one
	Class    string
	Deadline time.Duration // of each try
	Retries  int           // limit for each first request, after a refusal or a failure
	Backoff  time.Duration // mean delay before a retry, unless Retry-After asks for a longer one
	Seed     uint64
	Progress func(Result) // called every 500 ms at most, without histograms; may be nil
	// Done is called when a first request has been served or given up, with the status of its last try, or 0 if that
	// had no answer. Calls do not overlap. May be nil.
	Done func(key string, scheduled, answered time.Duration, status int)
}

// Result counts what became of the requests.
type Result struct {
	FirstReqs, Served, Refused, Failed int // Refused and Failed were given up after all retries
	Tries                              int
	Unanswered                         int                     // tries without an answer, such as on a broken connection or after the deadline
	Open                               int                     // first requests neither served nor given up yet
	Latency                            *hdrhistogram.Histogram // of served first requests, from their scheduled time, us
	SendDelay                          *hdrhistogram.Histogram // of the generator's sends after their scheduled times, us
}

// maxReqs limits the first requests of a run.
const maxReqs = 2_000_000

type runner struct {
	options Options
	client  *http.Client
	start   time.Time
	mu      sync.Mutex
	rng     *rand.Rand
	result  Result
}

// Run sends all requests and waits for their answers. It ends early when ctx ends.
func Run(ctx context.Context, reqs []Req, o Options) (Result, error) {
	if len(reqs) > maxReqs {
		return Result{}, fmt.Errorf("%d requests, want at most %d", len(reqs), maxReqs)
	}
	if len(o.Targets) == 0 {
		return Result{}, fmt.Errorf("no target")
	}
	for _, t := range o.Targets {
		host, _, err := net.SplitHostPort(t)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return Result{}, fmt.Errorf("target %q, want a loopback address and a port", t)
		}
	}
	tr := &http.Transport{MaxIdleConnsPerHost: 10_000, IdleConnTimeout: time.Minute, DisableCompression: true}
	defer tr.CloseIdleConnections()
	r := &runner{options: o, client: &http.Client{Transport: tr}, start: time.Now(), rng: rand.New(rand.NewPCG(o.Seed, 11))}
	r.result.Latency, r.result.SendDelay = hdrhistogram.New(1, 600_000_000, 3), hdrhistogram.New(1, 600_000_000, 3)
	var pending sync.WaitGroup
	lastProgress := time.Now()
	for _, q := range reqs {
		if wait := time.Until(r.start.Add(q.At)); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		r.mu.Lock()
		r.result.FirstReqs++
		r.result.Open++
		_ = r.result.SendDelay.RecordValue(max(1, time.Since(r.start.Add(q.At)).Microseconds()))
		r.mu.Unlock()
		pending.Go(func() { r.sendUntilServed(ctx, q) })
		if o.Progress != nil && time.Since(lastProgress) > 500*time.Millisecond {
			lastProgress = time.Now()
			o.Progress(r.snapshot())
		}
	}
	pending.Wait()
	return r.result, ctx.Err()
}

// snapshot returns a copy of the result so far, without the histograms.
func (r *runner) snapshot() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.result
	c.Latency, c.SendDelay = nil, nil
	return c
}

// sendUntilServed sends a request and its retries until it is served or given up.
func (r *runner) sendUntilServed(ctx context.Context, q Req) {
	for try := 1; ; try++ {
		status, retryAfter := r.send(ctx, q.Key, try)
		if status == http.StatusOK || try > r.options.Retries || ctx.Err() != nil {
			r.recordOutcome(q, status)
			return
		}
		r.mu.Lock()
		wait := max(time.Duration(float64(r.options.Backoff)*(0.5+r.rng.Float64())), retryAfter)
		r.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// recordOutcome counts a first request by the status of its last try.
func (r *runner) recordOutcome(q Req, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Open--
	now := time.Since(r.start)
	switch status {
	case http.StatusOK:
		r.result.Served++
		_ = r.result.Latency.RecordValue(max(1, (now - q.At).Microseconds()))
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		r.result.Refused++
	default:
		r.result.Failed++
	}
	if r.options.Done != nil {
		r.options.Done(q.Key, q.At, now, status)
	}
}

// send sends try n, from 1, of a request and waits for the answer. The status is 0 if there is none; retryAfter is
// the delay that the answer asks for.
func (r *runner) send(ctx context.Context, key string, n int) (status int, retryAfter time.Duration) {
	r.mu.Lock()
	r.result.Tries++
	target := r.options.Targets[r.rng.IntN(len(r.options.Targets))]
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, r.options.Deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/"+url.PathEscape(r.options.Class)+"/"+url.PathEscape(key), strings.NewReader("photo"))
	if err != nil {
		return 0, 0
	}
	q.Header.Set("X-Correlation-Id", fmt.Sprint(key, "-", n))
	q.Header.Set("Idempotency-Key", key)
	q.Header.Set("X-Time-Left-Ms", strconv.FormatInt(r.options.Deadline.Milliseconds(), 10))
	if n > 1 {
		q.Header.Set("X-Repeat", "1")
	}
	a, err := r.client.Do(q)
	if err == nil {
		_, err = io.Copy(io.Discard, a.Body)
		a.Body.Close()
	}
	if err != nil {
		r.mu.Lock()
		r.result.Unanswered++
		r.mu.Unlock()
		return 0, 0
	}
	if v, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil && v > 0 && !math.IsInf(v, 0) {
		retryAfter = time.Duration(min(v, 60) * float64(time.Second))
	}
	return a.StatusCode, retryAfter
}
