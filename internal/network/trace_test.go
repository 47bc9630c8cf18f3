package network

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/guard"
)

// TestCloseUnansweredCounted: a session that this side closes with a request that was read and not answered is counted. One
// whose client closed it, or asked for the close, is not.
func TestCloseUnansweredCounted(t *testing.T) {
	whole := "POST /photo/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: a\r\nContent-Length: 1\r\n\r\nb"
	for name, c := range map[string]struct {
		owed, itself bool
		behind       string
		ending       core.Ending
		want         int64
	}{
		"nothing owed":              {ending: core.SessionShed},
		"owed":                      {owed: true, ending: core.SessionDone, want: 1},
		"owed, shed":                {owed: true, ending: core.SessionShed, want: 1},
		"owed, its client gone":     {owed: true, ending: core.ClientClosed},
		"read behind, shed":         {behind: whole, ending: core.SessionShed, want: 1},
		"read behind, told to end":  {behind: whole, ending: core.SessionDone, want: 1},
		"read behind its own close": {behind: whole, itself: true, ending: core.SessionDone},
		"half read behind":          {behind: whole[:20], ending: core.SessionShed},
		"a check of health behind":  {behind: "GET / HTTP/1.1\r\n\r\n", ending: core.SessionShed},
	} {
		r := &guard.Recorder{}
		s := &session{sessionState: sessionState{guard: r, answerPending: c.owed}, clients: &Clients{}, clientEnds: c.itself}
		s.parser.Filled(copy(s.parser.Space(), c.behind))
		s.checkUnanswered(c.ending)
		assert.Equal(t, c.want, r.Violations(guard.ClosedUnanswered), name)
	}
}

// TestReadyAfterEndCounted: a health check answered with "ready" after the process decided to end is counted.
func TestReadyAfterEndCounted(t *testing.T) {
	runScenario(t, newEntries(balance.Ready, "s1"), 9, func(w *fixture) {
		r := &guard.Recorder{}
		w.clients.Guard = r
		status, _ := w.clients.statusResponse("GET", "/health/ready")
		assert.Equal(t, 200, status)
		assert.Zero(t, r.Violations(guard.ReadyAfterShutdown))
		r.MarkShutdown(time.Now()) // while its directives do not say so
		_, _ = w.clients.statusResponse("GET", "/health/ready")
		assert.EqualValues(t, 1, r.Violations(guard.ReadyAfterShutdown))
	})
}
