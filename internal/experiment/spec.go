package experiment

import (
	"bytes"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// A Spec is the content of an experiment file. Event times are milliseconds
// after the end of the warm-up.
type Spec struct {
	Name       string
	Deployment string
	Seed       uint64
	RunMs      int
	// WarmUpMs is how long the load runs before the measurement begins. In that
	// time the admission limits of the nodes rise from ColdSlots to Slots, and
	// the quota shares of the hosts become usable (10 s, quota.ActivationDelay).
	// Checks of promises include the warm-up.
	WarmUpMs int
	// Load is the fraction of its rate that each client account sends.
	Load float64
	// Loads replace Load for one account and period; of several that overlap
	// the last applies.
	Loads []AccountLoad
	// Ingress is IngressAll if it is empty.
	Ingress IngressPattern
	// HopMs is how long an account stays with a host under IngressHopping; 0
	// means 500.
	HopMs int
	// Repeat is the fraction of the calls with an Idempotency-Key that the
	// caller sends twice, to two hosts at almost the same time.
	Repeat float64
	// Intruders is the fraction of the calls to routes that require an account
	// key that are sent with an unknown key.
	Intruders float64
	// ProbeMs is how long, from the end of the warm-up on, backend servers are
	// also called directly, for comparison with the latency through the mesh.
	ProbeMs int
	Events  []Event
	// Network puts fault proxies between the nodes. The events PartitionZone,
	// HealZone and SilencePeers need it.
	Network bool
	Aims    Aims
}

// An AccountLoad is the load of one account in a period; ToMs 0 means until
// the end of the run.
type AccountLoad struct {
	Account string
	Load    float64
	FromMs  int
	ToMs    int
}

// An IngressPattern selects the hosts whose caller listeners an account calls.
type IngressPattern string

// The ingress patterns.
const (
	// IngressAll selects a random host for each call.
	IngressAll IngressPattern = "All"
	// IngressOne sends all calls of an account to one host.
	IngressOne IngressPattern = "One"
	// IngressHopping sends all calls of an account to one host for HopMs and
	// then to the next.
	IngressHopping IngressPattern = "Hopping"
)

// An Event is one action on the fleet. Target names the zone, host or account
// that the action Do applies to.
type Event struct {
	AtMs   int
	Do     Action
	Target string
}

// Aims are target values for measurements. A missed aim is reported but is
// not a broken promise. A zero aim is not judged.
type Aims struct {
	// MinServed is the minimum fraction of the calls of accounts within their
	// rate that are answered.
	MinServed float64
	// MaxWrongful is the maximum fraction of the calls of accounts within their
	// rate that are refused as over the rate.
	MaxWrongful float64
	// MaxConvergenceMs is the maximum time until a published version is in
	// force at every node.
	MaxConvergenceMs int
	// MaxSourceReads is the maximum number of reads at the configuration
	// service in any second.
	MaxSourceReads int
	// MaxSpread is the maximum distance of the worst account from the median
	// account, in success and in p99, as a fraction of the median.
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

// ParseSpec decodes and validates the content of an experiment file.
func ParseSpec(b []byte) (*Spec, error) {
	s := &Spec{}
	d := toml.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, BadSpec.Wrap(err, "cannot decode the experiment file")
	}
	return s, s.Validate()
}

// Validate sets defaults for Ingress and HopMs and returns BadSpec for the
// first invalid field.
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
		return BadSpec.New("Name must not be empty")
	case s.RunMs <= 0 || s.WarmUpMs < 0 || s.HopMs < 0:
		return BadSpec.New("RunMs must be positive, WarmUpMs and HopMs must not be negative")
	case s.Load < 0 || s.Load > 20:
		return BadSpec.New("Load %g is not between 0 and 20", s.Load)
	case s.Repeat < 0 || s.Repeat > 1 || s.Intruders < 0 || s.Intruders > 1:
		return BadSpec.New("Repeat and Intruders must be between 0 and 1")
	case s.Ingress != IngressAll && s.Ingress != IngressOne && s.Ingress != IngressHopping:
		return BadSpec.New("Ingress %q must be All, One or Hopping", s.Ingress)
	}
	for _, l := range s.Loads {
		if _, ok := d.Account(l.Account); !ok || l.Load < 0 || l.Load > 20 || (l.ToMs != 0 && l.ToMs < l.FromMs) {
			return BadSpec.New("Loads for account %q: the account must exist, Load be between 0 and 20, and ToMs be 0 or at least FromMs", l.Account)
		}
	}
	for _, e := range s.Events {
		if err := e.validate(d); err != nil {
			return err
		}
		if e.AtMs < 0 || e.AtMs > s.RunMs {
			return BadSpec.New("event %s: AtMs %d is not between 0 and RunMs", e.Do, e.AtMs)
		}
	}
	return nil
}

// loadAt returns the fraction of its rate that the account sends; at counts
// from the end of the warm-up.
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

// ms converts milliseconds.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
