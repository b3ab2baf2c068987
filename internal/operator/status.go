// Package operator implements the HTTP interface of a node for its operators:
// status, health, readiness, metrics, log level and drain. It also has the client
// that reads and prints a node's status, and the queue that keeps log output from
// blocking a node. The operators' commands on files are in package command.
package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// A Status is the state of a node as it reports it.
type Status struct {
	Host    string
	Service string
	Zone    string
	// Ready is true once a configuration is in force.
	Ready bool
	// Stopping is true during a planned stop.
	Stopping bool
	// Version and Digest identify the configuration in force.
	Version uint64
	Digest  string
	// Floor is the highest version that any node is known to have in force.
	Floor uint64
	// ConfirmedAgeMs is how long ago the source confirmed the version, in
	// milliseconds; -1 means never.
	ConfirmedAgeMs int64
	// KeyedAllowed is false while calls with an account key are refused because
	// the node may have missed that the key was withdrawn.
	KeyedAllowed bool
	// Refusals counts refused versions of the configuration. Refused holds the
	// latest of them.
	Refusals uint64
	Refused  []RefusedVersion
	// HostsRevision is the revision of the platform's host list.
	HostsRevision uint64
	// ZonesOut and HostsOut name the zones and hosts that get no new work.
	ZonesOut  []string
	HostsOut  []string
	Gate      GateStatus
	Accounts  []AccountStatus
	Latencies []LatencyStatus
	Control   ControlStatus
	// Source is the store or the node from which this node reads published state.
	// It is empty for nodes that have only one source.
	Source string `json:",omitempty"`
	// Store is the node's position in the store of published state. It is nil for
	// nodes that read no such store.
	Store *StoreStatus `json:",omitempty"`
	// Instances lists the instances of backend servers that the node knows. It is
	// empty for nodes that do not read published instances.
	Instances []InstanceStatus `json:",omitempty"`
	// Quarantines lists the requests that are refused because they have crashed
	// backend servers.
	Quarantines []QuarantineStatus `json:",omitempty"`
}

// A QuarantineStatus describes a quarantined request.
type QuarantineStatus struct {
	// Fingerprint is the same for all copies of the request and at all nodes.
	Fingerprint string
	// Crashes is the number of crashes, Instances lists the instances concerned.
	Crashes   int
	Instances []string
	// LeftMs is the time in milliseconds until the request may run again.
	LeftMs int64
	// Request is the ID of a copy that this node has seen and Path its path, or both
	// are empty.
	Request string `json:",omitempty"`
	Path    string `json:",omitempty"`
}

// A StoreStatus is a node's position in the store.
type StoreStatus struct {
	// Era counts how often the store has come back from an earlier copy. Revision
	// is the store's revision within the era.
	Era      uint64
	Revision uint64
	// PositionsLost counts how often the store did not have the node's position
	// any more, so that the node had to read the full state.
	PositionsLost uint64
	// Missing is the number of instances that the node still uses although their
	// entries are missing. Outdated is the number of published entries that it
	// holds back because it knows later ones.
	Missing  int
	Outdated int
}

// An InstanceStatus is what a node knows about one instance of a backend server.
type InstanceStatus struct {
	ID      string
	Service string
	Zone    string
	Address string
	// State is Ready, Draining or ZoneOut.
	State string
	// InFlight is the number of this node's unanswered requests to the instance.
	// Load is the current estimate of the running and waiting requests of all
	// nodes there, divided by the number that the instance may run at once.
	InFlight int
	Load     float64
	// LatencyMs is the moving average of the instance's response times in
	// milliseconds. ObservedAgeMs is the time since the last observation in
	// milliseconds, -1 if there was none.
	LatencyMs     int64
	ObservedAgeMs int64
}

// A RefusedVersion is a version of the configuration that was not accepted.
type RefusedVersion struct {
	Version uint64
	Digest  string
	Reason  string
}

// A GateStatus describes the gate, which admits calls to the local backend
// server.
type GateStatus struct {
	State   string
	Running int
	// Permits is the current limit of running calls, Queued the number of calls
	// that wait for one of them to end.
	Permits int
	Queued  int
	// Connections is the number of open connections to the server.
	Connections int64
	// Pace is nil if the server states no pace.
	Pace *PaceStatus `json:",omitempty"`
}

// A PaceStatus describes how long requests take at present at the local backend server,
// relative to usual: 1 is as usual, 2 twice as long.
type PaceStatus struct {
	// Stated is what the server states, Used what the gate counts with; 0 if the
	// durations contradict what is stated, or too few were observed.
	Stated, Used float64
	// Sensitivity is the exponent with which durations follow the stated pace.
	Sensitivity float64
}

// An AccountStatus describes one account's quota at this host.
type AccountStatus struct {
	Account string
	// Rate, in requests per second, and Burst are the published limits for the
	// whole fleet.
	Rate  float64
	Burst float64
	// Capacity and Tokens are the size and the content of this host's token
	// bucket.
	Capacity float64
	Tokens   float64
	// Admitted and Refused count requests.
	Admitted uint64
	Refused  uint64
}

// A LatencyStatus summarizes the latencies of one account and route in
// microseconds.
type LatencyStatus struct {
	Account string
	Route   string
	Count   int64
	P50Us   int64
	P99Us   int64
	P999Us  int64
	MaxUs   int64
}

