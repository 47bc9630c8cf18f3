package hollow

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"time"
)

// eventLog follows what the dispatchers' logs tell of the accord.
type eventLog struct {
	mu  sync.Mutex
	at  map[string]*dispatcherState
	log []Event // since they were last handed out

	decided uint64
}

// Event is a step of the accord at a dispatcher.
type Event struct {
	Time             time.Time // as it was heard
	Process          string
	Name             string // the accord's own word, or one of the rig's
	Version          uint64
	Change           string
	Proposer, Reason string
	FromRig          bool // it was done to the process
	DroppedLines     int  // lines of this step that the process's log left out before
}

// What is done to a process.
const (
	ProcessStarted = "began"
	ProcessEnded   = "ended"
)

// dispatcherState is how a dispatcher stands.
type dispatcherState struct {
	Version uint64 // in force
	Serves  bool
	Leads   bool
}

func newEvents() *eventLog { return &eventLog{at: map[string]*dispatcherState{}} }

// heard takes the log of a dispatcher.
func (e *eventLog) heard(process string) io.Writer {
	e.mu.Lock()
	s := &dispatcherState{}
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
				e.take(s, Event{Time: l.Time, Process: process, Name: step, Version: l.Version, Change: l.Change, Proposer: l.By, Reason: l.Why, DroppedLines: l.LeftOut})
			}
		}
		return len(p), nil
	})
}

func (e *eventLog) take(s *dispatcherState, ev Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log = append(e.log, ev)
	switch ev.Name {
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
func (e *eventLog) rig(process, what string) {
	e.mu.Lock()
	e.log = append(e.log, Event{Time: time.Now(), Process: process, Name: what, FromRig: true})
	e.mu.Unlock()
}

// gone forgets a dispatcher that has ended.
func (e *eventLog) gone(process string) {
	e.mu.Lock()
	delete(e.at, process)
	e.log = append(e.log, Event{Time: time.Now(), Process: process, Name: ProcessEnded, FromRig: true})
	e.mu.Unlock()
}

func (e *eventLog) serving(version uint64) (n int) {
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
		if s := f.events.at[DispatcherName(i)]; s != nil && s.Leads {
			if at >= 0 {
				return -1
			}
			at = i
		}
	}
	return at
}

// IsLeader says whether a voter says that it leads.
func (f *Fleet) IsLeader(voter int) bool {
	f.events.mu.Lock()
	defer f.events.mu.Unlock()
	s := f.events.at[DispatcherName(voter)]
	return s != nil && s.Leads
}

// LastDecided is the highest version that a voter told as decided.
func (f *Fleet) LastDecided() uint64 {
	f.events.mu.Lock()
	defer f.events.mu.Unlock()
	return f.events.decided
}

// RecordRigEvent notes among the events what is done to a process, or with no name to the fleet.
func (f *Fleet) RecordRigEvent(process, what string) { f.events.rig(process, what) }

// TakeEvents hands out what was heard since it was last called.
func (f *Fleet) TakeEvents() []Event {
	f.events.mu.Lock()
	defer f.events.mu.Unlock()
	log := f.events.log
	f.events.log = nil
	return log
}

type writerFunc func([]byte) (int, error)

func (w writerFunc) Write(p []byte) (int, error) { return w(p) }
