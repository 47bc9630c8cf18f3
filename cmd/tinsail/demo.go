package main

import (
	"bytes"
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"tinsail/internal/config"
	"tinsail/internal/logs"
	"tinsail/internal/settings"
	"tinsail/internal/standin/platform"
)

//go:embed demo.json
var demoConfig []byte

func demoCommand() *cobra.Command {
	var o options
	var keepRunning bool
	n := 400
	c := &cobra.Command{
		Use: "demo", Short: "Show a dispatcher at work, with a director and four backends of its own",
		Long: `demo needs no file. It starts a director, four backends and a dispatcher between them,
all in this process and on 127.0.0.1, sends reqs over every front and prints what came back.
Halfway through, one backend begins to fail and another drains.

Exit codes: 0 every req had one answer, 1 not, 2 faulty flags.`,
		Example: `  tinsail demo
  tinsail demo --reqs 2000
  tinsail demo --keep --log-level info    # then curl, as the last lines say`,
		RunE: func(c *cobra.Command, _ []string) error {
			if n < 1 || n > 100_000 {
				return inputError{fmt.Errorf("--reqs is %d, want 1 to 100000", n)}
			}
			log, err := logs.New(c.ErrOrStderr(), o.logLevel, o.logFormat)
			if err != nil {
				return inputError{err}
			}
			x, err := startDemo(log)
			if err != nil {
				return err
			}
			defer x.close()
			if err := x.run(c.OutOrStdout(), n); err != nil {
				return err
			}
			if keepRunning {
				x.waitForSignal(c.OutOrStdout())
			}
			return nil
		},
	}
	o.addFlags(c, true)
	quiet := c.Flags().Lookup("log-level")
	quiet.DefValue, o.logLevel = "error", "error"
	c.Flags().Lookup("settings").Hidden = true
	c.Flags().BoolVar(&keepRunning, "keep", false, "leave it running until Ctrl-C, for curl")
	c.Flags().IntVar(&n, "reqs", n, "reqs over each front, 1 to 100000")
	return c
}

// demo is a dispatcher with a director and backends of its own.
type demo struct {
	dispatcher *dispatcher
	director   *platform.Director
	backends   []*platform.Backend
}

// backendKind returns the kind of the i-th backend. The first of each pair is the faster one.
func backendKind(i int) string { return []string{"fast", "std"}[i%2] }

// startDemo starts the director, the backends and the dispatcher on ports of 127.0.0.1.
func startDemo(log zerolog.Logger) (*demo, error) {
	x := &demo{}
	var err error
	if x.director, err = platform.StartDirector(); err != nil {
		return nil, err
	}
	for i := range 4 {
		work := time.Duration(10+10*(i%2)) * time.Millisecond
		b, err := platform.StartBackend(fmt.Sprintf("backend-%d", i+1), 4, func(string) time.Duration { return work })
		if err != nil {
			x.close()
			return nil, err
		}
		x.backends = append(x.backends, b)
		x.director.Set(b.Entry(backendKind(i), "here", i/2, "Ready"))
	}
	cfg, err := config.Parse(demoConfig, func(string) string { return "" })
	if err == nil {
		cfg.Discovery = x.director.Address
		x.dispatcher, err = assemble(cfg, &settings.Settings{HTTP2: settings.DefaultHTTP2("127.0.0.1:0")}, log, handoverData{})
	}
	if err != nil {
		x.close()
		return nil, err
	}
	x.dispatcher.start()
	return x, nil
}

func (x *demo) close() {
	if x.dispatcher != nil {
		x.dispatcher.closeListeners()
	}
	for _, b := range x.backends {
		b.Close()
	}
	x.director.Close()
}

// frontClient sends requests to one front (a listener with its protocol) and counts the answers.
type frontClient struct {
	name, address   string
	client          *http.Client
	concurrency     int
	sent, succeeded atomic.Int64
	refused         atomic.Int64
	failed          atomic.Int64
	mu              sync.Mutex
	latency         *hdrhistogram.Histogram // ms
}

func newFrontClient(name, address string, concurrency int, h2 bool) *frontClient {
	t := &http.Transport{MaxIdleConnsPerHost: concurrency, Protocols: new(http.Protocols)}
	t.Protocols.SetHTTP1(!h2)
	t.Protocols.SetUnencryptedHTTP2(h2)
	return &frontClient{name: name, address: address, concurrency: concurrency, client: &http.Client{Transport: t, Timeout: 10 * time.Second},
		latency: hdrhistogram.New(1, 60_000, 3)}
}

// send sends a request and returns the status of its answer. A result that belongs to another request is an error.
func (f *frontClient) send(id string) (status int, err error) {
	r, err := http.NewRequest("POST", "http://"+f.address+"/photo/"+id, bytes.NewReader(make([]byte, 512)))
	if err != nil {
		return 0, err
	}
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("Idempotency-Key", "key-"+id)
	r.Header.Set("X-Time-Left-Ms", "5000")
	answer, err := f.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if want := "small " + id; err == nil && answer.StatusCode == 200 && string(body) != want {
		err = fmt.Errorf("%s was answered %q, want %q", id, body, want)
	}
	return answer.StatusCode, err
}

