package handoff

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"tinsail/internal/handover"
)

// maxQueuedBytes limits the status updates that wait for the other process to read: as many bytes as a state may have.
const maxQueuedBytes = handover.MaxState

// errQueueFull says that the other process reads nothing, and that no more updates are kept for it.
var errQueueFull = errors.New("the other process does not read its status updates")

// ErrPeerClosed says that the other process has closed the link, as it does when it ends,
// or after it has said that it gave this process up.
var ErrPeerClosed = errors.New("the other process has closed the hand-over")

// Link is the connection between the two processes of a hand-over. After the hello and the state, either end sends status updates
// at any time. Sending never waits for the other process, which may itself be sending: the socket's buffer holds a few hundred
// updates.
type Link struct {
	conn   *net.UnixConn
	reader handover.Reader

	mu         sync.Mutex
	queue      []byte // messages not yet given to the socket
	writing    bool   // a goroutine writes the queue
	closing    bool   // the link closes once the queue is written, and takes no more updates
	writeError error  // why nothing more can be sent
}

// Send queues a status update for the other process. An error means that the link is closed.
func (l *Link) Send(n handover.StatusUpdate) error {
	text, err := handover.AppendMessage(nil, n)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writeError == nil && len(l.queue)+len(text) > maxQueuedBytes {
		l.fail(errQueueFull)
	}
	switch {
	case l.writeError != nil:
		return l.writeError
	case l.closing:
		return net.ErrClosed
	}
	l.queue = append(l.queue, text...)
	l.startWriting()
	return nil
}

// CloseAfterSending closes the link once the other process has room for all that is queued, or has ended.
func (l *Link) CloseAfterSending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	l.startWriting()
}

// startWriting has a goroutine write the queue. l.mu is held.
func (l *Link) startWriting() {
	if !l.writing {
		l.writing = true
		go l.write()
	}
}

// write writes the queue until it is empty or the link is closed.
func (l *Link) write() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) > 0 && l.writeError == nil {
		batch := l.queue
		l.queue = nil
		l.mu.Unlock()
		_, err := l.conn.Write(batch)
		l.mu.Lock()
		if err != nil && l.writeError == nil { // closed by the other process, whose last updates are still to be read
			l.writeError, l.queue = errors.Join(ErrPeerClosed, err), nil
		}
	}
	l.writing = false
	if l.closing {
		l.conn.Close()
	}
}

// fail closes the link for this reason. l.mu is held.
func (l *Link) fail(err error) {
	l.writeError, l.queue = err, nil
	l.conn.Close()
}

// sendFirst sends the first message of this end, with descriptors, and returns when it is sent.
func (l *Link) sendFirst(message any, rights []byte, timeout time.Duration) error {
	text, err := handover.AppendMessage(nil, message)
	if err != nil {
		return err
	}
	l.conn.SetWriteDeadline(time.Now().Add(timeout))
	defer l.conn.SetWriteDeadline(time.Time{})
	if len(rights) > 0 { // sent with the first byte, so that they arrive before the message is complete
		n, _, err := l.conn.WriteMsgUnix(text[:1], rights, nil)
		if err != nil {
			return err
		}
		text = text[n:]
	}
	_, err = l.conn.Write(text)
	return err
}

// Read calls f for each message until the link ends, and returns the reason.
func (l *Link) Read(f func(handover.StatusUpdate)) error {
	for {
		text, files, err := l.message(nil)
		for _, f := range files { // none are expected
			f.Close()
		}
		if err != nil {
			return l.readError(err)
		}
		var n handover.StatusUpdate
		if err := json.Unmarshal(text, &n); err != nil {
			return err
		}
		f(n)
	}
}

// readError returns why a read failed: the reason of this end's own close, if it has closed.
func (l *Link) readError(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writeError != nil {
		return l.writeError
	}
	return err
}

// Close closes the link at once.
func (l *Link) Close() { l.conn.Close() }

// message returns the next message, and appends to files the descriptors that came with it.
func (l *Link) message(files []*os.File) ([]byte, []*os.File, error) {
	buf, oob := make([]byte, 16<<10), make([]byte, syscall.CmsgSpace(4*maxFiles))
	for {
		text, err := l.reader.Next()
		if text != nil || err != nil {
			return text, files, err
		}
		n, oobn, _, _, err := l.conn.ReadMsgUnix(buf, oob)
		if oobn > 0 {
			files = append(files, receivedFiles(oob[:oobn])...)
		}
		if err == nil && n == 0 && oobn == 0 || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
			err = ErrPeerClosed
		}
		if err != nil {
			return nil, files, err
		}
		l.reader.Fill(buf[:n])
	}
}
