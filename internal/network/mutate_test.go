package network

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/counters"
	"tinsail/internal/mutate"
	"tinsail/internal/platform"
)

// mutationSystem is a dispatcher without its fronts, on pipes: the real core and dispatch module, pool, links and director's
// watch. What its peers write are the messages to mutate. A message's To is the connection, for example s1/2 for the second one
// made to backend s1. Requests are of a class that must never run twice, unless safe.
type mutationSystem struct {
	*fixture
	reqs         int  // how many
	safe         bool // requests may run twice, and two attempts may be in flight together
	watched      bool // the list of backends must be right in the end
	start        time.Time
	stop         chan struct{}
	nextReqIndex int
	arrivals     map[string]int // complete requests that reached backends, by id
	calls        map[string]int // to the director, on each of its connections
	waiting      map[string]int // connections of the director on which a watch waits, and the version it has
	mu           sync.Mutex
	answers      map[string][]core.Answer
	violation    error
}

// reqScripts are the kinds of requests, used in turn; each says what backends do with it.
var reqScripts = []string{"started running done", "done", "unprocessed", "failed", "returned", "lost", "broken", "500", "silent", "done load", "slow done"}

const (
	defaultReqs  = 30 // unless stated otherwise
	reqInterval  = 20 * time.Millisecond
	firstReqAt   = 100 * time.Millisecond // the first request
	tickInterval = 10 * time.Millisecond
)

func reqScript(id string) string {
	var n int
	fmt.Sscanf(id, "r%02d", &n)
	return reqScripts[n%len(reqScripts)]
}

func newMutationWorld(t *testing.T, reqs int, safe, watched bool) *mutationSystem {
	s := balance.Settings{Seed: 1, Instances: 1, Zones: 1, Kinds: 1, MaxAttempts: 3, MayCancel: true,
		TellsStart: true, ConnectTimeout: 120, Tick: 2, Subscribe: true,
		Rules:   balance.Rules{AnswerSlack: 8, AskEvery: 10000, FallMultiple: 3, FallWindow: 2000, StartCapacity: 0.31, WarmAfter: 9000, DrainGrace: 500},
		Classes: []balance.Class{{Worth: 1, Aim: 120, Stretch: 2, Deadline: 5000, Kind: -1, Effect: balance.Unsafe}}}
	if safe {
		s.MayDuplicate, s.Classes[0].Effect = true, balance.Safe
	}
	names := &platform.Names{Classes: []string{"ingest"}, RequiresKey: []bool{true}, Deadlines: []time.Duration{5 * time.Second}, Columns: []string{"x0"}}
	w := &mutationSystem{reqs: reqs, safe: safe, watched: watched, fixture: &fixture{t: t, count: &counters.Set{}, peers: map[string]*peer{}, refusedDials: map[string]bool{}, dialDelays: map[string]time.Duration{}, dialCounts: map[string]int{}},
		start: time.Now(), stop: make(chan struct{}), arrivals: map[string]int{}, calls: map[string]int{}, waiting: map[string]int{}, answers: map[string][]core.Answer{}}
	w.pool = &Pool{Names: names, Count: w.count, ConnectTimeout: 120 * time.Millisecond, IdleTimeout: 7 * time.Second, MaxConnections: 50, Dial: w.dial}
	w.director = &Director{Names: names, Count: w.count, Address: "d", Timings: PollTimings(10 * time.Second), Dial: w.dial, Stop: w.stop}
	var err error
	if w.core, err = core.New(s, w.pool, w.director, w.count); err != nil {
		t.Fatal(err)
	}
	w.director.OnList = w.core.HandleList
	w.director.SetIndex(41)
	w.core.HandleList(balance.ListCached, newEntries(balance.Ready, "s1", "s2"))
	go w.core.Run(w.stop)
	return w
}

// shutdown ends everything that the run began.
func (w *mutationSystem) shutdown() {
	w.fixture.mu.Lock()
	for _, n := range w.Nodes() {
		name, _, _ := strings.Cut(n, "/")
		w.refusedDials[name] = true
	}
	for _, p := range w.peers {
		p.conn.Close()
	}
	w.fixture.mu.Unlock()
	time.Sleep(10 * time.Second)
	close(w.stop)
	synctest.Wait()
}

