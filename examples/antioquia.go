package examples

import "quetzaldock.example/quetzaldock/pkg/config"

// Antioquia returns the configuration of the Olla Andina Meals Rounds Mesh by
// part name: the service roster on 9 hosts and the service routes-records on 4
// hosts. Each host has 18 slots unless an exception says otherwise.
func Antioquia() map[string]config.Document {
	z := zones("Antioquia", "Medellín Centro", "Bello", "Envigado", "Rionegro")
	return map[string]config.Document{
		"defaults": {Defaults: &config.Values{
			Slots:     ptr(18),
			ColdSlots: ptr(4),
			// A new connection takes 1 ms of a backend server's processor
			// time, so 100 a second use a tenth of one core.
			ConnectionsPerSecond: ptr(100),
			QueuePerAccount:      ptr(36),
			CallTimeoutMs:        ptr(3000),
			RetryPercent:         ptr(10),
			MaxHeaderBytes:       ptr(16 << 10),
			Rate:                 ptr(80.0),
			Burst:                ptr(160.0),
		}},
		"zones": {Zones: z},
		"services": {
			Services: []config.Service{{Name: "roster"}, {Name: "routes-records"}},
			Hosts:    append(hosts("roster", 9, 0, z), hosts("routes-records", 4, 0, z)...),
			Routes: []config.Route{
				{Prefix: "/confirmations", Service: "roster"},
				{Prefix: "/roster", Service: "roster"},
				{Prefix: "/rounds", Service: "routes-records", Idempotent: true},
				{Prefix: "/dietary-sheets", Service: "routes-records", Idempotent: true},
				{Prefix: "/kitchen-hours", Service: "routes-records", Open: true, Idempotent: true},
			},
		},
		"accounts": {Accounts: accounts("olla-centro", "olla-bello", "olla-envigado", "olla-rionegro",
			"volunteers-app", "municipal-registry", "dietitians", "donors-portal")},
		"exceptions": {Exceptions: []config.Exception{
			{
				Name: "volunteers-app-rate", Account: "volunteers-app",
				Reason: "confirms every stop of every round between 11:00 and 13:00",
				Values: config.Values{Rate: ptr(600.0), Burst: ptr(1200.0)},
			},
			{
				Name: "municipal-registry-rate", Account: "municipal-registry",
				Reason: "reads the whole roster each morning under the agreement with the municipality",
				Values: config.Values{Rate: ptr(300.0), Burst: ptr(600.0)},
			},
			{
				Name: "rionegro-records-slots", Service: "routes-records", Zone: "Rionegro",
				Reason: "the host in Rionegro has half the memory until it is replaced",
				Values: config.Values{Slots: ptr(9), ColdSlots: ptr(2)},
			},
			{
				Name: "roster-slow-start", Service: "roster", Retired: true,
				Reason: "roster read its cache from the old registry after a start; that registry is gone",
				Values: config.Values{ColdSlots: ptr(1)},
			},
		}},
	}
}
