package node

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"
)

var (
	namespace = errorx.NewNamespace("node")
	// BadSettings means that the settings cannot be used; its message lists
	// every fault with its key.
	BadSettings = namespace.NewType("bad_settings")
	// ListenFailed means that an address could not be bound.
	ListenFailed = namespace.NewType("listen_failed")
)

// settingsBytes bounds the size of a settings file.
const settingsBytes = 64 << 10

// Settings configure one node. They are read once, at the start.
type Settings struct {
	// Host is the ID of this host. It is never given to another host.
	Host    string
	Service string
	Zone    string
	// CallerAddress takes requests of callers and nested calls of the local
	// backend server, over HTTP.
	CallerAddress string
	// CallAddress takes calls of other nodes, over mutual TLS.
	CallAddress string
	// ControlAddress takes control messages of other nodes, over mutual TLS.
	ControlAddress string
	// OperatorAddress serves status, health and metrics.
	OperatorAddress string
	// BackendAddress is the backend server on this host.
	BackendAddress string
	// PlatformURL is the platform's configuration service.
	PlatformURL string
	// Seeds are control addresses of other nodes, asked while neither the
	// source nor a host list is at hand.
	Seeds []string
	// FleetHint is the expected number of hosts. It spreads the first reads
	// at the source after a restart of the whole fleet.
	FleetHint int
	// LogLevel is Debug, Info, Warn or Error.
	LogLevel string
	// StopMs is how long, in milliseconds, a planned stop waits for calls.
	StopMs int
	TLS    TLSSettings
}

// TLSSettings name the PEM files of mutual TLS between nodes. They are read
// again when they change. Without any, connections between nodes are plain,
// which only loopback addresses may use.
type TLSSettings struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// Enabled reports whether connections between nodes use TLS.
func (t TLSSettings) Enabled() bool { return t.CertificateFile != "" }

// A Fault is one problem of the settings.
type Fault struct {
	Key    string
	Reason string
}

// Faults lists every problem of a settings file.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	var b strings.Builder
	for i, x := range f {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s: %s", x.Key, x.Reason)
	}
	return b.String()
}

// ReadSettings reads and checks a settings file. The error is of type
// BadSettings and lists all faults.
func ReadSettings(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, BadSettings.Wrap(err, "cannot read the settings")
	}
	return ParseSettings(b)
}

// ParseSettings checks settings in TOML. Unknown keys are faults.
func ParseSettings(b []byte) (*Settings, error) {
	if len(b) > settingsBytes {
		return nil, BadSettings.New("settings are larger than %d bytes", settingsBytes)
	}
	s := &Settings{LogLevel: "Info", StopMs: defaultStopMs}
	var f Faults
	d := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		var strict *toml.StrictMissingError
		if !errors.As(err, &strict) {
			return nil, BadSettings.Wrap(err, "settings are not valid TOML for their keys")
		}
		for i := range strict.Errors {
			f = append(f, Fault{strings.Join(strict.Errors[i].Key(), "."), "unknown key"})
		}
	}
	f = append(f, s.Check()...)
	if len(f) > 0 {
		return nil, BadSettings.Wrap(f, "%d faults", len(f))
	}
	return s, nil
}

// defaultStopMs is the default of StopMs, 10 s more than the longest deadline
// of a call.
const defaultStopMs = 310_000

// Check returns every fault of the settings.
func (s *Settings) Check() Faults {
	var f Faults
	f = append(f, s.checkNames()...)
	f = append(f, s.checkAddresses()...)
	f = append(f, s.checkTLS()...)
	if err := new(slog.LevelVar).UnmarshalText([]byte(s.LogLevel)); err != nil {
		f = append(f, Fault{"LogLevel", "must be Debug, Info, Warn or Error"})
	}
	if s.StopMs <= 0 || s.StopMs > 600_000 {
		f = append(f, Fault{"StopMs", "must be from 1 to 600000"})
	}
	if s.FleetHint < 0 {
		f = append(f, Fault{"FleetHint", "must not be negative"})
	}
	return f
}

func (s *Settings) checkNames() Faults {
	var f Faults
	for _, n := range []struct{ key, value string }{
		{"Host", s.Host}, {"Service", s.Service}, {"Zone", s.Zone},
	} {
		if strings.TrimSpace(n.value) == "" {
			f = append(f, Fault{n.key, "must not be empty"})
		}
	}
	return f
}

func (s *Settings) checkAddresses() Faults {
	var f Faults
	seen := map[string]string{}
	for _, a := range []struct{ key, value string }{
		{"CallerAddress", s.CallerAddress},
		{"CallAddress", s.CallAddress},
		{"ControlAddress", s.ControlAddress},
		{"OperatorAddress", s.OperatorAddress},
		{"BackendAddress", s.BackendAddress},
	} {
		p, err := netip.ParseAddrPort(a.value)
		if err != nil {
			f = append(f, Fault{a.key, "must be an IP address and port, such as 10.0.0.7:8443"})
			continue
		}
		if other := seen[a.value]; other != "" && p.Port() != 0 {
			f = append(f, Fault{a.key, "is the same as " + other})
		}
		seen[a.value] = a.key
	}
	for i, a := range s.Seeds {
		if _, err := netip.ParseAddrPort(a); err != nil {
			f = append(f, Fault{fmt.Sprintf("Seeds[%d]", i), "must be an IP address and port"})
		}
	}
	u, err := url.Parse(s.PlatformURL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		f = append(f, Fault{"PlatformURL", "must be an http or https URL"})
	}
	return f
}

func (s *Settings) checkTLS() Faults {
	t := s.TLS
	var f Faults
	if (t.CertificateFile == "") != (t.KeyFile == "") || (t.KeyFile == "") != (t.AuthorityFile == "") {
		f = append(f, Fault{"TLS", "needs CertificateFile, KeyFile and AuthorityFile together"})
	}
	if t.Enabled() {
		return f
	}
	for _, a := range []struct{ key, value string }{
		{"CallAddress", s.CallAddress}, {"ControlAddress", s.ControlAddress},
	} {
		p, err := netip.ParseAddrPort(a.value)
		if err == nil && !p.Addr().IsLoopback() {
			f = append(f, Fault{a.key, "needs TLS unless it is a loopback address"})
		}
	}
	return f
}
