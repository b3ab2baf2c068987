package quota

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// The limits of a message.
const (
	MaxMessageBytes = 256 << 10
	MaxEntries      = 1024
	maxLevels       = 16
	maxNameBytes    = 128
)

// A Level is one step of a loan: Rate and Capacity hold until TermMs after
// the instant that the message counts from.
type LoanStep struct {
	_        struct{} `cbor:",toarray"`
	TermMs   uint32
	Rate     Amount
	Capacity Amount
}

// A Base is a reading of a broker's clock. A member echoes the last one it
// received, and the broker counts the terms of deposits from it, so a late
// message can't lengthen a loan.
type BrokerTime struct {
	_ struct{} `cbor:",toarray"`
	// Boot identifies one run of the broker's process.
	Boot uint64
	// AtUs is in microseconds since the broker's clock started.
	AtUs uint64
}

// A Report is sent by a member to its broker, and by a broker to the root.
type Report struct {
	// Boot identifies one run of the sender's process; Seq rises by one with
	// each of its reports to the same broker.
	Boot       uint64        `cbor:"1,keyasint"`
	Seq        uint64        `cbor:"2,keyasint"`
	BrokerTime BrokerTime    `cbor:"3,keyasint"`
	Entries    []ReportEntry `cbor:"4,keyasint,omitempty"`
	// Broker is set when the sender lends on what it borrows.
	FromBroker bool `cbor:"5,keyasint,omitempty"`
}

// An Offer is a report's entry for one account. An account that is left out
// keeps its loans unchanged and unextended.
type ReportEntry struct {
	Account string `cbor:"1,keyasint"`
	// Deposit is what the sender lends until Base plus the terms; terms rise
	// and volumes fall.
	Deposit []LoanStep `cbor:"2,keyasint,omitempty"`
	// RecallRate and RecallCapacity are the parts of earlier deposits that
	// the sender wants back early.
	RecallRate     Amount `cbor:"3,keyasint,omitempty"`
	RecallCapacity Amount `cbor:"4,keyasint,omitempty"`
	// HeldRate and HeldCapacity are all that the sender still borrows.
	BorrowedRate     Amount `cbor:"5,keyasint,omitempty"`
	BorrowedCapacity Amount `cbor:"6,keyasint,omitempty"`
	// WantRate and WantCapacity are what the sender wants to borrow in all.
	WantRate     Amount `cbor:"7,keyasint,omitempty"`
	WantCapacity Amount `cbor:"8,keyasint,omitempty"`
	// Tokens come with the deposit and with what was given back.
	Tokens Amount `cbor:"9,keyasint,omitempty"`
	// WantTokens is how many tokens waiting requests need at once.
	WantTokens Amount `cbor:"10,keyasint,omitempty"`
}

// A Reply answers one report.
type Reply struct {
	// Seq is that of the report. A reply counts once, and only while the
	// report is the sender's last.
	Seq uint64 `cbor:"1,keyasint"`
	// Base is the broker's clock when it received the report.
	BrokerTime BrokerTime `cbor:"2,keyasint"`
	// Stale is set when the report's base was too old: nothing of the report
	// was used.
	Stale bool `cbor:"3,keyasint,omitempty"`
	// Version is the broker's configuration and VersionAgeMs for how long it
	// has been in force there.
	Version      uint64       `cbor:"4,keyasint,omitempty"`
	VersionAgeMs uint64       `cbor:"5,keyasint,omitempty"`
	Entries      []ReplyEntry `cbor:"6,keyasint,omitempty"`
	// Leaving is set by a broker that is about to stop. It gives deposits back
	// as far as they are not lent on; the sender should report elsewhere.
	Leaving bool `cbor:"7,keyasint,omitempty"`
}

// A Grant is a reply's entry for one account. It is left out when the broker
// holds exactly the first level of the deposit and grants nothing.
type ReplyEntry struct {
	Account string `cbor:"1,keyasint"`
	// KeptRate and KeptCapacity are all that the broker now holds of the
	// receiver's deposits.
	DepositedRate     Amount `cbor:"2,keyasint,omitempty"`
	DepositedCapacity Amount `cbor:"3,keyasint,omitempty"`
	// Loan is all that the receiver borrows; terms count from the instant it
	// sent its report.
	Loan []LoanStep `cbor:"4,keyasint,omitempty"`
	// Tokens come with the loan and with what the broker gave back.
	Tokens Amount `cbor:"5,keyasint,omitempty"`
	// RetryMs is when to ask again if tokens were wanted and none were given.
	RetryMs uint32 `cbor:"6,keyasint,omitempty"`
}

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
		return nil, ErrMalformed.Wrap(err, "encode")
	}
	if len(b) > MaxMessageBytes {
		return nil, ErrTooLarge.New("message of %d bytes", len(b))
	}
	return b, nil
}

