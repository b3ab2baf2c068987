package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

const (
	// minRetryAfter and maxRetryAfter limit the retry time sent to a refused
	// caller.
	minRetryAfter = 30 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retryAfterJitter is the fraction by which the retry time varies, so that
	// callers refused together do not return together.
	retryAfterJitter = 0.5
	// defaultRetryAfter is the retry time if it is not known when the cause ends.
	defaultRetryAfter = 250 * time.Millisecond
)

// A rejection is the node's own response to a request.
type rejection struct {
	status int
	reason string
	// detail is for logs only.
	detail string
	// retryAfter is the time after which the caller should try again, zero for no
	// Retry-After header.
	retryAfter time.Duration
}

// errBodyTooLarge rejects a body over the limit of the configuration. The request may have
// run if the length of the body was not stated.
var errBodyTooLarge = &rejection{http.StatusRequestEntityTooLarge, "BodyTooLarge", "", 0}

// reasonMemory is the reason of requests that are refused for lack of memory.
const reasonMemory = "Memory"

// Error implements error.
func (r *rejection) Error() string { return r.reason }

// statedRetryAfter returns the retry time for the caller. That of a quarantined
// request is exact: nothing that happens meanwhile makes room for it.
func (r *rejection) statedRetryAfter() time.Duration {
	if r.reason == string(quarantined) {
		return r.retryAfter
	}
	return addJitter(r.retryAfter)
}

// rejectionFor maps errors to rejections. Statuses that mean "not run" are used
// only for requests that have not run.
func rejectionFor(err error) *rejection {
	var r *rejection
	var f *priorityadmission.Refusal
	var u *call.OutcomeUnknown
	var b *call.IncompleteBody
	switch {
	case errors.As(err, &r):
		return r
	case errors.As(err, &f):
		after, reason := f.RetryAfter, f.Reason
		if after <= 0 {
			after = defaultRetryAfter
		}
		if reason == priorityadmission.Canceled {
			// The caller is still there, so the node ended the wait.
			reason = priorityadmission.Leaving
		}
		return &rejection{http.StatusServiceUnavailable, string(reason), "", after}
	case errors.As(err, &b) && b.TimedOut:
		return &rejection{http.StatusRequestTimeout, "BodyLate", "", 0}
	case errors.As(err, &b):
		return &rejection{http.StatusBadRequest, "BodyIncomplete", "", 0}
	case errors.As(err, &u) && errors.Is(u, context.DeadlineExceeded):
		return &rejection{http.StatusGatewayTimeout, "NoAnswerInTime", u.Error(), 0}
	default:
		return &rejection{http.StatusBadGateway, "NoWholeAnswer", err.Error(), 0}
	}
}

// addJitter clamps a retry time and varies it at random, so that callers do not
// return together.
func addJitter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return time.Duration(float64(d) * (1 + retryAfterJitter*(2*rand.Float64()-1)))
}

func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
