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
	mu          sync.Mutex
	dispatchers map[string]*dispatcherState
	events      []Event // since they were last handed out

	lastDecided uint64
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

func newEvents() *eventLog { return &eventLog{dispatchers: map[string]*dispatcherState{}} }

// logWriter takes the log of a dispatcher.
func (e *eventLog) logWriter(process string) io.Writer {
	e.mu.Lock()
	s := &dispatcherState{}
	e.dispatchers[process] = s
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
				e.record(s, Event{Time: l.Time, Process: process, Name: step, Version: l.Version, Change: l.Change, Proposer: l.By, Reason: l.Why, DroppedLines: l.LeftOut})
			}
		}
		return len(p), nil
	})
}

func (e *eventLog) record(s *dispatcherState, ev Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, ev)
	switch ev.Name {
	case "in force":
		s.Version = ev.Version
	case "serving":
		s.Serves, s.Version = true, ev.Version
	case "fenced":
		s.Serves = false
	case "decided":
		e.lastDecided = max(e.lastDecided, ev.Version)
	case "leads":
		s.Leads = true
	case "leads no more":
		s.Leads = false
	}
}

// recordRig notes what is done to a process.
func (e *eventLog) recordRig(process, what string) {
	e.mu.Lock()
	e.events = append(e.events, Event{Time: time.Now(), Process: process, Name: what, FromRig: true})
	e.mu.Unlock()
}

// recordEnd forgets a dispatcher that has ended.
func (e *eventLog) recordEnd(process string) {
	e.mu.Lock()
	delete(e.dispatchers, process)
	e.events = append(e.events, Event{Time: time.Now(), Process: process, Name: ProcessEnded, FromRig: true})
	e.mu.Unlock()
}

func (e *eventLog) servingCount(version uint64) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.dispatchers {
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
		if s := f.events.dispatchers[DispatcherName(i)]; s != nil && s.Leads {
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
	s := f.events.dispatchers[DispatcherName(voter)]
	return s != nil && s.Leads
}

// LastDecided is the highest version that a voter told as decided.
func (f *Fleet) LastDecided() uint64 {
	f.events.mu.Lock()
	defer f.events.mu.Unlock()
	return f.events.lastDecided
}

// RecordRigEvent notes among the events what is done to a process, or with no name to the fleet.
func (f *Fleet) RecordRigEvent(process, what string) { f.events.recordRig(process, what) }

// TakeEvents hands out what was heard since it was last called.
func (f *Fleet) TakeEvents() []Event {
	f.events.mu.Lock()
	defer f.events.mu.Unlock()
	log := f.events.events
	f.events.events = nil
	return log
}

type writerFunc func([]byte) (int, error)

func (w writerFunc) Write(p []byte) (int, error) { return w(p) }
