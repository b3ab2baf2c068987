package spread

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("spread")

var (
	// BadDigest means that bytes do not have the digest they were asked for.
	BadDigest = namespace.NewType("bad_digest")
	// BadHosts means that a host list cannot be decoded.
	BadHostList = namespace.NewType("bad_hosts")
	// Rejected means that a version was refused as a whole.
	Rejected = namespace.NewType("rejected")
	// Superseded means that bytes belong to a version that is no longer wanted.
	Superseded = namespace.NewType("superseded")
)
