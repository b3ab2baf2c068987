package command_test

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/command"
	"quetzaldock.example/quetzaldock/pkg/config"
)

// A failingWriter fails every write, like a full disk or a closed pipe.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) {
	return 0, io.ErrClosedPipe
}

const lima = "../../examples/lima"

func limaFiles(t *testing.T) []string {
	t.Helper()
	parts, err := filepath.Glob(lima + "/parts/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(parts) > 0)
	return append([]string{lima + "/manifest.toml"}, parts...)
}

// Guards against a command that reports success although its output could not be
// written.
func TestCommandsFailWhenOutputIsLost(t *testing.T) {
	files := limaFiles(t)
	w := failingWriter{}
	for name, err := range map[string]error{
		"check":         command.Check(w, files),
		"check refused": command.Check(w, files[:2]),
		"explain":       command.Explain(w, command.ExplainQuery{}, files),
		"diff":          command.Diff(w, []string{lima, lima}),
		"key new":       command.NewKey(w, nil),
	} {
		assert.Assert(t, errorx.IsOfType(err, command.ErrWrite), "%s: %v", name, err)
		assert.Equal(t, command.ExitCode(err), command.ExitFailure, name)
	}
}

// Guards against a refused configuration and a wrong command line having the
// same exit code, by which scripts tell them apart.
func TestExitCode(t *testing.T) {
	files := limaFiles(t)
	assert.Equal(t, command.ExitCode(command.Check(io.Discard, files)), command.ExitOK)
	assert.Equal(t, command.ExitCode(command.Check(io.Discard, files[:2])), command.ExitFailure)
	assert.Equal(t, command.ExitCode(command.Check(io.Discard, append(files, files[0]))), command.ExitUsage)
	assert.Equal(t, command.ExitCode(command.Check(io.Discard, []string{"none"})), command.ExitUsage)
}

// Guards against Check accepting a configuration that nodes refuse. Here the
// manifest is valid, but its parts are missing.
func TestCheckDecidesAsAccept(t *testing.T) {
	manifest, err := os.ReadFile(lima + "/manifest.toml")
	assert.NilError(t, err)
	_, err = config.Accept(manifest, nil)
	assert.Assert(t, err != nil)
	err = command.Check(io.Discard, []string{lima + "/manifest.toml"})
	assert.Assert(t, errorx.IsOfType(err, command.ErrRefused))
}
