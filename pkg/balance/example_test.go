package balance_test

import (
	"fmt"
	"time"

	"quetzaldock.example/quetzaldock/pkg/balance"
)

// A client picks a host for each attempt, reports how it ended, and asks
// whether to try again.
func Example() {
	c := balance.New("Surco")
	c.SetTargets([]balance.Target{
		{ID: "desk-1", Service: "desk", Zone: "Surco", CallAddress: "10.0.1.1:8200"},
		{ID: "desk-2", Service: "desk", Zone: "Ate", CallAddress: "10.0.2.1:8200"},
	})
	budget := balance.NewRetryBudget()
	budget.Configure("desk", 20)

	budget.RecordCall("desk")
	var tried []string
	for n := 1; ; n++ {
		h, ok := c.Pick("desk", tried)
		if !ok {
			fmt.Println("no host left")
			return
		}
		c.CallStarted(h.ID)
		// Send the call here. Say that desk-1 refuses it as not run.
		refused := h.ID == "desk-1"
		if !refused {
			c.CallFinished(h.ID, balance.Answered, balance.Load{Running: 1, Permits: 12})
			fmt.Println("answered by", h.ID)
			return
		}
		c.CallFinished(h.ID, balance.Overloaded, balance.Load{Running: 12, Permits: 12, Queued: 40})
		a := balance.Attempt{Service: "desk", Number: n, NotRun: true, Now: time.Now(), Allow: budget.Allow}
		if balance.DecideRetry(a) != balance.Retry {
			fmt.Println("refused")
			return
		}
		tried = append(tried, h.ID)
	}
	// Output: answered by desk-2
}
