package recording

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Cut returns the arrivals at or after from and before to, with times relative to from. If to is 0, all arrivals from
// from on are kept.
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

// Stretch multiplies the times of the arrivals by factor: 2 halves the rate, 0.5 doubles it.
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

// Multiply returns about times as many arrivals over the same period. All arrivals with one key, a request and its
// retries, are copied together. Each key gets as many copies as the integer part of times, and one more with a
// probability of the fractional part. The first copy is unchanged. Each further copy has a key of its own (key, "*",
// number) and is delayed by a random time of up to spread, so that copies do not arrive at the same instant. The
// random numbers depend on seed alone: the same seed gives the same result.
func Multiply(arrivals []Arrival, times float64, spread time.Duration, seed uint64) ([]Arrival, error) {
	if !(times >= 0) || times > 1000 {
		return nil, fmt.Errorf("recording: multiply by %v: want 0 to 1000", times)
	}
	if spread < 0 {
		return nil, fmt.Errorf("recording: spread %v is negative", spread)
	}
	random := rand.New(rand.NewPCG(seed, 0x7265636f7264))
	whole, fraction := int(times), times-math.Floor(times)
	copies := map[string]int{} // number of copies by key, drawn at the key's first arrival
	delays := map[string][]time.Duration{}
	var out []Arrival
	for _, a := range arrivals {
		n, seen := copies[a.Key]
		if !seen {
			n = whole
			if random.Float64() < fraction {
				n++
			}
			copies[a.Key] = n
			s := make([]time.Duration, n)
			for c := 1; c < n; c++ { // the first copy is not delayed
				s[c] = time.Duration(random.Int64N(int64(spread) + 1))
			}
			delays[a.Key] = s
		}
		for c := range n {
			b := a
			b.At += delays[a.Key][c]
			if c > 0 {
				b.Key = fmt.Sprintf("%s*%d", a.Key, c)
			}
			out = append(out, b)
		}
	}
	Sort(out)
	return out, nil
}

// Summary holds the statistics of a recording that the inspect command prints.
type Summary struct {
	Arrivals, Retries, Keys int
	Span                    time.Duration // from the start to the last arrival
	PerSecond               float64       // mean arrivals per second over the span
	BusiestSecond           int           // maximum arrivals in one whole second, counted from the start
	Classes                 map[string]int
	MedianSize, MaxSize     int64 // bytes
}

// Summarize computes the Summary of a recording. It keeps all keys and sizes in memory.
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
