package replication

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("spread")

var (
	// BadDigest means that received bytes do not match the digest under which
	// they were requested, or that a digest is malformed.
	BadDigest = namespace.NewType("bad_digest")
	// BadHostList means that a host list is too large, cannot be decoded or has
	// no revision.
	BadHostList = namespace.NewType("bad_hosts")
	// Rejected means that a configuration version is invalid or too large and
	// was refused as a whole.
	Rejected = namespace.NewType("rejected")
	// Superseded means that bytes belong to a version that is no longer fetched.
	Superseded = namespace.NewType("superseded")
)
