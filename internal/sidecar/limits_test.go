package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/ratelimit"
)

// Guards against an account far over its rate that takes the share of others at
// an overloaded service.
func TestAccountFarOverItsRateGoesBehindOthers(t *testing.T) {
	n := testNode(t, "127.0.0.1:9")
	n.rateLimiter.Configure(map[string]ratelimit.Limit{"far-over": {Rate: 100, Burst: 10}, "within": {Rate: 100, Burst: 10}})
	overLimit, admitted := 0, 0
	for range 200 {
		j := &job{account: "far-over", priority: combinedPriority(0, 1)}
		if n.callerHandler.charge(t.Context(), j) != nil {
			continue
		}
		admitted++
		if j.priority > combinedPriority(routePriorities, routePriorities) {
			overLimit++
		}
	}
	assert.Assert(t, overLimit > 0 && overLimit < admitted, "%d of %d", overLimit, admitted)
	j := &job{account: "within", priority: combinedPriority(3, 2)}
	assert.NilError(t, n.callerHandler.charge(t.Context(), j))
	assert.Equal(t, j.priority, combinedPriority(3, 2))
}
