package faultnet

import (
	"net"
	"time"
)

// maxInTransit limits the chunks in transit on a delay line. A sender that exceeds it blocks, as on a
// real connection.
const maxInTransit = 4096

// delayLine is one direction of a connection with latency: it delivers chunks in order, each at its
// due time.
type delayLine struct {
	chunks chan chunk
	done   chan struct{} // closed when the last chunk has been written
}

type chunk struct {
	data []byte
	due  time.Time // when to write it to the destination
}

// newDelayLine returns a delay line that writes to to. It closes from when a write fails.
func newDelayLine(from, to net.Conn) *delayLine {
	l := &delayLine{chunks: make(chan chunk, maxInTransit), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		var writeErr error
		for c := range l.chunks {
			if writeErr != nil {
				continue
			}
			time.Sleep(time.Until(c.due))
			if _, writeErr = to.Write(c.data); writeErr != nil {
				from.Close()
			}
		}
	}()
	return l
}

// send queues data for delivery after latency. It keeps data.
func (l *delayLine) send(data []byte, latency time.Duration) {
	l.chunks <- chunk{data, time.Now().Add(latency)}
}

// drain waits until every queued chunk is delivered or dropped after a failed write. send must not be
// called after it.
func (l *delayLine) drain() {
	close(l.chunks)
	<-l.done
}
