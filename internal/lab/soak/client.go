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

// client sends requests to the dispatcher of one node, one at a time, on connections that it keeps open.
type client struct {
	*play
	node         *node
	name         string
	rng          *rand.Rand
	requestCount int
	conn         net.Conn
	reader       *bufio.Reader
	reused       bool      // conn has carried an answer
	connectedAt  time.Time // when conn was opened or transport was created

	transport        *http.Transport // for HTTP/2
	transportProcess *process        // the process that transport is connected to
}

// clientsPerNode is the number of HTTP/1.1 clients of each node. One more client uses HTTP/2.
const clientsPerNode = 4

// runHTTP1 sends requests over HTTP/1.1 until PlayDuration has passed.
func (c *client) runHTTP1() {
	defer c.closeConn()
	for time.Since(c.startedAt) < PlayDuration {
		if c.conn == nil && !c.node.receivesNewConnections() {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		switch {
		case c.drawFault(PartialRequest):
			c.sendPartialRequest()
		case c.drawFault(InvalidRequest):
			c.sendInvalidRequest()
		default:
			c.sendRequest()
		}
		time.Sleep(randomBelow(c.rng, 12*time.Millisecond))
	}
}

// drawFault reports whether the client shows a client fault now: while a fault of the kind is active, with a probability of
// one third.
func (c *client) drawFault(k FaultKind) bool {
	elapsed := time.Since(c.startedAt)
	for _, f := range c.Faults {
		if f.Kind == k && elapsed >= f.Start && elapsed < f.Start+f.Duration && c.rng.IntN(3) == 0 {
			return true
		}
	}
	return false
}

func (c *client) closeConn() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// connect opens a connection unless there is one, and reports whether there is one now.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.node.listenAddress(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.reused, c.connectedAt = conn, bufio.NewReader(conn), false, time.Now()
	return true
}

// requestHeader returns the request line and headers of a request whose body is one byte long.
func (c *client) requestHeader(id string, timeLeft time.Duration) string {
	keyHeader := "Idempotency-Key: " + id + "\r\n"
	if c.Site.Effect != "idempotency_key" {
		keyHeader = ""
	}
	return fmt.Sprintf("POST /photo/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\n%sX-Service-Class: photo\r\nX-Time-Left-Ms: %d\r\nContent-Length: 1\r\n\r\n",
		id, keyHeader, timeLeft.Milliseconds())
}

// nextRequest returns the id of the next request and how long the client waits for its answer.
func (c *client) nextRequest() (id string, timeLeft time.Duration) {
	c.requestCount++
	timeLeft = c.Site.Deadline*3/4 + randomBelow(c.rng, c.Site.Deadline/4)
	if c.drawFault(ShortDeadline) {
		timeLeft = time.Millisecond + randomBelow(c.rng, 30*time.Millisecond)
	}
	return fmt.Sprintf("%s-%d", c.name, c.requestCount), timeLeft
}

// newReq returns the record of a request for the history, without its times.
func (c *client) newReq(id string, timeLeft time.Duration) history.Req {
	r := history.Req{Dispatcher: c.node.name(), ID: id, Unsafe: c.Site.Effect == "non_idempotent", ReusedConnection: c.reused}
	if c.Site.Effect == "idempotency_key" {
		r.RepeatWindow = c.Site.Window
	}
	return r
}

// sendRequest sends a request and waits for its answer, or closes the connection before the answer during ClientAbort.
func (c *client) sendRequest() {
	if !c.connect() {
		return
	}
	id, timeLeft := c.nextRequest()
	r := c.newReq(id, timeLeft)
	startedAt := time.Now()
	r.Deadline = startedAt.Add(timeLeft)
	text := c.requestHeader(id, timeLeft) + "b"
	if !c.write(text) {
		c.closeConn()
		return // not sent in full, so no answer is required
	}
	r.SentAt = time.Now()
	if c.drawFault(ClientAbort) {
		time.Sleep(randomBelow(c.rng, 60*time.Millisecond))
		c.closeConn()
		r.ClientGone, r.ClientGoneAt = true, time.Now()
		c.history.AddReq(r)
		return
	}
	_ = c.conn.SetReadDeadline(r.Deadline.Add(lateAnswerWait))
	answer, err := http.ReadResponse(c.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(answer.Body)
		answer.Body.Close()
	}
	if err != nil {
		connectedAt := c.connectedAt
		c.closeConn()
		if c.node.wasKilledAfter(connectedAt) {
			c.excused.Add(1)
			return
		}
		c.history.AddReq(r)
		if isTimeout(err) { // the history's rules report it as lost
			return
		}
		c.history.AddReset(id, fmt.Sprintf("%v, %v after it was sent", err, time.Since(r.SentAt).Round(time.Millisecond)))
		return
	}
	c.history.AddReq(r)
	c.history.AddAnswer(history.Answer{ID: id, At: time.Now(), Status: answer.StatusCode, Body: string(body)})
	c.judged.Add(1)
	if c.reused = true; answer.Close || c.rng.IntN(answersPerConnection) == 0 {
		c.closeConn()
	}
}

