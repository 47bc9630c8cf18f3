package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"tinsail/internal/standin/history"
)

// client is one client of a node: a request at a time, on connections that it keeps.
type client struct {
	*play
	n      *node
	name   string
	rng    *rand.Rand
	asked  int
	conn   net.Conn
	in     *bufio.Reader
	used   bool      // conn has carried an answer
	opened time.Time // conn, or transport

	transport *http.Transport // over HTTP/2 ...
	to        *life           // ... to this process
}

// clientsPerNode use HTTP/1.1, and one more HTTP/2.
const clientsPerNode = 4

// run asks until the play's length is over.
func (c *client) run() {
	defer c.drop()
	for time.Since(c.begun) < PlayDuration {
		if c.conn == nil && !c.n.fronted() {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		switch {
		case c.during(PartialRequest):
			c.half()
		case c.during(InvalidRequest):
			c.flood()
		default:
			c.ask()
		}
		time.Sleep(upTo(c.rng, 12*time.Millisecond))
	}
}

// during says whether a trouble of clients is on, for this client and this time.
func (c *client) during(k FaultKind) bool {
	at := time.Since(c.begun)
	for _, t := range c.Faults {
		if t.Kind == k && at >= t.Start && at < t.Start+t.Duration && c.rng.IntN(3) == 0 {
			return true
		}
	}
	return false
}

func (c *client) drop() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

func (c *client) dial() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.n.address(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in, c.used, c.opened = conn, bufio.NewReader(conn), false, time.Now()
	return true
}

// head is a request without its body, of one byte.
func (c *client) head(id string, left time.Duration) string {
	key := "Idempotency-Key: " + id + "\r\n"
	if c.Site.Effect != "idempotency_key" {
		key = ""
	}
	return fmt.Sprintf("POST /photo/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\n%sX-Service-Class: photo\r\nX-Time-Left-Ms: %d\r\nContent-Length: 1\r\n\r\n",
		id, key, left.Milliseconds())
}

// next draws a request: its id, and how long its client waits.
func (c *client) next() (id string, left time.Duration) {
	c.asked++
	left = c.Site.Deadline*3/4 + upTo(c.rng, c.Site.Deadline/4)
	if c.during(ShortDeadline) {
		left = time.Millisecond + upTo(c.rng, 30*time.Millisecond)
	}
	return fmt.Sprintf("%s-%d", c.name, c.asked), left
}

func (c *client) req(id string, left time.Duration) history.Req {
	r := history.Req{Dispatcher: c.n.name(), ID: id, Unsafe: c.Site.Effect == "non_idempotent", ReusedConnection: c.used}
	if c.Site.Effect == "idempotency_key" {
		r.RepeatWindow = c.Site.Window
	}
	return r
}

// ask sends a request and waits for its answer, or leaves before it.
func (c *client) ask() {
	if !c.dial() {
		return
	}
	id, left := c.next()
	r := c.req(id, left)
	sent := time.Now()
	r.Deadline = sent.Add(left)
	text := c.head(id, left) + "b"
	if !c.write(text) {
		c.drop()
		return // never whole
	}
	r.SentAt = time.Now()
	if c.during(ClientAbort) {
		time.Sleep(upTo(c.rng, 60*time.Millisecond))
		c.drop()
		r.ClientGone, r.ClientGoneAt = true, time.Now()
		c.history.AddReq(r)
		return
	}
	_ = c.conn.SetReadDeadline(r.Deadline.Add(answerWait))
	a, err := http.ReadResponse(c.in, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(a.Body)
		a.Body.Close()
	}
	if err != nil {
		opened := c.opened
		c.drop()
		if c.n.killedAfter(opened) {
			c.excused.Add(1)
			return
		}
		c.history.AddReq(r)
		if isTimeout(err) { // lost, by the judge
			return
		}
		c.history.AddReset(id, fmt.Sprintf("%v, %v after it was sent", err, time.Since(r.SentAt).Round(time.Millisecond)))
		return
	}
	c.history.AddReq(r)
	c.history.AddAnswer(history.Answer{ID: id, At: time.Now(), Status: a.StatusCode, Body: string(body)})
	c.judged.Add(1)
	if c.used = true; a.Close || c.rng.IntN(newConnectionEvery) == 0 {
		c.drop()
	}
}

// newConnectionEvery is after how many answers, on average, a client takes a new connection.
const newConnectionEvery = 8

// answerWait is how long after its time a client waits on, to tell a late answer from none.
const answerWait = 3 * time.Second

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// write writes a request, in pieces while clients are slow.
func (c *client) write(text string) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	if c.during(SlowWrites) {
		for range 3 {
			n := 1 + c.rng.IntN(20)
			if _, err := io.WriteString(c.conn, text[:n]); err != nil {
				return false
			}
			text = text[n:]
			time.Sleep(upTo(c.rng, 15*time.Millisecond))
		}
	}
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

// half sends a part of a request and stays. It is owed an error or a close within 3 s.
func (c *client) half() {
	c.drop()
	if !c.dial() {
		return
	}
	defer c.drop()
	id, left := c.next()
	text := c.head(id, left)
	_, _ = io.WriteString(c.conn, text[:1+c.rng.IntN(len(text)-1)])
	_ = c.conn.SetReadDeadline(c.opened.Add(halfOwed + halfSlack))
	if _, err := c.in.ReadByte(); isTimeout(err) && !c.n.killedAfter(c.opened) {
		c.fault("a client with half a request had neither an error nor a close within %v", halfOwed+halfSlack)
	}
}

// halfOwed is the page's figure, halfSlack what hold-ups and a busy machine add.
const (
	halfOwed  = 3 * time.Second
	halfSlack = 1500 * time.Millisecond
)

// flood sends what is no request, and reads what comes.
func (c *client) flood() {
	c.drop()
	if !c.dial() {
		return
	}
	defer c.drop()
	_ = c.conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c.conn, "NONSENSE / x\r\n\r\n"+strings.Repeat("x", 200<<10))
	_, _ = io.Copy(io.Discard, c.conn)
}

