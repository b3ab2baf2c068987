// Package standin imitates what surrounds the mesh so that tests and
// experiments can bring about the faults the mesh has to bear: the platform's
// configuration service (Platform), a backend server (BackendServer) and the
// network between processes (FaultProxy).
//
// Every stand-in listens on loopback only. What each one imitates and what it
// leaves out is listed in docs/experiments.md.
package standin

import "github.com/joomcode/errorx"

// Errors is the namespace of the package's error types.
var Errors = errorx.NewNamespace("standin")

// The error types of the package.
var (
	// ListenFailed is returned when a stand-in cannot bind its address.
	ListenFailed = Errors.NewType("listen_failed")
	// BadValue is returned for a value that the configuration service would
	// not hold.
	BadValue = Errors.NewType("bad_value")
)
