package measure

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tinsail/internal/lab/capacity"
	"tinsail/internal/standin/platform"
)

// InFlightConfig says how reqs in flight are brought about: clients of a front send a req each, backends begin it and hold it.
type InFlightConfig struct {
	HTTP2       bool // 100 reqs a connection, else one
	BodyBytes   int  // bytes
	Sockets     int  // of a dispatcher's limits
	MemoryMB    int
	Dispatchers int
	Backends    int // backends

	QuietWindow time.Duration // for which processor time is taken while nothing moves; 0: not at all, and no other times either
}

// streams is how many reqs a client of HTTP/2 has on a connection.
const streams = 100

// HoldResult is what came of it at one dispatcher.
type HoldResult struct {
	InFlight, Refused                        int            // of all dispatchers
	Unanswered                               int            // of all dispatchers: turned away without a whole answer
	ErrorCounts                              map[string]int // of those without an answer, by error
	Served                                   int            // of all dispatchers, after the backends let go; 0 where goroutines were counted instead
	RSS, Anon                                float64
	OpenDescriptors                          float64
	AcceptCPUMillis                          float64 // ms, from the first connection until all were held or answered
	QuietCPUPercent                          float64 // % of a core, while nothing moves
	Goroutines                               float64 // 0 where reqs were served to their ends
	AnonBefore, RSSBefore, DescriptorsBefore float64 // before the first req
}

type clients struct {
	ctx      context.Context
	body     []byte
	answered atomic.Int64
	served   atomic.Int64
	failed   atomic.Int64
	all      sync.WaitGroup
	mu       sync.Mutex
	close    []func()
	why      map[string]int // reqs without an answer, by error
}

func (c *clients) keep(f func()) {
	c.mu.Lock()
	c.close = append(c.close, f)
	c.mu.Unlock()
}

func (c *clients) took(r *http.Response, err error) {
	if err != nil {
		c.mu.Lock()
		c.why[err.Error()]++
		c.mu.Unlock()
		c.failed.Add(1)
		c.answered.Add(1)
		return
	}
	_, err = io.Copy(io.Discard, r.Body)
	r.Body.Close()
	if r.StatusCode == 200 && err == nil {
		c.served.Add(1)
	}
	c.answered.Add(1)
}

// plain sends one req over a connection of its own; the answer is read in the background.
func (c *clients) plain(address, id string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		c.took(nil, err)
		return
	}
	c.keep(func() { conn.Close() })
	if _, err := fmt.Fprintf(conn, "POST /photo/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(c.body), c.body); err != nil {
		c.took(nil, err)
		return
	}
	c.all.Go(func() { c.took(http.ReadResponse(bufio.NewReaderSize(conn, 512), nil)) })
}

func (c *clients) stream(t *http.Transport, address, id string) {
	c.all.Go(func() {
		r, err := http.NewRequestWithContext(c.ctx, "POST", "http://"+address+"/photo/1", bytes.NewReader(c.body))
		if err != nil {
			c.took(nil, err)
			return
		}
		r.GetBody = nil // not to be sent again by itself
		r.Header.Set("X-Correlation-Id", id)
		r.Header.Set("Idempotency-Key", id)
		c.took(t.RoundTrip(r))
	})
}

