package wire

import (
	"fmt"

	"tinsail/internal/budget"
	"tinsail/internal/fleet/accord"
	"tinsail/internal/fleet/frames"
)

// MaxUnits is the maximum of units in a request or grant. No budget is larger.
const MaxUnits = 1_000_000

// BudgetRequest asks the leader for a dispatcher's share of a budget. BudgetGrant is the reply.
type (
	BudgetRequest struct {
		Budget  string
		Request budget.LeaseRequest
	}
	BudgetGrant struct {
		Budget string
		Grant  budget.Grant
	}
)

// budgetRequest is the encoded form of BudgetRequest.
type budgetRequest struct {
	Format uint8  `msgpack:"f"`
	Kind   string `msgpack:"kind"`
	Budget string `msgpack:"budget"`
	Peer   string `msgpack:"peer"`
	Epoch  uint64 `msgpack:"epoch"`
	Seq    uint64 `msgpack:"seq"`
	Units  uint64 `msgpack:"units"`
}

// budgetGrant is the encoded form of BudgetGrant.
type budgetGrant struct {
	Format uint8  `msgpack:"f"`
	Kind   string `msgpack:"kind"`
	Budget string `msgpack:"budget"`
	Peer   string `msgpack:"peer"`
	Epoch  uint64 `msgpack:"epoch"`
	Seq    uint64 `msgpack:"seq"`
	Units  uint64 `msgpack:"units"`
	Of     uint64 `msgpack:"of"`
}

// EncodeBudgetRequest encodes a budget request.
func EncodeBudgetRequest(r BudgetRequest) []byte {
	return frames.Encode(&budgetRequest{Format, kindBudgetRequest, r.Budget, r.Request.Peer, r.Request.Epoch, r.Request.Seq, uint64(max(r.Request.Wanted, 0))})
}

// EncodeBudgetGrant encodes a budget grant.
func EncodeBudgetGrant(g BudgetGrant) []byte {
	return frames.Encode(&budgetGrant{Format, kindBudgetGrant, g.Budget, g.Grant.Peer, g.Grant.Epoch, g.Grant.Seq, uint64(max(g.Grant.Units, 0)), uint64(max(g.Grant.Total, 0))})
}

func decodeBudgetRequest(p []byte) (*BudgetRequest, error) {
	var r budgetRequest
	if err := frames.Decode(p, &r); err != nil {
		return nil, err
	}
	if r.Units > MaxUnits || invalidName(r.Budget) || invalidName(r.Peer) {
		return nil, fmt.Errorf("%w: a field of the budget request is out of range", ErrMessage)
	}
	return &BudgetRequest{r.Budget, budget.LeaseRequest{Peer: r.Peer, Epoch: r.Epoch, Seq: r.Seq, Wanted: int(r.Units)}}, nil
}

func decodeBudgetGrant(p []byte) (*BudgetGrant, error) {
	var g budgetGrant
	if err := frames.Decode(p, &g); err != nil {
		return nil, err
	}
	if g.Units > MaxUnits || g.Of > MaxUnits || invalidName(g.Budget) || invalidName(g.Peer) {
		return nil, fmt.Errorf("%w: a field of the budget grant is out of range", ErrMessage)
	}
	return &BudgetGrant{g.Budget, budget.Grant{Peer: g.Peer, Epoch: g.Epoch, Seq: g.Seq, Units: int(g.Units), Total: int(g.Of)}}, nil
}

func invalidName(name string) bool { return name == "" || len(name) > accord.MaxName }
