package maintenance

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
)

// SavedState is the state that outlives a process, in a small file: a line with a version and a checksum, then JSON.
type SavedState struct {
	OutOfService bool   `json:"out"` // the dispatcher was taken out of service
	Marks        []Mark `json:"marks"`
}

// MaxFileSize is the size of the largest file that is read.
const MaxFileSize = 4 << 20

const fileHead = "tinsail-maintenance 1 "

// Append appends the file's contents to b.
func (s SavedState) Append(b []byte) []byte {
	text, err := json.Marshal(s)
	if err != nil { // only for NaN and infinities, which no call produces
		return b
	}
	b = fmt.Appendf(b, "%s%08x\n", fileHead, crc32.ChecksumIEEE(text))
	return append(b, text...)
}

// ReadState parses a file. The error says what is wrong with it; nothing of such a file is used.
func ReadState(text []byte) (s SavedState, err error) {
	head, rest, ok := bytes.Cut(text, []byte("\n"))
	switch {
	case len(text) > MaxFileSize:
		return s, fmt.Errorf("has %d bytes, the limit is %d", len(text), MaxFileSize)
	case !ok || !bytes.HasPrefix(head, []byte("tinsail-maintenance ")):
		return s, fmt.Errorf("is not a bans file")
	case !bytes.HasPrefix(head, []byte(fileHead)):
		return s, fmt.Errorf("is of another version: %q", head[:min(len(head), 40)])
	case string(head[len(fileHead):]) != fmt.Sprintf("%08x", crc32.ChecksumIEEE(rest)):
		return s, fmt.Errorf("is damaged: checksum mismatch")
	}
	if err := json.Unmarshal(rest, &s); err != nil {
		return SavedState{}, fmt.Errorf("is damaged: %w", err)
	}
	return s, nil
}
