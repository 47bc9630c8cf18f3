package hollow

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"time"
)

// eventLog collects the accord events in the dispatchers' logs and tracks the state of each dispatcher.
type eventLog struct {
	mu          sync.Mutex
	dispatchers map[string]*dispatcherState
	events      []Event // since the last Fleet.TakeEvents

	lastDecided uint64 // the highest decided version
}

// Event is an event of the accord at a dispatcher, or something that the test rig did to it.
type Event struct {
	Time             time.Time // of the log line, or of its receipt if the line has no time
	Process          string
	Name             string // of the accord's log line without "accord: ", or the rig's
	Version          uint64
	Change           string
	Proposer, Reason string
	FromRig          bool // recorded by the rig, not logged by the process
	DroppedLines     int  // lines of this event that the process's log limiter dropped before this one
}

// Names of the rig's events that a Fleet records itself.
const (
	ProcessStarted = "began"
	ProcessEnded   = "ended"
)

// dispatcherState is the state of a running dispatcher, according to its log.
type dispatcherState struct {
	Version uint64 // in force at it
	Serves  bool
	Leads   bool
}

func newEventLog() *eventLog { return &eventLog{dispatchers: map[string]*dispatcherState{}} }

// logWriter returns the writer for the log of a dispatcher that starts now. It takes JSON lines, whole ones in each
// call, and skips all that aren't events of the accord.
func (e *eventLog) logWriter(process string) io.Writer {
	e.mu.Lock()
	state := &dispatcherState{}
	e.dispatchers[process] = state
	e.mu.Unlock()
	return writerFunc(func(data []byte) (int, error) {
		for text := range bytes.Lines(data) {
			var line struct {
				Time                            time.Time
				Event, Message, Change, By, Why string
				Version                         uint64
				LeftOut                         int `json:"left_out"`
			}
			if json.Unmarshal(text, &line) != nil {
				continue
			}
			name, ok := strings.CutPrefix(line.Event+line.Message, "accord: ")
			if ok {
				if line.Time.IsZero() { // a hollow dispatcher's lines have no time; they arrive as they are logged
					line.Time = time.Now()
				}
				e.record(state, Event{Time: line.Time, Process: process, Name: name, Version: line.Version, Change: line.Change, Proposer: line.By, Reason: line.Why, DroppedLines: line.LeftOut})
			}
		}
		return len(data), nil
	})
}

// record adds an event and applies it to the state of its dispatcher.
func (e *eventLog) record(state *dispatcherState, event Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, event)
	switch event.Name {
	case "in force":
		state.Version = event.Version
	case "serving":
		state.Serves, state.Version = true, event.Version
	case "fenced":
		state.Serves = false
	case "decided":
		e.lastDecided = max(e.lastDecided, event.Version)
	case "leads":
		state.Leads = true
	case "leads no more":
		state.Leads = false
	}
}

// recordRig adds an event of the rig.
func (e *eventLog) recordRig(process, name string) {
	e.mu.Lock()
	e.events = append(e.events, Event{Time: time.Now(), Process: process, Name: name, FromRig: true})
	e.mu.Unlock()
}

// recordEnd adds the end of a dispatcher and drops its state.
func (e *eventLog) recordEnd(process string) {
	e.mu.Lock()
	delete(e.dispatchers, process)
	e.events = append(e.events, Event{Time: time.Now(), Process: process, Name: ProcessEnded, FromRig: true})
	e.mu.Unlock()
}

// servingCount returns the number of dispatchers that serve by version or a later one.
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

// Leader returns the number of the voter that leads according to its log, or -1 if none or more than one does.
func (f *Fleet) Leader() int {
	f.eventLog.mu.Lock()
	defer f.eventLog.mu.Unlock()
	leader := -1
	for i := range Regions {
		if s := f.eventLog.dispatchers[DispatcherName(i)]; s != nil && s.Leads {
			if leader >= 0 {
				return -1
			}
			leader = i
		}
	}
	return leader
}

// IsLeader reports whether a voter leads according to its log.
func (f *Fleet) IsLeader(voter int) bool {
	f.eventLog.mu.Lock()
	defer f.eventLog.mu.Unlock()
	s := f.eventLog.dispatchers[DispatcherName(voter)]
	return s != nil && s.Leads
}

// LastDecided returns the highest version that a voter has logged as decided.
func (f *Fleet) LastDecided() uint64 {
	f.eventLog.mu.Lock()
	defer f.eventLog.mu.Unlock()
	return f.eventLog.lastDecided
}

// RecordRigEvent adds an event of the rig that concerns a process, or the whole fleet if process is empty.
func (f *Fleet) RecordRigEvent(process, name string) { f.eventLog.recordRig(process, name) }

// TakeEvents returns the events since its last call.
func (f *Fleet) TakeEvents() []Event {
	f.eventLog.mu.Lock()
	defer f.eventLog.mu.Unlock()
	events := f.eventLog.events
	f.eventLog.events = nil
	return events
}

type writerFunc func([]byte) (int, error)

func (w writerFunc) Write(p []byte) (int, error) { return w(p) }
