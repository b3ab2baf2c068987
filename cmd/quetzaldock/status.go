package main

import (
	"context"

	"quetzaldock.example/quetzaldock/internal/command"
	"quetzaldock.example/quetzaldock/internal/operator"
)

func (c *cli) addStatus() {
	var asJSON bool
	s := c.addCommand(nil, "status", "ADDR: print what the node with this operator address says of itself", func(args []string) error {
		if len(args) != 1 {
			return command.ErrUsage.New("status needs one operator address, such as 10.0.0.7:8081")
		}
		return operator.PrintStatus(context.Background(), args[0], asJSON, c.out)
	})
	s.Bool(&asJSON, "j", "json", "print JSON")
}
