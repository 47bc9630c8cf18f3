package main

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"time"
)

// nextEpoch is the number of this life of the process, higher than that of every life before it: what says which of two lives of a
// dispatcher is the later one must rise also where the wall clock was stepped back between them. It is the wall clock's
// nanoseconds or, where a life before this one had as many or more, one more than that; the last one is kept in a file that lasts
// as long as the lives' folder does. After an error the number is the wall clock's alone.
func nextEpoch(path string, wall time.Time) (uint64, error) {
	epoch := uint64(wall.UnixNano())
	text, bad := os.ReadFile(path)
	if bad == nil {
		var last uint64
		if last, bad = strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64); bad == nil {
			epoch = max(epoch, last+1)
		}
	}
	if errors.Is(bad, os.ErrNotExist) {
		bad = nil
	}
	next := path + ".next"
	if err := os.WriteFile(next, strconv.AppendUint(nil, epoch, 10), 0o600); err != nil {
		return epoch, errors.Join(bad, err)
	}
	return epoch, errors.Join(bad, os.Rename(next, path))
}
