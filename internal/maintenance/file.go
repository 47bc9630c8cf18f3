package maintenance

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
)

// Kept is what outlives a process, in a small file: one line with a version and a sum, then JSON.
type Kept struct {
	Out   bool   `json:"out"` // the dispatcher was taken out of service
	Marks []Mark `json:"marks"`
}

// MostKept is the longest file that is read.
const MostKept = 4 << 20

const keptHead = "tinsail-maintenance 1 "

// Append writes the file.
func (k Kept) Append(b []byte) []byte {
	text, err := json.Marshal(k)
	if err != nil { // numbers that are none; calls have none
		return b
	}
	b = fmt.Appendf(b, "%s%08x\n", keptHead, crc32.ChecksumIEEE(text))
	return append(b, text...)
}

// ReadKept reads a file. The error says what is wrong with it: nothing of such a file is used.
func ReadKept(text []byte) (k Kept, err error) {
	head, rest, ok := bytes.Cut(text, []byte("\n"))
	switch {
	case len(text) > MostKept:
		return k, fmt.Errorf("holds %d bytes, at most %d are read", len(text), MostKept)
	case !ok || !bytes.HasPrefix(head, []byte("tinsail-maintenance ")):
		return k, fmt.Errorf("is no file of bans")
	case !bytes.HasPrefix(head, []byte(keptHead)):
		return k, fmt.Errorf("is of another version: %q", head[:min(len(head), 40)])
	case string(head[len(keptHead):]) != fmt.Sprintf("%08x", crc32.ChecksumIEEE(rest)):
		return k, fmt.Errorf("is damaged: its sum differs")
	}
	if err := json.Unmarshal(rest, &k); err != nil {
		return Kept{}, fmt.Errorf("is damaged: %w", err)
	}
	return k, nil
}
