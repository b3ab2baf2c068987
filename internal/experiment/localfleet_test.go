package experiment

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a fleet that breaks a promise during common operations: a
// configuration change, a zone taken out of service and put back, a withdrawn
// key, a cold restart, and repeated calls and calls with unknown keys.
func TestFleetKeepsPromises(t *testing.T) {
	s := &Spec{
		Name: "small-day", Deployment: "antioquia", Seed: 21, WarmUpMs: 11000, RunMs: 9000,
		Load: 0.2, Repeat: 0.05, Intruders: 0.02, Ingress: IngressHopping,
		Events: []Event{
			{AtMs: 500, Do: Publish},
			{AtMs: 1000, Do: ZoneOut, Target: "Bello"},
			{AtMs: 2000, Do: WithdrawKey, Target: "schools"},
			{AtMs: 6500, Do: ZoneIn, Target: "Bello"},
			{AtMs: 7500, Do: RestartBackend, Target: "roster-1"},
		},
	}
	var b bytes.Buffer
	err := runAndReport(t.Context(), s, RunOptions{Out: &b})
	t.Log(b.String())
	assert.NilError(t, err)
}

// Guards against a demo with events that its deployment or duration does not
// allow.
func TestDemoSpec(t *testing.T) {
	for _, d := range []string{"", "lima", "antioquia"} {
		for _, o := range []DemoOptions{{Deployment: d}, {Deployment: d, MeasuredDuration: minDemoDuration}} {
			s, err := demoSpec(o)
			assert.NilError(t, err)
			assert.Assert(t, s.RunMs+s.WarmUpMs < 35_000)
		}
	}
	_, err := demoSpec(DemoOptions{MeasuredDuration: minDemoDuration / 2})
	assert.ErrorContains(t, err, "at least")
}
