package sidecar

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

const (
	// healthEvery is the pause between two questions to the local server. It
	// may become cold at any moment without any other sign.
	healthInterval = time.Second
	// healthSoon is the pause while the server is unreachable, and the least
	// pause between questions that a suspicion asks for.
	healthRetryInterval = 200 * time.Millisecond
	// healthTimeout bounds one question. Under load it waits for a slot.
	healthTimeout = 900 * time.Millisecond
	// usedColdOverage is the part of the tolerated overage of a cold server
	// that its door uses. The rest, and the deployment's slack, cover questions
	// for its health and seconds that begin at other times than the server's.
	coldOverageShare = 0.9
	// coldUnknown is how long a server is taken for cold while it has not said
	// how long it stays so.
	assumedColdTime = 3 * time.Second
)

// watchHealth asks the local backend server whether it is cold, until ctx
// ends.
func (n *Node) watchHealth(ctx context.Context) {
	for {
		pause := healthInterval
		if !n.checkHealth(ctx) {
			pause = healthRetryInterval
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		case <-n.healthWanted:
			t.Stop()
			if !sleep(ctx, time.Millisecond) {
				return
			}
		}
	}
}

// askHealth asks once and reports whether the server was reached.
func (n *Node) checkHealth(ctx context.Context) bool {
	s := n.localService()
	if s == nil || s.HealthPath == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	a, err := n.localBackend.pool.Do(ctx, &http.Request{
		Method: http.MethodGet, Host: n.settings().BackendAddress, Header: http.Header{"User-Agent": {""}},
		URL: &url.URL{Scheme: "http", Host: n.settings().BackendAddress, Path: s.HealthPath},
	})
	if err != nil {
		if ctx.Err() == nil {
			n.setReachable(false)
			return false
		}
		return true
	}
	_ = a.Body.Close()
	n.setReachable(true)
	n.applyHealthCold(a.Header, s)
	return true
}

// learnCold applies what a health answer says about the server's start.
func (n *Node) applyHealthCold(h http.Header, s *config.Service) {
	if s.ColdPerSecond <= 0 {
		n.admission.SetColdLimit(time.Time{}, 0)
		return
	}
	left := h.Get(n.HeaderNames.ColdTimeLeft)
	ms, err := strconv.ParseFloat(left, 64)
	if left != "" && err != nil {
		n.Log.Warn("unreadable cold time of the backend server", "value", left)
		return
	}
	n.setCold(time.Duration(ms*float64(time.Millisecond)), s)
}

// setCold limits the local server's requests for a time. The deployment states
// by how much the limit of a cold server may be exceeded; the door uses part
// of that, since its seconds and the server's do not begin together.
func (n *Node) setCold(left time.Duration, s *config.Service) {
	n.admission.SetColdLimit(time.Now().Add(left), s.ColdPerSecond*(1+coldOverageShare*n.Bounds.ColdOverage))
}

// connectionsClosed judges whether the local server was started anew.
func (n *Node) onConnectionsClosed(count int) {
	n.restartEvidenceMu.Lock()
	restarted := n.restartEvidence.ConnectionsClosed(count, int(n.localBackend.pool.Open()), time.Now())
	n.restartEvidenceMu.Unlock()
	if restarted {
		n.suspectRestart("connections closed")
	}
}

// suspectRestart takes the local server for cold until it says otherwise.
func (n *Node) suspectRestart(reason string) {
	if s := n.localService(); s != nil && s.ColdPerSecond > 0 && !n.admission.Cold() {
		n.Log.Info("backend server may have been started anew", "reason", reason)
		n.setCold(assumedColdTime, s)
	}
	n.checkHealthSoon()
}

// askSoon has the server asked for its health at once.
func (n *Node) checkHealthSoon() {
	select {
	case n.healthWanted <- struct{}{}:
	default:
	}
}

// setReachable closes the door while the local server takes no connections.
func (n *Node) setReachable(ok bool) {
	if n.backendUnreachable.Swap(!ok) == !ok {
		return
	}
	n.Log.Info("backend server", "reachable", ok)
	if !ok {
		n.suspectRestart("no connection")
	}
	n.updateAdmission()
}

// updateDoor opens or closes the door by what is known of the local instance.
func (n *Node) updateAdmission() {
	v := n.directory.View()
	i := v.ByAddress[n.settings().BackendAddress]
	var r priorityadmission.Reason
	switch {
	case n.admissionEnded.Load():
		r = priorityadmission.Leaving
	case n.snapshot.Load() == nil:
		r = priorityadmission.Starting
	case i != nil && v.ZonesOut[i.Zone]:
		r = priorityadmission.ZoneOut
	case i == nil || !v.Usable(i):
		r = priorityadmission.Draining
	case n.backendUnreachable.Load():
		r = priorityadmission.Unreachable
	}
	if old := n.admission.ClosedReason(); old != r {
		n.Log.Info("door", "state", string(r), "before", string(old))
	}
	n.admission.SetClosed(r)
}
