package main

import (
	"errors"
	"fmt"
	"io"

	"tinsail/internal/balance"
	"tinsail/internal/wire"
)

// host routes the events of a batch to the dispatchers of this process.
type host struct {
	instances   map[uint16]*instance
	workerLists [16][]balance.Worker
	buf         []byte
	reply       wire.Reply
	report      []float32
	current     *instance
	currentID   uint16
	repliedID   uint16 // the instance that the last actions in the reply belong to
	replied     bool   // the reply holds actions of an instance
}

// instance is one dispatcher; it writes the dispatcher's actions into the reply.
type instance struct {
	host       *host
	id         uint16
	dispatcher *balance.Dispatcher
}

func newHost() *host { return &host{instances: map[uint16]*instance{}} }

// step reads one batch and writes its reply. A panic of a dispatcher is reported as a bug: it must
// not end the process silently.
func (h *host) step(r io.Reader, w io.Writer) (err error) {
	var b wire.Batch
	if b, h.buf, err = wire.ReadBatch(r, h.buf); err != nil {
		return err
	}
	h.reply.Reset()
	h.current, h.replied = nil, false
	if err := h.handleBatchRecovering(b); err != nil {
		return err
	}
	if _, err := w.Write(h.reply.Frame()); err != nil {
		return fmt.Errorf("writing a reply: %w", err)
	}
	return nil
}

func (h *host) handleBatchRecovering(b wire.Batch) (err error) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.Bug(fmt.Sprint("panic: ", p))
			err = nil
		}
	}()
	return h.handleBatch(b)
}

func (h *host) handleBatch(b wire.Batch) error {
	rest := b.Records
	for i := 0; i < b.Count; i++ {
		code, f, after, err := wire.NextRecord(rest)
		if err != nil {
			return fmt.Errorf("batch at %v, record %d of %d: %w", b.Clock, i+1, b.Count, err)
		}
		rest = after
		if err := h.handleRecord(b.Clock, code, f); err != nil {
			return fmt.Errorf("batch at %v, record %d of %d: %w", b.Clock, i+1, b.Count, err)
		}
	}
	if len(rest) > 0 {
		return fmt.Errorf("batch at %v: %d bytes after its %d records", b.Clock, len(rest), b.Count)
	}
	return nil
}

func (h *host) handleRecord(now float64, code byte, f wire.Fields) error {
	switch code {
	case wire.EvInstance:
		h.currentID = f.U16()
		h.current = h.instances[h.currentID]
		if h.current == nil {
			h.current = &instance{host: h, id: h.currentID}
		}
		return nil
	case wire.EvWorkerList:
		return h.readWorkerList(f)
	case wire.EvConfigure, wire.EvStop, wire.EvUpdate, wire.EvRequest, wire.EvAbandoned,
		wire.EvAnswer, wire.EvProgress, wire.EvProbed, wire.EvWake:
		if h.current == nil {
			return fmt.Errorf("record %d without an instance before it", code)
		}
		return h.handleEvent(now, code, f)
	}
	return nil // a record type that this version does not know
}

func (h *host) handleEvent(now float64, code byte, f wire.Fields) error {
	switch code {
	case wire.EvConfigure:
		return h.configure(f)
	case wire.EvStop:
		delete(h.instances, h.currentID)
		h.current.dispatcher = nil
		return nil
	}
	d := h.current.dispatcher
	if d == nil {
		return fmt.Errorf("record %d for instance %d, which has no settings", code, h.currentID)
	}
	switch code {
	case wire.EvUpdate:
		return h.applyList(now, d, f)
	case wire.EvRequest:
		d.Arrive(now, decodeRequest(&f))
	case wire.EvAbandoned:
		d.Abandoned(now, balance.RequestID(f.U32()))
	case wire.EvAnswer:
		o, err := h.decodeOutcome(&f)
		if err != nil {
			return err
		}
		d.AttemptEnded(now, o)
	case wire.EvProgress:
		p := balance.Progress{ID: balance.RequestID(f.U32()), Attempt: int(f.U8())}
		p.Started = f.U8() == 1
		p.Worker, p.Done = balance.WorkerID(f.Worker()), f.F32()
		d.Progressed(now, p)
	case wire.EvProbed:
		p := balance.ProbeResult{Worker: balance.WorkerID(f.Worker())}
		res, err := decodeResult(f.U16())
		if err != nil {
			return err
		}
		p.Result, p.Took = res, f.F64()
		h.report = f.Report(h.report)
		p.Report = h.report
		d.Probed(now, p)
	case wire.EvWake:
		d.Wake(now, f.U64())
	}
	return nil
}