// A ControlStatus counts the traffic of this process other than calls.
type ControlStatus struct {
	BytesIn  int64
	BytesOut int64
	// SourceReads counts the requests to the platform's configuration service.
	SourceReads int64
	// Seconds is how long the process has run.
	Seconds float64
}

// Print writes the status as text for people.
func (s *Status) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "host\t%s (%s, zone %s)\n", s.Host, s.Service, s.Zone)
	fmt.Fprintf(t, "state\t%s\n", s.stateText())
	fmt.Fprintf(t, "version\t%d (%.12s), floor %d\n", s.Version, s.Digest, s.Floor)
	fmt.Fprintf(t, "confirmed\t%s\n", ageText(s.ConfirmedAgeMs))
	fmt.Fprintf(t, "keyed calls\t%s\n", choose(s.KeyedAllowed, "accepted", "refused: key withdrawals may have been missed"))
	fmt.Fprintf(t, "out\tzones: %s; hosts: %s\n", namesOrNone(s.ZonesOut), namesOrNone(s.HostsOut))
	fmt.Fprintf(t, "gate\t%s, %d running, %d permits, %d queued, %d connections\n",
		s.Gate.State, s.Gate.Running, s.Gate.Permits, s.Gate.Queued, s.Gate.Connections)
	if p := s.Gate.Pace; p != nil {
		fmt.Fprintf(t, "pace\t%.2f stated, %.2f used, sensitivity %.1f\n", p.Stated, p.Used, p.Sensitivity)
	}
	fmt.Fprintf(t, "control\t%d B in, %d B out, %d source reads in %.0f s\n",
		s.Control.BytesIn, s.Control.BytesOut, s.Control.SourceReads, s.Control.Seconds)
	for _, r := range s.Refused {
		fmt.Fprintf(t, "refused\tversion %d (%.12s): %s\n", r.Version, r.Digest, r.Reason)
	}
	if s.Source != "" {
		fmt.Fprintf(t, "source\t%s\n", s.Source)
	}
	if s.Store != nil {
		fmt.Fprintf(t, "store\tera %d, revision %d, position lost %d times, %d missing entries kept, %d outdated entries held back\n",
			s.Store.Era, s.Store.Revision, s.Store.PositionsLost, s.Store.Missing, s.Store.Outdated)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	s.printInstances(t)
	s.printQuarantines(t)
	s.printAccounts(t)
	s.printLatencies(t)
	return t.Flush()
}

func (s *Status) printInstances(w io.Writer) {
	if len(s.Instances) == 0 {
		return
	}
	fmt.Fprintf(w, "\ninstance\tservice\tzone\taddress\tstate\tin flight\tload\tlatency\tseen\n")
	for _, i := range s.Instances {
		latency, seen := "unknown", "never"
		if i.ObservedAgeMs >= 0 {
			latency = (time.Duration(i.LatencyMs) * time.Millisecond).String()
			seen = (time.Duration(i.ObservedAgeMs) * time.Millisecond).String() + " ago"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%.2f\t%s\t%s\n",
			i.ID, i.Service, i.Zone, i.Address, i.State, i.InFlight, i.Load, latency, seen)
	}
}

func (s *Status) printQuarantines(w io.Writer) {
	if len(s.Quarantines) == 0 {
		return
	}
	fmt.Fprintf(w, "\nquarantined request\tcrashes\tinstances\tleft\texample\tpath\n")
	for _, q := range s.Quarantines {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\n", q.Fingerprint, q.Crashes, namesOrNone(q.Instances),
			time.Duration(q.LeftMs)*time.Millisecond, q.Request, q.Path)
	}
}

func (s *Status) printAccounts(w io.Writer) {
	if len(s.Accounts) == 0 {
		return
	}
	fmt.Fprintf(w, "\naccount\trate\tburst\tcapacity here\ttokens here\tadmitted\trefused\n")
	for _, a := range s.Accounts {
		fmt.Fprintf(w, "%s\t%g/s\t%g\t%.2f\t%.2f\t%d\t%d\n", a.Account, a.Rate, a.Burst, a.Capacity, a.Tokens, a.Admitted, a.Refused)
	}
}

func (s *Status) printLatencies(w io.Writer) {
	if len(s.Latencies) == 0 {
		return
	}
	fmt.Fprintf(w, "\naccount\troute\tcalls\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\n")
	for _, l := range s.Latencies {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n", l.Account, l.Route, l.Count, formatMs(l.P50Us), formatMs(l.P99Us), formatMs(l.P999Us), formatMs(l.MaxUs))
	}
}

func (s *Status) stateText() string {
	switch {
	case s.Stopping:
		return "stopping"
	case s.Ready:
		return "ready"
	default:
		return "starting: no configuration yet"
	}
}

func ageText(ageMs int64) string {
	if ageMs < 0 {
		return "never by the source"
	}
	return (time.Duration(ageMs) * time.Millisecond).String() + " ago"
}

func choose(b bool, yes, no string) string {
	if b {
		return yes
	}
	return no
}

func namesOrNone(s []string) string {
	if len(s) == 0 {
		return "none"
	}
	return strings.Join(s, ", ")
}

func formatMs(us int64) string { return fmt.Sprintf("%.2f", float64(us)/1000) }