// sendAndCount sends a request and counts its answer by status and latency.
func (f *frontClient) sendAndCount(id string) error {
	startedAt := time.Now()
	f.sent.Add(1)
	status, err := f.send(id)
	if err != nil {
		return err
	}
	switch status {
	case 200:
		f.succeeded.Add(1)
	case 429, 503:
		f.refused.Add(1)
	default:
		f.failed.Add(1)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latency.RecordValue(max(time.Since(startedAt).Milliseconds(), 1))
}

// run sends n requests over each front and prints tables of the answers and the backends.
func (x *demo) run(out io.Writer, n int) error {
	ready, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for x.dispatcher.core.ReadyBackends() < len(x.backends) {
		select {
		case <-ready.Done():
			return errors.New("the dispatcher received no list of ready backends within 10 s")
		case <-time.After(10 * time.Millisecond):
		}
	}
	fronts := []*frontClient{
		newFrontClient("HTTP/1.1", x.dispatcher.listener.Addr().String(), 16, false),
		newFrontClient("HTTP/2", x.dispatcher.http2Listener.Addr().String(), 16, true),
	}
	fmt.Fprintf(out, "a director, four backends and a dispatcher are up; %d reqs go over each front\n", n)
	firstError := make(chan error, 1)
	var all sync.WaitGroup
	for i, f := range fronts {
		next := &atomic.Int64{}
		for range f.concurrency {
			all.Go(func() {
				for k := next.Add(1); k <= int64(n); k = next.Add(1) {
					if err := f.sendAndCount(fmt.Sprintf("demo-%d-%d", i, k)); err != nil {
						select {
						case firstError <- fmt.Errorf("%s: %w", f.name, err):
						default:
						}
					}
				}
			})
		}
	}
	done := make(chan struct{})
	go func() { all.Wait(); close(done) }()
	x.showProgress(out, fronts, n, done)
	printFronts(out, fronts)
	x.printBackends(out)
	select {
	case err := <-firstError:
		return err
	default:
		return nil
	}
}

// showProgress prints the progress until done is closed. Halfway it has one backend fail and another drain.
func (x *demo) showProgress(out io.Writer, fronts []*frontClient, n int, done <-chan struct{}) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	faultsSet, shownQuarter := false, -1
	for {
		sum := int64(0)
		for _, f := range fronts {
			sum += f.sent.Load()
		}
		percent := int(100 * sum / int64(n*len(fronts)))
		if percent/25 != shownQuarter {
			shownQuarter = percent / 25
			fmt.Fprintf(out, "  %3d%% of the reqs sent, %d open\n", percent, x.dispatcher.core.OpenReqs())
		}
		if percent >= 50 && !faultsSet {
			faultsSet = true
			x.backends[0].Set(platform.Faults{Refuse: true})
			x.director.Set(x.backends[1].Entry(backendKind(1), "here", 0, "Terminating"))
			fmt.Fprintln(out, "  now backend-1 refuses all requests, and backend-2 drains")
		}
		select {
		case <-done:
			return
		case <-tick.C:
		}
	}
}

func printFronts(out io.Writer, fronts []*frontClient) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\nfront\treqs\tserved\trefused\tfailed\tms, median\tms, 99%\t")
	for _, f := range fronts {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", f.name, f.sent.Load(), f.succeeded.Load(), f.refused.Load(), f.failed.Load(),
			f.latency.ValueAtQuantile(50), f.latency.ValueAtQuantile(99))
	}
	w.Flush()
}

func (x *demo) printBackends(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\nbackend\tkind\tjobs\tstarted\tdone\t")
	for i, b := range x.backends {
		c := b.Counts()
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t\n", b.Name, backendKind(i), c.Jobs, c.Started, c.Done)
	}
	w.Flush()
}

// waitForSignal removes the faults, prints curl commands, and leaves everything running until SIGINT or SIGTERM.
func (x *demo) waitForSignal(out io.Writer) {
	x.backends[0].Set(platform.Faults{})
	x.director.Set(x.backends[1].Entry(backendKind(1), "here", 0, "Ready"))
	_, port, _ := net.SplitHostPort(x.dispatcher.listener.Addr().String())
	_, port2, _ := net.SplitHostPort(x.dispatcher.http2Listener.Addr().String())
	fmt.Fprintf(out, `
still running, until Ctrl-C:
  curl http://127.0.0.1:%s/counters
  curl -H 'X-Correlation-Id: c1' -H 'Idempotency-Key: k1' -d photo http://127.0.0.1:%s/photo/1
  curl --http2-prior-knowledge -H 'X-Correlation-Id: c2' -H 'Idempotency-Key: k2' -d photo http://127.0.0.1:%s/photo/2
`, port, port, port2)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}
