package handover

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
)

// IDKeys are the keys of request IDs. In a message they are one base64 text of 8 bytes each, big-endian.
type IDKeys []uint64

// idKeyBytes is the size of a key in a message, before base64.
const idKeyBytes = 8

// MarshalText encodes the keys for a message.
func (k IDKeys) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, len(k)*idKeyBytes)
	for _, key := range k {
		raw = binary.BigEndian.AppendUint64(raw, key)
	}
	return base64.StdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText decodes the keys of a message.
func (k *IDKeys) UnmarshalText(text []byte) error {
	raw, err := base64.StdEncoding.AppendDecode(nil, text)
	if err != nil {
		return fmt.Errorf("ids: %w", err)
	}
	if len(raw)%idKeyBytes != 0 {
		return fmt.Errorf("ids: %d bytes are no whole number of keys", len(raw))
	}
	*k = make(IDKeys, 0, len(raw)/idKeyBytes)
	for ; len(raw) > 0; raw = raw[idKeyBytes:] {
		*k = append(*k, binary.BigEndian.Uint64(raw))
	}
	return nil
}
