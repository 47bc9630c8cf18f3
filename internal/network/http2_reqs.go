package network

import (
	"errors"
	"time"

	"golang.org/x/net/http2/hpack"

	"tinsail/internal/core"
	"tinsail/internal/http2"
	"tinsail/internal/platform"
)

// handleEvents carries out the events of the state machine. s.mu is held.
func (s *http2Session) handleEvents() {
	c := s.front.Clients
	for e, ok := s.machine.Next(); ok; e, ok = s.machine.Next() {
		switch e.Kind {
		case http2.Opened:
			s.streamOpened(e.Stream)
		case http2.BodyComplete:
			s.reqComplete(e.Stream)
		case http2.StreamReset:
			c.Count.HTTP2Resets.Add(1)
			c.Count.Endings[core.StreamReset].Add(1)
			r, ok := e.Stream.Data.(*streamReq)
			e.Stream.Data = nil
			if ok && r.taken {
				r.abandon()
			} else {
				s.machine.ReleaseStream(e.Stream.ID)
			}
		case http2.Aborted:
			c.Count.ReqsBad.Add(1)
		case http2.Ended:
			s.ended = true
			s.abandonLost()
			switch {
			case e.Reason != "":
				s.ending = core.ClientBad
				c.Log.Debug().Stringer("client", s.conn.RemoteAddr()).Stringer("code", e.Code).Str("reason", e.Reason).Msg("http2 connection ended")
			case s.ending == 0:
				s.ending = core.SessionDone
			}
			s.signalWriter()
		}
	}
	s.reportIdle()
}

// fieldsByHTTP2Name maps the field names of HTTP/2, which are lower case, to the fields of a request.
var fieldsByHTTP2Name = func() map[string]platform.Field {
	m := map[string]platform.Field{}
	for f, name := range platform.FieldNames {
		b := []byte(name)
		for i := range b {
			if 'A' <= b[i] && b[i] <= 'Z' {
				b[i] += 'a' - 'A'
			}
		}
		m[string(b)] = platform.Field(f)
	}
	return m
}()

func parseFields(list []hpack.HeaderField) (f platform.Fields) {
	for i := range list {
		if name, ok := fieldsByHTTP2Name[list[i].Name]; ok {
			f.Add(name, list[i].Value)
		}
	}
	return f
}

// streamOpened handles the head of a request. Whether it is answered without the core is known by then. In that case its body
// is counted but not kept, and the answer is given once the body is complete: an error of the client that shows only at the
// end of the body is reported before any other.
func (s *http2Session) streamOpened(st *http2.Stream) {
	c := s.front.Clients
	st.Data = nil
	if !s.hasStreams {
		s.hasStreams = true
		c.table.reqReceived(&s.sessionState)
	}
	q := platform.Request{Method: st.Head.Method, Target: st.Head.Path, Fields: parseFields(st.Head.Fields)}
	var err error
	var work platform.JobRequest
	switch {
	case q.Method == "GET" || q.Method == "HEAD":
		st.Data, st.Discard = statusQuery{q.Path()}, true
		return
	case q.Method != "POST":
		err = &platform.RequestError{Status: 405, Reason: "a method that is not POST"}
	default:
		work, err = c.Names.ReadJobRequest(&q)
	}
	if err != nil {
		st.Data, st.Discard = err, true
		return
	}
	if s.overLimit { // the dispatch module has not seen it, so another dispatcher may take it
		c.Count.ReqsShed.Add(1)
		s.machine.Reset(st.ID, http2.RefusedStream)
		return
	}
	r := &streamReq{session: s, id: st.ID, arrivedAt: s.lastByteAt, work: work}
	r.job = &core.Job{Method: q.Method, Target: q.Target, ID: work.ID, IdempotencyKey: work.IdempotencyKey}
	st.Data = r
}

// statusQuery is a stream that asks for the dispatcher's state.
type statusQuery struct{ path string }

// reqComplete passes a complete request to the core.
func (s *http2Session) reqComplete(st *http2.Stream) {
	c := s.front.Clients
	var r *streamReq
	switch d := st.Data.(type) {
	case *streamReq:
		r = d
	case statusQuery:
		status, body := c.statusResponse("GET", d.path)
		s.machine.Answer(st.ID, status, 0, body, time.Now())
		return
	case error:
		s.refuse(st, d)
		return
	}
	job := r.job
	job.Body, r.job = st.Body, nil
	r.taken = true // before its answer can come
	var fresh bool
	if r.handle, fresh = c.Core.Submit(r.work.Request, job, r.arrivedAt, c.timeLeft(r.work.TimeLeft, r.arrivedAt), r); !fresh {
		r.taken = false
		s.refuse(st, &platform.RequestError{Status: 409, Reason: "this X-Correlation-Id has been used"})
		return
	}
	c.Count.ReqsTaken.Add(1)
}

func (s *http2Session) refuse(st *http2.Stream, err error) {
	bad := &platform.RequestError{Status: 400}
	errors.As(err, &bad)
	s.front.Clients.Count.ReqsBad.Add(1)
	s.machine.Answer(st.ID, bad.Status, bad.RetryAfter, err.Error()+"\n", time.Now())
	s.machine.CountRejected()
}
