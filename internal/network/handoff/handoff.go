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
	"syscall"
	"time"

	"tinsail/internal/handover"
)

// dialTimeout limits the time to connect and to send the hello, which fits into any socket's buffer.
const dialTimeout = 300 * time.Millisecond

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
		conn, err = net.DialTimeout("unix", name, dialTimeout)
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
	if err = l.sendFirst(me, nil, dialTimeout); err != nil {
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
