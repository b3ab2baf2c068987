package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/command"
)

func writeLog(t *testing.T, name, text string) string {
	t.Helper()
	p := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(p, []byte(text), 0o600))
	return p
}

const callerHostLog = `{"time":"2026-01-02T03:04:05.250Z","level":"INFO","msg":"request ended","host":"surco-1","request":"r1","route":"/entry/","account":"club","nested":false,"status":502,"reason":"NoWholeAnswer","detail":"outcome unknown","hosts":["i-1"],"runs":1,"ms":240,"left":false}
{"time":"2026-01-02T03:04:05.260Z","level":"INFO","msg":"request ended","host":"surco-1","request":"r2","status":503}
`

const serverHostLog = `10:00 collector says {"time":"2026-01-02T03:04:05.245Z","level":"INFO","msg":"no answer of the backend server","host":"ate-2","request":"r1","instance":"i-1","error":"reset"}
{"time":"2026-01-02T03:04:05.100Z","level":"INFO","msg":"request ended","host":"ate-2","request":"r1.7","route":"/check/","account":"","nested":true,"status":200}
{"time":"2026-01-02T03:04:0
not a log line
`

// Guards against lines in the wrong order, missing lines of the requests made in
// the course of the traced one, and lines of other requests.
func TestTraceJoinsTheLogsOfHosts(t *testing.T) {
	var b bytes.Buffer
	err := command.Trace(&b, "r1", []string{writeLog(t, "a.log", callerHostLog), writeLog(t, "b.log", serverHostLog)})
	assert.NilError(t, err)
	assert.Equal(t, b.String(), `2 lines could not be read
request r1, from 2026-01-02T03:04:05.1Z
   +0.000 s  ate-2                        request ended: request=r1.7, route=/check/, nested=true, status=200
   +0.145 s  ate-2                        no answer of the backend server: instance=i-1, error=reset
   +0.150 s  surco-1                      request ended: route=/entry/, account=club, nested=false, status=502, reason=NoWholeAnswer, detail=outcome unknown, hosts=["i-1"], runs=1, ms=240, left=false
`)
}

// Guards against a trace without result that is not reported as an error.
func TestTraceTellsWhatIsMissing(t *testing.T) {
	var b bytes.Buffer
	err := command.Trace(&b, "r9", []string{writeLog(t, "a.log", callerHostLog)})
	assert.ErrorContains(t, err, "no line about request r9")
	err = command.Trace(&b, "r1", []string{filepath.Join(t.TempDir(), "missing.log")})
	assert.Assert(t, errorx.IsOfType(err, command.ErrRead), "%v", err)
	err = command.Trace(&b, "r1", nil)
	assert.Assert(t, errorx.IsOfType(err, command.ErrUsage), "%v", err)
}
