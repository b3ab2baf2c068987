package idempotency_test

import (
	"fmt"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/idempotency"
)

// A node claims a key from its witnesses, runs the request if a majority grants
// the key, and tells them how the request ended. A repeat through any other node
// gets the status of the first.
func Example() {
	s := &config.Snapshot{Hosts: map[string]*config.Host{
		"desk-1": {ID: "desk-1", Service: "desk", Zone: "Surco"},
		"desk-2": {ID: "desk-2", Service: "desk", Zone: "Ate"},
		"desk-3": {ID: "desk-3", Service: "desk", Zone: "Callao"},
	}}
	started := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	selector := idempotency.NewWitnessSelector(s)
	witnesses := map[string]*idempotency.Witness{}
	for id := range s.Hosts {
		witnesses[id] = idempotency.NewWitness(id)
		witnesses[id].Configure(selector, started)
	}

	// A witness abstains from a key that contains no time until it has run for
	// ActivationDelay and KeyRetention.
	now := started.Add(time.Hour)
	k := idempotency.Key{Service: "desk", Account: "club-a", Value: "entry-4711"}
	claim := func(holder string) *idempotency.Tally {
		t := idempotency.NewTally(selector.Witnesses(k))
		for _, id := range t.Witnesses {
			// A real node sends the claim to the witness's host.
			t.Add(id, witnesses[id].Claim(k, holder, now))
		}
		return t
	}
	first := claim("node-1")
	fmt.Println(first.Decide(true) == idempotency.DecisionRun)
	fmt.Println(claim("node-2").Decide(true) == idempotency.DecisionInProgress)

	for _, id := range first.Witnesses {
		witnesses[id].Finish(k, "node-1", idempotency.OutcomeAnswered, 201)
	}
	repeat := claim("node-2")
	fmt.Println(repeat.Decide(true) == idempotency.DecisionAnswered, repeat.Status)
	// Output:
	// true
	// true
	// true 201
}
