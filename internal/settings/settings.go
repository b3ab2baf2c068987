// Package settings reads the settings files of the product's processes: TOML
// with known keys only. Every fault is reported at once, by its key.
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

// ErrInvalid means that the settings cannot be used; its message lists every fault
// with its key.
var ErrInvalid = namespace.NewType("bad")

// fileBytes bounds the size of a settings file.
const fileBytes = 64 << 10

// A Fault is one problem of the settings.
type Fault struct {
	Key    string
	Reason string
}

// Faults lists every problem of a settings file.
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
		return nil, ErrInvalid.Wrap(err, "cannot read the settings")
	}
	return b, nil
}

// Parse decodes TOML into v, which holds the defaults, and then checks it.
// Unknown keys are faults. The error is of type ErrInvalid.
func Parse(b []byte, v any, check func() Faults) error {
	if len(b) > fileBytes {
		return ErrInvalid.New("settings are larger than %d bytes", fileBytes)
	}
	var f Faults
	d := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		var strict *toml.StrictMissingError
		if !errors.As(err, &strict) {
			return ErrInvalid.Wrap(err, "settings are not valid TOML for their keys")
		}
		for i := range strict.Errors {
			f = append(f, Fault{strings.Join(strict.Errors[i].Key(), "."), "unknown key"})
		}
	}
	if f = append(f, check()...); len(f) > 0 {
		return ErrInvalid.Wrap(f, "%d faults", len(f))
	}
	return nil
}

// A KeyValue is one text setting and its key.
type KeyValue struct{ Key, Value string }

// CheckAddresses returns the addresses that cannot be used, and those that are
// the same as another one.
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

// CheckNotEmpty returns the settings that must not be empty and are.
func CheckNotEmpty(all []KeyValue) Faults {
	var f Faults
	for _, n := range all {
		if strings.TrimSpace(n.Value) == "" {
			f = append(f, Fault{n.Key, "must not be empty"})
		}
	}
	return f
}

// CheckURL returns a fault unless the value is an http or https URL.
func CheckURL(key, value string) Faults {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return Faults{{key, "must be an http or https URL"}}
	}
	return nil
}
