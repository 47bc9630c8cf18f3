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

// scriptedReply is what a backend sends for one request, each string in a write of its own, and the
// expected outcome.
type scriptedReply struct {
	id     string
	writes []string
	ending core.Ending
	result string
}

func chunkOf(line string) string { return chunkWithExtension(line+"\n", "") }

func chunkWithExtension(text, ext string) string {
	return fmt.Sprintf("%x%s\r\n%s\r\n", len(text), ext, text)
}

func lineReply(id string, ending core.Ending, result string, lines ...string) scriptedReply {
	s := scriptedReply{id: id, ending: ending, result: result, writes: []string{"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n"}}
	for _, l := range lines {
		s.writes = append(s.writes, chunkOf(strings.ReplaceAll(l, "ID", id)))
	}
	s.writes = append(s.writes, "0\r\n\r\n")
	return s
}

// scriptedReplies are the replies of two backends, on one connection each. They cover every row of
// the protocol's table.
var scriptedReplies = map[string][]scriptedReply{
	"c1": {
		lineReply("9b1f03aa", core.Served, "one", `{"id":"ID","from":"s-1","state":"started"}`,
			`{"id":"ID","from":"s-1","state":"running","share":0.4}`, `{"id":"ID","from":"s-1","state":"done","result":"one"}`),
		{id: "9b1f03ab", ending: core.Returned, writes: []string{"HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nX-Backend-Load: {\"x0\":7}\r\nContent-Length: 0\r\n\r\n"}},
		lineReply("9b1f03ac", core.Failed, "", `{"id":"ID","from":"s-1","state":"started"}`, `{"id":"ID","from":"s-1","state":"failed"}`),
		lineReply("9b1f03ad", core.Lost, "", `{"id":"ID","from":"s-1","state":"lost"}`),
		lineReply("9b1f03ae", core.Served, "two", `{"id":"ID","from":"s-1","state":"done","load":{"x0":2.5},"result":"two"}`),
	},
	"c2": {
		lineReply("a7000001", core.Returned, "", `{"id":"ID","from":"s-2","state":"returned"}`),
		lineReply("a7000002", core.Served, "three", `{"id":"ID","from":"s-2","state":"started"}`, `{"id":"ID","from":"s-2","state":"done","result":"three"}`),
		{id: "a7000003", ending: core.Failed, writes: []string{"HTTP/1.1 500 Error\r\nContent-Length: 3\r\n\r\n", "out"}},
		{id: "a7000004", ending: core.Failed, writes: []string{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}},
		{id: "a7000006", ending: core.Served, result: "a line in two chunks", writes: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
			chunkWithExtension(`{"id":"a7000006","state":"d`, ""), chunkWithExtension(`one","result":"a line in two chunks"`, ";x=y"), chunkWithExtension("}\n", "") + "0\r\nX-Sum: 1\r\n\r\n"}},
		lineReply("a7000005", core.Served, "four", `{"id":"ID","from":"s-2","state":"running","share":1}`, `{"id":"ID","from":"s-2","state":"done","result":"four"}`),
	},
}

// replyModel is two connections, each with its parser. Every reqEvery the next request is sent on
// each; its reply begins half that time later.
type replyModel struct {
	strict bool // every request must get its scripted outcome: the run without mutations, and splits
	conns  map[string]*replyClient
}

const reqEvery = 100 * time.Millisecond

// replyClient imitates what the driver around the parser does (network.link).
type replyClient struct {
	name           string
	parser         *ReplyParser
	current        int // index of the request that is being answered; -1 for none
	ended          bool
	currentOutcome outcome
	closed         bool
	outcomes       []outcome
}

type outcome struct {
	id     string
	ending core.Ending
	result string
}

func buildReplies(strict bool) func(uint64) mutate.System {
	return func(uint64) mutate.System {
		w := &replyModel{strict: strict, conns: map[string]*replyClient{}}
		for name := range scriptedReplies {
			w.conns[name] = &replyClient{name: name, parser: NewReplyParser(false, MaxLine), current: -1}
		}
		return w
	}
}

