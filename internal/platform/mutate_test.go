package platform

import (
	"bufio"
	"bytes"
	stdjson "encoding/json"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
	"tinsail/internal/core"
	"tinsail/internal/mutate"
)

// said is what a backend sends for one req, each string a write of its own, and how that must end.
type said struct {
	id     string
	writes []string
	ending core.Ending
	result string
}

func chunkOf(line string) string { return sized(line+"\n", "") }

func sized(text, ext string) string { return fmt.Sprintf("%x%s\r\n%s\r\n", len(text), ext, text) }

func saidLines(id string, ending core.Ending, result string, lines ...string) said {
	s := said{id: id, ending: ending, result: result, writes: []string{"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n"}}
	for _, l := range lines {
		s.writes = append(s.writes, chunkOf(strings.ReplaceAll(l, "ID", id)))
	}
	s.writes = append(s.writes, "0\r\n\r\n")
	return s
}

// dialogues are what two backends say on a connection each: every row of the protocol's table.
var dialogues = map[string][]said{
	"c1": {
		saidLines("9b1f03aa", core.Served, "one", `{"id":"ID","from":"s-1","state":"started"}`,
			`{"id":"ID","from":"s-1","state":"running","share":0.4}`, `{"id":"ID","from":"s-1","state":"done","result":"one"}`),
		{id: "9b1f03ab", ending: core.Returned, writes: []string{"HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nX-Backend-Load: {\"x0\":7}\r\nContent-Length: 0\r\n\r\n"}},
		saidLines("9b1f03ac", core.Failed, "", `{"id":"ID","from":"s-1","state":"started"}`, `{"id":"ID","from":"s-1","state":"failed"}`),
		saidLines("9b1f03ad", core.Lost, "", `{"id":"ID","from":"s-1","state":"lost"}`),
		saidLines("9b1f03ae", core.Served, "two", `{"id":"ID","from":"s-1","state":"done","load":{"x0":2.5},"result":"two"}`),
	},
	"c2": {
		saidLines("a7000001", core.Returned, "", `{"id":"ID","from":"s-2","state":"returned"}`),
		saidLines("a7000002", core.Served, "three", `{"id":"ID","from":"s-2","state":"started"}`, `{"id":"ID","from":"s-2","state":"done","result":"three"}`),
		{id: "a7000003", ending: core.Failed, writes: []string{"HTTP/1.1 500 Error\r\nContent-Length: 3\r\n\r\n", "out"}},
		{id: "a7000004", ending: core.Failed, writes: []string{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}},
		{id: "a7000006", ending: core.Served, result: "a line in two chunks", writes: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
			sized(`{"id":"a7000006","state":"d`, ""), sized(`one","result":"a line in two chunks"`, ";x=y"), sized("}\n", "") + "0\r\nX-Sum: 1\r\n\r\n"}},
		saidLines("a7000005", core.Served, "four", `{"id":"ID","from":"s-2","state":"running","share":1}`, `{"id":"ID","from":"s-2","state":"done","result":"four"}`),
	},
}

// replyWorld is two connections, each with its machine, on which one req after another goes out
// every reqEvery; the answer begins half of that later.
type replyWorld struct {
	strict bool // nothing may be lost: the run without mutations, and splits
	conns  map[string]*replyConn
}

const reqEvery = 100 * time.Millisecond

// replyConn is what a driver does around the machine (network.link), in few words.
type replyConn struct {
	name     string
	m        *ReplyParser
	at       int // the req that is out; -1 none
	last     bool
	got      outcome
	closed   bool
	outcomes []outcome
}

type outcome struct {
	id     string
	ending core.Ending
	result string
}

func buildReplies(strict bool) func(uint64) mutate.World {
	return func(uint64) mutate.World {
		w := &replyWorld{strict: strict, conns: map[string]*replyConn{}}
		for name := range dialogues {
			w.conns[name] = &replyConn{name: name, m: NewReplyParser(false, MaxLine), at: -1}
		}
		return w
	}
}

func (w *replyWorld) Nodes() []string { return []string{"c1", "c2", "s1", "s2"} }

