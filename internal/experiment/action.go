package experiment

// An Action is what an event does to the fleet.
type Action string

// The actions.
const (
	Publish         Action = "Publish"
	ZoneOut         Action = "ZoneOut"
	ZoneIn          Action = "ZoneIn"
	HostOut         Action = "HostOut"
	HostIn          Action = "HostIn"
	WithdrawKey     Action = "WithdrawKey"
	GrantKey        Action = "GrantKey"
	RestartBackend  Action = "RestartBackend"
	RestartBackends Action = "RestartBackends"
	SilenceBackend  Action = "SilenceBackend"
	SourceRefuse    Action = "SourceRefuse"
	SourceFail      Action = "SourceFail"
	SourceHang      Action = "SourceHang"
	SourceStale     Action = "SourceStale"
	SourceBack      Action = "SourceBack"
	DelayNextParts  Action = "CrossNext"
	KillNode        Action = "KillNode"
	StartNode       Action = "StartNode"
	StopNode        Action = "StopNode"
	RestartNodes    Action = "RestartNodes"
	PartitionZone   Action = "PartitionZone"
	HealZone        Action = "HealZone"
	SilencePeers    Action = "SilencePeers"
)

// What the target of an action names.
const (
	targetNone    = ""
	targetZone    = "zone"
	targetHost    = "host"
	targetAccount = "account"
)

// targets says what the target of each action names.
var targetKinds = map[Action]string{
	Publish: targetNone, ZoneOut: targetZone, ZoneIn: targetZone, HostOut: targetHost, HostIn: targetHost,
	WithdrawKey: targetAccount, GrantKey: targetAccount, RestartBackend: targetHost, RestartBackends: targetNone, SilenceBackend: targetHost,
	SourceRefuse: targetNone, SourceFail: targetNone, SourceHang: targetNone, SourceStale: targetNone,
	SourceBack: targetNone, DelayNextParts: targetNone, KillNode: targetHost, StartNode: targetHost, StopNode: targetHost,
	RestartNodes: targetNone, PartitionZone: targetZone, HealZone: targetZone, SilencePeers: targetNone,
}

func (e Event) validate(d *Deployment) error {
	kind, ok := targetKinds[e.Do]
	if !ok {
		return BadSpec.New("no action %q", e.Do)
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
		return BadSpec.New("%s needs a %s as target, not %q", e.Do, kind, e.Target)
	}
	return nil
}
