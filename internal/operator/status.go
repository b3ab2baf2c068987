// Package operator speaks to the operators of a node: status, health,
// metrics, log level and drain, over HTTP.
package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// A Status is what a node says of itself.
type Status struct {
	Host    string
	Service string
	Zone    string
	// Ready is set once a configuration is in force.
	Ready bool
	// Stopping is set during a planned stop.
	Stopping bool
	// Version and Digest name the configuration in force.
	Version uint64
	Digest  string
	// Floor is the highest version that any node is known to have in force.
	Floor uint64
	// ConfirmedAgeMs is how long ago the source confirmed the version, in
	// milliseconds; -1 means never.
	ConfirmedAgeMs int64
	// KeyedAllowed is false while calls with a key are refused because a
	// withdrawal could have been missed.
	KeyedAllowed bool
	// Refusals counts refused versions; Refused holds the latest with reasons.
	Refusals uint64
	Refused  []RefusedVersion
	// HostsRevision is the revision of the platform's host list.
	HostsRevision uint64
	ZonesOut      []string
	HostsOut      []string
	Gate          GateStatus
	Accounts      []AccountStatus
	Latencies     []LatencyStatus
	Control       ControlStatus
	// Source names what published state is read from: the store or a node.
	// Empty for a node that does not choose.
	Source string `json:",omitempty"`
	// Instances are the instances that the node knows, for nodes that follow
	// published instances.
	Instances []InstanceStatus `json:",omitempty"`
}

// An InstanceStatus is what a node believes of one instance.
type InstanceStatus struct {
	ID      string
	Service string
	Zone    string
	Address string
	// State is Ready, Draining or ZoneOut.
	State string
	// InFlight is the number of this node's own requests there, Load the
	// requests there per permitted one, as estimated now.
	InFlight int
	Load     float64
	// LatencyMs is the moving average of answers, as of ObservedAgeMs ago;
	// -1 means never.
	LatencyMs     int64
	ObservedAgeMs int64
}

// A RefusedVersion is a version that was not accepted.
type RefusedVersion struct {
	Version uint64
	Digest  string
	Reason  string
}

// A GateStatus describes the gate beside the backend server.
type GateStatus struct {
	State   string
	Running int
	// Permits is the present limit of running calls.
	Permits int
	Queued  int
	// Connections is the number of open connections to the server.
	Connections int64
}

// An AccountStatus describes one account's quota at this host.
type AccountStatus struct {
	Account string
	// Rate and Burst are the published limits of the whole fleet.
	Rate  float64
	Burst float64
	// Capacity and Tokens are this host's present bucket.
	Capacity float64
	Tokens   float64
	Admitted uint64
	Refused  uint64
}

// A LatencyStatus summarizes one histogram, in microseconds.
type LatencyStatus struct {
	Account string
	Route   string
	Count   int64
	P50Us   int64
	P99Us   int64
	P999Us  int64
	MaxUs   int64
}

// A ControlStatus counts the control traffic of this process.
type ControlStatus struct {
	BytesIn     int64
	BytesOut    int64
	SourceReads int64
	// Seconds is how long the process has run.
	Seconds float64
}

// Print writes the status for people.
func (s *Status) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "host\t%s (%s, zone %s)\n", s.Host, s.Service, s.Zone)
	fmt.Fprintf(t, "state\t%s\n", s.state())
	fmt.Fprintf(t, "version\t%d (%.12s), floor %d\n", s.Version, s.Digest, s.Floor)
	fmt.Fprintf(t, "confirmed\t%s\n", age(s.ConfirmedAgeMs))
	fmt.Fprintf(t, "keyed calls\t%s\n", word(s.KeyedAllowed, "accepted", "refused: key withdrawals may have been missed"))
	fmt.Fprintf(t, "out\tzones: %s; hosts: %s\n", list(s.ZonesOut), list(s.HostsOut))
	fmt.Fprintf(t, "gate\t%s, %d running, %d permits, %d queued, %d connections\n",
		s.Gate.State, s.Gate.Running, s.Gate.Permits, s.Gate.Queued, s.Gate.Connections)
	fmt.Fprintf(t, "control\t%d B in, %d B out, %d source reads in %.0f s\n",
		s.Control.BytesIn, s.Control.BytesOut, s.Control.SourceReads, s.Control.Seconds)
	for _, r := range s.Refused {
		fmt.Fprintf(t, "refused\tversion %d (%.12s): %s\n", r.Version, r.Digest, r.Reason)
	}
	if s.Source != "" {
		fmt.Fprintf(t, "source\t%s\n", s.Source)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	s.printInstances(t)
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
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n", l.Account, l.Route, l.Count, ms(l.P50Us), ms(l.P99Us), ms(l.P999Us), ms(l.MaxUs))
	}
}

func (s *Status) state() string {
	switch {
	case s.Stopping:
		return "stopping"
	case s.Ready:
		return "ready"
	default:
		return "starting: no configuration yet"
	}
}

func age(ms int64) string {
	if ms < 0 {
		return "never by the source"
	}
	return (time.Duration(ms) * time.Millisecond).String() + " ago"
}

func word(b bool, yes, no string) string {
	if b {
		return yes
	}
	return no
}

func list(s []string) string {
	if len(s) == 0 {
		return "none"
	}
	return strings.Join(s, ", ")
}

func ms(us int64) string { return fmt.Sprintf("%.2f", float64(us)/1000) }
