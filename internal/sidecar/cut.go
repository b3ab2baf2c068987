package sidecar

import (
	"errors"
	"net/http"
	"os"

	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/internal/peercall"
)

// A CutCause says why a caller's connection was closed without a complete response.
type CutCause string

// The causes of connections that are closed without a complete response.
const (
	// CutCallerLeft means that the caller closed the connection.
	CutCallerLeft CutCause = "CallerLeft"
	// CutContextEnded means that the context of the request ended although the
	// caller has not closed the connection.
	CutContextEnded CutCause = "ContextEnded"
	// CutNotReceived means that the caller did not read the response in time.
	CutNotReceived CutCause = "NotReceived"
	// CutDeadline means that the deadline passed in the middle of a response.
	CutDeadline CutCause = "Deadline"
	// CutBrokeOff means that the response broke off on its way from the instance.
	CutBrokeOff CutCause = "BrokeOff"
	// CutPanic means that the handler panicked, which is a fault of the program.
	CutPanic CutCause = "Panic"
)

// cutCause returns the cause of a response that was not sent completely. late states
// that the deadline of the request has passed.
func cutCause(in *http.Request, t *peercall.Truncated, late bool) CutCause {
	switch {
	case t.NotReceived && errors.Is(t, os.ErrDeadlineExceeded):
		return CutNotReceived
	case t.NotReceived, in.Context().Err() != nil:
		return endedCause(in)
	case late:
		return CutDeadline
	}
	return CutBrokeOff
}

// endedCause returns the cause of a request whose context has ended.
func endedCause(in *http.Request) CutCause {
	if http1.ClientLeft(in.Context()) {
		return CutCallerLeft
	}
	return CutContextEnded
}
