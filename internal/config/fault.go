package config

import (
	"bytes"
	stdjson "encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"tinsail/internal/wire"
)

// Fault is one error in the configuration. Line counts from 1; it is 0 if the fault has no line in the file.
type Fault struct {
	Key     string
	Line    int
	Problem string
}

func (f Fault) Error() string {
	where := "config"
	if f.Line > 0 {
		where += " line " + strconv.Itoa(f.Line)
	}
	if f.Key == "" {
		return where + ": " + f.Problem
	}
	return where + ": " + f.Key + " " + f.Problem
}

// Faults are all errors found. It is the error type of Load and Parse.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// reader extracts values from the file and collects the faults.
type reader struct {
	text   []byte
	faults Faults
}

func (r *reader) fault(key, format string, args ...any) {
	r.faults = append(r.faults, Fault{Key: key, Line: lineOf(r.text, key), Problem: fmt.Sprintf(format, args...)})
}

// object splits an object into the texts of its keys. A missing object has no keys.
func (r *reader) object(key string, text []byte) (m map[string]jsoniter.RawMessage) {
	if len(text) > 0 {
		if err := json.Unmarshal(text, &m); err != nil {
			r.fault(key, "is no object: %v", err)
		}
	}
	return m
}

func (r *reader) stringValue(key string, m map[string]jsoniter.RawMessage) (s string) {
	if text := m[key]; len(text) > 0 && json.Unmarshal(text, &s) != nil {
		r.fault(key, "is %s, want a text", text)
	}
	return s
}

func (r *reader) number(key string, text []byte) (v float64, ok bool) {
	if len(text) == 0 || string(text) == "null" {
		return 0, false
	}
	if json.Unmarshal(text, &v) != nil {
		r.fault(key, "is %s, want a number", text)
		return 0, false
	}
	return v, true
}

// settingsFaults adds the faults that package wire found in the settings.
func (r *reader) settingsFaults(err error) {
	var all wire.Faults
	if !errors.As(err, &all) {
		r.fault("settings", "%v", err)
	}
	for _, f := range all {
		r.fault("settings."+f.Key, "%s", f.Problem)
	}
}

// lineOf returns the line of a key, or of the longest part of its path that exists: for "a.b[2].c", the line of c in
// the third element of b in a. It uses the standard library's tokenizer, which reports offsets, and only runs for
// faulty files.
func lineOf(text []byte, key string) int {
	d := stdjson.NewDecoder(bytes.NewReader(text))
	offset := int64(0)
	path := strings.FieldsFunc(key, func(r rune) bool { return r == '.' || r == '[' || r == ']' })
	for i := 0; i < len(path) && enterValue(d, path[i], &offset); i++ {
	}
	if offset == 0 && key != "" {
		return 0
	}
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// enterValue moves the decoder to the value of a key of an object, or of an index of a list. It returns false if there
// is none.
func enterValue(d *stdjson.Decoder, want string, offset *int64) bool {
	open, err := d.Token()
	if err != nil || open != stdjson.Delim('{') && open != stdjson.Delim('[') {
		return false
	}
	for i := 0; d.More(); i++ {
		name := strconv.Itoa(i)
		if open == stdjson.Delim('{') {
			t, err := d.Token()
			if err != nil {
				return false
			}
			name, _ = t.(string)
		}
		if name == want {
			*offset = d.InputOffset()
			return true
		}
		var skip stdjson.RawMessage
		if d.Decode(&skip) != nil {
			return false
		}
	}
	return false
}
