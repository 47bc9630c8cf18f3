package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"tinsail/internal/balance"
	"tinsail/internal/config"
	"tinsail/internal/core"
	"tinsail/internal/handover"
	"tinsail/internal/network/budgets"
	"tinsail/internal/network/handoff"
	"tinsail/internal/platform"
)

// handoverData is what another process of this dispatcher hands over. The zero value means that there is no such process.
type handoverData struct {
	link  *handoff.Link
	state handover.State
	stage handover.NewProcess
	files []*os.File // in the order of state.Listeners
	// unread says that there is such a process, and that its messages could not be read.
	unread bool
}

// besideOther reports whether another process of this dispatcher serves.
func (h handoverData) besideOther() bool { return h.link != nil || h.unread }

func (h handoverData) closeFiles() {
	for _, f := range h.files {
		f.Close()
	}
}

func (h handoverData) close() {
	h.closeFiles()
	if h.link != nil {
		h.link.Close()
	}
}

// newHello returns the message by which processes of one dispatcher recognize each other.
func newHello(cfg *config.Config) handover.Hello {
	return handover.Hello{Version: handover.Version, Name: cfg.Name, Listen: cfg.Listen}
}

// requestHandover asks the serving process of this dispatcher, if there is one, to hand over. If its messages cannot be read, this
// process serves beside it on a listener of its own, by SO_REUSEPORT: connections in the accept queue of the old listener are lost
// when that closes, but those that are accepted are not. It returns an error only if another hand-over is under way.
func requestHandover(cfg *config.Config, log zerolog.Logger) (handoverData, error) {
	if cfg.Admin == "" {
		return handoverData{}, nil
	}
	link, state, files, err := handoff.Join(statePath(cfg, "sock"), newHello(cfg))
	h := handoverData{link: link, state: state, files: files}
	if err == nil {
		if fault := h.stage.HandleState(&state, len(files)); fault != "" {
			err = errors.New(fault)
			h.close()
		}
	}
	var refusal *handoff.Refusal
	switch {
	case err == nil:
		log.Info().Int("sockets", state.MaxSockets).Int("backends", len(state.List)).Bool("out", state.OutOfService).Msg("hand-over: state taken")
		return h, nil
	case errors.Is(err, handoff.ErrNoProcess):
	case errors.As(err, &refusal) && refusal.Busy:
		return handoverData{}, fmt.Errorf("hand-over: %w", err)
	default:
		log.Error().Err(err).Msg("hand-over: nothing taken over, serves beside the other process")
		return handoverData{unread: true}, nil
	}
	return handoverData{}, nil
}

// openListener returns the listener that was handed over under a name, or opens one. Only a dispatcher with an operators' control
// listener (the door) shares its address with a second process.
func (h handoverData) openListener(cfg *config.Config, name, address string) (net.Listener, error) {
	for i, listener := range h.state.Listeners {
		if h.link != nil && listener == name {
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

// adoptState applies the state of the old process and returns its list of backends. The list's version is not adopted: versions are
// counted separately at each address of the director, and this process may be configured with another address than the old one.
func (d *dispatcher) adoptState() (list []core.Entry) {
	s := &d.handover.from.state
	if s.OutOfService {
		d.service.TakeOutOfService()
	}
	if err := d.bans.SetOutOfService(s.OutOfService); err != nil {
		d.log.Error().Err(err).Msg("bans not stored")
	}
	d.bans.Merge(s.Marks)
	d.core.ReserveIDs(s.IDs)
	for _, b := range s.List {
		w := balance.Worker{ID: balance.WorkerID(platform.Hash(b.Name)), Started: b.Started, Kind: b.Kind, Cell: b.Cell, Zone: b.Zone, State: balance.State(b.State), Weight: b.Weight}
		list = append(list, core.Entry{Worker: w, Name: b.Name, Address: b.Address})
	}
	return list
}

// giveState gives up a part of the descriptors and memory, and returns this process's state and listeners for the next one.
func (t *processHandover) giveState() (handover.State, []syscall.Conn) {
	d := t.dispatcher
	t.mu.Lock()
	keep, give := handover.SplitDescriptors(t.maxSockets, t.usedDescriptors(), t.reservedDescriptors())
	t.totalSockets, t.maxSockets, t.maxMemory = t.maxSockets, keep, t.maxMemory/2
	t.nextGone = make(chan struct{})
	memory := t.maxMemory
	t.mu.Unlock()
	d.resize(keep, memory)
	d.core.SetOverlap(true)
	d.setBudgetPart(budgets.Remaining)
	s := handover.State{MaxSockets: give, MemoryBytes: memory, OutOfService: d.service.IsOutOfService(), IDs: t.shareIDs()}
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
	}{{"http1", d.listener}, {"http2", d.http2Listener}} {
		if c, ok := l.Listener.(syscall.Conn); ok {
			s.Listeners, conns = append(s.Listeners, l.name), append(conns, c)
		}
	}
	return s, conns
}
