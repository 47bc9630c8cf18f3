package slices

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestOneOwnerAtATime has two owners, leaders that replace each other, clocks that drift by up to 5%, and answers
// that arrive late or twice. The two owners must never both be allowed to send, and terms must only grow.
func TestOneOwnerAtATime(t *testing.T) {
	setSchedules(t, "200")
	rapid.Check(t, func(t *rapid.T) {
		l := Lease{Duration: 1000, Drift: 0.05}
		rate := [3]float64{}
		for i := range rate {
			rate[i] = rapid.Float64Range(0.95, 1.05).Draw(t, "rate")
		}
		real := time.Duration(0)
		at := func(i int) time.Duration { return time.Duration(float64(real) * rate[i]) }
		owners := [2]*Owner{NewOwner(l), NewOwner(l)}
		leader := NewGrantor(l, 0, at(2))
		type answer struct {
			to        int
			seq, term uint64
		}
		var late []answer
		highest := uint64(0)
		for range 80 {
			real += time.Duration(rapid.IntRange(0, 300).Draw(t, "time"))
			switch rapid.IntRange(0, 9).Draw(t, "do") {
			case 0: // a new leader, which knows the terms from the log and no lease
				leader = NewGrantor(l, leader.term, at(2))
			case 1, 2, 3, 4:
				i := rapid.IntRange(0, 1).Draw(t, "who")
				seq, newTerm := owners[i].NewRequest(at(i), "g")
				if rapid.Bool().Draw(t, "slow") {
					real += time.Duration(rapid.IntRange(0, 1200).Draw(t, "way"))
				}
				if term, fresh, ok := leader.HandleRequest(at(2), string(rune('a'+i)), newTerm); ok {
					if term < highest || fresh && term == highest {
						t.Fatalf("term %d after %d", term, highest)
					}
					highest = term
					late = append(late, answer{i, seq, term})
				}
			default:
				if len(late) > 0 {
					a := late[rapid.IntRange(0, len(late)-1).Draw(t, "which")]
					owners[a.to].HandleGrant(at(a.to), "g", a.seq, a.term)
				}
			}
			_, a := owners[0].MaySend(at(0), "g")
			_, b := owners[1].MaySend(at(1), "g")
			if a && b {
				t.Fatal("two owners")
			}
		}
	})
}

func TestHigherTermEndsOwnership(t *testing.T) {
	o := NewOwner(Lease{Duration: 100})
	seq, newTerm := o.NewRequest(0, "g")
	assert.True(t, newTerm)
	assert.Equal(t, Acquired, o.HandleGrant(1, "g", seq, 3))
	assert.Equal(t, time.Duration(100), o.LeaseEnd("g"), "counted from the request")
	assert.Equal(t, Unchanged, o.HandleGrant(1, "g", seq, 3), "the same answer again")
	assert.Equal(t, Unchanged, o.ObserveTerm(2, "g", 3))
	assert.Equal(t, LeaseLost, o.ObserveTerm(2, "g", 4))
	_, may := o.MaySend(2, "g")
	assert.False(t, may)
	seq, _ = o.NewRequest(3, "g")
	assert.Equal(t, Unchanged, o.HandleGrant(4, "g", seq, 3), "a grant of an earlier term")
	assert.Equal(t, time.Duration(0), o.LeaseEnd("g"))
	seq, _ = o.NewRequest(5, "g")
	assert.Equal(t, Acquired, o.HandleGrant(6, "g", seq, 5))
	assert.Equal(t, LeaseLost, o.CheckLease(200, "g"), "after the end of the lease")
}

