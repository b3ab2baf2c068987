package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"quetzaldock.example/quetzaldock/internal/command"
	"quetzaldock.example/quetzaldock/internal/experiment"
)

func (c *cli) addLoad() {
	o := experiment.RunOptions{Out: c.out, Progress: os.Stderr}
	s := c.addCommand(nil, "load", "FILE: run an experiment file and print its report", func(files []string) error {
		if len(files) != 1 {
			return command.ErrUsage.New("load needs one experiment file")
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return experiment.RunFile(ctx, files[0], o)
	})
	s.UInt64(&o.Seed, "s", "seed", "replaces the file's seed unless 0")
	s.Bool(&o.JSON, "j", "json", "print the report as JSON")
	s.Bool(&o.FixedSplit, "x", "fixed-split", "give each host a fixed share of the rates, without lending")
}
