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

// InFlightConfig configures a measurement with reqs in flight: simulated clients send one req each, and simulated
// backends start them and hold them unanswered.
type InFlightConfig struct {
	HTTP2       bool // reqsPerConnection reqs per connection instead of one
	BodyBytes   int  // size of a req's body
	Sockets     int  // descriptor limit of a dispatcher
	MemoryMB    int  // memory limit of a dispatcher
	Dispatchers int
	Backends    int

	QuietWindow time.Duration // time over which processor time is measured while all reqs wait; if 0, no times are recorded
}

// reqsPerConnection is the number of concurrent reqs on a client's HTTP/2 connection.
const reqsPerConnection = 100

// HoldResult is the result of Hold. Figures are those of the first dispatcher unless stated otherwise.
type HoldResult struct {
	InFlight, Refused                        int            // of all dispatchers
	Unanswered                               int            // of all dispatchers: without a complete answer
	ErrorCounts                              map[string]int // of the unanswered reqs, by error text
	Served                                   int            // of all dispatchers, after the backends released the reqs; 0 if goroutines were counted instead
	RSS, Anon                                float64        // MB of 2^20 bytes, resident and anonymous
	OpenDescriptors                          float64
	AcceptCPUMillis                          float64 // from the first connection until all reqs were held or answered
	QuietCPUPercent                          float64 // of a core, while all reqs wait
	Goroutines                               float64 // 0 if the reqs were served instead
	AnonBefore, RSSBefore, DescriptorsBefore float64 // before the first req
}

// clients sends reqs and counts their outcomes.
type clients struct {
	ctx         context.Context
	body        []byte
	answered    atomic.Int64
	served      atomic.Int64
	failed      atomic.Int64
	pending     sync.WaitGroup
	mu          sync.Mutex
	closers     []func()
	errorCounts map[string]int // reqs without an answer, by error text
}

// closeLater registers a function that Hold calls at its end.
func (c *clients) closeLater(f func()) {
	c.mu.Lock()
	c.closers = append(c.closers, f)
	c.mu.Unlock()
}

