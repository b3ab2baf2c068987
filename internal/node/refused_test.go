package node_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// Guards against an invalid version that is applied in part or that the status
// does not show to operators (promises P2 and P3).
func TestRefusedVersionIsShownAndNotApplied(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2)
	good := f.document.Routes
	f.document.Routes = append([]config.Route{{Prefix: "/lost", Service: "nowhere"}}, good...)
	f.publish()
	f.await("refusal shown", func() bool { return len(fetchStatus(f.members[0]).Refused) > 0 })
	s := fetchStatus(f.members[0])
	assert.Equal(t, s.Version, f.version-1)
	assert.Equal(t, s.Refused[0].Version, f.version)
	assert.Assert(t, strings.Contains(s.Refused[0].Reason, "nowhere"), s.Refused[0].Reason)
	f.document.Routes = good
	f.publish()
	f.await("next version in force", func() bool { return f.allReadyAt(f.version) })
}
