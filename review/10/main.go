// Case 10: requests that a client sends at once are dropped unanswered, because other clients hold the memory for bodies.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"tinsail/internal/standin/platform"
	"tinsail/review/kit2"
)

const (
	badClients = 430    // that stop in the middle of a request and stay
	badBody    = 60_000 // bytes that each of them announces; the limit of a body is 64 KiB
	batch      = 24     // requests that a client sends at once
	bodyBytes  = 700    // of each of them
	patience   = 2500 * time.Millisecond
	slack      = 550 * time.Millisecond // an answer up to half a second late is not lost, and 50 ms on sockets
	span       = 15 * time.Second
)

func main() { kit2.Run(100*time.Second, play) }

func play(c *kit2.Case) {
	director, err := platform.StartDirector()
	c.Must(err)
	c.Cleanup(director.Close)
	var workers []*kit2.Worker
	for i := range 3 {
		w := c.StartWorker(fmt.Sprintf("b%d", i), 20*time.Millisecond, 100)
		workers = append(workers, w)
		director.Set(w.Entry("Ready", i))
	}
	listen, admin := c.FreeAddress(), c.FreeAddress()
	class := kit2.Class{Name: "photo", Effect: "read_like", AimMs: 500, HardLimitMs: 3000}
	config := c.Write("config.json", kit2.Config{Name: "n0", Listen: listen, Discovery: director.Address, Classes: []kit2.Class{class}}.Text())
	p := c.Start("n0", config, "", c.Folder("tmp"), admin)
	if !c.AwaitYes(p, admin, 10*time.Second) {
		c.Cannot("the dispatcher did not become ready")
	}
	time.Sleep(500 * time.Millisecond)
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	if c.Trouble {
		c.Note("%d clients announce a body of %d bytes, send half of it and stay", badClients, badBody)
		for i := range badClients {
			all.Go(func() { kit2.Stay(ctx, listen, "photo", i, badClients, badBody) })
		}
		time.Sleep(3 * time.Second)
	}
	sent, lost, resets := 0, 0, 0
	for i, end := 0, time.Now().Add(span); time.Now().Before(end); i++ {
		answers, err := sendBatch(listen, fmt.Sprintf("batch%d-%d", i, os.Getpid()))
		if err != nil && answers == nil {
			c.Note("batch %d: not sent: %v", i, err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		sent += batch
		// Of a connection that was reset something may have been left unread; what then had no answer is not counted.
		if reset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE); reset {
			resets++
		} else {
			lost += batch - len(answers)
		}
		c.Note("batch %d: %d of %d answered: %v, then %v", i, len(answers), batch, answers, err)
		time.Sleep(50 * time.Millisecond)
	}
	stop()
	all.Wait()
	c.Note("%d requests sent in batches, %d without an answer, %d connections reset", sent, lost, resets)
	for _, w := range workers {
		c.Note("%s ran %d jobs", w.Name, w.Jobs())
	}
	if lost > 0 {
		c.Break("%d of %d requests were written whole to an accepted connection, and the dispatcher ended it without answering them", lost, sent)
	}
}

// sendBatch sends a batch at once on a new connection, and returns the answers that came. answers is nil where the connection
// was closed before the first answer, as a dispatcher may do that has no place for a client.
func sendBatch(listen, name string) (answers []string, err error) {
	conn, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience + slack))
	var text strings.Builder
	for i := range batch {
		fmt.Fprintf(&text, "POST /photo/1 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s-%d\r\nX-Service-Class: photo\r\nX-Time-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
			name, i, patience.Milliseconds(), bodyBytes, strings.Repeat("y", bodyBytes))
	}
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return nil, err
	}
	r := bufio.NewReader(conn)
	for len(answers) < batch {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			return answers, err
		}
		if _, err := io.ReadAll(a.Body); err != nil {
			return answers, err
		}
		answers = append(answers, a.Status)
	}
	return answers, nil
}
