// Package command implements the operators' commands on files: check, explain,
// diff, key new and trace. Each command writes to an io.Writer and returns a
// typed error, so that it can be tested without starting a process. The program
// in cmd/quetzaldock parses the command line and calls this package. Commands
// that ask a running node are in package operator.
package command

import "github.com/joomcode/errorx"

// ErrorNamespace is the namespace of the package's error types.
var ErrorNamespace = errorx.NewNamespace("command")

var (
	// ErrUsage means that the command line is wrong.
	ErrUsage = ErrorNamespace.NewType("usage")
	// ErrRead means that an input file cannot be read.
	ErrRead = ErrorNamespace.NewType("read")
	// ErrWrite means that the output cannot be written.
	ErrWrite = ErrorNamespace.NewType("write")
	// ErrRefused means that nodes would refuse the configuration.
	ErrRefused = ErrorNamespace.NewType("refused")
)

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitFailure is the exit code for a refused configuration and for failures
	// other than those of ExitUsage.
	ExitFailure = 1
	// ExitUsage is the exit code for a wrong command line and for files that
	// cannot be read.
	ExitUsage = 2
)

// ExitCode returns the exit code of the program for the error of a command.
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
