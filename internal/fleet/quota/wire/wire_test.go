package wire

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"tinsail/internal/fleet/frames"
	"tinsail/internal/fleet/quota"
)

var (
	sampleRequest = LeaseRequest{"east", quota.LeaseRequest{Child: "n3", Epoch: 7 << 60, Seq: 2, LenderIncarnation: 9,
		Full: true, Recovering: true,
		Reports: []quota.AccountReport{{Account: "", Held: 1, Used: 2, Demand: 3},
			{Account: "team1", Held: 300, Used: 70_000, Demand: quota.MaxUnits}}}}
	sampleResponse = LeaseResponse{"", quota.LeaseResponse{Child: "east", Epoch: 7, Seq: 2, LenderIncarnation: 3,
		Lease: 600 * time.Second, ResendFull: true, NoRecord: true,
		Allocations: []quota.Allocation{{Account: "team1", Units: 5}, {Account: "team2", Units: 0}}}}
	samplePoll     = "east"
	sampleRedirect = Redirect{"", "v2"}
	encoded        = map[string][]byte{"ask": EncodeLeaseRequest(sampleRequest), "answer": EncodeLeaseResponse(sampleResponse),
		"nudge": EncodePoll(samplePoll), "away": EncodeRedirect(sampleRedirect),
		"an ask without reports": EncodeLeaseRequest(LeaseRequest{"east", quota.LeaseRequest{Child: "n3", Epoch: 1, Seq: 1}})}
)

// encode encodes a decoded message again.
func encode(m Message) []byte {
	switch {
	case m.Request != nil:
		return EncodeLeaseRequest(*m.Request)
	case m.Response != nil:
		return EncodeLeaseResponse(*m.Response)
	case m.Poll != nil:
		return EncodePoll(*m.Poll)
	default:
		return EncodeRedirect(*m.Redirect)
	}
}

func TestRoundTrips(t *testing.T) {
	for what, m := range map[string]Message{"ask": {Request: &sampleRequest}, "answer": {Response: &sampleResponse},
		"nudge": {Poll: &samplePoll}, "away": {Redirect: &sampleRedirect}} {
		got, err := ReadMessage(bytes.NewReader(frames.Frame(encoded[what])))
		require.NoError(t, err, what)
		assert.Equal(t, m, got, what)
	}
	for what, p := range encoded {
		m, err := Decode(p)
		require.NoError(t, err, what)
		assert.Equal(t, p, encode(m), what)
	}
	reversed := sampleRequest
	reversed.Reports = []quota.AccountReport{sampleRequest.Reports[1], sampleRequest.Reports[0]}
	assert.Equal(t, EncodeLeaseRequest(sampleRequest), EncodeLeaseRequest(reversed), "reports are sorted by account")
}

// TestLargestRequest: the largest message within the limits fits a frame, and one more report is refused.
func TestLargestRequest(t *testing.T) {
	largest := func(n int) LeaseRequest {
		r := LeaseRequest{strings.Repeat("r", quota.MaxName), quota.LeaseRequest{Child: strings.Repeat("c", quota.MaxName),
			Epoch: 1<<64 - 1, Seq: 1<<64 - 1, LenderIncarnation: 1<<64 - 1}}
		for i := range n {
			r.Reports = append(r.Reports, quota.AccountReport{Account: fmt.Sprintf("%0*d", quota.MaxName, i),
				Held: quota.MaxUnits, Used: quota.MaxUnits, Demand: quota.MaxUnits})
		}
		return r
	}
	p := EncodeLeaseRequest(largest(quota.MaxAccounts))
	assert.LessOrEqual(t, len(p), MaxFrame)
	_, err := Decode(p)
	assert.NoError(t, err)
	_, err = Decode(EncodeLeaseRequest(largest(quota.MaxAccounts + 1)))
	assert.ErrorIs(t, err, ErrMessage)
}

