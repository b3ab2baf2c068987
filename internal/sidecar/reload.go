package sidecar

import (
	"context"
	"log/slog"
	"time"
)

// reloadInterval is the time between reads of the settings file, which may change
// without a signal.
const reloadInterval = 2 * time.Second

// watchSettings reloads the settings periodically and on SIGHUP, until ctx ends.
func (n *Node) watchSettings(ctx context.Context) {
	if n.LoadSettings == nil {
		return
	}
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.Hangup:
			n.Log.Info("SIGHUP received, reading the settings again")
		case <-t.C:
		}
		n.reload()
	}
}

// reload reads the settings and applies those that can change at run time. Faulty
// settings change nothing.
func (n *Node) reload() {
	s, err := n.LoadSettings()
	if err != nil {
		n.Log.Error("changed settings are not applied", "error", err)
		return
	}
	old := n.settings()
	if s.equal(old) {
		return
	}
	for _, a := range []struct{ key, old, new string }{
		{"Zone", old.Zone, s.Zone},
		{"CallerAddress", old.CallerAddress, s.CallerAddress},
		{"CallAddress", old.CallAddress, s.CallAddress},
		{"ReadyAddress", old.ReadyAddress, s.ReadyAddress},
		{"ControlAddress", old.ControlAddress, s.ControlAddress},
		{"PlatformURL", old.PlatformURL, s.PlatformURL},
	} {
		if a.old != a.new {
			n.Log.Warn("changed setting takes effect after a restart only", "key", a.key, "present", a.old, "next", a.new)
		}
	}
	applied := *s
	applied.Zone, applied.PlatformURL = old.Zone, old.PlatformURL
	applied.CallerAddress, applied.CallAddress = old.CallerAddress, old.CallAddress
	applied.ReadyAddress, applied.ControlAddress = old.ReadyAddress, old.ControlAddress
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err == nil {
		n.Level.Set(level)
	}
	n.currentSettings.Store(&applied)
	setMemoryLimits(applied.MemoryMB)
	n.clientLimits.apply()
	n.Log.Info("settings applied", "service", applied.Service, "backend", applied.BackendAddress)
	n.applyInstances()
}
