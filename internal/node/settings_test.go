package node_test

import (
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/node"
)

const goodSettings = `
Host = "lima-desk-1"
Service = "entry-desk"
Zone = "Miraflores"
CallerAddress = "127.0.0.1:8080"
CallAddress = "127.0.0.1:8443"
ControlAddress = "127.0.0.1:8444"
OperatorAddress = "127.0.0.1:8081"
BackendAddress = "127.0.0.1:9000"
PlatformURL = "http://127.0.0.1:7000"
`

// Guards against valid settings that are refused, and against changed defaults.
func TestParseSettingsAcceptsDefaults(t *testing.T) {
	s, err := node.ParseSettings([]byte(goodSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.LogLevel, "Info")
	assert.Equal(t, s.StopMs, 310000)
}

// Guards against a fault that is reported only after another one was corrected.
func TestParseSettingsListsAllFaults(t *testing.T) {
	in := strings.NewReplacer(
		`Zone = "Miraflores"`, `Zone = " "`,
		`"127.0.0.1:8443"`, `"10.0.0.1:8443"`,
		`"127.0.0.1:9000"`, `"backend:9000"`,
		`"http://127.0.0.1:7000"`, `"ftp://x"`,
	).Replace(goodSettings) + "StopMs = -1\nLogLevel = \"Loud\"\nSeeds = [\"x\"]\nColour = 1\n[TLS]\nKeyFile = \"k\"\n"
	_, err := node.ParseSettings([]byte(in))
	assert.Assert(t, errorx.IsOfType(err, node.BadSettings))
	for _, key := range []string{
		"Zone:", "CallAddress: needs TLS", "BackendAddress:", "PlatformURL:", "StopMs:", "LogLevel:", "Seeds[0]:", "Colour: unknown key", "TLS:",
	} {
		assert.Assert(t, strings.Contains(err.Error(), key), "%s missing in: %v", key, err)
	}
}