func (w *replyWorld) Tick(now time.Duration, node string) (out []mutate.Message) {
	k := int(now / reqEvery)
	c := w.conns[node]
	if c == nil { // a backend answers the k-th req
		c = w.conns["c"+node[1:]]
		if d := dialogues[c.name]; now%reqEvery == reqEvery/2 && k < len(d) {
			for i, b := range d[k].writes {
				out = append(out, mutate.Message{From: node, To: c.name, Bytes: []byte(b), Delay: time.Duration(i) * time.Millisecond})
			}
		}
		return out
	}
	if now%reqEvery != 0 {
		return nil
	}
	if c.at >= 0 { // the one before was never answered
		c.end(core.Overdue)
		c.closed = true
	}
	if k < len(dialogues[node]) {
		c.at, c.got, c.last = k, outcome{}, false
		if c.closed {
			c.end(core.Unsent)
		}
	}
	return nil
}

func (c *replyConn) end(e core.Ending) {
	if c.at >= 0 {
		c.got.id, c.got.ending = dialogues[c.name][c.at].id, e
		c.outcomes = append(c.outcomes, c.got)
		c.at = -1
	}
}

func (w *replyWorld) Deliver(_ time.Duration, m mutate.Message) []mutate.Message {
	if c := w.conns[m.To]; c != nil && !c.closed {
		for b := m.Bytes; len(b) > 0; {
			n := copy(c.m.Space(), b)
			c.m.Filled(n)
			b = b[n:]
			if c.read(); c.closed {
				break
			}
		}
	}
	return nil
}

func (c *replyConn) read() {
	bad := func() { c.end(core.Garbled); c.closed = true }
	for !c.closed {
		part, line, err := c.m.Next()
		switch {
		case err != nil || part != NeedMore && c.at < 0:
			bad()
		case part == NeedMore:
			if c.at < 0 && c.m.HasExtraBytes() {
				bad()
			}
			return
		case part == Head:
			if c.last = c.m.Status != 200; c.last {
				c.got.ending = c.m.Ending()
			}
		case part == Line && c.m.Status == 200:
			news, err := testNames.ReadLine(line, dialogues[c.name][c.at].id)
			if err != nil || c.last {
				bad()
			} else if news.Last {
				c.last, c.got.ending, c.got.result = true, news.Ending, news.Result
			}
		case part == End:
			if !c.last {
				c.got.ending = core.Broken
			}
			c.end(c.got.ending)
			c.closed = !c.m.KeepAlive
		}
	}
}

// Check: a result is that of its req, only what was never run is said to be, and what is held is
// bounded.
func (w *replyWorld) Check(time.Duration) error {
	for name, c := range w.conns {
		for i, o := range c.outcomes {
			want := dialogues[name][i]
			switch {
			case o.id != want.id:
				return fmt.Errorf("%s: outcome %d is of %s", name, i, o.id)
			case o.ending == core.Served && (want.ending != core.Served || o.result != want.result):
				return fmt.Errorf("%s: %s was given the result %q", name, o.id, o.result)
			case o.ending == core.Returned && want.ending != core.Returned:
				return fmt.Errorf("%s: %s is said never to have run", name, o.id)
			}
		}
		if len(c.m.b) > 2*(MaxLine+MaxHead+2*room) {
			return fmt.Errorf("%s: a buffer of %d bytes", name, len(c.m.b))
		}
	}
	return nil
}

// End: each req has one outcome.
func (w *replyWorld) End(time.Duration) error {
	for name, c := range w.conns {
		if len(c.outcomes) != len(dialogues[name]) {
			return fmt.Errorf("%s: outcomes %v", name, c.outcomes)
		}
		for i, o := range c.outcomes {
			if d := dialogues[name][i]; w.strict && o != (outcome{d.id, d.ending, d.result}) {
				return fmt.Errorf("%s: %v", name, o)
			}
		}
	}
	return nil
}

// excuseReply names what the protocol's bytes cannot show.
func excuseReply(p mutate.Play, of, as mutate.Message) string {
	const unprocessed = "X-Unprocessed: 1"
	switch {
	case p.Kind == mutate.Changed && inResult(of.Bytes, as.Bytes):
		return "a byte of the result itself: the protocol has no sum of it"
	case (p.Kind == mutate.Replayed || p.Kind == mutate.Misrouted) && bytes.Contains(as.Bytes, []byte(unprocessed)):
		return "a head names no req: another's 'never ran' reads as this one's"
	}
	return ""
}

