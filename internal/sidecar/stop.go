package sidecar

import (
	"context"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/pkg/door"
)

const (
	// doorOpenFor is how long after the request to stop the node still passes
	// requests on to the local backend server.
	doorOpenFor = 1500 * time.Millisecond
	// callersFor is how long it still takes new requests of callers. The
	// deployment asks for readiness once a second and moves callers after two
	// misses.
	callersFor = 2500 * time.Millisecond
	// stopSpare is kept of the time until the process is killed.
	stopSpare = 900 * time.Millisecond
)

// stop ends the node in order: callers are told to go elsewhere, then the door
// closes, then the listeners, and what runs is finished.
func (n *Node) stop(s *servers) {
	began := time.Now()
	n.stopping.Store(true)
	n.Log.Info("stopping")
	time.Sleep(doorOpenFor)
	n.doorClosed.Store(true)
	n.door.Close(door.Leaving)
	time.Sleep(time.Until(began.Add(callersFor)))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(n.Bounds.Stop-stopSpare))
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
