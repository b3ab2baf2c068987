package sidecar

import (
	"context"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

// A StopPlan holds how long a node continues each kind of work after it was asked
// to stop.
type StopPlan struct {
	// AdmitFor is how long requests are still forwarded to the local backend
	// server.
	AdmitFor time.Duration
	// AcceptFor is how long new requests of callers are accepted. The deployment
	// checks readiness once a second and moves callers after two failed checks.
	AcceptFor time.Duration
	// AnswerMargin is how long before the process is killed each request that has no
	// response yet gets one of the node. A request that is accepted after AcceptFor
	// must end before that.
	AnswerMargin time.Duration
	// KillMargin is how long before the process is killed all connections are closed.
	KillMargin time.Duration
}

// DefaultStopPlan fits a deployment that checks readiness once a second.
func DefaultStopPlan() StopPlan {
	return StopPlan{AdmitFor: 2200 * time.Millisecond, AcceptFor: 2500 * time.Millisecond, AnswerMargin: 900 * time.Millisecond, KillMargin: 500 * time.Millisecond}
}

// stop ends the node in order: readiness fails, then admission closes, then the
// listeners close, and running requests finish. Those that do not finish in time get
// a response of the node.
func (n *Node) stop(s *servers) {
	began := time.Now()
	n.stopping.Store(true)
	s.callers.EndKeepAlives()
	n.Log.Info("node stops")
	pauseUntil(began.Add(n.StopPlan.AdmitFor))
	n.admissionEnded.Store(true)
	n.admission.SetClosed(priorityadmission.Leaving)
	s.nodes.EndKeepAlives()
	pauseUntil(began.Add(n.StopPlan.AcceptFor))
	n.Log.Info("listeners close", "connections", s.callers.Open(), "idle", s.callers.Idle())
	answerBy := began.Add(n.Bounds.StopTimeout - n.StopPlan.AnswerMargin)
	n.callerHandler.answerBy.Store(&answerBy)
	defer time.AfterFunc(time.Until(answerBy), n.endWaiting).Stop()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(n.Bounds.StopTimeout-n.StopPlan.KillMargin))
	defer cancel()
	var w sync.WaitGroup
	for _, l := range s.all() {
		w.Go(func() {
			if cut := l.Drain(ctx); cut > 0 {
				n.Log.Warn("connections still in use at the end of the stop were closed", "address", l.Listener.Addr().String(), "connections", cut)
			}
		})
	}
	w.Wait()
}

// pauseUntil waits until a time of the stop plan. Only the end of the process
// cuts a stop short.
func pauseUntil(t time.Time) { sleep(context.Background(), time.Until(t)) }
