package membership

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tinsail/internal/scenario"
)

// Scenarios: a source, x or y, sends a full list ("=a b!"), an update ("a? -b"), "same" or "fails". A backend is followed by
// what is reported of it: nothing if it passes, ? for a warning, ! for critical, * for a drain, @N for another address.
// "expect" gives the merged list.
var healthMarks = map[byte]Health{'?': Warning, '!': Critical, '*': Drain}

func parseBackend(text string) Backend {
	b := Backend{Address: "127.0.0.1:1", Weight: 1}
	name, port, moved := strings.Cut(text, "@")
	if moved {
		b.Address = "127.0.0.1:" + port
	}
	if h, ok := healthMarks[name[len(name)-1]]; ok {
		b.Health, name = h, name[:len(name)-1]
	}
	b.Name = name
	return b
}

func testRules(name string, rank int) Rules {
	return Rules{Name: name, Rank: rank, Doubt: 2 * time.Second, Hold: 40 * time.Second, Panic: 0.5, PanicWindow: 10 * time.Second,
		PanicHold: 30 * time.Second, Flaps: 2, FlapWindow: 20 * time.Second, Settle: 5 * time.Second}
}

func runScenario(t *testing.T, text string) {
	s := New(testRules("x", 1), testRules("y", 2))
	now := time.Unix(1e9, 0)
	list := map[string]Member{} // as rebuilt from the changes
	for _, step := range scenario.Steps(t, text) {
		from := map[string]int{"x": 0, "y": 1}[step.Actor]
		switch {
		case step.Verb == "wait":
			d, err := time.ParseDuration(step.Arg)
			require.NoError(t, err)
			for end := now.Add(d); ; {
				if next := s.Next(); next.IsZero() || next.After(end) {
					now = end
					break
				} else if next.After(now) {
					now = next
				}
				s.Expire(now)
			}
		case step.Verb == "expect":
			var got []string
			for _, m := range s.Members(now) {
				word := m.Name
				if m.State == Draining {
					word += "*"
				}
				if m.Address != "127.0.0.1:1" {
					word += "@" + strings.TrimPrefix(m.Address, "127.0.0.1:")
				}
				got = append(got, word)
				assert.Equal(t, m.State, list[m.Name].State, "%s: Changes must agree with Members", step.Line)
			}
			assert.Equal(t, step.Arg, strings.Join(got, " "), step.Line)
			assert.Len(t, list, len(got), step.Line)
		case step.Arg == "same":
			s.Unchanged(now, from)
		case step.Arg == "fails":
			s.Failed(now, from)
		default:
			full := strings.HasPrefix(step.Arg, "=")
			var b []Backend
			var dropped []string
			for _, w := range strings.Fields(strings.TrimPrefix(step.Arg, "=")) {
				if w[0] == '-' {
					dropped = append(dropped, w[1:])
				} else {
					b = append(b, parseBackend(w))
				}
			}
			if full {
				s.ReplaceAll(now, from, b)
			} else {
				s.Update(now, from, b, dropped)
			}
		}
		for _, m := range s.Changes() {
			if list[m.Name] = m; m.State == Gone {
				delete(list, m.Name)
			}
		}
	}
}