func decode(b []byte, v any) error {
	if len(b) > MaxMessageBytes {
		return ErrTooLarge.New("message of %d bytes", len(b))
	}
	if err := decoder.Unmarshal(b, v); err != nil {
		return ErrMalformed.Wrap(err, "decode")
	}
	return nil
}

// Encode returns the report's bytes. Errors are ErrTooLarge.
func (r *Report) Encode() ([]byte, error) { return encode(r) }

// DecodeReport reads a report. Errors are ErrTooLarge, ErrMalformed and
// ErrOutOfRange.
func DecodeReport(b []byte) (Report, error) {
	var r Report
	if err := decode(b, &r); err != nil {
		return Report{}, err
	}
	return r, r.Check()
}

// Check returns ErrOutOfRange or ErrTooLarge if the report breaks a limit.
func (r *Report) Check() error {
	if len(r.Entries) > MaxEntries {
		return ErrTooLarge.New("report of %d entries", len(r.Entries))
	}
	for i := range r.Entries {
		o := &r.Entries[i]
		if err := checkName(o.Account); err != nil {
			return err
		}
		if err := checkLevels(o.Deposit); err != nil {
			return err
		}
		if err := checkAmounts(
			o.RecallRate, o.RecallCapacity, o.BorrowedRate, o.BorrowedCapacity,
			o.WantRate, o.WantCapacity, o.Tokens, o.WantTokens,
		); err != nil {
			return err
		}
	}
	return nil
}

// Encode returns the reply's bytes. Errors are ErrTooLarge.
func (r *Reply) Encode() ([]byte, error) { return encode(r) }

// DecodeReply reads a reply. Errors are ErrTooLarge, ErrMalformed and
// ErrOutOfRange.
func DecodeReply(b []byte) (Reply, error) {
	var r Reply
	if err := decode(b, &r); err != nil {
		return Reply{}, err
	}
	return r, r.Check()
}

// Check returns ErrOutOfRange or ErrTooLarge if the reply breaks a limit.
func (r *Reply) Check() error {
	if len(r.Entries) > MaxEntries {
		return ErrTooLarge.New("reply of %d entries", len(r.Entries))
	}
	for i := range r.Entries {
		g := &r.Entries[i]
		if err := checkName(g.Account); err != nil {
			return err
		}
		if err := checkLevels(g.Loan); err != nil {
			return err
		}
		if err := checkAmounts(g.DepositedRate, g.DepositedCapacity, g.Tokens); err != nil {
			return err
		}
	}
	return nil
}

func checkName(s string) error {
	if s == "" || len(s) > maxNameBytes {
		return ErrOutOfRange.New("account name of %d bytes", len(s))
	}
	return nil
}

func checkAmounts(as ...Amount) error {
	for _, a := range as {
		if a < 0 || a > MaxAmount {
			return ErrOutOfRange.New("amount %d", a)
		}
	}
	return nil
}

func checkLevels(ls []LoanStep) error {
	if len(ls) > maxLevels {
		return ErrTooLarge.New("loan of %d levels", len(ls))
	}
	for i, l := range ls {
		if err := checkAmounts(l.Rate, l.Capacity); err != nil {
			return err
		}
		if time.Duration(l.TermMs)*time.Millisecond > MaxLoanTerm {
			return ErrOutOfRange.New("term of %d ms", l.TermMs)
		}
		if i > 0 && (l.TermMs <= ls[i-1].TermMs || l.Rate > ls[i-1].Rate || l.Capacity > ls[i-1].Capacity) {
			return ErrOutOfRange.New("level %d does not fall", i)
		}
	}
	return nil
}

// schedule returns levels as instants, counted from one.
func scheduleFrom(ls []LoanStep, from time.Duration) schedule {
	var s schedule
	for _, l := range ls {
		s = s.push(level{from + time.Duration(l.TermMs)*time.Millisecond, volume{l.Rate, l.Capacity}})
	}
	return s.clean()
}

// appendLevel adds a step unless its term, rounded down, adds nothing to the
// step before. What does not fit is left out, which shortens the loan.
func appendLevel(ls []LoanStep, term time.Duration, v volume) []LoanStep {
	ms := term / time.Millisecond
	if ms <= 0 || len(ls) == maxLevels || len(ls) > 0 && uint32(ms) <= ls[len(ls)-1].TermMs {
		return ls
	}
	return append(ls, LoanStep{TermMs: uint32(ms), Rate: v.r, Capacity: v.c})
}
