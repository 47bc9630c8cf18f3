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

	"olivebarrow"
	"olivebarrow/internal/config"
	"olivebarrow/internal/core"
	"olivebarrow/internal/counters"
	"olivebarrow/internal/network"
)

func main() {
	if err := run(); err != nil {
		log.Fatal(err)
	}
}

func run() error {
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
	c.Listed(olivebarrow.ListCached, cfg.Known.Entries)
	go c.Run(nil)
	if !cfg.Settings.Subscribe { // the module expects a list that comes unasked; on sockets none does
		director.Subscribe()
	}
	stats := func() string {
		var b strings.Builder
		count.Print(&b, core.Endings())
		return b.String()
	}
	clients := &network.Clients{Names: &cfg.Names, Count: count, Core: c, Most: share.Clients, Stats: stats}
	go clients.Serve(listener)

	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	for sig := range signals {
		if sig != syscall.SIGUSR1 {
			break
		}
		log.Print("counters:\n", stats())
	}
	clients.Drain(cfg.Longest() + 500*time.Millisecond)
	log.Print("ends on a signal; counters:\n", stats())
	return nil
}
