package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/ratelimit"
)

// Guards against an account far over its rate that keeps others from their
// share of an overloaded service.
func TestAccountFarOverItsRateGoesBehindOthers(t *testing.T) {
	n := testNode(t, "127.0.0.1:9")
	n.quota.Configure(map[string]ratelimit.Limit{"far-over": {Rate: 100, Burst: 10}, "within": {Rate: 100, Burst: 10}})
	beyond, admitted := 0, 0
	for range 200 {
		j := &job{account: "far-over", priority: rank(0, 1)}
		if n.callers.charge(t.Context(), j) != nil {
			continue
		}
		admitted++
		if j.priority > rank(routeRanks, routeRanks) {
			beyond++
		}
	}
	assert.Assert(t, beyond > 0 && beyond < admitted, "%d of %d", beyond, admitted)
	j := &job{account: "within", priority: rank(3, 2)}
	assert.NilError(t, n.callers.charge(t.Context(), j))
	assert.Equal(t, j.priority, rank(3, 2))
}
