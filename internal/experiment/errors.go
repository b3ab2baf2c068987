// Package experiment runs a fleet of nodes under a scheduled load with timed
// faults, measures it, and checks the guarantees of the mesh. Reports call the
// guarantees promises and number them P1 to P15.
//
// A Spec, read from a TOML file, describes the load and the events. Schedule
// derives every call from the seed in advance, so that two runs with one seed
// offer the same calls. Run sends them open loop: a slow answer does not delay
// later calls, and latency counts from the scheduled time. The Report contains
// the measurements and the broken promises.
//
// Package standin imitates the backend servers, the configuration service and
// network faults. This package combines those with real nodes (StartFleet),
// sends the calls and judges the results.
package experiment

import "github.com/joomcode/errorx"

// ErrorNamespace is the namespace of the package's error types.
var ErrorNamespace = errorx.NewNamespace("experiment")

// The error types of the package.
var (
	// BadSpec is returned for an invalid experiment file or option.
	BadSpec = ErrorNamespace.NewType("bad_spec")
	// FleetFailed is returned when the fleet under test does not start or an
	// action on it fails.
	FleetFailed = ErrorNamespace.NewType("fleet_failed")
	// PromiseBroken is returned when a check of a run found a violation.
	PromiseBroken = ErrorNamespace.NewType("promise_broken")
	// ReportFailed is returned when a report cannot be written.
	ReportFailed = ErrorNamespace.NewType("report_failed")
)