func (w *replyModel) Nodes() []string { return []string{"c1", "c2", "s1", "s2"} }

func (w *replyModel) Tick(now time.Duration, node string) (out []mutate.Message) {
	k := int(now / reqEvery)
	c := w.conns[node]
	if c == nil { // a backend answers the k-th request
		c = w.conns["c"+node[1:]]
		if d := scriptedReplies[c.name]; now%reqEvery == reqEvery/2 && k < len(d) {
			for i, b := range d[k].writes {
				out = append(out, mutate.Message{From: node, To: c.name, Bytes: []byte(b), Delay: time.Duration(i) * time.Millisecond})
			}
		}
		return out
	}
	if now%reqEvery != 0 {
		return nil
	}
	if c.current >= 0 { // the previous request was never answered
		c.end(core.Overdue)
		c.closed = true
	}
	if k < len(scriptedReplies[node]) {
		c.current, c.currentOutcome, c.ended = k, outcome{}, false
		if c.closed {
			c.end(core.Unsent)
		}
	}
	return nil
}

func (c *replyClient) end(e core.Ending) {
	if c.current >= 0 {
		c.currentOutcome.id, c.currentOutcome.ending = scriptedReplies[c.name][c.current].id, e
		c.outcomes = append(c.outcomes, c.currentOutcome)
		c.current = -1
	}
}

func (w *replyModel) Deliver(_ time.Duration, m mutate.Message) []mutate.Message {
	if c := w.conns[m.To]; c != nil && !c.closed {
		for b := m.Bytes; len(b) > 0; {
			n := copy(c.parser.Space(), b)
			c.parser.Filled(n)
			b = b[n:]
			if c.read(); c.closed {
				break
			}
		}
	}
	return nil
}

func (c *replyClient) read() {
	fail := func() { c.end(core.Garbled); c.closed = true }
	for !c.closed {
		part, line, err := c.parser.Next()
		switch {
		case err != nil || part != NeedMore && c.current < 0:
			fail()
		case part == NeedMore:
			if c.current < 0 && c.parser.HasExtraBytes() {
				fail()
			}
			return
		case part == Head:
			if c.ended = c.parser.Status != 200; c.ended {
				c.currentOutcome.ending = c.parser.Ending()
			}
		case part == Line && c.parser.Status == 200:
			update, err := testNames.ReadLine(line, scriptedReplies[c.name][c.current].id)
			if err != nil || c.ended {
				fail()
			} else if update.Last {
				c.ended, c.currentOutcome.ending, c.currentOutcome.result = true, update.Ending, update.Result
			}
		case part == End:
			if !c.ended {
				c.currentOutcome.ending = core.Broken
			}
			c.end(c.currentOutcome.ending)
			c.closed = !c.parser.KeepAlive
		}
	}
}

// CheckInvariants verifies that each result belongs to its request, that only requests that never ran are reported as such, and that the buffer is
// bounded.
func (w *replyModel) CheckInvariants(time.Duration) error {
	for name, c := range w.conns {
		for i, o := range c.outcomes {
			want := scriptedReplies[name][i]
			switch {
			case o.id != want.id:
				return fmt.Errorf("%s: outcome %d belongs to %s", name, i, o.id)
			case o.ending == core.Served && (want.ending != core.Served || o.result != want.result):
				return fmt.Errorf("%s: %s was given the result %q", name, o.id, o.result)
			case o.ending == core.Returned && want.ending != core.Returned:
				return fmt.Errorf("%s: %s is reported as never run", name, o.id)
			}
		}
		if len(c.parser.data) > 2*(MaxLine+MaxHead+2*minReadSpace) {
			return fmt.Errorf("%s: a buffer of %d bytes", name, len(c.parser.data))
		}
	}
	return nil
}

// CheckEndState verifies that each request has one outcome.
func (w *replyModel) CheckEndState(time.Duration) error {
	for name, c := range w.conns {
		if len(c.outcomes) != len(scriptedReplies[name]) {
			return fmt.Errorf("%s: outcomes %v", name, c.outcomes)
		}
		for i, o := range c.outcomes {
			if d := scriptedReplies[name][i]; w.strict && o != (outcome{d.id, d.ending, d.result}) {
				return fmt.Errorf("%s: %v", name, o)
			}
		}
	}
	return nil
}

