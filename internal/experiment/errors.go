// Package experiment drives a fleet of nodes with a fixed schedule of calls
// and timed faults, and checks the promises of the mesh while it runs.
//
// A Spec, read from a short TOML file, says what happens. Schedule fixes every
// call up front from the seed, so two runs with one seed offer the same calls.
// Run sends them open loop: a slow answer delays no later call, and latency
// counts from the scheduled time. The Report lists the measurements and the
// promises that were broken.
package experiment

import "github.com/joomcode/errorx"

// Errors is the namespace of the package's error types.
var Errors = errorx.NewNamespace("experiment")

// The error types of the package.
var (
	// BadSpec is returned for an experiment file that cannot be run.
	BadSpec = Errors.NewType("bad_spec")
	// FleetFailed is returned when the fleet under test cannot be started or
	// an action on it fails.
	FleetFailed = Errors.NewType("fleet_failed")
	// PromiseBroken is returned when a run broke a promise of the mesh.
	PromiseBroken = Errors.NewType("promise_broken")
	// ReportFailed is returned when a report cannot be written.
	ReportFailed = Errors.NewType("report_failed")
)
