package main

import "quetzaldock.example/quetzaldock/internal/command"

func (c *cli) addKey() {
	key := c.addCommand(nil, "key", "keys of client accounts", nil)
	c.addCommand(key, "new", "print a fresh key and its digest", func(args []string) error {
		return command.NewKey(c.out, args)
	})
}
