package examples

import "quetzaldock.example/quetzaldock/pkg/config"

// Lima returns the configuration of the Shared Ferret Show Entry Platform by part
// name: the service entry-desk on 9 hosts and the service records on 4 hosts, with
// 12 slots on each host.
func Lima() map[string]config.Document {
	z := zones("Lima", "Miraflores", "Surco", "Callao", "Ate")
	return map[string]config.Document{
		"defaults": {Defaults: &config.Values{
			Slots:     ptr(12),
			ColdSlots: ptr(3),
			// A new connection takes 1 ms of a backend server's processor
			// time, so 100 a second use a tenth of one core.
			ConnectionsPerSecond: ptr(100),
			QueuePerAccount:      ptr(24),
			CallTimeoutMs:        ptr(2000),
			RetryPercent:         ptr(10),
			MaxHeaderBytes:       ptr(16 << 10),
			Rate:                 ptr(60.0),
			Burst:                ptr(120.0),
		}},
		"zones": {Zones: z},
		"services": {
			Services: []config.Service{{Name: "entry-desk"}, {Name: "records"}},
			Hosts:    append(hosts("entry-desk", 9, 0, z), hosts("records", 4, 0, z)...),
			Routes: []config.Route{
				{Prefix: "/entries", Service: "entry-desk"},
				{Prefix: "/desk/status", Service: "entry-desk", Open: true, Idempotent: true},
				{Prefix: "/eligibility", Service: "records", Idempotent: true},
				{Prefix: "/catalogue", Service: "records", Open: true, Idempotent: true},
				{Prefix: "/ring-sheets", Service: "records", Open: true, Idempotent: true},
			},
		},
		"accounts": {Accounts: accounts("club-callao", "club-sur", "club-valle",
			"stewards", "judges", "veterinary-desk", "catalogue-printer", "public-kiosk")},
		"exceptions": {Exceptions: []config.Exception{
			clubRate("club-callao"), clubRate("club-sur"), clubRate("club-valle"),
			{
				Name: "records-cold-index", Service: "records", Retired: true,
				Reason: "catalogue index was read from disk after a start; it is kept with the server since the autumn show",
				Values: config.Values{ColdSlots: ptr(1)},
			},
		}},
	}
}

// clubRate returns the exception that gives an account the rate of the three
// large clubs.
func clubRate(account string) config.Exception {
	return config.Exception{
		Name: account + "-rate", Account: account,
		Reason: "files over a quarter of all entries; the three clubs agreed on equal rates",
		Values: config.Values{Rate: ptr(400.0), Burst: ptr(800.0)},
	}
}