// answersPerConnection is the mean number of answers after which a client opens a new connection.
const answersPerConnection = 8

// lateAnswerWait is how long a client waits past its deadline, to tell a late answer from a missing one.
const lateAnswerWait = 3 * time.Second

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// write writes a request, in several small pieces during SlowWrites. It reports whether it wrote all of it.
func (c *client) write(text string) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	if c.drawFault(SlowWrites) {
		for range 3 {
			n := 1 + c.rng.IntN(20)
			if _, err := io.WriteString(c.conn, text[:n]); err != nil {
				return false
			}
			text = text[n:]
			time.Sleep(randomBelow(c.rng, 15*time.Millisecond))
		}
	}
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

// sendPartialRequest sends part of a request and waits. The dispatcher must answer with an error or close the connection
// within 3 s.
func (c *client) sendPartialRequest() {
	c.closeConn()
	if !c.connect() {
		return
	}
	defer c.closeConn()
	id, timeLeft := c.nextRequest()
	text := c.requestHeader(id, timeLeft)
	_, _ = io.WriteString(c.conn, text[:1+c.rng.IntN(len(text)-1)])
	_ = c.conn.SetReadDeadline(c.connectedAt.Add(partialRequestLimit + partialRequestSlack))
	if _, err := c.reader.ReadByte(); isTimeout(err) && !c.node.wasKilledAfter(c.connectedAt) {
		c.addFailure("a client that had sent part of a request got neither an error nor a close within %v", partialRequestLimit+partialRequestSlack)
	}
}

const (
	partialRequestLimit = 3 * time.Second         // documented limit for closing a connection with a partial request
	partialRequestSlack = 1500 * time.Millisecond // for the delay by paused processes and a busy machine
)

// sendInvalidRequest sends 200 KiB that are no valid request, and reads whatever the dispatcher answers.
func (c *client) sendInvalidRequest() {
	c.closeConn()
	if !c.connect() {
		return
	}
	defer c.closeConn()
	_ = c.conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c.conn, "NONSENSE / x\r\n\r\n"+strings.Repeat("x", 200<<10))
	_, _ = io.Copy(io.Discard, c.conn)
}

// runHTTP2 sends requests over HTTP/2 until PlayDuration has passed.
func (c *client) runHTTP2() {
	for time.Since(c.startedAt) < PlayDuration {
		if p := c.node.currentProcess(); c.node.receivesNewConnections() && p.http2Address != "" {
			c.sendHTTP2Request(p)
		}
		time.Sleep(5*time.Millisecond + randomBelow(c.rng, 20*time.Millisecond))
	}
}

// sendHTTP2Request sends a request over HTTP/2 to a process and waits for its answer.
func (c *client) sendHTTP2Request(p *process) {
	if c.transport == nil || c.transportProcess != p {
		if c.transport != nil {
			c.transport.CloseIdleConnections()
		}
		c.transport, c.transportProcess, c.connectedAt = &http.Transport{Protocols: new(http.Protocols)}, p, time.Now()
		c.transport.Protocols.SetUnencryptedHTTP2(true)
	}
	id, timeLeft := c.nextRequest()
	r := c.newReq(id, timeLeft)
	r.ReusedConnection = true // over HTTP/2, the client learns which requests were accepted
	req, err := http.NewRequest("POST", "http://"+p.http2Address+"/photo/1", strings.NewReader("b"))
	if err != nil {
		return
	}
	req.GetBody = nil // keeps the transport from sending the request again by itself
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("X-Time-Left-Ms", fmt.Sprint(timeLeft.Milliseconds()))
	if c.Site.Effect == "idempotency_key" {
		req.Header.Set("Idempotency-Key", id)
	}
	r.SentAt = time.Now()
	r.Deadline = r.SentAt.Add(timeLeft)
	var body []byte
	answer, err := c.transport.RoundTrip(req)
	if err == nil {
		body, err = io.ReadAll(answer.Body)
		answer.Body.Close()
	}
	switch {
	case err == nil:
		c.history.AddReq(r)
		c.history.AddAnswer(history.Answer{ID: id, At: time.Now(), Status: answer.StatusCode, Body: string(body)})
		c.judged.Add(1)
	case c.node.wasKilledAfter(c.connectedAt):
		c.excused.Add(1)
	default:
		c.history.AddReq(r)
		c.history.AddReset(id, "HTTP/2: "+err.Error())
		c.transport.CloseIdleConnections()
		c.transport = nil
	}
}
