package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// signalChannels receive the program's signals. Each kind has a channel of its own: a full channel drops further signals, and
// pending reloads must not make a shutdown signal get lost.
type signalChannels struct{ end, reload, stats chan os.Signal }

// notifySignals starts receiving the program's signals.
func notifySignals() signalChannels {
	h := signalChannels{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(h.end, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(h.reload, syscall.SIGHUP)
	signal.Notify(h.stats, syscall.SIGUSR1)
	return h
}

// signalHandlers are the functions that the signals call. drain is called once, on a goroutine of its own; trace may be nil.
type signalHandlers struct{ reload, stats, trace, drain func() }

// handle calls the handlers of the signals until ended is closed. It also runs during a shutdown: a signal must not end the
// program early then, and the director may move while requests are still to be sent.
//
// If every > 0, the counters are also logged at that interval, so that the logs show the course of a day across many dispatchers.
// The ticker occupies no thread.
//
// Reloads run one after the other on a goroutine of their own: a script, a source or the accord may delay one, and the time limit
// of a shutdown counts from its signal. Reload signals that arrive during a reload are merged into one further reload.
func (h signalChannels) handle(m signalHandlers, every time.Duration, ended <-chan struct{}) {
	go func() {
		for {
			select {
			case <-h.reload:
				m.reload()
			case <-ended:
				return
			}
		}
	}()
	draining := false
	var tick <-chan time.Time
	if every > 0 {
		t := time.NewTicker(every)
		defer t.Stop()
		tick = t.C
	}
	for {
		select {
		case <-tick:
			m.stats()
		case <-h.stats:
			m.stats()
			if m.trace != nil {
				m.trace()
			}
		case <-h.end:
			if !draining {
				draining = true
				go m.drain()
			}
		case <-ended:
			return
		}
	}
}
