package experiment

import (
	"quetzaldock.example/quetzaldock/internal/standin"
	"quetzaldock.example/quetzaldock/pkg/config"
)

// A Fleet is what an experiment runs against. The functions are called from
// several goroutines at once. An action that is nil cannot be used by events.
type Fleet struct {
	// Hosts lists the hosts that have a node.
	Hosts []config.Host
	// Caller is the address of a host's caller listener. It may change when a
	// node is restarted.
	CallerAddressOf func(host string) string
	// Backend is the address of a host's backend server, for comparison calls
	// around the mesh.
	BackendAddressOf func(host string) string
	// Version is the configuration version in force at a node; 0 when it has
	// none or does not run. Life changes whenever the node is started anew.
	Version func(host string) (version uint64, life int)
	// ControlBytes is how many bytes of control messages a node has sent and
	// received since its start; nil when it is not measured.
	ControlBytes func(host string) uint64
	// BackendStats and SourceCounts are the counts of the stand-ins.
	BackendStats func(host string) standin.BackendStats
	SourceCounts func() standin.ReadCounts
	// Executions is the record shared by all backend servers.
	Executions *standin.Executions

	// Publish writes a version at the configuration service.
	Publish        func(manifest []byte, parts map[string][]byte) error
	SetSourceFault func(f standin.ReadFault) error
	DelayNextParts func() error
	RestartBackend func(host string) error
	// RestartBackends restarts all backend servers at once.
	RestartBackends func() error
	SilenceBackend  func(host string) error
	KillNode        func(host string) error
	StartNode       func(host string) error
	// StopNode is a planned stop.
	StopNode func(host string) error
	// RestartNodes ends all nodes at once and starts them again.
	RestartNodes func() error
	// PartitionZone cuts a zone off from other zones and from the
	// configuration service, or joins it again.
	PartitionZone func(zone string, on bool) error
	// SilencePeers makes the open connections between nodes silent for good.
	SilencePeers func() error
	// Close ends everything the fleet started.
	Close func()
}
