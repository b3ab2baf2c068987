package main

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"quetzaldock.example/quetzaldock/internal/command"
	"quetzaldock.example/quetzaldock/internal/experiment"
)

func (c *cli) addDemo() {
	o := experiment.DemoOptions{Deployment: "lima", Seed: 1, Out: c.out}
	var d time.Duration
	s := c.addCommand(nil, "demo", "run a whole deployment with stand-ins in this process and print what it did", func(args []string) error {
		if len(args) > 0 {
			return command.ErrUsage.New("demo takes no arguments, got %q", args)
		}
		if d < 0 {
			return command.ErrUsage.New("--for must not be negative")
		}
		o.MeasuredDuration = d
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return experiment.RunDemo(ctx, o)
	})
	s.String(&o.Deployment, "d", "deployment", "lima or antioquia")
	s.UInt64(&o.Seed, "s", "seed", "seed of the traffic and of the stand-ins")
	s.Duration(&d, "f", "for", "length of the measured part, such as 25s")
	s.Bool(&o.JSON, "j", "json", "print the report as JSON")
}