// Hold brings n reqs in flight over the dispatchers and returns what the first of them holds then. count has that process
// write its goroutines and end; else the backends let go and all answers are waited for.
func (f InFlightConfig) Hold(p Program, n int, count bool) (h HoldResult, err error) {
	from, err := startDirector(0)
	if err != nil {
		return h, err
	}
	defer from.Close()
	slots := max(slotsPerBackend, 2*n/f.Backends+1)
	var backends []*platform.Backend
	defer func() {
		for _, b := range backends {
			b.Close()
		}
	}()
	for i := range f.Backends {
		b, err := platform.StartBackend(fmt.Sprintf("worker-%04d", i), slots, func(string) time.Duration { return 0 })
		if err != nil {
			return h, err
		}
		b.Set(platform.Faults{HoldJobs: true})
		backends = append(backends, b)
		from.Set(b.Entry("fast", "here", i%100, "Ready"))
	}
	script := ""
	if f.HTTP2 {
		script = `http2(listen = "127.0.0.1:0")`
	}
	var all []*dispatcher
	defer func() {
		for _, d := range all {
			d.kill()
		}
	}()
	for i := range f.Dispatchers {
		d, err := p.start(dispatcherConfig{discovery: from.Address, selfIndex: i, sockets: f.Sockets, memoryMB: f.MemoryMB, dispatchers: f.Dispatchers, settingsScript: script})
		if err != nil {
			return h, err
		}
		all = append(all, d)
		if _, err := d.untilReady(); err != nil {
			return h, err
		}
	}
	time.Sleep(200 * time.Millisecond)
	first := all[0]
	if h.RSSBefore, h.AnonBefore, err = first.memory(); err != nil {
		return h, err
	}
	if h.DescriptorsBefore, err = first.descriptors(); err != nil {
		return h, err
	}
	before, err := first.cpu()
	if err != nil {
		return h, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &clients{ctx: ctx, why: map[string]int{}, body: []byte(strings.Repeat("b", f.BodyBytes))}
	defer func() {
		cancel()
		for _, end := range c.close {
			end()
		}
		c.all.Wait()
	}()
	f.offer(c, all, n)
	held := func() (k int) {
		for _, b := range backends {
			x := b.Counts()
			k += x.Started - x.Done - x.Cancelled
		}
		return k
	}
	for end := time.Now().Add(processTimeout); held()+int(c.answered.Load()) < n; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			came := 0
			for _, b := range backends {
				came += b.Counts().Jobs
			}
			return h, fmt.Errorf("%d of %d reqs are held, %d have come to a backend and %d are answered", held(), n, came, c.answered.Load())
		}
	}
	after, err := first.cpu()
	if err != nil {
		return h, err
	}
	h.AcceptCPUMillis = float64((after - before).Microseconds()) / 1000
	if f.QuietWindow > 0 {
		time.Sleep(f.QuietWindow)
		last, err := first.cpu()
		if err != nil {
			return h, err
		}
		h.QuietCPUPercent = 100 * float64(last-after) / float64(f.QuietWindow)
	}
	c.mu.Lock()
	h.Unanswered, h.ErrorCounts = int(c.failed.Load()), maps.Clone(c.why)
	c.mu.Unlock()
	h.InFlight, h.Refused = held(), int(c.answered.Load())-h.Unanswered
	if h.RSS, h.Anon, err = first.memory(); err != nil {
		return h, err
	}
	if h.OpenDescriptors, err = first.descriptors(); err != nil {
		return h, err
	}
	if count {
		h.Goroutines = first.quitAndCountGoroutines()
		return h, nil
	}
	for _, b := range backends {
		b.Set(platform.Faults{})
	}
	for end := time.Now().Add(processTimeout); int(c.answered.Load()) < n; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return h, fmt.Errorf("%d of %d reqs are answered", c.answered.Load(), n)
		}
	}
	if h.Served = int(c.served.Load()); h.Served != h.InFlight {
		return h, fmt.Errorf("of %d reqs in flight %d were served", h.InFlight, h.Served)
	}
	return h, nil
}

// offer sends n reqs, over all dispatchers by turns.
func (f InFlightConfig) offer(c *clients, all []*dispatcher, n int) {
	var transports []*http.Transport
	turn := make(chan struct{}, 64) // connections being made at once
	var sent sync.WaitGroup
	for i := range n {
		to, id := all[i%len(all)], fmt.Sprint("f-", i)
		if f.HTTP2 {
			k := i % len(all)
			if at := i / len(all) / streams * len(all); at+k >= len(transports) {
				for range all {
					t := &http.Transport{Protocols: new(http.Protocols)}
					t.Protocols.SetUnencryptedHTTP2(true)
					c.keep(t.CloseIdleConnections)
					transports = append(transports, t)
				}
			}
			c.stream(transports[i/len(all)/streams*len(all)+k], to.http2Address, id)
			continue
		}
		turn <- struct{}{}
		sent.Go(func() { c.plain(to.address, id); <-turn })
	}
	sent.Wait()
}

