package network

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/faultnet"
	"tinsail/internal/platform"
	standin "tinsail/internal/standin/platform"
)

// directorFixture runs the director's driver alone, on the fake clock, between a stand-in of discovery and a recorder of what
// the driver reports.
type directorFixture struct {
	discovery *standin.Director
	seat      *standin.DirectorListener
	terms     standin.ProcessInfo

	mu          sync.Mutex
	refuseDials bool
	dials       map[int64]int        // by second
	firstSeen   map[string]time.Time // NAME/STATE, when it was first reported
}

// runDirector runs play with a watch of a stand-in. With pushed it is that of an agent that pushes lists; no AskEvery is
// configured there.
func runDirector(t *testing.T, pushed bool, play func(w *directorFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &directorFixture{firstSeen: map[string]time.Time{}, dials: map[int64]int{}}
		pipes := faultnet.ListenPipe("d")
		w.discovery = standin.NewDirector(faultnet.ListenPipe("unused"))
		w.seat = w.discovery.AddListener(pipes, pushed)
		for i := range 4 {
			w.setStatus(i, "Ready")
		}
		stop := make(chan struct{})
		dir := &Director{Names: &platform.Names{}, Count: &counters.Set{}, Address: "d", Stop: stop, Timings: AgentTimings()}
		w.terms = standin.ProcessInfo{StartedAt: time.Now()}
		if !pushed {
			w.terms.PollInterval = 10 * time.Second
			dir.Timings = PollTimings(w.terms.PollInterval)
		}
		dir.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			if w.countDial() {
				return nil, syscall.ECONNREFUSED
			}
			return pipes.Dial(ctx, address)
		}
		dir.OnList = func(_ balance.ListKind, list []core.Entry) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, e := range list {
				if k := fmt.Sprint(e.Name, "/", e.State); w.firstSeen[k].IsZero() {
					w.firstSeen[k] = time.Now()
				}
			}
		}
		dir.Subscribe()
		play(w)
		close(stop)
		w.discovery.Close()
		time.Sleep(time.Minute) // everything that waits gives up
	})
}

// maxUnthrottledDials is how many connections in a second are made without a sleep: a loop without a pause would never let the
// fake clock advance.
const maxUnthrottledDials = 200

// countDial counts a connection, and reports whether it is refused.
func (w *directorFixture) countDial() bool {
	w.mu.Lock()
	second := time.Now().Unix()
	w.dials[second]++
	n, refuse := w.dials[second], w.refuseDials
	w.mu.Unlock()
	if n > maxUnthrottledDials {
		time.Sleep(time.Second)
	}
	return refuse
}

func (w *directorFixture) setStatus(i int, status string) standin.Change {
	name := fmt.Sprint("b", i)
	return w.discovery.Set(standin.Entry{Name: name, Address: name, Status: status, Weight: 4})
}

// lateness returns how much later a change arrived than a drain may take effect; a change that never arrived counts as an hour
// late.
func (w *directorFixture) lateness(c standin.Change) time.Duration {
	state := balance.Ready
	if c.Status == "Terminating" {
		state = balance.Draining
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.firstSeen[fmt.Sprint(c.Name, "/", state)]
	if at.IsZero() {
		return time.Hour
	}
	return at.Sub(w.seat.PublishedAt(c, w.terms)) - 500*time.Millisecond
}

// setOutage begins or ends an outage.
func (w *directorFixture) setOutage(on, refused bool) {
	w.seat.SetOutage(on)
	w.mu.Lock()
	w.refuseDials = on && refused
	w.mu.Unlock()
}

// TestIndentedList: an indented list is read like any other.
func TestIndentedList(t *testing.T) {
	runDirector(t, false, func(w *directorFixture) {
		time.Sleep(time.Second)
		w.discovery.SetIndent(true)
		c := w.setStatus(2, "Terminating")
		time.Sleep(time.Second)
		assert.LessOrEqual(t, w.lateness(c), time.Duration(0))
	})
}
