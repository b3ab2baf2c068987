package main

import "quetzaldock.example/quetzaldock/internal/command"

func (c *cli) addDiff() {
	c.addCommand(nil, "diff", "OLD NEW: print what changes from one directory to the other, each with manifest.toml and parts/", func(dirs []string) error {
		return command.Diff(c.out, dirs)
	})
}