func TestRules(t *testing.T) {
	for name, text := range map[string]string{
		"a list as reported": `
			x send =a b? c* d!
			expect a b c* d*
			x send -c e
			wait 3s
			expect a b d* e`,
		"a dropped backend is doubted, then gone": `
			x send =a b c
			x send =a b
			wait 1999ms
			expect a b c
			wait 1ms
			expect a b`,
		"a dropped backend that is named again stays": `
			x send =a b c
			x send =a b
			wait 1s
			x send =a b c
			wait 9s
			expect a b c`,
		"a drain takes effect at once, a draining backend that is dropped is not ready": `
			x send =a b c
			x send a*
			expect a* b c
			x send =b c
			expect a* b c
			wait 2s
			expect b c`,
		"a silent source's list holds for a while": `
			x send =a b
			x send fails
			wait 30s
			expect a b
			wait 9s
			expect a b
			wait 1s
			expect`,
		"a second silence is held no longer than the first": `
			x send =a b
			x send fails
			wait 2s
			x send same
			wait 8s
			x send fails
			wait 31s
			expect a b
			wait 1s
			expect`,
		"a backend missing during a silence is doubted from the source's return": `
			x send =a b c
			x send =a b
			x send fails
			wait 30s
			expect a b c
			x send same
			wait 1s
			expect a b c
			wait 1s
			expect a b`,
		"a drain by another source during a silence": `
			x send =a b
			x send fails
			y send a*
			expect a* b
			wait 30s
			y send a
			expect a b`,
		"too many critical at once cause a panic for a while": `
			x send =a b c d
			x send a! b! c!
			expect a b c d
			wait 29s
			expect a b c d
			wait 1s
			expect a* b* c* d`,
		"as many one after another cause no panic": `
			x send =a b c d
			x send a!
			wait 11s
			x send b!
			wait 11s
			x send c!
			expect a* b* c* d`,
		"a panic brings back none that was critical before it": `
			x send =a b c d e
			x send a!
			wait 11s
			x send b! c! d!
			expect a* b c d e
			wait 30s
			expect a* b* c* d* e`,
		"a panic hides no drain": `
			x send =a b c d
			x send a! b! c!
			x send b* d*
			expect a b* c d*`,
		"a panic hides no drain in the same update": `
			x send =a b c d
			x send a! b! c! d*
			expect a b c d*`,
		"a backend that never passed is not kept ready": `
			x send =a! b! c! d
			expect a* b* c* d`,
		"a list that is empty for a moment": `
			x send =a b c d
			x send =
			wait 3s
			expect a b c d
			x send =a b c d
			wait 60s
			expect a b c d`,
		"a list that stays shrunk": `
			x send =a b c d
			x send =a
			wait 29s
			expect a b c d
			wait 1s
			expect a`,
		"a whole service that flaps": `
			x send =a b c
			x send a! b! c!
			expect a b c
			wait 3s
			x send a b c
			expect a b c`,
		"a flapping backend must pass for a while first": `
			x send =a b c d
			x send a!
			x send a
			x send a!
			x send a
			expect a b c d
			x send a!
			x send a
			expect a* b c d
			wait 4999ms
			expect a* b c d
			wait 1ms
			expect a b c d`,
		"the highest rank describes a backend, lower ranks add others": `
			x send =a b
			y send =a@2 c
			expect a@2 b c
			y send -a
			wait 2s
			expect a b c`,
		"a changed address": `
			x send =a b
			x send a@7
			expect a@7 b`,
	} {
		t.Run(name, func(t *testing.T) { runScenario(t, text) })
	}
}

// Whatever two sources report in any order and at any time, a backend that either reports as draining is never listed as
// ready. Once both report the truth and nothing changes any more, the list is what they report.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := New(testRules("x", 1), testRules("y", 2))
		now := time.Unix(1e9, 0)
		drained := [2]map[string]bool{{}, {}}
		backend := rapid.Custom(func(r *rapid.T) Backend {
			return Backend{Name: "b" + strconv.Itoa(rapid.IntRange(0, 7).Draw(r, "n")), Address: "127.0.0.1:" + strconv.Itoa(rapid.IntRange(1, 2).Draw(r, "port")),
				Weight: 1, Health: Health(rapid.IntRange(0, 3).Draw(r, "health"))}
		})
		lists := rapid.SliceOfNDistinct(backend, 0, 8, func(b Backend) string { return b.Name })
		listed := map[string]Member{}
		check := func() {
			for _, m := range s.Changes() {
				if listed[m.Name] = m; m.State == Gone {
					delete(listed, m.Name)
				}
			}
			members := s.Members(now)
			require.Len(r, listed, len(members))
			for _, m := range members {
				require.Equal(r, m.State, listed[m.Name].State)
				if m.State == Ready {
					require.False(r, drained[0][m.Name] || drained[1][m.Name], "%s must be draining", m.Name)
				}
			}
		}
		report := func(from int, list []Backend) {
			for _, b := range list {
				drained[from][b.Name] = b.Health == Drain
			}
		}
		for range rapid.IntRange(0, 40).Draw(r, "steps") {
			from := rapid.IntRange(0, 1).Draw(r, "from")
			switch rapid.IntRange(0, 5).Draw(r, "what") {
			case 0:
				list := lists.Draw(r, "whole")
				s.ReplaceAll(now, from, list)
				drained[from] = map[string]bool{}
				report(from, list)
			case 1:
				list := lists.Draw(r, "some")
				s.Update(now, from, list, nil)
				report(from, list)
			case 2:
				name := "b" + strconv.Itoa(rapid.IntRange(0, 7).Draw(r, "drop"))
				s.Update(now, from, nil, []string{name})
				delete(drained[from], name)
			case 3:
				s.Failed(now, from)
			case 4:
				s.Unchanged(now, from)
			case 5:
				now = now.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(r, "ms")) * time.Millisecond)
				s.Expire(now)
			}
			check()
		}
		last := lists.Draw(r, "last")
		s.ReplaceAll(now, 0, nil)
		s.ReplaceAll(now, 1, last)
		for range 20 {
			now = now.Add(30 * time.Second)
			s.Unchanged(now, 0)
			s.Unchanged(now, 1)
			s.Expire(now)
		}
		drained = [2]map[string]bool{{}, {}}
		report(1, last)
		check()
		want := map[string]State{}
		for _, b := range last {
			want[b.Name] = Ready
			if b.Health >= Critical {
				want[b.Name] = Draining
			}
		}
		got := map[string]State{}
		for _, m := range s.Members(now) {
			got[m.Name] = m.State
		}
		require.Equal(r, want, got)
	})
}

