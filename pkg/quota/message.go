package quota

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Limits of a message.
const (
	// MaxMessageBytes is the maximum size of an encoded message.
	MaxMessageBytes = 256 << 10
	// MaxEntries is the maximum number of entries in a report or reply.
	MaxEntries          = 1024
	maxLoanSteps        = 16
	maxAccountNameBytes = 128
)

// A LoanStep is one step of a loan. Rate and Capacity are lent until TermMs
// after the start of the loan, which the field that holds the loan defines.
type LoanStep struct {
	_        struct{} `cbor:",toarray"`
	TermMs   uint32
	Rate     Amount
	Capacity Amount
}

// BrokerTime is a reading of a broker's clock. A member echoes the last one
// that it received, and the broker counts the terms of deposits from it, so a
// late message cannot lengthen a loan.
type BrokerTime struct {
	_ struct{} `cbor:",toarray"`
	// Boot identifies one run of the broker's process.
	Boot uint64
	// AtUs is in microseconds since the broker's clock started.
	AtUs uint64
}

// A Report is sent by a Limiter to its broker, and by a broker to the root
// broker.
type Report struct {
	// Boot identifies one run of the sender's process.
	Boot uint64 `cbor:"1,keyasint"`
	// Seq rises by one with each report of the sender to the same broker.
	Seq uint64 `cbor:"2,keyasint"`
	// BrokerTime is the last reading that the sender received from this
	// broker, or zero.
	BrokerTime BrokerTime    `cbor:"3,keyasint"`
	Entries    []ReportEntry `cbor:"4,keyasint,omitempty"`
	// FromBroker is set when the sender is a broker, which lends on what it
	// borrows.
	FromBroker bool `cbor:"5,keyasint,omitempty"`
}

// A ReportEntry is a report's entry for one account. The loans of an account
// without an entry are neither changed nor extended.
type ReportEntry struct {
	Account string `cbor:"1,keyasint"`
	// Deposit is what the sender lends to the broker. Terms count from the
	// report's BrokerTime. Terms rise, rates and capacities do not rise.
	Deposit []LoanStep `cbor:"2,keyasint,omitempty"`
	// RecallRate and RecallCapacity are the parts of earlier deposits that
	// the sender wants back before their end.
	RecallRate     Amount `cbor:"3,keyasint,omitempty"`
	RecallCapacity Amount `cbor:"4,keyasint,omitempty"`
	// BorrowedRate and BorrowedCapacity are the totals that the sender still
	// borrows from the broker. It gives back the rest of its loan.
	BorrowedRate     Amount `cbor:"5,keyasint,omitempty"`
	BorrowedCapacity Amount `cbor:"6,keyasint,omitempty"`
	// WantRate and WantCapacity are the totals that the sender wants to borrow
	// from the broker.
	WantRate     Amount `cbor:"7,keyasint,omitempty"`
	WantCapacity Amount `cbor:"8,keyasint,omitempty"`
	// Tokens are moved to the broker with the deposit and with what the sender
	// gives back.
	Tokens Amount `cbor:"9,keyasint,omitempty"`
	// WantTokens is how many tokens the sender needs now, mainly for requests
	// that wait.
	WantTokens Amount `cbor:"10,keyasint,omitempty"`
}

// A Reply answers one report.
type Reply struct {
	// Seq is the Seq of the report. The sender of the report uses a reply once,
	// and only while the report is its last.
	Seq uint64 `cbor:"1,keyasint"`
	// BrokerTime is the broker's clock when it received the report.
	BrokerTime BrokerTime `cbor:"2,keyasint"`
	// Stale is set when the broker ignored the report, because the report's
	// BrokerTime was too old or from another run of the broker's process, or
	// its Seq was not new.
	Stale bool `cbor:"3,keyasint,omitempty"`
	// Version is the configuration version in force at the broker, and
	// VersionAgeMs is for how long it has been in force there.
	Version      uint64       `cbor:"4,keyasint,omitempty"`
	VersionAgeMs uint64       `cbor:"5,keyasint,omitempty"`
	Entries      []ReplyEntry `cbor:"6,keyasint,omitempty"`
	// Leaving is set by a broker that is about to stop. It gives deposits back
	// except for what it has lent on. The sender should report to another
	// broker.
	Leaving bool `cbor:"7,keyasint,omitempty"`
}

// A ReplyEntry is a reply's entry for one account. The reply leaves it out when
// the broker holds exactly the first step of the deposit and lends nothing.
type ReplyEntry struct {
	Account string `cbor:"1,keyasint"`
	// DepositedRate and DepositedCapacity are the totals of the receiver's
	// deposits that the broker now holds.
	DepositedRate     Amount `cbor:"2,keyasint,omitempty"`
	DepositedCapacity Amount `cbor:"3,keyasint,omitempty"`
	// Loan is everything that the receiver borrows. Terms count from the
	// instant at which the receiver sent its report.
	Loan []LoanStep `cbor:"4,keyasint,omitempty"`
	// Tokens are moved to the receiver with the loan and with what the broker
	// gives back.
	Tokens Amount `cbor:"5,keyasint,omitempty"`
	// RetryMs is after how many milliseconds to ask again, if tokens were
	// wanted and no whole token was moved.
	RetryMs uint32 `cbor:"6,keyasint,omitempty"`
}

