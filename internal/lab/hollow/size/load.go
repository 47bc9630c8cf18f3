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

// loadGenerator sends reqs at a fixed rate to the real dispatchers in turn, leaving out those that are being restarted.
type loadGenerator struct {
	fleet   *hollow.Fleet
	stop    chan struct{}
	running sync.WaitGroup

	mu              sync.Mutex
	targets         []int          // numbers of the real dispatchers that get reqs
	lines           []history.Line // the clients' part of the history
	sent            int
	answersByStatus map[int]int // status 0: no answer
}

// startLoad starts a load of reqsPerSecond. The caller must call close.
func startLoad(fleet *hollow.Fleet, reqsPerSecond int) *loadGenerator {
	l := &loadGenerator{fleet: fleet, stop: make(chan struct{}), answersByStatus: map[int]int{}}
	for i := range fleet.Real {
		l.targets = append(l.targets, i)
	}
	if reqsPerSecond == 0 || len(l.targets) == 0 {
		return l
	}
	client := &http.Client{Timeout: settleTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second}}
	l.running.Go(func() {
		for ticker := time.NewTicker(time.Second / time.Duration(reqsPerSecond)); ; {
			select {
			case <-l.stop:
				ticker.Stop()
				return
			case <-ticker.C:
				l.running.Go(func() { l.send(client) })
			}
		}
	})
	return l
}

// removeTarget stops sending to dispatcher i. Reqs already sent continue.
func (l *loadGenerator) removeTarget(i int) {
	l.mu.Lock()
	l.targets = slices.DeleteFunc(l.targets, func(j int) bool { return i == j })
	l.mu.Unlock()
}

// addTarget sends to dispatcher i again, if it is a real one.
func (l *loadGenerator) addTarget(i int) {
	if i < len(l.fleet.Real) {
		l.mu.Lock()
		l.targets = append(l.targets, i)
		l.mu.Unlock()
	}
}

// close stops the load and waits for the reqs sent so far.
func (l *loadGenerator) close() {
	close(l.stop)
	l.running.Wait()
}

// send sends one req to the next target and records it and its status.
func (l *loadGenerator) send(client *http.Client) {
	l.mu.Lock()
	if len(l.targets) == 0 {
		l.mu.Unlock()
		return
	}
	l.sent++
	id := fmt.Sprintf("s-%d", l.sent)
	target := l.targets[l.sent%len(l.targets)]
	address := l.fleet.Address(target)
	l.lines = append(l.lines, history.Line{Time: time.Now().UnixNano(), Source: history.SourceClient, Req: id, Dispatcher: hollow.DispatcherName(target), Sent: true})
	l.mu.Unlock()
	status := 0
	request, err := http.NewRequest("POST", "http://"+address+"/photo/1", strings.NewReader("b"))
	if err == nil {
		request.Header.Set("X-Correlation-Id", id)
		request.Header.Set("Idempotency-Key", id)
		request.GetBody = nil // keeps the HTTP transport from sending the req again by itself
		var answer *http.Response
		if answer, err = client.Do(request); err == nil {
			if _, err = io.Copy(io.Discard, answer.Body); err == nil {
				status = answer.StatusCode
			}
			answer.Body.Close()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answersByStatus[status]++
	l.lines = append(l.lines, history.Line{Time: time.Now().UnixNano(), Source: history.SourceClient, Req: id, Dispatcher: hollow.DispatcherName(target), Status: status})
}

// clientHistory returns the clients' part of the history and enters its counts in the report. It must be called after
// close.
func (l *loadGenerator) clientHistory(report *Report) []history.Line {
	report.ReqsSent = l.sent
	for status, n := range l.answersByStatus {
		switch status {
		case http.StatusOK:
			report.ReqsOK += n
		case 0:
			report.ReqsBroken += n
		default:
			report.ReqsRejected += n
		}
	}
	return l.lines
}

// attemptStarts returns the workers' part of the history: the attempts that they received.
func attemptStarts(fleet *hollow.Fleet) (lines []history.Line) {
	for _, b := range fleet.Workers.Backends() {
		for _, s := range b.AttemptStarts() {
			version, _ := strconv.ParseUint(s.Version, 10, 64) // 0 if the attempt has none, which the history check reports
			lines = append(lines, history.Line{Time: s.At.UnixNano(), Source: history.SourceBackend, Backend: b.Name, Dispatcher: s.Dispatcher, Req: s.Req, Version: version, Started: true})
		}
	}
	return lines
}
