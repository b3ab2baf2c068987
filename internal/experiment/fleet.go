package experiment

import (
	"quetzaldock.example/quetzaldock/internal/standin"
	"quetzaldock.example/quetzaldock/pkg/config"
)

// A Fleet is the set of functions through which an experiment observes and
// changes the nodes and their surroundings. They are called from several
// goroutines at once. Events whose function is nil fail.
type Fleet struct {
	// Hosts lists the hosts that have a node.
	Hosts []config.Host
	// CallerAddressOf returns the address of a host's caller listener. It may
	// change when a node restarts.
	CallerAddressOf func(host string) string
	// BackendAddressOf returns the address of a host's backend server, for
	// direct calls without the mesh.
	BackendAddressOf func(host string) string
	// Version returns the configuration version in force at a node; 0 when it
	// has none or does not run. incarnation changes with every start of the
	// node.
	Version func(host string) (version uint64, incarnation int)
	// ControlBytes returns the bytes of control messages that a node has sent
	// and received since its start; nil if not measured.
	ControlBytes func(host string) uint64
	// BackendStats returns the counts of a host's backend server, SourceCounts
	// those of the configuration service.
	BackendStats func(host string) standin.BackendStats
	SourceCounts func() standin.ReadCounts
	// Executions records the requests that the backend servers executed.
	Executions *standin.Executions

	// Publish writes a configuration version to the configuration service.
	Publish func(manifest []byte, parts map[string][]byte) error
	// SetSourceFault sets or, with standin.NoFault, ends a fault of the
	// configuration service.
	SetSourceFault func(f standin.ReadFault) error
	// DelayParts makes later publications show the manifest some time
	// before the parts it lists.
	DelayParts func() error
	// RestartBackend restarts a backend server cold, without warning.
	RestartBackend func(host string) error
	// RestartBackends restarts all backend servers at once.
	RestartBackends func() error
	// SilenceBackend makes the open connections of a backend server silent for
	// good: they stay open but carry no data.
	SilenceBackend func(host string) error
	// KillNode ends a node without warning.
	KillNode func(host string) error
	// StartNode starts a node that was killed or stopped.
	StartNode func(host string) error
	// StopNode stops a node as planned: running calls may finish.
	StopNode func(host string) error
	// RestartNodes kills all nodes at once and starts them again.
	RestartNodes func() error
	// PartitionZone separates a zone from the other zones and from the
	// configuration service if on, and reconnects it otherwise.
	PartitionZone func(zone string, on bool) error
	// SilencePeers makes the open connections between nodes silent for good:
	// they stay open but carry no data.
	SilencePeers func() error
	// Close stops everything that the fleet started.
	Close func()
}