// TestInvalidMessagesAreRefused: each deviation of a map from its format and the limits is refused.
func TestInvalidMessagesAreRefused(t *testing.T) {
	valid := withoutChecksum(encoded["ask"])
	reencoded := func(change func(map[string]any)) []byte {
		m := map[string]any{}
		require.NoError(t, msgpack.Unmarshal(valid, &m))
		change(m)
		b, err := msgpack.Marshal(m)
		require.NoError(t, err)
		return b
	}
	request := func(change func(*LeaseRequest)) []byte {
		r := sampleRequest
		r.Reports = append([]quota.AccountReport(nil), sampleRequest.Reports...)
		change(&r)
		return withoutChecksum(EncodeLeaseRequest(r))
	}
	repeated, longName := sampleResponse, sampleResponse
	repeated.Allocations = []quota.Allocation{{Account: "team1"}, {Account: "team1"}}
	longName.From = strings.Repeat("x", quota.MaxName+1)
	for what, p := range map[string][]byte{
		"empty": {}, "cut short": valid[:len(valid)-1], "bytes after the end": append(bytes.Clone(valid), 0),
		"another format":               bytes.Replace(valid, []byte("\xa1f\x01"), []byte("\xa1f\x02"), 1),
		"another kind":                 bytes.Replace(valid, []byte("\xa3ask"), []byte("\xa3asx"), 1),
		"an unknown key":               bytes.Replace(valid, []byte("\xa3seq"), []byte("\xa3sex"), 1),
		"a repeated key":               bytes.Replace(valid, []byte("\xa5child"), []byte("\xa5epoch"), 1),
		"a report's unknown key":       bytes.Replace(valid, []byte("\xa1h"), []byte("\xa1x"), 1),
		"a number in a wider encoding": bytes.Replace(valid, []byte("\xa1h\x01"), []byte("\xa1h\xcc\x01"), 1),
		"an additional key":            reencoded(func(m map[string]any) { m["more"] = 1 }),
		"a missing key":                reencoded(func(m map[string]any) { delete(m, "lender") }),
		"reports that are nil":         reencoded(func(m map[string]any) { m["lines"] = nil }),
		"no child":                     request(func(r *LeaseRequest) { r.Child = "" }),
		"a child too long":             request(func(r *LeaseRequest) { r.Child = strings.Repeat("x", quota.MaxName+1) }),
		"a lender too long":            request(func(r *LeaseRequest) { r.To = strings.Repeat("x", quota.MaxName+1) }),
		"an account too long":          request(func(r *LeaseRequest) { r.Reports[1].Account = strings.Repeat("x", quota.MaxName+1) }),
		"an account twice":             request(func(r *LeaseRequest) { r.Reports[1].Account = "" }),
		"an allocation twice":          withoutChecksum(EncodeLeaseResponse(repeated)),
		"a response's lender too long": withoutChecksum(EncodeLeaseResponse(longName)),
		"too many units":               bytes.Replace(valid, []byte("\xa1w\xce\x40\x00\x00\x00"), []byte("\xa1w\xce\x40\x00\x00\x01"), 1),
		"a poll's lender too long":     withoutChecksum(EncodePoll(strings.Repeat("x", quota.MaxName+1))),
		"a leader too long":            withoutChecksum(EncodeRedirect(Redirect{"", strings.Repeat("x", quota.MaxName+1)})),
		"too long":                     make([]byte, MaxFrame+1), "a second checksum": encoded["ask"],
	} {
		assert.NotEqual(t, valid, p, "%s: nothing was changed", what)
		_, err := Decode(frames.AppendChecksum(p)) // a valid checksum, so that the map is what is refused
		assert.ErrorIs(t, err, ErrMessage, what)
		if err != nil {
			assert.NotContains(t, err.Error(), "sum", what)
		}
	}
	_, err := ReadMessage(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff}))
	assert.ErrorIs(t, err, ErrMessage)
}

// withoutChecksum returns a message without its checksum.
func withoutChecksum(p []byte) []byte { return p[:len(p)-4] }

// TestDamagedMessagesAreRefused: no message is decoded that was cut short or has one byte changed.
func TestDamagedMessagesAreRefused(t *testing.T) {
	for what, p := range encoded {
		for i := range p {
			_, err := Decode(p[:i])
			require.ErrorIs(t, err, ErrMessage, what)
			for _, x := range []byte{1, 2, 4, 8, 16, 32, 64, 128, 0x55, 0xff} {
				q := bytes.Clone(p)
				q[i] ^= x
				_, err := Decode(q)
				require.ErrorIs(t, err, ErrMessage, "byte %d of %s", i, what)
			}
		}
	}
}

// FuzzRead: no bytes from a peer make Decode panic, and a decoded message has the same bytes when encoded again.
func FuzzRead(f *testing.F) {
	for _, p := range encoded {
		f.Add(withoutChecksum(p))
	}
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff, 0xa1, 'f', 1})
	f.Add(bytes.Replace(withoutChecksum(encoded["ask"]), []byte("\xa5lines\x92"), []byte("\xa5lines\xdd\xff\xff\xff\xff"), 1))
	f.Fuzz(func(t *testing.T, p []byte) {
		p = frames.AppendChecksum(p) // otherwise only messages with a valid checksum would be decoded
		if m, err := Decode(p); err == nil {
			assert.Equal(t, p, encode(m))
		}
	})
}

// TestFullAndDeltaRequests: the encoded base tells a full request from one with changes only.
func TestFullAndDeltaRequests(t *testing.T) {
	for _, r := range []quota.LeaseRequest{
		{Child: "n3", Epoch: 1, Seq: 9, LenderIncarnation: 3, BaseSeq: 8, Reports: []quota.AccountReport{}},
		{Child: "n3", Epoch: 1, Seq: 9, LenderIncarnation: 3, Full: true, Reports: []quota.AccountReport{}},
	} {
		m, err := Decode(EncodeLeaseRequest(LeaseRequest{To: "east", LeaseRequest: r}))
		require.NoError(t, err)
		assert.Equal(t, r.Full, m.Request.Full)
		assert.Equal(t, r.BaseSeq, m.Request.BaseSeq)
	}
}
