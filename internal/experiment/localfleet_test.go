package experiment

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a fleet that breaks a promise in an operator's day in small: a
// change, a zone out and back, a withdrawn key, a cold restart, and repeated
// and keyless calls all along.
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

// Guards against a demo whose events do not fit its deployment or length.
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