// finish reads the rest of an answer and counts the outcome of its req.
func (c *clients) finish(r *http.Response, err error) {
	if err != nil {
		c.mu.Lock()
		c.errorCounts[err.Error()]++
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

// sendHTTP1 sends one req over a connection of its own; the answer is read in the background.
func (c *clients) sendHTTP1(address, id string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		c.finish(nil, err)
		return
	}
	c.closeLater(func() { conn.Close() })
	if _, err := fmt.Fprintf(conn, "POST /photo/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(c.body), c.body); err != nil {
		c.finish(nil, err)
		return
	}
	c.pending.Go(func() { c.finish(http.ReadResponse(bufio.NewReaderSize(conn, 512), nil)) })
}

// sendHTTP2 sends one req over a transport and reads the answer, in the background.
func (c *clients) sendHTTP2(t *http.Transport, address, id string) {
	c.pending.Go(func() {
		r, err := http.NewRequestWithContext(c.ctx, "POST", "http://"+address+"/photo/1", bytes.NewReader(c.body))
		if err != nil {
			c.finish(nil, err)
			return
		}
		r.GetBody = nil // prevents automatic retries
		r.Header.Set("X-Correlation-Id", id)
		r.Header.Set("Idempotency-Key", id)
		c.finish(t.RoundTrip(r))
	})
}

// Hold brings n reqs in flight over all dispatchers and measures the first dispatcher. If countGoroutines is set, that
// process is ended with a dump of its goroutines. Otherwise the backends release the reqs and Hold waits for all
// answers.
func (config InFlightConfig) Hold(p Program, n int, countGoroutines bool) (result HoldResult, err error) {
	director, err := startDirector(0)
	if err != nil {
		return result, err
	}
	defer director.Close()
	slots := max(slotsPerBackend, 2*n/config.Backends+1)
	var backends []*platform.Backend
	defer func() {
		for _, b := range backends {
			b.Close()
		}
	}()
	for i := range config.Backends {
		b, err := platform.StartBackend(fmt.Sprintf("worker-%04d", i), slots, func(string) time.Duration { return 0 })
		if err != nil {
			return result, err
		}
		b.Set(platform.Faults{HoldJobs: true})
		backends = append(backends, b)
		director.Set(b.Entry("fast", "here", i%100, "Ready"))
	}
	script := ""
	if config.HTTP2 {
		script = `http2(listen = "127.0.0.1:0")`
	}
	var dispatchers []*dispatcher
	defer func() {
		for _, d := range dispatchers {
			d.kill()
		}
	}()
	for i := range config.Dispatchers {
		d, err := p.start(dispatcherConfig{discovery: director.Address, selfIndex: i, sockets: config.Sockets, memoryMB: config.MemoryMB, dispatchers: config.Dispatchers, settingsScript: script})
		if err != nil {
			return result, err
		}
		dispatchers = append(dispatchers, d)
		if _, err := d.untilReady(); err != nil {
			return result, err
		}
	}
	time.Sleep(200 * time.Millisecond)
	first := dispatchers[0]
	if result.RSSBefore, result.AnonBefore, err = first.memory(); err != nil {
		return result, err
	}
	if result.DescriptorsBefore, err = first.descriptors(); err != nil {
		return result, err
	}
	before, err := first.cpu()
	if err != nil {
		return result, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &clients{ctx: ctx, errorCounts: map[string]int{}, body: []byte(strings.Repeat("b", config.BodyBytes))}
	defer func() {
		cancel()
		for _, closer := range c.closers {
			closer()
		}
		c.pending.Wait()
	}()
	config.sendAll(c, dispatchers, n)
	held := func() (total int) {
		for _, b := range backends {
			counts := b.Counts()
			total += counts.Started - counts.Done - counts.Cancelled
		}
		return total
	}
	for end := time.Now().Add(processTimeout); held()+int(c.answered.Load()) < n; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			received := 0
			for _, b := range backends {
				received += b.Counts().Jobs
			}
			return result, fmt.Errorf("timed out with %d of %d reqs held, %d received by a backend and %d answered", held(), n, received, c.answered.Load())
		}
	}
	after, err := first.cpu()
	if err != nil {
		return result, err
	}
	result.AcceptCPUMillis = float64((after - before).Microseconds()) / 1000
	if config.QuietWindow > 0 {
		time.Sleep(config.QuietWindow)
		last, err := first.cpu()
		if err != nil {
			return result, err
		}
		result.QuietCPUPercent = 100 * float64(last-after) / float64(config.QuietWindow)
	}
	c.mu.Lock()
	result.Unanswered, result.ErrorCounts = int(c.failed.Load()), maps.Clone(c.errorCounts)
	c.mu.Unlock()
	result.InFlight, result.Refused = held(), int(c.answered.Load())-result.Unanswered
	if result.RSS, result.Anon, err = first.memory(); err != nil {
		return result, err
	}
	if result.OpenDescriptors, err = first.descriptors(); err != nil {
		return result, err
	}
	if countGoroutines {
		result.Goroutines = first.quitAndCountGoroutines()
		return result, nil
	}
	for _, b := range backends {
		b.Set(platform.Faults{})
	}
	for end := time.Now().Add(processTimeout); int(c.answered.Load()) < n; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return result, fmt.Errorf("timed out with %d of %d reqs answered", c.answered.Load(), n)
		}
	}
	if result.Served = int(c.served.Load()); result.Served != result.InFlight {
		return result, fmt.Errorf("of %d reqs in flight %d were served, want all", result.InFlight, result.Served)
	}
	return result, nil
}

// sendAll sends n reqs to the dispatchers in turn.
func (config InFlightConfig) sendAll(c *clients, dispatchers []*dispatcher, n int) {
	var transports []*http.Transport
	dialSlots := make(chan struct{}, 64) // limits concurrent connection attempts
	var sends sync.WaitGroup
	for i := range n {
		target, id := dispatchers[i%len(dispatchers)], fmt.Sprint("f-", i)
		if config.HTTP2 {
			k := i % len(dispatchers)
			if at := i / len(dispatchers) / reqsPerConnection * len(dispatchers); at+k >= len(transports) {
				for range dispatchers {
					t := &http.Transport{Protocols: new(http.Protocols)}
					t.Protocols.SetUnencryptedHTTP2(true)
					c.closeLater(t.CloseIdleConnections)
					transports = append(transports, t)
				}
			}
			c.sendHTTP2(transports[i/len(dispatchers)/reqsPerConnection*len(dispatchers)+k], target.http2Address, id)
			continue
		}
		dialSlots <- struct{}{}
		sends.Go(func() { c.sendHTTP1(target.address, id); <-dialSlots })
	}
	sends.Wait()
}

