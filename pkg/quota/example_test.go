package quota_test

import (
	"context"
	"fmt"
	"time"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/quota"
)

// Two hosts share one account. The caller of the package supplies the clock,
// the transport, the placement and the configuration. Here the clock is set by
// hand and a report is a function call.
func Example() {
	slots, ms, header, rate, burst := 4, 1000, 4096, 10.0, 4.0
	manifest, parts, _ := config.Encode(1, map[string]config.Document{"all": {
		Defaults: &config.Values{
			Slots: &slots, ColdSlots: &slots, ConnectionsPerSecond: &ms, QueuePerAccount: &slots,
			CallTimeoutMs: &ms, RetryPercent: &slots, MaxHeaderBytes: &header, Rate: &rate, Burst: &burst,
		},
		Zones:    []config.AvailabilityZone{{Name: "surco", Region: "lima"}},
		Services: []config.Service{{Name: "desk"}},
		Hosts:    []config.Host{{ID: "desk-1", Service: "desk", Zone: "surco"}, {ID: "desk-2", Service: "desk", Zone: "surco"}},
		Accounts: []config.ClientAccount{{Name: "club-a"}},
	}})
	snapshot, err := config.Accept(manifest, parts)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Unix(1_000_000, 0)
	clock := func() time.Time { return now }
	broker := &quota.Broker{Now: clock}
	limiters := map[string]*quota.Limiter{"desk-1": {Now: clock}, "desk-2": {Now: clock}}
	for id, l := range limiters {
		l.Start()
		l.Configure(snapshot, id)
	}
	// A share is used only after every loan of an earlier process has ended.
	now = now.Add(quota.ActivationDelay)
	for _, l := range limiters {
		l.Tick()
	}
	now = now.Add(time.Second)
	exchange := func(id string) {
		report, _ := limiters[id].NextReport("broker")
		reply, _ := broker.HandleReport(id, report)
		limiters[id].HandleReply("broker", reply)
	}
	for range 2 { // the first exchange only learns the broker's clock
		exchange("desk-1")
		exchange("desk-2")
	}
	admitted := 0
	for range 10 {
		if limiters["desk-1"].Take("club-a") {
			admitted++
			continue
		}
		exchange("desk-1")
	}
	fmt.Println("admitted at one host:", admitted)
	// Output: admitted at one host: 4
}

// A Runner exchanges reports over the network. The server of the control
// listener calls its HandleReport.
func ExampleRunner() {
	r := &quota.Runner{
		Self:      hosts.Host{ID: "desk-1", Zone: "surco"},
		Limiter:   &quota.Limiter{Now: time.Now},
		Broker:    &quota.Broker{Now: time.Now},
		Call:      func(context.Context, hosts.Host, quota.Report) (quota.Reply, error) { return quota.Reply{}, nil },
		Placement: func() *hosts.Placement { return nil },
		Snapshot:  func() *config.Snapshot { return nil },
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	r.Run(ctx)
	fmt.Println(r.Limiter.TakeWait(context.Background(), "club-a", time.Now().Add(time.Second)))
	// Output: false
}
