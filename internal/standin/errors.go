// Package standin imitates the surroundings of the mesh for tests and
// experiments: the platform's configuration service (ConfigService), a backend
// server (BackendServer) and the network between processes (FaultProxy). Each
// stand-in can be switched to the faults that the mesh has to tolerate.
// Executions records which requests the backend servers ran.
//
// Every stand-in listens on loopback only. docs/experiments.md lists what each
// one imitates and what it leaves out. Package experiment runs whole fleets with
// these stand-ins on a schedule of calls and faults.
package standin

import "github.com/joomcode/errorx"

// ErrorNamespace is the namespace of the package's error types.
var ErrorNamespace = errorx.NewNamespace("standin")

// The error types of the package.
var (
	// ListenFailed is returned when a stand-in cannot bind its address.
	ListenFailed = ErrorNamespace.NewType("listen_failed")
	// BadValue is returned for a value that the configuration service does not
	// store because it is too large or cannot be encoded.
	BadValue = ErrorNamespace.NewType("bad_value")
)
