package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"quetzaldock.example/quetzaldock/internal/command"
	"quetzaldock.example/quetzaldock/internal/sidecar"
	"quetzaldock.example/quetzaldock/platform"
)

// settingsVariable is the environment variable with the path of the settings
// file, used if the command line has no --settings.
const settingsVariable = "QUETZALDOCK_SETTINGS"

func (c *cli) addSidecar() {
	var settings string
	s := c.addCommand(nil, "sidecar", "run the process beside a backend server on the users' platform", func(args []string) error {
		if settings == "" {
			settings = os.Getenv(settingsVariable)
		}
		if settings == "" || len(args) > 0 {
			return command.ErrUsage.New("sidecar needs --settings FILE or %s, and nothing else", settingsVariable)
		}
		return runSidecar(settings)
	})
	s.String(&settings, "s", "settings", "settings file in TOML")
}

// runSidecar runs the sidecar until SIGTERM or SIGINT and then stops it
// gracefully. SIGHUP makes it read its settings file again.
func runSidecar(path string) error {
	s, err := sidecar.ReadSettings(path)
	if err != nil {
		return command.ErrUsage.Wrap(err, "%s", path)
	}
	n := sidecar.New(*s)
	if n.Bounds, err = platform.ParseBounds(s.Bounds); err != nil {
		return command.ErrUsage.Wrap(err, "%s", path)
	}
	n.HeaderNames, n.ReadyPath = platform.HeaderNames(), platform.ReadyPath
	n.Source = platform.NewStore(s.PlatformURL, n.DialStore).Source()
	n.LoadSettings = (&sidecar.SettingsFile{Path: path}).Read
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	n.Hangup = hangup
	return n.Run(ctx)
}
