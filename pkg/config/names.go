package config

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// maxNameBytes is the largest length of a name. It is that of a DNS label,
// because certificates carry the host ID as one.
const maxNameBytes = 63

// maxPrefixBytes is the largest length of a route prefix.
const maxPrefixBytes = 255

// checkIdentifier adds a fault unless the name can be used in headers, metrics
// and file names without quoting.
func checkIdentifier(f *Faults, part, key, name string) {
	ok := name != "" && len(name) <= maxNameBytes
	for i := 0; ok && i < len(name); i++ {
		ok = isAlphanumeric(name[i]) || (i > 0 && strings.IndexByte("-_.", name[i]) >= 0)
	}
	if !ok {
		f.add(part, key, "must be 1 to %d ASCII letters, digits, '-', '_' or '.', the first a letter or digit", maxNameBytes)
	}
}

// checkName adds a fault unless the name of a service, account or exception can be
// used. Names of a foreign document need only fit into a header.
func (c *candidate) checkName(part, key, name string) {
	if !c.foreign {
		checkIdentifier(c.faults, part, key, name)
		return
	}
	if name == "" || strings.ContainsFunc(name, unicode.IsControl) {
		c.faults.add(part, key, "must not be empty or have control characters")
	}
}

// checkHostID adds a fault unless the ID is a lower-case DNS label. Certificates
// carry the ID as a DNS name, which is compared without regard to case.
func checkHostID(f *Faults, part, key, id string) {
	ok := id != "" && len(id) <= maxNameBytes
	for i := 0; ok && i < len(id); i++ {
		inner := i > 0 && i < len(id)-1
		ok = (isAlphanumeric(id[i]) && (id[i] < 'A' || id[i] > 'Z')) || (inner && id[i] == '-')
	}
	if !ok {
		f.add(part, key, "must be a DNS label: 1 to %d lower-case ASCII letters, digits or inner '-'", maxNameBytes)
	}
}

// checkDisplayName adds a fault unless the name is printable text. Names of
// zones and regions may hold spaces and any letters.
func checkDisplayName(f *Faults, part, key, name string) {
	ok := name != "" && len(name) <= maxNameBytes && utf8.ValidString(name) && strings.TrimSpace(name) == name
	for _, r := range name {
		ok = ok && unicode.IsPrint(r)
	}
	if !ok {
		f.add(part, key, "must be 1 to %d bytes of printable text without outer spaces", maxNameBytes)
	}
}

// checkPrefix adds a fault unless the prefix can be compared with the paths of
// requests. Only the prefix of a route with a VirtualHost may end with a slash. In a
// foreign document such a prefix may be any path, since it is compared byte by byte.
func (c *candidate) checkPrefix(part, key string, r *Route) {
	prefix := r.Prefix
	if c.foreign && r.VirtualHost != "" {
		if !strings.HasPrefix(prefix, "/") {
			c.faults.add(part, key, "must start with '/'")
		}
		return
	}
	ok := strings.HasPrefix(prefix, "/") && len(prefix) <= maxPrefixBytes && isPlainPath(prefix) &&
		(prefix == "/" || r.VirtualHost != "" || !strings.HasSuffix(prefix, "/"))
	for i := 0; ok && i < len(prefix); i++ {
		b := prefix[i]
		ok = b > ' ' && b < 0x7f && strings.IndexByte("%?#;\\", b) < 0
	}
	if !ok {
		c.faults.add(part, key, "must be a path of at most %d ASCII characters that starts with '/', without dot or empty segments, trailing '/' unless with a VirtualHost, and any of %% ? # ; \\", maxPrefixBytes)
	}
}

func isAlphanumeric(c byte) bool {
	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
}
