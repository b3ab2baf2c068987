package fairadmission_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quetzaldock.example/quetzaldock/pkg/fairadmission"
)

// A program that runs beside a backend server asks for a slot for each request
// and reports how the request ended.
func Example() {
	ctl := fairadmission.New()
	ctl.Configure(fairadmission.Limits{Slots: 12, ColdSlots: 2, ConnectionsPerSecond: 100, QueuePerAccount: 64})

	run := func(account string) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		slot, err := ctl.Admit(ctx, fairadmission.Request{Account: account, Deadline: time.Now().Add(time.Second)})
		if err != nil {
			return err
		}
		// Send the request to the server here.
		slot.Release(fairadmission.Succeeded)
		return nil
	}
	fmt.Println(run("club-a"))

	ctl.SetState(fairadmission.StateZoneOut)
	var r *fairadmission.Refusal
	if errors.As(run("club-a"), &r) {
		fmt.Println("not run:", r.Reason)
	}
	// Output:
	// <nil>
	// not run: ZoneOut
}

// An event loop offers requests without blocking.
func ExampleController_Offer() {
	ctl := fairadmission.New()
	ctl.Configure(fairadmission.Limits{Slots: 1, ColdSlots: 1, QueuePerAccount: 8})
	first, _, _ := ctl.Offer(fairadmission.Request{Account: "club-a"})
	_, waiting, _ := ctl.Offer(fairadmission.Request{Account: "club-b"})
	fmt.Printf("%+v\n", ctl.Load())

	first.Release(fairadmission.Succeeded)
	<-waiting.Ready()
	second, err := waiting.Result()
	fmt.Println(second != nil, err)
	// Output:
	// {Running:1 Permits:1 Queued:1}
	// true <nil>
}