// undetectableReplyFault returns why a fault cannot be detected from the protocol's bytes, or an empty
// text.
func undetectableReplyFault(p mutate.Mutation, of, as mutate.Message) string {
	const unprocessed = "X-Unprocessed: 1"
	switch {
	case p.Kind == mutate.Corrupted && differsInsideResult(of.Bytes, as.Bytes):
		return "a byte of the result itself: the protocol has no checksum of it"
	case (p.Kind == mutate.Replayed || p.Kind == mutate.Misrouted) && bytes.Contains(as.Bytes, []byte(unprocessed)):
		return "a head does not identify its request: the 'never ran' of another request is taken for this one's"
	}
	return ""
}

// differsInsideResult reports whether the only difference lies inside the quotes of a result.
func differsInsideResult(a, b []byte) bool {
	const key = `"result":"`
	from := bytes.Index(a, []byte(key)) + len(key)
	if from < len(key) {
		return false
	}
	to := from + bytes.IndexByte(a[from:], '"')
	return bytes.Equal(a[:from], b[:from]) && bytes.Equal(a[to:], b[to:])
}

func replySetup(name string, strict bool, kinds ...mutate.Kind) mutate.Setup {
	return mutate.Setup{Name: name, Seed: 1, Build: buildReplies(strict), TickInterval: reqEvery / 2, Duration: 8 * reqEvery,
		ExtraDelay: reqEvery, Kinds: kinds, MaxVariants: 12, MaxSplits: -1, Exclude: undetectableReplyFault}
}

// TestRepliesUnderMutation checks that a fault of the network or a backend in one write of a dialogue gives
// no request another's result or a false "never ran", and that splitting the bytes changes nothing.
func TestRepliesUnderMutation(t *testing.T) {
	assert.Positive(t, mutate.Test(t, replySetup("replies", false, mutate.DatagramKinds...)).Runs)
	assert.Positive(t, mutate.Test(t, replySetup("replies split", true, mutate.Split)).Runs)
}