// TestTakeOverMergesRecordsAndState: a new owner allocates the larger of the amounts in its records and in the
// backend's report, and places nothing before every device of the group has reported its state.
func TestTakeOverMergesRecordsAndState(t *testing.T) {
	tab := New(testLimits, Pattern, nil)
	tab.AcquireDevice(0, testDevice("d0"), 5, []HeldSlice{{ID: "disk", Tenant: "a", PlacementID: 1, Amount: Amount{300, 100}}, {ID: "both", Tenant: "a", PlacementID: 2, Amount: Amount{100, 700}}})
	tab.AcquireDevice(0, testDevice("d1"), 5, nil)
	tab.RestoreEnded(0, "over")
	assert.Equal(t, "taking over", lastAction(t, tab.Submit(0, testDemand("held", 100, 100))).Reason)
	assert.Equal(t, "taking over", lastAction(t, tab.Submit(0, testDemand("new", 100, 100))).Reason)
	tab.HandleState(0, "d0", FencingToken{4, 9}, nil) // an answer to an earlier owner
	out := tab.HandleState(0, "d0", FencingToken{5, 1}, []HeldSlice{{ID: "both", Tenant: "a", PlacementID: 2, Amount: Amount{200, 600}}, {ID: "over", Tenant: "a", PlacementID: 3, Amount: Amount{50, 50}}})
	assert.Equal(t, Amount{550, 850}, tab.devices["d0"].used)
	assert.Contains(t, out, Action{Kind: Placed, ID: "both", Device: "d0", PlacementID: 2, Token: FencingToken{5, 1}, Amount: Amount{200, 700}})
	assert.Contains(t, out, Action{Kind: Lost, ID: "disk", Device: "d0", PlacementID: 1})
	assert.Contains(t, out, Action{Kind: Stop, ID: "over", Device: "d0", PlacementID: 3, Token: FencingToken{5, 1}})
	for _, a := range out {
		assert.NotEqual(t, Start, a.Kind, "d1 has not reported its state yet")
	}
	out = tab.HandleState(0, "d1", FencingToken{5, 1}, []HeldSlice{{ID: "held", Tenant: "a", PlacementID: 4, Amount: Amount{100, 100}}, {ID: "both", Tenant: "a", PlacementID: 9, Amount: Amount{1, 1}}})
	assert.Contains(t, out, Action{Kind: Placed, ID: "held", Device: "d1", PlacementID: 4, Token: FencingToken{5, 1}, Amount: Amount{100, 100}})
	assert.Contains(t, out, Action{Kind: Stop, ID: "both", Device: "d1", PlacementID: 9, Token: FencingToken{5, 1}}, "it is placed on d0")
	assert.Equal(t, Start, lastAction(t, out).Kind)
	assert.Equal(t, "new", lastAction(t, out).ID)
	tab.HandleStopped(0, "d0", "disk", 1)
	assert.Equal(t, Amount{350, 850}, tab.devices["d0"].used)
}

// TestRemovedAndShrunkDevices: a backend returns with fewer or smaller devices. The slices of a missing device are
// lost, a demand that no device can hold any more is refused, and a smaller device stops nothing.
func TestRemovedAndShrunkDevices(t *testing.T) {
	tab := readyTable(testLimits, Pattern, nil, testDevice("d0"), Device{Name: "big", Size: Amount{1000, 40000}})
	b := lastAction(t, tab.Submit(0, testDemand("x", 900, 30000)))
	tab.HandleStarted(0, "big", "x", b.PlacementID)
	assert.Equal(t, Pending, lastAction(t, tab.Submit(0, testDemand("y", 900, 30000))).Kind)
	out := tab.RemoveDevice(0, "big")
	assert.Contains(t, out, Action{Kind: Lost, ID: "x", Device: "big", PlacementID: b.PlacementID})
	assert.Contains(t, out, Action{Kind: Refused, ID: "y", Reason: "memory: 30000 MiB of at most 16384"})
	b = lastAction(t, tab.Submit(0, testDemand("z", 800, 9000)))
	tab.HandleStarted(0, "d0", "z", b.PlacementID)
	tab.AcquireDevice(0, Device{Name: "d0", Size: Amount{500, 8000}}, 2, nil)
	out = tab.HandleState(0, "d0", FencingToken{2, 1}, []HeldSlice{{ID: "z", Tenant: "a", PlacementID: b.PlacementID, Amount: Amount{800, 9000}}})
	assert.Empty(t, out)
	assert.Equal(t, Pending, lastAction(t, tab.Submit(0, testDemand("small", 1, 1))).Kind)
	tab.Release(0, "z")
	assert.Equal(t, Start, lastAction(t, tab.HandleStopped(0, "d0", "z", b.PlacementID)).Kind)
}