func (w *mutationSystem) Nodes() []string {
	return []string{"us", "s1/1", "s1/2", "s2/1", "s2/2", "s2/3", "d/1"}
}

// advance moves the clock on to a time of the run, and waits until all goroutines wait.
func (w *mutationSystem) advance(now time.Duration) {
	time.Sleep(time.Until(w.start.Add(now)))
	synctest.Wait()
}

func (w *mutationSystem) Tick(now time.Duration, node string) (out []mutate.Message) {
	if node != "us" {
		return nil
	}
	w.advance(now)
	for w.nextReqIndex < w.reqs && now >= firstReqAt+time.Duration(w.nextReqIndex)*reqInterval {
		w.takeReq(fmt.Sprintf("r%02d", w.nextReqIndex))
		w.nextReqIndex++
	}
	synctest.Wait()
	w.fixture.mu.Lock()
	var conns []string
	for _, host := range []string{"s1", "s2", "d"} {
		for i := range w.dialCounts[host] {
			conns = append(conns, fmt.Sprint(host, "/", i+1))
		}
	}
	w.fixture.mu.Unlock()
	for _, c := range conns {
		for q := w.nextReq(c); q != nil; q = w.nextReq(c) {
			if c[0] == 'd' {
				w.waiting[c] = w.parseWatch(q)
			} else {
				out = append(out, w.backendReplies(c, q)...)
			}
		}
		if since, ok := w.waiting[c]; ok && since < w.listVersion(now) {
			delete(w.waiting, c)
			out = append(out, w.directorReply(c, since, now)...)
		}
	}
	return out
}

func (w *mutationSystem) takeReq(id string) {
	left := 500 * time.Millisecond
	if reqScript(id) == "silent" {
		left = 150 * time.Millisecond
	}
	job := &core.Job{Method: "POST", Target: "/ingest", ID: id, Body: []byte("photo " + id)}
	w.core.Submit(balance.Request{Slots: 1}, job, time.Now(), left, mutationClient{w, id})
}

type mutationClient struct {
	w  *mutationSystem
	id string
}

// Answer checks a request's answers: one only, and no result but its own.
func (c mutationClient) Answer(a core.Answer) {
	w := c.w
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers[c.id] = append(w.answers[c.id], a)
	if len(w.answers[c.id]) > 1 {
		w.violation = fmt.Errorf("%s has the answers %v, want one", c.id, w.answers[c.id])
	}
	if a.Kind == core.Result && (a.Result != "result-"+c.id || !scriptServes(c.id)) {
		w.violation = fmt.Errorf("%s was given the result %q", c.id, a.Result)
	}
}

// scriptServes reports whether any backend ever says "done" for a request.
func scriptServes(id string) bool {
	return strings.Contains(reqScript(id), "done") || scriptReturns(id)
}

// scriptReturns reports whether the first backend hands the request back: only then may another see it.
func scriptReturns(id string) bool {
	return reqScript(id) == "unprocessed" || reqScript(id) == "returned"
}

// nextReq returns the next complete request that has arrived on a connection, or nil.
func (w *mutationSystem) nextReq(conn string) *http.Request {
	w.fixture.mu.Lock()
	p := w.peers[conn]
	w.fixture.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.received) == 0 {
		return nil
	}
	src := bytes.NewReader(p.received)
	r := bufio.NewReader(src)
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	body := make([]byte, max(q.ContentLength, 0))
	if n, _ := r.Read(body); n < len(body) {
		return nil
	}
	p.received = p.received[len(p.received)-src.Len()-r.Buffered():]
	return q
}

