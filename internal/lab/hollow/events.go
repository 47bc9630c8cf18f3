package hollow

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"time"
)

// Events follows what the dispatchers' logs tell of the accord.
type Events struct {
	mu  sync.Mutex
	at  map[string]*State
	log []Event // since they were last handed out

	decided uint64
}

// Event is a step of the accord at a dispatcher.
type Event struct {
	At      time.Time // as it was heard
	Process string
	Step    string // the accord's own word, or one of the rig's
	Version uint64
	Change  string
	By, Why string
	Rig     bool // it was done to the process
	LeftOut int  // lines of this step that the process's log left out before
}

// What is done to a process.
const (
	Began = "began"
	Ended = "ended"
)

// State is how a dispatcher stands.
type State struct {
	Version uint64 // in force
	Serves  bool
	Leads   bool
}

func newEvents() *Events { return &Events{at: map[string]*State{}} }

// heard takes the log of a dispatcher.
func (e *Events) heard(process string) io.Writer {
	e.mu.Lock()
	s := &State{}
	e.at[process] = s
	e.mu.Unlock()
	return writerFunc(func(p []byte) (int, error) {
		for text := range bytes.Lines(p) {
			var l struct {
				Time                            time.Time
				Event, Message, Change, By, Why string
				Version                         uint64
				LeftOut                         int `json:"left_out"`
			}
			if json.Unmarshal(text, &l) != nil {
				continue
			}
			step, ok := strings.CutPrefix(l.Event+l.Message, "accord: ")
			if ok {
				if l.Time.IsZero() { // a hollow one's: it is written as it happens
					l.Time = time.Now()
				}
				e.take(s, Event{At: l.Time, Process: process, Step: step, Version: l.Version, Change: l.Change, By: l.By, Why: l.Why, LeftOut: l.LeftOut})
			}
		}
		return len(p), nil
	})
}

func (e *Events) take(s *State, ev Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log = append(e.log, ev)
	switch ev.Step {
	case "in force":
		s.Version = ev.Version
	case "serving":
		s.Serves, s.Version = true, ev.Version
	case "fenced":
		s.Serves = false
	case "decided":
		e.decided = max(e.decided, ev.Version)
	case "leads":
		s.Leads = true
	case "leads no more":
		s.Leads = false
	}
}

// rig notes what is done to a process.
func (e *Events) rig(process, what string) {
	e.mu.Lock()
	e.log = append(e.log, Event{At: time.Now(), Process: process, Step: what, Rig: true})
	e.mu.Unlock()
}

// gone forgets a dispatcher that has ended.
func (e *Events) gone(process string) {
	e.mu.Lock()
	delete(e.at, process)
	e.log = append(e.log, Event{At: time.Now(), Process: process, Step: Ended, Rig: true})
	e.mu.Unlock()
}

func (e *Events) serving(version uint64) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.at {
		if s.Serves && s.Version >= version {
			n++
		}
	}
	return n
}

// Leader is the number of the voter that leads; -1 where none or more than one says so.
func (f *Fleet) Leader() int {
	f.events.mu.Lock()
	defer f.events.mu.Unlock()
	at := -1
	for i := range Regions {
		if s := f.events.at[Name(i)]; s != nil && s.Leads {
			if at >= 0 {
				return -1
			}
			at = i
		}
	}
	return at
}

// Leads says whether a voter says that it leads.
func (f *Fleet) Leads(voter int) bool {
	f.events.mu.Lock()
	defer f.events.mu.Unlock()
	s := f.events.at[Name(voter)]
	return s != nil && s.Leads
}

// Decided is the highest version that a voter told as decided.
func (f *Fleet) Decided() uint64 {
	f.events.mu.Lock()
	defer f.events.mu.Unlock()
	return f.events.decided
}

// Tell notes among the events what is done to a process, or with no name to the fleet.
func (f *Fleet) Tell(process, what string) { f.events.rig(process, what) }

// Events hands out what was heard since it was last called.
func (f *Fleet) Events() []Event {
	f.events.mu.Lock()
	defer f.events.mu.Unlock()
	log := f.events.log
	f.events.log = nil
	return log
}

type writerFunc func([]byte) (int, error)

func (w writerFunc) Write(p []byte) (int, error) { return w(p) }