// streams asks over HTTP/2 until the play's length is over.
func (c *client) streams() {
	for time.Since(c.begun) < PlayDuration {
		if l := c.n.now(); c.n.fronted() && l.streams != "" {
			c.stream(l)
		}
		time.Sleep(5*time.Millisecond + upTo(c.rng, 20*time.Millisecond))
	}
}

func (c *client) stream(l *life) {
	if c.transport == nil || c.to != l {
		if c.transport != nil {
			c.transport.CloseIdleConnections()
		}
		c.transport, c.to, c.opened = &http.Transport{Protocols: new(http.Protocols)}, l, time.Now()
		c.transport.Protocols.SetUnencryptedHTTP2(true)
	}
	id, left := c.next()
	r := c.req(id, left)
	r.ReusedConnection = true // its client is told what was taken
	q, err := http.NewRequest("POST", "http://"+l.streams+"/photo/1", strings.NewReader("b"))
	if err != nil {
		return
	}
	q.GetBody = nil // the transport is not to send it again by itself
	q.Header.Set("X-Correlation-Id", id)
	q.Header.Set("X-Time-Left-Ms", fmt.Sprint(left.Milliseconds()))
	if c.Site.Effect == "idempotency_key" {
		q.Header.Set("Idempotency-Key", id)
	}
	r.SentAt = time.Now()
	r.Deadline = r.SentAt.Add(left)
	var body []byte
	a, err := c.transport.RoundTrip(q)
	if err == nil {
		body, err = io.ReadAll(a.Body)
		a.Body.Close()
	}
	switch {
	case err == nil:
		c.history.AddReq(r)
		c.history.AddAnswer(history.Answer{ID: id, At: time.Now(), Status: a.StatusCode, Body: string(body)})
		c.judged.Add(1)
	case c.n.killedAfter(c.opened):
		c.excused.Add(1)
	default:
		c.history.AddReq(r)
		c.history.AddReset(id, "HTTP/2: "+err.Error())
		c.transport.CloseIdleConnections()
		c.transport = nil
	}
}
