package sidecar

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/settings"
)

const goodSettings = `
Host = "surco-1"
Service = "desk"
Zone = "surco"
CallerAddress = "10.0.0.1:80"
CallAddress = "10.0.0.1:81"
ReadyAddress = "10.0.0.1:82"
ControlAddress = "10.0.0.1:83"
BackendAddress = "10.0.0.1:84"
PlatformURL = "http://10.9.0.1:90"

[Bounds]
drainS = 2.5
`

// Guards against settings that are used although some are invalid, and against an
// error that names only one of several faults.
func TestParseSettingsListsAllFaults(t *testing.T) {
	s, err := ParseSettings([]byte(goodSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.MaxConnections, defaultMaxConnections)
	assert.Equal(t, s.Bounds["drainS"], 2.5)
	bad := strings.NewReplacer(
		`"10.0.0.1:81"`, `"10.0.0.1:80"`, `"10.0.0.1:82"`, `"here"`, `"desk"`, `" "`, `http:`, `ftp:`,
	).Replace(goodSettings)
	_, err = ParseSettings([]byte("Colour = \"red\"\nMemoryMB = 3\nLogLevel = \"Loud\"\n" + bad))
	assert.Assert(t, errorx.IsOfType(err, settings.ErrInvalid), "%v", err)
	for _, want := range []string{
		"Colour: unknown key", "MemoryMB:", "LogLevel:", "CallAddress: is the same as CallerAddress",
		"ReadyAddress: must be an IP", "Service: must not be empty", "PlatformURL:",
	} {
		assert.ErrorContains(t, err, want)
	}
	_, err = ReadSettings(filepath.Join(t.TempDir(), "none"))
	assert.Assert(t, errorx.IsOfType(err, settings.ErrInvalid), "%v", err)
}

// Guards against a changed file that ends the process, changes addresses in use,
// or goes unnoticed.
func TestSettingsAreReadAgain(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	file := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(file, []byte(goodSettings), 0o600))
	m.settingsFile.Store(&file)
	before := *n.settings()
	n.reload()
	assert.Equal(t, n.settings().CallerAddress, before.CallerAddress)
	assert.Equal(t, n.settings().BackendAddress, "10.0.0.1:84")
	assert.NilError(t, os.WriteFile(file, []byte("Service ="), 0o600))
	n.reload()
	assert.Equal(t, n.settings().BackendAddress, "10.0.0.1:84")
	assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(goodSettings, "10.0.0.1:84", before.BackendAddress, 1)), 0o600))
	n.reload()
	waitFor(t, "service after the change", func() bool {
		time.Sleep(10 * time.Millisecond)
		return m.send(t, 0, "GET", "/list/1").status == 200
	})
}

// Guards against a bound without a default, which is then zero. A MinOutage of
// zero made every confirmation look like the end of an outage and kept instances
// for 2 s after they had left.
func TestEveryBoundHasADefault(t *testing.T) {
	v := reflect.ValueOf(DefaultBounds())
	for i := range v.NumField() {
		assert.Assert(t, !v.Field(i).IsZero(), v.Type().Field(i).Name)
	}
}

// Guards against a settings file that is decoded every two seconds although it has not
// changed, and against a change or a fault that goes unnoticed.
func TestSettingsFileIsDecodedWhenItChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	write := func(service string) {
		content := strings.Replace(goodSettings, `"desk"`, fmt.Sprintf("%q", service), 1)
		assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	}
	f := &SettingsFile{Path: path}
	write("desk")
	first, err := f.Read()
	assert.NilError(t, err)
	second, err := f.Read()
	assert.NilError(t, err)
	assert.Assert(t, first == second)
	write("spare")
	third, err := f.Read()
	assert.NilError(t, err)
	assert.Equal(t, third.Service, "spare")
	write("")
	_, err = f.Read()
	assert.Assert(t, err != nil)
	_, err = f.Read()
	assert.Assert(t, err != nil, "a fault is reported each time")
}
