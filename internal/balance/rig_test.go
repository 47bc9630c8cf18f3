package balance

import (
	"testing"
)

// action is one recorded action.
type action struct {
	verb    string
	id      RequestID
	worker  WorkerID
	attempt int
	in      Millis
	token   uint64
}

// recorder records the actions of a dispatcher.
type recorder struct{ actions []action }

func (r *recorder) Dispatch(id RequestID, to WorkerID, _ Millis) {
	r.actions = append(r.actions, action{verb: "dispatch", id: id, worker: to})
}

func (r *recorder) Refuse(id RequestID, p Millis) {
	r.actions = append(r.actions, action{verb: "refuse", id: id, in: p})
}

func (r *recorder) Fail(id RequestID) { r.actions = append(r.actions, action{verb: "fail", id: id}) }

func (r *recorder) Cancel(id RequestID, k int) {
	r.actions = append(r.actions, action{verb: "cancel", id: id, attempt: k})
}

func (r *recorder) CloseIdle(to WorkerID) {
	r.actions = append(r.actions, action{verb: "hang up", worker: to})
}

func (r *recorder) Probe(to WorkerID) {
	r.actions = append(r.actions, action{verb: "probe", worker: to})
}

func (r *recorder) Wake(in Millis, token uint64) {
	r.actions = append(r.actions, action{verb: "wake", in: in, token: token})
}

func (r *recorder) Subscribe() { r.actions = append(r.actions, action{verb: "subscribe"}) }

func (r *recorder) Log(string) { r.actions = append(r.actions, action{verb: "log"}) }

// take returns the recorded actions of one verb and clears the record.
func (r *recorder) take(verb string) (out []action) {
	for _, a := range r.actions {
		if a.verb == verb {
			out = append(out, a)
		}
	}
	r.actions = r.actions[:0]
	return out
}

func testSettings() Settings {
	return Settings{
		Seed: 1, Instances: 1, Zones: 3, Kinds: 2, MaxAttempts: 3, MayDuplicate: true, MayCancel: true,
		ConnectTimeout: 200, Tick: 5, TellsStart: true, ProgressEvery: 1000, OverShareWorth: 0.1,
		Mix: Mix{Whole: 0.7, WorstClass: 0.3},
		Classes: []Class{
			{Worth: 5, Aim: 400, Deadline: 10000, Kind: -1},
			{Worth: 3, Aim: 400, Deadline: 10000, Kind: -1, Effect: Unsafe},
			{Worth: 3, Aim: 400, Deadline: 10000, Kind: -1, Effect: Deduped, Scope: ScopeZone, RepeatWindow: 5000},
			{Worth: 3, Aim: 400, Deadline: 10000, Kind: -1, Effect: Deduped, Scope: ScopeCell, RepeatWindow: 5000},
			{Worth: 3, Aim: 400, Deadline: 10000, Kind: -1, Effect: Deduped, Scope: ScopeAll, RepeatWindow: 5000},
			{Worth: 1, Aim: 400, Deadline: 10000, Kind: 1},
		},
		Rules: Rules{AnswerSlack: 20, AskEvery: 10000, FallMultiple: 3, FallWindow: 1000,
			StartCapacity: 0.2, WarmAfter: 10000, DrainGrace: 500},
	}
}

// fleet makes n ready workers, with kinds, zones and cells in rotation.
func fleet(n int) []Worker {
	list := make([]Worker, n)
	for i := range list {
		list[i] = Worker{ID: WorkerID(1000 + i), Kind: i % 2, Zone: i % 3, Cell: i % 4, State: Ready, Weight: 4}
	}
	return list
}

// oneZone makes n ready workers, all in zone 0.
func oneZone(n int) []Worker {
	list := fleet(n)
	for i := range list {
		list[i].Zone = 0
	}
	return list
}

func startDispatcher(t testing.TB, s Settings, list []Worker) (*Dispatcher, *recorder) {
	t.Helper()
	rec := &recorder{}
	d, err := New(s, rec)
	if err != nil {
		t.Fatal(err)
	}
	d.Workers(1, ListCached, list)
	return d, rec
}

func newRequest(id int, class int) Request {
	return Request{ID: RequestID(id), Class: class, Deadline: 9000, Slots: 1}
}

// dispatchedTo delivers a request and returns the worker it was sent to, or 0.
func dispatchedTo(d *Dispatcher, rec *recorder, now Millis, q Request) WorkerID {
	rec.actions = rec.actions[:0]
	d.Arrive(now, q)
	if a := rec.take("dispatch"); len(a) == 1 {
		return a[0].worker
	}
	return 0
}

func withDeadline(q Request, at Millis) Request { q.Deadline = at; return q }

// noActions ignores all actions.
type noActions struct{}

// printer prints dispatches, where a real node would send them over the network.
type printer struct{ noActions }
