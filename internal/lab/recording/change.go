package recording

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Cut keeps the arrivals from from up to to (to excluded, or all after from where to is 0) and moves them so that the
// first moment kept is the new start.
func Cut(arrivals []Arrival, from, to time.Duration) ([]Arrival, error) {
	if from < 0 || to < 0 || (to != 0 && to <= from) {
		return nil, fmt.Errorf("recording: cut from %v to %v: want 0 <= from < to, or to 0 for the end", from, to)
	}
	var kept []Arrival
	for _, a := range arrivals {
		if a.At >= from && (to == 0 || a.At < to) {
			a.At -= from
			kept = append(kept, a)
		}
	}
	return kept, nil
}

// Stretch plays the same arrivals over factor times the time: 2 is half the rate, 0.5 twice it.
func Stretch(arrivals []Arrival, factor float64) ([]Arrival, error) {
	if !(factor > 0) || factor > 1000 {
		return nil, fmt.Errorf("recording: stretch by %v: want more than 0 and at most 1000", factor)
	}
	out := slices.Clone(arrivals)
	for i := range out {
		out[i].At = time.Duration(math.Round(float64(out[i].At) * factor))
	}
	return out, nil
}

// Multiply makes times as many arrivals in the same time: each key's family (a req with its retries) is kept
// whole times over, with one more family kept by chance for what is left of times, and each copy has a key of its own
// (key, "*", copy) and comes a little later than its original, by up to spread, so that copies do not come at
// one instant. Chance is from seed alone: the same seed gives the same file.
func Multiply(arrivals []Arrival, times float64, spread time.Duration, seed uint64) ([]Arrival, error) {
	if !(times >= 0) || times > 1000 {
		return nil, fmt.Errorf("recording: multiply by %v: want 0 to 1000", times)
	}
	if spread < 0 {
		return nil, fmt.Errorf("recording: spread %v is negative", spread)
	}
	chance := rand.New(rand.NewPCG(seed, 0x7265636f7264))
	whole, part := int(times), times-math.Floor(times)
	copies := map[string]int{} // of each key, decided at its first arrival
	shift := map[string][]time.Duration{}
	var out []Arrival
	for _, a := range arrivals {
		n, seen := copies[a.Key]
		if !seen {
			n = whole
			if chance.Float64() < part {
				n++
			}
			copies[a.Key] = n
			s := make([]time.Duration, n)
			for c := 1; c < n; c++ { // the first copy keeps its time
				s[c] = time.Duration(chance.Int64N(int64(spread) + 1))
			}
			shift[a.Key] = s
		}
		for c := range n {
			b := a
			b.At += shift[a.Key][c]
			if c > 0 {
				b.Key = fmt.Sprintf("%s*%d", a.Key, c)
			}
			out = append(out, b)
		}
	}
	Sort(out)
	return out, nil
}

// Summary is what inspect shows of a recording.
type Summary struct {
	Arrivals, Retries, Keys int
	Span                    time.Duration // from the start to the last arrival
	PerSecond               float64       // arrivals a second over the span
	BusiestSecond           int           // most arrivals in one whole second from the start
	Classes                 map[string]int
	MedianSize, MaxSize     int64 // bytes
}

// Summarize sums a recording up. Its cost grows with its length; it holds a map of keys.
func Summarize(arrivals []Arrival) Summary {
	s := Summary{Arrivals: len(arrivals), Classes: map[string]int{}}
	keys := map[string]struct{}{}
	seconds := map[int64]int{}
	sizes := make([]int64, 0, len(arrivals))
	for _, a := range arrivals {
		keys[a.Key] = struct{}{}
		s.Classes[a.Class]++
		if a.Retry {
			s.Retries++
		}
		s.Span = max(s.Span, a.At)
		sec := int64(a.At / time.Second)
		seconds[sec]++
		s.BusiestSecond = max(s.BusiestSecond, seconds[sec])
		sizes = append(sizes, a.Size)
	}
	s.Keys = len(keys)
	if s.Span > 0 {
		s.PerSecond = float64(len(arrivals)) / s.Span.Seconds()
	}
	if len(sizes) > 0 {
		slices.Sort(sizes)
		s.MedianSize, s.MaxSize = sizes[len(sizes)/2], sizes[len(sizes)-1]
	}
	return s
}
