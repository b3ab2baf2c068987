package main

import "quetzaldock.example/quetzaldock/internal/command"

func (c *cli) addExplain() {
	var x command.ExplainQuery
	s := c.addCommand(nil, "explain", "FILE...: print each value in force and its source", func(files []string) error {
		return command.Explain(c.out, x, files)
	})
	s.String(&x.Service, "s", "service", "name of the called service")
	s.String(&x.Zone, "z", "zone", "name of the availability zone")
	s.String(&x.Account, "a", "account", "name of the client account")
}
