// Package quota keeps every client account within its published rate and
// burst over all hosts together, without shared state.
//
// Each published host owns an equal share of every account's rate and burst.
// Hosts lend what they don't use to a broker, brokers lend their surplus to
// the root broker, and demand is answered in the opposite direction. A loan
// ends at a deadline that both sides store; the borrower's deadline is never
// later than the lender's, whatever happens to messages in between. Rate,
// capacity and tokens are therefore only ever moved, never created: in any
// window w at most Burst + Rate*w requests of an account are admitted.
package quota

import (
	"math"
	"time"

	"github.com/joomcode/errorx"
)

// The terms of loans and waits.
const (
	// Term is the longest duration of a loan.
	MaxLoanTerm = 3 * time.Second
	// Margin is how much longer than its borrower an owner counts a loan. It
	// covers clocks that run at different speeds.
	OwnerMargin = 200 * time.Millisecond
	// ActivationWait is how long a share that grew because the set of
	// published hosts changed stays unused. A host that was removed and cut
	// off spends for up to 3 s and its loans run for up to Term after that.
	ActivationDelay = 10 * time.Second
	// ConfirmationGap is the longest time without permission to spend after
	// which a node still trusts that it knew every recent configuration.
	MaxConfirmationGap = 5 * time.Second
	// TokenTerm is the term of capacity that is lent only to carry tokens for
	// waiting requests. It returns to the broker without a message. It covers
	// two exchanges and MaxWait.
	TokenLoanTerm = 250 * time.Millisecond
	// BrokerTokenTerm is TokenTerm for loans to a broker, which lends the
	// tokens on within that time.
	BrokerTokenLoanTerm = 320 * time.Millisecond
	// MaxWait bounds how long a request waits for a token.
	MaxTokenWait = 100 * time.Millisecond
)

// Namespace holds the error types of the package.
var Namespace = errorx.NewNamespace("quota")

// The error types of the package.
var (
	// ErrMalformed marks bytes that are no message of this package.
	ErrMalformed = Namespace.NewType("malformed")
	// ErrTooLarge marks a message over the size or entry limit.
	ErrTooLarge = Namespace.NewType("too_large")
	// ErrOutOfRange marks a message with an amount outside its range.
	ErrOutOfRange = Namespace.NewType("out_of_range")
	// ErrNoParent marks an exchange without a known parent.
	ErrNoParent = Namespace.NewType("no_parent")
)

// An Amount is a number of tokens, or of tokens per second, in units of
// 2^-24. Amounts below 2^29 tokens are exact in a float64, so sums of shares
// and loans carry no rounding error.
type Amount int64

// One is a whole token.
const OneToken Amount = 1 << 24

// MaxAmount bounds every amount in a message.
const MaxAmount = OneToken << 28

// Tokens returns the amount as a number of tokens.
func (a Amount) Tokens() float64 { return float64(a) / float64(OneToken) }

// Units returns a number of tokens as an Amount, rounded down. Numbers that
// are negative or not a number give 0.
func AmountOf(tokens float64) Amount {
	if !(tokens > 0) {
		return 0
	}
	if tokens >= MaxAmount.Tokens() {
		return MaxAmount
	}
	return Amount(math.Floor(tokens * float64(OneToken)))
}

// A volume is what a share or a loan consists of.
type volume struct {
	r Amount // rate per second
	c Amount // capacity
}

func (v volume) plus(w volume) volume  { return volume{v.r + w.r, v.c + w.c} }
func (v volume) minus(w volume) volume { return volume{v.r - w.r, v.c - w.c} }
func (v volume) min(w volume) volume   { return volume{min(v.r, w.r), min(v.c, w.c)} }
func (v volume) max(w volume) volume   { return volume{max(v.r, w.r), max(v.c, w.c)} }
func (v volume) floor() volume         { return v.max(volume{}) }
func (v volume) isZero() bool          { return v == volume{} }

// margin is how much longer than its borrower a broker counts a loan of the
// given term: 2% for clocks that run at different speeds, and a fixed part.
func brokerMargin(term time.Duration) time.Duration {
	return 5*time.Millisecond + term/50
}
