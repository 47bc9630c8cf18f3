package size

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tinsail/internal/lab/hollow"
	history "tinsail/internal/standin/accordhistory"
)

// loadGenerator sends reqs to the real dispatchers, each to the next that takes some.
type loadGenerator struct {
	fleet   *hollow.Fleet
	stop    chan struct{}
	running sync.WaitGroup

	mu              sync.Mutex
	targets         []int // real dispatchers that are asked
	lines           []history.Line
	sent            int
	answersByStatus map[int]int // answers by status; 0: the connection broke
}

func startLoad(f *hollow.Fleet, perSecond int) *loadGenerator {
	l := &loadGenerator{fleet: f, stop: make(chan struct{}), answersByStatus: map[int]int{}}
	for i := range f.Real {
		l.targets = append(l.targets, i)
	}
	if perSecond == 0 || len(l.targets) == 0 {
		return l
	}
	client := &http.Client{Timeout: settleTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second}}
	l.running.Go(func() {
		for t := time.NewTicker(time.Second / time.Duration(perSecond)); ; {
			select {
			case <-l.stop:
				t.Stop()
				return
			case <-t.C:
				l.running.Go(func() { l.send(client) })
			}
		}
	})
	return l
}

// removeTarget has a dispatcher asked no more; join has it asked again.
func (l *loadGenerator) removeTarget(i int) {
	l.mu.Lock()
	l.targets = slices.DeleteFunc(l.targets, func(j int) bool { return i == j })
	l.mu.Unlock()
}

func (l *loadGenerator) addTarget(i int) {
	if i < len(l.fleet.Real) {
		l.mu.Lock()
		l.targets = append(l.targets, i)
		l.mu.Unlock()
	}
}

func (l *loadGenerator) close() {
	close(l.stop)
	l.running.Wait()
}

func (l *loadGenerator) send(client *http.Client) {
	l.mu.Lock()
	if len(l.targets) == 0 {
		l.mu.Unlock()
		return
	}
	l.sent++
	id := fmt.Sprintf("s-%d", l.sent)
	to := l.targets[l.sent%len(l.targets)]
	address := l.fleet.Address(to)
	l.lines = append(l.lines, history.Line{Time: time.Now().UnixNano(), Source: history.SourceClient, Req: id, Dispatcher: hollow.DispatcherName(to), Sent: true})
	l.mu.Unlock()
	status := 0
	r, err := http.NewRequest("POST", "http://"+address+"/photo/1", strings.NewReader("b"))
	if err == nil {
		r.Header.Set("X-Correlation-Id", id)
		r.Header.Set("Idempotency-Key", id)
		r.GetBody = nil // not to be sent again by itself
		var answer *http.Response
		if answer, err = client.Do(r); err == nil {
			if _, err = io.Copy(io.Discard, answer.Body); err == nil {
				status = answer.StatusCode
			}
			answer.Body.Close()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answersByStatus[status]++
	l.lines = append(l.lines, history.Line{Time: time.Now().UnixNano(), Source: history.SourceClient, Req: id, Dispatcher: hollow.DispatcherName(to), Status: status})
}

// clientHistory is that of the clients, counted into a report.
func (l *loadGenerator) clientHistory(rep *Report) []history.Line {
	rep.ReqsSent = l.sent
	for status, n := range l.answersByStatus {
		switch status {
		case http.StatusOK:
			rep.ReqsOK += n
		case 0:
			rep.ReqsBroken += n
		default:
			rep.ReqsRejected += n
		}
	}
	return l.lines
}

// attemptStarts are the attempts that the workers saw.
func attemptStarts(f *hollow.Fleet) (out []history.Line) {
	for _, b := range f.Workers.Backends() {
		for _, s := range b.AttemptStarts() {
			v, _ := strconv.ParseUint(s.Version, 10, 64) // none: 0, which the checker refuses
			out = append(out, history.Line{Time: s.At.UnixNano(), Source: history.SourceBackend, Backend: b.Name, Dispatcher: s.Dispatcher, Req: s.Req, Version: v, Started: true})
		}
	}
	return out
}
