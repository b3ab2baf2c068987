package sidecar

import (
	"context"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
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
	// response yet gets one of the node.
	AnswerMargin time.Duration
	// KillMargin is how long before the process is killed all connections are closed.
	KillMargin time.Duration
}

// DefaultStopPlan fits a deployment that checks readiness once a second.
func DefaultStopPlan() StopPlan {
	return StopPlan{AdmitFor: 2200 * time.Millisecond, AcceptFor: 2500 * time.Millisecond, AnswerMargin: 900 * time.Millisecond, KillMargin: 200 * time.Millisecond}
}

// within returns the plan with times that fit into a stop of timeout.
func (p StopPlan) within(timeout time.Duration) StopPlan {
	planned := p.AcceptFor + p.AnswerMargin
	if planned <= timeout {
		return p
	}
	for _, d := range []*time.Duration{&p.AdmitFor, &p.AcceptFor, &p.AnswerMargin, &p.KillMargin} {
		*d = time.Duration(float64(*d) * float64(timeout) / float64(planned))
	}
	return p
}

// stopDeadlines are the deadlines of a stop that has begun.
type stopDeadlines struct {
	// accept is when the listeners close, answer when each request without a response
	// gets one of the node, and close when all connections are closed.
	accept, answer, close time.Time
}

// deadlines returns the deadlines of a stop that begins at a time and ends with the
// kill of the process after timeout.
func (p StopPlan) deadlines(began time.Time, timeout time.Duration) *stopDeadlines {
	return &stopDeadlines{accept: began.Add(p.AcceptFor), answer: began.Add(timeout - p.AnswerMargin), close: began.Add(timeout - p.KillMargin)}
}

// outlasts reports whether a request that arrives now may last longer than the
// node. The response to a download can be cut after its backend server has finished,
// while other requests get a response of the node.
func (d *stopDeadlines) outlasts(j *job, now time.Time) bool {
	if j.route.Kind == config.RouteDownload {
		return j.deadline.After(d.close)
	}
	return now.After(d.accept) && j.deadline.After(d.answer)
}

// stop ends the node in order: readiness fails, then admission closes, then the
// listeners close, and running requests finish. Those that do not finish in time get
// a response of the node.
func (n *Node) stop(s *servers) {
	began := time.Now()
	plan := n.StopPlan.within(n.Bounds.StopTimeout)
	deadlines := plan.deadlines(began, n.Bounds.StopTimeout)
	n.callerHandler.stopDeadlines.Store(deadlines)
	n.stopping.Store(true)
	s.callers.EndKeepAlives()
	n.Log.Info("node stops")
	pauseUntil(began.Add(plan.AdmitFor))
	n.admissionEnded.Store(true)
	n.admission.SetClosed(priorityadmission.Leaving)
	s.nodes.EndKeepAlives()
	pauseUntil(deadlines.accept)
	n.Log.Info("listeners close", "connections", s.callers.Open(), "idle", s.callers.Idle())
	defer time.AfterFunc(time.Until(deadlines.answer), n.endWaiting).Stop()
	ctx, cancel := context.WithDeadline(context.Background(), deadlines.close)
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
