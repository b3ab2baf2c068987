package replication_test

import (
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// Guards against a new version that is never validated because the node already
// has all its parts, so that no part is delivered.
func TestVersionWithTheSamePartsComesIntoForce(t *testing.T) {
	t.Parallel()
	f := startedFleet(t, 1, 5, 2, 0)
	m, err := config.ParseManifest(f.sourceValues["manifest"])
	assert.NilError(t, err)
	m.Version = 2
	f.sourceValues["manifest"], err = toml.Marshal(m)
	assert.NilError(t, err)
	f.run(4 * time.Second)
	_, ok := f.convergenceTime(2, f.now)
	assert.Assert(t, ok, "version 2 is not in force everywhere within 4 s")
}
