package main

import (
	"context"
	"os/signal"
	"syscall"

	"quetzaldock.example/quetzaldock/internal/command"
	"quetzaldock.example/quetzaldock/internal/node"
)

func (c *cli) addNode() {
	var settings string
	s := c.addCommand(nil, "node", "run the process beside a backend server", func(args []string) error {
		if settings == "" || len(args) > 0 {
			return command.ErrUsage.New("node needs --settings FILE and nothing else")
		}
		return runNode(settings)
	})
	s.String(&settings, "s", "settings", "settings file in TOML")
}

// runNode runs the node until SIGTERM or SIGINT and then stops it gracefully.
func runNode(path string) error {
	s, err := node.ReadSettings(path)
	if err != nil {
		return command.ErrUsage.Wrap(err, "%s", path)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return node.New(*s).Run(ctx)
}
