package quota

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func sampleReport() Report {
	return Report{
		Boot: 7, Seq: 9, BrokerTime: BrokerTime{Boot: 3, AtUs: 12345678},
		Entries: []ReportEntry{{
			Account: "club-a", Deposit: []LoanStep{{TermMs: 1000, Rate: OneToken, Capacity: 2 * OneToken}, {TermMs: 2900, Rate: OneToken / 2, Capacity: OneToken}},
			RecallRate: 1, BorrowedCapacity: 3, WantRate: 4, Tokens: 5, WantTokens: OneToken,
		}},
	}
}

// Guards against a message that differs after encoding and decoding.
func TestMessagesKeepTheirContent(t *testing.T) {
	r := sampleReport()
	b, err := r.Encode()
	assert.NilError(t, err)
	got, err := DecodeReport(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, r)
	reply := Reply{Seq: 9, BrokerTime: BrokerTime{Boot: 3, AtUs: 4}, Version: 5, VersionAgeMs: 6, Entries: []ReplyEntry{{Account: "a", DepositedRate: 1, Loan: []LoanStep{{TermMs: 5, Rate: 1, Capacity: 1}}, Tokens: 2, RetryMs: 3}}}
	b, err = reply.Encode()
	assert.NilError(t, err)
	back, err := DecodeReply(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, reply)
}

// Guards against a report with amounts or terms that would create quota.
func TestDecodeRefusesBadReports(t *testing.T) {
	for name, c := range map[string]struct {
		want *errorx.Type
		bad  func(*Report)
	}{
		"negative amount":  {ErrOutOfRange, func(r *Report) { r.Entries[0].Tokens = -1 }},
		"negative step":    {ErrOutOfRange, func(r *Report) { r.Entries[0].Deposit[0].Rate = -1 }},
		"huge amount":      {ErrOutOfRange, func(r *Report) { r.Entries[0].WantRate = MaxAmount + 1 }},
		"largest integer":  {ErrOutOfRange, func(r *Report) { r.Entries[0].WantRate = math.MaxInt64 }},
		"long term":        {ErrOutOfRange, func(r *Report) { r.Entries[0].Deposit[1].TermMs = 3001 }},
		"rising step":      {ErrOutOfRange, func(r *Report) { r.Entries[0].Deposit[1].Capacity = 3 * OneToken }},
		"terms not rising": {ErrOutOfRange, func(r *Report) { r.Entries[0].Deposit[1].TermMs = 1000 }},
		"no account":       {ErrOutOfRange, func(r *Report) { r.Entries[0].Account = "" }},
		"many steps":       {ErrTooLarge, func(r *Report) { r.Entries[0].Deposit = make([]LoanStep, maxLoanSteps+1) }},
	} {
		t.Run(name, func(t *testing.T) {
			r := sampleReport()
			c.bad(&r)
			b, err := r.Encode()
			assert.NilError(t, err)
			_, err = DecodeReport(b)
			assert.Assert(t, errorx.IsOfType(err, c.want), "%v", err)
		})
	}
}

// Guards against the acceptance of bytes that are not a message: floating point
// numbers including infinities, unknown fields, other types, and sizes over the
// limit.
func TestDecodeRefusesOtherBytes(t *testing.T) {
	for _, v := range []any{
		map[int]any{1: math.NaN()},
		map[int]any{1: math.Inf(1)},
		map[int]any{2: 1.5},
		map[int]any{2: -1},
		map[int]any{99: 1},
		"text",
		[]int{1},
	} {
		b, err := cbor.Marshal(v)
		assert.NilError(t, err)
		_, err = DecodeReport(b)
		assert.Assert(t, errorx.IsOfType(err, ErrMalformed), "%v: %v", v, err)
		_, err = DecodeReply(b)
		assert.Assert(t, errorx.IsOfType(err, ErrMalformed), "%v: %v", v, err)
	}
	_, err := DecodeReport(make([]byte, MaxMessageBytes+1))
	assert.Assert(t, errorx.IsOfType(err, ErrTooLarge), "%v", err)
}

// Guards against a panic on arbitrary bytes.
func TestDecodeAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		_, _ = DecodeReport(b)
		_, _ = DecodeReply(b)
	})
}
