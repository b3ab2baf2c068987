// Package command holds the logic and the output of the operators' commands.
// Each command writes to an io.Writer and returns a typed error, so that
// whole sessions can be tested without a process.
package command

import "github.com/joomcode/errorx"

// ErrorNamespace holds the error types of the package.
var ErrorNamespace = errorx.NewNamespace("command")

var (
	// ErrUsage says that the command line is wrong.
	ErrUsage = ErrorNamespace.NewType("usage")
	// ErrRead says that a named file cannot be read.
	ErrRead = ErrorNamespace.NewType("read")
	// ErrWrite says that the output cannot be written.
	ErrWrite = ErrorNamespace.NewType("write")
	// ErrRefused says that a configuration would be refused.
	ErrRefused = ErrorNamespace.NewType("refused")
)

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitFailure is for a refused configuration and any failure at work.
	ExitFailure = 1
	// ExitUsage is for a wrong command line, unreadable files included.
	ExitUsage = 2
)

// ExitCode maps the error of a command to the exit code of the program.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errorx.IsOfType(err, ErrUsage), errorx.IsOfType(err, ErrRead):
		return ExitUsage
	default:
		return ExitFailure
	}
}
