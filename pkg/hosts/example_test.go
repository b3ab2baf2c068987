package hosts_test

import (
	"fmt"

	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// Every node that holds the same host list derives the same roles from it.
func Example() {
	l := &hosts.List{Revision: 7, Hosts: []hosts.Host{
		{ID: "desk-1", Service: "desk", Zone: "Surco", State: hosts.Live},
		{ID: "desk-2", Service: "desk", Zone: "Surco", State: hosts.Live},
		{ID: "desk-3", Service: "desk", Zone: "Ate", State: hosts.Live},
		{ID: "desk-4", Service: "desk", Zone: "Ate", State: hosts.Leaving},
	}}
	p := hosts.NewPlacement(l)
	fmt.Println(len(p.Leaders["Surco"]), "leaders in Surco,", len(p.Leaders["Ate"]), "in Ate")
	fmt.Println("desk-4 exchanges with", p.Parents["desk-4"].ID)
	fmt.Println("the root is a leader:", p.IsLeader(p.Root.ID, p.Root.Zone))
	// Output:
	// 2 leaders in Surco, 1 in Ate
	// desk-4 exchanges with desk-3
	// the root is a leader: true
}

// Each key has its own order of hosts. If a host is removed, the order of the
// others stays the same.
func ExampleRank() {
	all := hosts.Rank("entry-4711", []string{"desk-1", "desk-2", "desk-3"})
	rest := hosts.Rank("entry-4711", all[1:])
	fmt.Println(rest[0] == all[1], rest[1] == all[2])
	fmt.Println(hosts.HighestRanked("entry-4711", []string{"desk-1", "desk-2", "desk-3"}) == all[0])
	// Output:
	// true true
	// true
}
