// Package settings reads the TOML settings file of a single process. It refuses
// unknown keys and reports all faults of a file together, each with its key.
//
// Each kind of process declares its own settings and checks them with the
// functions of this package. The configuration that operators publish for the
// whole fleet is defined by package config.
package settings

import (
	"bytes"
	"errors"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"
)

var namespace = errorx.NewNamespace("settings")

// ErrInvalid means that the settings cannot be read or are invalid. The message
// lists every fault with its key.
var ErrInvalid = namespace.NewType("bad")

// maxFileBytes bounds the size of a settings file.
const maxFileBytes = 64 << 10

// A Fault is a key of a settings file and what is wrong with it.
type Fault struct {
	Key    string
	Reason string
}

// Faults lists every fault of a settings file.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	all := make([]string, len(f))
	for i, x := range f {
		all[i] = x.Key + ": " + x.Reason
	}
	return strings.Join(all, "; ")
}

// ReadFile returns the bytes of a settings file. The error is of type ErrInvalid.
func ReadFile(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "cannot read the settings file")
	}
	return b, nil
}

// Parse decodes the TOML text b into v, which holds the defaults, and then calls
// check. Unknown keys and the faults that check returns are reported together.
// The error is of type ErrInvalid.
func Parse(b []byte, v any, check func() Faults) error {
	if len(b) > maxFileBytes {
		return ErrInvalid.New("settings are larger than %d bytes", maxFileBytes)
	}
	var f Faults
	d := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		var unknownKeys *toml.StrictMissingError
		if !errors.As(err, &unknownKeys) {
			return ErrInvalid.Wrap(err, "settings are not valid TOML or a value has the wrong type")
		}
		for i := range unknownKeys.Errors {
			f = append(f, Fault{strings.Join(unknownKeys.Errors[i].Key(), "."), "unknown key"})
		}
	}
	if f = append(f, check()...); len(f) > 0 {
		return ErrInvalid.Wrap(f, "%d faults", len(f))
	}
	return nil
}

// A KeyValue is the key and the value of a setting that holds text.
type KeyValue struct{ Key, Value string }

// CheckAddresses returns a fault for each value that is not an IP address and
// port, and for each that equals an earlier one, unless its port is 0.
func CheckAddresses(all []KeyValue) Faults {
	var f Faults
	seen := map[string]string{}
	for _, a := range all {
		p, err := netip.ParseAddrPort(a.Value)
		if err != nil {
			f = append(f, Fault{a.Key, "must be an IP address and port, such as 10.0.0.7:8443"})
			continue
		}
		if other := seen[a.Value]; other != "" && p.Port() != 0 {
			f = append(f, Fault{a.Key, "is the same as " + other})
		}
		seen[a.Value] = a.Key
	}
	return f
}

// CheckNotEmpty returns a fault for each value that is empty or only spaces.
func CheckNotEmpty(all []KeyValue) Faults {
	var f Faults
	for _, n := range all {
		if strings.TrimSpace(n.Value) == "" {
			f = append(f, Fault{n.Key, "must not be empty"})
		}
	}
	return f
}

// CheckURL returns a fault unless the value is an http or https URL with a host.
func CheckURL(key, value string) Faults {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return Faults{{key, "must be an http or https URL"}}
	}
	return nil
}
