package sidecar

import (
	"context"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

// A StopPlan says how long a node that was asked to stop goes on with what.
type StopPlan struct {
	// Door is how long requests are still passed on to the local backend server.
	AdmitFor time.Duration
	// Callers is how long new requests of callers are taken. The deployment
	// asks for readiness once a second and moves callers after two misses.
	AcceptFor time.Duration
	// Spare is kept of the time until the process is killed.
	KillMargin time.Duration
}

// DefaultStopPlan fits a deployment that asks for readiness once a second.
func DefaultStopPlan() StopPlan {
	return StopPlan{AdmitFor: 2200 * time.Millisecond, AcceptFor: 2500 * time.Millisecond, KillMargin: 900 * time.Millisecond}
}

// stop ends the node in order: callers are told to go elsewhere, then the door
// closes, then the listeners, and what runs is finished.
func (n *Node) stop(s *servers) {
	began := time.Now()
	n.stopping.Store(true)
	n.Log.Info("stopping")
	pauseUntil(began.Add(n.StopPlan.AdmitFor))
	n.admissionEnded.Store(true)
	n.admission.SetClosed(priorityadmission.Leaving)
	pauseUntil(began.Add(n.StopPlan.AcceptFor))
	// Shutdown would close them too, and pass on what crosses.
	n.callerConnections.closeIdle()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(n.Bounds.StopTimeout-n.StopPlan.KillMargin))
	defer cancel()
	var w sync.WaitGroup
	for _, l := range s.all() {
		w.Go(func() {
			if err := l.server.Shutdown(ctx); err != nil {
				n.Log.Warn("connections were still in use", "address", l.listener.Addr().String(), "error", err)
				_ = l.server.Close()
			}
		})
	}
	w.Wait()
}

// pauseUntil waits for a time of the stop plan; nothing cuts a stop short but
// the end of the process.
func pauseUntil(t time.Time) { sleep(context.Background(), time.Until(t)) }