// inResult says whether the byte that differs lies inside a result's quotes.
func inResult(a, b []byte) bool {
	const key = `"result":"`
	from := bytes.Index(a, []byte(key)) + len(key)
	if from < len(key) {
		return false
	}
	to := from + bytes.IndexByte(a[from:], '"')
	return bytes.Equal(a[:from], b[:from]) && bytes.Equal(a[to:], b[to:])
}

func repliesSetup(name string, strict bool, kinds ...mutate.Kind) mutate.Setup {
	return mutate.Setup{Name: name, Seed: 1, Build: buildReplies(strict), Tick: reqEvery / 2, Length: 8 * reqEvery,
		Late: reqEvery, Kinds: kinds, Draws: 12, Splits: -1, Excuse: excuseReply}
}

// TestRepliesUnderMutation: what a faulty network or backend does to one write of a dialogue gives
// no req another's result or a false "never ran". However the bytes are split, nothing changes.
func TestRepliesUnderMutation(t *testing.T) {
	assert.Positive(t, mutate.Test(t, repliesSetup("replies", false, mutate.Datagrams...)).Played)
	assert.Positive(t, mutate.Test(t, repliesSetup("replies split", true, mutate.Split)).Played)
}

// indented is a list as a person would write it; flat are answers to watches after it.
const indented = `{
  "index": 41,
  "snapshot": true,
  "endpoints": [
    {
      "name": "s-5be2a07c", "address": "10.1.0.18:8081", "zone": "b",
      "type": "std", "group": 3, "status": "Ready", "weight": 1.0, "since_ms": 0
    },
    { "name": "s-2", "address": "10.1.0.19:8081", "zone": "a", "type": "std", "group": 1, "status": "Ready", "weight": 0.5, "since_ms": 1700000000000 }
  ]
}
`

var lists = []string{indented,
	`{"index":43,"snapshot":false,"endpoints":[{"name":"s-5be2a07c","address":"10.1.0.18:8081","zone":"b","type":"std","group":3,"status":"Terminating","weight":1.0,"since_ms":0}]}`,
	`{"index":43,"snapshot":false,"endpoints":[]}`,
	`{"index":44,"snapshot":false,"endpoints":[{"name":"s-2","status":"Gone"}]}`,
	indented}

// listWorld is the director's connection: its answers, and the lists that the reader took.
type listWorld struct {
	strict bool
	m      *ReplyParser
	came   []byte // all that was delivered
	took   []List // by whole reply; Entries nil and Index 0 where it was refused
	closed bool
}

func (w *listWorld) Nodes() []string { return []string{"us", "director"} }

func (w *listWorld) Tick(now time.Duration, node string) (out []mutate.Message) {
	k := int(now / reqEvery)
	if node != "director" || k >= len(lists) {
		return nil
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(lists[k]))
	if k == 1 { // in chunks, and refused once
		head = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		return []mutate.Message{{From: node, To: "us", Bytes: []byte(head)},
			{From: node, To: "us", Bytes: []byte(chunkOf(lists[k]) + "0\r\n\r\n"), Delay: time.Millisecond}}
	}
	return []mutate.Message{{From: node, To: "us", Bytes: []byte(head)}, {From: node, To: "us", Bytes: []byte(lists[k]), Delay: time.Millisecond}}
}

func (w *listWorld) Deliver(_ time.Duration, m mutate.Message) []mutate.Message {
	if m.To != "us" || w.closed {
		return nil
	}
	w.came = append(w.came, m.Bytes...)
	for b := m.Bytes; len(b) > 0 && !w.closed; {
		n := copy(w.m.Space(), b)
		w.m.Filled(n)
		b = b[n:]
		var got List
		for {
			part, body, err := w.m.Next()
			if w.closed = err != nil; w.closed || part == NeedMore {
				break
			}
			if part == Line && w.m.Status == 200 {
				got, _ = testNames.ReadList(body)
			}
			if part == End {
				w.took, got = append(w.took, got), List{}
			}
		}
	}
	return nil
}

