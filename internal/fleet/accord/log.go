package accord

// Decision is the only kind of entry in the majority log: it brings a version into force.
type Decision struct {
	Change   uint64 // id of the change, given by the leader
	Proposal uint64 // id of the proposal, given by the proposer
	Version  uint64
	Proposer string
	Body     []byte
}

// State is the result of applying the log's entries; the zero value is that of an empty log. It is
// used as a value: a copy made by assignment stays as it was, since Apply replaces slices and never writes into them.
type State struct {
	Version  uint64
	Change   uint64
	Proposal uint64
	Proposer string
	Body     []byte
	Recent   []DecisionID // the last few decisions, oldest first, that of Version included
}

// DecisionID records which change and which proposal a version came from.
type DecisionID struct{ Change, Proposal, Version uint64 }

// Apply applies the next entry of the log. An entry that does not follow the version in force is ignored and reported
// as false, so that each version number is decided once. So is an entry of a proposal that was decided before.
func (s *State) Apply(d Decision) bool {
	if d.Version != s.Version+1 || s.proposalDecided(d.Proposal) {
		return false
	}
	recent := append(append([]DecisionID(nil), s.Recent...), DecisionID{d.Change, d.Proposal, d.Version})
	if len(recent) > maxRecent {
		recent = recent[len(recent)-maxRecent:]
	}
	*s = State{Version: d.Version, Change: d.Change, Proposal: d.Proposal, Proposer: d.Proposer, Body: d.Body, Recent: recent}
	return true
}

// proposalDecided reports whether a proposal is among the recent decisions.
func (s *State) proposalDecided(proposal uint64) bool {
	for _, d := range s.Recent {
		if d.Proposal == proposal {
			return true
		}
	}
	return false
}

// changeDecided reports whether a change is among the recent decisions.
func (s *State) changeDecided(change uint64) bool {
	for _, d := range s.Recent {
		if d.Change == change {
			return true
		}
	}
	return false
}
