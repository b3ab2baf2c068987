// Package quarantine finds requests that crash the backend servers that run them,
// known as queries of death, and keeps them from being sent again.
//
// A node that sees its instance crash reports which requests were running on it. A
// request is quarantined once it was running in CrashesToQuarantine distinct crashes
// and no instance has answered it since. Crashes of one zone within CommonCauseWindow
// count as one, because then the zone is the likelier cause. An answer clears the
// request in all reports that are known at that time, so a request that only ran by
// chance where another one did harm is not quarantined or is served again.
//
// When a quarantine ends, the next run of the request is a trial. A trial that ends in a
// crash while no other trial runs on the instance is a failed one, and each makes the
// quarantine TrialFactor times as long. Nodes admit the request one after the other in
// the last part of its quarantine, so that a trial fails at one instance and not at
// several at once.
//
// A Table holds the reports of all nodes. Tables that have seen the same reports and
// marks are equal, in whatever order and however often these arrived. The package
// opens no socket: its callers send what Export, ExportSince and Missing return, and
// pass what arrives to Merge.
package quarantine

import "time"

const (
	// CrashesToQuarantine is the number of crashes after which a request is
	// quarantined.
	CrashesToQuarantine = 3
	// CommonCauseWindow is the time from the first of the crashes in one zone that
	// count as one.
	CommonCauseWindow = 250 * time.Millisecond
	// RefuseFor is how long a request is quarantined after its last crash, unless a
	// trial has failed. Then it may run again, and one more crash within ReportLife
	// quarantines it at once.
	RefuseFor = time.Minute
	// TrialFactor is the factor by which a failed trial extends the quarantine.
	TrialFactor = 10
	// MaxTrials is the number of failed trials that extend it.
	MaxTrials = 3
	// MaxRefuseFor is the longest quarantine.
	MaxRefuseFor = RefuseFor * TrialFactor * TrialFactor * TrialFactor
	// OrderedPart is the last part of a quarantine, in which nodes admit the request
	// one after the other.
	OrderedPart = 0.5
	// ReportLife is how long a crash is remembered, and how long a failed trial is
	// remembered after its quarantine.
	ReportLife = 10 * time.Minute
	// MaxReports is the number of reports that a Table keeps.
	MaxReports = 256
	// expiryMargin is the rest of ReportLife in which a report is no longer sent or
	// accepted. Otherwise nodes that expire a report a little later than others would
	// bring it back.
	expiryMargin = 5 * time.Second
)

// A Running is a request that was running on an instance when it crashed.
type Running struct {
	// Fingerprint is zero if not enough of the body had arrived. The crash does not
	// count for such a request, but SuspectsPrefix is true for its prefix.
	Fingerprint Fingerprint
	// Prefix is zero for a request without a body.
	Prefix Fingerprint
	// BeganAt is when the request was sent to the instance. It is zero if that is not
	// known; the run is no trial then.
	BeganAt time.Time
}

// refusal returns the length of a quarantine after so many failed trials.
func refusal(failed uint8) time.Duration {
	d := RefuseFor
	for range failed {
		d *= TrialFactor
	}
	return d
}

// A Quarantine describes a quarantined request.
type Quarantine struct {
	Fingerprint Fingerprint
	// Crashes is the number of crashes, as in Table.Crashes.
	Crashes int
	// Instances lists the instances that crashed, each once, in order of their names.
	Instances []string
	// Until is when all nodes admit the request again.
	Until time.Time
}
