package sidecar

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/fleet"
)

// Guards against requests that are refused because their sender does not know yet that
// the instance was started anew with another ID, as after a loss of power, and against
// one that reaches an instance of another service at the same address.
func TestRequestForAnEarlierStartReachesItsSuccessor(t *testing.T) {
	m := newMesh(t, 2)
	beside := m.nodes[1]
	// Only the node beside the instance learns of the new start.
	restarted := m.backends[1].instanceChange("surco")
	restarted.Instance.ID, restarted.Instance.Born = "i-new", 2
	m.backends[1].id = "i-new"
	beside.directory.Apply([]fleet.Change{restarted})
	assert.Equal(t, beside.localInstanceID(), "i-new")
	for range 20 {
		assert.Equal(t, m.send(t, 0, http.MethodPost, "/entry/a").status, http.StatusOK)
	}
	assert.Assert(t, m.backends[1].count() > 0, "no request reached the new start")
	ran := m.backends[1].count()
	other := restarted
	other.Instance.ID, other.Instance.Service, other.Instance.Born = "i-other", "spare", 3
	beside.directory.Apply([]fleet.Change{other})
	for range 20 {
		assert.Equal(t, m.send(t, 0, http.MethodPost, "/entry/a").status, http.StatusOK)
	}
	assert.Equal(t, m.backends[1].count(), ran, "an instance of another service ran requests")
}

// Guards against tries at instances that have ended, whose entries stay for some
// heartbeats beside those of their successors.
func TestInstanceThatWasReplacedIsNoTarget(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	restarted := m.backends[0].instanceChange("surco")
	restarted.Instance.ID, restarted.Instance.Born = "i-new", 2
	n.directory.Apply([]fleet.Change{restarted})
	v := n.directory.View()
	assert.Equal(t, len(v.Instances), 2)
	targets := n.balanceTargets(v)
	assert.Equal(t, len(targets), 1)
	assert.Equal(t, targets[0].ID, "i-new")
}
