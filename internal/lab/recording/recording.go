// Package recording holds recordings of traffic: the first reqs and retries of a day, each with its time, class,
// key, size and whether it was a retry, as one Parquet file (columns compress well and any tool of the field reads
// them). It reads and writes them and changes them (cut, stretch, multiply); it knows no socket and no clock: times
// are offsets from the start of the recording.
//
// The file carries its schema's version in the key-value metadata under VersionKey. A file of another version, of
// no version, or whose times go back is refused with an error that names the row or the key: a replay of a file
// that is not understood would judge a change on traffic that never was.
package recording

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/parquet-go/parquet-go"
)

// Version is the version of the schema that this package writes and reads. A change to Arrival's columns is a new
// version.
const Version = 1

// VersionKey names the metadata that holds the version.
const VersionKey = "tinsail.recording.version"

// MaxArrivals bounds what is read from one file: a file that claims more is refused before its rows are read,
// so that a corrupt or hostile count cannot take the memory (about 100 bytes an arrival when read).
const MaxArrivals = 20_000_000

// Arrival is one req as it came: At from the start of the recording, its class, the key of its effect (the same for a
// req and its retries), the size of its body in bytes, and whether it was a retry.
type Arrival struct {
	At    time.Duration // kept in whole microseconds in a file
	Class string
	Key   string
	Size  int64
	Retry bool
}

// row is Arrival as a file has it: times in whole microseconds, which any reader understands.
type row struct {
	AtMicros int64  `parquet:"at_us,delta"`
	Class    string `parquet:"class,dict"`
	Key      string `parquet:"key"`
	Size     int64  `parquet:"size"`
	Retry    bool   `parquet:"retry"`
}

// Write writes the arrivals, which must be in the order of their times, as one file to w. Meta is written beside
// the version (where the recording came from, say); it may be nil. It returns an error that names the first row
// out of order or of a negative time or size, and writes nothing then.
func Write(w io.Writer, arrivals []Arrival, meta map[string]string) error {
	if err := Check(arrivals); err != nil {
		return err
	}
	options := []parquet.WriterOption{parquet.KeyValueMetadata(VersionKey, strconv.Itoa(Version))}
	for _, k := range slices.Sorted(maps.Keys(meta)) {
		if k == VersionKey {
			return fmt.Errorf("recording: metadata key %q is this package's own", k)
		}
		options = append(options, parquet.KeyValueMetadata(k, meta[k]))
	}
	out := parquet.NewGenericWriter[row](w, options...)
	rows := make([]row, 0, min(len(arrivals), 4096))
	for i := 0; i < len(arrivals); {
		rows = rows[:0]
		for ; i < len(arrivals) && len(rows) < cap(rows); i++ {
			a := arrivals[i]
			rows = append(rows, row{a.At.Microseconds(), a.Class, a.Key, a.Size, a.Retry})
		}
		if _, err := out.Write(rows); err != nil {
			return fmt.Errorf("recording: %w", err)
		}
	}
	return out.Close()
}

// Read reads a whole file of size bytes. It returns the arrivals and the metadata beside the version. Errors name
// what is wrong: not Parquet, no or another version, too many rows, a row out of order.
func Read(r io.ReaderAt, size int64) (arrivals []Arrival, meta map[string]string, err error) {
	defer func() { // the library panics on some files that are broken in ways it does not check
		if p := recover(); p != nil {
			arrivals, meta, err = nil, nil, fmt.Errorf("recording: a broken file: %v", p)
		}
	}()
	if err := footer(r, size); err != nil {
		return nil, nil, err
	}
	f, err := parquet.OpenFile(r, size, parquet.SkipPageIndex(true), parquet.SkipBloomFilters(true))
	if err != nil {
		return nil, nil, fmt.Errorf("recording: not a Parquet file: %w", err)
	}
	v, ok := f.Lookup(VersionKey)
	if !ok {
		return nil, nil, fmt.Errorf("recording: no %s in its metadata: not a recording of tinsail", VersionKey)
	}
	if v != strconv.Itoa(Version) {
		return nil, nil, fmt.Errorf("recording: %s is %q; this program reads version %d alone", VersionKey, v, Version)
	}
	meta = map[string]string{}
	for _, kv := range f.Metadata().KeyValueMetadata {
		if kv.Key != VersionKey {
			meta[kv.Key] = kv.Value
		}
	}
	n := f.NumRows()
	if n < 0 || n > MaxArrivals {
		return nil, nil, fmt.Errorf("recording: %d rows, more than %d", n, MaxArrivals)
	}
	in := parquet.NewGenericReader[row](r)
	defer in.Close()
	arrivals = make([]Arrival, 0, n)
	rows := make([]row, 4096)
	for {
		k, err := in.Read(rows)
		for _, x := range rows[:k] {
			if x.AtMicros > math.MaxInt64/int64(time.Microsecond) {
				return nil, nil, fmt.Errorf("recording: row %d: at_us %d is past any day", len(arrivals), x.AtMicros)
			}
			arrivals = append(arrivals, Arrival{time.Duration(x.AtMicros) * time.Microsecond, x.Class, x.Key, x.Size, x.Retry})
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, nil, fmt.Errorf("recording: row %d: %w", len(arrivals), err)
		}
		if int64(len(arrivals)) > n {
			return nil, nil, fmt.Errorf("recording: more rows than the %d that the file claims", n)
		}
	}
	return arrivals, meta, Check(arrivals)
}

// MaxFooter bounds the metadata at a file's end. The library reads as much as the footer's length claims before it
// looks at it: eight bytes "PAR1PAR1" made it take 827 MB.
const MaxFooter = 16 << 20

// footer checks the magic at both ends and that the footer's length fits in the file and under MaxFooter.
func footer(r io.ReaderAt, size int64) error {
	if size < 12 {
		return fmt.Errorf("recording: not a Parquet file: %d bytes", size)
	}
	var head, tail [8]byte
	if _, err := r.ReadAt(head[:4], 0); err != nil {
		return fmt.Errorf("recording: not a Parquet file: %w", err)
	}
	if _, err := r.ReadAt(tail[:], size-8); err != nil {
		return fmt.Errorf("recording: not a Parquet file: %w", err)
	}
	if string(head[:4]) != "PAR1" || string(tail[4:]) != "PAR1" {
		return errors.New("recording: not a Parquet file: no PAR1 at both ends")
	}
	n := int64(binary.LittleEndian.Uint32(tail[:4]))
	if n > size-12 || n > MaxFooter {
		return fmt.Errorf("recording: not a Parquet file: a footer of %d bytes in a file of %d (at most %d)", n, size, MaxFooter)
	}
	return nil
}

// Check returns an error naming the first arrival whose time goes back (a clock that stepped), or whose time or size
// is negative.
func Check(arrivals []Arrival) error {
	var last time.Duration
	for i, a := range arrivals {
		switch {
		case a.At < 0:
			return fmt.Errorf("recording: row %d: at_us is negative (%v)", i, a.At)
		case a.At < last:
			return fmt.Errorf("recording: row %d: at_us goes back from %v to %v: the clock stepped; Sort puts them in order", i, last, a.At)
		case a.Size < 0:
			return fmt.Errorf("recording: row %d: size is negative (%d)", i, a.Size)
		}
		last = a.At
	}
	return nil
}

// Sort puts arrivals in the order of their times, keeping the order of those of one time. It is what to do with a
// recording whose clock stepped back, where the times and not the order of rows are to be believed.
func Sort(arrivals []Arrival) {
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}
