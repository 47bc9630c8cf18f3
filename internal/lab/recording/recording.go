// Package recording reads, writes and transforms recordings of traffic. A recording is one Parquet file with the
// first requests and the retries of a period: the time, class, key and size of each, and whether it was a retry.
// Parquet compresses columns well, and common tools read it. The transformations are cut, stretch and multiply. The
// package uses no sockets and no clock: times are offsets from the start of the recording.
//
// A file carries the version of its schema in the key-value metadata under VersionKey. A file with another version,
// with no version, or whose times go back is rejected with an error that names the row or the key. Replaying a file
// that was misread would evaluate a change on traffic that never occurred.
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

// Version is the schema version that this package writes and reads. Any change to the columns needs a new version.
const Version = 1

// VersionKey is the metadata key of the schema version.
const VersionKey = "tinsail.recording.version"

// MaxArrivals limits the rows read from one file. A file that claims more is rejected before its rows are read, so
// that a corrupt or hostile count cannot exhaust memory (an arrival takes about 100 bytes when read).
const MaxArrivals = 20_000_000

// Arrival is one request as it arrived.
type Arrival struct {
	At    time.Duration // since the start of the recording; a file stores whole microseconds
	Class string
	Key   string // idempotency key, the same for a request and its retries
	Size  int64  // of the body, in bytes
	Retry bool
}

// row is an Arrival as stored in a file. Times are whole microseconds, which any reader of Parquet understands.
type row struct {
	AtMicros int64  `parquet:"at_us,delta"`
	Class    string `parquet:"class,dict"`
	Key      string `parquet:"key"`
	Size     int64  `parquet:"size"`
	Retry    bool   `parquet:"retry"`
}

// Write writes the arrivals, which must be ordered by time, as one file to w. The entries of meta, such as the origin
// of the recording, are written to the metadata beside the version; meta may be nil. If a row is out of order or has
// a negative time or size, Write writes nothing and returns an error that names the first such row.
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

// Read reads a whole file of size bytes. It returns the arrivals and the metadata without the version. It returns an
// error if the file is not Parquet, has no version or another one, has too many rows or an invalid row.
func Read(r io.ReaderAt, size int64) (arrivals []Arrival, meta map[string]string, err error) {
	defer func() { // the library panics on some corrupt files that its own checks miss
		if p := recover(); p != nil {
			arrivals, meta, err = nil, nil, fmt.Errorf("recording: corrupt file: %v", p)
		}
	}()
	if err := checkFooter(r, size); err != nil {
		return nil, nil, err
	}
	f, err := parquet.OpenFile(r, size, parquet.SkipPageIndex(true), parquet.SkipBloomFilters(true))
	if err != nil {
		return nil, nil, fmt.Errorf("recording: not a Parquet file: %w", err)
	}
	v, ok := f.Lookup(VersionKey)
	if !ok {
		return nil, nil, fmt.Errorf("recording: no %s in the metadata: not a recording of tinsail", VersionKey)
	}
	if v != strconv.Itoa(Version) {
		return nil, nil, fmt.Errorf("recording: %s is %q; this program reads only version %d", VersionKey, v, Version)
	}
	meta = map[string]string{}
	for _, kv := range f.Metadata().KeyValueMetadata {
		if kv.Key != VersionKey {
			meta[kv.Key] = kv.Value
		}
	}
	n := f.NumRows()
	if n < 0 || n > MaxArrivals {
		return nil, nil, fmt.Errorf("recording: %d rows, want at most %d", n, MaxArrivals)
	}
	in := parquet.NewGenericReader[row](r)
	defer in.Close()
	arrivals = make([]Arrival, 0, n)
	rows := make([]row, 4096)
	for {
		k, err := in.Read(rows)
		for _, x := range rows[:k] {
			if x.AtMicros > math.MaxInt64/int64(time.Microsecond) {
				return nil, nil, fmt.Errorf("recording: row %d: at_us %d is out of range", len(arrivals), x.AtMicros)
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

// MaxFooter limits the metadata at the end of a file, in bytes. The library allocates as much as the footer's length
// field claims before it checks the length: the eight bytes "PAR1PAR1" made it allocate 827 MB.
const MaxFooter = 16 << 20

// checkFooter checks the magic bytes at both ends, and that the footer's length fits into the file and is at most
// MaxFooter.
func checkFooter(r io.ReaderAt, size int64) error {
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

// Check returns an error that names the first arrival whose time goes back, as after a step of the recording clock,
// or whose time or size is negative.
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

// Sort orders arrivals by time; arrivals with equal times keep their order. Use it on a recording whose clock stepped
// back if the times, not the order of the rows, are to be trusted.
func Sort(arrivals []Arrival) {
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}
