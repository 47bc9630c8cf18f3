package recording

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func testArrivals(n int) []Arrival {
	var out []Arrival
	for i := range n {
		out = append(out, Arrival{At: time.Duration(i) * 7 * time.Millisecond, Class: "photo-ingest", Key: fmt.Sprint("k", i/2),
			Size: int64(100 * i), Retry: i%2 == 1})
	}
	return out
}

func writeToReader(t *testing.T, a []Arrival, meta map[string]string) *bytes.Reader {
	var b bytes.Buffer
	require.NoError(t, Write(&b, a, meta))
	return bytes.NewReader(b.Bytes())
}

// TestRoundTrip checks that Read returns what Write wrote, with the metadata.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a []Arrival
		at := time.Duration(0)
		for range rapid.IntRange(0, 300).Draw(t, "n") {
			at += time.Duration(rapid.Int64Range(0, 2e6).Draw(t, "gap")) * time.Microsecond
			a = append(a, Arrival{at, rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "class"), rapid.String().Draw(t, "key"),
				rapid.Int64Range(0, 1<<40).Draw(t, "size"), rapid.Bool().Draw(t, "retry")})
		}
		var b bytes.Buffer
		require.NoError(t, Write(&b, a, map[string]string{"from": "test"}))
		back, meta, err := Read(bytes.NewReader(b.Bytes()), int64(b.Len()))
		require.NoError(t, err)
		assert.Equal(t, map[string]string{"from": "test"}, meta)
		if len(a) == 0 {
			assert.Empty(t, back)
		} else {
			assert.Equal(t, a, back)
		}
	})
}

// TestUnreadableFilesAreRefused checks that files that are truncated, not Parquet, of another program or of another
// version are rejected, and that Write rejects metadata under VersionKey.
func TestUnreadableFilesAreRefused(t *testing.T) {
	r := writeToReader(t, testArrivals(10), nil)
	file := make([]byte, r.Len())
	_, _ = r.Read(file)

	_, _, err := Read(bytes.NewReader(file[:len(file)/2]), int64(len(file)/2))
	assert.ErrorContains(t, err, "not a Parquet file", "truncated")

	_, _, err = Read(bytes.NewReader([]byte("PAR1 nothing PAR1")), 17)
	assert.ErrorContains(t, err, "not a Parquet file")

	var b bytes.Buffer // a Parquet file of another program
	w := parquet.NewGenericWriter[row](&b)
	_, err = w.Write([]row{{AtMicros: 1}})
	require.NoError(t, err)
	require.NoError(t, w.Close())
	_, _, err = Read(bytes.NewReader(b.Bytes()), int64(b.Len()))
	assert.ErrorContains(t, err, VersionKey)

	b.Reset() // a later version
	w = parquet.NewGenericWriter[row](&b, parquet.KeyValueMetadata(VersionKey, "2"))
	require.NoError(t, w.Close())
	_, _, err = Read(bytes.NewReader(b.Bytes()), int64(b.Len()))
	assert.ErrorContains(t, err, `is "2"`)

	assert.ErrorContains(t, Write(&b, testArrivals(2), map[string]string{VersionKey: "1"}), "own")
}

// TestClockStepped checks that Write and Read reject a recording whose clock went back and name the row, and that
// Sort repairs it.
func TestClockStepped(t *testing.T) {
	a := testArrivals(6)
	a[4].At = a[2].At - time.Millisecond
	var b bytes.Buffer
	assert.ErrorContains(t, Write(&b, a, nil), "row 4: at_us goes back")
	assert.Zero(t, b.Len(), "nothing is written")

	b.Reset() // written by another program, with unordered rows
	w := parquet.NewGenericWriter[row](&b, parquet.KeyValueMetadata(VersionKey, "1"))
	for _, x := range a {
		_, err := w.Write([]row{{AtMicros: x.At.Microseconds(), Key: x.Key}})
		require.NoError(t, err)
	}
	require.NoError(t, w.Close())
	_, _, err := Read(bytes.NewReader(b.Bytes()), int64(b.Len()))
	assert.ErrorContains(t, err, "row 4")

	Sort(a)
	assert.NoError(t, Check(a))
	a[1].Size = -1
	assert.ErrorContains(t, Check(a), "row 1: size")
}

func TestCutAndStretch(t *testing.T) {
	a := testArrivals(100) // 0 to 693 ms
	c, err := Cut(a, 70*time.Millisecond, 140*time.Millisecond)
	require.NoError(t, err)
	require.Len(t, c, 10)
	assert.Equal(t, time.Duration(0), c[0].At)
	assert.Equal(t, a[10].Key, c[0].Key)
	_, err = Cut(a, 2*time.Second, time.Second)
	assert.Error(t, err)

	s, err := Stretch(a, 2)
	require.NoError(t, err)
	assert.Equal(t, 2*a[99].At, s[99].At)
	assert.Equal(t, 7*time.Millisecond, a[1].At, "the input is unchanged")
	_, err = Stretch(a, 0)
	assert.Error(t, err)
}

// TestMultiply checks that a request and its retries are copied together, that copies have keys of their own, that the
// number of arrivals is close to the requested multiple, and that a seed determines the result.
func TestMultiply(t *testing.T) {
	a := testArrivals(2000)
	m, err := Multiply(a, 2.5, 50*time.Millisecond, 7)
	require.NoError(t, err)
	assert.InDelta(t, 5000, len(m), 150)
	require.NoError(t, Check(m))
	countsByKey := map[string][2]int{}
	for _, x := range m {
		f := countsByKey[x.Key]
		f[boolToInt(x.Retry)]++
		countsByKey[x.Key] = f
	}
	for k, f := range countsByKey {
		require.Equal(t, [2]int{1, 1}, f, k)
	}
	again, err := Multiply(a, 2.5, 50*time.Millisecond, 7)
	require.NoError(t, err)
	assert.Equal(t, m, again)
	none, err := Multiply(a, 0, 0, 7)
	require.NoError(t, err)
	assert.Empty(t, none)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func TestSummarize(t *testing.T) {
	s := Summarize(testArrivals(1000)) // 7 ms apart: 143 per second
	assert.Equal(t, 1000, s.Arrivals)
	assert.Equal(t, 500, s.Retries)
	assert.Equal(t, 500, s.Keys)
	assert.Equal(t, 143, s.BusiestSecond)
	assert.Equal(t, map[string]int{"photo-ingest": 1000}, s.Classes)
	assert.Equal(t, int64(99900), s.MaxSize)
}

// FuzzRead checks that Read neither panics on corrupt files nor returns arrivals that Check rejects.
func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	require.NoError(f, Write(&b, testArrivals(20), map[string]string{"from": "fuzz"}))
	f.Add(b.Bytes())
	f.Add(b.Bytes()[:b.Len()-9])
	f.Add([]byte("PAR1PAR1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, _, err := Read(bytes.NewReader(data), int64(len(data)))
		if err == nil {
			assert.NoError(t, Check(a))
		}
	})
}