// backendReplies returns what a backend writes for a request.
func (w *mutationSystem) backendReplies(conn string, q *http.Request) (out []mutate.Message) {
	id := q.Header.Get("X-Correlation-Id")
	w.arrivals[id]++
	kind := reqScript(id)
	if w.arrivals[id] > 1 {
		if !w.safe && !scriptReturns(id) && w.violation == nil {
			w.violation = fmt.Errorf("%s was sent again although it may have run", id)
		}
		if kind = "done"; reqScript(id) == "slow done" {
			kind = reqScript(id)
		} else if !scriptServes(id) { // a repeat would fail too
			kind = "failed"
		}
	}
	host, _, _ := strings.Cut(conn, "/")
	delay := time.Millisecond
	write := func(b string) {
		out = append(out, mutate.Message{From: host, To: conn, Bytes: []byte(b), Delay: delay})
		delay += time.Millisecond
	}
	line := func(rest string) {
		l := fmt.Sprintf(`{"id":"%s","from":"%s",%s}`+"\n", id, host, rest)
		write(fmt.Sprintf("%x\r\n%s\r\n", len(l), l))
	}
	switch kind {
	case "silent":
		return nil
	case "unprocessed":
		write("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nX-Backend-Load: {\"x0\":3}\r\nContent-Length: 0\r\n\r\n")
		return out
	case "500":
		write("HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nno")
		return out
	}
	write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, word := range strings.Fields(kind) {
		switch word {
		case "slow":
			delay += 200 * time.Millisecond
		case "running":
			line(`"state":"running","share":0.4`)
		case "done":
			load := ""
			if strings.HasSuffix(kind, "load") {
				load = `,"load":{"x0":2}`
			}
			line(`"state":"done","result":"result-` + id + `"` + load)
		case "broken":
			write(closeMarker)
			return out
		case "load":
		default:
			line(`"state":"` + word + `"`)
		}
	}
	write("0\r\n\r\n")
	return out
}

// closeMarker is the message by which a peer closes its connection.
const closeMarker = "(hang up)"

// listVersion returns the version of the list: s3 is in it at first and removed later; s2 drains for a while. The dispatch
// module subscribes half a second after its start.
func (w *mutationSystem) listVersion(now time.Duration) int {
	switch {
	case now < 800*time.Millisecond:
		return 42
	case now < 1100*time.Millisecond:
		return 43
	}
	return 44
}

// parseWatch returns the version that a call to the director names, -1 if it asks for the whole list.
func (w *mutationSystem) parseWatch(q *http.Request) int {
	since := -1
	fmt.Sscan(q.URL.Query().Get("since"), &since)
	return since
}

// directorReply answers a call.
func (w *mutationSystem) directorReply(conn string, since int, now time.Duration) []mutate.Message {
	index := w.listVersion(now)
	entry := func(name, status string) string {
		return fmt.Sprintf("\n  {\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"a\",\"type\":\"m\",\"group\":1,\"status\":\"%s\",\"weight\":4.0,\"since_ms\":0}", name, name, status)
	}
	s2 := "Ready"
	if index == 43 {
		s2 = "Terminating"
	}
	s3 := "Terminating"
	if w.watched {
		s3 = "Ready"
	}
	full := since < index-1 // only changes of the version before are kept
	body := entry("s1", "Ready") + "," + entry("s2", s2)
	if index == 42 {
		body += "," + entry("s3", s3)
	} else if !full {
		body = `{"name":"s3","status":"Gone"},` + entry("s2", s2)
	}
	text := fmt.Sprintf("{\"index\":%d,\"snapshot\":%v,\"endpoints\":[%s]}", index, full, body)
	return []mutate.Message{{From: "d", To: conn, Bytes: fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text)), Delay: time.Millisecond},
		{From: "d", To: conn, Bytes: []byte(text), Delay: 2 * time.Millisecond}}
}

func (w *mutationSystem) Deliver(now time.Duration, m mutate.Message) []mutate.Message {
	w.advance(now)
	w.fixture.mu.Lock()
	p := w.peers[m.To]
	w.fixture.mu.Unlock()
	if p == nil {
		return nil
	}
	if string(m.Bytes) == closeMarker {
		p.conn.Close()
	} else if len(m.Bytes) > 0 {
		p.conn.SetWriteDeadline(time.Now().Add(time.Microsecond)) // unrequested bytes may have no reader
		p.conn.Write(m.Bytes)
	}
	synctest.Wait()
	return nil
}

