package accord

// Decide is the one kind of entry in the majority log.
type Decide struct {
	Change   uint64 // id of the change, its leader's
	Proposal uint64 // id of the proposal, its proposer's
	Version  uint64
	By       string
	Body     []byte
}

// State is what the log's entries make. Its zero value is the empty log's. It is a value: a copy
// made by assignment stays as it was, since Apply replaces slices and never writes into them.
type State struct {
	Version  uint64
	Change   uint64
	Proposal uint64
	By       string
	Body     []byte
	Done     []Decided // the last few decided, oldest first, Version's own among them
}

// Decided remembers which proposal a version came from.
type Decided struct{ Change, Proposal, Version uint64 }

// Apply takes the next entry of the log. An entry that does not follow the version in force changes
// nothing and reports false: each number is decided once. So does one of a proposal that was decided.
func (s *State) Apply(d Decide) bool {
	if d.Version != s.Version+1 || s.decided(d.Proposal) {
		return false
	}
	done := append(append([]Decided(nil), s.Done...), Decided{d.Change, d.Proposal, d.Version})
	if len(done) > keptDone {
		done = done[len(done)-keptDone:]
	}
	*s = State{Version: d.Version, Change: d.Change, Proposal: d.Proposal, By: d.By, Body: d.Body, Done: done}
	return true
}

// decided says whether a proposal is among the last decided.
func (s *State) decided(proposal uint64) bool {
	for _, d := range s.Done {
		if d.Proposal == proposal {
			return true
		}
	}
	return false
}

// won says whether a change is among the last decided.
func (s *State) won(change uint64) bool {
	for _, d := range s.Done {
		if d.Change == change {
			return true
		}
	}
	return false
}
