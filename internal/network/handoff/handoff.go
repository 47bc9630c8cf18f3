// Package handoff is the driver of package handover: a Unix socket over which one process of a
// dispatcher hands its listeners and what it knows to the next one (SCM_RIGHTS, unix(7)).
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

// sendWait is how long a message may take: the other process reads at once, or is stopped.
const sendWait = 300 * time.Millisecond

// mostFiles is how many descriptors a state brings at most.
const mostFiles = 8

// longestName is what a socket's address holds, less a little (sun_path, unix(7)).
const longestName = 100

// within calls f with a name for the path that fits a socket's address.
func within(path string, f func(name string) error) error {
	if len(path) <= longestName {
		return f(path)
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return f(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}

// Link is the connection of both processes, once the state has been told.
type Link struct {
	conn *net.UnixConn
	in   handover.Reader
	mu   sync.Mutex // of writes
}

// Send tells the other process something. An error means that it is gone, or as good as gone: the
// link is closed, and Read ends.
func (l *Link) Send(n handover.News) error { return l.send(n, nil) }

func (l *Link) send(message any, rights []byte) error {
	text, err := handover.Append(nil, message)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(sendWait))
	if len(rights) > 0 { // with the first byte, so that they are there before the message is whole
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

// Read calls f for each message until the link ends, and returns why it did.
func (l *Link) Read(f func(handover.News)) error {
	defer l.conn.Close()
	for {
		text, files, err := l.message(nil)
		for _, f := range files { // nobody is to send any
			f.Close()
		}
		if err != nil {
			return err
		}
		var n handover.News
		if err := json.Unmarshal(text, &n); err != nil {
			return err
		}
		f(n)
	}
}

// Close ends the link.
func (l *Link) Close() { l.conn.Close() }

// message returns the next message, and adds to files what descriptors came with it.
func (l *Link) message(files []*os.File) ([]byte, []*os.File, error) {
	buf, oob := make([]byte, 16<<10), make([]byte, syscall.CmsgSpace(4*mostFiles))
	for {
		text, err := l.in.Next()
		if text != nil || err != nil {
			return text, files, err
		}
		n, oobn, _, _, err := l.conn.ReadMsgUnix(buf, oob)
		if oobn > 0 {
			files = append(files, received(oob[:oobn])...)
		}
		if err == nil && n == 0 && oobn == 0 {
			err = net.ErrClosed
		}
		if err != nil {
			return nil, files, err
		}
		l.in.Fill(buf[:n])
	}
}

func received(oob []byte) (files []*os.File) {
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

// ErrAlone says that no other process of this dispatcher is there.
var ErrAlone = errors.New("no other process of this dispatcher")

// Refusal is why the process that is there hands nothing over.
type Refusal struct {
	Why  string
	Busy bool // another hand-over is under way: this process is one too many
}

func (r *Refusal) Error() string { return r.Why }

// Join asks the process that serves for its state. The error is ErrAlone where there is none, a
// *Refusal where it said no, and anything else where it could not be understood in time.
func Join(path string, me handover.Hello) (l *Link, s handover.State, files []*os.File, err error) {
	var conn net.Conn
	err = within(path, func(name string) (err error) {
		conn, err = net.DialTimeout("unix", name, sendWait)
		return err
	})
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, s, nil, ErrAlone
	}
	if err != nil {
		return nil, s, nil, err
	}
	l = &Link{conn: conn.(*net.UnixConn), in: handover.Reader{Most: handover.MaxState}}
	defer func() {
		if err != nil {
			l.Close()
			for _, f := range files {
				f.Close()
			}
			l, files = nil, nil
		}
	}()
	if err = sameUser(l.conn); err != nil { // nobody else's listener is ours to serve
		return l, s, files, err
	}
	if err = l.send(me, nil); err != nil {
		return l, s, files, err
	}
	l.conn.SetReadDeadline(time.Now().Add(handover.StateWait))
	var text []byte
	if text, files, err = l.message(files); err != nil {
		return l, s, files, err
	}
	l.conn.SetReadDeadline(time.Time{})
	l.in.Most = handover.MaxNews
	if err = json.Unmarshal(text, &s); err != nil {
		return l, s, files, err
	}
	if s.Refused != "" {
		err = &Refusal{s.Refused, s.Busy}
	}
	return l, s, files, err
}
