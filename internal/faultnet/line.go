package faultnet

import (
	"net"
	"time"
)

// travelling bounds the pieces on a line: a sender that is faster than its line waits, as on a real one.
const travelling = 4096

// line is a direction in which pieces travel, each for its time, in order.
type line struct {
	pieces chan piece
	done   chan struct{}
}

type piece struct {
	bytes []byte
	due   time.Time
}

// newLine makes a line that writes to to; where that fails, it closes from.
func newLine(from, to net.Conn) *line {
	l := &line{pieces: make(chan piece, travelling), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		var failed error
		for p := range l.pieces {
			if failed != nil {
				continue
			}
			time.Sleep(time.Until(p.due))
			if _, failed = to.Write(p.bytes); failed != nil {
				from.Close()
			}
		}
	}()
	return l
}

func (l *line) send(p []byte, lag time.Duration) { l.pieces <- piece{p, time.Now().Add(lag)} }

// end waits for what is on its way. Nothing is sent after it.
func (l *line) end() {
	close(l.pieces)
	<-l.done
}