// indentedList is a list with line breaks and indentation. directorLists adds compact answers to
// the watches after it.
const indentedList = `{
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

var directorLists = []string{indentedList,
	`{"index":43,"snapshot":false,"endpoints":[{"name":"s-5be2a07c","address":"10.1.0.18:8081","zone":"b","type":"std","group":3,"status":"Terminating","weight":1.0,"since_ms":0}]}`,
	`{"index":43,"snapshot":false,"endpoints":[]}`,
	`{"index":44,"snapshot":false,"endpoints":[{"name":"s-2","status":"Gone"}]}`,
	indentedList}

// listModel is the director's connection: its replies, and the lists that the reader accepted.
type listModel struct {
	strict   bool
	parser   *ReplyParser
	received []byte // all that was delivered
	accepted []List // by complete reply; Entries nil and Index 0 where it was refused
	closed   bool
}

func (w *listModel) Nodes() []string { return []string{"us", "director"} }

func (w *listModel) Tick(now time.Duration, node string) (out []mutate.Message) {
	k := int(now / reqEvery)
	if node != "director" || k >= len(directorLists) {
		return nil
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(directorLists[k]))
	if k == 1 { // chunked, after one 503
		head = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		return []mutate.Message{{From: node, To: "us", Bytes: []byte(head)},
			{From: node, To: "us", Bytes: []byte(chunkOf(directorLists[k]) + "0\r\n\r\n"), Delay: time.Millisecond}}
	}
	return []mutate.Message{{From: node, To: "us", Bytes: []byte(head)}, {From: node, To: "us", Bytes: []byte(directorLists[k]), Delay: time.Millisecond}}
}

func (w *listModel) Deliver(_ time.Duration, m mutate.Message) []mutate.Message {
	if m.To != "us" || w.closed {
		return nil
	}
	w.received = append(w.received, m.Bytes...)
	for b := m.Bytes; len(b) > 0 && !w.closed; {
		n := copy(w.parser.Space(), b)
		w.parser.Filled(n)
		b = b[n:]
		var got List
		for {
			part, body, err := w.parser.Next()
			if w.closed = err != nil; w.closed || part == NeedMore {
				break
			}
			if part == Line && w.parser.Status == 200 {
				got, _ = testNames.ReadList(body)
			}
			if part == End {
				w.accepted, got = append(w.accepted, got), List{}
			}
		}
	}
	return nil
}

func (w *listModel) CheckInvariants(time.Duration) error {
	if len(w.parser.data) > 2*(MaxList+MaxHead+2*minReadSpace) {
		return fmt.Errorf("a buffer of %d bytes", len(w.parser.data))
	}
	return nil
}

// CheckEndState verifies that an accepted list equals what net/http and encoding/json read from the same bytes, and that nothing
// was accepted where they refuse a list.
func (w *listModel) CheckEndState(time.Duration) error {
	if w.strict && len(w.accepted) != len(directorLists)+1 {
		return fmt.Errorf("%d replies", len(w.accepted))
	}
	r := bufio.NewReader(bytes.NewReader(w.received))
	for i, got := range w.accepted {
		want, err := referenceList(r)
		if got.Entries == nil && got.Index == 0 { // refused
			if w.strict && i != 1 {
				return fmt.Errorf("reply %d was refused", i)
			}
			continue
		}
		if err != nil {
			return fmt.Errorf("reply %d was accepted as %v, but is invalid: %w", i, got, err)
		}
		for i := range got.Entries { // the parser keeps bytes that are not UTF-8; encoding/json replaces them
			e := &got.Entries[i]
			e.Name, e.Address = strings.ToValidUTF8(e.Name, "\uFFFD"), strings.ToValidUTF8(e.Address, "\uFFFD")
			e.ID = balance.WorkerID(Hash(e.Name))
		}
		if !reflect.DeepEqual(want, got) {
			return fmt.Errorf("reply %d was accepted as %v, but is %v", i, got, want)
		}
	}
	return nil
}

var fieldName = regexp.MustCompile(`"[^"]*"\s*:`)

// referenceList reads the next reply with the standard library.
func referenceList(r *bufio.Reader) (List, error) {
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
		Group                             *int
		Weight                            float64
		Since                             float64 `json:"since_ms"`
	}
	var l struct {
		Index     *uint64
		Snapshot  bool
		Endpoints *[]entry
	}
	// Unmarshal matches field names in any case, the protocol does not.
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
		group := balance.Unknown
		if e.Group != nil {
			group = *e.Group
		}
		out.Entries = append(out.Entries, core.Entry{Name: e.Name, Address: e.Address, Worker: balance.Worker{
			ID: balance.WorkerID(Hash(e.Name)), Started: e.Since, State: state, Cell: group, Weight: e.Weight,
			Zone: slices.Index(testNames.Zones, e.Zone), Kind: max(slices.Index(testNames.Kinds, e.Type), 0)}})
	}
	return out, nil
}

func listSetup(name string, strict bool, kinds ...mutate.Kind) mutate.Setup {
	return mutate.Setup{Name: name, Seed: 1, TickInterval: reqEvery, Duration: 7 * reqEvery, ExtraDelay: reqEvery, Kinds: kinds, MaxVariants: 100, MaxSplits: -1,
		Build: func(uint64) mutate.System { return &listModel{strict: strict, parser: NewReplyParser(true, MaxList)} }}
}

// TestListsUnderMutation checks that a list is accepted as the standard library reads it, or not at all, and
// that every list is accepted however its bytes are split.
func TestListsUnderMutation(t *testing.T) {
	s := listSetup("lists", false, mutate.DatagramKinds...)
	s.MaxRuns = 900
	assert.Positive(t, mutate.Test(t, s).Runs)
	assert.Positive(t, mutate.Test(t, listSetup("lists split", true, mutate.Split)).Runs)
}
