package main

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"time"
)

// nextEpoch returns the number of this incarnation of the process, higher than that of every earlier one. The number decides which
// of two incarnations of a dispatcher is the later one, so it must grow even if the wall clock was stepped back between them. It
// is the wall clock in nanoseconds or, if an earlier incarnation had as many or more, one more than that. The last number is
// stored in the file at path; its folder must outlive the process. After an error the number is the wall clock's alone.
func nextEpoch(path string, wall time.Time) (uint64, error) {
	epoch := uint64(wall.UnixNano())
	text, readErr := os.ReadFile(path)
	if readErr == nil {
		var last uint64
		if last, readErr = strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64); readErr == nil {
			epoch = max(epoch, last+1)
		}
	}
	if errors.Is(readErr, os.ErrNotExist) {
		readErr = nil
	}
	next := path + ".next"
	if err := os.WriteFile(next, strconv.AppendUint(nil, epoch, 10), 0o600); err != nil {
		return epoch, errors.Join(readErr, err)
	}
	return epoch, errors.Join(readErr, os.Rename(next, path))
}
