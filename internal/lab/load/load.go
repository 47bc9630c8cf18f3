// Package load sends reqs to dispatchers over HTTP/1.1 as clients do, open-loop: a req goes out at its
// time whatever became of those before it, so that a slow dispatcher does not hide its latency by slowing its
// clients down. It holds its own lateness against itself. It sends to loopback addresses alone.
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

// Req is a first req that is to be sent at a time from the start.
type Req struct {
	At  time.Duration
	Key string // of its effect; its tries have ids of their own
}

// Options say how clients behave.
type Options struct {
	Targets  []string // host:port of dispatchers; a try goes to one by chance
	Class    string
	Deadline time.Duration // of a try
	Retries  int           // after a refusal or a failure
	Backoff  time.Duration // before a retry, where no longer pause was advised
	Seed     uint64
	Progress func(Result) // now and then; may be nil
	// Done is told that a first req is over, with the last try's status, 0 for no answer; may be nil; called by one at a time.
	Done func(key string, came, answered time.Duration, status int)
}

// Result is what came of it.
type Result struct {
	FirstReqs, Served, Refused, Failed int // Refused and Failed are given up, retries and all
	Tries                              int
	Unanswered                         int // tries whose connection ended without an answer
	Open                               int
	Latency                            *hdrhistogram.Histogram // of served first reqs, us
	SendDelay                          *hdrhistogram.Histogram // of the tool's own sends behind their times, us
}

// Mostly bounds a run: more reqs than this are refused.
const mostReqs = 2_000_000

type run struct {
	o      Options
	client *http.Client
	begun  time.Time
	mu     sync.Mutex
	rng    *rand.Rand
	res    Result
}

// Run sends all reqs and waits for their answers. It ends early with ctx.
func Run(ctx context.Context, reqs []Req, o Options) (Result, error) {
	if len(reqs) > mostReqs {
		return Result{}, fmt.Errorf("%d reqs, at most %d are sent", len(reqs), mostReqs)
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
	r := &run{o: o, client: &http.Client{Transport: tr}, begun: time.Now(), rng: rand.New(rand.NewPCG(o.Seed, 11))}
	r.res.Latency, r.res.SendDelay = hdrhistogram.New(1, 600_000_000, 3), hdrhistogram.New(1, 600_000_000, 3)
	var all sync.WaitGroup
	tick := time.Now()
	for _, q := range reqs {
		if wait := time.Until(r.begun.Add(q.At)); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		r.mu.Lock()
		r.res.FirstReqs++
		r.res.Open++
		_ = r.res.SendDelay.RecordValue(max(1, time.Since(r.begun.Add(q.At)).Microseconds()))
		r.mu.Unlock()
		all.Go(func() { r.first(ctx, q) })
		if o.Progress != nil && time.Since(tick) > 500*time.Millisecond {
			tick = time.Now()
			o.Progress(r.now())
		}
	}
	all.Wait()
	return r.res, ctx.Err()
}

// now is a copy of how things stand, without the histograms.
func (r *run) now() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.res
	c.Latency, c.SendDelay = nil, nil
	return c
}

// first sends a req until it is served or given up.
func (r *run) first(ctx context.Context, q Req) {
	for try := 1; ; try++ {
		status, pause := r.try(ctx, q.Key, try)
		if status == http.StatusOK || try > r.o.Retries || ctx.Err() != nil {
			r.over(q, status)
			return
		}
		r.mu.Lock()
		wait := max(time.Duration(float64(r.o.Backoff)*(0.5+r.rng.Float64())), pause)
		r.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// over counts a first req with the status of its last try.
func (r *run) over(q Req, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Open--
	now := time.Since(r.begun)
	switch status {
	case http.StatusOK:
		r.res.Served++
		_ = r.res.Latency.RecordValue(max(1, (now - q.At).Microseconds()))
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		r.res.Refused++
	default:
		r.res.Failed++
	}
	if r.o.Done != nil {
		r.o.Done(q.Key, q.At, now, status)
	}
}

// try sends one. A status of 0 stands for no answer.
func (r *run) try(ctx context.Context, key string, n int) (status int, pause time.Duration) {
	r.mu.Lock()
	r.res.Tries++
	target := r.o.Targets[r.rng.IntN(len(r.o.Targets))]
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, r.o.Deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/"+url.PathEscape(r.o.Class)+"/"+url.PathEscape(key), strings.NewReader("photo"))
	if err != nil {
		return 0, 0
	}
	q.Header.Set("X-Correlation-Id", fmt.Sprint(key, "-", n))
	q.Header.Set("Idempotency-Key", key)
	q.Header.Set("X-Time-Left-Ms", strconv.FormatInt(r.o.Deadline.Milliseconds(), 10))
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
		r.res.Unanswered++
		r.mu.Unlock()
		return 0, 0
	}
	if v, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil && v > 0 && !math.IsInf(v, 0) {
		pause = time.Duration(min(v, 60) * float64(time.Second))
	}
	return a.StatusCode, pause
}
