package experiment

import (
	"bytes"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// A Spec is an experiment file. Times are milliseconds after the warm-up.
type Spec struct {
	Name       string
	Deployment string
	Seed       uint64
	RunMs      int
	// WarmUpMs of load come before the measurement: nodes start with cold
	// gates, and the quota shares of newly published hosts rest for 10 s.
	// Checks of promises include the warm-up.
	WarmUpMs int
	// Load is the part of its rate that each account sends.
	Load float64
	// Loads are deviations from Load; of several at one time the last holds.
	Loads   []AccountLoad
	Ingress IngressPattern
	// HopMs is how long an account stays with a host under Hopping.
	HopMs int
	// Repeat is the part of the calls with an Idempotency-Key that the caller
	// sends twice, to two hosts at almost the same time.
	Repeat float64
	// Intruders is the part of the calls to keyed routes that come with an
	// unknown key.
	Intruders float64
	// ProbeMs of comparison calls around the mesh come at the start of the
	// run; they give the latency that the mesh adds.
	ProbeMs int
	Events  []Event
	// Network puts the fault proxies between the nodes, which partitions and
	// silent connections between nodes need.
	Network bool
	Aims    Aims
}

// An AccountLoad is the load of one account for a time; ToMs 0 means the end.
type AccountLoad struct {
	Account string
	Load    float64
	FromMs  int
	ToMs    int
}

// An Ingress says which hosts' caller listeners an account calls.
type IngressPattern string

// The patterns of ingress.
const (
	// All picks a random host for each call.
	IngressAll IngressPattern = "All"
	// One sends all calls of an account to one host.
	IngressOne IngressPattern = "One"
	// Hopping sends all calls of an account to one host for HopMs and then to
	// the next.
	IngressHopping IngressPattern = "Hopping"
)

// An Event is one action on the fleet. Target names a zone, host or account,
// as Do requires.
type Event struct {
	AtMs   int
	Do     Action
	Target string
}

// Aims are measurements that a run should reach. Missing one is reported and
// breaks no promise. A zero aim is not judged.
type Aims struct {
	// MinServed is the part of calls within rate that are answered.
	MinServed float64
	// MaxWrongful is the part of calls within rate that are refused for the
	// rate.
	MaxWrongful      float64
	MaxConvergenceMs int
	// MaxSourceReads is the largest number of reads at the configuration
	// service in a second.
	MaxSourceReads int
	// MaxSpread is how far the worst-served account may be from the median
	// account, in success and in p99, as a part of the median.
	MaxSpread float64
}

// LoadSpec reads an experiment file.
func LoadSpec(path string) (*Spec, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, BadSpec.Wrap(err, "cannot read the experiment file")
	}
	return ParseSpec(b)
}

// ParseSpec decodes and checks an experiment file.
func ParseSpec(b []byte) (*Spec, error) {
	s := &Spec{}
	d := toml.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, BadSpec.Wrap(err, "cannot decode the experiment file")
	}
	return s, s.Validate()
}

// Check fills in defaults and refuses what cannot be run.
func (s *Spec) Validate() error {
	d, err := FindDeployment(s.Deployment)
	if err != nil {
		return err
	}
	if s.Ingress == "" {
		s.Ingress = IngressAll
	}
	if s.HopMs == 0 {
		s.HopMs = 500
	}
	switch {
	case s.Name == "":
		return BadSpec.New("Name is missing")
	case s.RunMs <= 0 || s.WarmUpMs < 0 || s.HopMs < 0:
		return BadSpec.New("RunMs must be positive, WarmUpMs and HopMs not negative")
	case s.Load < 0 || s.Load > 20:
		return BadSpec.New("Load %g is not between 0 and 20", s.Load)
	case s.Repeat < 0 || s.Repeat > 1 || s.Intruders < 0 || s.Intruders > 1:
		return BadSpec.New("Repeat and Intruders must lie between 0 and 1")
	case s.Ingress != IngressAll && s.Ingress != IngressOne && s.Ingress != IngressHopping:
		return BadSpec.New("no ingress pattern %q", s.Ingress)
	}
	for _, l := range s.Loads {
		if _, ok := d.Account(l.Account); !ok || l.Load < 0 || l.Load > 20 || (l.ToMs != 0 && l.ToMs < l.FromMs) {
			return BadSpec.New("load of account %q is not possible", l.Account)
		}
	}
	for _, e := range s.Events {
		if err := e.validate(d); err != nil {
			return err
		}
		if e.AtMs < 0 || e.AtMs > s.RunMs {
			return BadSpec.New("event %s at %d ms is outside the run", e.Do, e.AtMs)
		}
	}
	return nil
}

// loadOf is the part of its rate that the account sends at a time after the
// warm-up.
func (s *Spec) loadAt(account string, at time.Duration) float64 {
	load := s.Load
	for _, l := range s.Loads {
		from, to := ms(l.FromMs), ms(l.ToMs)
		if l.Account == account && at >= from && (to == 0 || at < to) {
			load = l.Load
		}
	}
	return load
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
