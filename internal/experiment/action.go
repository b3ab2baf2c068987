package experiment

// An Action is the kind of an event.
type Action string

// Actions that publish a new configuration version. Out takes a zone or host
// out of service, In puts it back.
const (
	// Publish changes a value without effect on the load.
	Publish Action = "Publish"
	ZoneOut Action = "ZoneOut"
	ZoneIn  Action = "ZoneIn"
	HostOut Action = "HostOut"
	HostIn  Action = "HostIn"
	// WithdrawKey removes all keys of an account, GrantKey gives it a new one.
	WithdrawKey Action = "WithdrawKey"
	GrantKey    Action = "GrantKey"
)

// Actions on backend servers.
const (
	// RestartBackend restarts a backend server cold, RestartBackends all of them
	// at once.
	RestartBackend  Action = "RestartBackend"
	RestartBackends Action = "RestartBackends"
	// SilenceBackend makes the open connections of a backend server carry no
	// more data without closing them.
	SilenceBackend Action = "SilenceBackend"
)

// Faults of the configuration service, the source of published state.
const (
	// SourceRefuse makes it refuse connections, SourceFail answer with errors,
	// SourceHang not answer and SourceStale answer with old values.
	SourceRefuse Action = "SourceRefuse"
	SourceFail   Action = "SourceFail"
	SourceHang   Action = "SourceHang"
	SourceStale  Action = "SourceStale"
	// SourceBack ends any of these faults.
	SourceBack Action = "SourceBack"
	// DelayParts makes later versions show their manifest before the parts
	// it lists.
	DelayParts Action = "CrossNext"
)

// Actions on nodes and on the network between them.
const (
	// KillNode ends a node without warning, StopNode as planned.
	KillNode  Action = "KillNode"
	StartNode Action = "StartNode"
	StopNode  Action = "StopNode"
	// RestartNodes kills all nodes at once and starts them again.
	RestartNodes Action = "RestartNodes"
	// PartitionZone separates a zone from the other zones and from the
	// configuration service, HealZone reconnects it.
	PartitionZone Action = "PartitionZone"
	HealZone      Action = "HealZone"
	// SilencePeers makes the open connections between nodes carry no more data
	// without closing them.
	SilencePeers Action = "SilencePeers"
)

// The kinds of targets.
const (
	targetNone    = ""
	targetZone    = "zone"
	targetHost    = "host"
	targetAccount = "account"
)

// targetKinds is the kind of target that each action requires.
var targetKinds = map[Action]string{
	Publish: targetNone, ZoneOut: targetZone, ZoneIn: targetZone, HostOut: targetHost, HostIn: targetHost,
	WithdrawKey: targetAccount, GrantKey: targetAccount, RestartBackend: targetHost, RestartBackends: targetNone, SilenceBackend: targetHost,
	SourceRefuse: targetNone, SourceFail: targetNone, SourceHang: targetNone, SourceStale: targetNone,
	SourceBack: targetNone, DelayParts: targetNone, KillNode: targetHost, StartNode: targetHost, StopNode: targetHost,
	RestartNodes: targetNone, PartitionZone: targetZone, HealZone: targetZone, SilencePeers: targetNone,
}

// validate checks that the action exists and that the target is of its kind.
func (e Event) validate(d *Deployment) error {
	kind, ok := targetKinds[e.Do]
	if !ok {
		return BadSpec.New("event action Do = %q is unknown", e.Do)
	}
	switch kind {
	case targetZone:
		ok = d.hasZone(e.Target)
	case targetHost:
		ok = d.hasHost(e.Target)
	case targetAccount:
		_, ok = d.Account(e.Target)
	default:
		ok = e.Target == ""
	}
	if !ok {
		return BadSpec.New("event %s requires a target of kind %q (empty means none), got Target = %q", e.Do, kind, e.Target)
	}
	return nil
}