func (w *mutationSystem) CheckInvariants(time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watched && w.core.ReadyBackends() == 0 { // s1 is ready in every list
		return fmt.Errorf("no backend is ready")
	}
	return w.violation
}

// CheckEndState checks that each request had its answer, nothing of any is kept, and the last requests that can be served were.
func (w *mutationSystem) CheckEndState(now time.Duration) error {
	w.advance(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.reqs {
		id := fmt.Sprintf("r%02d", i)
		if len(w.answers[id]) != 1 {
			return fmt.Errorf("%s has the answers %v, want one", id, w.answers[id])
		}
		if i >= w.reqs-len(reqScripts) && scriptServes(id) && w.answers[id][0].Kind != core.Result {
			return fmt.Errorf("%s was not served: %v", id, w.answers[id])
		}
	}
	if ready := w.core.ReadyBackends(); w.watched && ready != 2 {
		return fmt.Errorf("%d backends are ready, 2 should be", ready)
	}
	if open := w.core.OpenReqs(); open != 0 {
		return fmt.Errorf("%d requests are open", open)
	}
	return nil
}

func excuseMutation(p mutate.Mutation, of, as mutate.Message) string {
	const key = `"result":"`
	switch at := bytes.Index(of.Bytes, []byte(key)); {
	case p.Kind == mutate.Corrupted && at >= 0 && len(of.Bytes) == len(as.Bytes):
		from := at + len(key)
		to := from + bytes.IndexByte(of.Bytes[from:], '"')
		if bytes.Equal(of.Bytes[:from], as.Bytes[:from]) && bytes.Equal(of.Bytes[to:], as.Bytes[to:]) {
			return "a byte of the result itself: the protocol has no sum of it"
		}
	case (p.Kind == mutate.Replayed || p.Kind == mutate.Misrouted) && bytes.Contains(as.Bytes, []byte("X-Unprocessed: 1")):
		return "a head names no req: another's 'never ran' reads as this one's"
	}
	return ""
}

func newSetup(t *testing.T, name string, reqs int, safe, watched bool) mutate.Setup {
	var now *mutationSystem
	return mutate.Setup{Name: "network " + name, Seed: 1, TickInterval: tickInterval, FaultsUntil: firstReqAt + time.Duration(max(reqs-len(reqScripts)-2, 0))*reqInterval,
		Duration: firstReqAt + time.Duration(reqs)*reqInterval + 800*time.Millisecond, ExtraDelay: 50 * time.Millisecond,
		Kinds: mutate.StreamKinds, MaxSplits: 3, Exclude: excuseMutation,
		Build:   func(uint64) mutate.System { now = newMutationWorld(t, reqs, safe, watched); return now },
		WrapRun: func(play func()) { synctest.Test(t, func(*testing.T) { play(); now.shutdown() }) }}
}

// TestAttemptsUnderMutation: whatever is mutated in one write of a backend or of the director, each request has exactly one
// final answer, no result but its own, and is sent again only where it is proven never to have run. Later requests are
// served.
func TestAttemptsUnderMutation(t *testing.T) {
	s := newSetup(t, "unsafe", defaultReqs, false, false)
	s.MaxRuns = 150
	assert.Positive(t, mutate.Test(t, s).Runs)
	s = newSetup(t, "safe", defaultReqs, true, false)
	s.MaxRuns = 45
	assert.Positive(t, mutate.Test(t, s).Runs)
}

// TestWatchUnderMutation: whatever is mutated in one write of the director, the list is right in the end: after at most one
// call that is never answered and the call after it.
func TestWatchUnderMutation(t *testing.T) {
	s := newSetup(t, "watch", 0, false, true)
	s.FaultsUntil, s.Duration, s.TickInterval = 2*time.Second, 20*time.Second, 50*time.Millisecond
	s.MaxVariants = 5
	s.Exclude = func(p mutate.Mutation, of, as mutate.Message) string {
		if p.Kind == mutate.Corrupted && json.Valid(as.Bytes) {
			return "a list that reads as one: the protocol has no sum of it"
		}
		return excuseMutation(p, of, as)
	}
	assert.Positive(t, mutate.Test(t, s).Runs)
}
