package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"tinsail/internal/balance"
	"tinsail/internal/config"
	"tinsail/internal/core"
	"tinsail/internal/handover"
	"tinsail/internal/maintenance"
	"tinsail/internal/network/handoff"
	"tinsail/internal/platform"
	"tinsail/internal/service"
)

// handed is what another process of this dispatcher hands over; the zero value is nothing.
type handed struct {
	link  *handoff.Link
	state handover.State
	stage handover.NewProcess
	files []*os.File // in the order of state.Listeners
}

func (h handed) closeFiles() {
	for _, f := range h.files {
		f.Close()
	}
}

func (h handed) close() {
	h.closeFiles()
	if h.link != nil {
		h.link.Close()
	}
}

func helloOf(cfg *config.Config) handover.Hello {
	return handover.Hello{Version: handover.Version, Name: cfg.Name, Listen: cfg.Listen}
}

// join asks the process of this dispatcher that serves, if there is one, to hand over. Where it cannot
// be understood, this process serves beside it on a listener of its own, by SO_REUSEPORT: what waits in the
// old one's queue when that closes is lost, which is still less than all. It is an error only
// if this process is one too many.
func join(cfg *config.Config, log zerolog.Logger) (handed, error) {
	if cfg.Admin == "" {
		return handed{}, nil
	}
	link, state, files, err := handoff.Join(keptPath(cfg, "sock"), helloOf(cfg))
	h := handed{link: link, state: state, files: files}
	if err == nil {
		if bad := h.stage.HandleState(&state, len(files)); bad != "" {
			err = errors.New(bad)
			h.close()
		}
	}
	var no *handoff.Refusal
	switch {
	case err == nil:
		log.Info().Int("sockets", state.MaxSockets).Int("backends", len(state.List)).Bool("out", state.OutOfService).Msg("hand-over: state taken")
		return h, nil
	case errors.Is(err, handoff.ErrNoProcess):
	case errors.As(err, &no) && no.Busy:
		return handed{}, fmt.Errorf("hand-over: %w", err)
	default:
		log.Error().Err(err).Msg("hand-over: nothing taken over, serves beside the other process")
	}
	return handed{}, nil
}

// listen takes the listener that was handed over under a name, or opens one. Only a
// dispatcher that has a door shares its address with a second process.
func (h handed) listen(cfg *config.Config, name, address string) (net.Listener, error) {
	for i, have := range h.state.Listeners {
		if h.link != nil && have == name {
			return net.FileListener(h.files[i])
		}
	}
	var c net.ListenConfig
	if cfg.Admin != "" {
		c.Control = func(_, _ string, raw syscall.RawConn) (err error) {
			err2 := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
			return errors.Join(err, err2)
		}
	}
	return c.Listen(context.Background(), "tcp", address)
}

// takeover is a process's part in hand-overs: from the one before it, and to the next one.
type takeover struct {
	d      *dispatcher
	server *handoff.Server
	from   handed

	mu     sync.Mutex
	stage  handover.NewProcess
	peer   *handoff.Link // the other process while there is one
	have   int           // descriptors that this process may hold ...
	memory int64         // ... and bytes
	total  int           // that it held before it gave some to the next process

	taken, given, failed atomic.Int64  // hand-overs: from the process before, to the next, and of those that came back
	readyMS              atomic.Int64  // from this process's start, with the state in hand, until it served
	giving               chan struct{} // closed when there is no one to give to any more
}

// addHandover makes this process's part. d.service and d.bans are there.
func (d *dispatcher) addHandover(from handed) {
	t := &takeover{d: d, from: from, have: d.cfg.Sockets, memory: d.cfg.MemoryBytes}
	t.server = &handoff.Server{Path: keptPath(d.cfg, "sock"), Hello: helloOf(d.cfg), Log: d.log,
		GiveState: t.give, StopAccepting: t.hand, OnNews: t.news, OnJoined: t.joined, OnGone: t.gone}
	if from.link != nil {
		t.have, t.memory, t.stage = from.state.MaxSockets, from.state.MemoryBytes, from.stage
		t.taken.Add(1)
	}
	d.resize(t.have, t.memory)
	d.handover = t
}

