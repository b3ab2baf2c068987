package node

import (
	"fmt"
	"log/slog"
	"net/netip"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/settings"
)

var (
	namespace = errorx.NewNamespace("node")
	// BadSettings means that the settings are invalid.
	BadSettings = settings.ErrInvalid
	// ListenFailed means that a listener could not be opened.
	ListenFailed = namespace.NewType("listen_failed")
)

// Settings configure one node. They are read once, when the process starts.
type Settings struct {
	// Host is the ID of this host. It must never be reused for another host.
	Host string
	// Service is the service of the backend server on this host.
	Service string
	// Zone is the availability zone of this host.
	Zone string
	// CallerAddress is where the node accepts requests of callers and nested
	// calls of the local backend server, over HTTP.
	CallerAddress string
	// CallAddress is where the node accepts calls of other nodes, over mutual TLS.
	CallAddress string
	// ControlAddress is where the node accepts control messages of other nodes,
	// over mutual TLS.
	ControlAddress string
	// OperatorAddress is where the node serves status, health and metrics.
	OperatorAddress string
	// BackendAddress is the address of the backend server on this host.
	BackendAddress string
	// PlatformURL is the base URL of the platform's configuration service.
	PlatformURL string
	// Seeds are control addresses of other nodes. They are contacted while the
	// node has no host list. Its first reads at the configuration service wait
	// briefly for their replies.
	Seeds []string
	// FleetHint is the expected number of hosts. The first reads at the
	// configuration service after a restart of the whole fleet are spread over a
	// time in proportion to it.
	FleetHint int
	// LogLevel is Debug, Info, Warn or Error.
	LogLevel string
	// StopMs is the maximum duration of a planned stop in milliseconds. Calls that
	// still run then are cut.
	StopMs int
	// TLS names the certificates for connections between nodes.
	TLS TLSSettings
}

// TLSSettings name the PEM files for mutual TLS between nodes. The files are
// read again when they change. If none is set, connections between nodes are not
// encrypted, which is allowed on loopback addresses only.
type TLSSettings struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// Enabled reports whether connections between nodes use TLS.
func (t TLSSettings) Enabled() bool { return t.CertificateFile != "" }

// ReadSettings reads and checks a settings file in TOML. The error is of type
// BadSettings and lists all faults.
func ReadSettings(path string) (*Settings, error) {
	b, err := settings.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseSettings(b)
}

// ParseSettings decodes and checks settings in TOML. Unknown keys are faults. The
// error is of type BadSettings and lists all faults.
func ParseSettings(b []byte) (*Settings, error) {
	s := &Settings{LogLevel: "Info", StopMs: defaultStopMs}
	if err := settings.Parse(b, s, s.Check); err != nil {
		return nil, err
	}
	return s, nil
}

// defaultStopMs is the default of StopMs in milliseconds. It is 10 s more than
// the longest deadline of a call.
const defaultStopMs = 310_000

// Check returns all faults of the settings.
func (s *Settings) Check() settings.Faults {
	f := settings.CheckNotEmpty([]settings.KeyValue{
		{Key: "Host", Value: s.Host}, {Key: "Service", Value: s.Service}, {Key: "Zone", Value: s.Zone},
	})
	f = append(f, s.checkAddresses()...)
	f = append(f, s.checkTLS()...)
	if err := new(slog.LevelVar).UnmarshalText([]byte(s.LogLevel)); err != nil {
		f = append(f, settings.Fault{Key: "LogLevel", Reason: "must be Debug, Info, Warn or Error"})
	}
	if s.StopMs <= 0 || s.StopMs > 600_000 {
		f = append(f, settings.Fault{Key: "StopMs", Reason: "must be from 1 to 600000"})
	}
	if s.FleetHint < 0 {
		f = append(f, settings.Fault{Key: "FleetHint", Reason: "must not be negative"})
	}
	return f
}

func (s *Settings) checkAddresses() settings.Faults {
	f := settings.CheckAddresses([]settings.KeyValue{
		{Key: "CallerAddress", Value: s.CallerAddress},
		{Key: "CallAddress", Value: s.CallAddress},
		{Key: "ControlAddress", Value: s.ControlAddress},
		{Key: "OperatorAddress", Value: s.OperatorAddress},
		{Key: "BackendAddress", Value: s.BackendAddress},
	})
	for i, a := range s.Seeds {
		if _, err := netip.ParseAddrPort(a); err != nil {
			f = append(f, settings.Fault{Key: fmt.Sprintf("Seeds[%d]", i), Reason: "must be an IP address and port"})
		}
	}
	return append(f, settings.CheckURL("PlatformURL", s.PlatformURL)...)
}

// checkTLS requires all TLS files or none, and TLS on addresses that are not
// loopback.
func (s *Settings) checkTLS() settings.Faults {
	t := s.TLS
	var f settings.Faults
	if (t.CertificateFile == "") != (t.KeyFile == "") || (t.KeyFile == "") != (t.AuthorityFile == "") {
		f = append(f, settings.Fault{Key: "TLS", Reason: "needs CertificateFile, KeyFile and AuthorityFile together"})
	}
	if t.Enabled() {
		return f
	}
	for _, a := range []struct{ key, value string }{
		{"CallAddress", s.CallAddress}, {"ControlAddress", s.ControlAddress},
	} {
		p, err := netip.ParseAddrPort(a.value)
		if err == nil && !p.Addr().IsLoopback() {
			f = append(f, settings.Fault{Key: a.key, Reason: "needs TLS unless it is a loopback address"})
		}
	}
	return f
}
