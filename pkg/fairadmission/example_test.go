package fairadmission_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quetzaldock.example/quetzaldock/pkg/fairadmission"
)

// A program that runs beside a backend server puts each request through the
// gate and reports how it ended.
func Example() {
	g := fairadmission.New()
	g.Configure(fairadmission.Limits{Slots: 12, ColdSlots: 2, ConnectionsPerSecond: 100, QueuePerAccount: 64})

	run := func(account string) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		t, err := g.Admit(ctx, fairadmission.Request{Account: account, Deadline: time.Now().Add(time.Second)})
		if err != nil {
			return err
		}
		// Send the request to the server here.
		t.Release(fairadmission.Succeeded)
		return nil
	}
	fmt.Println(run("club-a"))

	g.SetState(fairadmission.StateZoneOut)
	var r *fairadmission.Refusal
	if errors.As(run("club-a"), &r) {
		fmt.Println("not run:", r.Reason)
	}
	// Output:
	// <nil>
	// not run: ZoneOut
}

// An event loop offers calls without blocking.
func ExampleController_Offer() {
	g := fairadmission.New()
	g.Configure(fairadmission.Limits{Slots: 1, ColdSlots: 1, QueuePerAccount: 8})
	first, _, _ := g.Offer(fairadmission.Request{Account: "club-a"})
	_, waiting, _ := g.Offer(fairadmission.Request{Account: "club-b"})
	fmt.Printf("%+v\n", g.Load())

	first.Release(fairadmission.Succeeded)
	<-waiting.Ready()
	second, err := waiting.Result()
	fmt.Println(second != nil, err)
	// Output:
	// {Running:1 Permits:1 Queued:1}
	// true <nil>
}
