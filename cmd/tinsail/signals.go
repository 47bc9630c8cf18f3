package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// signalChannels are the signals that have come. Each kind has a channel of its own: a channel that is
// full loses what comes next, and no heap of reloads may cost a shutdown its signal.
type signalChannels struct{ end, reload, stats chan os.Signal }

func notifySignals() signalChannels {
	h := signalChannels{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(h.end, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(h.reload, syscall.SIGHUP)
	signal.Notify(h.stats, syscall.SIGUSR1)
	return h
}

// signalHandlers is what the signals ask for. drain is called once, on a goroutine of its own; trace may be nil.
type signalHandlers struct{ reload, stats, trace, drain func() }

// handle does what signals ask for until ended is closed. It goes on listening during a shutdown:
// a signal that comes then must not end the program early, and the director may move while reqs
// are still to be sent.
//
// every > 0 also has the counters logged that often, so that a day can be followed across many
// dispatchers in their logs; the ticker is a wait, it keeps no thread busy.
//
// Reloads run one after the other on a goroutine of their own: a script, a source or the accord may keep one waiting, and the
// shutdown's clock runs from its signal. Of reloads that come meanwhile one is done, after the last of them has come.
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
