// Package handoff is the driver of package handover: a Unix socket over which one process of a
// dispatcher passes its listeners (SCM_RIGHTS, unix(7)) and its state to the next one.
package handoff

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"tinsail/internal/handover"
)

// sendTimeout limits the time to send a message: the other process reads at once unless it is stopped.
const sendTimeout = 300 * time.Millisecond

// maxFiles limits the descriptors that come with a state.
const maxFiles = 8

// maxSocketName is the longest path that is used as a socket's address, a little less than sun_path holds (unix(7)).
const maxSocketName = 100

// withShortName calls f with a name for the path that fits into a socket's address.
func withShortName(path string, f func(name string) error) error {
	if len(path) <= maxSocketName {
		return f(path)
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return f(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}

// Link is the connection between the two processes of a hand-over, once the state has been sent.
type Link struct {
	conn   *net.UnixConn
	reader handover.Reader
	mu     sync.Mutex // of writes
}

// Send sends a message to the other process. An error means that the process is gone or does not read: the
// link is closed, and Read returns.
func (l *Link) Send(n handover.StatusUpdate) error { return l.send(n, nil) }

func (l *Link) send(message any, rights []byte) error {
	text, err := handover.AppendMessage(nil, message)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if len(rights) > 0 { // sent with the first byte, so that they arrive before the message is complete
		n, _, err := l.conn.WriteMsgUnix(text[:1], rights, nil)
		if err != nil {
			l.conn.Close()
			return err
		}
		text = text[n:]
	}
	if _, err = l.conn.Write(text); err != nil {
		l.conn.Close()
	}
	return err
}

// Read calls f for each message until the link ends, and returns the reason.
func (l *Link) Read(f func(handover.StatusUpdate)) error {
	defer l.conn.Close()
	for {
		text, files, err := l.message(nil)
		for _, f := range files { // none are expected
			f.Close()
		}
		if err != nil {
			return err
		}
		var n handover.StatusUpdate
		if err := json.Unmarshal(text, &n); err != nil {
			return err
		}
		f(n)
	}
}

// Close closes the link.
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
		if err == nil && n == 0 && oobn == 0 {
			err = net.ErrClosed
		}
		if err != nil {
			return nil, files, err
		}
		l.reader.Fill(buf[:n])
	}
}

func receivedFiles(oob []byte) (files []*os.File) {
	list, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil
	}
	for i := range list {
		fds, err := syscall.ParseUnixRights(&list[i])
		if err != nil {
			continue
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files
}

// ErrNoProcess says that no other process of this dispatcher runs.
var ErrNoProcess = errors.New("no other process of this dispatcher is running")

// Refusal is the error of a running process that refuses to hand over.
type Refusal struct {
	Reason string
	Busy   bool // another hand-over is under way
}

func (r *Refusal) Error() string { return r.Reason }

// Join asks the serving process for its state and listeners. The error is ErrNoProcess if there is none, a
// *Refusal if it refused, and another one if its answer did not come in time or could not be read.
func Join(path string, me handover.Hello) (l *Link, s handover.State, files []*os.File, err error) {
	var conn net.Conn
	err = withShortName(path, func(name string) (err error) {
		conn, err = net.DialTimeout("unix", name, sendTimeout)
		return err
	})
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, s, nil, ErrNoProcess
	}
	if err != nil {
		return nil, s, nil, err
	}
	l = &Link{conn: conn.(*net.UnixConn), reader: handover.Reader{MaxBytes: handover.MaxState}}
	defer func() {
		if err != nil {
			l.Close()
			for _, f := range files {
				f.Close()
			}
			l, files = nil, nil
		}
	}()
	if err = sameUser(l.conn); err != nil { // never serve on a listener of another user's process
		return l, s, files, err
	}
	if err = l.send(me, nil); err != nil {
		return l, s, files, err
	}
	l.conn.SetReadDeadline(time.Now().Add(handover.StateTimeout))
	var text []byte
	if text, files, err = l.message(files); err != nil {
		return l, s, files, err
	}
	l.conn.SetReadDeadline(time.Time{})
	l.reader.MaxBytes = handover.MaxStatusUpdate
	if err = json.Unmarshal(text, &s); err != nil {
		return l, s, files, err
	}
	if s.Refused != "" {
		err = &Refusal{s.Refused, s.Busy}
	}
	return l, s, files, err
}
