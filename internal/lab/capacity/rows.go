// Package capacity is the laboratory's frame for slopes: what a figure costs against a size, as raw rows in CSV files that are
// kept, a line fitted through them with its interval, and the tables of docs/CAPACITY.md that are made from them. It measures
// nothing itself and is never imported by what serves.
package capacity

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
)

// How a row was got.
const (
	Real      = "real"       // a process of the program itself
	Hollow    = "hollow"     // the real control side without a data path, many in a process
	Virtual   = "virtual"    // the real decisions under a virtual clock
	InProcess = "in process" // a decision package called by itself
)

// Row is one measurement: Y, in Unit, at the size X of Against.
type Row struct {
	Slope   string // its name: letters, digits, '-' and '.'
	Unit    string // of Y, such as "bytes a second"
	Against string // what X counts, such as "backends"
	X, Y    float64
	Method  string // Real, Hollow, Virtual or InProcess
	Note    string // what else it needs to be told apart; may be empty
}

var header = []string{"slope", "unit", "against", "x", "y", "how", "note"}

func (r Row) record() []string {
	f := func(v float64) string { return strconv.FormatFloat(v, 'g', 10, 64) }
	return []string{r.Slope, r.Unit, r.Against, f(r.X), f(r.Y), r.Method, r.Note}
}

// Check names what is wrong with a row.
func (r Row) Check() error {
	name := r.Slope != ""
	for _, c := range r.Slope {
		name = name && (c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '.')
	}
	switch {
	case !name:
		return fmt.Errorf("slope is %q, want letters, digits, '-' and '.'", r.Slope)
	case r.Unit == "" || r.Against == "":
		return fmt.Errorf("%s: unit or against is empty", r.Slope)
	case math.IsNaN(r.X) || math.IsInf(r.X, 0) || math.IsNaN(r.Y) || math.IsInf(r.Y, 0):
		return fmt.Errorf("%s: x is %v and y %v, want finite numbers", r.Slope, r.X, r.Y)
	case !slices.Contains([]string{Real, Hollow, Virtual, InProcess}, r.Method):
		return fmt.Errorf("%s: how is %q", r.Slope, r.Method)
	}
	return nil
}

// Append adds rows at the end of a file, which it makes, with its folder and a header, where there is none.
func Append(path string, rows ...Row) error {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return write(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, true, rows)
	}
	return write(path, os.O_APPEND|os.O_WRONLY, false, rows)
}

// ReplaceSlopes is Append, but all rows that a file held of the slopes that rows name go first: a slope that is measured
// anew is not mixed with what an older program cost.
func ReplaceSlopes(path string, rows ...Row) error {
	old, err := ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	old = slices.DeleteFunc(old, func(o Row) bool {
		return slices.ContainsFunc(rows, func(r Row) bool { return r.Slope == o.Slope })
	})
	return write(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, true, append(old, rows...))
}

func write(path string, flags int, head bool, rows []Row) error {
	for _, r := range rows {
		if err := r.Check(); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	f, err := os.OpenFile(path, flags, 0o644)
	if err != nil {
		return err
	}
	w := csv.NewWriter(f)
	if head {
		_ = w.Write(header)
	}
	for _, r := range rows {
		_ = w.Write(r.record())
	}
	w.Flush()
	return errors.Join(w.Error(), f.Close())
}

// ReadFile reads a file's rows in their order. Errors name file and line.
func ReadFile(path string) ([]Row, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := csv.NewReader(f)
	r.FieldsPerRecord = len(header)
	var rows []Row
	for {
		rec, err := r.Read()
		if err == io.EOF {
			return rows, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		line, _ := r.FieldPos(0)
		if line == 1 && slices.Equal(rec, header) {
			continue
		}
		row := Row{Slope: rec[0], Unit: rec[1], Against: rec[2], Method: rec[5], Note: rec[6]}
		var errX, errY error
		row.X, errX = strconv.ParseFloat(rec[3], 64)
		row.Y, errY = strconv.ParseFloat(rec[4], 64)
		if err := errors.Join(errX, errY, row.Check()); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		rows = append(rows, row)
	}
}

// ReadFolder reads all files of a folder and groups their rows by slope.
func ReadFolder(folder string) (map[string][]Row, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.csv"))
	if err != nil {
		return nil, err
	}
	all := map[string][]Row{}
	for _, p := range paths {
		rows, err := ReadFile(p)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			all[r.Slope] = append(all[r.Slope], r)
		}
	}
	return all, nil
}
