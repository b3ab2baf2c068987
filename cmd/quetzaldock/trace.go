package main

import "quetzaldock.example/quetzaldock/internal/command"

func (c *cli) addTrace() {
	c.addCommand(nil, "trace", "tell what the logs of several hosts say of one request: ID FILE...", func(args []string) error {
		if len(args) < 2 {
			return command.ErrUsage.New("trace needs the ID of a request and at least one log file")
		}
		return command.Trace(c.out, args[0], args[1:])
	})
}