// InFlightCounts is what a dispatcher holds against the reqs in flight at it. In the last of the repeats its goroutines are counted, in
// the others every req is served to its end.
func InFlightCounts(p Program, f InFlightConfig, name string, repeats int, reqs ...int) (rows []capacity.Row, err error) {
	for _, n := range reqs {
		for k := range repeats {
			count := k == repeats-1
			h, err := f.Hold(p, n, count)
			if err != nil {
				return nil, fmt.Errorf("%s, %d reqs: %w", name, n, err)
			}
			if h.InFlight != n {
				return nil, fmt.Errorf("%s: %d of %d reqs are in flight, %d refused, %d without an answer: %v", name, h.InFlight, n, h.Refused, h.Unanswered, h.ErrorCounts)
			}
			note := fmt.Sprintf("HTTP/1.1, a body of %d bytes", f.BodyBytes)
			if f.HTTP2 {
				note = fmt.Sprintf("HTTP/2, %d reqs a connection, a body of %d bytes", streams, f.BodyBytes)
			}
			row := func(what, unit string, y float64) {
				rows = append(rows, capacity.Row{Slope: name + "-" + what, Unit: unit, Against: "reqs in flight", X: float64(n), Y: y, Method: capacity.Real, Note: note})
			}
			row("rss", "MB", h.RSS)
			row("anon", "MB", h.Anon)
			row("descriptors", "descriptors", h.OpenDescriptors)
			if f.QuietWindow > 0 {
				row("cpu", "ms to take them", h.AcceptCPUMillis)
				row("still", "% of a core while they wait", h.QuietCPUPercent)
			}
			if count {
				row("goroutines", "goroutines", h.Goroutines)
			}
		}
	}
	return rows, nil
}

// MaxInFlight is how many reqs a dispatcher has in flight at most, against its limit of descriptors, where more are offered. Whoever is
// beyond that has to be told to come back.
func MaxInFlight(p Program, f InFlightConfig, name string, sockets ...int) (rows []capacity.Row, err error) {
	for _, s := range sockets {
		f.Sockets = s
		n := s*9/20 + 100
		if f.HTTP2 {
			n = s*11/20 + 100
		}
		h, err := f.Hold(p, n, false)
		if err != nil {
			return nil, fmt.Errorf("%s, %d sockets: %w", name, s, err)
		}
		if h.InFlight+h.Refused+h.Unanswered != n {
			return nil, errors.New("a req was neither held nor turned away")
		}
		rows = append(rows, capacity.Row{Slope: name, Unit: "reqs in flight at most", Against: "descriptors allowed", X: float64(s), Y: float64(h.InFlight), Method: capacity.Real,
			Note: fmt.Sprintf("%d offered, %d refused, %d turned away without an answer, %.0f descriptors held", n, h.Refused, h.Unanswered, h.OpenDescriptors)})
	}
	return rows, nil
}

// DispatcherCounts is how many of the reqs offered are in flight where few dispatchers take them, each with its limit of descriptors, and what the
// first of them then holds.
func DispatcherCounts(p Program, f InFlightConfig, name string, reqs int, dispatchers ...int) (rows []capacity.Row, err error) {
	for _, n := range dispatchers {
		f.Dispatchers = n
		h, err := f.Hold(p, reqs, false)
		if err != nil {
			return nil, fmt.Errorf("%s, %d dispatchers: %w", name, n, err)
		}
		row := func(what, unit string, y float64) {
			rows = append(rows, capacity.Row{Slope: name + "-" + what, Unit: unit, Against: "dispatchers", X: float64(n), Y: y, Method: capacity.Real,
				Note: fmt.Sprintf("%d offered, %d refused, %d turned away without an answer, %d descriptors and %d MB allowed each", reqs, h.Refused, h.Unanswered, f.Sockets, f.MemoryMB)})
		}
		row("in-flight", "reqs in flight", float64(h.InFlight))
		row("rss", "MB of the first", h.RSS)
	}
	return rows, nil
}

// MemoryLimits is what so many reqs in flight cost a dispatcher against the memory that it is allowed: its collector works towards three
// quarters of that, and nothing else keeps to it.
func MemoryLimits(p Program, f InFlightConfig, name string, reqs int, mb ...int) (rows []capacity.Row, err error) {
	for _, n := range mb {
		f.MemoryMB = n
		h, err := f.Hold(p, reqs, false)
		if err != nil {
			return nil, fmt.Errorf("%s, %d MB: %w", name, n, err)
		}
		row := func(what, unit string, y float64) {
			rows = append(rows, capacity.Row{Slope: name + "-" + what, Unit: unit, Against: "MB allowed", X: float64(n), Y: y, Method: capacity.Real,
				Note: fmt.Sprintf("%d offered, %d in flight", reqs, h.InFlight)})
		}
		row("rss", "MB", h.RSS)
		row("cpu", "ms to take them", h.AcceptCPUMillis)
		row("still", "% of a core while they wait", h.QuietCPUPercent)
	}
	return rows, nil
}
