package quarantine

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("quarantine")

var (
	// BadFingerprint means that a text is not the text form of a Fingerprint.
	BadFingerprint = namespace.NewType("bad_fingerprint")
	// BadReport means that a report of another node is malformed, or contradicts
	// a known report with the same ID.
	BadReport = namespace.NewType("bad_report")
	// TooLarge is the subtype of BadReport for input that exceeds a bound.
	TooLarge = BadReport.NewSubtype("too_large")
)