// The cost of an update must grow with what changed, not with the size of the list.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		for _, whole := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/whole=%v", n, whole), func(b *testing.B) {
				s := New(Defaults("x", 1))
				list := make([]Backend, n)
				for i := range list {
					list[i] = Backend{Name: "b" + strconv.Itoa(i), Address: "127.0.0.1:1", Weight: 1}
				}
				now := time.Unix(1e9, 0)
				s.ReplaceAll(now, 0, list)
				s.Changes()
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now = now.Add(time.Millisecond)
					at := &list[i%n]
					at.Weight++
					if whole {
						s.ReplaceAll(now, 0, list)
					} else {
						s.Update(now, 0, []Backend{*at}, nil)
					}
					if len(s.Changes()) != 1 {
						b.Fatal("exactly one change expected")
					}
				}
			})
		}
	}
}

// What the source of the highest rank doesn't tell of a backend comes from the next one that names it at the same address and
// tells it; it is never made up (2026-12-04-untold-groups).
func TestUntoldFieldsComeFromNextSource(t *testing.T) {
	const here, elsewhere = "127.0.0.1:1", "127.0.0.1:2"
	untold := Backend{Name: "a", Address: here, Kind: Unknown, Zone: Unknown, Group: Unknown, Weight: 1, Started: Unknown}
	told := Backend{Name: "a", Address: here, Kind: 2, Zone: 3, Group: 4, Weight: 5, Started: 6}
	moved := told
	moved.Address = elsewhere
	groupOnly := untold
	groupOnly.Group = 9
	completed := func(b, from Backend) Backend {
		b.Kind, b.Zone, b.Started = from.Kind, from.Zone, from.Started
		return b
	}
	s := New(Rules{Name: "low", Rank: 1}, Rules{Name: "middle", Rank: 2}, Rules{Name: "high", Rank: 3})
	now := time.Unix(1e9, 0)
	expect := func(step string, want Backend) {
		t.Helper()
		all := s.Members(now)
		require.Len(t, all, 1, step)
		assert.Equal(t, want, all[0].Backend, step)
		assert.Equal(t, "high", all[0].Source, step)
	}
	report := func(from int, b Backend) { s.ReplaceAll(now, from, []Backend{b}) }

	report(2, untold)
	expect("nobody tells", untold)
	report(0, told)
	want := completed(untold, told)
	want.Group = told.Group
	expect("the lowest tells all", want)
	report(1, groupOnly)
	want.Group = 9
	expect("the middle one tells the group, the lowest the rest", want)
	report(1, moved)
	want.Group = told.Group
	expect("the middle one tells of another address", want)
	s.Update(now, 0, nil, []string{"a"})
	s.Expire(now.Add(time.Hour))
	expect("the lowest names it no longer", untold)
	report(0, told)
	s.SetRules(now, 0, Rules{Name: "low", Rank: 1, Disabled: true})
	expect("the lowest is not asked", untold)
	first := told
	first.Kind, first.Zone, first.Group, first.Started = 0, 0, 0, 0
	report(2, first)
	report(1, told)
	expect("zeros are told", first)
}