func (w *listWorld) Check(time.Duration) error {
	if len(w.m.b) > 2*(MaxList+MaxHead+2*room) {
		return fmt.Errorf("a buffer of %d bytes", len(w.m.b))
	}
	return nil
}

// End: what was taken is what net/http and encoding/json read from the same bytes, and where those
// refuse a list nothing was taken.
func (w *listWorld) End(time.Duration) error {
	if w.strict && len(w.took) != len(lists)+1 {
		return fmt.Errorf("%d replies", len(w.took))
	}
	r := bufio.NewReader(bytes.NewReader(w.came))
	for i, got := range w.took {
		want, err := judgeList(r)
		if got.Entries == nil && got.Index == 0 { // refused: nothing changes
			if w.strict && i != 1 {
				return fmt.Errorf("reply %d was refused", i)
			}
			continue
		}
		if err != nil {
			return fmt.Errorf("reply %d was taken as %v, and is bad: %w", i, got, err)
		}
		for i := range got.Entries { // bytes that are not UTF-8 stay as they are here
			e := &got.Entries[i]
			e.Name, e.Address = strings.ToValidUTF8(e.Name, "\uFFFD"), strings.ToValidUTF8(e.Address, "\uFFFD")
			e.ID = balance.WorkerID(Hash(e.Name))
		}
		if !reflect.DeepEqual(want, got) {
			return fmt.Errorf("reply %d was taken as %v, and is %v", i, got, want)
		}
	}
	return nil
}

var fieldName = regexp.MustCompile(`"[^"]*"\s*:`)

// judgeList reads the next reply by the standard library.
func judgeList(r *bufio.Reader) (List, error) {
	resp, err := http.ReadResponse(r, nil)
	for err == nil && resp.StatusCode < 200 { // interim
		resp, err = http.ReadResponse(r, nil)
	}
	if err != nil {
		return List{}, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != 200 {
		return List{}, fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	type entry struct {
		Name, Address, Zone, Type, Status string
		Group                             int
		Weight                            float64
		Since                             float64 `json:"since_ms"`
	}
	var l struct {
		Index     *uint64
		Snapshot  bool
		Endpoints *[]entry
	}
	// Unmarshal takes a field's name in any case, the protocol does not.
	body = fieldName.ReplaceAllFunc(body, func(key []byte) []byte {
		if bytes.Equal(key, bytes.ToLower(key)) {
			return key
		}
		return []byte(`"other":`)
	})
	if err := stdjson.Unmarshal(body, &l); err != nil {
		return List{}, err
	}
	if l.Index == nil || l.Endpoints == nil {
		return List{}, fmt.Errorf("no index or no endpoints: %s", body)
	}
	out := List{Index: *l.Index, Full: l.Snapshot}
	for _, e := range *l.Endpoints {
		state := balance.Draining
		if e.Status == "Ready" {
			state = balance.Ready
		} else if e.Status == "Gone" {
			state = balance.Gone
		}
		out.Entries = append(out.Entries, core.Entry{Name: e.Name, Address: e.Address, Worker: balance.Worker{
			ID: balance.WorkerID(Hash(e.Name)), Started: e.Since, State: state, Cell: e.Group, Weight: e.Weight,
			Zone: max(slices.Index(testNames.Zones, e.Zone), 0), Kind: max(slices.Index(testNames.Kinds, e.Type), 0)}})
	}
	return out, nil
}

func listSetup(name string, strict bool, kinds ...mutate.Kind) mutate.Setup {
	return mutate.Setup{Name: name, Seed: 1, Tick: reqEvery, Length: 7 * reqEvery, Late: reqEvery, Kinds: kinds, Draws: 100, Splits: -1,
		Build: func(uint64) mutate.World { return &listWorld{strict: strict, m: NewReplyParser(true, MaxList)} }}
}

// TestListsUnderMutation: a list is taken as the standard library reads it, or not at all; and
// however its bytes are split, each is taken.
func TestListsUnderMutation(t *testing.T) {
	s := listSetup("lists", false, mutate.Datagrams...)
	s.Plays = 900
	assert.Positive(t, mutate.Test(t, s).Played)
	assert.Positive(t, mutate.Test(t, listSetup("lists split", true, mutate.Split)).Played)
}
