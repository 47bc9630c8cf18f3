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
type watched struct {
	d     *standin.Director
	seat  *standin.Seat
	terms standin.Terms

	mu     sync.Mutex
	refuse bool
	dials  map[int64]int        // by second
	heard  map[string]time.Time // NAME/STATE, when it was first reported
}

// runDirector runs play with a watch of a stand-in. With pushed it is that of an agent that pushes lists; no AskEvery is
// configured there.
func watching(t *testing.T, pushed bool, play func(w *watched)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &watched{heard: map[string]time.Time{}, dials: map[int64]int{}}
		pipes := faultnet.ListenPipes("d")
		w.d = standin.NewDirector(faultnet.ListenPipes("unused"))
		w.seat = w.d.Seat(pipes, pushed)
		for i := range 4 {
			w.set(i, "Ready")
		}
		stop := make(chan struct{})
		dir := &Director{Names: &platform.Names{}, Count: &counters.Set{}, Address: "d", Stop: stop, Timings: AgentTimings()}
		w.terms = standin.Terms{Began: time.Now()}
		if !pushed {
			w.terms.AskEvery = 10 * time.Second
			dir.Timings = PollTimings(w.terms.AskEvery)
		}
		dir.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			if w.dialled() {
				return nil, syscall.ECONNREFUSED
			}
			return pipes.Dial(ctx, address)
		}
		dir.OnList = func(_ balance.ListKind, list []core.Entry) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, e := range list {
				if k := fmt.Sprint(e.Name, "/", e.State); w.heard[k].IsZero() {
					w.heard[k] = time.Now()
				}
			}
		}
		dir.Subscribe()
		play(w)
		close(stop)
		w.d.Close()
		time.Sleep(time.Minute) // everything that waits gives up
	})
}

// maxUnthrottledDials is how many connections in a second are made without a sleep: a loop without a pause would never let the
// fake clock advance.
const hotMost = 200

// countDial counts a connection, and reports whether it is refused.
func (w *watched) dialled() bool {
	w.mu.Lock()
	second := time.Now().Unix()
	w.dials[second]++
	n, refuse := w.dials[second], w.refuse
	w.mu.Unlock()
	if n > hotMost {
		time.Sleep(time.Second)
	}
	return refuse
}

func (w *watched) set(i int, status string) standin.Change {
	name := fmt.Sprint("b", i)
	return w.d.Set(standin.Entry{Name: name, Address: name, Status: status, Weight: 4})
}

// lateness returns how much later a change arrived than a drain may take effect; a change that never arrived counts as an hour
// late.
func (w *watched) late(c standin.Change) time.Duration {
	state := balance.Ready
	if c.Status == "Terminating" {
		state = balance.Draining
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.heard[fmt.Sprint(c.Name, "/", state)]
	if at.IsZero() {
		return time.Hour
	}
	return at.Sub(w.seat.Told(c, w.terms)) - 500*time.Millisecond
}

// setOutage begins or ends an outage.
func (w *watched) out(on, refused bool) {
	w.seat.Outage(on)
	w.mu.Lock()
	w.refuse = on && refused
	w.mu.Unlock()
}

// TestIndentedList: an indented list is read like any other.
func TestIndentedList(t *testing.T) {
	watching(t, false, func(w *watched) {
		time.Sleep(time.Second)
		w.d.Indent(true)
		c := w.set(2, "Terminating")
		time.Sleep(time.Second)
		assert.LessOrEqual(t, w.late(c), time.Duration(0))
	})
}
