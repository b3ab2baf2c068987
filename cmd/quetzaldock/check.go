package main

import "quetzaldock.example/quetzaldock/internal/command"

func (c *cli) addCheck() {
	c.addCommand(nil, "check", "FILE...: say whether nodes would accept manifest.toml and its part files", func(files []string) error {
		return command.Check(c.out, files)
	})
}
