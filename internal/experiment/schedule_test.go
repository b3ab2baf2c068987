package experiment

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// Guards against runs with one seed that offer different calls, and against
// schedules that miss the configured load.
func TestScheduleFollowsSeed(t *testing.T) {
	for _, name := range []string{"lima", "antioquia"} {
		d, err := FindDeployment(name)
		assert.NilError(t, err)
		s := &Spec{Name: "t", Deployment: name, Seed: 3, RunMs: 60_000, Load: 0.5, Repeat: 0.1, Ingress: IngressHopping}
		s.Loads = []AccountLoad{{Account: d.Accounts[1].Name, Load: 2, FromMs: 30_000}}
		assert.NilError(t, s.Validate())
		a := Schedule(s, d, 13)
		assert.DeepEqual(t, a, Schedule(s, d, 13))
		// 0.5 of 2,000 calls/s for 60 s, and 1.5 of 400 calls/s more for 30 s.
		assert.Assert(t, len(a) > 77_000 && len(a) < 79_000, "%d", len(a))
		s.Seed = 4
		assert.Assert(t, a[0] != Schedule(s, d, 13)[0])
	}
}

// Guards against publications that nodes refuse.
func TestPublicationIsAccepted(t *testing.T) {
	for _, name := range []string{"lima", "antioquia"} {
		d, err := FindDeployment(name)
		assert.NilError(t, err)
		p := NewPublication(d, 1)
		p.ChangeCallTimeout()
		p.ChangeCallTimeout()
		p.SetZoneOut(d.Zones[1], true)
		p.WithdrawKeys(d.Accounts[0].Name)
		p.ReplaceKey(d.Accounts[0].Name)
		m, parts, err := p.Encode()
		assert.NilError(t, err)
		s, err := config.Accept(m, parts)
		assert.NilError(t, err)
		assert.Equal(t, s.Version, uint64(6))
		a, ok := s.AccountOfKey(p.Keys[d.Accounts[0].Name])
		assert.Assert(t, ok)
		e := s.EffectiveValues(d.Services[0].Name, d.Zones[0], a.Name)
		assert.Equal(t, e.Rate, d.Accounts[0].Rate)
	}
}

// Guards against experiment files that are invalid, and against unknown fields
// that are accepted.
func TestExperimentFiles(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		_, err := LoadSpec(f)
		assert.NilError(t, err, f)
	}
	b, err := os.ReadFile(files[0])
	assert.NilError(t, err)
	_, err = ParseSpec(append([]byte("Typo = 1\n"), b...))
	assert.ErrorContains(t, err, "cannot decode")
}

// Guards against a search over time windows that misses the one with the
// maximum excess.
func TestMaxWindowExcessFindsWorstWindow(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var intervals []admissionInterval
		for range 1 + r.IntN(40) {
			from := time.Duration(r.IntN(50)) * 20 * time.Millisecond
			intervals = append(intervals, admissionInterval{from, from + time.Duration(r.IntN(5))*20*time.Millisecond})
		}
		rate, burst := 1+r.Float64()*50, r.Float64()*10
		worst := -1e9
		for _, a := range intervals {
			for _, b := range intervals {
				n := 0
				for _, s := range intervals {
					if s.from >= a.from && s.to <= b.to {
						n++
					}
				}
				if n > 0 {
					worst = max(worst, float64(n)-rate*(b.to-a.from).Seconds()-burst)
				}
			}
		}
		got := maxWindowExcess(intervals, rate, burst)
		assert.Assert(t, got > worst-0.01 && got < worst+0.01, "%v %v", got, worst)
	}
}