// inherit takes over what the old process knew, and returns the list. Its version does not come along: versions count anew
// at each address of the director, and this process may have been given another address than the old one had.
func (d *dispatcher) inherit() (list []core.Entry) {
	s := &d.handover.from.state
	if s.OutOfService {
		d.service.TakeOutOfService()
	}
	if err := d.bans.SetOutOfService(s.OutOfService); err != nil {
		d.log.Error().Err(err).Msg("bans not kept")
	}
	d.bans.Merge(s.Marks)
	for _, b := range s.List {
		w := balance.Worker{ID: balance.WorkerID(platform.Hash(b.Name)), Started: b.Started, Kind: b.Kind, Cell: b.Cell, Zone: b.Zone, State: balance.State(b.State), Weight: b.Weight}
		list = append(list, core.Entry{Worker: w, Name: b.Name, Address: b.Address})
	}
	return list
}

// begin accepts clients, once there is a list, and waits for the next process.
func (t *takeover) begin(d *dispatcher) {
	if t.from.link == nil {
		d.accept()
		t.listen()
		return
	}
	t.joined(t.from.link)
	begun := time.Now()
	go func() {
		err := t.from.link.Read(t.news)
		t.oldGone(err)
	}()
	go func() {
		// Nor before it knows which policy of the fleet holds. One that is to end already leaves the clients to the
		// old one, which would be drained in its favour, as long as that is there.
		for !d.core.HasList() || !d.core.Serves() || d.service.State() == service.ShuttingDown && t.at() == handover.Connected {
			time.Sleep(service.PollInterval)
		}
		d.accept()
		t.mu.Lock()
		tell := t.stage.StartServing(time.Now())
		t.mu.Unlock()
		if tell {
			_ = t.from.link.Send(handover.StatusUpdate{Ready: true}) // if it is gone, so much the better
		}
		for !t.serves() {
			time.Sleep(service.PollInterval)
		}
		t.listen()
		t.readyMS.Store(time.Since(begun).Milliseconds())
		d.log.Info().Stringer("stage", t.at()).Dur("after_ms", time.Since(begun)).Msg("hand-over: serves")
	}()
}

// each calls f for the counters of hand-overs.
func (t *takeover) each(f func(name string, n int64)) {
	f("handovers_taken", t.taken.Load())
	f("handovers_given", t.given.Load())
	f("handovers_failed", t.failed.Load())
	f("handover_ready_ms", t.readyMS.Load())
	f("handover_stage", int64(t.at()))
}

func (t *takeover) listen() {
	if err := t.server.Listen(); err != nil {
		t.d.log.Error().Err(err).Msg("hand-over: cannot wait for a next process")
	}
}

func (t *takeover) at() handover.Stage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stage.Stage()
}

// serves says whether this process serves in the dispatcher's name.
func (t *takeover) serves() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stage.MayReportServing(time.Now())
}

// news takes what the other process says, at either end.
func (t *takeover) news(n handover.StatusUpdate) {
	switch {
	case n.StoppedAccepting:
		t.mu.Lock()
		t.stage.HandleStopAccepting()
		t.mu.Unlock()
	case n.MaxSockets > 0:
		t.mu.Lock()
		more := n.MaxSockets > t.have && n.MaxSockets < t.d.cfg.Sockets
		if more {
			t.have = n.MaxSockets
		}
		sockets, memory := t.have, t.memory
		t.mu.Unlock()
		if more {
			t.d.resize(sockets, memory)
		}
	case n.Mark != nil:
		t.d.bans.Merge([]maintenance.Mark{*n.Mark})
	case n.OutOfService != nil:
		t.d.setOut(*n.OutOfService)
	}
}

// setOut follows a call that the other process had.
func (d *dispatcher) setOut(out bool) {
	if out {
		d.service.TakeOutOfService()
	} else {
		d.service.ReturnToService()
	}
	if err := d.bans.SetOutOfService(out); err != nil {
		d.log.Error().Err(err).Msg("bans not kept")
	}
}

// joined has the other process hear of calls from now on, and of those that came meanwhile.
func (t *takeover) joined(l *handoff.Link) {
	t.mu.Lock()
	t.peer = l
	t.mu.Unlock()
	for _, m := range t.d.bans.ShareWith(func(m maintenance.Mark) { _ = l.Send(handover.StatusUpdate{Mark: &m}) }) {
		_ = l.Send(handover.StatusUpdate{Mark: &m})
	}
}

