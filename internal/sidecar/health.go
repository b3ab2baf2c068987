package sidecar

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/internal/peercall"
	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fleet"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
)

const (
	// healthInterval is the longest time between health checks of the backend server.
	// Admission wants more of them under load, since the backend server may become cold
	// at any moment without any other sign.
	healthInterval = time.Second
	// healthRetryInterval is the time between health checks while the backend
	// server is unreachable or admission waits for its state.
	healthRetryInterval = 200 * time.Millisecond
	// healthTimeout limits one health check. Under load the check waits for a
	// slot of the backend server.
	healthTimeout = 900 * time.Millisecond
	// maxHealthBytes limits how much of the body of a health response is read, so
	// that its connection can be used again.
	maxHealthBytes = 1 << 10
	// coldOverageShare is the fraction of the tolerated overage of a cold backend
	// server that admission uses. The rest, and the deployment's slack, cover
	// health checks and seconds that begin at other times than the backend
	// server's.
	coldOverageShare = 0.9
	// assumedColdTime is how long a backend server is treated as cold before it
	// says how long it stays cold.
	assumedColdTime = 3 * time.Second
	// coldTimeUnit is the unit in which the backend server states its cold time,
	// rounded down.
	coldTimeUnit = time.Millisecond
)

// watchHealth checks the health of the backend server until ctx ends.
func (n *Node) watchHealth(ctx context.Context) {
	for {
		ok := n.checkHealth(ctx)
		t := time.NewTimer(n.healthPause(ok))
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

// healthPause returns the time until the next health check, given whether the last one
// reached the backend server. The one at the end of a cold time confirms it.
func (n *Node) healthPause(reached bool) time.Duration {
	if !reached || n.admission.WantsConfirmation() {
		return healthRetryInterval
	}
	if left := time.Until(n.admission.ColdUntil()); left > 0 {
		return min(left, healthInterval)
	}
	return healthInterval
}

// checkHealth runs one health check. It reports false if the backend server could
// not be reached.
func (n *Node) checkHealth(ctx context.Context) bool {
	s := n.localService()
	if s == nil {
		return true
	}
	if s.HealthPath == "" {
		n.admission.ConfirmWarm(time.Now())
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	began := time.Now()
	a, err := n.askHealth(ctx, s)
	if err == errAnswerToOther || errorx.IsOfType(err, http1.ClosedByPeer) {
		// The backend server may have closed an idle connection at that moment.
		n.healthPool.Invalidate()
		began = time.Now()
		a, err = n.askHealth(ctx, s)
	}
	if err == errAnswerToOther {
		// The backend server is reachable, but its state is not known.
		n.Log.Warn("health check got the answer to another request")
		return true
	}
	if err != nil {
		if errorx.IsOfType(err, http1.NotListening) {
			n.crashes.ServerDown()
		}
		if ctx.Err() == nil {
			n.setReachable(false)
			return false
		}
		return true
	}
	peercall.DrainBody(a, maxHealthBytes)
	n.setReachable(true)
	n.localBackend.load.read(a.Header)
	if a.Header.Get(n.HeaderNames.NotExecuted) == "" {
		n.applyHealthCold(a.Header, s, began)
	}
	return true
}

// errAnswerToOther is the error of a health check whose response belongs to another
// request.
var errAnswerToOther = namespace.NewType("answer_to_other").New("the answer belongs to another request")

// askHealth sends one health check with an ID of its own: a second answer to an earlier
// one on the connection may come first.
func (n *Node) askHealth(ctx context.Context, s *config.Service) (*http.Response, error) {
	id := strconv.FormatUint(rand.Uint64(), 16)
	a, err := n.healthPool.Do(ctx, &http.Request{
		Method: http.MethodGet, Host: n.settings().BackendAddress, Header: http.Header{"User-Agent": {""}, n.HeaderNames.RequestID: {id}},
		URL: &url.URL{Scheme: "http", Host: n.settings().BackendAddress, Path: s.HealthPath},
	})
	if err != nil {
		return nil, err
	}
	if !n.HeaderNames.isHealthAnswerTo(a, id) {
		_ = a.Body.Close()
		return nil, errAnswerToOther
	}
	return a, nil
}

// applyHealthCold applies the cold time in the response to a health check that began at
// the given time.
func (n *Node) applyHealthCold(h http.Header, s *config.Service, began time.Time) {
	if s.ColdPerSecond <= 0 {
		n.admission.SetColdLimit(time.Time{}, 0)
		return
	}
	left := h.Get(n.HeaderNames.ColdTimeLeft)
	ms, err := strconv.ParseFloat(left, 64)
	if left != "" && err != nil {
		n.Log.Warn("health response of the backend server has an invalid cold time", "value", left)
		return
	}
	stated := time.Duration(ms * float64(coldTimeUnit))
	if ms > 0 || n.admission.Cold() {
		stated += coldTimeUnit
	}
	n.setCold(stated, s)
	if ms <= 0 {
		n.admission.ConfirmWarm(began)
	}
}

// setCold limits the requests to the backend server for a time. The deployment
// states by how much the limit of a cold backend server may be exceeded.
// Admission uses part of that, because its seconds and the backend server's do
// not begin together.
func (n *Node) setCold(left time.Duration, s *config.Service) {
	n.admission.SetColdLimit(time.Now().Add(left), s.ColdPerSecond*(1+coldOverageShare*n.Bounds.ColdOverage))
}

// onConnectionsClosed decides whether closed connections show a restart of the
// backend server.
func (n *Node) onConnectionsClosed(count int) {
	n.restartMu.Lock()
	restarted := n.restartDetector.ConnectionsClosed(count, int(n.localBackend.pool.OpenConnections()+n.healthPool.OpenConnections()), time.Now())
	n.restartMu.Unlock()
	if restarted {
		n.suspectRestart("connections closed")
	}
}

// suspectRestart treats the backend server as cold until a health check says
// otherwise.
func (n *Node) suspectRestart(reason string) {
	if s := n.localService(); s != nil && s.ColdPerSecond > 0 && !n.admission.Cold() {
		n.Log.Info("backend server may have been started anew", "reason", reason)
		n.setCold(assumedColdTime, s)
	}
	n.checkRestart()
}

// checkRestart requests a health check for a suspected restart, at once if the last one
// is healthRetryInterval ago. A backend server that resets its connections while its
// health checks succeed is suspected again after each of them, and would get requests at
// the pace of the checks.
func (n *Node) checkRestart() {
	n.restartMu.Lock()
	defer n.restartMu.Unlock()
	wait := time.Until(n.nextRestartCheck)
	switch {
	case wait <= 0:
		n.nextRestartCheck = time.Now().Add(healthRetryInterval)
		n.checkHealthSoon()
	case !n.restartCheckScheduled:
		n.restartCheckScheduled = true
		time.AfterFunc(wait, func() {
			n.restartMu.Lock()
			n.restartCheckScheduled = false
			n.restartMu.Unlock()
			n.checkRestart()
		})
	}
}

// checkHealthSoon requests a health check at once.
func (n *Node) checkHealthSoon() {
	select {
	case n.healthWanted <- struct{}{}:
	default:
	}
}

// setReachable refuses requests while the backend server accepts no connections.
func (n *Node) setReachable(ok bool) {
	if n.backendUnreachable.Swap(!ok) == !ok {
		return
	}
	n.Log.Info("backend server reachability changed", "reachable", ok)
	if !ok {
		n.suspectRestart("no connection")
	}
	n.updateAdmission()
}

// updateAdmission opens or closes admission according to the state of the local
// instance.
func (n *Node) updateAdmission() {
	v := n.directory.View()
	r := n.plannedClosedReason(v)
	if r == "" && n.backendUnreachable.Load() {
		r = priorityadmission.Unreachable
	}
	if old := n.admission.ClosedReason(); old != r {
		n.Log.Info("admission state changed", "state", string(r), "before", string(old))
	}
	n.admission.SetClosed(r)
}

// plannedClosedReason returns why the local instance gets no requests, apart from its
// own state; empty if it may get some.
func (n *Node) plannedClosedReason(v *fleet.View) priorityadmission.Reason {
	i := v.ByAddress[n.settings().BackendAddress]
	switch {
	case n.admissionEnded.Load():
		return priorityadmission.Leaving
	case n.snapshot.Load() == nil:
		return priorityadmission.Starting
	case i != nil && v.ZonesOut[i.Zone]:
		return priorityadmission.ZoneOut
	case i == nil || !v.Usable(i):
		return priorityadmission.Draining
	}
	return ""
}

// endExpected reports whether the local backend server may be ended on purpose.
func (n *Node) endExpected() bool {
	return n.stopping.Load() || n.plannedClosedReason(n.directory.View()) != ""
}
