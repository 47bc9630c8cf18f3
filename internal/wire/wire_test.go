package wire

import (
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"

	"tinsail/internal/balance"
)

func unhex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestReadBatch(t *testing.T) {
	frame := unhex(t, `28000000 00000000206ec040 02000000
		50 02000000 0300
		1e 08000000 4d00000000000000 0000`) // two bytes too many, which the host checks
	frame[0] = byte(len(frame) - 4)
	b, _, err := ReadBatch(bytes.NewReader(frame), nil)
	if err != nil {
		t.Fatal(err)
	}
	if b.Clock != 8412.25 || b.Count != 2 {
		t.Errorf("clock %v, %d records, want 8412.25 and 2", b.Clock, b.Count)
	}
	code, f, rest, err := NextRecord(b.Records)
	if err != nil || code != EvInstance || f.U16() != 3 {
		t.Errorf("first record: code %d, error %v", code, err)
	}
	code, f, _, err = NextRecord(rest)
	if err != nil || code != EvWake || f.U64() != 77 {
		t.Errorf("second record: code %d, error %v", code, err)
	}
}

func TestReadBatchRefusesInvalidFrames(t *testing.T) {
	cases := map[string]string{
		"cut in the length": "0c00",
		"cut in the frame":  "0c000000 0000",
		"too short":         "04000000 00000000",
		"far too long":      "ffffffff 00000000",
		"clock not finite":  "0c000000 000000000000f07f 00000000",
	}
	for name, text := range cases {
		if _, _, err := ReadBatch(bytes.NewReader(unhex(t, text)), nil); err == nil || err == io.EOF {
			t.Errorf("%s: error %v, want one that describes the fault", name, err)
		}
	}
	if _, _, err := ReadBatch(bytes.NewReader(nil), nil); err != io.EOF {
		t.Errorf("at the end of input: %v, want io.EOF", err)
	}
	for _, text := range []string{"50", "50 05000000 0300"} {
		if _, _, _, err := NextRecord(unhex(t, text)); err == nil {
			t.Errorf("record %s: no error", text)
		}
	}
}

func TestShortRecordsReadAsZero(t *testing.T) {
	f := Fields{rest: []byte{1, 2}}
	if f.U32() != 0 || f.U8() != 0 || f.F64() != 0 || f.Worker() != 0 || len(f.Report(nil)) != 0 {
		t.Error("a missing field is not read as zero")
	}
}

// TestReply compares each action with the bytes of the protocol's description.
func TestReply(t *testing.T) {
	id := uint64(0x2bc3_074a_120a)
	if f := (Fields{rest: unhex(t, "0a124a07c32b")}); f.Worker() != id {
		t.Fatalf("the worker's id is not %x", id)
	}
	cases := []struct {
		name string
		do   func(*Reply)
		want string
	}{
		{"for", func(r *Reply) { r.SelectInstance(3) }, "28 02000000 0300"},
		{"dispatch", func(r *Reply) { r.Dispatch(0x5d3a91c4, id, 80) },
			"3c 12000000 c4913a5d 0a124a07 c32b 0000000000005440"},
		{"refuse", func(r *Reply) { r.Refuse(0x0e6f2b19, 250) }, "6e 0c000000 192b6f0e 0000000000406f40"},
		{"hang up", func(r *Reply) { r.CloseIdle(0x2bec_f211_900a) }, "1e 06000000 0a9011f2 ec2b"},
		{"probe", func(r *Reply) { r.Probe(0x2bec_f211_900a) }, "32 06000000 0a9011f2 ec2b"},
		{"fail", func(r *Reply) { r.Fail(0x0e6f2b19) }, "0a 04000000 192b6f0e"},
		{"cancel", func(r *Reply) { r.Cancel(0x5d3a91c4, 0) }, "46 05000000 c4913a5d 00"},
		{"wake", func(r *Reply) { r.Wake(500, 77) }, "5a 10000000 0000000000407f40 4d00000000000000"},
		{"subscribe", func(r *Reply) { r.Subscribe() }, "78 01000000 01"},
		{"log", func(r *Reply) { r.Log("two servers known") }, "64 13000000 1100 74776f2073657276657273206b6e6f776e"},
		{"bug", func(r *Reply) { r.Bug("index out of range") }, "14 14000000 1200 696e646578206f7574206f662072616e6765"},
	}
	for _, c := range cases {
		var r Reply
		r.Reset()
		c.do(&r)
		frame := r.Frame()
		if want := unhex(t, c.want); !bytes.Equal(frame[4:], want) || int(frame[0]) != len(want) {
			t.Errorf("%s: % x, want % x", c.name, frame[4:], want)
		}
	}
}

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings(9, []byte(`{"Balancers": 4, "Me": 2, "MyZone": 1, "Zones": ["a", "b"], "Models": ["m"],
		"SomethingNew": {"x": 1}, "RegistryMode": "on_request", "WorthBy": "work", "Weights": "live",
		"Allowed": {"MaxAttempts": 3, "RetryAfter": true, "MaxRetryAfterMs": 2000, "Cancel": true},
		"Classes": [{"AimMs": 75, "HardLimitMs": 5000, "Effect": "idempotency_key", "DedupScope": "cell",
			"RepeatWindowMs": 7500, "Worth": 2, "AimStretch": 1}],
		"FamilyInfo": {"ClassStretch": [2], "ClassKind": [0], "QueueOrder": "priority", "TellsStart": true},
		"Report": {"Columns": ["svc_ms", "new_one", "x0"], "How": "answers"},
		"Parties": [{"QuotaPerS": 20, "Share": 0.5}], "Obligations": {"FallMs": 1500}}`))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes[0]
	if s.Instances != 4 || s.Self != 2 || s.Zone != 1 || s.Zones != 2 || !s.Subscribe || !s.WorthByWork ||
		s.MaxPause != 2000 || !s.MayCancel || s.Seed != 9 || s.Tenants[0].QuotaPerS != 20 ||
		s.Weight != balance.WeightLive || s.Rules.FallWindow != 1500 || !s.ByPriority || !s.ReportInAnswer {
		t.Errorf("wrong settings: %+v", s)
	}
	if c.Effect != balance.Deduped || c.Scope != balance.ScopeCell || c.Stretch != 3 || c.Kind != 0 {
		t.Errorf("wrong class: %+v", c)
	}
	if m := s.Metrics; len(m) != 3 || m[0] != balance.MetricServiceMs || m[1] != balance.MetricOther ||
		m[2] != balance.MetricFreeSlots {
		t.Errorf("wrong metrics: %v", m)
	}
	for name, text := range map[string]string{
		"not JSON":       `{"Balancers": `,
		"wrong type":     `{"Balancers": "many"}`,
		"unknown effect": `{"Classes": [{"Effect": "maybe"}]}`,
		"unknown scope":  `{"Classes": [{"Effect": "idempotency_key", "DedupScope": "moon"}]}`,
	} {
		if _, err := ParseSettings(1, []byte(text)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