// InFlightCounts measures the memory, descriptors, processor time and goroutines of a dispatcher against the number of
// reqs in flight. The last repeat counts goroutines; in the others every req is served.
func InFlightCounts(p Program, config InFlightConfig, name string, repeats int, reqs ...int) (rows []capacity.Row, err error) {
	for _, n := range reqs {
		for k := range repeats {
			countGoroutines := k == repeats-1
			result, err := config.Hold(p, n, countGoroutines)
			if err != nil {
				return nil, fmt.Errorf("%s, %d reqs: %w", name, n, err)
			}
			if result.InFlight != n {
				return nil, fmt.Errorf("%s: only %d of %d reqs are in flight, %d refused, %d without an answer: %v", name, result.InFlight, n, result.Refused, result.Unanswered, result.ErrorCounts)
			}
			note := fmt.Sprintf("HTTP/1.1, a body of %d bytes", config.BodyBytes)
			if config.HTTP2 {
				note = fmt.Sprintf("HTTP/2, %d reqs a connection, a body of %d bytes", reqsPerConnection, config.BodyBytes)
			}
			row := func(measure, unit string, y float64) {
				rows = append(rows, capacity.Row{Slope: name + "-" + measure, Unit: unit, Against: "reqs in flight", X: float64(n), Y: y, Method: capacity.Real, Note: note})
			}
			row("rss", "MB", result.RSS)
			row("anon", "MB", result.Anon)
			row("descriptors", "descriptors", result.OpenDescriptors)
			if config.QuietWindow > 0 {
				row("cpu", "ms to take them", result.AcceptCPUMillis)
				row("still", "% of a core while they wait", result.QuietCPUPercent)
			}
			if countGoroutines {
				row("goroutines", "goroutines", result.Goroutines)
			}
		}
	}
	return rows, nil
}

// MaxInFlight measures how many reqs a dispatcher takes in flight at most, against its descriptor limit, when more are
// offered. The dispatcher has to refuse the others with a request to retry later.
func MaxInFlight(p Program, config InFlightConfig, name string, sockets ...int) (rows []capacity.Row, err error) {
	for _, s := range sockets {
		config.Sockets = s
		n := s*9/20 + 100
		if config.HTTP2 {
			n = s*11/20 + 100
		}
		result, err := config.Hold(p, n, false)
		if err != nil {
			return nil, fmt.Errorf("%s, %d sockets: %w", name, s, err)
		}
		if result.InFlight+result.Refused+result.Unanswered != n {
			return nil, errors.New("a req was neither held nor turned away")
		}
		rows = append(rows, capacity.Row{Slope: name, Unit: "reqs in flight at most", Against: "descriptors allowed", X: float64(s), Y: float64(result.InFlight), Method: capacity.Real,
			Note: fmt.Sprintf("%d offered, %d refused, %d turned away without an answer, %.0f descriptors held", n, result.Refused, result.Unanswered, result.OpenDescriptors)})
	}
	return rows, nil
}

// DispatcherCounts measures how many of the offered reqs are in flight against the number of dispatchers, each with the
// descriptor limit of config, and the memory of the first dispatcher.
func DispatcherCounts(p Program, config InFlightConfig, name string, reqs int, dispatchers ...int) (rows []capacity.Row, err error) {
	for _, n := range dispatchers {
		config.Dispatchers = n
		result, err := config.Hold(p, reqs, false)
		if err != nil {
			return nil, fmt.Errorf("%s, %d dispatchers: %w", name, n, err)
		}
		row := func(measure, unit string, y float64) {
			rows = append(rows, capacity.Row{Slope: name + "-" + measure, Unit: unit, Against: "dispatchers", X: float64(n), Y: y, Method: capacity.Real,
				Note: fmt.Sprintf("%d offered, %d refused, %d turned away without an answer, %d descriptors and %d MB allowed each", reqs, result.Refused, result.Unanswered, config.Sockets, config.MemoryMB)})
		}
		row("in-flight", "reqs in flight", float64(result.InFlight))
		row("rss", "MB of the first", result.RSS)
	}
	return rows, nil
}

// MemoryLimits measures the memory and processor time of a dispatcher with a fixed number of reqs in flight against its
// memory limit. Only the garbage collector respects the limit: its target is three quarters of it.
func MemoryLimits(p Program, config InFlightConfig, name string, reqs int, mb ...int) (rows []capacity.Row, err error) {
	for _, n := range mb {
		config.MemoryMB = n
		result, err := config.Hold(p, reqs, false)
		if err != nil {
			return nil, fmt.Errorf("%s, %d MB: %w", name, n, err)
		}
		row := func(measure, unit string, y float64) {
			rows = append(rows, capacity.Row{Slope: name + "-" + measure, Unit: unit, Against: "MB allowed", X: float64(n), Y: y, Method: capacity.Real,
				Note: fmt.Sprintf("%d offered, %d in flight", reqs, result.InFlight)})
		}
		row("rss", "MB", result.RSS)
		row("cpu", "ms to take them", result.AcceptCPUMillis)
		row("still", "% of a core while they wait", result.QuietCPUPercent)
	}
	return rows, nil
}