// tellOut tells the other process, if there is one, of a call. t may be nil.
func (t *takeover) tellOut(out bool) {
	if t == nil {
		return
	}
	t.mu.Lock()
	l := t.peer
	t.mu.Unlock()
	if l != nil {
		_ = l.Send(handover.StatusUpdate{OutOfService: &out})
	}
}

// oldGone takes the news that the process before this one has ended: all room is this one's, unless
// it gives to a next one already.
func (t *takeover) oldGone(err error) {
	t.mu.Lock()
	at, alone := t.stage.Stage(), t.peer == t.from.link
	t.stage.HandleDisconnect()
	if t.total = t.d.cfg.Sockets; alone {
		t.peer, t.have, t.memory = nil, t.d.cfg.Sockets, t.d.cfg.MemoryBytes
	}
	t.mu.Unlock()
	if alone {
		t.d.bans.ShareWith(nil)
		t.d.resize(t.d.cfg.Sockets, t.d.cfg.MemoryBytes)
		t.d.core.SetOverlap(false) // the whole budget of cold backends is this process's again
	}
	t.d.log.Info().Stringer("stage", at).AnErr("link", err).Msg("hand-over: the old process is gone")
}

// spare is what a process needs of descriptors beside sessions and connections to backends.
func (t *takeover) spare() int { return 32 + doorSockets(t.d.cfg) }

func (t *takeover) used() int { return t.d.clients.OpenSessions() + t.d.pool.OpenConnections() }

// give gives room up and tells all that this process knows.
func (t *takeover) give() (handover.State, []syscall.Conn) {
	d := t.d
	t.mu.Lock()
	keep, give := handover.SplitDescriptors(t.have, t.used(), t.spare())
	t.total, t.have, t.memory = t.have, keep, t.memory/2
	t.giving = make(chan struct{})
	memory := t.memory
	t.mu.Unlock()
	d.resize(keep, memory)
	d.core.SetOverlap(true)
	s := handover.State{MaxSockets: give, MemoryBytes: memory, OutOfService: d.service.IsOutOfService()}
	list, marks := d.bans.State()
	s.Marks = marks
	for _, b := range list {
		s.List = append(s.List, handover.Backend{Name: b.Name, Address: b.Address, Kind: b.Kind, Zone: b.Zone, Cell: b.Cell,
			State: uint8(b.State), Weight: b.Weight, Started: b.Started})
	}
	var conns []syscall.Conn
	for _, l := range []struct {
		name string
		net.Listener
	}{{"http1", d.listener}, {"http2", d.listener2}} {
		if c, ok := l.Listener.(syscall.Conn); ok {
			s.Listeners, conns = append(s.Listeners, l.name), append(conns, c)
		}
	}
	return s, conns
}

// hand accepts no more, and gives up more room as sessions end.
func (t *takeover) hand() {
	t.d.service.HandOver()
	t.given.Add(1)
	t.mu.Lock()
	l, all, giving := t.peer, t.total, t.giving
	t.mu.Unlock()
	go func() {
		tick := time.NewTicker(250 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-giving:
				return
			case <-tick.C:
			}
			t.mu.Lock()
			keep := t.used() + t.spare()
			less := keep+8 < t.have
			if less {
				t.have = keep
			}
			t.mu.Unlock()
			if less {
				t.d.pool.Resize(t.d.pool.OpenConnections() + 8)
				_ = l.Send(handover.StatusUpdate{MaxSockets: all - keep})
			}
		}
	}()
}

// gone takes the news that the process after this one is gone.
func (t *takeover) gone(accept bool) {
	t.mu.Lock()
	close(t.giving)
	t.peer, t.have, t.memory = nil, t.total, t.memory*2
	sockets, memory := t.have, t.memory
	t.mu.Unlock()
	t.d.bans.ShareWith(nil)
	t.d.resize(sockets, memory)
	t.d.core.SetOverlap(false)
	t.failed.Add(1)
	if accept {
		t.d.service.ResumeAfterHandOver()
	}
}
