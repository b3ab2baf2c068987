package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/operator"
)

// fetchStatus returns the status of a member's node; it is empty if the node
// does not answer.
func fetchStatus(m *member) *operator.Status {
	s, err := operator.FetchStatus(context.Background(), m.node.Settings.OperatorAddress)
	if err != nil {
		return &operator.Status{}
	}
	return s
}

// Guards against callers that get no response, a truncated one or the response
// to another request (promise P10), and against a caller's key that reaches a
// backend server (promise P7).
func TestCallIsServedEndToEnd(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	for i := range 30 {
		trial := fmt.Sprintf("t%d", i)
		a := f.send(i%3, f.request(http.MethodGet, "/entries/7", "club-a", trial))
		assert.Equal(t, a.status, http.StatusOK, "%v", a)
		assert.Assert(t, a.whole)
		assert.Equal(t, a.echo.TrialID, trial)
		assert.Equal(t, a.echo.Account, "club-a")
	}
	assert.Equal(t, f.executions.LeakedRequestCount(), 0)
	assert.Assert(t, !strings.Contains(f.logs.String(), "panic"))
}

// Guards against calls that run without the key of their account (promise P6)
// and against refusals that are not marked as not run.
func TestKeysDecideWhoseCallRuns(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2)
	for _, c := range []struct {
		name, path, key string
		status          int
		notRun          string
	}{
		{"no key", "/entries/1", "", 401, "KeyMissing"},
		{"unknown key", "/entries/1", "Bearer qd_unknown", 401, "KeyUnknown"},
		{"long key", "/entries/1", "Bearer " + strings.Repeat("x", 5000), 401, "KeyMissing"},
		{"no route", "/other", "Bearer x", 404, "NoRoute"},
		{"open route without key", "/public/x", "", 200, ""},
		{"open route with unknown key", "/public/x", "Bearer x", 200, ""},
	} {
		r := f.request(http.MethodGet, c.path, "", c.name)
		if c.key != "" {
			r.Header.Set("Authorization", c.key)
		}
		// An account that the caller names itself must have no effect.
		r.Header.Set("Quetzaldock-Account", "club-b")
		a := f.send(0, r)
		assert.Equal(t, a.status, c.status, "%s: %v", c.name, a)
		assert.Equal(t, a.notRun, c.notRun, c.name)
		if c.status == 200 {
			assert.Equal(t, a.echo.Account, "", c.name)
		}
	}
}