func (h *host) configure(f wire.Fields) error {
	seed := f.U64()
	text, err := f.Bytes()
	if err != nil {
		return fmt.Errorf("settings of instance %d: %w", h.currentID, err)
	}
	s, err := wire.ParseSettings(seed, text)
	if err != nil {
		return fmt.Errorf("instance %d: %w", h.currentID, err)
	}
	in := &instance{host: h, id: h.currentID}
	if in.dispatcher, err = balance.New(s, in); err != nil {
		return fmt.Errorf("instance %d: %w", h.currentID, err)
	}
	h.instances[h.currentID], h.current = in, in
	return nil
}

func (h *host) readWorkerList(f wire.Fields) error {
	slot := f.U16()
	if int(slot) >= len(h.workerLists) {
		return fmt.Errorf("worker list %d does not exist", slot)
	}
	n := int(f.U32())
	if n*wire.EntrySize > f.Remaining() {
		return fmt.Errorf("worker list %d states %d entries in %d bytes", slot, n, f.Remaining())
	}
	list := h.workerLists[slot][:0]
	for ; n > 0; n-- {
		var w balance.Worker
		w.Started = f.F64()
		w.Kind = int(f.U16())
		w.ID = balance.WorkerID(f.Worker())
		w.Cell = int(f.U16())
		w.State = states[min(int(f.U8()), len(states)-1)]
		w.Weight = f.F32()
		w.Zone = int(f.U8())
		list = append(list, w)
	}
	h.workerLists[slot] = list
	return nil
}

var states = [...]balance.State{balance.Gone, balance.Ready, balance.Draining, balance.Draining}

func (h *host) applyList(now float64, d *balance.Dispatcher, f wire.Fields) error {
	kind := f.U8()
	f.U32() // version of the list: deltas arrive in order and without gaps
	slot := f.U16()
	switch {
	case kind > 3:
		return fmt.Errorf("update of unknown kind %d", kind)
	case kind == 3:
		d.Workers(now, balance.ListFailed, nil)
	case int(slot) >= len(h.workerLists):
		return fmt.Errorf("update refers to worker list %d, which does not exist", slot)
	default:
		d.Workers(now, balance.ListKind(kind), h.workerLists[slot])
	}
	return nil
}

func decodeRequest(f *wire.Fields) balance.Request {
	r := balance.Request{ID: balance.RequestID(f.U32()), Class: int(f.U8())}
	r.Tenant = int(f.U32())
	r.Key = f.U64()
	r.Deadline = f.F64()
	work := f.F64()
	r.Slots, r.Memory = f.F32(), f.F32()
	flags := f.U8()
	if flags&1 != 0 {
		r.Work = work
	}
	r.Retry = flags&2 != 0
	return r
}

func (h *host) decodeOutcome(f *wire.Fields) (balance.Outcome, error) {
	o := balance.Outcome{ID: balance.RequestID(f.U32()), Attempt: int(f.U8())}
	o.Worker = balance.WorkerID(f.Worker())
	var err error
	o.Result, err = decodeResult(f.U16())
	o.Took = f.F64()
	o.Closed = f.U8() != 0
	f.U8() // note of the job family, not used
	h.report = f.Report(h.report)
	o.Report = h.report
	return o, err
}

func decodeResult(code uint16) (balance.Result, error) {
	if code < 10 || code > 80 || code%10 != 0 {
		return 0, errors.New("unknown outcome " + fmt.Sprint(code))
	}
	return balance.Result(code/10 - 1), nil
}

// replyTo returns the reply. It first selects this instance if the last action was another's.
func (in *instance) replyTo() *wire.Reply {
	h := in.host
	if !h.replied || h.repliedID != in.id {
		h.reply.SelectInstance(in.id)
		h.repliedID, h.replied = in.id, true
	}
	return &h.reply
}

func (in *instance) Dispatch(id balance.RequestID, to balance.WorkerID, within float64) {
	in.replyTo().Dispatch(uint32(id), uint64(to), within)
}
func (in *instance) Refuse(id balance.RequestID, retryAfter float64) {
	in.replyTo().Refuse(uint32(id), retryAfter)
}
func (in *instance) Fail(id balance.RequestID) { in.replyTo().Fail(uint32(id)) }
func (in *instance) Cancel(id balance.RequestID, attempt int) {
	in.replyTo().Cancel(uint32(id), uint8(attempt))
}
func (in *instance) CloseIdle(to balance.WorkerID)    { in.replyTo().CloseIdle(uint64(to)) }
func (in *instance) Probe(to balance.WorkerID)        { in.replyTo().Probe(uint64(to)) }
func (in *instance) Wake(after float64, token uint64) { in.replyTo().Wake(after, token) }
func (in *instance) Subscribe()                       { in.replyTo().Subscribe() }
func (in *instance) Log(line string)                  { in.replyTo().Log(line) }
