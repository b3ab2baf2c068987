package sidecar

import (
	"context"
	"errors"
	"net/http"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/pkg/balance"
)

// An exchangeResult is the result of remoteNodes.exchange.
type exchangeResult struct {
	response *http.Response
	load     balance.Load
	err      error
}

// close closes the body of the response, if there is one.
func (e *exchangeResult) close() {
	if e.response != nil {
		_ = e.response.Body.Close()
	}
}

// A pendingExchange is a try that waits for another node.
type pendingExchange struct {
	// ended gets the result.
	ended chan exchangeResult
	// cancel ends the exchange. It must not be called while the response is read.
	cancel context.CancelFunc
	// result is what ended got, once the exchange is in pendingTries.ended.
	result exchangeResult
}

// A silentNode is the error of a try at a node that answers nothing. The exchange goes on:
// if the node is only slow, its response is better than none.
type silentNode struct{ exchange *pendingExchange }

// Error implements error.
func (s *silentNode) Error() string { return s.Unwrap().Error() }

// Unwrap returns the outcome of the try as far as it is known.
func (s *silentNode) Unwrap() error {
	return &call.OutcomeUnknown{Reason: "no answer so far", Cause: errNodeSilent}
}

// pendingTries are the tries of one request at nodes that answer nothing.
type pendingTries struct {
	// open are the exchanges that have not been received from ended.
	open  map[*pendingExchange]bool
	ended chan *pendingExchange
}

func (p *pendingTries) add(x *pendingExchange) {
	if p.open == nil {
		p.open, p.ended = map[*pendingExchange]bool{}, make(chan *pendingExchange, maxSends)
	}
	p.open[x] = true
	go func() {
		x.result = <-x.ended
		p.ended <- x
	}()
}

// abandon ends all exchanges.
func (p *pendingTries) abandon() {
	for x := range p.open {
		x.cancel()
	}
	go func(left int) {
		for range left {
			x := <-p.ended
			x.result.close()
		}
	}(len(p.open))
	p.open = nil
}

// tryNextOrLate is tryNext while tries at silent nodes are pending. The first response
// ends the others.
func (t *requestDispatch) tryNextOrLate(ctx context.Context) (*http.Response, error) {
	if len(t.pending.open) == 0 {
		return t.tryNext(ctx)
	}
	// The context must last as long as the response is read.
	tryCtx, endTry := context.WithCancel(ctx)
	t.endTry = endTry
	next := make(chan exchangeResult, 1)
	late := t.pending.ended
	go func() {
		a, err := t.tryNext(tryCtx)
		next <- exchangeResult{response: a, err: err}
	}()
	var ended []*pendingExchange
	for {
		select {
		case e := <-next:
			for _, x := range ended {
				t.takeLate(x)
			}
			return e.response, e.err
		case x := <-late:
			ended = append(ended, x)
			if x.result.err != nil || x.result.response.StatusCode >= http.StatusInternalServerError {
				continue
			}
			endTry()
			e := <-next
			e.close()
			for _, x := range ended {
				if a := t.takeLate(x); a != nil {
					return a, nil
				}
			}
			if e.err == nil {
				e.err = &call.OutcomeUnknown{Reason: "ended for a response of another instance"}
			}
			return nil, e.err
		}
	}
}

// awaitLate returns the response of a pending try, or nil if there is none before ctx
// ends.
func (t *requestDispatch) awaitLate(ctx context.Context) *http.Response {
	for len(t.pending.open) > 0 && ctx.Err() == nil {
		select {
		case x := <-t.pending.ended:
			if a := t.takeLate(x); a != nil {
				return a
			}
		case <-ctx.Done():
		}
	}
	return nil
}

// takeLate returns the response of a pending try that has ended, or nil if it has none. A
// failure of an instance that ran the request is kept for the caller.
func (t *requestDispatch) takeLate(x *pendingExchange) *http.Response {
	delete(t.pending.open, x)
	if x.result.err != nil {
		return nil
	}
	a, err := t.acceptResponse(x.result.response)
	var failed *failedResponse
	switch {
	case err == nil:
		return a
	case errors.As(err, &failed) && !failed.notRun:
		t.setFailed(failed.response)
	default:
		x.result.close()
	}
	return nil
}
