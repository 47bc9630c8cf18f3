// Package logs makes the program's logger: one event a line, with fields, on zerolog.
//
// The message of a line is the name of its event, a constant text, written under the key
// "event"; all that varies is a field. The limit on floods rests on that: it counts by event.
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

// Limits on one event. A backend that refuses every connection or a client that sends nonsense
// at full speed must not fill the disk; what was left out is told with the next line.
const (
	burst  = 50 // lines at once
	perSec = 5  // lines a second from then on
	events = 256
)

// New makes a logger that writes to w. Level is one of trace, debug, info, warn, error and off,
// format one of Auto, JSON and Text; what is neither is an error that names the wanted.
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
	return zerolog.New(w).Level(l).Hook(&flood{seen: map[string]*gate{}}).With().Timestamp().Logger(), nil
}

func init() {
	zerolog.MessageFieldName = "event"
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
}

// flood lets so many lines of an event pass and counts the rest.
type flood struct {
	mu   sync.Mutex
	seen map[string]*gate
}

type gate struct {
	limit *rate.Limiter
	lost  int
}

// Run is zerolog's hook: it drops the line or adds how many were dropped before it.
func (f *flood) Run(e *zerolog.Event, _ zerolog.Level, event string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.seen[event]
	if g == nil {
		if len(f.seen) >= events { // an event that is no constant after all: no memory for it
			return
		}
		g = &gate{limit: rate.NewLimiter(perSec, burst)}
		f.seen[event] = g
	}
	if !g.limit.Allow() {
		g.lost++
		e.Discard()
		return
	}
	if g.lost > 0 {
		e.Int("left_out", g.lost)
		g.lost = 0
	}
}
