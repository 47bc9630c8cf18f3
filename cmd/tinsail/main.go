// Command tinsail is the dispatcher: it takes reqs from clients and has backends carry them
// out, as the decision module says. This file only wires the parts and minds the signals.
package main

import (
	"log"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"tinsail/internal/balance"
	"tinsail/internal/config"
	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/network"
)

func main() {
	if err := run(); err != nil {
		log.Fatal(err)
	}
}

func run() error {
	sig := listen() // first of all: what is not listened for ends the program
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetMemoryLimit(cfg.Memory * 3 / 4)
	debug.SetGCPercent(200)

	count, share := &counters.Set{}, network.Share(cfg.Sockets)
	pool := &network.Pool{Names: &cfg.Names, Count: count, Most: share.Backends, Dial: network.TCP, Idle: cfg.ConnIdle * 7 / 10,
		Connect: time.Duration(cfg.Settings.ConnectTimeout * float64(time.Millisecond))}
	director := &network.Director{Names: &cfg.Names, Count: count, Address: cfg.Discovery, Dial: network.TCP}
	director.Ask = time.Duration(cfg.Settings.Rules.AskEvery * float64(time.Millisecond))
	c, err := core.New(cfg.Settings, pool, director, count)
	if err != nil {
		return err
	}
	director.Told = c.Listed
	director.Start(cfg.Known.Index)
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	c.Listed(balance.ListCached, cfg.Known.Entries)
	go c.Run(nil)
	if !cfg.Settings.Subscribe { // the module expects a list that comes unasked; on sockets none does
		director.Subscribe()
	}
	stats := func() string {
		var b strings.Builder
		count.Print(&b, core.Endings())
		return b.String()
	}
	clients := &network.Clients{Names: &cfg.Names, Count: count, Core: c, Most: share.Clients, Usual: share.Usual, Held: cfg.Memory / 8,
		Longest: cfg.Longest(), Stats: stats}
	go clients.Serve(listener)

	sig.mind(minded{
		reload: func() { cfg = reload(cfg, director, count) },
		stats:  func() { log.Print("counters:\n", stats()) },
		drain:  func() { clients.Drain(cfg.Longest() + 500*time.Millisecond) },
	})
	log.Print("ends on a signal; counters:\n", stats())
	return nil
}

// heard are the signals that have come. Each kind has a channel of its own: a channel that is
// full loses what comes next, and no heap of reloads may cost a shutdown its signal.
type heard struct{ end, reload, stats chan os.Signal }

func listen() heard {
	h := heard{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(h.end, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(h.reload, syscall.SIGHUP)
	signal.Notify(h.stats, syscall.SIGUSR1)
	return h
}

// minded is what the signals ask for.
type minded struct{ reload, stats, drain func() }

// mind does what signals ask for until the shutdown that one of them asked for is over. It
// goes on listening during the shutdown: one that comes then must not end the program early,
// and the director may move while reqs are still to be sent.
func (h heard) mind(m minded) {
	var drained chan struct{}
	for {
		select {
		case <-h.reload:
			m.reload()
		case <-h.stats:
			m.stats()
		case <-h.end:
			if drained == nil {
				drained = make(chan struct{})
				go func() { m.drain(); close(drained) }()
			}
		case <-drained:
			return
		}
	}
}

// reload reads the configuration once more and returns the one that holds from now on. The
// director's address is taken over at once; what else has changed holds from the next start.
func reload(old *config.Config, director *network.Director, count *counters.Set) *config.Config {
	cfg, err := config.Load(os.Getenv)
	if err != nil { // a faulty file must not stop a program that serves
		count.ReloadsBad.Add(1)
		log.Print("not reloaded, the configuration stands as it was: ", err)
		return old
	}
	count.Reloads.Add(1)
	director.Redirect(cfg.Discovery)
	later := ""
	if keys := old.Fixed(cfg); len(keys) > 0 {
		later = "; for the next start: " + strings.Join(keys, ", ")
	}
	log.Printf("reloaded: discovery is %s%s", cfg.Discovery, later)
	return cfg
}
