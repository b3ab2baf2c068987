// Package quota is a distributed token bucket limiter. It keeps every client
// account within its published rate and burst over all hosts together,
// without a central store.
//
// Each published host that is not out of service owns an equal share of every
// account's rate and burst.
// A Limiter on each host spends tokens from a local bucket. It lends the part
// of its share that it does not use to a Broker, which runs on a leader of its
// availability zone. The brokers lend their surplus to the root broker, which
// runs on one of the leaders, and hosts with more demand than share borrow back
// through the brokers. Package hosts chooses the leaders and the root.
//
// A Runner exchanges the reports and replies that carry these loans. The sender
// of a report is a member of the receiving broker, which is its parent. A loan
// from a member to its parent is called a deposit.
//
// A loan ends at a deadline that both sides store. The borrower's deadline is
// never later than the lender's, whatever happens to messages in between.
// Rate, capacity and tokens are therefore only moved, never created: in any
// window of w seconds at most Burst + Rate*w requests of an account are
// admitted.
//
// Package ratelimit also keeps limits over a fleet, but divides them by the
// number of nodes, needs almost no messages and uses a tolerated overage. This
// package moves quota to where the requests are and allows no overage.
package quota

import (
	"math"
	"time"

	"github.com/joomcode/errorx"
)

// Durations of loans and waits.
const (
	// MaxLoanTerm is the maximum duration of a loan.
	MaxLoanTerm = 3 * time.Second
	// OwnerMargin is how much longer than the borrower the owner of a share
	// treats a loan as running. It covers clocks that run at different speeds.
	OwnerMargin = 200 * time.Millisecond
	// ActivationDelay is how long the growth of a share stays unused after the
	// set of published hosts changed. A host that was removed and cut off
	// admits requests for up to 3 s, and its loans run for up to MaxLoanTerm
	// after that.
	ActivationDelay = 10 * time.Second
	// MaxConfirmationGap is the maximum time without permission to admit
	// requests after which a node can still assume that it received every
	// recent configuration.
	MaxConfirmationGap = 5 * time.Second
	// TokenLoanTerm is the term of capacity that is lent only to carry tokens
	// for waiting requests. The capacity returns to the broker without a
	// message. The term covers two exchanges and MaxTokenWait.
	TokenLoanTerm = 250 * time.Millisecond
	// BrokerTokenLoanTerm replaces TokenLoanTerm for loans to a broker, which
	// lends the tokens on within that time.
	BrokerTokenLoanTerm = 320 * time.Millisecond
	// MaxTokenWait is the maximum time that a request waits for a token.
	MaxTokenWait = 100 * time.Millisecond
)

// Namespace holds the error types of the package.
var Namespace = errorx.NewNamespace("quota")

// Error types of the package.
var (
	// ErrMalformed marks bytes that do not decode to a message of this package.
	ErrMalformed = Namespace.NewType("malformed")
	// ErrTooLarge marks a message over the size or entry limit.
	ErrTooLarge = Namespace.NewType("too_large")
	// ErrOutOfRange marks a message with an amount outside its range.
	ErrOutOfRange = Namespace.NewType("out_of_range")
	// ErrNoParent marks an exchange whose parent is unknown.
	ErrNoParent = Namespace.NewType("no_parent")
)

// An Amount is a number of tokens, or of tokens per second, in units of
// 2^-24. Amounts below 2^29 tokens are exact in a float64, so sums of shares
// and loans carry no rounding error.
type Amount int64

// OneToken is a whole token.
const OneToken Amount = 1 << 24

// MaxAmount is the maximum of every amount in a message.
const MaxAmount = OneToken << 28

// Tokens returns the amount as a number of tokens.
func (a Amount) Tokens() float64 { return float64(a) / float64(OneToken) }

// AmountOf converts a number of tokens to an Amount, rounded down and limited
// to MaxAmount. Negative numbers and NaN give 0.
func AmountOf(tokens float64) Amount {
	if !(tokens > 0) {
		return 0
	}
	if tokens >= MaxAmount.Tokens() {
		return MaxAmount
	}
	return Amount(math.Floor(tokens * float64(OneToken)))
}

// A portion is the part of an account's limit that a share or a loan covers.
type portion struct {
	rate     Amount // tokens per second
	capacity Amount // tokens that the bucket holds when full
}

func (v portion) plus(w portion) portion { return portion{v.rate + w.rate, v.capacity + w.capacity} }

func (v portion) minus(w portion) portion { return portion{v.rate - w.rate, v.capacity - w.capacity} }

func (v portion) min(w portion) portion {
	return portion{min(v.rate, w.rate), min(v.capacity, w.capacity)}
}

func (v portion) max(w portion) portion {
	return portion{max(v.rate, w.rate), max(v.capacity, w.capacity)}
}
func (v portion) nonNegative() portion { return v.max(portion{}) }
func (v portion) isZero() bool         { return v == portion{} }

// brokerMargin returns how much longer than the borrower a broker treats a
// loan of the given term as running: 2% of the term for clocks that run at
// different speeds, and a fixed part.
func brokerMargin(term time.Duration) time.Duration {
	return 5*time.Millisecond + term/50
}
