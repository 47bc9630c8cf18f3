package main

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"tinsail/internal/wire"
)

// BenchmarkWire measures the cost of a request besides its decisions. One op is a batch of 100 requests with three records each
// (arrival, start, answer with a report): decode only reads them; batch reads them, decides and writes the reply.
func BenchmarkWire(b *testing.B) {
	const reqs = 100
	to := entry(7)[10:16]
	records := &batch{clock: 100}
	records.add(80, uint16(1))
	for id := range uint32(reqs) {
		addRequest(records, id)
		records.add(40, id, uint8(0), uint8(1), to, float32(0))
		records.add(90, id, uint8(0), to, uint16(10), float64(20), uint8(1), uint8(0), uint8(3), float32(1), float32(2), float32(3))
	}
	frame := records.frame()
	first := &batch{clock: 50}
	addInstance(first, 1, 7)
	h := newHost()
	require.NoError(b, h.step(bytes.NewReader(first.frame()), io.Discard))
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			in, buf, err := wire.ReadBatch(bytes.NewReader(frame), h.buf)
			require.NoError(b, err)
			h.buf = buf
			for rest := in.Records; len(rest) > 0; {
				var code byte
				var f wire.Fields
				if code, f, rest, err = wire.NextRecord(rest); err != nil {
					b.Fatal(err)
				}
				switch code {
				case wire.EvRequest:
					decodeRequest(&f)
				case wire.EvAnswer:
					if _, err := h.decodeOutcome(&f); err != nil {
						b.Fatal(err)
					}
				}
			}
		}
	})
	b.Run("batch", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			require.NoError(b, h.step(bytes.NewReader(frame), io.Discard))
		}
	})
}
