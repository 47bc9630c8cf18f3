package main

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math"
	"strings"
	"testing"

	"tinsail/internal/balance"
)

const settings = `{"Balancers": 1, "Zones": ["a"], "Models": ["m"], "GranularityMs": 5,
	"Allowed": {"MaxAttempts": 2, "ConnectTimeoutMs": 100},
	"Classes": [{"AimMs": 100, "HardLimitMs": 1000, "Effect": "read_like", "Worth": 1}]}`

type batch struct {
	clock   float64
	count   int
	records []byte
}

func (b *batch) add(code byte, fields ...any) *batch {
	var f bytes.Buffer
	for _, v := range fields {
		if err := binary.Write(&f, binary.LittleEndian, v); err != nil {
			panic(err)
		}
	}
	b.records = append(b.records, code)
	b.records = binary.LittleEndian.AppendUint32(b.records, uint32(f.Len()))
	b.records = append(b.records, f.Bytes()...)
	b.count++
	return b
}

func (b *batch) frame() []byte {
	out := binary.LittleEndian.AppendUint32(nil, uint32(12+len(b.records)))
	out = binary.LittleEndian.AppendUint64(out, math.Float64bits(b.clock))
	out = binary.LittleEndian.AppendUint32(out, uint32(b.count))
	return append(out, b.records...)
}

func entry(id byte) []byte {
	e := make([]byte, 24)
	e[10], e[18] = id, 1
	binary.LittleEndian.PutUint32(e[19:], math.Float32bits(4))
	return e
}

// addInstance configures an instance and gives it one worker with this id.
func addInstance(b *batch, instance uint16, id byte) *batch {
	b.add(80, instance)
	b.add(110, uint64(1), uint32(len(settings)), []byte(settings))
	b.add(130, uint16(15), uint32(1), entry(id))
	return b.add(120, uint8(2), uint32(1), uint16(15))
}

func addRequest(b *batch, id uint32) *batch {
	return b.add(20, id, uint8(0), uint32(0), uint64(0), b.clock+900, float64(0), float32(1), float32(1), uint8(0), uint16(7))
}

func runFrames(t *testing.T, frames ...[]byte) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := run(bytes.NewReader(bytes.Join(frames, nil)), &out)
	return hex.EncodeToString(out.Bytes()), err
}

// TestWorkerListsAreResolvedInOrder checks that the number of a list can be reused within one
// batch.
func TestWorkerListsAreResolvedInOrder(t *testing.T) {
	b := &batch{clock: 10}
	addInstance(b, 1, 0xaa)
	addInstance(b, 2, 0xbb)
	b.add(99, uint16(1)) // a record type of a later version
	b.add(80, uint16(1))
	addRequest(b, 7)
	b.add(80, uint16(2))
	addRequest(b, 8)
	out, err := runFrames(t, (&batch{}).frame(), b.frame())
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(out, "00000000") {
		t.Errorf("reply to an empty batch: %s", out)
	}
	for _, want := range []string{"28020000000100" + "3c1200000007000000aa0000000000", "28020000000200" + "3c1200000008000000bb0000000000"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %s in %s", want, out)
		}
	}
}

func TestStopRemovesInstance(t *testing.T) {
	b := &batch{clock: 10}
	addInstance(b, 1, 0xaa).add(100)
	addInstance(b, 1, 0xbb)
	addRequest(b, 9)
	out, err := runFrames(t, b.frame())
	if err != nil || !strings.Contains(out, "3c1200000009000000bb") {
		t.Errorf("after a restart: %s, error %v", out, err)
	}
}

func TestMalformedInput(t *testing.T) {
	known := func() *batch { return addInstance(&batch{clock: 10}, 1, 0xaa) }
	whole := known().frame()
	long := known()
	long.records = append(long.records, 0)
	cases := map[string][]byte{
		"cut short":          whole[:len(whole)-3],
		"bytes left over":    long.frame(),
		"no instance":        addRequest(&batch{}, 1).frame(),
		"no settings":        addRequest((&batch{}).add(80, uint16(4)), 1).frame(),
		"bad settings":       (&batch{}).add(80, uint16(4)).add(110, uint64(1), uint32(2), []byte("{}")).frame(),
		"settings cut short": (&batch{}).add(80, uint16(4)).add(110, uint64(1), uint32(90), []byte("{}")).frame(),
		"sheet too high":     (&batch{}).add(130, uint16(16), uint32(0)).frame(),
		"sheet cut short":    (&batch{}).add(130, uint16(1), uint32(9)).frame(),
		"unknown update":     known().add(120, uint8(9), uint32(1), uint16(0)).frame(),
		"unknown outcome": known().add(90, uint32(1), uint8(0), uint32(0), uint16(0), uint16(11),
			float64(1), uint8(0)).frame(),
	}
	for name, frame := range cases {
		if _, err := runFrames(t, frame); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestPanicIsReported replaces a dispatcher by one that panics.
func TestPanicIsReported(t *testing.T) {
	h := newHost()
	var out bytes.Buffer
	if err := h.step(bytes.NewReader(addInstance(&batch{clock: 1}, 1, 0xaa).frame()), &out); err != nil {
		t.Fatal(err)
	}
	*h.instances[1].dispatcher = balance.Dispatcher{} // panics on its first action
	out.Reset()
	if err := h.step(bytes.NewReader(addRequest((&batch{clock: 2}).add(80, uint16(1)).add(30, uint64(1)<<63), 1).frame()), &out); err != nil {
		t.Fatal(err)
	}
	if b := out.Bytes(); len(b) < 5 || !bytes.Contains(b, []byte("panic")) {
		t.Errorf("reply after a panic: % x", b)
	}
}
