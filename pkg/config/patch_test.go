package config_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
)

func patchDocument(routes int) *config.Document {
	rate := 10.0
	d := &config.Document{Defaults: &config.Values{Rate: &rate}, CallerLimits: &config.CallerLimits{BodyBytes: 1000}}
	for i := range routes {
		d.Routes = append(d.Routes, config.Route{VirtualHost: "mesh", Prefix: fmt.Sprintf("/r%d/", i), Service: "desk", TimeoutMs: 1000 + i})
	}
	d.Services = []config.Service{{Name: "desk"}, {Name: "spare"}}
	d.Accounts = []config.ClientAccount{{Name: "club", Keys: []string{"a", "b"}}}
	return d
}

// Guards against a version of the configuration that takes the size of all routes to
// pass on although little has changed, and against one that differs from the original.
func TestPatchLeadsToTheSameDocument(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	from := patchDocument(300)
	for step := range 50 {
		to := *from
		to.Routes = append([]config.Route(nil), from.Routes...)
		to.Accounts = []config.ClientAccount{{Name: "club", Keys: []string{fmt.Sprint(step)}}}
		at := r.IntN(len(to.Routes))
		to.Routes[at].TimeoutMs = step
		to.Routes = append(to.Routes[:at/2], to.Routes[at/2+1:]...)
		to.Routes = append(to.Routes, config.Route{VirtualHost: "mesh", Prefix: fmt.Sprintf("/new%d/", step), Splits: []config.Split{{Service: "desk", Weight: 1}, {Service: "spare", Weight: 2}}})
		p, ok := config.NewPatch(from, &to)
		assert.Assert(t, ok)
		b, err := cbor.Marshal(p)
		assert.NilError(t, err)
		assert.Assert(t, len(b) < 1000, "%d bytes", len(b))
		var received config.Patch
		assert.NilError(t, cbor.Unmarshal(b, &received))
		got, err := received.Apply(from)
		assert.NilError(t, err)
		assert.Equal(t, got.Checksum(), to.Checksum())
		assert.Equal(t, len(got.Routes), len(to.Routes))
		from = got
	}
}

// Guards against a patch that is applied to another document than its base.
func TestPatchOfAnotherDocumentIsRefused(t *testing.T) {
	from, to := patchDocument(10), patchDocument(10)
	to.Routes[3].TimeoutMs = 5
	p, ok := config.NewPatch(from, to)
	assert.Assert(t, ok)
	other := patchDocument(10)
	other.Routes[7].Service = "spare"
	_, err := p.Apply(other)
	assert.Assert(t, errorx.IsOfType(err, config.ErrPatch), "%v", err)
	to.Routes = append(to.Routes, to.Routes[0])
	_, ok = config.NewPatch(from, to)
	assert.Assert(t, !ok, "a name that occurs twice")
}
