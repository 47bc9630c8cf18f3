package wire

import (
	"fmt"

	"tinsail/internal/budget"
	"tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/frames"
)

// MaxUnits is the most that is wanted or lent: no budget is larger.
const MaxUnits = 1_000_000

// Want is a dispatcher's ask for its share of a budget, and Lent the leader's answer to it.
type (
	Want struct {
		Budget string
		Ask    budget.Ask
	}
	Lent struct {
		Budget string
		Grant  budget.Grant
	}
)

type want struct {
	F      uint8  `msgpack:"f"`
	Kind   string `msgpack:"kind"`
	Budget string `msgpack:"budget"`
	Peer   string `msgpack:"peer"`
	Epoch  uint64 `msgpack:"epoch"`
	Seq    uint64 `msgpack:"seq"`
	Units  uint64 `msgpack:"units"`
}

type lent struct {
	F      uint8  `msgpack:"f"`
	Kind   string `msgpack:"kind"`
	Budget string `msgpack:"budget"`
	Peer   string `msgpack:"peer"`
	Epoch  uint64 `msgpack:"epoch"`
	Seq    uint64 `msgpack:"seq"`
	Units  uint64 `msgpack:"units"`
	Of     uint64 `msgpack:"of"`
}

// WriteWant is the bytes of an ask for a share.
func WriteWant(w Want) []byte {
	return frames.Encode(&want{Format, kindWant, w.Budget, w.Ask.Peer, w.Ask.Epoch, w.Ask.Seq, uint64(max(w.Ask.Want, 0))})
}

// WriteLent is the bytes of its answer.
func WriteLent(l Lent) []byte {
	return frames.Encode(&lent{Format, kindLent, l.Budget, l.Grant.Peer, l.Grant.Epoch, l.Grant.Seq, uint64(max(l.Grant.Units, 0)), uint64(max(l.Grant.Of, 0))})
}

func readWant(p []byte) (*Want, error) {
	var w want
	if err := frames.Decode(p, &w); err != nil {
		return nil, err
	}
	if w.Units > MaxUnits || badName(w.Budget) || badName(w.Peer) {
		return nil, fmt.Errorf("%w: an ask for a share is out of range", ErrMessage)
	}
	return &Want{w.Budget, budget.Ask{Peer: w.Peer, Epoch: w.Epoch, Seq: w.Seq, Want: int(w.Units)}}, nil
}

func readLent(p []byte) (*Lent, error) {
	var l lent
	if err := frames.Decode(p, &l); err != nil {
		return nil, err
	}
	if l.Units > MaxUnits || l.Of > MaxUnits || badName(l.Budget) || badName(l.Peer) {
		return nil, fmt.Errorf("%w: a share is out of range", ErrMessage)
	}
	return &Lent{l.Budget, budget.Grant{Peer: l.Peer, Epoch: l.Epoch, Seq: l.Seq, Units: int(l.Units), Of: int(l.Of)}}, nil
}

func badName(name string) bool { return name == "" || len(name) > accord.MaxName }
