// Package capacity stores and evaluates capacity measurements. A slope is a series of measurements of one quantity
// against a size, such as memory against the number of backends. The package keeps the raw rows in CSV files, fits a
// line with confidence intervals through them and generates the tables of docs/CAPACITY.md. It takes no measurements
// itself, and the dispatcher never imports it.
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

// Values of Row.Method: how a row was measured.
const (
	Real      = "real"       // a dispatcher process
	Hollow    = "hollow"     // the real control plane without a data path; many instances share a process
	Virtual   = "virtual"    // the real decision code under a virtual clock
	InProcess = "in process" // a decision package called directly
)

// Row is one measurement: the value Y, in Unit, at the size X of the quantity Against.
type Row struct {
	Slope   string // name of the series: letters, digits, '-' and '.'
	Unit    string // of Y, such as "bytes a second"
	Against string // what X counts, such as "backends"
	X, Y    float64
	Method  string // Real, Hollow, Virtual or InProcess
	Note    string // conditions of the measurement; may be empty
}

var header = []string{"slope", "unit", "against", "x", "y", "how", "note"}

func (r Row) record() []string {
	format := func(v float64) string { return strconv.FormatFloat(v, 'g', 10, 64) }
	return []string{r.Slope, r.Unit, r.Against, format(r.X), format(r.Y), r.Method, r.Note}
}

// Check returns an error that describes the first invalid field of a row, or nil.
func (r Row) Check() error {
	validName := r.Slope != ""
	for _, c := range r.Slope {
		validName = validName && (c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '.')
	}
	switch {
	case !validName:
		return fmt.Errorf("slope is %q, want letters, digits, '-' and '.'", r.Slope)
	case r.Unit == "" || r.Against == "":
		return fmt.Errorf("%s: unit or against is empty", r.Slope)
	case math.IsNaN(r.X) || math.IsInf(r.X, 0) || math.IsNaN(r.Y) || math.IsInf(r.Y, 0):
		return fmt.Errorf("%s: x is %v and y %v, want finite numbers", r.Slope, r.X, r.Y)
	case !slices.Contains([]string{Real, Hollow, Virtual, InProcess}, r.Method):
		return fmt.Errorf("%s: how is %q, want real, hollow, virtual or in process", r.Slope, r.Method)
	}
	return nil
}

// Append appends rows to a file. If the file does not exist, it is created with its folder and a header.
func Append(path string, rows ...Row) error {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return write(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, true, rows)
	}
	return write(path, os.O_APPEND|os.O_WRONLY, false, rows)
}

// ReplaceSlopes appends rows to a file after removing all its rows of the same slopes, so that a new measurement is not
// mixed with rows of an older program.
func ReplaceSlopes(path string, rows ...Row) error {
	old, err := ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	old = slices.DeleteFunc(old, func(previous Row) bool {
		return slices.ContainsFunc(rows, func(r Row) bool { return r.Slope == previous.Slope })
	})
	return write(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, true, append(old, rows...))
}

func write(path string, flags int, withHeader bool, rows []Row) error {
	for _, r := range rows {
		if err := r.Check(); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	file, err := os.OpenFile(path, flags, 0o644)
	if err != nil {
		return err
	}
	w := csv.NewWriter(file)
	if withHeader {
		_ = w.Write(header)
	}
	for _, r := range rows {
		_ = w.Write(r.record())
	}
	w.Flush()
	return errors.Join(w.Error(), file.Close())
}

// ReadFile returns the rows of a file in file order. Errors name the file and the line.
func ReadFile(path string) ([]Row, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	r := csv.NewReader(file)
	r.FieldsPerRecord = len(header)
	var rows []Row
	for {
		record, err := r.Read()
		if err == io.EOF {
			return rows, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		line, _ := r.FieldPos(0)
		if line == 1 && slices.Equal(record, header) {
			continue
		}
		row := Row{Slope: record[0], Unit: record[1], Against: record[2], Method: record[5], Note: record[6]}
		var errX, errY error
		row.X, errX = strconv.ParseFloat(record[3], 64)
		row.Y, errY = strconv.ParseFloat(record[4], 64)
		if err := errors.Join(errX, errY, row.Check()); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		rows = append(rows, row)
	}
}

// ReadFolder reads all CSV files of a folder and groups their rows by slope.
func ReadFolder(folder string) (map[string][]Row, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.csv"))
	if err != nil {
		return nil, err
	}
	bySlope := map[string][]Row{}
	for _, path := range paths {
		rows, err := ReadFile(path)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			bySlope[r.Slope] = append(bySlope[r.Slope], r)
		}
	}
	return bySlope, nil
}
