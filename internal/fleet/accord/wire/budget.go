package wire

import (
	"fmt"

	"tinsail/internal/budget"
	"tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/frames"
)

// MaxUnits is the most that is wanted or lent: no budget is larger.
const MaxUnits = 1_000_000

// BudgetRequest is a dispatcher's ask for its share of a budget, and BudgetGrant the leader's answer to it.
type (
	BudgetRequest struct {
		Budget  string
		Request budget.Ask
	}
	BudgetGrant struct {
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

// EncodeBudgetRequest is the bytes of an ask for a share.
func EncodeBudgetRequest(w BudgetRequest) []byte {
	return frames.Encode(&want{Format, kindWant, w.Budget, w.Request.Peer, w.Request.Epoch, w.Request.Seq, uint64(max(w.Request.Want, 0))})
}

// EncodeBudgetGrant is the bytes of its answer.
func EncodeBudgetGrant(l BudgetGrant) []byte {
	return frames.Encode(&lent{Format, kindLent, l.Budget, l.Grant.Peer, l.Grant.Epoch, l.Grant.Seq, uint64(max(l.Grant.Units, 0)), uint64(max(l.Grant.Of, 0))})
}

func readWant(p []byte) (*BudgetRequest, error) {
	var w want
	if err := frames.Decode(p, &w); err != nil {
		return nil, err
	}
	if w.Units > MaxUnits || badName(w.Budget) || badName(w.Peer) {
		return nil, fmt.Errorf("%w: an ask for a share is out of range", ErrMessage)
	}
	return &BudgetRequest{w.Budget, budget.Ask{Peer: w.Peer, Epoch: w.Epoch, Seq: w.Seq, Want: int(w.Units)}}, nil
}

func readLent(p []byte) (*BudgetGrant, error) {
	var l lent
	if err := frames.Decode(p, &l); err != nil {
		return nil, err
	}
	if l.Units > MaxUnits || l.Of > MaxUnits || badName(l.Budget) || badName(l.Peer) {
		return nil, fmt.Errorf("%w: a share is out of range", ErrMessage)
	}
	return &BudgetGrant{l.Budget, budget.Grant{Peer: l.Peer, Epoch: l.Epoch, Seq: l.Seq, Units: int(l.Units), Of: int(l.Of)}}, nil
}

func badName(name string) bool { return name == "" || len(name) > accord.MaxName }
