// Package logs creates the program's logger: one event per line, with fields, on zerolog.
//
// The message of a line is the name of its event: a constant text, written under the key "event".
// Everything that varies is a field. The rate limit relies on that, as it counts by event.
package logs

import (
	"fmt"
	"io"
	"os"
	"sync"

	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// Formats of a line. Auto is Text on a terminal and JSON elsewhere.
const (
	Auto = "auto"
	JSON = "json"
	Text = "text"
)

// Rate limit of one event. A backend that refuses every connection or a client that sends garbage
// at full speed must not fill the disk. The next line that passes states how many were dropped.
const (
	burstLines     = 50  // lines at once
	linesPerSecond = 5   // sustained rate
	maxEvents      = 256 // names of events that are limited
)

// New returns a logger that writes to w. Level is one of trace, debug, info, warn, error and off;
// format is one of Auto, JSON and Text. Any other value is an error that lists the valid ones.
func New(w io.Writer, level, format string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if level == "off" {
		l, err = zerolog.Disabled, nil
	}
	if err != nil || level == "" {
		return zerolog.Logger{}, fmt.Errorf("log level is %q, want trace, debug, info, warn, error or off", level)
	}
	switch format {
	case Auto, JSON, Text:
	default:
		return zerolog.Logger{}, fmt.Errorf("log format is %q, want auto, json or text", format)
	}
	if f, ok := w.(*os.File); format == Text || format == Auto && ok && isatty.IsTerminal(f.Fd()) {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: "15:04:05.000", NoColor: format == Text}
	}
	return zerolog.New(w).Level(l).Hook(&rateLimit{events: map[string]*eventLimit{}}).With().Timestamp().Logger(), nil
}

func init() {
	zerolog.MessageFieldName = "event"
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
}

// rateLimit is a zerolog hook that limits the lines of each event and counts the dropped ones.
type rateLimit struct {
	mu     sync.Mutex
	events map[string]*eventLimit
}

// eventLimit is the limit of one event.
type eventLimit struct {
	limiter *rate.Limiter
	dropped int
}

// Run drops the line, or adds to it how many lines of its event were dropped before it.
func (f *rateLimit) Run(e *zerolog.Event, _ zerolog.Level, event string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.events[event]
	if g == nil {
		if len(f.events) >= maxEvents { // the event's text is not constant: do not use memory for it
			return
		}
		g = &eventLimit{limiter: rate.NewLimiter(linesPerSecond, burstLines)}
		f.events[event] = g
	}
	if !g.limiter.Allow() {
		g.dropped++
		e.Discard()
		return
	}
	if g.dropped > 0 {
		e.Int("left_out", g.dropped)
		g.dropped = 0
	}
}
