package accord

// Decision is the one kind of entry in the majority log.
type Decision struct {
	Change   uint64 // id of the change, its leader's
	Proposal uint64 // id of the proposal, its proposer's
	Version  uint64
	Proposer string
	Body     []byte
}

// State is what the log's entries make. Its zero value is the empty log's. It is a value: a copy
// made by assignment stays as it was, since Apply replaces slices and never writes into them.
type State struct {
	Version  uint64
	Change   uint64
	Proposal uint64
	Proposer string
	Body     []byte
	Recent   []DecisionID // the last few decided, oldest first, Version's own among them
}

// DecisionID remembers which proposal a version came from.
type DecisionID struct{ Change, Proposal, Version uint64 }

// Apply takes the next entry of the log. An entry that does not follow the version in force changes
// nothing and reports false: each number is decided once. So does one of a proposal that was decided.
func (s *State) Apply(d Decision) bool {
	if d.Version != s.Version+1 || s.decided(d.Proposal) {
		return false
	}
	done := append(append([]DecisionID(nil), s.Recent...), DecisionID{d.Change, d.Proposal, d.Version})
	if len(done) > keptDone {
		done = done[len(done)-keptDone:]
	}
	*s = State{Version: d.Version, Change: d.Change, Proposal: d.Proposal, Proposer: d.Proposer, Body: d.Body, Recent: done}
	return true
}

// decided says whether a proposal is among the last decided.
func (s *State) decided(proposal uint64) bool {
	for _, d := range s.Recent {
		if d.Proposal == proposal {
			return true
		}
	}
	return false
}

// won says whether a change is among the last decided.
func (s *State) won(change uint64) bool {
	for _, d := range s.Recent {
		if d.Change == change {
			return true
		}
	}
	return false
}
