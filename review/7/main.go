// Case 7: the result of a job that ran is dropped on the HTTP/2 front, because other clients hold the memory for bodies.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"

	"tinsail/internal/standin/platform"
	"tinsail/review/kit2"
)

const (
	badClients  = 430                     // that stop in the middle of a request and stay
	badBody     = 60_000                  // bytes that each of them announces; the limit of a body is 64 KiB
	resultBytes = 40_000                  // of each result
	patience    = 2500 * time.Millisecond // of the client
	slack       = 550 * time.Millisecond  // an answer up to half a second late is not lost, and 50 ms on sockets
	span        = 20 * time.Second
)

func main() { kit2.Run(100*time.Second, play) }

func play(c *kit2.Case) {
	director, err := platform.StartDirector()
	c.Must(err)
	c.Cleanup(director.Close)
	var workers []*kit2.Worker
	for i := range 3 {
		w := c.StartWorker(fmt.Sprintf("b%d", i), 300*time.Millisecond, resultBytes)
		workers = append(workers, w)
		director.Set(w.Entry("Ready", i))
	}
	listen, listen2, admin := c.FreeAddress(), c.FreeAddress(), c.FreeAddress()
	class := kit2.Class{Name: "photo", Effect: "non_idempotent", AimMs: 500, HardLimitMs: 3000}
	config := c.Write("config.json", kit2.Config{Name: "n0", Listen: listen, Discovery: director.Address, Classes: []kit2.Class{class}}.Text())
	script := c.Write("settings.star", fmt.Sprintf("http2(listen = %q)\n", listen2))
	p := c.Start("n0", config, script, c.Folder("tmp"), admin)
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
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: transport}
	var mu sync.Mutex
	counts := map[string]int{}
	lost := 0
	for i, end := 0, time.Now().Add(span); time.Now().Before(end); i++ {
		all.Go(func() {
			id := fmt.Sprintf("h2-%d-%d", i, os.Getpid())
			what, answered := send(client, listen2, id)
			ran := false
			for _, w := range workers {
				ran = ran || !w.Done(id).IsZero()
			}
			c.Note("%s: %s, the job ran to its end: %v", id, what, ran)
			mu.Lock()
			defer mu.Unlock()
			counts[what]++
			if !answered && ran {
				lost++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	k := &kit2.Client{Address: listen}
	status, text, err := k.Do("photo", "h1-"+strconv.Itoa(os.Getpid()), "", "", "x", patience)
	c.Note("a client of the HTTP/1.1 front: %d, %d bytes, %v", status, len(text), err)
	k.Close()
	stop()
	all.Wait()
	c.NoteRuns(workers)
	c.Note("outcomes: %v", counts)
	if lost > 0 {
		c.Break("%d jobs were taken on the HTTP/2 front and ran to their end, and their client got no answer: %v", lost, counts)
	}
}

// send sends a job over HTTP/2 and says what came back, and whether that is an answer, or the word that it was never taken.
func send(client *http.Client, address, id string) (what string, answered bool) {
	ctx, cancel := context.WithTimeout(context.Background(), patience+slack)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/photo/1", strings.NewReader("a small body"))
	if err != nil {
		return err.Error(), true
	}
	q.Header.Set("X-Correlation-Id", id)
	q.Header.Set("X-Service-Class", "photo")
	q.Header.Set("X-Time-Left-Ms", strconv.Itoa(int(patience.Milliseconds())))
	r, err := client.Do(q)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(r.Body)
		r.Body.Close()
	}
	var reset http2.StreamError
	switch {
	case errors.As(err, &reset):
		return "reset with " + reset.Code.String(), reset.Code == http2.ErrCodeRefusedStream
	case errors.Is(err, context.DeadlineExceeded):
		return "no answer in time", false
	case err != nil:
		return "an error: " + err.Error(), false
	case r.StatusCode == 200 && string(body) != kit2.Result(id, resultBytes):
		return "a wrong result", false
	}
	return "status " + strconv.Itoa(r.StatusCode), true
}