// decoder rejects CBOR features that the messages do not use.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   8,
		MaxArrayElements:  MaxEntries,
		MaxMapPairs:       32,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "cannot encode the message")
	}
	if len(b) > MaxMessageBytes {
		return nil, ErrTooLarge.New("message has %d bytes, more than MaxMessageBytes", len(b))
	}
	return b, nil
}

func decode(b []byte, v any) error {
	if len(b) > MaxMessageBytes {
		return ErrTooLarge.New("message has %d bytes, more than MaxMessageBytes", len(b))
	}
	if err := decoder.Unmarshal(b, v); err != nil {
		return ErrMalformed.Wrap(err, "cannot decode the message")
	}
	return nil
}

// Encode returns the report as CBOR. It returns ErrTooLarge if the message
// exceeds MaxMessageBytes.
func (r *Report) Encode() ([]byte, error) { return encode(r) }

// DecodeReport decodes and checks a report. It returns ErrTooLarge,
// ErrMalformed or ErrOutOfRange.
func DecodeReport(b []byte) (Report, error) {
	var r Report
	if err := decode(b, &r); err != nil {
		return Report{}, err
	}
	return r, r.Check()
}

// Check returns ErrOutOfRange or ErrTooLarge if the report exceeds a limit.
func (r *Report) Check() error {
	if len(r.Entries) > MaxEntries {
		return ErrTooLarge.New("report has %d entries, more than MaxEntries", len(r.Entries))
	}
	for i := range r.Entries {
		e := &r.Entries[i]
		if err := checkAccountName(e.Account); err != nil {
			return err
		}
		if err := checkLoanSteps(e.Deposit); err != nil {
			return err
		}
		if err := checkAmounts(
			e.RecallRate, e.RecallCapacity, e.BorrowedRate, e.BorrowedCapacity,
			e.WantRate, e.WantCapacity, e.Tokens, e.WantTokens,
		); err != nil {
			return err
		}
	}
	return nil
}

// Encode returns the reply as CBOR. It returns ErrTooLarge if the message
// exceeds MaxMessageBytes.
func (r *Reply) Encode() ([]byte, error) { return encode(r) }

// DecodeReply decodes and checks a reply. It returns ErrTooLarge, ErrMalformed
// or ErrOutOfRange.
func DecodeReply(b []byte) (Reply, error) {
	var r Reply
	if err := decode(b, &r); err != nil {
		return Reply{}, err
	}
	return r, r.Check()
}

// Check returns ErrOutOfRange or ErrTooLarge if the reply exceeds a limit.
func (r *Reply) Check() error {
	if len(r.Entries) > MaxEntries {
		return ErrTooLarge.New("reply has %d entries, more than MaxEntries", len(r.Entries))
	}
	for i := range r.Entries {
		e := &r.Entries[i]
		if err := checkAccountName(e.Account); err != nil {
			return err
		}
		if err := checkLoanSteps(e.Loan); err != nil {
			return err
		}
		if err := checkAmounts(e.DepositedRate, e.DepositedCapacity, e.Tokens); err != nil {
			return err
		}
	}
	return nil
}

func checkAccountName(name string) error {
	if name == "" || len(name) > maxAccountNameBytes {
		return ErrOutOfRange.New("account name has %d bytes, want 1 to maxAccountNameBytes", len(name))
	}
	return nil
}

func checkAmounts(amounts ...Amount) error {
	for _, a := range amounts {
		if a < 0 || a > MaxAmount {
			return ErrOutOfRange.New("amount %d is not between 0 and MaxAmount", a)
		}
	}
	return nil
}

func checkLoanSteps(steps []LoanStep) error {
	if len(steps) > maxLoanSteps {
		return ErrTooLarge.New("loan has %d steps, more than maxLoanSteps", len(steps))
	}
	for i, st := range steps {
		if err := checkAmounts(st.Rate, st.Capacity); err != nil {
			return err
		}
		if time.Duration(st.TermMs)*time.Millisecond > MaxLoanTerm {
			return ErrOutOfRange.New("TermMs %d exceeds MaxLoanTerm", st.TermMs)
		}
		if i > 0 && (st.TermMs <= steps[i-1].TermMs || st.Rate > steps[i-1].Rate || st.Capacity > steps[i-1].Capacity) {
			return ErrOutOfRange.New("loan step %d: TermMs must rise, Rate and Capacity must not rise", i)
		}
	}
	return nil
}

// scheduleFrom converts a loan in a message to a schedule that starts at an
// instant.
func scheduleFrom(steps []LoanStep, start time.Duration) schedule {
	var s schedule
	for _, st := range steps {
		s = s.appendStep(step{start + time.Duration(st.TermMs)*time.Millisecond, portion{st.Rate, st.Capacity}})
	}
	return s.withoutZeroSteps()
}

// appendLoanStep appends a step unless its term, rounded down to milliseconds,
// does not exceed that of the step before. It leaves out what exceeds
// maxLoanSteps, which shortens the loan.
func appendLoanStep(steps []LoanStep, term time.Duration, v portion) []LoanStep {
	ms := term / time.Millisecond
	if ms <= 0 || len(steps) == maxLoanSteps || len(steps) > 0 && uint32(ms) <= steps[len(steps)-1].TermMs {
		return steps
	}
	return append(steps, LoanStep{TermMs: uint32(ms), Rate: v.rate, Capacity: v.capacity})
}
